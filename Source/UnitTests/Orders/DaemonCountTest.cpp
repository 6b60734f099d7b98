// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Orders/DaemonCount.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/RetryBudget.h"

namespace
{
using Common::Milliseconds;
using Orders::DaemonCount;

class DaemonCountTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DaemonCountTest);
  CPPUNIT_TEST(InitialCountAppliesUntilAnnouncementsSettle);
  CPPUNIT_TEST(LowerCountFromANewHolderIsIgnored);
  CPPUNIT_TEST(CountFallsAfterTheHoldTime);
  CPPUNIT_TEST(RetryBudgetHoldsWhileTheHolderChanges);
  CPPUNIT_TEST_SUITE_END();

  const Common::TimePoint m_start = Common::Now();

  void InitialCountAppliesUntilAnnouncementsSettle()
  {
    DaemonCount count;
    CPPUNIT_ASSERT_EQUAL(DaemonCount::INITIAL_DAEMONS, count.ForSharedLimits(m_start));
    count.Update(2, m_start);
    CPPUNIT_ASSERT_EQUAL(2, count.Get());
    CPPUNIT_ASSERT_EQUAL(DaemonCount::INITIAL_DAEMONS, count.ForSharedLimits(m_start));
    count.Update(7, m_start + Milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(7, count.ForSharedLimits(m_start + DaemonCount::SETTLE_TIME));
  }

  void LowerCountFromANewHolderIsIgnored()
  {
    DaemonCount count;
    count.Update(79, m_start);
    count.Update(1, m_start + Milliseconds(5000));
    CPPUNIT_ASSERT_EQUAL(79, count.Get());
    CPPUNIT_ASSERT_EQUAL(79, count.ForSharedLimits(m_start + Milliseconds(5000)));
  }

  void CountFallsAfterTheHoldTime()
  {
    DaemonCount count;
    count.Update(79, m_start);
    count.Update(40, m_start + DaemonCount::HOLD_TIME + Milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(40, count.Get());
  }

  /// While the lease holder changes, 79 daemons that use up their retry budgets must stay within
  /// the limit for all of them together.
  void RetryBudgetHoldsWhileTheHolderChanges()
  {
    constexpr int DAEMONS = 79;
    constexpr int REQUESTS_EACH = 40;
    const Gateway::RetryBudgetSettings settings{0.2, 198, Milliseconds(10000)};
    const Gateway::PoolId pool("p");
    int spent = 0;
    for (int i = 0; i < DAEMONS; ++i)
    {
      DaemonCount count;
      count.Update(DAEMONS, m_start);
      Gateway::RetryBudget budget;
      budget.Configure(settings);
      auto now = m_start + DaemonCount::SETTLE_TIME;
      for (int request = 0; request < REQUESTS_EACH; ++request)
        budget.NoteRequest(pool, now);
      count.Update(1, now);
      budget.SetDaemons(count.ForSharedLimits(now));
      while (budget.Take(pool, now))
        ++spent;
    }
    CPPUNIT_ASSERT(spent <= settings.ratio * DAEMONS * REQUESTS_EACH + settings.slack);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonCountTest);
} // namespace

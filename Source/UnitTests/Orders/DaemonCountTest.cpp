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
  CPPUNIT_TEST(FirstWordsAreNotTrustedForSharing);
  CPPUNIT_TEST(ANewHolderThatHasHeardOfFewChangesNothing);
  CPPUNIT_TEST(FallsWhenLongNothingHigherWasTold);
  CPPUNIT_TEST(ManyDaemonsStayWithinTheBudgetWhileTheHolderChanges);
  CPPUNIT_TEST_SUITE_END();

  const Common::TimePoint m_start = Common::Now();

  void FirstWordsAreNotTrustedForSharing()
  {
    DaemonCount count;
    CPPUNIT_ASSERT_EQUAL(DaemonCount::BEFORE_ANY_WORD, count.ForSharing(m_start));
    count.Tell(2, m_start);
    CPPUNIT_ASSERT_EQUAL(2, count.Get());
    CPPUNIT_ASSERT_EQUAL(DaemonCount::BEFORE_ANY_WORD, count.ForSharing(m_start));
    count.Tell(7, m_start + Milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(7, count.ForSharing(m_start + DaemonCount::SETTLING));
  }

  void ANewHolderThatHasHeardOfFewChangesNothing()
  {
    DaemonCount count;
    count.Tell(79, m_start);
    count.Tell(1, m_start + Milliseconds(5000));
    CPPUNIT_ASSERT_EQUAL(79, count.Get());
    CPPUNIT_ASSERT_EQUAL(79, count.ForSharing(m_start + Milliseconds(5000)));
  }

  void FallsWhenLongNothingHigherWasTold()
  {
    DaemonCount count;
    count.Tell(79, m_start);
    count.Tell(40, m_start + DaemonCount::MEMORY + Milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(40, count.Get());
  }

  /// While the lease holder changes, 79 daemons that use up their retry budgets must stay within
  /// the limit for all of them together.
  void ManyDaemonsStayWithinTheBudgetWhileTheHolderChanges()
  {
    constexpr int DAEMONS = 79;
    constexpr int REQUESTS_EACH = 40;
    const Gateway::RetryBudgetSettings settings{0.2, 198, Milliseconds(10000)};
    const Gateway::PoolId pool("p");
    int spent = 0;
    for (int i = 0; i < DAEMONS; ++i)
    {
      DaemonCount count;
      count.Tell(DAEMONS, m_start);
      Gateway::RetryBudget budget;
      budget.Configure(settings);
      auto now = m_start + DaemonCount::SETTLING;
      for (int request = 0; request < REQUESTS_EACH; ++request)
        budget.NoteRequest(pool, now);
      count.Tell(1, now);
      budget.SetDaemons(count.ForSharing(now));
      while (budget.Take(pool, now))
        ++spent;
    }
    CPPUNIT_ASSERT(spent <= settings.ratio * DAEMONS * REQUESTS_EACH + settings.slack);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonCountTest);
} // namespace

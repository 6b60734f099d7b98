// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// From where hundreds of daemons that start together get their copy of the shared tables.

#include "Fleet/HandoverPlanner.h"

#include <map>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

namespace
{
using namespace Fleet;
using Common::Milliseconds;
using Common::VmId;

constexpr PlaceHash PLACES = 5;
constexpr std::size_t MAX_RECEIVERS = 4;
/// Time that one copy takes from daemon to daemon.
constexpr Milliseconds COPY_TIME{300};

struct StartOutcome
{
  int rounds = 0;
  int from_elsewhere = 0; ///< Copies between data centres.
  std::size_t most_receivers = 0;
};

/// Daemons that start together; one of them, the holder, has read the tables.
class Start
{
public:
  explicit Start(int daemons)
  {
    for (int i = 0; i < daemons; ++i)
      m_members[VmId("vm-" + std::to_string(i))] = {static_cast<PlaceHash>(i % PLACES), i == 0,
                                                    i % 3 != 1};
    for (const auto& [vm, member] : m_members)
      m_planner.Update(vm, member);
  }

  /// In each round the daemons that have a source receive their copy.
  StartOutcome Run()
  {
    StartOutcome outcome;
    while (m_planner.AnyWaiting() && outcome.rounds < 100)
    {
      ++outcome.rounds;
      m_now += COPY_TIME;
      const auto assigned = m_planner.Assign(m_now);
      std::map<VmId, std::size_t> receivers;
      for (const VmId& vm : assigned)
      {
        const VmId source = *m_planner.SourceOf(vm);
        CPPUNIT_ASSERT(m_members.at(source).has_tables);
        outcome.most_receivers = std::max(outcome.most_receivers, ++receivers[source]);
        outcome.from_elsewhere += m_members.at(source).place != m_members.at(vm).place ? 1 : 0;
      }
      for (const VmId& vm : assigned)
        Complete(vm);
    }
    return outcome;
  }

  void Complete(const VmId& vm)
  {
    m_members.at(vm).has_tables = true;
    m_planner.Update(vm, m_members.at(vm));
  }

  HandoverPlanner& Planner() { return m_planner; }

private:
  std::map<VmId, Member> m_members;
  HandoverPlanner m_planner;
  Common::TimePoint m_now{std::chrono::hours(1)};
};

class HandoverPlannerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HandoverPlannerTest);
  CPPUNIT_TEST(RoundsGrowWithTheLogarithmOfTheDaemons);
  CPPUNIT_TEST(CopiesBetweenDataCentresDoNotGrowWithTheDaemons);
  CPPUNIT_TEST(NoSourceServesTooManyAtOnce);
  CPPUNIT_TEST(FailedSourceIsReplacedByAnother);
  CPPUNIT_TEST(RemovedSourceIsReplaced);
  CPPUNIT_TEST(WithoutAnyCopyNobodyIsAssigned);
  CPPUNIT_TEST_SUITE_END();

  void RoundsGrowWithTheLogarithmOfTheDaemons()
  {
    const int at_1000 = Start(1000).Run().rounds;
    const int at_2000 = Start(2000).Run().rounds;
    CPPUNIT_ASSERT(at_1000 <= 8);
    CPPUNIT_ASSERT(at_2000 <= at_1000 + 1);
  }

  void CopiesBetweenDataCentresDoNotGrowWithTheDaemons()
  {
    constexpr int MAX_FROM_ELSEWHERE = 2 * (PLACES - 1);
    CPPUNIT_ASSERT(Start(100).Run().from_elsewhere <= MAX_FROM_ELSEWHERE);
    CPPUNIT_ASSERT(Start(2000).Run().from_elsewhere <= MAX_FROM_ELSEWHERE);
  }

  void NoSourceServesTooManyAtOnce()
  {
    CPPUNIT_ASSERT(Start(1000).Run().most_receivers <= MAX_RECEIVERS);
  }

  void FailedSourceIsReplacedByAnother()
  {
    HandoverPlanner planner;
    planner.Update(VmId("holder"), {1, true, true});
    planner.Update(VmId("other"), {1, true, true});
    planner.Update(VmId("new"), {1, false, true});
    Common::TimePoint now{std::chrono::hours(1)};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, planner.Assign(now).size());
    const VmId first = *planner.SourceOf(VmId("new"));
    CPPUNIT_ASSERT(planner.Assign(now + Milliseconds(1000)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, planner.Assign(now + Milliseconds(2500)).size());
    CPPUNIT_ASSERT(first != *planner.SourceOf(VmId("new")));
  }

  void RemovedSourceIsReplaced()
  {
    HandoverPlanner planner;
    planner.Update(VmId("gone"), {1, true, true});
    planner.Update(VmId("new"), {1, false, true});
    Common::TimePoint now{std::chrono::hours(1)};
    planner.Assign(now);
    planner.Remove(VmId("gone"));
    planner.Update(VmId("other"), {1, true, true});
    planner.Assign(now + Milliseconds(2500));
    CPPUNIT_ASSERT(planner.SourceOf(VmId("new")) == VmId("other"));
  }

  void WithoutAnyCopyNobodyIsAssigned()
  {
    HandoverPlanner planner;
    planner.Update(VmId("a"), {1, false, true});
    planner.Update(VmId("b"), {1, false, true});
    CPPUNIT_ASSERT(planner.Assign(Common::TimePoint(std::chrono::hours(1))).empty());
    CPPUNIT_ASSERT(planner.AnyWaiting());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HandoverPlannerTest);
} // namespace

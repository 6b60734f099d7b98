// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include "Decisions/Admission.h"
#include "Decisions/LoadOrder.h"
#include "Decisions/Placement.h"
#include "Decisions/Rendezvous.h"
#include "Decisions/Retention.h"
#include "Decisions/Routing.h"

namespace
{
using Common::ClaimId;
using Common::MegaBytes;
using Common::Milliseconds;
using Common::TimePoint;
using Common::VmId;

class PolicyTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PolicyTest);
  CPPUNIT_TEST(RendezvousRemapsOnlyKeysOfRemovedMember);
  CPPUNIT_TEST(PlacementPrefersTheNearestCheckpoint);
  CPPUNIT_TEST(PlacementEvictsNoMoreThanNeeded);
  CPPUNIT_TEST(PlacementFailsIfNothingFits);
  CPPUNIT_TEST(QueueSharesByWeightAndOrdersByDeadline);
  CPPUNIT_TEST(RetentionFollowsTheExchangeRate);
  CPPUNIT_TEST(RoutingNeverExceedsLimits);
  CPPUNIT_TEST(LoadOrderPrefersUrgentLoads);
  CPPUNIT_TEST(RetryBudgetBoundsRetries);
  CPPUNIT_TEST(AdmissionRefusesUnmeetableDeadlines);
  CPPUNIT_TEST_SUITE_END();

  void RendezvousRemapsOnlyKeysOfRemovedMember()
  {
    std::vector<VmId> members;
    members.reserve(6);
    for (int index = 0; index < 6; ++index)
      members.emplace_back("entry-" + std::to_string(index));
    std::vector<VmId> fewer(members.begin(), members.end() - 1);
    for (int key = 0; key < 200; ++key)
    {
      const std::string name = "model-" + std::to_string(key);
      const auto before = Decisions::PickByRendezvous(name, members);
      const auto after = Decisions::PickByRendezvous(name, fewer);
      if (before != members.back())
        CPPUNIT_ASSERT(before == after);
    }
    CPPUNIT_ASSERT(!Decisions::PickByRendezvous("x", {}));
  }

  static Decisions::PlacementCandidate Candidate(const char* vm, int free,
                                                 Decisions::CacheLevel cache)
  {
    Decisions::PlacementCandidate candidate;
    candidate.server = VmId(vm);
    candidate.free = MegaBytes(free);
    candidate.cache = cache;
    return candidate;
  }

  void PlacementPrefersTheNearestCheckpoint()
  {
    const std::vector candidates{Candidate("a", 100, Decisions::CacheLevel::Remote),
                                 Candidate("b", 100, Decisions::CacheLevel::Memory),
                                 Candidate("c", 100, Decisions::CacheLevel::Disk)};
    CPPUNIT_ASSERT(Decisions::CacheAwarePlacement().Choose(candidates, MegaBytes(50))->server ==
                   VmId("b"));
    CPPUNIT_ASSERT(Decisions::FirstFitPlacement().Choose(candidates, MegaBytes(50))->server ==
                   VmId("a"));
  }

  void PlacementEvictsNoMoreThanNeeded()
  {
    auto candidate = Candidate("a", 10, Decisions::CacheLevel::Disk);
    candidate.evictable = {{ClaimId("small"), {}, MegaBytes(20), Milliseconds(5), 1},
                           {ClaimId("large"), {}, MegaBytes(60), Milliseconds(5), 30}};
    const auto placement = Decisions::CacheAwarePlacement().Choose({candidate}, MegaBytes(70));
    CPPUNIT_ASSERT(placement && placement->evict == std::vector<ClaimId>{ClaimId("large")});
  }

  void PlacementFailsIfNothingFits()
  {
    const std::vector candidates{Candidate("a", 10, Decisions::CacheLevel::Memory)};
    CPPUNIT_ASSERT(!Decisions::CacheAwarePlacement().Choose(candidates, MegaBytes(11)));
    CPPUNIT_ASSERT(!Decisions::FirstFitPlacement().Choose(candidates, MegaBytes(11)));
  }

  void QueueSharesByWeightAndOrdersByDeadline()
  {
    Decisions::FairDeadlineQueue queue;
    const TimePoint start;
    for (std::uint64_t id = 0; id < 100; ++id)
    {
      const bool heavy = id % 2 == 0;
      queue.Push({id, Common::ServiceId(heavy ? "chat" : "bulk"), heavy ? 4 : 1,
                  start + Milliseconds(1000 - id)});
    }
    int chat = 0;
    TimePoint last;
    for (int taken = 0; taken < 50; ++taken)
    {
      const auto next = queue.Pop();
      if (next->service != Common::ServiceId("chat"))
        continue;
      CPPUNIT_ASSERT(next->deadline >= last);
      last = next->deadline;
      ++chat;
    }
    CPPUNIT_ASSERT_EQUAL(40, chat);
    CPPUNIT_ASSERT_EQUAL(std::size_t(50), queue.Size());
  }

  void RetentionFollowsTheExchangeRate()
  {
    Decisions::ArtifactUse use;
    use.idle = Milliseconds(1500);
    use.load_time = Milliseconds(100);
    CPPUNIT_ASSERT(Decisions::CostRetention(10).ShouldUnload(use));
    CPPUNIT_ASSERT(!Decisions::CostRetention(60).ShouldUnload(use));
    CPPUNIT_ASSERT(Decisions::FixedKeepAlive(Milliseconds(1000)).ShouldUnload(use));
  }

  void RoutingNeverExceedsLimits()
  {
    Common::Random random(7);
    Decisions::RouteCandidate full;
    full.server = VmId("a");
    full.own_running = 4;
    full.limit = 4;
    CPPUNIT_ASSERT(!Decisions::AffinityRouting().Choose({full}, "prompt", random));
    Decisions::RouteCandidate open = full;
    open.server = VmId("b");
    open.own_running = 0;
    for (int round = 0; round < 50; ++round)
      CPPUNIT_ASSERT(Decisions::AffinityRouting().Choose({full, open}, "prompt", random) == 1U);
  }

  void LoadOrderPrefersUrgentLoads()
  {
    const TimePoint now = TimePoint() + std::chrono::hours(1);
    const std::vector<Decisions::WaitingLoad> loads{
        {ClaimId("early"), now - Milliseconds(50), now + Milliseconds(9000), 1, 1},
        {ClaimId("urgent"), now, now + Milliseconds(300), 1, 1}};
    CPPUNIT_ASSERT(Decisions::UrgencyOrder().Next(loads, now) == 1U);
    CPPUNIT_ASSERT(Decisions::FifoOrder().Next(loads, now) == 0U);
  }

  void RetryBudgetBoundsRetries()
  {
    Decisions::RetryBudget budget(0.1, 10);
    int retries = 0;
    for (int request = 0; request < 1000; ++request)
    {
      budget.OnRequest();
      retries += budget.TrySpend() ? 1 : 0;
    }
    CPPUNIT_ASSERT(retries <= 110);
  }

  void AdmissionRefusesUnmeetableDeadlines()
  {
    Decisions::AdmissionInput input;
    input.until_deadline = Milliseconds(1000);
    input.waiting = 100;
    input.slots = 10;
    input.service_time = Milliseconds(200);
    CPPUNIT_ASSERT(!Decisions::CanMeetDeadline(input));
    input.waiting = 10;
    CPPUNIT_ASSERT(Decisions::CanMeetDeadline(input));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PolicyTest);
} // namespace

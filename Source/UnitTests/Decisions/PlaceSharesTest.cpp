// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Decisions/PlaceShares.h"

#include <algorithm>
#include <map>
#include <set>

#include <cppunit/extensions/HelperMacros.h>

#include "Decisions/ServerSpeeds.h"

namespace
{
using namespace Decisions;
using Common::Milliseconds;
using Common::TimePoint;
using Common::VmId;

constexpr TimePoint START{std::chrono::hours(1)};

std::vector<ShareCandidate> Servers(std::size_t count, int slots)
{
  std::vector<ShareCandidate> candidates;
  for (std::size_t i = 0; i < count; ++i)
    candidates.push_back({VmId("s-" + std::to_string(100 + i)), slots, 1, 0, 15, true});
  return candidates;
}

PlaceShares Shares(std::size_t rank, std::size_t daemons)
{
  PlaceShares shares;
  shares.SetDaemons(rank, daemons);
  return shares;
}

/// Chooses `count` times; each request stays open.
void Send(PlaceShares& shares, std::vector<ShareCandidate>& candidates, int count)
{
  for (int i = 0; i < count; ++i)
  {
    const auto chosen = shares.Choose(candidates, START);
    CPPUNIT_ASSERT(chosen);
    ++candidates[*chosen].own_running;
  }
}

class PlaceSharesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PlaceSharesTest);
  CPPUNIT_TEST(SharesOfAllDaemonsCoverEachSlotOnce);
  CPPUNIT_TEST(MoreDaemonsThanSlotsShareThem);
  CPPUNIT_TEST(ChoicesDoNotDependOnOrderOfCandidates);
  CPPUNIT_TEST(OneDaemonUsesEveryServer);
  CPPUNIT_TEST(ServersAtTheirLimitAreNotChosen);
  CPPUNIT_TEST(FirstRequestsBeyondTheShareDiffer);
  CPPUNIT_TEST(ReturningServerIsNotChosenByAll);
  CPPUNIT_TEST(SlowServersGetFewerRequests);
  CPPUNIT_TEST(ServersOfTheDataCentreComeFirst);
  CPPUNIT_TEST(ChangeOfDaemonsOrServersTakesEffect);
  CPPUNIT_TEST(UnusualInputIsAccepted);
  CPPUNIT_TEST(SpeedsFollowResponseTimes);
  CPPUNIT_TEST(SpeedsDecayToAverage);
  CPPUNIT_TEST(OneSlowResponseIsNotASlowServer);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against daemons that choose the same slot at the same moment.
  void SharesOfAllDaemonsCoverEachSlotOnce()
  {
    for (const std::size_t daemons : {1, 5, 6, 7, 20, 36})
    {
      std::vector<std::int64_t> open(12, 0);
      for (std::size_t rank = 0; rank < daemons; ++rank)
      {
        PlaceShares shares = Shares(rank, daemons);
        auto candidates = Servers(12, 3);
        const auto own = (rank + 1) * 36 / daemons - rank * 36 / daemons;
        Send(shares, candidates, static_cast<int>(own));
        CPPUNIT_ASSERT(shares.UsedOwnSlot());
        for (std::size_t i = 0; i < open.size(); ++i)
          open[i] += candidates[i].own_running;
      }
      CPPUNIT_ASSERT(std::ranges::all_of(open, [](std::int64_t count) {
        return count == 3;
      }));
    }
  }

  /// Guards against daemons without a slot, and against a slot with many more owners than others.
  void MoreDaemonsThanSlotsShareThem()
  {
    std::map<std::size_t, int> owners;
    for (std::size_t rank = 0; rank < 78; ++rank)
    {
      PlaceShares shares = Shares(rank, 78);
      const auto candidates = Servers(12, 3);
      const auto chosen = shares.Choose(candidates, START);
      CPPUNIT_ASSERT(chosen && shares.UsedOwnSlot());
      ++owners[*chosen];
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{12}, owners.size());
    CPPUNIT_ASSERT(std::ranges::all_of(owners, [](const auto& owner) {
      return owner.second >= 6 && owner.second <= 7;
    }));
  }

  /// Guards against shares that overlap because daemons list the servers in a different order.
  void ChoicesDoNotDependOnOrderOfCandidates()
  {
    PlaceShares forward = Shares(3, 20);
    PlaceShares backward = Shares(3, 20);
    auto candidates = Servers(12, 3);
    auto reversed = candidates;
    std::ranges::reverse(reversed);
    for (int i = 0; i < 30; ++i)
    {
      const auto first = forward.Choose(candidates, START);
      const auto second = backward.Choose(reversed, START);
      CPPUNIT_ASSERT(candidates[*first].server == reversed[*second].server);
      ++candidates[*first].own_running;
      ++reversed[*second].own_running;
    }
  }

  /// Most connections may arrive at one VM: it must reach all slots, evenly.
  void OneDaemonUsesEveryServer()
  {
    PlaceShares shares = Shares(7, 20);
    auto candidates = Servers(12, 3);
    Send(shares, candidates, 36);
    const auto [least, most] = std::ranges::minmax(candidates, {}, &ShareCandidate::own_running);
    CPPUNIT_ASSERT(least.own_running >= 2 && most.own_running <= 4);
  }

  /// Guards against requests to unavailable or full servers, and against refusing while one has
  /// room.
  void ServersAtTheirLimitAreNotChosen()
  {
    PlaceShares shares = Shares(0, 6);
    auto candidates = Servers(12, 3);
    for (ShareCandidate& candidate : candidates)
      candidate.limit = 0;
    CPPUNIT_ASSERT(!shares.Choose(candidates, START));
    candidates[11].limit = 2;
    Send(shares, candidates, 2);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, candidates[11].own_running);
    CPPUNIT_ASSERT(!shares.Choose(candidates, START));
  }

  /// Guards against all daemons that start together sending the same server their overflow.
  void FirstRequestsBeyondTheShareDiffer()
  {
    std::map<std::size_t, int> chosen_by;
    for (std::size_t rank = 0; rank < 36; ++rank)
    {
      PlaceShares shares = Shares(rank, 36);
      auto candidates = Servers(12, 3);
      Send(shares, candidates, 1);
      const auto chosen = shares.Choose(candidates, START);
      CPPUNIT_ASSERT(chosen && !shares.UsedOwnSlot());
      ++chosen_by[*chosen];
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{12}, chosen_by.size());
    CPPUNIT_ASSERT(std::ranges::all_of(chosen_by, [](const auto& count) {
      return count.second == 3;
    }));
  }

  /// Guards against a server that was unavailable getting the requests of all daemons on return.
  void ReturningServerIsNotChosenByAll()
  {
    PlaceShares shares = Shares(0, 36); // Owns a slot of server 0.
    auto candidates = Servers(12, 3);
    candidates[0].own_running = 1;
    candidates[5].limit = 0;
    for (int i = 0; i < 500; ++i)
      CPPUNIT_ASSERT(shares.Choose(candidates, START) != 5);
    candidates[5].limit = 15;
    int at_returned = 0;
    for (int i = 0; i < 24; ++i)
      at_returned += shares.Choose(candidates, START) == 5 ? 1 : 0;
    CPPUNIT_ASSERT(at_returned >= 2 && at_returned <= 4);
  }

  /// Guards against an equal number of requests at a server that takes twice as long.
  void SlowServersGetFewerRequests()
  {
    PlaceShares shares = Shares(0, 36); // Owns a slot of server 0.
    auto candidates = Servers(12, 3);
    candidates[0].speed = 0.5;
    candidates[5].speed = 0.5;
    std::map<std::size_t, int> counts;
    for (int i = 0; i < 1000; ++i)
      ++counts[*shares.Choose(candidates, START)];
    CPPUNIT_ASSERT(counts[0] >= 20 && counts[0] <= 30);
    CPPUNIT_ASSERT(counts[5] >= 20 && counts[5] <= 30);
    CPPUNIT_ASSERT(counts[4] >= 80);
  }

  /// Guards against requests to another data centre while the own one has free own slots.
  void ServersOfTheDataCentreComeFirst()
  {
    PlaceShares shares = Shares(0, 3); // Owns slot 0 of every server.
    auto candidates = Servers(12, 3);
    for (std::size_t i = 0; i < 6; ++i)
      candidates[i].local = false;
    Send(shares, candidates, 6);
    CPPUNIT_ASSERT(std::ranges::all_of(candidates, [](const ShareCandidate& candidate) {
      return candidate.own_running == (candidate.local ? 1 : 0);
    }));
    Send(shares, candidates, 6);
    CPPUNIT_ASSERT(std::ranges::all_of(candidates, [](const ShareCandidate& candidate) {
      return candidate.own_running == 1;
    }));
  }

  /// Guards against shares of a former list after a daemon or a server came or went.
  void ChangeOfDaemonsOrServersTakesEffect()
  {
    PlaceShares shares = Shares(0, 36);
    auto candidates = Servers(12, 3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, *shares.Choose(candidates, START));
    shares.SetDaemons(5, 36);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, *shares.Choose(candidates, START));
    CPPUNIT_ASSERT(shares.UsedOwnSlot());
    candidates.erase(candidates.begin());
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, *shares.Choose(candidates, START));
    CPPUNIT_ASSERT(shares.UsedOwnSlot() && candidates[4].server == VmId("s-105"));
  }

  void UnusualInputIsAccepted()
  {
    PlaceShares shares;
    CPPUNIT_ASSERT(!shares.Choose({}, START));
    shares.SetDaemons(9, 0);
    CPPUNIT_ASSERT(!shares.Choose({}, START));
    auto candidates = Servers(2, 0);
    CPPUNIT_ASSERT(shares.Choose(candidates, START));
    shares.SetDaemons(40, 20);
    CPPUNIT_ASSERT(shares.Choose(candidates, START));
  }

  /// Guards against slow servers that look average, at 0.4 responses a second from each.
  void SpeedsFollowResponseTimes()
  {
    ServerSpeeds speeds;
    TimePoint now = START;
    for (int i = 0; i < 10; ++i, now += Milliseconds(2500))
      for (int server = 0; server < 4; ++server)
        speeds.NoteResponse(VmId(std::to_string(server)), Milliseconds(server == 0 ? 240 : 120),
                            now);
    CPPUNIT_ASSERT(speeds.SpeedOf(VmId("0"), now) < 0.75);
    CPPUNIT_ASSERT(speeds.SpeedOf(VmId("1"), now) > 1.05);
    CPPUNIT_ASSERT_EQUAL(1.0, speeds.SpeedOf(VmId("unknown"), now));
  }

  /// Guards against a server that stays avoided after it has recovered: without requests there are
  /// no responses that show it.
  void SpeedsDecayToAverage()
  {
    ServerSpeeds speeds;
    for (int i = 0; i < 20; ++i)
      for (int server = 0; server < 4; ++server)
        speeds.NoteResponse(VmId(std::to_string(server)), Milliseconds(server == 0 ? 1200 : 120),
                            START);
    CPPUNIT_ASSERT(speeds.SpeedOf(VmId("0"), START) < 0.5);
    CPPUNIT_ASSERT(speeds.SpeedOf(VmId("0"), START + std::chrono::minutes(2)) > 0.95);
  }

  /// Guards against avoiding a server because one response waited in its queue.
  void OneSlowResponseIsNotASlowServer()
  {
    ServerSpeeds speeds;
    for (int i = 0; i < 8; ++i)
      for (int server = 0; server < 4; ++server)
        speeds.NoteResponse(VmId(std::to_string(server)), Milliseconds(120), START);
    speeds.NoteResponse(VmId("0"), Milliseconds(240), START);
    CPPUNIT_ASSERT(speeds.SpeedOf(VmId("0"), START) > 0.85);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlaceSharesTest);
} // namespace

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/DrainRegistry.h"
#include "Gateway/DrainState.h"
#include "Gateway/ServerDirectory.h"
#include "Gateway/ServerDiscovery.h"

namespace
{
using namespace Gateway;
using Common::Milliseconds;
using Common::TimePoint;
using RateLimits::ServerKey;

constexpr TimePoint START{std::chrono::hours(1)};
constexpr Milliseconds GRACE{1000};

class DrainStateTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DrainStateTest);
  CPPUNIT_TEST(AnnouncementIsFinalAfterTheGracePeriod);
  CPPUNIT_TEST(EntryAppliesAtOnceAndIsFinal);
  CPPUNIT_TEST(OlderEntryDoesNotReturnADrainingServerToService);
  CPPUNIT_TEST(LaterResponseOverridesAReportOfAnotherVm);
  CPPUNIT_TEST(ConditionIsKeptWhileAnEntryIsExpired);
  CPPUNIT_TEST(RestartedServerIsNotDraining);
  CPPUNIT_TEST(AnnouncementBeforeTheEntryOfARestartedServerApplies);
  CPPUNIT_TEST(AllDaemonsLearnOfADrainDespiteMessageLoss);
  CPPUNIT_TEST(OldEntriesExpireAndAreNotAnnouncedAgain);
  CPPUNIT_TEST_SUITE_END();

  void AnnouncementIsFinalAfterTheGracePeriod()
  {
    DrainState state;
    CPPUNIT_ASSERT(state.NoteAnnounced(START));
    CPPUNIT_ASSERT(!state.NoteAnnounced(START + GRACE / 2));
    CPPUNIT_ASSERT(state.IsDraining() && state.MayServe(START + GRACE / 2, GRACE));
    CPPUNIT_ASSERT(!state.MayServe(START + GRACE, GRACE));
    state.NoteNotAnnounced(START + GRACE);
    state.SetEntry(false);
    CPPUNIT_ASSERT(!state.MayServe(START + std::chrono::hours(24), GRACE));
  }

  void EntryAppliesAtOnceAndIsFinal()
  {
    DrainState state;
    state.SetEntry(true);
    CPPUNIT_ASSERT(!state.MayServe(START, GRACE));
    state.SetEntry(false);
    CPPUNIT_ASSERT(state.IsDraining() && !state.MayServe(START, GRACE));
    CPPUNIT_ASSERT(!state.MayServe(START + std::chrono::hours(24), GRACE));
    state.NoteAnnounced(START);
    state.SetEntry(true);
    CPPUNIT_ASSERT(!state.MayServe(START, GRACE));
  }

  void LaterResponseOverridesAReportOfAnotherVm()
  {
    DrainState state;
    state.NoteReported(START);
    CPPUNIT_ASSERT(state.IsDraining() && state.MayServe(START + std::chrono::hours(1), GRACE));
    state.NoteNotAnnounced(START - Milliseconds(1));
    CPPUNIT_ASSERT(state.IsDraining());
    state.NoteNotAnnounced(START + Milliseconds(1));
    state.NoteReported(START + Milliseconds(2));
    CPPUNIT_ASSERT(!state.IsDraining());
    state.NoteAnnounced(START + Milliseconds(3));
    CPPUNIT_ASSERT(state.IsDraining());
  }

  static ServerEntry EntryOf(std::int64_t started)
  {
    ServerEntry entry;
    entry.instance = InstanceId("i-1", ServerStart(started));
    entry.pool = PoolId("pool");
    return entry;
  }

  /// Entries expire during an outage of the platform's store and are written again unchanged.
  void ConditionIsKeptWhileAnEntryIsExpired()
  {
    ServerDirectory directory;
    directory.Put(EntryOf(1));
    const auto now = Common::Now();
    const ServerPtr before = directory.FindLatest(InstanceId("i-1"));
    before->Drain().NoteAnnounced(now);
    directory.Remove(before->Entry().instance);
    // A request that was in progress during the removal is rejected.
    before->GetBackoff().NoteRejected(now);
    directory.Put(EntryOf(1));
    const ServerPtr after = directory.FindLatest(InstanceId("i-1"));
    CPPUNIT_ASSERT(before != after);
    CPPUNIT_ASSERT(after->IsDraining());
    CPPUNIT_ASSERT(after->GetBackoff().IsActive(now));
  }

  /// A copy from before the announcement brought the server back as a ready one.
  void OlderEntryDoesNotReturnADrainingServerToService()
  {
    ServerDirectory directory;
    ServerEntry draining = EntryOf(1);
    draining.draining = true;
    directory.Put(draining);
    directory.Put(EntryOf(1));
    CPPUNIT_ASSERT(!directory.FindLatest(InstanceId("i-1"))->AcceptsRequests(Common::Now()));
    directory.Remove(draining.instance);
    directory.Put(EntryOf(1));
    CPPUNIT_ASSERT(!directory.FindLatest(InstanceId("i-1"))->AcceptsRequests(Common::Now()));
  }

  void RestartedServerIsNotDraining()
  {
    ServerDirectory directory;
    directory.Put(EntryOf(1));
    directory.FindLatest(InstanceId("i-1"))->Drain().NoteAnnounced(Common::Now());
    directory.Put(EntryOf(2));
    CPPUNIT_ASSERT(!directory.FindLatest(InstanceId("i-1"))->IsDraining());
  }

  /// A server has restarted under its id, and its responses arrive before its new entry.
  void AnnouncementBeforeTheEntryOfARestartedServerApplies()
  {
    ServerDirectory directory;
    directory.SetDrainGrace(GRACE);
    directory.Put(EntryOf(1));
    const auto announced_at = Common::Now();
    const ServerPtr before = directory.FindLatest(InstanceId("i-1"));
    before->Drain().NoteAnnounced(announced_at);
    before->GetBackoff().NoteRetryAfter(Milliseconds(3000), announced_at);
    directory.Put(EntryOf(2));
    const ServerPtr next = directory.FindLatest(InstanceId("i-1"));
    CPPUNIT_ASSERT(next->GetBackoff().IsRetryAfterActive(announced_at));
    next->Drain().NoteAnnounced(announced_at + GRACE * 2);
    CPPUNIT_ASSERT(!next->AcceptsRequests(announced_at + GRACE * 2));
  }

  void OldEntriesExpireAndAreNotAnnouncedAgain()
  {
    DrainRegistry holder;
    DrainRegistry daemon;
    holder.BeginTenure(1);
    holder.Note(ServerKey(7), START);
    daemon.ApplyUpdate(1, holder.NextUpdate(10, START), START);
    const auto later = START + std::chrono::minutes(11);
    CPPUNIT_ASSERT(holder.NextUpdate(10, later).empty() && holder.Empty());
    daemon.ApplyUpdate(1, {}, later);
    CPPUNIT_ASSERT(daemon.Unconfirmed().empty());
    daemon.ApplyUpdate(1, {}, START + std::chrono::minutes(21));
    CPPUNIT_ASSERT(daemon.Empty());
  }

  /// A message between a daemon and the lease holder, which may be lost, delayed or duplicated.
  struct Message
  {
    TimePoint arrives_at;
    std::size_t to = 0;
    std::int64_t tenure = 0; ///< Tenure of the holder that is the sender or recipient.
    bool is_update = false;
    std::vector<ServerKey> servers;
  };

  void AllDaemonsLearnOfADrainDespiteMessageLoss()
  {
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
      std::mt19937 random(seed);
      const auto draw = [&](unsigned bound) {
        return random() % bound;
      };
      constexpr std::size_t DAEMONS = 12;
      std::vector<DrainRegistry> registries(DAEMONS);
      std::deque<Message> in_transit;
      const auto send = [&](const Message& message) {
        for (unsigned copies = draw(10) < 2 ? 0 : 1 + draw(2); copies > 0; --copies)
        {
          in_transit.push_back(message);
          in_transit.back().arrives_at += Milliseconds(draw(400));
        }
      };
      std::size_t holder = 0;
      std::int64_t tenure = 1;
      registries[holder].BeginTenure(tenure);
      const ServerKey server(7);
      registries[3].Note(server, START);
      for (int tick = 0; tick < 60; ++tick)
      {
        const auto now = START + Milliseconds(100 * tick);
        if (tick % 15 == 14)
        {
          // The holder fails, possibly before it has announced the server.
          registries[holder].EndTenure();
          holder = draw(DAEMONS);
          registries[holder].BeginTenure(++tenure);
        }
        for (std::size_t i = 0; i < DAEMONS; ++i)
          if (const auto unconfirmed = registries[i].Unconfirmed(); !unconfirmed.empty())
            send({now, holder, tenure, false, unconfirmed});
        for (std::size_t i = 0; i < DAEMONS; ++i)
          send({now, i, tenure, true, registries[holder].NextUpdate(1, now)});
        std::deque<Message> later;
        for (const Message& message : in_transit)
        {
          if (message.arrives_at > now)
            later.push_back(message);
          else if (message.is_update)
            registries[message.to].ApplyUpdate(message.tenure, message.servers, now);
          else if (message.to == holder && message.tenure == tenure)
            registries[holder].Note(message.servers.front(), now);
        }
        in_transit = later;
      }
      CPPUNIT_ASSERT(std::ranges::all_of(registries, [&](const DrainRegistry& registry) {
        return registry.Contains(server) && registry.Unconfirmed().empty();
      }));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainStateTest);
} // namespace

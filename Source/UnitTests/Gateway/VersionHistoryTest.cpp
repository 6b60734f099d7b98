// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/VersionHistory.h"

#include <cstddef>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/ServerDiscovery.h"
#include "UnitTests/Support/RelayWorld.h"

namespace
{
using Common::Milliseconds;
using Gateway::StreamOrigins;

class VersionHistoryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(VersionHistoryTest);
  CPPUNIT_TEST(HistoryIsCompleteWithoutAGap);
  CPPUNIT_TEST(HistoryOfASuspendedVmIsTakenForComplete);
  CPPUNIT_TEST(VersionOfAReplacedProgramIsForgotten);
  CPPUNIT_TEST(VersionThatCameAndWentAtOnceIsForgotten);
  CPPUNIT_TEST(HistoryAcrossASnapshotIsTakenForComplete);
  CPPUNIT_TEST(HistoryWithAnUnseenEntryIsTakenForComplete);
  CPPUNIT_TEST(VersionsReadBeforeAGapAreTakenForAll);
  CPPUNIT_TEST_SUITE_END();

  /// Follows a server of version "a" for twice the retention time, up to the returned moment.
  Common::TimePoint Follow(UnitTests::RelayWorld& world, Gateway::VersionHistory& history)
  {
    world.AddServer("a-1", Http::Endpoint{}, {}, "a");
    auto now = Common::Now();
    const auto end = now + 2 * StreamOrigins::RETENTION;
    for (; now < end; now += Milliseconds(500))
    {
      world.dispatcher.Servers().RecordProof(now);
      history.Observe(now);
    }
    CPPUNIT_ASSERT(history.IsComplete(now));
    return now;
  }

  void HistoryIsCompleteWithoutAGap()
  {
    UnitTests::RelayWorld world;
    Gateway::VersionHistory history(world.dispatcher.Servers());
    const auto now = Follow(world, history);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), history.Recent(Gateway::PoolId("pool"), now).size());
  }

  /// Meanwhile other daemons began streams at "a", whose servers were then replaced. The entries
  /// arrive before the first tick.
  void HistoryOfASuspendedVmIsTakenForComplete()
  {
    UnitTests::RelayWorld world;
    Gateway::VersionHistory history(world.dispatcher.Servers());
    const auto now = Follow(world, history) + StreamOrigins::RETENTION + Milliseconds(1000);
    world.dispatcher.Servers().Remove(Gateway::InstanceId("a-1"));
    world.AddServer("b-1", Http::Endpoint{}, {}, "b");
    world.dispatcher.Servers().RecordProof(now);
    history.Observe(now);
    CPPUNIT_ASSERT(history.Recent(Gateway::PoolId("pool"), now).size() > 1 ||
                   !history.IsComplete(now));
  }

  std::size_t CountVersions(UnitTests::RelayWorld& world)
  {
    return world.dispatcher.Versions().Recent(Gateway::PoolId("pool"), Common::Now()).size();
  }

  /// A server runs "a", then "b", then "c" under the same entry. Versions that it no longer runs
  /// are remembered for the retention time, and no longer.
  void VersionOfAReplacedProgramIsForgotten()
  {
    UnitTests::RelayWorld world;
    for (const std::string version : {"a", "b", "c"})
      world.AddServer("i-1", Http::Endpoint{}, {}, version);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), CountVersions(world));
    Gateway::VersionHistory& history = world.dispatcher.Versions();
    const auto now = Common::Now();
    history.Observe(now);
    const auto later = now + StreamOrigins::RETENTION + Milliseconds(1000);
    history.Observe(later);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), history.Recent(Gateway::PoolId("pool"), later).size());
  }

  /// Between two ticks, in which other daemons began streams.
  void VersionThatCameAndWentAtOnceIsForgotten()
  {
    UnitTests::RelayWorld world;
    world.AddServer("a-1", Http::Endpoint{}, {}, "a");
    world.dispatcher.Versions().Observe(Common::Now());
    world.AddServer("b-1", Http::Endpoint{}, {}, "b");
    world.dispatcher.Servers().Remove(Gateway::InstanceId("b-1"));
    world.dispatcher.Versions().Observe(Common::Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), CountVersions(world));
  }

  /// The store no longer had the changes, so that all entries were read anew.
  void HistoryAcrossASnapshotIsTakenForComplete()
  {
    UnitTests::RelayWorld world;
    Gateway::VersionHistory history(world.dispatcher.Servers());
    const auto now = Follow(world, history);
    Gateway::ServerDiscovery discovery(world.dispatcher.Servers());
    discovery.ApplySnapshot({}, now);
    history.Observe(now);
    CPPUNIT_ASSERT(!history.IsComplete(now));
    history.NoteRestored(now - Milliseconds(1));
    CPPUNIT_ASSERT(!history.IsComplete(now));
    history.NoteRestored(now + Milliseconds(1));
    CPPUNIT_ASSERT(history.IsComplete(now + Milliseconds(2)));
  }

  /// An entry was written and removed between two responses of the store.
  void HistoryWithAnUnseenEntryIsTakenForComplete()
  {
    UnitTests::RelayWorld world;
    Gateway::VersionHistory history(world.dispatcher.Servers());
    const auto now = Follow(world, history);
    Gateway::ServerDiscovery discovery(world.dispatcher.Servers());
    discovery.ApplyRemoval(Gateway::InstanceId("b-1"), now);
    history.Observe(now);
    CPPUNIT_ASSERT(!history.IsComplete(now));
  }

  /// The response with the versions arrives after this daemon was out of touch.
  void VersionsReadBeforeAGapAreTakenForAll()
  {
    UnitTests::RelayWorld world;
    Gateway::VersionHistory history(world.dispatcher.Servers());
    const auto requested_at = Follow(world, history);
    const auto now = requested_at + Milliseconds(3000);
    world.dispatcher.Servers().RecordProof(now);
    history.Observe(now);
    history.Observe(now + Milliseconds(100));
    history.NoteRestored(requested_at);
    CPPUNIT_ASSERT(!history.IsComplete(now + Milliseconds(100)));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(VersionHistoryTest);
} // namespace

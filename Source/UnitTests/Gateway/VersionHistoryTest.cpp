// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/VersionHistory.h"

#include <cppunit/extensions/HelperMacros.h>

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
};
CPPUNIT_TEST_SUITE_REGISTRATION(VersionHistoryTest);
} // namespace

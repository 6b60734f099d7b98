// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// All requests for one model were refused for half a minute and more, 880 to 2,839 of them, while
// the only server with a copy of its weights was given order after order for other models. The
// model needed 72,700 MB; that server's memory was full of smaller ones, none of which made room
// alone: "model-passed-over obstacle=no_room waiting=30 oldest_wait_ms=1857 free_mb=272
// needed_mb=72700". A load from the weight store to any other server was to follow once a request
// had waited for 5.5 s. Callers leave a silent stream earlier, so no request ever had, and
// neither a change of the holder nor a restart of all daemons changed that.

#include <cstddef>
#include <numeric>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Decisions/Replays/Fleet.h"

namespace
{
using Common::Milliseconds;
using UnitTests::Fleet;
using UnitTests::FleetSettings;
using UnitTests::Stream;
using UnitTests::StreamResult;

/// Callers leave, or are refused, after so long; a load from the weight store takes longer.
constexpr Milliseconds PATIENCE{1680};

std::string Text(const StreamResult& result)
{
  return std::to_string(result.asked) + " asked, " + std::to_string(result.in_target) +
         " in target, " + std::to_string(result.late) + " late";
}

FleetSettings ImpatientFleet()
{
  FleetSettings settings;
  settings.batch = 64;
  settings.run_time = Milliseconds(300);
  settings.from_disk = Milliseconds(500);
  settings.from_store = Milliseconds(6000);
  settings.store_loads_at_once = 4;
  settings.patience = PATIENCE;
  settings.server_mb = 199472;
  return settings;
}

class NeverServedTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(NeverServedTest);
  CPPUNIT_TEST(ALargeModelAmongSmallerOnes);
  CPPUNIT_TEST(ADiskCopyWhoseServerIsNeverFree);
  CPPUNIT_TEST_SUITE_END();

  /// Load: eight models of 34 to 66 GB are asked for in turn and fill the one server with copies of
  /// them all; from 10 s on most requests want a ninth one of 73 GB.
  void ALargeModelAmongSmallerOnes()
  {
    FleetSettings settings = ImpatientFleet();
    settings.servers = 1;
    settings.models_mb = {65100, 65500, 34300, 34300, 65500, 65100, 65500, 65100, 72700};
    settings.models = settings.models_mb.size();
    settings.disks = {std::vector<std::size_t>(settings.models)};
    std::iota(settings.disks[0].begin(), settings.disks[0].end(), std::size_t(0));
    const std::vector<Stream> streams = {
        {0, 8, 6, Milliseconds(0), Milliseconds(40000), Milliseconds(2000), 0},
        {8, 1, 20, Milliseconds(10000), Milliseconds(40000), Milliseconds(2000), 0}};
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
    {
      const auto results = Fleet(settings, seed).Play(streams, Milliseconds(42000));
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " + Text(results[1]),
                             results[1].Served() > results[1].asked / 2);
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " + Text(results[0]),
                             results[0].Served() > results[0].asked / 4);
    }
  }

  /// Load: the server with the only copy holds three models that are in use without a pause; a
  /// second server is idle, without a copy. From 5 s on a fourth model
  /// is asked for.
  void ADiskCopyWhoseServerIsNeverFree()
  {
    FleetSettings settings = ImpatientFleet();
    settings.servers = 2;
    settings.batch = 128;
    settings.models_mb = {65100, 72700, 65500, 72700, 65500, 72700, 65100};
    settings.models = settings.models_mb.size();
    settings.disks = {{0, 2, 4, 6}, {}};
    std::vector<Stream> streams = {
        {6, 1, 3, Milliseconds(5000), Milliseconds(35000), Milliseconds(2000), 0}};
    for (const std::size_t in_use : {0, 2, 4})
      streams.push_back(
          {in_use, 1, 100, Milliseconds(0), Milliseconds(35000), Milliseconds(2000), 0});
    const auto results = Fleet(settings, 1).Play(streams, Milliseconds(37000));
    // Some 5.5 s in vain and 6.1 s of loading go before.
    CPPUNIT_ASSERT_MESSAGE(Text(results[0]), results[0].Served() > results[0].asked / 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NeverServedTest);
} // namespace

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Guards against models that are never loaded: all 880 to 2,839 requests for one model were refused
// for half a minute or more, while the only server with a copy of its weights executed orders for
// other models. The model needed 72,700 MB, and no single eviction on that server freed enough:
// "model-passed-over obstacle=no_room waiting=30 oldest_wait_ms=1857 free_mb=272 needed_mb=72700".
// A load from the weight store to another server required a request that had waited for 5.5 s, but
// callers disconnect from a stream without data earlier. Neither a change of the holder nor a
// restart of all daemons helped.

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

/// Requests time out after this time, which is shorter than a load from the weight store.
constexpr Milliseconds REQUEST_TIMEOUT{1680};

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
  settings.request_timeout = REQUEST_TIMEOUT;
  settings.server_mb = 199472;
  return settings;
}

class NeverServedTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(NeverServedTest);
  CPPUNIT_TEST(ServesLargeModelAmongSmallerOnes);
  CPPUNIT_TEST(ServesModelWhoseDiskServerIsAlwaysBusy);
  CPPUNIT_TEST_SUITE_END();

  /// Eight models of 34 to 66 GB are requested alternately and fill the only server, which has
  /// copies of all models. From 10 s on, most requests are for a ninth model of 73 GB.
  void ServesLargeModelAmongSmallerOnes()
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
      const auto results = Fleet(settings, seed).Simulate(streams, Milliseconds(42000));
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " + Text(results[1]),
                             results[1].Served() > results[1].asked / 2);
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " + Text(results[0]),
                             results[0].Served() > results[0].asked / 4);
    }
  }

  /// The server with the only copy of a fourth model has three models loaded that are in continuous
  /// use. A second server is idle and has no copy. The fourth model is requested from 5 s on.
  void ServesModelWhoseDiskServerIsAlwaysBusy()
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
    const auto results = Fleet(settings, 1).Simulate(streams, Milliseconds(37000));
    // The first 11.6 s are unserved: about 5.5 s until the load is ordered and 6.1 s of loading.
    CPPUNIT_ASSERT_MESSAGE(Text(results[0]), results[0].Served() > results[0].asked / 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NeverServedTest);
} // namespace

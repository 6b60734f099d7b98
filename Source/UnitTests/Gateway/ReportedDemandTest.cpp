// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// The demand that a daemon reports for requests that only some servers may take.

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/RelayWorld.h"

namespace
{
using namespace Gateway;
using Common::DataCentreId;
using Common::Milliseconds;
using Common::RegionId;
using UnitTests::Chunk;
using UnitTests::Event;
using UnitTests::HeaderOf;
using UnitTests::RunUntil;
using UnitTests::STREAM_PATH;
using UnitTests::StreamHead;
using UnitTests::TestPeer;
using UnitTests::TestServer;

const DataCentreId EAST("east");
const DataCentreId WEST("west");
const RegionId R1("r1");
const RegionId R2("r2");
const ModelId MODEL("m");

/// Breaks off each stream at its first event.
void BreakOff(TestPeer& peer, const std::string& head)
{
  peer.stream->Write(StreamHead(head) + Chunk(Event(1)));
  Common::Reactor::Get().After(Milliseconds(10), [&peer] {
    peer.stream->Close();
  });
}

/// A relay with servers in two regions whose streams use model "m".
class World : public UnitTests::RelayWorld
{
public:
  World()
  {
    DispatcherSettings settings = dispatcher.Settings();
    settings.regions = {{EAST, R1}, {WEST, R2}};
    dispatcher.Configure(settings);
    ServeModel(Milliseconds(100));
    ChangeStreamRoute([](Route& route) {
      route.uses_model = true;
    });
  }

  void ChangeStreamRoute(const std::function<void(Route&)>& change)
  {
    auto configuration = std::make_shared<Configuration>(*dispatcher.CurrentConfiguration());
    ++configuration->version;
    for (Route& route : configuration->routes)
      if (route.path_prefix == STREAM_PATH)
        change(route);
    dispatcher.SetConfiguration(configuration);
  }

  void Put(const std::string& instance, const TestServer& server, const char* version,
           const DataCentreId& data_centre, bool holds_model)
  {
    ServerEntry entry;
    entry.instance = InstanceId(instance);
    entry.version = SoftwareVersion(version);
    entry.pool = PoolId("pool");
    entry.endpoint = server.Address();
    entry.data_centre = data_centre;
    entry.slots = 10;
    entry.on_disk = {MODEL};
    if (holds_model)
      entry.models.push_back({MODEL, {}});
    dispatcher.Servers().Put(entry);
  }

  /// A stream begins at version "a" and breaks off; the model is left at version "b" only, and
  /// another caller takes the stream up.
  std::unique_ptr<TestPeer> ResumeWithoutItsModel()
  {
    Put("i-1", first, "a", EAST, true);
    Ask(STREAM_PATH, "id-1", "Model: m\r\n");
    CPPUNIT_ASSERT(RunUntil([this] {
      return caller.ended;
    }));
    Put("i-1", first, "a", EAST, false);
    Put("i-2", second, "b", WEST, true);
    dispatcher.TakeDemand();
    auto next = NewCaller();
    next->stream->Write("POST /stream/ HTTP/1.1\r\nHost: shop.example\r\nReq-Id: id-2\r\n"
                        "Model: m\r\nLast-Event-Id: 1\r\nResumes: id-1\r\n\r\n");
    return next;
  }

  /// The demand as soon as a request waits.
  std::vector<ArtifactDemand> DemandOfAWaitingRequest()
  {
    std::vector<ArtifactDemand> demand;
    CPPUNIT_ASSERT(RunUntil([&] {
      demand = dispatcher.TakeDemand();
      return demand.size() == 1 && demand[0].waiting == 1;
    }));
    return demand;
  }

  TestServer first{BreakOff};
  TestServer second{BreakOff};
};

class ReportedDemandTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ReportedDemandTest);
  CPPUNIT_TEST(DemandOfAResumedStreamNamesNoVersion);
  CPPUNIT_TEST(DemandOfARestrictedRouteNamesNoRegion);
  CPPUNIT_TEST(DemandOfABlockedPartNamesNoVersion);
  CPPUNIT_TEST(RequestThatNoServerMayTakeIsReported);
  CPPUNIT_TEST(RefusalOfAResumedStreamExpectsNoLoad);
  CPPUNIT_TEST_SUITE_END();

  void DemandOfAResumedStreamNamesNoVersion()
  {
    World world;
    const auto caller = world.ResumeWithoutItsModel();
    const PlacementConstraint constraint = world.DemandOfAWaitingRequest()[0].key.constraint;
    CPPUNIT_ASSERT(constraint.versions == std::set{SoftwareVersion("a")});
    CPPUNIT_ASSERT(constraint.regions.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.second.requests.size());
  }

  void DemandOfARestrictedRouteNamesNoRegion()
  {
    World world;
    world.ChangeStreamRoute([](Route& route) {
      route.allowed_regions = {R1};
    });
    world.Put("i-1", world.first, "a", EAST, false);
    world.Put("i-2", world.second, "a", WEST, true);
    world.Ask(STREAM_PATH, "id-1", "Model: m\r\n");
    const PlacementConstraint constraint = world.DemandOfAWaitingRequest()[0].key.constraint;
    CPPUNIT_ASSERT(constraint.regions == std::set{R1});
    CPPUNIT_ASSERT(constraint.versions.empty());
  }

  /// The part crashes servers of one version; the other version does not hold the model.
  void DemandOfABlockedPartNamesNoVersion()
  {
    World world;
    Crashes::CaseLine line;
    line.request = Crashes::FingerprintOf(Crashes::PromptPartIdentity{"", "bad", "b"});
    line.blocks = 1;
    line.blocked_for_ms = 600000;
    world.dispatcher.MergeCrashCases({line});
    world.Put("i-1", world.first, "a", EAST, false);
    world.Put("i-2", world.second, "b", EAST, true);
    world.Ask(STREAM_PATH, "id-1", "Model: m\r\nParts: bad:7,own:5\r\n");
    const PlacementConstraint constraint = world.DemandOfAWaitingRequest()[0].key.constraint;
    CPPUNIT_ASSERT(constraint.versions == std::set{SoftwareVersion("a")});
  }

  void RequestThatNoServerMayTakeIsReported()
  {
    World world;
    world.ChangeStreamRoute([](Route& route) {
      route.allowed_regions = {RegionId("r3")};
    });
    world.Put("i-1", world.first, "a", EAST, false);
    world.Ask(STREAM_PATH, "id-1", "Model: m\r\n");
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 503 "));
    CPPUNIT_ASSERT(world.dispatcher.TakeDemand().empty());
  }

  /// The Retry-After leaves time for a load.
  void RefusalOfAResumedStreamExpectsNoLoad()
  {
    World world;
    const auto caller = world.ResumeWithoutItsModel();
    CPPUNIT_ASSERT(RunUntil([&] {
      return caller->received.find("\r\n\r\n") != std::string::npos;
    }));
    CPPUNIT_ASSERT(caller->received.starts_with("HTTP/1.1 503 "));
    CPPUNIT_ASSERT_EQUAL(std::string("0.5"), HeaderOf(caller->received, "Retry-After"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ReportedDemandTest);
} // namespace

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Loads for requests that only some servers may take: those that resume a stream of one software
// version, and those with allowed regions.

#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Daemons/Codec.h"
#include "Orders/OrderManager.h"
#include "UnitTests/Support/Loopback.h"

namespace
{
using namespace Orders;
using namespace Gateway;
using Common::Milliseconds;
using Common::RegionId;
using UnitTests::RunUntil;

constexpr double MODEL_MB = 70;
/// Memory for two models.
constexpr double SERVER_MB = 150;
/// Long enough for several plans.
constexpr Milliseconds SOME_PLANS{100};

/// Constraint of requests that resume a stream of this version.
PlacementConstraint OfVersion(const char* version)
{
  return {{SoftwareVersion(version)}, {}};
}

PlacementConstraint InRegion(const char* region)
{
  return {{}, {RegionId(region)}};
}

/// An OrderManager with servers in data centre "east" of region "r1" and "west" of region "r2".
class TwoVersions
{
public:
  TwoVersions()
      : order_manager(servers,
                      {[this](const OrderCall& call, auto done) {
                         calls.push_back(call);
                         m_soon.Call([done] {
                           done(OrderResult::Accepted);
                         });
                       },
                       [this](const InstanceId&, const Http::Endpoint&, auto done) {
                         m_soon.Call([done] {
                           done(ServerReport{4, false, {}, {}});
                         });
                       },
                       [] {}},
                      {5,
                       {{Common::DataCentreId("east"), RegionId("r1")},
                        {Common::DataCentreId("west"), RegionId("r2")}}})
  {
    auto configuration = std::make_shared<Configuration>();
    Pool pool;
    pool.id = PoolId("p");
    ModelServerSpec engine;
    engine.batch = 8;
    engine.memory_mb = SERVER_MB;
    engine.adapter_slots = 2;
    engine.loads_per_second = 3;
    for (const char* name : {"m", "x", "y"})
      engine.models[ModelId(name)] = {
          ModelId(name), MODEL_MB, Milliseconds(6000), Milliseconds(500), Milliseconds(300), 3, 1};
    pool.model_server = engine;
    configuration->pools[pool.id] = pool;
    order_manager.SetConfiguration(configuration);
    order_manager.SetPermission([]() -> std::optional<OrderPermit> {
      return OrderPermit{9, Common::Now() + std::chrono::hours(1)};
    });
  }

  void AddServer(const std::string& id, const char* version, const char* data_centre,
                 const std::vector<const char*>& models)
  {
    ServerEntry entry;
    entry.instance = InstanceId(id);
    entry.version = SoftwareVersion(version);
    entry.data_centre = Common::DataCentreId(data_centre);
    entry.pool = PoolId("p");
    entry.slots = 8;
    for (const char* name : models)
      entry.models.push_back({ModelId(name), {}});
    entry.on_disk = {ModelId("m"), ModelId("x"), ModelId("y")};
    servers.Put(entry);
  }

  /// Two servers of version "a" without model "m", and one of version "b" that holds it.
  void AddServers()
  {
    AddServer("a-1", "a", "east", {"x"});
    AddServer("a-2", "a", "east", {"y"});
    AddServer("b-1", "b", "west", {"m"});
  }

  /// One request waits for model "m", or for an adapter of it.
  void Demand(const PlacementConstraint& constraint, const char* adapter = "")
  {
    Demand(std::vector{constraint}, adapter);
  }
  /// One request waits with each of these constraints.
  void Demand(const std::vector<PlacementConstraint>& constraints, const char* adapter = "")
  {
    DaemonReport daemon;
    daemon.vm = Common::VmId("vm");
    daemon.run = Common::Incarnation("run");
    daemon.sequence = ++m_sequence;
    for (const PlacementConstraint& constraint : constraints)
      daemon.demand.push_back(
          {PoolId("p"), {ModelId("m"), AdapterId(adapter)}, 1, 0, 10, 1, constraint});
    order_manager.OnDaemonReport(daemon, Common::Now());
  }

  bool PlanUntilFirstOrder()
  {
    return RunUntil([&] {
      order_manager.Plan(Common::Now());
      return !calls.empty();
    });
  }

  void PlanFor(Milliseconds span)
  {
    const auto end = Common::Now() + span;
    RunUntil([&] {
      order_manager.Plan(Common::Now());
      return Common::Now() >= end;
    });
  }

  ServerDirectory servers;
  std::vector<OrderCall> calls;
  OrderManager order_manager;

private:
  UnitTests::DeferredCaller m_soon;
  std::uint64_t m_sequence = 0;
};

class BoundDemandTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BoundDemandTest);
  CPPUNIT_TEST(ModelHeldByAnotherVersionIsNotLoaded);
  CPPUNIT_TEST(ModelHeldInAnotherRegionIsNotLoaded);
  CPPUNIT_TEST(ModelOfAnUnknownVersionIsNotLoaded);
  CPPUNIT_TEST(AdapterHeldByAnotherVersionIsNotLoaded);
  CPPUNIT_TEST(AdapterIsLoadedAtAnotherVersion);
  CPPUNIT_TEST(VersionWithoutServersCausesOrders);
  CPPUNIT_TEST(RegionWithoutServersCausesOrders);
  CPPUNIT_TEST(DemandBeyondTheLimitIsIgnored);
  CPPUNIT_TEST(UnboundDemandLineIsMuchLonger);
  CPPUNIT_TEST_SUITE_END();

  static void CheckLoadOn(TwoVersions& fleet, const std::string& prefix)
  {
    CPPUNIT_ASSERT(fleet.PlanUntilFirstOrder());
    const OrderCall& call = fleet.calls[0];
    CPPUNIT_ASSERT(call.operation == OrderCall::Operation::Load);
    CPPUNIT_ASSERT_EQUAL(ModelId("m"), call.artifact.model);
    CPPUNIT_ASSERT_EQUAL(prefix, call.instance.Get().substr(0, prefix.size()));
  }

  void ModelHeldByAnotherVersionIsNotLoaded()
  {
    TwoVersions fleet;
    fleet.AddServers();
    fleet.Demand(OfVersion("a"));
    CheckLoadOn(fleet, "a-");
  }

  void ModelHeldInAnotherRegionIsNotLoaded()
  {
    TwoVersions fleet;
    fleet.AddServers();
    fleet.Demand(InRegion("r1"));
    CheckLoadOn(fleet, "a-");
  }

  /// The stream began at a server whose entry names no version.
  void ModelOfAnUnknownVersionIsNotLoaded()
  {
    TwoVersions fleet;
    fleet.AddServers();
    fleet.AddServer("none-1", "", "west", {});
    fleet.Demand(OfVersion(""));
    CheckLoadOn(fleet, "none-");
  }

  void AdapterHeldByAnotherVersionIsNotLoaded()
  {
    TwoVersions fleet;
    fleet.AddServer("a-1", "a", "east", {"m"});
    ServerEntry holder;
    holder.instance = InstanceId("b-1");
    holder.version = SoftwareVersion("b");
    holder.pool = PoolId("p");
    holder.models = {{ModelId("m"), {AdapterId("t")}}};
    fleet.servers.Put(holder);
    fleet.Demand(OfVersion("a"), "t");
    CheckLoadOn(fleet, "a-");
    CPPUNIT_ASSERT_EQUAL(AdapterId("t"), fleet.calls[0].artifact.adapter);
  }

  void AdapterIsLoadedAtAnotherVersion()
  {
    TwoVersions fleet;
    fleet.AddServer("b-1", "b", "west", {"m"});
    fleet.AddServer("z-1", "a", "east", {"m"});
    fleet.Demand(OfVersion("a"), "t");
    CheckLoadOn(fleet, "z-");
    CPPUNIT_ASSERT_EQUAL(AdapterId("t"), fleet.calls[0].artifact.adapter);
  }

  static void CheckNoOrders(const PlacementConstraint& constraint)
  {
    TwoVersions fleet;
    fleet.AddServer("a-1", "a", "east", {"x", "y"});
    fleet.AddServer("b-1", "b", "west", {});
    fleet.Demand(constraint);
    fleet.PlanFor(SOME_PLANS);
    CPPUNIT_ASSERT(fleet.calls.empty());
  }

  void VersionWithoutServersCausesOrders() { CheckNoOrders(OfVersion("c")); }
  void RegionWithoutServersCausesOrders() { CheckNoOrders(InRegion("r3")); }

  void DemandBeyondTheLimitIsIgnored()
  {
    TwoVersions fleet;
    fleet.AddServer("a-1", "a", "east", {});
    std::vector<PlacementConstraint> constraints;
    for (int i = 0; i < 1024; ++i)
      constraints.push_back(OfVersion(("gone-" + std::to_string(i)).c_str()));
    constraints.push_back(OfVersion("a"));
    fleet.Demand(constraints);
    CheckLoadOn(fleet, "a-");
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1),
                         fleet.order_manager.Counters().at("bound_demand_over_limit"));
  }

  void UnboundDemandLineIsMuchLonger()
  {
    const DemandLine line{PoolId("p"), {ModelId("m"), AdapterId("")}, 1, 0, 10, 1, {}};
    const std::string before = Daemons::Encode(line.pool) + Daemons::Encode(line.artifact) +
                               Daemons::Encode(line.waiting) + Daemons::Encode(line.priority) +
                               Daemons::Encode(line.oldest_wait_ms) +
                               Daemons::Encode(line.arrivals);
    CPPUNIT_ASSERT(Daemons::Encode(line).size() <= before.size() + 2);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BoundDemandTest);
} // namespace

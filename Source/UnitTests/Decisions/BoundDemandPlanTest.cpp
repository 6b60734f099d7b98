// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Plans for requests that only some servers may take.

#include "Decisions/ReplicaPlan.h"

#include <algorithm>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

namespace
{
using namespace Decisions;
using Common::Milliseconds;

const auto NOW = Common::TimePoint() + std::chrono::hours(1);
constexpr double MODEL_MB = 70;
/// Memory for two models.
constexpr double SERVER_MB = 150;

constexpr ModelIndex WANTED{0};
constexpr ModelIndex FIRST{1};
constexpr ModelIndex SECOND{2};
constexpr std::size_t MODELS = 3;

constexpr ServerGroup A{0};
constexpr ServerGroup B{1};

/// Servers of two groups that all have the weights of all models on disk.
struct Fleet
{
  Fleet()
  {
    input.now = NOW;
    input.batch = 8;
    input.store_loads_allowed = 1;
    for (std::size_t i = 0; i < MODELS; ++i)
    {
      PlannedModel& model = input.models.emplace_back();
      model.memory_mb = MODEL_MB;
      model.from_host_memory = Milliseconds(400);
      model.from_disk = Milliseconds(800);
      model.from_store = Milliseconds(6000);
    }
  }

  PlannedServer& AddServer(ServerGroup group, const std::vector<ModelIndex>& held,
                           const std::vector<ModelIndex>& on_disk = {WANTED, FIRST, SECOND})
  {
    input.copies.Set(ServerIndex(input.servers.size()), {}, on_disk);
    PlannedServer& server = input.servers.emplace_back();
    server.group = group;
    server.memory_mb = SERVER_MB;
    for (const ModelIndex model : held)
      server.replicas.push_back({model, 0, Common::TimePoint()});
    return server;
  }

  /// One request waits for the model, and only servers of these groups may take it.
  BoundDemand& Wait(ModelIndex model, const std::vector<ServerGroup>& groups)
  {
    BoundDemand& demand = input.bound_demands.emplace_back();
    demand.model = model;
    demand.waiting = 1;
    demand.last_wanted = NOW;
    for (const ServerGroup group : groups)
    {
      demand.groups.resize(std::max(demand.groups.size(), At(group) + 1));
      demand.groups[At(group)] = true;
    }
    return demand;
  }

  std::vector<PlannedOrder> Plan() const { return PlanReplicas(input).orders; }
  ServerGroup GroupOf(const PlannedOrder& order) const
  {
    return input.servers[At(order.server)].group;
  }

  ReplicaPlanInput input;
};

class BoundDemandPlanTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BoundDemandPlanTest);
  CPPUNIT_TEST(ModelHeldByOtherServersIsNotLoaded);
  CPPUNIT_TEST(ModelIsLoadedOnAServerThatMayNotTakeTheRequest);
  CPPUNIT_TEST(PendingLoadElsewherePreventsTheLoad);
  CPPUNIT_TEST(PendingLoadIsRepeated);
  CPPUNIT_TEST(RequestsThatNoServerMayTakeCauseOrders);
  CPPUNIT_TEST(OneLoadIsOrderedForEachKindOfDemand);
  CPPUNIT_TEST(BoundRequestsStarveBehindModelsInUse);
  CPPUNIT_TEST(ReplicaIsEvictedAsSurplusWhileItsRequestsWait);
  CPPUNIT_TEST(ReplicaOfAlternatingDemandIsEvictedAsSurplus);
  CPPUNIT_TEST(ReplicaIsKeptForRequestsThatItCannotServe);
  CPPUNIT_TEST(FullServerOfTheGroupGetsNoSecondReplica);
  CPPUNIT_TEST_SUITE_END();

  void ModelHeldByOtherServersIsNotLoaded()
  {
    Fleet fleet;
    fleet.AddServer(B, {WANTED});
    fleet.AddServer(A, {});
    fleet.AddServer(A, {});
    fleet.Wait(WANTED, {A});
    const auto orders = fleet.Plan();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), orders.size());
    CPPUNIT_ASSERT(orders[0].kind == PlannedOrder::Kind::Load && orders[0].model == WANTED);
    CPPUNIT_ASSERT(fleet.GroupOf(orders[0]) == A);
  }

  /// The other server could load the model faster.
  void ModelIsLoadedOnAServerThatMayNotTakeTheRequest()
  {
    Fleet fleet;
    fleet.AddServer(B, {});
    fleet.AddServer(A, {}, {});
    fleet.Wait(WANTED, {A});
    const auto orders = fleet.Plan();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), orders.size());
    CPPUNIT_ASSERT(fleet.GroupOf(orders[0]) == A);
    CPPUNIT_ASSERT(orders[0].source == WeightSource::WeightStore);
  }

  void PendingLoadElsewherePreventsTheLoad()
  {
    Fleet fleet;
    PlannedServer& busy = fleet.AddServer(B, {});
    busy.order_open = true;
    busy.loading = WANTED;
    fleet.AddServer(A, {});
    fleet.Wait(WANTED, {A});
    const auto orders = fleet.Plan();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), orders.size());
    CPPUNIT_ASSERT(fleet.GroupOf(orders[0]) == A);
  }

  void PendingLoadIsRepeated()
  {
    Fleet fleet;
    fleet.AddServer(B, {});
    PlannedServer& busy = fleet.AddServer(A, {});
    busy.order_open = true;
    busy.loading = WANTED;
    fleet.AddServer(A, {});
    fleet.Wait(WANTED, {A});
    CPPUNIT_ASSERT(fleet.Plan().empty());
  }

  void RequestsThatNoServerMayTakeCauseOrders()
  {
    Fleet fleet;
    fleet.AddServer(A, {FIRST, SECOND});
    fleet.AddServer(B, {});
    BoundDemand& demand = fleet.Wait(WANTED, {});
    demand.waiting = 100;
    demand.arrivals_per_second = 100;
    demand.oldest_wait = demand.unserved_for = std::chrono::hours(1);
    CPPUNIT_ASSERT(fleet.Plan().empty());
  }

  /// Any server may take the other requests for the model.
  void OneLoadIsOrderedForEachKindOfDemand()
  {
    Fleet fleet;
    fleet.AddServer(B, {});
    fleet.AddServer(A, {});
    fleet.input.servers[1].in_flight = 5;
    fleet.input.models[At(WANTED)].waiting = 1;
    fleet.Wait(WANTED, {A});
    const auto orders = fleet.Plan();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), orders.size());
    CPPUNIT_ASSERT(fleet.GroupOf(orders[0]) == A);
  }

  void BoundRequestsStarveBehindModelsInUse()
  {
    Fleet fleet;
    fleet.AddServer(B, {WANTED});
    PlannedServer& full = fleet.AddServer(A, {FIRST, SECOND});
    for (PlannedReplica& replica : full.replicas)
    {
      replica.in_flight = 1;
      fleet.input.models[At(replica.model)].in_flight = 1;
    }
    BoundDemand& demand = fleet.Wait(WANTED, {A});
    CPPUNIT_ASSERT(fleet.Plan().empty());
    demand.unserved_for = Milliseconds(1000);
    const auto orders = fleet.Plan();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), orders.size());
    CPPUNIT_ASSERT(orders[0].kind == PlannedOrder::Kind::Unload && orders[0].for_model == WANTED);
    CPPUNIT_ASSERT(fleet.GroupOf(orders[0]) == A);
  }

  /// Requests for another model wait at two full servers that both hold the wanted one.
  static Fleet TwoReplicas()
  {
    Fleet fleet;
    fleet.AddServer(A, {WANTED, SECOND});
    fleet.AddServer(B, {WANTED, SECOND});
    fleet.input.models[At(SECOND)].waiting = 1;
    fleet.input.models[At(FIRST)].waiting = 1;
    return fleet;
  }

  void ReplicaIsEvictedAsSurplusWhileItsRequestsWait()
  {
    Fleet fleet = TwoReplicas();
    fleet.Wait(WANTED, {A});
    const auto orders = fleet.Plan();
    CPPUNIT_ASSERT(std::ranges::none_of(orders, [&](const PlannedOrder& order) {
      return fleet.GroupOf(order) == A && order.model == WANTED;
    }));
  }

  void ReplicaOfAlternatingDemandIsEvictedAsSurplus()
  {
    Fleet fleet = TwoReplicas();
    fleet.input.models[At(SECOND)].in_flight = 2;
    for (PlannedServer& server : fleet.input.servers)
      server.replicas[1].in_flight = 1;
    fleet.Wait(WANTED, {A});
    BoundDemand& demand = fleet.Wait(WANTED, {B});
    demand.waiting = 0;
    demand.last_wanted = NOW - Milliseconds(200);
    CPPUNIT_ASSERT(fleet.Plan().empty());
  }

  void ReplicaIsKeptForRequestsThatItCannotServe()
  {
    Fleet fleet = TwoReplicas();
    fleet.input.models[At(SECOND)].in_flight = 2;
    for (PlannedServer& server : fleet.input.servers)
      server.replicas[1].in_flight = 1;
    fleet.Wait(WANTED, {A});
    const auto orders = fleet.Plan();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), orders.size());
    CPPUNIT_ASSERT(orders[0].model == WANTED && orders[0].for_model == FIRST);
    CPPUNIT_ASSERT(fleet.GroupOf(orders[0]) == B);
  }

  void FullServerOfTheGroupGetsNoSecondReplica()
  {
    Fleet fleet;
    fleet.AddServer(A, {WANTED}).replicas[0].in_flight = 8;
    fleet.AddServer(A, {});
    for (int i = 0; i < 8; ++i)
      fleet.AddServer(B, {WANTED});
    fleet.input.models[At(WANTED)].in_flight = 8;
    fleet.input.models[At(WANTED)].arrivals_per_second = 1;
    fleet.Wait(WANTED, {A}).in_flight = 8;
    const auto orders = fleet.Plan();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), orders.size());
    CPPUNIT_ASSERT(fleet.GroupOf(orders[0]) == A && orders[0].model == WANTED);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BoundDemandPlanTest);
} // namespace

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Plans for requests that only some servers may take.

#include "Decisions/ReplicaPlan.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>
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

/// Plans repeatedly for two full servers, one of each group, while two models are in steady use and
/// two further demands alternate. Orders take effect at once.
class AlternatingDemands
{
public:
  /// Each of the two demands: its model, and the groups that may serve it (empty: any).
  using Demands = std::array<std::pair<ModelIndex, std::vector<ServerGroup>>, 2>;

  explicit AlternatingDemands(Demands demands) : m_demands(std::move(demands))
  {
    m_fleet.input.models.push_back(m_fleet.input.models[At(WANTED)]);
    m_fleet.AddServer(A, {FIRST, SECOND}, {WANTED, FIRST, SECOND, OTHER});
    m_fleet.AddServer(B, {FIRST, SECOND}, {WANTED, FIRST, SECOND, OTHER});
  }

  /// The number of models evicted, and of periods in which the alternating demand was served.
  std::pair<int, int> Run()
  {
    for (int step = 0; step < PERIODS * STEPS_PER_PERIOD; ++step)
    {
      const bool begins = step % STEPS_PER_PERIOD == 0;
      m_was_served = m_was_served && !begins;
      m_fleet.input.now = NOW + STEP * step;
      m_waited = begins ? Milliseconds(0) : m_waited;
      SetDemand(m_demands[static_cast<std::size_t>(step / STEPS_PER_PERIOD % 2)]);
      for (const PlannedOrder& order : m_fleet.Plan())
        Apply(order);
    }
    return {m_evictions, m_served_periods};
  }

  static constexpr ModelIndex OTHER{3};
  static constexpr int PERIODS = 20;

private:
  static constexpr Milliseconds STEP{100};
  /// Longer than the wait after which a model in use is evicted.
  static constexpr int STEPS_PER_PERIOD = 20;

  bool IsHeld(ModelIndex model, const std::vector<ServerGroup>& groups) const
  {
    return std::ranges::any_of(m_fleet.input.servers, [&](const PlannedServer& server) {
      const bool may_serve =
          groups.empty() || std::ranges::find(groups, server.group) != groups.end();
      return may_serve && std::ranges::find(server.replicas, model, &PlannedReplica::model) !=
                              server.replicas.end();
    });
  }

  void SetDemand(const std::pair<ModelIndex, std::vector<ServerGroup>>& alternating)
  {
    ReplicaPlanInput& input = m_fleet.input;
    input.bound_demands.clear();
    for (PlannedModel& model : input.models)
      static_cast<ModelDemand&>(model) = ModelDemand{.last_wanted = model.last_wanted};
    for (const ModelIndex model : {FIRST, SECOND})
      Want(input.models[At(model)], IsHeld(model, {}), m_unheld[At(model)]);
    for (PlannedServer& server : input.servers)
      for (PlannedReplica& replica : server.replicas)
      {
        replica.in_flight = replica.model == FIRST || replica.model == SECOND ? 1 : 0;
        input.models[At(replica.model)].in_flight += replica.in_flight;
      }
    const auto& [model, groups] = alternating;
    const bool held = IsHeld(model, groups);
    ModelDemand& demand = groups.empty() ? static_cast<ModelDemand&>(input.models[At(model)])
                                         : m_fleet.Wait(model, groups);
    Want(demand, held, m_waited);
    if (held && !std::exchange(m_was_served, true))
      ++m_served_periods;
  }

  /// Requests for a model that is held are served at once.
  void Want(ModelDemand& demand, bool held, Milliseconds& waited) const
  {
    waited = held ? Milliseconds(0) : waited + STEP;
    demand.waiting = held ? 0 : 1;
    demand.oldest_wait = demand.unserved_for = waited;
    demand.last_wanted = m_fleet.input.now;
  }

  void Apply(const PlannedOrder& order)
  {
    PlannedServer& server = m_fleet.input.servers[At(order.server)];
    const auto evict = [&](ModelIndex model) {
      m_evictions +=
          static_cast<int>(std::erase_if(server.replicas, [&](const PlannedReplica& replica) {
            return replica.model == model;
          }));
    };
    if (order.for_model)
      evict(order.model);
    std::ranges::for_each(order.also_unload, evict);
    server.replicas.push_back({order.for_model.value_or(order.model), 0, m_fleet.input.now});
  }

  Demands m_demands;
  Fleet m_fleet;
  std::array<Milliseconds, MODELS> m_unheld{};
  Milliseconds m_waited{0};
  bool m_was_served = false;
  int m_served_periods = 0;
  int m_evictions = 0;
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
  CPPUNIT_TEST(FullServerOfTheGroupGetsNoSecondReplicaFromTheStore);
  CPPUNIT_TEST(AlternatingDemandsForOneModelEvictMoreThanTwoModels);
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
    BoundDemand& demand = fleet.Wait(WANTED, {A});
    demand.in_flight = 8;
    demand.arrivals_per_second = 1;
    const auto orders = fleet.Plan();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), orders.size());
    CPPUNIT_ASSERT(fleet.GroupOf(orders[0]) == A && orders[0].model == WANTED);
  }

  /// Only the full server has the weights on its disk.
  void FullServerOfTheGroupGetsNoSecondReplicaFromTheStore()
  {
    Fleet fleet;
    fleet.AddServer(A, {WANTED}).replicas[0].in_flight = 8;
    fleet.AddServer(A, {}, {});
    for (int i = 0; i < 8; ++i)
      fleet.AddServer(B, {WANTED}, {});
    fleet.input.models[At(WANTED)].in_flight = 8;
    BoundDemand& demand = fleet.Wait(WANTED, {A});
    demand.in_flight = 8;
    demand.arrivals_per_second = 1;
    const auto orders = fleet.Plan();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), orders.size());
    CPPUNIT_ASSERT(fleet.GroupOf(orders[0]) == A && orders[0].model == WANTED);
    CPPUNIT_ASSERT(orders[0].source == WeightSource::WeightStore);
  }

  void AlternatingDemandsForOneModelEvictMoreThanTwoModels()
  {
    const auto [bound_evictions, bound_served] =
        AlternatingDemands({{{WANTED, {A}}, {WANTED, {B}}}}).Run();
    const auto [evictions, served] =
        AlternatingDemands({{{WANTED, {}}, {AlternatingDemands::OTHER, {}}}}).Run();
    const std::string seen = std::to_string(bound_evictions) + " and " + std::to_string(evictions) +
                             " evicted, " + std::to_string(bound_served) + " and " +
                             std::to_string(served) + " periods served";
    CPPUNIT_ASSERT_MESSAGE(seen, bound_evictions <= evictions);
    CPPUNIT_ASSERT_MESSAGE(seen, bound_served >= AlternatingDemands::PERIODS - 1);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BoundDemandPlanTest);
} // namespace

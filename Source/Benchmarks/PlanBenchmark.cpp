// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Measures the cost of a replica plan on the holder of the order lease, including the maintenance
// of its input.

#include <benchmark/benchmark.h>
#include <pcg_random.hpp>

#include "Orders/PlanInputBuilder.h"
#include "UnitTests/Decisions/RandomFleet.h"
#include "UnitTests/Decisions/ReferencePlan.h"

namespace
{
using namespace Orders;
using Common::Milliseconds;
using Decisions::ServerIndex;

constexpr int DAEMONS = 300;
constexpr std::size_t LOADED_PER_SERVER = 3;
constexpr std::size_t ON_DISK_PER_SERVER = 18;
/// Reports that a busy holder receives between two plans.
constexpr int REPORTS_PER_PLAN = 10;

Gateway::ModelId ModelName(std::uint64_t number)
{
  return Gateway::ModelId("model" + std::to_string(number));
}

/// A pool in which every server is full: its 230,000 MB hold three models of 72,700 MB. The daemons
/// report requests that wait for random models, whether loaded or not.
class BusyPool
{
public:
  BusyPool(std::size_t servers, std::size_t models, std::size_t waiting)
      : m_models(models), m_waiting_requests(waiting)
  {
    Gateway::Pool pool;
    Gateway::EngineSpec engine;
    engine.batch = 12;
    engine.memory_mb = 230000;
    for (std::size_t i = 0; i < models; ++i)
      engine.models[ModelName(i)] = {
          ModelName(i), 72700, Milliseconds(13200), Milliseconds(640), Milliseconds(470), 0, 66};
    pool.engine = engine;
    m_builder.Configure(pool);
    std::vector<Gateway::ServerPtr> all_servers;
    for (std::size_t i = 0; i < servers; ++i)
      all_servers.push_back(std::make_shared<Gateway::Server>(MakeEntry(i)));
    m_builder.SetServers(all_servers, m_in_flight_totals);
    for (std::size_t i = 0; i < servers; ++i)
    {
      m_builder.SetHeld(ServerIndex(i), HeldModels(*all_servers[i]));
      m_builder.SetState(ServerIndex(i), {});
    }
    for (int daemon = 0; daemon < DAEMONS; ++daemon)
      ApplyReport(daemon);
  }

  /// Applies the reports of some daemons and a changed entry of one server, and makes a plan.
  /// Returns the number of orders.
  std::size_t RunPlanningRound()
  {
    for (int i = 0; i < REPORTS_PER_PLAN; ++i)
      ApplyReport(m_report_count++ % DAEMONS);
    const auto changed = static_cast<ServerIndex>(m_report_count % m_builder.Servers().size());
    m_builder.SetHeld(changed, HeldModels(*m_builder.ServerAt(changed)));
    return Decisions::PlanReplicas(m_builder.Input(Common::Now(), 2)).orders.size();
  }

private:
  Gateway::ModelId RandomModel() { return ModelName(m_random() % m_models); }

  Gateway::ServerEntry MakeEntry(std::size_t number)
  {
    Gateway::ServerEntry entry;
    entry.instance = Gateway::InstanceId("i-" + std::to_string(number));
    for (std::size_t i = 0; i < LOADED_PER_SERVER; ++i)
      entry.models.push_back({RandomModel(), {}});
    for (std::size_t i = 0; i < ON_DISK_PER_SERVER; ++i)
      entry.on_disk.push_back(RandomModel());
    return entry;
  }

  static std::vector<HeldModel> HeldModels(const Gateway::Server& server)
  {
    std::vector<HeldModel> held;
    for (const Gateway::LoadedModel& loaded : server.Entry().models)
      held.push_back({loaded.model, Common::TimePoint()});
    return held;
  }

  void ApplyReport(int daemon)
  {
    const Common::VmId vm("vm-" + std::to_string(daemon));
    std::vector<DemandLine> demand;
    for (std::size_t i = 0; i < m_waiting_requests / DAEMONS + 1; ++i)
      demand.push_back({Gateway::PoolId("p"), {RandomModel(), {}}, 1, 2, 400, 1});
    m_builder.ApplyDemand(vm, demand, Common::Now());
    const auto& server = m_builder.ServerAt(ServerIndex(m_random() % m_builder.Servers().size()));
    m_in_flight_totals.UpdateDaemon(
        vm, {{server->Entry().instance, 1, {{server->Entry().models[0].model, 1}}}});
  }

  std::size_t m_models;
  std::size_t m_waiting_requests;
  pcg64 m_random{1};
  InFlightTotals m_in_flight_totals;
  PlanInputBuilder m_builder;
  int m_report_count = 0;
};

void PlanReplicas(benchmark::State& state)
{
  BusyPool busy_pool(state.range(0), state.range(1), state.range(2));
  for (auto round : state)
    benchmark::DoNotOptimize(busy_pool.RunPlanningRound());
}

/// The first version of the planner, for comparison: without the maintenance of its input, on a
/// random fleet.
void PlanReplicasReference(benchmark::State& state)
{
  pcg64 random(1);
  const auto fleet = UnitTests::RandomFleet({static_cast<std::size_t>(state.range(0)),
                                             static_cast<std::size_t>(state.range(1)),
                                             static_cast<std::size_t>(state.range(2))},
                                            random);
  ReferencePlan::ReplicaPlanInput input;
  input.now = fleet.now;
  input.store_loads_allowed = 2;
  for (std::size_t i = 0; i < fleet.models.size(); ++i)
  {
    const Decisions::PlannedModel& model = fleet.models[i];
    ReferencePlan::PlannedModel& converted = input.models[ModelName(i).Get()];
    converted.model = ModelName(i).Get();
    converted.memory_mb = model.memory_mb;
    converted.from_disk = model.from_disk;
    converted.from_store = model.from_store;
    converted.waiting = model.waiting;
    converted.oldest_wait = Milliseconds(400);
  }
  for (std::size_t i = 0; i < fleet.servers.size(); ++i)
  {
    ReferencePlan::PlannedServer& converted = input.servers.emplace_back();
    converted.instance = "i-" + std::to_string(i);
    converted.memory_mb = fleet.servers[i].memory_mb;
    for (const Decisions::PlannedReplica& replica : fleet.servers[i].replicas)
      converted.replicas.push_back(
          {ModelName(Decisions::At(replica.model)).Get(), replica.in_flight, replica.since});
    for (std::size_t model = 0; model < fleet.models.size(); ++model)
      if (fleet.copies.SourceOn(ServerIndex(i), Decisions::ModelIndex(model)) ==
          Decisions::WeightSource::Disk)
        converted.on_disk.push_back(ModelName(model).Get());
  }
  for (auto round : state)
    benchmark::DoNotOptimize(ReferencePlan::PlanReplicas(input));
}

/// Arguments: servers, models, models with waiting requests.
BENCHMARK(PlanReplicasReference)
    ->Args({10, 50, 20})
    ->Args({77, 520, 150})
    ->Args({256, 1375, 100})
    ->Args({256, 1375, 600})
    ->Unit(benchmark::kMillisecond);

/// Arguments: servers, models, waiting requests. Each daemon reports an equal share of the
/// requests, rounded down, plus one: 20 become 300, 600 become 900.
BENCHMARK(PlanReplicas)
    ->Args({10, 50, 20})
    ->Args({77, 520, 150})
    ->Args({256, 1375, 100})
    ->Args({256, 1375, 600})
    ->Args({2900, 3140, 2000})
    ->Unit(benchmark::kMillisecond);
} // namespace

BENCHMARK_MAIN();

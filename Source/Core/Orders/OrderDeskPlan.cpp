// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// What the desk knows, as the input of the replica plan.

#include "Orders/OrderDesk.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Common/Loop.h"

namespace Orders
{
namespace
{
using Common::Milliseconds;
using Common::TimePoint;
using Gateway::Artifact;
using Gateway::InstanceId;
using Gateway::ModelId;
using Gateway::Server;
using Gateway::ServerPtr;

/// Loads from the weight store at once: beyond it each takes longer in proportion.
constexpr int STORE_LOADS_AT_ONCE = 4;

std::vector<std::string> Names(const std::vector<ModelId>& models)
{
  std::vector<std::string> names;
  std::ranges::transform(models, std::back_inserter(names), &ModelId::Get);
  return names;
}
} // namespace

double OrderDesk::DemandBook::RateAt(TimePoint now) const
{
  const double elapsed = std::chrono::duration<double>(now - updated).count();
  return arrivals_per_second * std::exp(-elapsed / RATE_SECONDS);
}

int OrderDesk::StoreLoadsAllowed(const Gateway::Pool& pool, TimePoint now) const
{
  const auto window = std::chrono::duration<double>(m_settings.load_window_s);
  const auto begun = std::ranges::count_if(m_store_loads, [&](TimePoint at) {
    return now - at < window;
  });
  int running = 0;
  for (const auto& [instance, book] : m_books)
    if (book.open && book.open->source == Decisions::WeightSource::WeightStore)
      ++running;
  const int by_rate = static_cast<int>(pool.engine->loads_per_second * m_settings.load_window_s) -
                      static_cast<int>(begun);
  return std::min(by_rate, STORE_LOADS_AT_ONCE - running);
}

Decisions::PlannedServer OrderDesk::PlannedServerOf(const Server& server, const Gateway::Pool& pool,
                                                    TimePoint now) const
{
  const Gateway::EngineSpec& engine = *pool.engine;
  const InstanceId& instance = server.Entry().instance;
  const ServerBook& book = m_books.at(instance);
  Decisions::PlannedServer planned;
  planned.instance = instance.Get();
  planned.data_centre = server.Entry().data_centre.Get();
  planned.memory_mb = engine.memory_mb;
  planned.usable = !server.Entry().draining && !server.Health().IsEjected(now) &&
                   now >= book.unusable_until && book.state_known;
  planned.order_open = book.open.has_value();
  if (book.open && book.open->then_load)
    planned.loading = book.open->then_load->Get();
  else if (book.open && book.open->call.operation == OrderCall::Operation::Load)
    planned.loading = book.open->call.artifact.model.Get();
  planned.in_flight = InFlight(instance);
  planned.batch = engine.batch;
  for (const auto& [model, since] : book.loaded_since)
    planned.replicas.push_back({model.Get(), InFlight(instance, model), since});
  // What only the server's report names takes memory all the same; its entry follows.
  for (const ModelId& model : book.reported_models)
    if (!book.loaded_since.contains(model))
      planned.replicas.push_back({model.Get(), InFlight(instance, model), now});
  // Every slot counts as taken, so that an adapter that comes never exceeds the memory.
  const auto largest = std::ranges::max_element(engine.models, {}, [](const auto& entry) {
    return entry.second.adapter_mb;
  });
  if (largest != engine.models.end())
    planned.adapters_mb = engine.adapter_slots * largest->second.adapter_mb;
  planned.in_host_memory = Names(server.Entry().in_host_memory);
  planned.on_disk = Names(server.Entry().on_disk);
  return planned;
}

Decisions::ReplicaPlanInput OrderDesk::PlanInput(const Gateway::Pool& pool, TimePoint now) const
{
  Decisions::ReplicaPlanInput input;
  input.now = now;
  input.store_loads_allowed = StoreLoadsAllowed(pool, now);
  for (const ServerPtr& server : m_servers.InPool(pool.id))
    input.servers.push_back(PlannedServerOf(*server, pool, now));
  for (const auto& [id, spec] : pool.engine->models)
  {
    Decisions::PlannedModel& model = input.models[id.Get()];
    model.model = id.Get();
    model.memory_mb = spec.memory_mb;
    model.from_host_memory = spec.load_from_host_memory;
    model.from_disk = spec.load_from_disk;
    model.from_store = spec.load_from_store;
  }
  for (const auto& [artifact, demand] : m_demand)
  {
    const auto found = input.models.find(artifact.model.Get());
    if (found == input.models.end() || demand.pool != pool.id)
      continue;
    found->second.arrivals_per_second += demand.RateAt(now);
    found->second.last_wanted = std::max(found->second.last_wanted, demand.last_wanted);
  }
  for (const auto& [artifact, waiting] : WaitingNow(pool.id))
  {
    const auto found = input.models.find(artifact.model.Get());
    if (found == input.models.end())
      continue;
    found->second.waiting += waiting.count;
    found->second.priority = std::min(found->second.priority, waiting.priority);
    found->second.oldest_wait = std::max(found->second.oldest_wait, waiting.oldest);
  }
  for (const Decisions::PlannedServer& server : input.servers)
    for (const Decisions::PlannedReplica& replica : server.replicas)
      if (const auto found = input.models.find(replica.model); found != input.models.end())
        found->second.in_flight += replica.in_flight;
  return input;
}

void OrderDesk::PlanPool(const Gateway::Pool& pool, TimePoint now)
{
  for (const Decisions::PlannedOrder& order : Decisions::PlanReplicas(PlanInput(pool, now)))
  {
    const ServerPtr server = m_servers.Find(InstanceId(order.instance));
    if (!server)
      continue;
    const bool is_load = order.kind == Decisions::PlannedOrder::Kind::Load;
    std::optional<ModelId> then_load;
    if (!order.for_model.empty())
      then_load = ModelId(order.for_model);
    Give(server, is_load ? OrderCall::Operation::Load : OrderCall::Operation::Unload,
         ModelId(order.model), then_load, order.source, order.reason);
  }
}

std::map<InstanceId, std::int32_t> OrderDesk::InFlightByServer() const
{
  std::map<InstanceId, std::int32_t> sums;
  for (const auto& [vm, daemon] : m_daemons)
    for (const LoadLine& line : daemon.last.loads)
      sums[line.instance] += line.in_flight;
  return sums;
}

void OrderDesk::SumLoads()
{
  m_in_flight = InFlightByServer();
  m_in_flight_by_model.clear();
  for (const auto& [vm, daemon] : m_daemons)
    for (const LoadLine& line : daemon.last.loads)
      for (const auto& [model, count] : line.by_model)
        m_in_flight_by_model[{line.instance, model}] += count;
}

std::map<Artifact, OrderDesk::Waiting> OrderDesk::WaitingNow(const Gateway::PoolId& pool) const
{
  std::map<Artifact, Waiting> waiting;
  for (const auto& [vm, daemon] : m_daemons)
    for (const DemandLine& line : daemon.last.demand)
    {
      if (line.pool != pool || line.waiting == 0)
        continue;
      Waiting& entry = waiting[line.artifact];
      entry.count += line.waiting;
      entry.priority = std::min(entry.priority, line.priority);
      entry.oldest = std::max(entry.oldest, Milliseconds(line.oldest_wait_ms));
    }
  return waiting;
}
} // namespace Orders

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Orders/PlanInputBuilder.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "Common/Mechanisms.h"

namespace Orders
{
using Common::Milliseconds;
using Common::TimePoint;
using Decisions::At;
using Decisions::ModelIndex;
using Decisions::ServerGroup;
using Decisions::ServerIndex;
using Gateway::ModelId;

double PlanInputBuilder::Rate::At(TimePoint now) const
{
  const double elapsed = std::chrono::duration<double>(now - updated).count();
  return arrivals_per_second * std::exp(-elapsed / RATE_SECONDS);
}

void PlanInputBuilder::Rate::Add(int arrivals, TimePoint now)
{
  arrivals_per_second = At(now) + std::max(arrivals, 0) / RATE_SECONDS;
  updated = now;
}

ModelIndex PlanInputBuilder::Intern(const ModelId& model)
{
  const auto [found, is_new] = m_models.try_emplace(model, ModelIndex(m_names.size()));
  if (is_new)
  {
    m_names.push_back(model);
    m_rates.emplace_back();
    m_unserved.emplace_back();
    m_input.models.emplace_back().listed = false;
  }
  return found->second;
}

void PlanInputBuilder::Configure(const Gateway::Pool& pool, std::optional<Milliseconds> late_after)
{
  const Gateway::ModelServerSpec& engine = *pool.model_server;
  m_memory_mb = engine.memory_mb;
  m_input.batch = engine.batch;
  m_input.rules = {Common::IsOn(Common::Mechanism::SpareReplicas),
                   Common::IsOn(Common::Mechanism::Turns),
                   Common::IsOn(Common::Mechanism::DiskWait), late_after};
  for (Decisions::PlannedModel& model : m_input.models)
  {
    model.listed = false;
    model.memory_mb = 0;
  }
  double largest_adapter_mb = 0;
  for (const auto& [id, spec] : engine.models)
  {
    Decisions::PlannedModel& model = m_input.models[At(Intern(id))];
    model.listed = true;
    model.memory_mb = spec.memory_mb;
    model.from_host_memory = spec.load_from_host_memory;
    model.from_disk = spec.load_from_disk;
    model.from_store = spec.load_from_store;
    largest_adapter_mb = std::max(largest_adapter_mb, spec.adapter_mb);
  }
  // Memory is reserved for every adapter slot, so that loading an adapter never exceeds the limit.
  m_adapters_mb = engine.adapter_slots * largest_adapter_mb;
}

void PlanInputBuilder::SetServers(std::vector<Gateway::ServerPtr> servers,
                                  InFlightTotals& in_flight_totals)
{
  m_servers = std::move(servers);
  m_loads.clear();
  std::ranges::transform(m_servers, std::back_inserter(m_loads), [&](const auto& server) {
    return &in_flight_totals.ForServer(server->Entry().instance);
  });
  m_input.copies.Clear();
  m_input.servers.assign(m_servers.size(), {});
  m_groups.clear();
}

ServerGroup PlanInputBuilder::GroupOf(const Gateway::ServerEntry& entry)
{
  const auto region = m_regions.find(entry.data_centre);
  const ServerAttributes attributes{
      entry.version, region == m_regions.end() ? std::nullopt : std::optional(region->second)};
  const auto found = std::ranges::find(m_groups, attributes);
  const auto group = static_cast<ServerGroup>(found - m_groups.begin());
  if (found == m_groups.end())
    m_groups.push_back(attributes);
  return group;
}

std::vector<bool>
PlanInputBuilder::GroupsAllowedBy(const Gateway::PlacementConstraint& constraint) const
{
  std::vector<bool> allowed;
  std::ranges::transform(m_groups, std::back_inserter(allowed), [&](const ServerAttributes& group) {
    return constraint.Allows(group.version, group.region);
  });
  return allowed;
}

PlanInputBuilder::BoundRecord*
PlanInputBuilder::FindBoundRecord(ModelIndex model, const Gateway::PlacementConstraint& constraint)
{
  const BoundKey key{model, constraint};
  const auto found = m_bound.find(key);
  if (found != m_bound.end())
    return &found->second;
  return m_bound.size() < MAX_BOUND_DEMANDS ? &m_bound[key] : nullptr;
}

void PlanInputBuilder::ApplyLine(const DemandLine& line, ModelIndex model,
                                 std::vector<WaitingLine>& waiting, TimePoint now)
{
  const bool is_bound = !line.constraint.Empty();
  BoundRecord* record = is_bound ? FindBoundRecord(model, line.constraint) : nullptr;
  if (is_bound && record == nullptr)
    ++m_lines_over_limit;
  Rate& rate = record == nullptr ? m_rates[At(model)] : record->rate;
  rate.Add(line.arrivals, now);
  if (line.arrivals > 0 || line.waiting > 0)
    (record == nullptr ? m_input.models[At(model)].last_wanted : record->last_wanted) = now;
  if (line.waiting > 0)
    waiting.push_back({model, line.waiting, line.priority, now - Milliseconds(line.oldest_wait_ms),
                       record == nullptr ? Gateway::PlacementConstraint() : line.constraint,
                       line.artifact.IsAdapter()});
}

bool PlanInputBuilder::ApplyDemand(const Common::VmId& daemon, const std::vector<DemandLine>& lines,
                                   TimePoint now)
{
  bool all_known = true;
  std::vector<WaitingLine>& waiting = m_waiting[daemon];
  waiting.clear();
  for (const DemandLine& line : lines)
  {
    const auto found = m_models.find(line.artifact.model);
    if (found == m_models.end() || !m_input.models[At(found->second)].listed)
    {
      all_known = false;
      continue;
    }
    ApplyLine(line, found->second, waiting, now);
  }
  if (waiting.empty())
    m_waiting.erase(daemon);
  return all_known;
}

void PlanInputBuilder::SetHeld(ServerIndex server, const std::vector<HeldModel>& held)
{
  const Gateway::ServerEntry& entry = ServerAt(server)->Entry();
  const auto positions = [&](const std::vector<ModelId>& models) {
    std::vector<ModelIndex> result;
    std::ranges::transform(models, std::back_inserter(result), [&](const ModelId& model) {
      return Intern(model);
    });
    return result;
  };
  m_input.copies.Set(server, positions(entry.in_host_memory), positions(entry.on_disk));
  m_input.servers[At(server)].group = GroupOf(entry);
  std::vector<Decisions::PlannedReplica>& replicas = m_input.servers[At(server)].replicas;
  replicas.clear();
  for (const HeldModel& model : held)
    replicas.push_back({Intern(model.model), 0, model.since});
}

void PlanInputBuilder::SetState(ServerIndex server, const ServerState& state)
{
  Decisions::PlannedServer& planned = m_input.servers[At(server)];
  planned.usable = state.usable;
  planned.order_open = state.order_open;
  planned.draining = state.draining;
  planned.requests_per_second = state.requests_per_second;
  planned.reserved_mb = state.reserved_mb;
  planned.loading.reset();
  if (state.loading)
    planned.loading = Intern(*state.loading);
}

const Decisions::ReplicaPlanInput& PlanInputBuilder::Input(TimePoint now, int store_loads_allowed)
{
  m_input.now = now;
  m_input.store_loads_allowed = store_loads_allowed;
  ListBoundDemands(now);
  SumDemand(now);
  SumInFlight();
  UpdateUnserved(now);
  return m_input;
}

void PlanInputBuilder::ListBoundDemands(TimePoint now)
{
  std::erase_if(m_bound, [&](const auto& entry) {
    return now - entry.second.last_wanted >= BOUND_DEMAND_TIMEOUT;
  });
  m_input.bound_demands.clear();
  for (auto& [key, record] : m_bound)
  {
    record.position.reset();
    std::vector<bool> groups = GroupsAllowedBy(key.constraint);
    if (std::ranges::find(groups, true) == groups.end())
      continue;
    record.position = m_input.bound_demands.size();
    Decisions::BoundDemand& demand = m_input.bound_demands.emplace_back();
    demand.model = key.model;
    demand.groups = std::move(groups);
    demand.arrivals_per_second = record.rate.At(now);
    demand.last_wanted = record.last_wanted;
  }
}

void PlanInputBuilder::SumDemand(TimePoint now)
{
  for (std::size_t i = 0; i < m_input.models.size(); ++i)
  {
    Decisions::PlannedModel& model = m_input.models[i];
    model.waiting = 0;
    model.priority = 9;
    model.oldest_wait = Milliseconds(0);
    model.oldest_wait_for_model = Milliseconds(0);
    model.in_flight = 0;
    model.arrivals_per_second = m_rates[i].At(now);
  }
  for (const auto& [daemon, lines] : m_waiting)
    for (const WaitingLine& line : lines)
      AddWaiting(line, now);
}

void PlanInputBuilder::AddWaiting(const WaitingLine& line, TimePoint now)
{
  Decisions::ModelDemand* demand = &m_input.models[At(line.model)];
  BoundRecord* record =
      line.constraint.Empty() ? nullptr : FindBoundRecord(line.model, line.constraint);
  if (record != nullptr)
  {
    record->last_wanted = now;
    if (!record->position)
      return;
    demand = &m_input.bound_demands[*record->position];
  }
  const auto wait = std::chrono::duration_cast<Milliseconds>(now - line.oldest_since);
  demand->waiting += line.count;
  demand->last_wanted = now;
  demand->priority = std::min(demand->priority, line.priority);
  demand->oldest_wait = std::max(demand->oldest_wait, wait);
  if (!line.for_adapter)
    demand->oldest_wait_for_model = std::max(demand->oldest_wait_for_model, wait);
}

void PlanInputBuilder::UpdateUnserved(TimePoint now)
{
  std::vector<bool> held(m_input.models.size());
  std::vector<bool> held_for_bound(m_input.bound_demands.size());
  for (const Decisions::PlannedServer& server : m_input.servers)
  {
    if (server.draining)
      continue;
    for (const Decisions::PlannedReplica& replica : server.replicas)
    {
      held[At(replica.model)] = true;
      ForEachBoundDemand(server, replica.model, [&](const Decisions::BoundDemand& demand) {
        held_for_bound[static_cast<std::size_t>(&demand - m_input.bound_demands.data())] = true;
      });
    }
  }
  for (std::size_t i = 0; i < m_input.models.size(); ++i)
  {
    Decisions::PlannedModel& model = m_input.models[i];
    model.unserved_for = m_unserved[i].Update(held[i], model.last_wanted, now);
  }
  for (auto& [key, record] : m_bound)
  {
    if (!record.position)
      continue;
    Decisions::BoundDemand& demand = m_input.bound_demands[*record.position];
    demand.unserved_for =
        record.unserved.Update(held_for_bound[*record.position], demand.last_wanted, now);
  }
}

void PlanInputBuilder::SumInFlight()
{
  for (std::size_t i = 0; i < m_servers.size(); ++i)
  {
    Decisions::PlannedServer& server = m_input.servers[i];
    server.memory_mb = m_memory_mb;
    server.adapters_mb = m_adapters_mb;
    server.in_flight = m_loads[i]->in_flight;
    for (Decisions::PlannedReplica& replica : server.replicas)
    {
      replica.in_flight = m_loads[i]->InFlight(NameOf(replica.model));
      m_input.models[At(replica.model)].in_flight += replica.in_flight;
      ForEachBoundDemand(server, replica.model, [&](Decisions::BoundDemand& demand) {
        demand.in_flight += replica.in_flight;
      });
    }
  }
}
} // namespace Orders

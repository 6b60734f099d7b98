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
using Decisions::ServerIndex;
using Gateway::ModelId;

double PlanInputBuilder::Rate::At(TimePoint now) const
{
  const double elapsed = std::chrono::duration<double>(now - updated).count();
  return arrivals_per_second * std::exp(-elapsed / RATE_SECONDS);
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

void PlanInputBuilder::Configure(const Gateway::Pool& pool)
{
  const Gateway::ModelServerSpec& engine = *pool.model_server;
  m_memory_mb = engine.memory_mb;
  m_input.batch = engine.batch;
  m_input.rules = {Common::IsOn(Common::Mechanism::SpareReplicas),
                   Common::IsOn(Common::Mechanism::Turns),
                   Common::IsOn(Common::Mechanism::DiskWait)};
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
    const ModelIndex model = found->second;
    Rate& rate = m_rates[At(model)];
    rate.arrivals_per_second = rate.At(now) + std::max(line.arrivals, 0) / RATE_SECONDS;
    rate.updated = now;
    if (line.arrivals > 0 || line.waiting > 0)
      m_input.models[At(model)].last_wanted = now;
    if (line.waiting > 0)
      waiting.push_back(
          {model, line.waiting, line.priority, now - Milliseconds(line.oldest_wait_ms)});
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
  SumDemand(now);
  SumInFlight();
  UpdateUnserved(now);
  return m_input;
}

void PlanInputBuilder::SumDemand(TimePoint now)
{
  for (std::size_t i = 0; i < m_input.models.size(); ++i)
  {
    Decisions::PlannedModel& model = m_input.models[i];
    model.waiting = 0;
    model.priority = 9;
    model.oldest_wait = Milliseconds(0);
    model.in_flight = 0;
    model.arrivals_per_second = m_rates[i].At(now);
  }
  for (const auto& [daemon, lines] : m_waiting)
    for (const WaitingLine& line : lines)
    {
      Decisions::PlannedModel& model = m_input.models[At(line.model)];
      const auto wait = std::chrono::duration_cast<Milliseconds>(now - line.oldest_since);
      model.waiting += line.count;
      model.last_wanted = now;
      model.priority = std::min(model.priority, line.priority);
      model.oldest_wait = std::max(model.oldest_wait, wait);
    }
}

void PlanInputBuilder::UpdateUnserved(TimePoint now)
{
  std::vector<bool> held(m_input.models.size());
  for (const Decisions::PlannedServer& server : m_input.servers)
    for (const Decisions::PlannedReplica& replica : server.replicas)
      if (!server.draining)
        held[At(replica.model)] = true;
  for (std::size_t i = 0; i < m_input.models.size(); ++i)
  {
    Decisions::PlannedModel& model = m_input.models[i];
    model.unserved_for = m_unserved[i].Update(held[i], model.last_wanted, now);
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
    }
  }
}
} // namespace Orders

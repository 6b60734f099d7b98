// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// OrderManager: orders to load and unload adapters.

#include "Orders/OrderManager.h"

#include <algorithm>
#include <utility>

#include "Common/Log.h"
#include "Common/Loop.h"

namespace Orders
{
namespace
{
using Common::Milliseconds;
using Common::TimePoint;
using Gateway::Artifact;
using Gateway::InstanceId;
using Gateway::Server;
using Gateway::ServerPtr;

/// An adapter with demand within this time is not unloaded to make room for another.
constexpr Milliseconds ADAPTER_MIN_IDLE{1500};
/// Adapter loads that may be in progress on one server at once. The platform's backend servers
/// allow four.
constexpr int MAX_ADAPTER_LOADS = 2;
} // namespace

void OrderManager::PlanAdapters(const Gateway::Pool& pool, TimePoint now)
{
  for (const AdapterDemand& demand : WaitingAdapters(pool.id))
  {
    const Artifact& artifact = demand.artifact;
    const auto holders = Holders(pool.id, demand);
    const bool held = std::ranges::any_of(holders, [&](const ServerRef* ref) {
      const auto adapters = AdaptersOn(*ref->server, *ref->record);
      return ref->server->IsStaying() && !ref->server->Health().IsEjected(now) &&
             std::ranges::find(adapters, artifact) != adapters.end();
    });
    if (!held)
      LoadAdapter(pool, artifact, holders, now);
  }
}

void OrderManager::LoadAdapter(const Gateway::Pool& pool, const Artifact& artifact,
                               const std::vector<const ServerRef*>& holders, TimePoint now)
{
  ServerPtr best;
  std::pair<bool, int> best_key;
  for (const ServerRef* ref : holders)
  {
    const ServerPtr& server = ref->server;
    const ServerRecord& record = *ref->record;
    // A server that executes an order for a model rejects those for adapters.
    if (!server->IsStaying() || server->Health().IsEjected(now) || record.open ||
        server->GetBackoff().IsRetryAfterActive(now) || now < record.unusable_until ||
        !record.state_known)
      continue;
    const bool full =
        static_cast<int>(AdaptersOn(*server, record).size()) >= pool.model_server->adapter_slots;
    if (full && !AdapterToEvict(*server, record, now))
      continue;
    const std::pair key(full, m_in_flight_totals.ForServer(server->Entry().instance).in_flight);
    if (!best || key < best_key)
    {
      best = server;
      best_key = key;
    }
  }
  if (!best)
    return;
  ServerRecord& record = m_server_records[best->Entry().instance];
  const auto loads_in_progress = std::ranges::count_if(record.adapters, [&](const auto& entry) {
    return entry.second.usable_from > now;
  });
  if (record.adapter_call_pending || loads_in_progress >= MAX_ADAPTER_LOADS)
    return;
  if (best_key.first)
    SendAdapterOrder(best, OrderCall::Operation::Unload, *AdapterToEvict(*best, record, now));
  else
    SendAdapterOrder(best, OrderCall::Operation::Load, artifact);
}

std::optional<Artifact>
OrderManager::AdapterToEvict(const Server& server, const ServerRecord& record, TimePoint now) const
{
  std::optional<Artifact> best;
  TimePoint best_wanted;
  for (const Artifact& artifact : AdaptersOn(server, record))
  {
    const auto found = m_adapter_last_demand.find(artifact);
    const TimePoint wanted = found == m_adapter_last_demand.end() ? TimePoint() : found->second;
    if (now - wanted < ADAPTER_MIN_IDLE || (best && wanted >= best_wanted) ||
        record.unloading_adapters.contains(artifact))
      continue;
    best = artifact;
    best_wanted = wanted;
  }
  return best;
}

void OrderManager::SendAdapterOrder(const ServerPtr& server, OrderCall::Operation operation,
                                    const Artifact& artifact)
{
  const auto permit = m_permit();
  if (!permit)
    return;
  ServerRecord& record = m_server_records[server->Entry().instance];
  OrderCall call;
  call.instance = server->Entry().instance;
  call.endpoint = server->Entry().endpoint;
  call.operation = operation;
  call.artifact = artifact;
  call.expected_sequence = record.sequence;
  call.fence = permit->fence;
  call.send_before = permit->until;
  record.adapter_call_pending = true;
  if (operation == OrderCall::Operation::Unload)
  {
    // Announced before the unload, so that daemons stop sending requests for the adapter. It
    // occupies its slot until the server has confirmed the unload.
    record.unloading_adapters.insert(artifact);
    if (m_on_placement_change)
      m_on_placement_change();
  }
  m_channel.send(call, [this, instance = call.instance, call](Common::Result<OrderResult> result) {
    OnAdapterOrderResult(instance, call, std::move(result));
  });
}

void OrderManager::OnAdapterOrderResult(const InstanceId& instance, OrderCall call,
                                        Common::Result<OrderResult> result)
{
  const auto found = m_server_records.find(instance);
  if (found == m_server_records.end())
    return;
  ServerRecord& record = found->second;
  const auto now = Common::Now();
  record.adapter_call_pending = false;
  const bool is_load = call.operation == OrderCall::Operation::Load;
  Common::LogEvent(
      result ? Common::LogLevel::Info : Common::LogLevel::Warning, "adapter-order",
      {{"instance", instance},
       {"operation", is_load ? "load" : "unload"},
       {"artifact", call.artifact.ToString()},
       {"sequence", call.expected_sequence},
       {"answer", result ? ToString(*result) : Common::ToString(result.Reason().kind)}});
  const bool succeeded =
      result && (*result == OrderResult::Accepted || *result == OrderResult::AlreadyInState);
  if (!succeeded)
  {
    record.unloading_adapters.erase(call.artifact);
    record.state_known = false;
    return;
  }
  if (*result == OrderResult::Accepted || !is_load)
    record.sequence = std::max(record.sequence, call.expected_sequence + 1);
  if (!is_load)
  {
    // An adapter in use is unloaded when its last request has ended; the server's entry then shows
    // it.
    if (*result == OrderResult::AlreadyInState)
    {
      record.unloading_adapters.erase(call.artifact);
      record.unloaded_adapters.insert(call.artifact);
      record.adapters.erase(call.artifact);
    }
    return;
  }
  record.unloaded_adapters.erase(call.artifact);
  record.adapters[call.artifact] = {now + ADAPTER_LOAD_TIME};
  AnnounceAdapters();
}

void OrderManager::AnnounceAdapters()
{
  if (m_adapter_timer.Running())
    return;
  m_adapter_timer.Start(ADAPTER_LOAD_TIME, [this] {
    if (m_on_placement_change)
      m_on_placement_change();
    const auto now = Common::Now();
    const bool more = std::ranges::any_of(m_server_records, [&](const auto& entry) {
      return std::ranges::any_of(entry.second.adapters, [&](const auto& adapter) {
        return adapter.second.usable_from > now;
      });
    });
    if (more)
      AnnounceAdapters();
  });
}

std::vector<Artifact> OrderManager::AdaptersOn(const Server& server,
                                               const ServerRecord& record) const
{
  std::set<Artifact> adapters;
  for (const Gateway::LoadedModel& loaded : server.Entry().models)
    for (const Gateway::AdapterId& adapter : loaded.adapters)
      adapters.insert({loaded.model, adapter});
  for (const Artifact& dropped : record.unloaded_adapters)
    adapters.erase(dropped);
  for (const auto& [artifact, adapter] : record.adapters)
    adapters.insert(artifact);
  return {adapters.begin(), adapters.end()};
}
} // namespace Orders

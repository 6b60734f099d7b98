// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// OrderManager: state of each backend server since its last restart.

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
using Gateway::ModelId;
using Gateway::Server;
using Gateway::ServerPtr;

/// How long after an unanswered order a server may still carry it out. The longest pause observed
/// with stand-in servers and in scenarios was 12 s.
constexpr Milliseconds LATE_ORDER_LIMIT{12000};
} // namespace

void OrderManager::RebuildServerRefs()
{
  if (m_server_refs_revision == m_servers.Revision())
    return;
  m_server_refs_revision = m_servers.Revision();
  m_server_refs.clear();
  RemoveStaleRecords();
  for (auto& [pool, plan_input] : m_plan_inputs)
    plan_input.SetServers(m_servers.InPool(pool), m_in_flight_totals);
  std::map<const PlanInputBuilder*, std::uint32_t> next_index;
  for (const auto& [instance, server] : m_servers.All())
  {
    const auto plan_input = m_plan_inputs.find(server->Entry().pool);
    ServerRef ref{server, &m_server_records[instance]};
    if (plan_input != m_plan_inputs.end())
    {
      ref.plan_input = &plan_input->second;
      ref.index = Decisions::ServerIndex(next_index[ref.plan_input]++);
    }
    m_server_refs.push_back(std::move(ref));
  }
}

OrderManager::UnansweredLoad OrderManager::UnansweredLoadOf(const OpenOrder& order)
{
  return {order.call.artifact.model, order.call.expected_sequence,
          Common::Now() + LATE_ORDER_LIMIT};
}

bool OrderManager::IsLoadPending(const OpenOrder& order)
{
  return order.call_pending && !order.accepted &&
         order.call.operation == OrderCall::Operation::Load;
}

void OrderManager::RecordUnanswered(ServerRecord& record, const OpenOrder& order, TimePoint now)
{
  std::erase_if(record.unanswered_loads, [&](const UnansweredLoad& load) {
    return load.until <= now;
  });
  if (order.call.operation == OrderCall::Operation::Load)
    record.unanswered_loads.push_back(UnansweredLoadOf(order));
}

void OrderManager::RemoveStaleRecords()
{
  std::vector<std::pair<InstanceId, UnansweredLoad>> carried_over;
  for (const auto& [instance, record] : m_server_records)
  {
    const ServerPtr latest = m_servers.FindLatest(instance);
    if (!latest || latest->Entry().instance == instance)
      continue;
    const InstanceId& next_instance = latest->Entry().instance;
    for (const UnansweredLoad& load : record.previous_instance_loads)
      carried_over.emplace_back(next_instance, load);
    for (const UnansweredLoad& load : record.unanswered_loads)
      carried_over.emplace_back(next_instance, load);
    if (record.open && IsLoadPending(*record.open))
      carried_over.emplace_back(next_instance, UnansweredLoadOf(*record.open));
  }
  std::erase_if(m_server_records, [&](const auto& entry) {
    return m_servers.Find(entry.first) == nullptr;
  });
  for (auto& [instance, load] : carried_over)
    m_server_records[instance].previous_instance_loads.push_back(std::move(load));
}

void OrderManager::UpdateServerRef(ServerRef& ref, TimePoint now)
{
  ServerRecord& record = *ref.record;
  if (ref.entry_revision == ref.server->EntryRevision() && !record.held_changed)
    return;
  // Needed after a report too: models listed in the entry must be dropped from `reported_models`.
  // Otherwise a model that is unloaded later would count as held forever.
  RefreshRecord(*ref.server, record, now);
  if (ref.plan_input != nullptr)
    ref.plan_input->SetHeld(ref.index, HeldModels(record, now));
  ref.entry_revision = ref.server->EntryRevision();
  record.held_changed = false;
}

void OrderManager::RefreshRecord(const Server& server, ServerRecord& record, TimePoint now)
{
  for (const Gateway::LoadedModel& loaded : server.Entry().models)
    record.loaded_since.try_emplace(loaded.model, now);
  std::erase_if(record.reported_models, [&](const ModelId& model) {
    return server.HoldsModel(model);
  });
  std::erase_if(record.loaded_since, [&](const auto& entry) {
    return !server.HoldsModel(entry.first);
  });
  std::erase_if(record.adapters, [&](const auto& entry) {
    return !server.HoldsModel(entry.first.model);
  });
  const auto base_is_gone = [&](const Artifact& artifact) {
    return !server.HoldsModel(artifact.model);
  };
  std::erase_if(record.unloaded_adapters, base_is_gone);
  std::erase_if(record.unloading_adapters, base_is_gone);
}

std::vector<HeldModel> OrderManager::HeldModels(const ServerRecord& record, TimePoint now)
{
  std::vector<HeldModel> held;
  for (const auto& [model, since] : record.loaded_since)
    held.push_back({model, since});
  // Models listed only in the server's report take memory too; the entry will list them later.
  for (const ModelId& model : record.reported_models)
    if (!record.loaded_since.contains(model))
      held.push_back({model, now});
  return held;
}

void OrderManager::QueryState(const ServerPtr& server, ServerRecord& record, TimePoint now)
{
  if (record.state_known || record.report_pending || record.open || now < record.next_report_at ||
      server->GetBackoff().IsRetryAfterActive(now))
    return;
  const auto pool = m_configuration->pools.find(server->Entry().pool);
  if (pool == m_configuration->pools.end() || !pool->second.model_server)
    return;
  record.report_pending = true;
  const InstanceId instance = server->Entry().instance;
  m_channel.read_report(instance, server->Entry().endpoint,
                        [this, instance](const Common::Result<ServerReport>& report) {
                          OnStateReport(instance, report);
                        });
}

void OrderManager::OnStateReport(const InstanceId& instance,
                                 const Common::Result<ServerReport>& report)
{
  const auto found = m_server_records.find(instance);
  if (found == m_server_records.end())
    return;
  ServerRecord& record = found->second;
  const auto now = Common::Now();
  record.report_pending = false;
  record.next_report_at = now + QUERY_INTERVAL;
  if (!report || !IsFromInstance(instance, *report) || report->busy)
    return;
  record.state_known = true;
  record.sequence = std::max(record.sequence, report->order_sequence);
  record.reported_models.clear();
  record.held_changed = true;
  for (const Gateway::LoadedModel& loaded : report->models)
  {
    record.reported_models.push_back(loaded.model);
    for (const Gateway::AdapterId& adapter : loaded.adapters)
      record.adapters.try_emplace({loaded.model, adapter}, AdapterRecord{now});
  }
  for (const Artifact& artifact : report->loading_adapters)
    record.adapters.try_emplace(artifact, AdapterRecord{now + ADAPTER_LOAD_TIME});
}

bool OrderManager::IsFromInstance(const InstanceId& instance, const ServerReport& report)
{
  const Gateway::ServerStart known = instance.Started();
  if (report.started == known || report.started == Gateway::ServerStart())
    return true;
  const ServerPtr server = m_servers.Find(instance);
  Common::LogEvent(Common::LogLevel::Info, "report-of-another-life",
                   {{"instance", instance}, {"started", report.started}, {"known", known}});
  if (report.started > known && server)
    server->NoteReplaced();
  return false;
}
} // namespace Orders

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Orders/OrderManager.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Common/Log.h"
#include "Common/Loop.h"
#include "Gateway/LateReplicas.h"

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

/// Delay before planning, so that reports arriving close together are handled by one plan.
constexpr Milliseconds PLAN_DELAY{6};
/// A daemon without a report for this long is no longer counted.
constexpr Milliseconds DAEMON_TIMEOUT{1500};
/// Time after which an accepted order should be visible in the server's entry. Once it has passed,
/// the server's report is read.
constexpr Milliseconds ENTRY_SLACK{600};
/// An order is abandoned if it shows no effect within twice its usual time plus this.
constexpr Milliseconds ORDER_TIMEOUT{6000};
/// How long a server gets no orders after it was unreachable or rejected one as fenced, malformed
/// or meant for another instance.
constexpr Milliseconds REJECTION_PAUSE{1000};
/// Added to `ENTRY_SLACK` for loads, which take longer to become visible than unloads.
constexpr Milliseconds LOAD_SLACK{1000};
/// Number of load start times kept; far more than the rate limit allows within its window.
constexpr std::size_t MAX_STORE_LOAD_STARTS = 1000;

const char* ToString(Decisions::WeightSource source)
{
  switch (source)
  {
  case Decisions::WeightSource::HostMemory:
    return "host_memory";
  case Decisions::WeightSource::Disk:
    return "disk";
  case Decisions::WeightSource::WeightStore:
    break;
  }
  return "weight_store";
}
} // namespace

const char* ToString(OrderResult result)
{
  switch (result)
  {
  case OrderResult::Accepted:
    return "accepted";
  case OrderResult::AlreadyInState:
    return "already_so";
  case OrderResult::Busy:
    return "busy";
  case OrderResult::Fenced:
    return "fenced";
  case OrderResult::OtherInstance:
    return "other_server";
  case OrderResult::Malformed:
    return "malformed";
  }
  return "unknown";
}

OrderManager::OrderManager(Gateway::ServerDirectory& servers, OrderChannel channel,
                           OrderManagerSettings settings)
    : m_servers(servers), m_channel(std::move(channel)), m_settings(settings)
{
}

void OrderManager::Reset()
{
  m_server_records.clear();
  m_server_refs.clear();
  m_server_refs_revision = 0;
  m_store_load_starts.clear();
}

void OrderManager::SetConfiguration(std::shared_ptr<const Gateway::Configuration> configuration)
{
  m_configuration = std::move(configuration);
  std::erase_if(m_plan_inputs, [&](const auto& entry) {
    const auto pool = m_configuration->pools.find(entry.first);
    return pool == m_configuration->pools.end() || !pool->second.model_server;
  });
  for (const auto& [id, pool] : m_configuration->pools)
  {
    if (!pool.model_server)
      continue;
    m_plan_inputs[id].Configure(pool, Gateway::LateReplicas::LateAfter(*m_configuration, id));
    m_plan_inputs[id].SetRegions(m_settings.regions);
  }
  m_server_refs.clear();
  m_server_refs_revision = 0;
}

void OrderManager::OnDaemonReport(const DaemonReport& report, TimePoint now)
{
  DaemonRecord& daemon = m_daemons[report.vm];
  if (daemon.last.run == report.run && report.sequence <= daemon.last.sequence)
    return;
  daemon.last = report;
  daemon.last_report_at = now;
  m_in_flight_totals.UpdateDaemon(report.vm, report.loads);
  for (auto& [pool, plan_input] : m_plan_inputs)
  {
    const auto of_pool = [&](const DemandLine& line) {
      return line.pool == pool;
    };
    std::vector<DemandLine> lines;
    std::ranges::copy_if(report.demand, std::back_inserter(lines), of_pool);
    const bool all_known = plan_input.ApplyDemand(report.vm, lines, now);
    if (const auto lines_over_limit = plan_input.TakeLinesOverLimit())
      m_counters["bound_demand_over_limit"] += lines_over_limit;
    if (all_known)
      continue;
    ++m_counters["demand_for_unknown_models"];
    if (!std::exchange(m_unknown_logged, true))
      Common::LogEvent(Common::LogLevel::Warning, "demand-unknown",
                       {{"vm", report.vm}, {"pool", pool}});
  }
  for (const DemandLine& line : report.demand)
    if (line.artifact.IsAdapter() && (line.arrivals > 0 || line.waiting > 0))
      m_adapter_last_demand[line.artifact] = now;
}

void OrderManager::DropUnresponsiveDaemons(TimePoint now)
{
  std::erase_if(m_daemons, [&](const auto& entry) {
    if (now - entry.second.last_report_at <= DAEMON_TIMEOUT)
      return false;
    m_in_flight_totals.RemoveDaemon(entry.first);
    for (auto& [pool, plan_input] : m_plan_inputs)
      plan_input.DropDaemon(entry.first);
    return true;
  });
}

void OrderManager::CountBackoffs()
{
  m_backoff_counts.clear();
  for (const auto& [vm, daemon] : m_daemons)
    for (const ServerHash server : daemon.last.backing_off)
      ++m_backoff_counts[server];
}

void OrderManager::SchedulePlan()
{
  if (m_plan_timer.Running())
    return;
  m_plan_timer.Start(PLAN_DELAY, [this] {
    Plan(Common::Now());
  });
}

void OrderManager::Plan(TimePoint now)
{
  if (!m_configuration || !m_permit())
    return;
  DropUnresponsiveDaemons(now);
  CountBackoffs();
  RebuildServerRefs();
  for (ServerRef& ref : m_server_refs)
  {
    UpdateServerRef(ref, now);
    CheckOpenOrder(ref.server, *ref.record, now);
    QueryState(ref.server, *ref.record, now);
  }
  for (auto& [id, plan_input] : m_plan_inputs)
  {
    const Gateway::Pool& pool = m_configuration->pools.at(id);
    // Adapters come first: the planner may want a model order on each server that is idle, and a
    // server that executes one rejects orders for adapters. An adapter takes only some ms.
    PlanAdapters(pool, now);
    PlanPool(pool, plan_input, now);
  }
}

void OrderManager::CheckOpenOrder(const ServerPtr& server, ServerRecord& record, TimePoint now)
{
  if (!record.open)
    return;
  OpenOrder& open = *record.open;
  const bool holds = server->HoldsModel(open.call.artifact.model);
  const bool wanted = open.call.operation == OrderCall::Operation::Load;
  if (holds == wanted && open.accepted)
  {
    CloseOrder(server->Entry().instance, record, "done");
    return;
  }
  if (open.call_pending || now < open.next_check)
    return;
  // A load that was not accepted yet is useless on a draining or evacuated server.
  if (wanted && !open.accepted && !server->IsStaying())
  {
    CloseOrder(server->Entry().instance, record, server->IsDraining() ? "draining" : "evacuated");
    return;
  }
  const auto pool = m_configuration->pools.find(server->Entry().pool);
  const Gateway::ModelSpec* spec = pool == m_configuration->pools.end()
                                       ? nullptr
                                       : pool->second.FindModel(open.call.artifact.model);
  const auto usual = spec == nullptr ? Milliseconds(0) : spec->LoadTime(open.source);
  if (now - open.first_sent > usual * 2 + ORDER_TIMEOUT)
  {
    CloseOrder(server->Entry().instance, record, "given_up");
    return;
  }
  if (!server->GetBackoff().IsRetryAfterActive(now))
    QueryOpenOrder(server, record);
}

void OrderManager::StartOrder(const ServerPtr& server, OrderCall::Operation operation,
                              const ModelId& model, NextOrders next, Decisions::WeightSource source,
                              const std::string& reason)
{
  const auto now = Common::Now();
  ServerRecord& record = m_server_records[server->Entry().instance];
  OpenOrder open;
  open.call.instance = server->Entry().instance;
  open.call.endpoint = server->Entry().endpoint;
  open.call.operation = operation;
  open.call.artifact.model = model;
  open.first_sent = now;
  open.next = std::move(next);
  open.source = source;
  open.id = m_next_order++;
  const bool is_load = operation == OrderCall::Operation::Load;
  if (is_load)
    ++m_counters[std::string("load_from_") + ToString(source)];
  if (is_load && source == Decisions::WeightSource::WeightStore)
  {
    m_store_load_starts.push_back(now);
    while (m_store_load_starts.size() > MAX_STORE_LOAD_STARTS)
      m_store_load_starts.pop_front();
  }
  record.open = std::move(open);
  Common::LogEvent(Common::LogLevel::Info, "order",
                   {{"order", record.open->id},
                    {"instance", server->Entry().instance},
                    {"operation", is_load ? "load" : "unload"},
                    {"model", model},
                    {"source", ToString(source)},
                    {"sequence", record.sequence},
                    {"reason", reason}});
  const bool from_store = source == Decisions::WeightSource::WeightStore;
  if ((!is_load || from_store) && m_on_placement_change)
    m_on_placement_change();
  SendOpenOrder(server, record);
}

void OrderManager::SendOpenOrder(const ServerPtr& server, ServerRecord& record)
{
  OpenOrder& open = *record.open;
  const auto permit = m_permit();
  if (!permit || record.adapter_call_pending ||
      server->GetBackoff().IsRetryAfterActive(Common::Now()))
  {
    open.next_check = Common::Now();
    return;
  }
  open.call_pending = true;
  open.call.fence = permit->fence;
  open.call.send_before = permit->until;
  open.call.expected_sequence = record.sequence;
  const InstanceId instance = server->Entry().instance;
  const std::uint64_t id = open.id;
  m_channel.send(open.call, [this, instance, id](Common::Result<OrderResult> result) {
    OnOrderResult(instance, id, std::move(result));
  });
}

void OrderManager::OnOrderResult(const InstanceId& instance, std::uint64_t id,
                                 Common::Result<OrderResult> result)
{
  const auto found = m_server_records.find(instance);
  if (found == m_server_records.end() || !found->second.open || found->second.open->id != id)
    return;
  ServerRecord& record = found->second;
  OpenOrder& open = *record.open;
  const auto now = Common::Now();
  open.call_pending = false;
  Common::LogEvent(
      result ? Common::LogLevel::Info : Common::LogLevel::Warning, "order-answer",
      {{"order", id},
       {"instance", instance},
       {"answer", result ? ToString(*result) : Common::ToString(result.Reason().kind)}});
  if (!result)
  {
    open.next_check = now + QUERY_INTERVAL;
    if (result.Reason().kind != Common::FailureKind::NotSent)
    {
      RecordUnanswered(record, open, now);
      return;
    }
    record.unusable_until = now + REJECTION_PAUSE;
    CloseOrder(instance, record, "not_sent");
    return;
  }
  switch (*result)
  {
  case OrderResult::Accepted:
    open.accepted = true;
    record.sequence = open.call.expected_sequence + 1;
    open.next_check = now + ENTRY_SLACK;
    if (open.call.operation == OrderCall::Operation::Load)
      open.next_check += LOAD_SLACK;
    break;
  case OrderResult::AlreadyInState:
    open.accepted = true;
    open.next_check = now + ENTRY_SLACK;
    break;
  case OrderResult::Busy:
    // The expected sequence is wrong, or an earlier unanswered order is being carried out.
    CloseOrder(instance, record, ToString(*result));
    break;
  case OrderResult::OtherInstance:
  case OrderResult::Fenced:
  case OrderResult::Malformed:
    record.unusable_until = now + REJECTION_PAUSE;
    CloseOrder(instance, record, ToString(*result));
    break;
  }
}

void OrderManager::QueryOpenOrder(const ServerPtr& server, ServerRecord& record)
{
  record.open->call_pending = true;
  const InstanceId instance = server->Entry().instance;
  const std::uint64_t id = record.open->id;
  m_channel.read_report(instance, server->Entry().endpoint,
                        [this, instance, id](Common::Result<ServerReport> report) {
                          OnOpenOrderReport(instance, id, std::move(report));
                        });
}

void OrderManager::OnOpenOrderReport(const InstanceId& instance, std::uint64_t id,
                                     Common::Result<ServerReport> report)
{
  const auto found = m_server_records.find(instance);
  const ServerPtr server = m_servers.Find(instance);
  if (found == m_server_records.end() || !server || !found->second.open ||
      found->second.open->id != id)
    return;
  ServerRecord& record = found->second;
  OpenOrder& open = *record.open;
  const auto now = Common::Now();
  open.call_pending = false;
  open.next_check = now + QUERY_INTERVAL;
  if (!report || !IsFromInstance(instance, *report))
    return;
  const bool holds = std::ranges::find(report->models, open.call.artifact.model,
                                       &Gateway::LoadedModel::model) != report->models.end();
  const bool wanted = open.call.operation == OrderCall::Operation::Load;
  const bool moved = report->order_sequence > open.call.expected_sequence;
  record.sequence = std::max(record.sequence, report->order_sequence);
  if (holds == wanted && (moved || open.accepted))
  {
    // Wait for the entry to be updated; until then the server directory contradicts this report.
    open.accepted = true;
    return;
  }
  if (report->busy || open.accepted)
    return;
  if (moved)
  {
    // The server has carried out another order, perhaps a late one of the previous holder. What it
    // has room for now must be found out first.
    CloseOrder(instance, record, "overtaken");
    return;
  }
  // Nothing indicates that the order was accepted. If it is sent again, at most one copy takes
  // effect.
  SendOpenOrder(server, record);
}

void OrderManager::CloseOrder(const InstanceId& instance, ServerRecord& record, const char* outcome)
{
  const OpenOrder closed = std::move(*record.open);
  record.open.reset();
  ++m_counters[outcome];
  const auto took = std::chrono::duration_cast<Milliseconds>(Common::Now() - closed.first_sent);
  Common::LogEvent(
      Common::LogLevel::Info, "order-closed",
      {{"order", closed.id}, {"instance", instance}, {"outcome", outcome}, {"ms", took.count()}});
  if (m_on_placement_change)
    m_on_placement_change();
  const ServerPtr server = m_servers.Find(instance);
  const bool done = std::string_view(outcome) == "done";
  if (!done)
    record.state_known = false;
  if (done && server && server->IsStaying())
    StartNextOrder(server, closed);
}

void OrderManager::StartNextOrder(const ServerPtr& server, const OpenOrder& done)
{
  if (!done.next.unloads.empty())
  {
    NextOrders next = done.next;
    const ModelId model = next.unloads.front();
    next.unloads.erase(next.unloads.begin());
    StartOrder(server, OrderCall::Operation::Unload, model, std::move(next), done.source,
               "after unload");
    return;
  }
  if (done.next.load)
    StartOrder(server, OrderCall::Operation::Load, *done.next.load, {}, done.source,
               "after unload");
}

std::vector<PlacementLine> OrderManager::Placements() const
{
  const auto now = Common::Now();
  std::vector<PlacementLine> lines;
  for (const auto& [instance, server] : m_servers.All())
  {
    const auto record = m_server_records.find(instance);
    if (record == m_server_records.end())
      continue;
    PlacementLine line;
    line.instance = instance;
    for (const Artifact& artifact : AdaptersOn(*server, record->second))
    {
      const auto adapter = record->second.adapters.find(artifact);
      const bool arrived =
          adapter == record->second.adapters.end() || adapter->second.usable_from <= now;
      if (arrived && !record->second.unloading_adapters.contains(artifact))
        line.adapters.push_back(artifact);
    }
    const auto& open = record->second.open;
    if (open && open->call.operation == OrderCall::Operation::Unload)
    {
      line.unloading = open->next.unloads;
      line.unloading.push_back(open->call.artifact.model);
    }
    if (open && open->source == Decisions::WeightSource::WeightStore)
      line.loading.push_back(open->next.load.value_or(open->call.artifact.model));
    if (!line.adapters.empty() || !line.unloading.empty() || !line.loading.empty())
      lines.push_back(std::move(line));
  }
  return lines;
}
} // namespace Orders

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Orders/OrderDesk.h"

#include <algorithm>
#include <cmath>
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

/// Delay before planning, so that reports arriving close together are handled by one plan.
constexpr Milliseconds PLAN_DELAY{6};
/// A daemon without a report for this long is no longer counted.
constexpr Milliseconds DAEMON_SILENT_AFTER{1500};
/// Time after which an accepted order should be visible in the server's entry. Once it has passed,
/// the server's report is read.
constexpr Milliseconds ENTRY_SLACK{600};
/// An order is abandoned if it shows no effect within twice its usual time plus this.
constexpr Milliseconds GIVE_UP_AFTER{6000};
/// How long a server gets no orders after it was unreachable or rejected one as fenced, malformed
/// or meant for another instance.
constexpr Milliseconds UNREACHABLE_PAUSE{1000};
/// Added to `ENTRY_SLACK` for loads, which take longer to become visible than unloads.
constexpr Milliseconds LOAD_SLACK{1000};
/// Number of load start times kept; far more than the rate limit allows within its window.
constexpr std::size_t REMEMBERED_LOADS = 1000;

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

Milliseconds LoadTime(const Gateway::EngineSpec& engine, const ModelId& model,
                      Decisions::WeightSource source)
{
  const auto found = engine.models.find(model);
  if (found == engine.models.end())
    return Milliseconds(0);
  switch (source)
  {
  case Decisions::WeightSource::HostMemory:
    return found->second.load_from_host_memory;
  case Decisions::WeightSource::Disk:
    return found->second.load_from_disk;
  case Decisions::WeightSource::WeightStore:
    break;
  }
  return found->second.load_from_store;
}
} // namespace

const char* ToString(OrderAnswer answer)
{
  switch (answer)
  {
  case OrderAnswer::Accepted:
    return "accepted";
  case OrderAnswer::AlreadySo:
    return "already_so";
  case OrderAnswer::Busy:
    return "busy";
  case OrderAnswer::Fenced:
    return "fenced";
  case OrderAnswer::OtherServer:
    return "other_server";
  case OrderAnswer::Malformed:
    return "malformed";
  }
  return "unknown";
}

OrderDesk::OrderDesk(Gateway::ServerDirectory& servers, OrderChannel channel,
                     OrderDeskSettings settings)
    : m_servers(servers), m_channel(std::move(channel)), m_settings(settings)
{
}

void OrderDesk::Forget()
{
  m_books.clear();
  m_slots.clear();
  m_slots_revision = 0;
  m_store_loads.clear();
}

void OrderDesk::SetConfiguration(std::shared_ptr<const Gateway::Configuration> configuration)
{
  m_configuration = std::move(configuration);
  std::erase_if(m_plans, [&](const auto& entry) {
    const auto pool = m_configuration->pools.find(entry.first);
    return pool == m_configuration->pools.end() || !pool->second.engine;
  });
  for (const auto& [id, pool] : m_configuration->pools)
    if (pool.engine)
      m_plans[id].Configure(pool);
  m_slots.clear();
  m_slots_revision = 0;
}

void OrderDesk::TakeReport(const DaemonReport& report, TimePoint now)
{
  DaemonBook& daemon = m_daemons[report.vm];
  if (daemon.last.run == report.run && report.sequence <= daemon.last.sequence)
    return;
  daemon.last = report;
  daemon.heard_at = now;
  m_flights.Take(report.vm, report.loads);
  for (auto& [pool, plan] : m_plans)
  {
    const auto of_pool = [&](const DemandLine& line) {
      return line.pool == pool;
    };
    std::vector<DemandLine> lines;
    std::ranges::copy_if(report.demand, std::back_inserter(lines), of_pool);
    if (plan.TakeDemand(report.vm, lines, now))
      continue;
    ++m_counters["demand_for_unknown_models"];
    if (!std::exchange(m_unknown_logged, true))
      Common::LogEvent(Common::LogLevel::Warning, "demand-unknown",
                       {{"vm", report.vm}, {"pool", pool}});
  }
  for (const DemandLine& line : report.demand)
    if (line.artifact.IsAdapter() && (line.arrivals > 0 || line.waiting > 0))
      m_adapter_wanted[line.artifact] = now;
}

void OrderDesk::DropSilentDaemons(TimePoint now)
{
  std::erase_if(m_daemons, [&](const auto& entry) {
    if (now - entry.second.heard_at <= DAEMON_SILENT_AFTER)
      return false;
    m_flights.Drop(entry.first);
    for (auto& [pool, plan] : m_plans)
      plan.DropDaemon(entry.first);
    return true;
  });
}

void OrderDesk::SumBackoffs()
{
  m_backing_off.clear();
  for (const auto& [vm, daemon] : m_daemons)
    for (const ServerHash server : daemon.last.backing_off)
      ++m_backing_off[server];
}

void OrderDesk::PlanSoon()
{
  if (m_plan_timer.Running())
    return;
  m_plan_timer.Start(PLAN_DELAY, [this] {
    Plan(Common::Now());
  });
}

void OrderDesk::Plan(TimePoint now)
{
  if (!m_configuration || !m_permit())
    return;
  DropSilentDaemons(now);
  SumBackoffs();
  RefreshSlots();
  for (Slot& slot : m_slots)
  {
    RefreshSlot(slot, now);
    CheckOpen(slot.server, *slot.book, now);
    LearnState(slot.server, *slot.book, now);
  }
  for (auto& [id, plan] : m_plans)
  {
    const Gateway::Pool& pool = m_configuration->pools.at(id);
    PlanPool(pool, plan, now);
    PlanAdapters(pool, now);
  }
}

void OrderDesk::CheckOpen(const ServerPtr& server, ServerBook& book, TimePoint now)
{
  if (!book.open)
    return;
  OpenOrder& open = *book.open;
  const bool holds = server->HoldsModel(open.call.artifact.model);
  const bool wanted = open.call.operation == OrderCall::Operation::Load;
  if (holds == wanted && open.accepted)
  {
    CloseOrder(server->Entry().instance, book, "done");
    return;
  }
  if (open.in_exchange || now < open.next_check)
    return;
  // A load that was not accepted yet is useless on a draining server.
  if (wanted && !open.accepted && server->IsDraining())
  {
    CloseOrder(server->Entry().instance, book, "draining");
    return;
  }
  const auto pool = m_configuration->pools.find(server->Entry().pool);
  const auto usual = pool != m_configuration->pools.end() && pool->second.engine
                         ? LoadTime(*pool->second.engine, open.call.artifact.model, open.source)
                         : Milliseconds(0);
  if (now - open.first_sent > usual * 2 + GIVE_UP_AFTER)
  {
    CloseOrder(server->Entry().instance, book, "given_up");
    return;
  }
  if (!server->GetBackoff().IsNamed(now))
    AskReport(server, book);
}

void OrderDesk::Give(const ServerPtr& server, OrderCall::Operation operation, const ModelId& model,
                     NextOrders next, Decisions::WeightSource source, const std::string& reason)
{
  const auto now = Common::Now();
  ServerBook& book = m_books[server->Entry().instance];
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
    m_store_loads.push_back(now);
    while (m_store_loads.size() > REMEMBERED_LOADS)
      m_store_loads.pop_front();
  }
  book.open = std::move(open);
  Common::LogEvent(Common::LogLevel::Info, "order",
                   {{"order", book.open->id},
                    {"instance", server->Entry().instance},
                    {"operation", is_load ? "load" : "unload"},
                    {"model", model},
                    {"source", ToString(source)},
                    {"sequence", book.sequence},
                    {"reason", reason}});
  const bool from_store = source == Decisions::WeightSource::WeightStore;
  if ((!is_load || from_store) && m_on_placement)
    m_on_placement();
  SendOpen(server, book);
}

void OrderDesk::SendOpen(const ServerPtr& server, ServerBook& book)
{
  OpenOrder& open = *book.open;
  const auto permit = m_permit();
  if (!permit || book.adapter_in_exchange || server->GetBackoff().IsNamed(Common::Now()))
  {
    open.next_check = Common::Now();
    return;
  }
  open.in_exchange = true;
  open.call.fence = permit->fence;
  open.call.send_before = permit->until;
  open.call.expected_sequence = book.sequence;
  const InstanceId instance = server->Entry().instance;
  const std::uint64_t id = open.id;
  m_channel.send(open.call, [this, instance, id](Common::Result<OrderAnswer> answer) {
    TakeAnswer(instance, id, std::move(answer));
  });
}

void OrderDesk::TakeAnswer(const InstanceId& instance, std::uint64_t id,
                           Common::Result<OrderAnswer> answer)
{
  const auto found = m_books.find(instance);
  if (found == m_books.end() || !found->second.open || found->second.open->id != id)
    return;
  ServerBook& book = found->second;
  OpenOrder& open = *book.open;
  const auto now = Common::Now();
  open.in_exchange = false;
  Common::LogEvent(
      answer ? Common::LogLevel::Info : Common::LogLevel::Warning, "order-answer",
      {{"order", id},
       {"instance", instance},
       {"answer", answer ? ToString(*answer) : Common::ToString(answer.Reason().kind)}});
  if (!answer)
  {
    open.next_check = now + CHECK_PAUSE;
    if (answer.Reason().kind != Common::FailureKind::NotSent)
    {
      NoteUnanswered(book, open, now);
      return;
    }
    book.unusable_until = now + UNREACHABLE_PAUSE;
    CloseOrder(instance, book, "not_sent");
    return;
  }
  switch (*answer)
  {
  case OrderAnswer::Accepted:
    open.accepted = true;
    book.sequence = open.call.expected_sequence + 1;
    open.next_check = now + ENTRY_SLACK;
    if (open.call.operation == OrderCall::Operation::Load)
      open.next_check += LOAD_SLACK;
    break;
  case OrderAnswer::AlreadySo:
    open.accepted = true;
    open.next_check = now + ENTRY_SLACK;
    break;
  case OrderAnswer::Busy:
    // The expected sequence is wrong, or an earlier unanswered order is being carried out.
    CloseOrder(instance, book, ToString(*answer));
    break;
  case OrderAnswer::OtherServer:
  case OrderAnswer::Fenced:
  case OrderAnswer::Malformed:
    book.unusable_until = now + UNREACHABLE_PAUSE;
    CloseOrder(instance, book, ToString(*answer));
    break;
  }
}

void OrderDesk::AskReport(const ServerPtr& server, ServerBook& book)
{
  book.open->in_exchange = true;
  const InstanceId instance = server->Entry().instance;
  const std::uint64_t id = book.open->id;
  m_channel.read_report(instance, server->Entry().endpoint,
                        [this, instance, id](Common::Result<ServerReport> report) {
                          TakeServerReport(instance, id, std::move(report));
                        });
}

void OrderDesk::TakeServerReport(const InstanceId& instance, std::uint64_t id,
                                 Common::Result<ServerReport> report)
{
  const auto found = m_books.find(instance);
  const ServerPtr server = m_servers.Find(instance);
  if (found == m_books.end() || !server || !found->second.open || found->second.open->id != id)
    return;
  ServerBook& book = found->second;
  OpenOrder& open = *book.open;
  const auto now = Common::Now();
  open.in_exchange = false;
  open.next_check = now + CHECK_PAUSE;
  if (!report || !IsOfThisLife(instance, *report))
    return;
  const bool holds = std::ranges::find(report->models, open.call.artifact.model,
                                       &Gateway::LoadedModel::model) != report->models.end();
  const bool wanted = open.call.operation == OrderCall::Operation::Load;
  const bool moved = report->order_sequence > open.call.expected_sequence;
  book.sequence = std::max(book.sequence, report->order_sequence);
  if (holds == wanted && (moved || open.accepted))
  {
    // Wait for the entry to be updated; until then the server directory contradicts this report.
    open.accepted = true;
    return;
  }
  if (report->busy || open.accepted)
    return;
  // Nothing indicates that the order was accepted. If it is sent again, at most one copy takes
  // effect.
  SendOpen(server, book);
}

void OrderDesk::CloseOrder(const InstanceId& instance, ServerBook& book, const char* outcome)
{
  const OpenOrder closed = std::move(*book.open);
  book.open.reset();
  ++m_counters[outcome];
  const auto took = std::chrono::duration_cast<Milliseconds>(Common::Now() - closed.first_sent);
  Common::LogEvent(
      Common::LogLevel::Info, "order-closed",
      {{"order", closed.id}, {"instance", instance}, {"outcome", outcome}, {"ms", took.count()}});
  if (m_on_placement)
    m_on_placement();
  const ServerPtr server = m_servers.Find(instance);
  const bool done = std::string_view(outcome) == "done";
  if (!done)
    book.state_known = false;
  if (done && server && !server->IsDraining())
    GiveNext(server, closed);
}

void OrderDesk::GiveNext(const ServerPtr& server, const OpenOrder& done)
{
  if (!done.next.unloads.empty())
  {
    NextOrders next = done.next;
    const ModelId model = next.unloads.front();
    next.unloads.erase(next.unloads.begin());
    Give(server, OrderCall::Operation::Unload, model, std::move(next), done.source, "after unload");
    return;
  }
  if (done.next.load)
    Give(server, OrderCall::Operation::Load, *done.next.load, {}, done.source, "after unload");
}

std::vector<PlacementLine> OrderDesk::Placements() const
{
  const auto now = Common::Now();
  std::vector<PlacementLine> lines;
  for (const auto& [instance, server] : m_servers.All())
  {
    const auto book = m_books.find(instance);
    if (book == m_books.end())
      continue;
    PlacementLine line;
    line.instance = instance;
    for (const Artifact& artifact : AdaptersOn(*server, book->second))
    {
      const auto coming = book->second.adapters.find(artifact);
      const bool arrived =
          coming == book->second.adapters.end() || coming->second.usable_from <= now;
      if (arrived && !book->second.leaving_adapters.contains(artifact))
        line.adapters.push_back(artifact);
    }
    const auto& open = book->second.open;
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

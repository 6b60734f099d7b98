// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// OrderDesk: state of each backend server since its last restart.

#include "Orders/OrderDesk.h"

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

void OrderDesk::RefreshSlots()
{
  if (m_slots_revision == m_servers.Revision())
    return;
  m_slots_revision = m_servers.Revision();
  m_slots.clear();
  DropBooks();
  for (auto& [pool, plan] : m_plans)
    plan.SetServers(m_servers.InPool(pool), m_flights);
  std::map<const PlanBook*, std::uint32_t> next_index;
  for (const auto& [instance, server] : m_servers.All())
  {
    const auto plan = m_plans.find(server->Entry().pool);
    Slot slot{server, &m_books[instance]};
    if (plan != m_plans.end())
    {
      slot.plan = &plan->second;
      slot.index = Decisions::ServerIndex(next_index[slot.plan]++);
    }
    m_slots.push_back(std::move(slot));
  }
}

OrderDesk::LateLoad OrderDesk::LateLoadOf(const OpenOrder& order)
{
  return {order.call.artifact.model, order.call.expected_sequence,
          Common::Now() + LATE_ORDER_LIMIT};
}

bool OrderDesk::IsLoadUnderWay(const OpenOrder& order)
{
  return order.in_exchange && !order.accepted && order.call.operation == OrderCall::Operation::Load;
}

void OrderDesk::NoteUnanswered(ServerBook& book, const OpenOrder& order, TimePoint now)
{
  std::erase_if(book.unanswered_loads, [&](const LateLoad& load) {
    return load.until <= now;
  });
  if (order.call.operation == OrderCall::Operation::Load)
    book.unanswered_loads.push_back(LateLoadOf(order));
}

void OrderDesk::DropBooks()
{
  std::vector<std::pair<InstanceId, LateLoad>> late;
  for (const auto& [instance, book] : m_books)
  {
    const ServerPtr latest = m_servers.FindLatest(instance);
    if (!latest || latest->Entry().instance == instance)
      continue;
    const InstanceId& next_life = latest->Entry().instance;
    for (const LateLoad& load : book.late_loads)
      late.emplace_back(next_life, load);
    for (const LateLoad& load : book.unanswered_loads)
      late.emplace_back(next_life, load);
    if (book.open && IsLoadUnderWay(*book.open))
      late.emplace_back(next_life, LateLoadOf(*book.open));
  }
  std::erase_if(m_books, [&](const auto& entry) {
    return m_servers.Find(entry.first) == nullptr;
  });
  for (auto& [instance, load] : late)
    m_books[instance].late_loads.push_back(std::move(load));
}

void OrderDesk::RefreshSlot(Slot& slot, TimePoint now)
{
  ServerBook& book = *slot.book;
  if (slot.entry_revision == slot.server->EntryRevision() && !book.held_changed)
    return;
  // Needed after a report too: models listed in the entry must be dropped from `reported_models`.
  // Otherwise a model that is unloaded later would count as held forever.
  RefreshBook(*slot.server, book, now);
  if (slot.plan != nullptr)
    slot.plan->SetHeld(slot.index, HeldModels(book, now));
  slot.entry_revision = slot.server->EntryRevision();
  book.held_changed = false;
}

void OrderDesk::RefreshBook(const Server& server, ServerBook& book, TimePoint now)
{
  for (const Gateway::LoadedModel& loaded : server.Entry().models)
    book.loaded_since.try_emplace(loaded.model, now);
  std::erase_if(book.reported_models, [&](const ModelId& model) {
    return server.HoldsModel(model);
  });
  std::erase_if(book.loaded_since, [&](const auto& entry) {
    return !server.HoldsModel(entry.first);
  });
  std::erase_if(book.adapters, [&](const auto& entry) {
    return !server.HoldsModel(entry.first.model);
  });
  const auto base_is_gone = [&](const Artifact& artifact) {
    return !server.HoldsModel(artifact.model);
  };
  std::erase_if(book.dropped_adapters, base_is_gone);
  std::erase_if(book.leaving_adapters, base_is_gone);
}

std::vector<HeldModel> OrderDesk::HeldModels(const ServerBook& book, TimePoint now)
{
  std::vector<HeldModel> held;
  for (const auto& [model, since] : book.loaded_since)
    held.push_back({model, since});
  // Models listed only in the server's report take memory too; the entry will list them later.
  for (const ModelId& model : book.reported_models)
    if (!book.loaded_since.contains(model))
      held.push_back({model, now});
  return held;
}

void OrderDesk::LearnState(const ServerPtr& server, ServerBook& book, TimePoint now)
{
  if (book.state_known || book.report_asked || book.open || now < book.next_report ||
      server->GetBackoff().IsRetryAfterActive(now))
    return;
  const auto pool = m_configuration->pools.find(server->Entry().pool);
  if (pool == m_configuration->pools.end() || !pool->second.engine)
    return;
  book.report_asked = true;
  const InstanceId instance = server->Entry().instance;
  m_channel.read_report(instance, server->Entry().endpoint,
                        [this, instance](const Common::Result<ServerReport>& report) {
                          TakeState(instance, report);
                        });
}

void OrderDesk::TakeState(const InstanceId& instance, const Common::Result<ServerReport>& report)
{
  const auto found = m_books.find(instance);
  if (found == m_books.end())
    return;
  ServerBook& book = found->second;
  const auto now = Common::Now();
  book.report_asked = false;
  book.next_report = now + CHECK_PAUSE;
  if (!report || !IsOfThisLife(instance, *report) || report->busy)
    return;
  book.state_known = true;
  book.sequence = std::max(book.sequence, report->order_sequence);
  book.reported_models.clear();
  book.held_changed = true;
  for (const Gateway::LoadedModel& loaded : report->models)
  {
    book.reported_models.push_back(loaded.model);
    for (const Gateway::AdapterId& adapter : loaded.adapters)
      book.adapters.try_emplace({loaded.model, adapter}, AdapterBook{now});
  }
  for (const Artifact& artifact : report->coming)
    book.adapters.try_emplace(artifact, AdapterBook{now + ADAPTER_LOAD_TIME});
}

bool OrderDesk::IsOfThisLife(const InstanceId& instance, const ServerReport& report)
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

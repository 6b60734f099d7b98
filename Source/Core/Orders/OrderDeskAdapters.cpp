// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// OrderDesk: orders to load and unload adapters.

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
using Gateway::Server;
using Gateway::ServerPtr;

/// An adapter with demand within this time is not unloaded to make room for another.
constexpr Milliseconds ADAPTER_MIN_IDLE{1500};
/// Adapter loads that may be in progress on one server at once. The platform's engines allow four.
constexpr int ADAPTERS_COMING = 2;
} // namespace

void OrderDesk::PlanAdapters(const Gateway::Pool& pool, TimePoint now)
{
  for (const Artifact& artifact : WaitingAdapters(pool.id))
  {
    const auto holders = Holders(pool.id, artifact.model);
    const bool held = std::ranges::any_of(holders, [&](const Slot* slot) {
      const auto adapters = AdaptersOn(*slot->server, *slot->book);
      return !slot->server->IsDraining() && !slot->server->Health().IsEjected(now) &&
             std::ranges::find(adapters, artifact) != adapters.end();
    });
    if (!held)
      LoadAdapter(pool, artifact, holders, now);
  }
}

void OrderDesk::LoadAdapter(const Gateway::Pool& pool, const Artifact& artifact,
                            const std::vector<const Slot*>& holders, TimePoint now)
{
  ServerPtr best;
  std::pair<bool, int> best_key;
  for (const Slot* slot : holders)
  {
    const ServerPtr& server = slot->server;
    const ServerBook& book = *slot->book;
    const bool leaving = book.open && book.open->call.operation == OrderCall::Operation::Unload &&
                         book.open->call.artifact.model == artifact.model;
    if (server->IsDraining() || server->Health().IsEjected(now) || leaving ||
        server->GetBackoff().IsRetryAfterActive(now) || now < book.unusable_until ||
        !book.state_known)
      continue;
    const bool full =
        static_cast<int>(AdaptersOn(*server, book).size()) >= pool.engine->adapter_slots;
    if (full && !AdapterVictim(*server, book, now))
      continue;
    const std::pair key(full, m_flights.Of(server->Entry().instance).in_flight);
    if (!best || key < best_key)
    {
      best = server;
      best_key = key;
    }
  }
  if (!best)
    return;
  ServerBook& book = m_books[best->Entry().instance];
  const bool in_exchange = book.adapter_in_exchange || (book.open && book.open->in_exchange);
  const auto coming = std::ranges::count_if(book.adapters, [&](const auto& entry) {
    return entry.second.usable_from > now;
  });
  if (in_exchange || coming >= ADAPTERS_COMING)
    return;
  if (best_key.first)
    GiveAdapter(best, OrderCall::Operation::Unload, *AdapterVictim(*best, book, now));
  else
    GiveAdapter(best, OrderCall::Operation::Load, artifact);
}

std::optional<Artifact> OrderDesk::AdapterVictim(const Server& server, const ServerBook& book,
                                                 TimePoint now) const
{
  std::optional<Artifact> best;
  TimePoint best_wanted;
  for (const Artifact& artifact : AdaptersOn(server, book))
  {
    const auto found = m_adapter_wanted.find(artifact);
    const TimePoint wanted = found == m_adapter_wanted.end() ? TimePoint() : found->second;
    if (now - wanted < ADAPTER_MIN_IDLE || (best && wanted >= best_wanted) ||
        book.leaving_adapters.contains(artifact))
      continue;
    best = artifact;
    best_wanted = wanted;
  }
  return best;
}

void OrderDesk::GiveAdapter(const ServerPtr& server, OrderCall::Operation operation,
                            const Artifact& artifact)
{
  const auto permit = m_permit();
  if (!permit)
    return;
  ServerBook& book = m_books[server->Entry().instance];
  OrderCall call;
  call.instance = server->Entry().instance;
  call.endpoint = server->Entry().endpoint;
  call.operation = operation;
  call.artifact = artifact;
  call.expected_sequence = book.sequence;
  call.fence = permit->fence;
  call.send_before = permit->until;
  book.adapter_in_exchange = true;
  if (operation == OrderCall::Operation::Unload)
  {
    // Announced before the unload, so that daemons stop sending requests for the adapter. It
    // occupies its slot until the server has confirmed the unload.
    book.leaving_adapters.insert(artifact);
    if (m_on_placement)
      m_on_placement();
  }
  m_channel.send(call, [this, instance = call.instance, call](Common::Result<OrderAnswer> answer) {
    TakeAdapterAnswer(instance, call, std::move(answer));
  });
}

void OrderDesk::TakeAdapterAnswer(const InstanceId& instance, OrderCall call,
                                  Common::Result<OrderAnswer> answer)
{
  const auto found = m_books.find(instance);
  if (found == m_books.end())
    return;
  ServerBook& book = found->second;
  const auto now = Common::Now();
  book.adapter_in_exchange = false;
  const bool is_load = call.operation == OrderCall::Operation::Load;
  Common::LogEvent(
      answer ? Common::LogLevel::Info : Common::LogLevel::Warning, "adapter-order",
      {{"instance", instance},
       {"operation", is_load ? "load" : "unload"},
       {"artifact", call.artifact.ToString()},
       {"sequence", call.expected_sequence},
       {"answer", answer ? ToString(*answer) : Common::ToString(answer.Reason().kind)}});
  const bool taken =
      answer && (*answer == OrderAnswer::Accepted || *answer == OrderAnswer::AlreadySo);
  if (!taken)
  {
    book.leaving_adapters.erase(call.artifact);
    book.state_known = false;
    return;
  }
  if (*answer == OrderAnswer::Accepted || !is_load)
    book.sequence = std::max(book.sequence, call.expected_sequence + 1);
  if (!is_load)
  {
    // An adapter in use is unloaded when its last request has ended; the server's entry then shows
    // it.
    if (*answer == OrderAnswer::AlreadySo)
    {
      book.leaving_adapters.erase(call.artifact);
      book.dropped_adapters.insert(call.artifact);
      book.adapters.erase(call.artifact);
    }
    return;
  }
  book.dropped_adapters.erase(call.artifact);
  book.adapters[call.artifact] = {now + ADAPTER_LOAD_TIME};
  AnnounceAdapters();
}

void OrderDesk::AnnounceAdapters()
{
  if (m_adapter_timer.Running())
    return;
  m_adapter_timer.Start(ADAPTER_LOAD_TIME, [this] {
    if (m_on_placement)
      m_on_placement();
    const auto now = Common::Now();
    const bool more = std::ranges::any_of(m_books, [&](const auto& entry) {
      return std::ranges::any_of(entry.second.adapters, [&](const auto& adapter) {
        return adapter.second.usable_from > now;
      });
    });
    if (more)
      AnnounceAdapters();
  });
}

std::vector<Artifact> OrderDesk::AdaptersOn(const Server& server, const ServerBook& book) const
{
  std::set<Artifact> adapters;
  for (const Gateway::LoadedModel& loaded : server.Entry().models)
    for (const Gateway::AdapterId& adapter : loaded.adapters)
      adapters.insert({loaded.model, adapter});
  for (const Artifact& dropped : book.dropped_adapters)
    adapters.erase(dropped);
  for (const auto& [artifact, adapter] : book.adapters)
    adapters.insert(artifact);
  return {adapters.begin(), adapters.end()};
}
} // namespace Orders

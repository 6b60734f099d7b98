// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// What answers tell of their servers.

#include "Gateway/Dispatcher.h"

#include "Common/Log.h"

namespace Gateway
{
namespace
{
using Common::Milliseconds;

Milliseconds AgeOf(const SignalOrigin& origin)
{
  return std::chrono::floor<Milliseconds>(Common::Now() - origin.sent_at);
}

/// Another process at the address speaks for itself alone.
bool IsOfAnotherInstance(const Server& server, const ServerSignals& signals)
{
  return signals.instance && *signals.instance != server.Entry().instance.Get();
}
} // namespace

void Dispatcher::NoteSignals(const ServerPtr& server, const ServerSignals& signals,
                             const SignalOrigin& origin)
{
  const InstanceId& instance = server->Entry().instance;
  if (IsOfAnotherInstance(*server, signals))
    return;
  for (const UnreadableSignal& unreadable : signals.unreadable)
    Common::LogEvent(Common::LogLevel::Warning, "server-signal-unreadable",
                     {{"instance", instance},
                      {"id", origin.request},
                      {"header", unreadable.header},
                      {"value", unreadable.value}});
  if (signals.draining)
    NoteAnnouncedEnd(server, origin);
  else
    server->Drain().NoteNotAnnounced(origin.sent_at);
  const auto age = AgeOf(origin);
  if (signals.backoff)
    Common::LogEvent(Common::LogLevel::Info, "server-backoff",
                     {{"instance", instance},
                      {"id", origin.request},
                      {"for_ms", signals.backoff->count()},
                      {"sent_ms_ago", age.count()}});
  m_limited.NoteAnswer(*server, signals.limit, origin.sent_at);
}

void Dispatcher::NoteAnnouncedEnd(const ServerPtr& server, const ServerSignals& signals,
                                  const SignalOrigin& origin)
{
  if (!IsOfAnotherInstance(*server, signals))
    NoteAnnouncedEnd(server, origin);
}

void Dispatcher::CountSend(const Server& server, Common::TimePoint now)
{
  ++m_counters.attempts;
  if (!server.IsDraining())
    return;
  ++m_counters.sent_to_draining;
  if (!server.TakesWork(now))
    ++m_counters.sent_after_drain;
}

void Dispatcher::NoteAnnouncedEnd(const ServerPtr& server, const SignalOrigin& origin)
{
  const auto now = Common::Now();
  if (!server->Drain().NoteAnnounced(now))
    return;
  Common::LogEvent(Common::LogLevel::Info, "server-draining",
                   {{"instance", server->Entry().instance},
                    {"source", ToString(DrainSource::Answer)},
                    {"id", origin.request},
                    {"sent_ms_ago", AgeOf(origin).count()},
                    {"in_flight", server->InFlight()}});
  if (m_draining.Note(server->Key(), now) && m_on_permit_demand)
    m_on_permit_demand();
  // Its models may be needed elsewhere.
  if (m_on_demand)
    m_on_demand();
}

void Dispatcher::TakeDrainNews(std::int64_t tenure, std::span<const RateLimits::ServerKey> servers)
{
  for (const RateLimits::ServerKey key : m_draining.TakeNews(tenure, servers, Common::Now()))
    NoteReportedEnd(key, "the holder");
  if (!m_draining.Unconfirmed().empty() && m_on_permit_demand)
    m_on_permit_demand();
}

void Dispatcher::TakeDrainReport(const Common::VmId& from,
                                 std::span<const RateLimits::ServerKey> servers)
{
  const std::uint64_t before = m_draining.Revision();
  for (const RateLimits::ServerKey key : servers)
    if (m_draining.Note(key, Common::Now()))
      NoteReportedEnd(key, from.Get());
  if (m_draining.Revision() != before && m_on_permit_demand)
    m_on_permit_demand();
}

void Dispatcher::NoteReportedEnd(RateLimits::ServerKey key, std::string_view told_by)
{
  const ServerPtr server = m_servers.FindByKey(key);
  if (!server)
    return;
  server->Drain().NoteReported(Common::Now());
  Common::LogEvent(Common::LogLevel::Info, "server-draining",
                   {{"instance", server->Entry().instance},
                    {"source", ToString(DrainSource::OtherVm)},
                    {"told_by", told_by}});
}

void Dispatcher::RefreshDraining()
{
  if (m_draining.Empty() || m_draining_revision == m_servers.Revision())
    return;
  m_draining_revision = m_servers.Revision();
  for (const auto& [instance, server] : m_servers.All())
    if (m_draining.Contains(server->Key()))
      server->Drain().NoteReported(Common::Now());
}
} // namespace Gateway

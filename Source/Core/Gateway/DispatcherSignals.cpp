// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Handling of the signals about servers in the headers of their responses, and of draining servers
// that other daemons report.

#include "Gateway/Dispatcher.h"

#include <algorithm>
#include <utility>

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

/// True if another process than `server` responded at its address; its signals do not apply.
bool IsFromOtherInstance(const Server& server, const ServerSignals& signals)
{
  return signals.instance && *signals.instance != server.Entry().instance.Get();
}
} // namespace

void Dispatcher::ApplySignals(const ServerPtr& server, const ServerSignals& signals,
                              const SignalOrigin& origin)
{
  const InstanceId& instance = server->Entry().instance;
  if (IsFromOtherInstance(*server, signals))
    return;
  for (const InvalidHeader& invalid : signals.invalid)
    Common::LogEvent(Common::LogLevel::Warning, "server-signal-unreadable",
                     {{"instance", instance},
                      {"id", origin.request},
                      {"header", invalid.header},
                      {"value", invalid.value}});
  if (signals.draining)
    OnDrainAnnounced(server, origin);
  else if (origin.is_request)
    server->Drain().NoteNotAnnounced(origin.sent_at);
  if (signals.cold_left)
  {
    server->Cold().NoteLeft(*signals.cold_left, Common::Now());
    m_limited.RefreshServer(server);
  }
  if (origin.is_request || signals.rejection_limit)
    m_brittle.NoteResponse(*server, signals.rejection_limit, origin.sent_at);
  if (signals.backoff)
    NoteRetryAfter(server, *signals.backoff, origin);
  if (!origin.is_request)
  {
    if (signals.limit.rate)
      m_limited.NoteResponse(*server, signals.limit, origin.sent_at);
    return;
  }
  if (signals.accepted && server->GetBackoff().NoteAccepted(origin.sent_at, server->Entry().slots))
    Common::LogEvent(Common::LogLevel::Info, "server-backoff-ended",
                     {{"instance", instance}, {"id", origin.request}});
  m_limited.NoteResponse(*server, signals.limit, origin.sent_at);
}

void Dispatcher::NoteRetryAfter(const ServerPtr& server, Milliseconds span,
                                const SignalOrigin& origin)
{
  const auto now = Common::Now();
  Backoff& backoff = server->GetBackoff();
  const Milliseconds before = backoff.IsRetryAfterActive(now) ? backoff.Left(now) : Milliseconds(0);
  if (!backoff.NoteRetryAfter(span, now))
    return;
  Common::LogEvent(Common::LogLevel::Info, "server-backoff",
                   {{"instance", server->Entry().instance},
                    {"id", origin.request},
                    {"for_ms", span.count()},
                    {"left_before_ms", before.count()},
                    {"in_all_ms", backoff.RetryAfterSpan(now).count()},
                    {"sent_ms_ago", AgeOf(origin).count()}});
  m_new_backoffs.insert(server);
  ScheduleDispatch();
}

void Dispatcher::HandleNewBackoffs()
{
  const auto servers = std::exchange(m_new_backoffs, {});
  if (servers.empty())
    return;
  const auto relays = m_relays;
  for (const auto& [key, relay] : relays)
  {
    relay->WithdrawUnsent(servers, "the server sent a Retry-After before the request was sent");
    relay->RecheckWait();
  }
}

void Dispatcher::ApplyInterimSignals(const ServerPtr& server, const ServerSignals& signals,
                                     const SignalOrigin& origin)
{
  if (signals.draining && !IsFromOtherInstance(*server, signals))
    OnDrainAnnounced(server, origin);
}

void Dispatcher::CountSend(const Server& server, Common::TimePoint now)
{
  ++m_counters.attempts;
  m_counters.sent_in_backoff += server.GetBackoff().IsActive(now) ? 1 : 0;
  if (!server.IsDraining())
    return;
  ++m_counters.sent_to_draining;
  if (!server.AcceptsRequests(now))
    ++m_counters.sent_after_drain;
}

void Dispatcher::OnDrainAnnounced(const ServerPtr& server, const SignalOrigin& origin)
{
  const auto now = Common::Now();
  if (!server->Drain().NoteAnnounced(now))
    return;
  Common::LogEvent(Common::LogLevel::Info, "server-draining",
                   {{"instance", server->Entry().instance},
                    {"source", ToString(DrainSource::Response)},
                    {"id", origin.request},
                    {"sent_ms_ago", AgeOf(origin).count()},
                    {"in_flight", server->InFlight()}});
  if (m_draining.Note(server->Key(), now) && m_on_permit_demand)
    m_on_permit_demand();
  // The server's models may have to be loaded elsewhere.
  if (m_on_demand)
    m_on_demand();
}

void Dispatcher::ApplyDrainUpdate(std::int64_t tenure,
                                  std::span<const RateLimits::ServerKey> servers)
{
  for (const RateLimits::ServerKey key : m_draining.ApplyUpdate(tenure, servers, Common::Now()))
    OnDrainReported(key, "the holder");
  if (!m_draining.Unconfirmed().empty() && m_on_permit_demand)
    m_on_permit_demand();
}

void Dispatcher::ApplyDrainReport(const Common::VmId& from,
                                  std::span<const RateLimits::ServerKey> servers)
{
  const std::uint64_t before = m_draining.Revision();
  for (const RateLimits::ServerKey key : servers)
    if (m_draining.Note(key, Common::Now()))
      OnDrainReported(key, from.Get());
  if (m_draining.Revision() != before && m_on_permit_demand)
    m_on_permit_demand();
}

void Dispatcher::OnDrainReported(RateLimits::ServerKey key, std::string_view reported_by)
{
  const ServerPtr server = m_servers.FindByKey(key);
  if (!server)
    return;
  server->Drain().NoteReported(Common::Now());
  Common::LogEvent(Common::LogLevel::Info, "server-draining",
                   {{"instance", server->Entry().instance},
                    {"source", ToString(DrainSource::OtherVm)},
                    {"told_by", reported_by}});
}

void Dispatcher::MarkDrainingServers()
{
  if (m_draining.Empty() || m_draining_revision == m_servers.Revision())
    return;
  m_draining_revision = m_servers.Revision();
  for (const auto& [instance, server] : m_servers.All())
    if (m_draining.Contains(server->Key()))
      server->Drain().NoteReported(Common::Now());
}
} // namespace Gateway

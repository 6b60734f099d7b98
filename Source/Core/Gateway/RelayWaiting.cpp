// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Requests that wait for a server, and requests that are refused because the wait would be too
// long.

#include "Gateway/Relay.h"

#include <algorithm>

#include "Common/Log.h"
#include "Gateway/Dispatcher.h"

namespace Gateway
{
namespace
{
using Common::Milliseconds;

/// The share of the caller's idle timeout that a request may wait for a server, so that a refusal
/// arrives before the caller disconnects.
constexpr double WAIT_SHARE_OF_IDLE_TIMEOUT = 0.7;
/// The share of the time until its deadline that a request may wait for a server. More than half of
/// it would leave the caller too little time to retry elsewhere.
constexpr double WAIT_SHARE_OF_DEADLINE = 0.45;
} // namespace

void Relay::WaitForServer()
{
  if (!MayTryNewServer() && !m_waiting)
  {
    // The route allows only the servers that were already tried, and none of them can serve it now.
    const auto now = Common::Now();
    const bool any_usable = std::ranges::any_of(m_tried_servers, [&](const InstanceId& instance) {
      const ServerPtr server = m_dispatcher.Servers().Find(instance);
      return server && server->MayServe(m_artifact, now);
    });
    if (!any_usable)
    {
      AttemptFailed("the route allows no further server", m_may_have_run);
      return;
    }
  }
  if (m_waiting)
  {
    EndIfVersionIsGone();
    return;
  }
  if (EndIfVersionIsGone() || RefuseEarly())
    return;
  m_waiting = true;
  m_wait_timer.Start(WaitLeft(Common::Now()), [this] {
    OnWaitExpired();
  });
  m_dispatcher.ReportDemand();
}

Milliseconds Relay::WaitLeft(Common::TimePoint now) const
{
  // The caller's idle timeout counts from the last event that it got.
  const auto since = m_stream_begun ? m_last_event_at : m_arrived;
  auto limit =
      std::chrono::duration_cast<Milliseconds>((m_deadline - since) * WAIT_SHARE_OF_DEADLINE);
  limit = std::min(
      limit, std::chrono::duration_cast<Milliseconds>(m_idle_timeout * WAIT_SHARE_OF_IDLE_TIMEOUT));
  return std::max(std::chrono::floor<Milliseconds>(since + limit - now), Milliseconds(0));
}

Milliseconds Relay::PatienceLeft(Common::TimePoint now) const
{
  const auto elapsed = std::chrono::ceil<Milliseconds>(now - m_arrived);
  const auto until_deadline = std::chrono::floor<Milliseconds>(m_deadline - now);
  return std::max(std::min(until_deadline, m_idle_timeout - elapsed), Milliseconds(0));
}

bool Relay::AwaitsNewerEntries()
{
  return IsBoundToVersion() && m_dispatcher.Versions().IsCurrent(Common::Now()) &&
         m_dispatcher.CheckNoServerAllowed(*this) && !KnowsServersAtArrival();
}

bool Relay::RefuseEarly()
{
  if (AwaitsNewerEntries())
    return false;
  const auto refusal =
      m_dispatcher.CheckEarlyRefusal(*this, m_idle_timeout, WaitLeft(Common::Now()));
  if (!refusal)
    return false;
  if (m_may_have_run)
  {
    // A load that comes too late is only an estimate, but a server's own limit or Retry-After is
    // reliable.
    if (refusal->holder)
      OnWaitExpired();
    return refusal->holder != nullptr;
  }
  m_retry_after = refusal->retry_after;
  LogEarlyRefusal(*refusal);
  if (refusal->for_late_replicas)
    m_dispatcher.NoteLateRejection(*this, *refusal);
  m_dispatcher.ExpectRetry(*this, refusal->retry_after);
  Refuse(refusal->why);
  return true;
}

bool Relay::EndIfVersionIsGone()
{
  if (!IsBoundToVersion())
    return false;
  const auto refusal = m_dispatcher.CheckNoServerAllowed(*this);
  if (!refusal || AwaitsNewerEntries())
    return false;
  if (m_may_have_run)
  {
    OnWaitExpired();
    return true;
  }
  m_retry_after = refusal->retry_after;
  Refuse(refusal->why);
  return true;
}

void Relay::LogEarlyRefusal(const EarlyRefusal& refusal) const
{
  if (!refusal.holder)
    return;
  const auto now = Common::Now();
  const Server& holder = *refusal.holder;
  if (holder.GetBackoff().IsRetryAfterActive(now))
    Common::LogEvent(Common::LogLevel::Info, "refused-for-backoff",
                     {{"id", m_id},
                      {"artifact", m_artifact.ToString()},
                      {"instance", holder.Entry().instance},
                      {"left_ms", holder.GetBackoff().Left(now).count()},
                      {"patience_ms", WaitLeft(now).count()},
                      {"come_back_ms", refusal.retry_after.count()}});
  else if (const auto& limit = holder.Limit())
    Common::LogEvent(
        Common::LogLevel::Info, "refused-for-limit",
        {{"id", m_id},
         {"artifact", m_artifact.ToString()},
         {"instance", holder.Entry().instance},
         {"per_second", RateLimits::Describe(limit->rate)},
         {"limit_age_ms", std::chrono::floor<Milliseconds>(now - limit->since).count()},
         {"expected_wait_ms", m_dispatcher.Limited().ExpectedWait(holder).count()},
         {"patience_ms", WaitLeft(now).count()},
         {"come_back_ms", refusal.retry_after.count()}});
}

bool Relay::MayTryNewServer() const
{
  return static_cast<int>(m_tried_servers.size()) < m_route.max_servers;
}

bool Relay::MaySendTo(const InstanceId& instance) const
{
  return m_tried_servers.contains(instance) != MayTryNewServer() ||
         m_deferred_by.contains(instance);
}

void Relay::WithdrawUnsent(const std::set<ServerPtr>& servers, std::string_view why)
{
  if (m_done || !m_connection || m_connection->HasSent() || !servers.contains(m_server))
    return;
  const auto guard = shared_from_this();
  ++m_dispatcher.Counters().withdrawn;
  ForgetAttempt();
  AttemptFailed(why, m_may_have_run);
}

void Relay::RecheckWait()
{
  const auto guard = shared_from_this();
  if (m_waiting && !m_done)
    RefuseEarly();
}

void Relay::OnWaitExpired()
{
  const auto guard = shared_from_this();
  if (m_stream_begun)
    EndUnserved("no server could continue the stream");
  else if (m_may_have_run)
    EndUnserved("no other server was available in time: " + m_last_reason);
  else
    EndUnserved("no server could take the request in time");
}
} // namespace Gateway

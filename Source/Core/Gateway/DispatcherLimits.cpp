// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Requests that wait for a permit of a rate-limited server, or are refused because of the limit.

#include "Gateway/Dispatcher.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <ranges>
#include <utility>

#include "Common/Random.h"

namespace Gateway
{
namespace
{
using Common::Milliseconds;

/// A rate-limited server may be probed for this long after a request that it could have served was
/// sent to another server.
constexpr Milliseconds BYPASS_WINDOW{1000};
/// The most servers that one daemon offers to probe at once.
constexpr std::size_t MAX_PROBES = 8;
/// Retries of callers that are refused because of a Retry-After are spread over this period.
constexpr Milliseconds BACKOFF_RETRY_JITTER{500};
} // namespace

void Dispatcher::RecordBypass(const Server& server, Common::TimePoint now)
{
  const auto before = std::exchange(m_bypassed_at[server.Key()], now);
  if (now - before > BYPASS_WINDOW && m_on_permit_demand)
    m_on_permit_demand();
}

Milliseconds Dispatcher::ExpectedWait(const Server& server, Common::TimePoint now) const
{
  return std::max(server.GetBackoff().Left(now), m_limited.ExpectedWait(server));
}

std::optional<EarlyRefusal>
Dispatcher::CheckExpectedWait(const std::vector<ServerPtr>& holders, bool load_in_progress,
                              std::optional<Decisions::WeightSource> nearest,
                              Milliseconds longest_wait)
{
  const auto now = Common::Now();
  const ServerPtr& soonest = *std::ranges::min_element(holders, {}, [&](const ServerPtr& server) {
    return ExpectedWait(*server, now);
  });
  const bool loads_elsewhere =
      load_in_progress ||
      (nearest && *nearest != Decisions::WeightSource::WeightStore && soonest->IsThrottled(now));
  if (loads_elsewhere || ExpectedWait(*soonest, now) <= longest_wait)
    return std::nullopt;
  if (!soonest->GetBackoff().IsRetryAfterActive(now))
    return EarlyRefusal{m_limited.RetryDelay(*soonest, now),
                        "the queue for the servers' rate limits is too long", soonest};
  const auto jitter = Milliseconds(Common::SharedRandom()() % BACKOFF_RETRY_JITTER.count());
  const auto retry_after =
      std::max(soonest->GetBackoff().Left(now) + jitter, m_limited.RetryDelay(*soonest, now));
  return EarlyRefusal{retry_after, "the servers' Retry-After lasts too long", soonest};
}

std::vector<Dispatcher::AwaitedPermit> Dispatcher::AwaitedPermits(Common::TimePoint now) const
{
  std::vector<AwaitedPermit> awaited;
  std::map<RateLimits::ServerKey, int> assigned;
  for (const auto& relay : WaitingRelays())
  {
    ServerPtr soonest;
    Milliseconds shortest_wait{0};
    for (const ServerPtr& server : m_limited.All())
    {
      if (!IsEligible(*relay, *server, now) || server->InFlight() >= ConcurrencyLimitFor(*server))
        continue;
      const Milliseconds wait = m_limited.WaitBehind(*server, assigned[server->Key()]);
      if (soonest && wait >= shortest_wait)
        continue;
      soonest = server;
      shortest_wait = wait;
    }
    if (!soonest)
      continue;
    ++assigned[soonest->Key()];
    awaited.push_back({relay, soonest, shortest_wait});
  }
  return awaited;
}

std::vector<RateLimits::ServerKey> Dispatcher::ProbeCandidates() const
{
  std::vector<RateLimits::ServerKey> keys;
  std::ranges::copy(std::views::keys(m_bypassed_at), std::back_inserter(keys));
  // Shuffled, so that every server is offered at some time.
  std::ranges::shuffle(keys, Common::SharedRandom());
  keys.resize(std::min(keys.size(), MAX_PROBES));
  return keys;
}

std::vector<RateLimits::PermitDemand> Dispatcher::PermitDemands()
{
  const auto now = Common::Now();
  std::map<RateLimits::ServerKey, RateLimits::PermitDemand> demands;
  std::map<RateLimits::ServerKey, std::uint32_t> waiting;
  for (const AwaitedPermit& awaited : AwaitedPermits(now))
  {
    const RateLimits::ServerKey key = awaited.server->Key();
    RateLimits::PermitDemand& demand = demands[key];
    const auto left = awaited.relay->WaitLeft(now).count();
    demand.expires_in_ms = demand.count == 0 ? left : std::min(demand.expires_in_ms, left);
    demand.priority = std::min(demand.priority, awaited.relay->Priority());
    waiting[key] = ++demand.count;
  }
  m_limited.SetLocalWaiting(std::move(waiting));
  std::erase_if(m_bypassed_at, [now](const auto& entry) {
    return now - entry.second > BYPASS_WINDOW;
  });
  for (const ServerPtr& server : m_limited.All())
    if (const auto unused = m_limited.Permits().TakeUnused(server->Key(), now))
      demands[server->Key()].unused = unused;
  for (const RateLimits::ServerKey key : ProbeCandidates())
    demands[key].may_probe = true;
  std::vector<RateLimits::PermitDemand> result;
  for (auto& [key, demand] : demands)
  {
    demand.server = key;
    result.push_back(demand);
  }
  return result;
}

void Dispatcher::ScheduleRecheck()
{
  m_recheck_after_dispatch = true;
  ScheduleDispatch();
}

void Dispatcher::RecheckWaiting()
{
  const auto now = Common::Now();
  for (const AwaitedPermit& awaited : AwaitedPermits(now))
    if (awaited.expected_wait > awaited.relay->WaitLeft(now))
      awaited.relay->RecheckWait();
}

void Dispatcher::ApplyQueuePositions(const std::vector<RateLimits::PositionLine>& positions)
{
  m_limited.SetQueuePositions(positions, Common::Now());
  ScheduleRecheck();
}

void Dispatcher::OnLimitChange()
{
  ScheduleRecheck();
  if (m_on_permit_demand)
    m_on_permit_demand();
}
} // namespace Gateway

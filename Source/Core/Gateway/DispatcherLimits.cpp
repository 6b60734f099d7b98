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

/// A rate-limited server may be probed for this long after a request that it could have served went
/// elsewhere.
constexpr Milliseconds PASSED_BY_LATELY{1000};
/// The most servers that one daemon offers to probe at once.
constexpr std::size_t MAX_PROBES = 8;
/// Retries of callers that are refused because of a Retry-After are spread over this period.
constexpr Milliseconds BACKOFF_RETURN_SPREAD{500};
} // namespace

void Dispatcher::NotePassedBy(const Server& server, Common::TimePoint now)
{
  const auto before = std::exchange(m_passed_by[server.Key()], now);
  if (now - before > PASSED_BY_LATELY && m_on_permit_demand)
    m_on_permit_demand();
}

Milliseconds Dispatcher::ExpectedWait(const Server& server, Common::TimePoint now) const
{
  return std::max(server.GetBackoff().Left(now), m_limited.ExpectedWait(server));
}

std::optional<EarlyRefusal>
Dispatcher::RefuseForWait(const std::vector<ServerPtr>& holders, bool is_coming,
                          std::optional<Decisions::WeightSource> nearest, Milliseconds longest_wait)
{
  const auto now = Common::Now();
  const ServerPtr& soonest = *std::ranges::min_element(holders, {}, [&](const ServerPtr& server) {
    return ExpectedWait(*server, now);
  });
  const bool loads_elsewhere =
      is_coming || (nearest && *nearest != Decisions::WeightSource::WeightStore &&
                    soonest->IsPlannedAround(now));
  if (loads_elsewhere || ExpectedWait(*soonest, now) <= longest_wait)
    return std::nullopt;
  if (!soonest->GetBackoff().IsNamed(now))
    return EarlyRefusal{m_limited.RetryDelay(*soonest, now),
                        "the queue for the servers' rate limits is too long", soonest};
  const auto spread = Milliseconds(Common::SharedRandom()() % BACKOFF_RETURN_SPREAD.count());
  const auto come_back =
      std::max(soonest->GetBackoff().Left(now) + spread, m_limited.RetryDelay(*soonest, now));
  return EarlyRefusal{come_back, "the servers' Retry-After lasts too long", soonest};
}

std::vector<Dispatcher::AwaitedPermit> Dispatcher::AwaitedPermits(Common::TimePoint now) const
{
  std::vector<AwaitedPermit> awaited;
  std::map<RateLimits::ServerKey, int> assigned;
  for (const auto& relay : WaitingInOrder())
  {
    ServerPtr soonest;
    Milliseconds shortest_wait{0};
    for (const ServerPtr& server : m_limited.All())
    {
      if (!IsEligible(*relay, *server, now) || server->InFlight() >= LimitFor(*server))
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

std::vector<RateLimits::ServerKey> Dispatcher::ProbesToOffer() const
{
  std::vector<RateLimits::ServerKey> keys;
  std::ranges::copy(std::views::keys(m_passed_by), std::back_inserter(keys));
  // Shuffled, so that every server is offered at some time.
  std::ranges::shuffle(keys, Common::SharedRandom());
  keys.resize(std::min(keys.size(), MAX_PROBES));
  return keys;
}

std::vector<RateLimits::PermitWant> Dispatcher::PermitWants()
{
  const auto now = Common::Now();
  std::map<RateLimits::ServerKey, RateLimits::PermitWant> wants;
  std::map<RateLimits::ServerKey, std::uint32_t> waiting;
  for (const AwaitedPermit& awaited : AwaitedPermits(now))
  {
    const RateLimits::ServerKey key = awaited.server->Key();
    RateLimits::PermitWant& want = wants[key];
    const auto left = awaited.relay->WaitLeft(now).count();
    want.gives_up_ms = want.count == 0 ? left : std::min(want.gives_up_ms, left);
    want.priority = std::min(want.priority, awaited.relay->Priority());
    waiting[key] = ++want.count;
  }
  m_limited.SetOwnWaiting(std::move(waiting));
  std::erase_if(m_passed_by, [now](const auto& entry) {
    return now - entry.second > PASSED_BY_LATELY;
  });
  for (const ServerPtr& server : m_limited.All())
    if (const auto unused = m_limited.Permits().TakeUnused(server->Key(), now))
      wants[server->Key()].unused = unused;
  for (const RateLimits::ServerKey key : ProbesToOffer())
    wants[key].may_probe = true;
  std::vector<RateLimits::PermitWant> result;
  for (auto& [key, want] : wants)
  {
    want.server = key;
    result.push_back(want);
  }
  return result;
}

void Dispatcher::ReviewWaiting()
{
  const auto now = Common::Now();
  for (const AwaitedPermit& awaited : AwaitedPermits(now))
    if (awaited.expected_wait > awaited.relay->WaitLeft(now))
      awaited.relay->ReviewWait();
}

void Dispatcher::TakePlaces(const std::vector<RateLimits::PlaceLine>& places)
{
  m_limited.SetPlaces(places, Common::Now());
  WakeWaiting();
  ReviewWaiting();
}

void Dispatcher::OnLimitChange()
{
  WakeWaiting();
  ReviewWaiting();
  if (m_on_permit_demand)
    m_on_permit_demand();
}
} // namespace Gateway

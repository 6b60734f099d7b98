// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "RateLimits/PermitAllocator.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <ranges>
#include <tuple>
#include <utility>

namespace RateLimits
{
namespace
{
using Common::Milliseconds;
using Seconds = std::chrono::duration<double>;

/// A bucket holds one request plus the inflow of this many seconds.
constexpr double BURST_S = 0.25;
/// If no request waits, one request per interval probes whether the limit still applies.
constexpr Milliseconds PROBE_INTERVAL{1000};
/// Validity of a daemon's demand, which it sends twice in this time. Most requests behind older
/// demand have ended, and the message about it was lost.
constexpr Milliseconds DEMAND_VALID{400};
/// Validity of an offer to probe, which is sent twice in this time.
constexpr Milliseconds PROBE_OFFER_VALID{2500};
/// Upper bound for the waiting time of a request.
constexpr Milliseconds MAX_WAIT{600000};
/// A daemon that has not sent its demand for this long is no longer a standby.
constexpr Milliseconds INACTIVE_AFTER{10000};
constexpr Milliseconds CLEANUP_INTERVAL{1000};
/// Minimum requests per second of a standby: less is hardly useful before the next holder takes
/// over.
constexpr double MIN_STANDBY_RATE = 0.25;
/// Maximum time for which a bucket is refilled at once, after this process was suspended.
constexpr Milliseconds MAX_FILL_TIME{1000};
} // namespace

bool PermitAllocator::ServerDemand::Waits(Common::TimePoint now) const
{
  return reported.count > 0 && now - reported_at <= DEMAND_VALID && now < ExpiresAt();
}

bool PermitAllocator::ServerDemand::MayProbe(Common::TimePoint now) const
{
  return reported.may_probe && now - reported_at <= PROBE_OFFER_VALID;
}

bool PermitAllocator::Bucket::MayHaveWaiting(Common::TimePoint now) const
{
  return wait_reported_at && now - *wait_reported_at <= DEMAND_VALID;
}

bool PermitAllocator::Bucket::MayHaveProbes(Common::TimePoint now) const
{
  return probe_reported_at && now - *probe_reported_at <= PROBE_OFFER_VALID;
}

Common::TimePoint PermitAllocator::Bucket::ProbeDueAt() const
{
  return granted_at ? *granted_at + PROBE_INTERVAL : Common::TimePoint::min();
}

double PermitAllocator::Bucket::Capacity() const
{
  return 1 + FillRate() * BURST_S;
}

void PermitAllocator::Bucket::Fill(Common::TimePoint now)
{
  const Seconds since = std::min<Seconds>(now - filled_at, MAX_FILL_TIME);
  filled_at = now;
  level = std::min(level + since.count() * FillRate(), Capacity());
}

std::map<Common::VmId, PermitAllocator::ServerDemand>::iterator
PermitAllocator::Bucket::MostUrgent(Common::TimePoint now)
{
  const bool probe_due = now >= ProbeDueAt();
  if (!MayHaveWaiting(now) && !(probe_due && MayHaveProbes(now)))
    return demands.end();
  const auto is_eligible = [&](const ServerDemand& demand) {
    return demand.Waits(now) || (probe_due && demand.MayProbe(now));
  };
  const auto rank = [&](const auto& entry) {
    const ServerDemand& demand = entry.second;
    return std::tuple(!demand.Waits(now), !is_eligible(demand), demand.reported.priority,
                      demand.ExpiresAt());
  };
  const auto first = std::ranges::min_element(demands, {}, rank);
  if (first != demands.end() && is_eligible(first->second))
    return first;
  wait_reported_at.reset();
  if (probe_due)
    probe_reported_at.reset();
  return demands.end();
}

void PermitAllocator::Bucket::ChooseStandbys()
{
  const auto most = static_cast<std::size_t>(
      std::max(std::floor(FillRate() * WITHOUT_HOLDER_SHARE / MIN_STANDBY_RATE), 1.0));
  // Existing standbys are kept: if two daemons alternated, both might act as standby at the same
  // time.
  const auto rank = [this](const Common::VmId& vm) {
    const bool is_near = demands.at(vm).data_centre == data_centre;
    return std::pair(!is_near, std::ranges::find(standbys, vm) == standbys.end());
  };
  std::vector<Common::VmId> candidates;
  std::ranges::copy(std::views::keys(demands), std::back_inserter(candidates));
  std::ranges::stable_sort(candidates, {}, rank);
  candidates.resize(std::min(candidates.size(), most));
  standbys = std::move(candidates);
}

void PermitAllocator::SetLimits(std::span<const KnownLimit> limits, Common::TimePoint now)
{
  std::set<ServerKey> limited;
  std::ranges::transform(limits, std::inserter(limited, limited.end()), &KnownLimit::server);
  std::erase_if(m_buckets, [&](const auto& entry) {
    return !limited.contains(entry.first);
  });
  for (const KnownLimit& limit : limits)
  {
    const auto [found, is_new] = m_buckets.try_emplace(limit.server);
    Bucket& bucket = found->second;
    if (is_new)
      bucket.filled_at = now;
    bucket.Fill(now);
    bucket.rate = limit.rate;
    bucket.data_centre = limit.data_centre;
    bucket.level = std::min(bucket.level, bucket.Capacity());
  }
}

void PermitAllocator::Begin()
{
  m_buckets.clear();
  m_servers_by_daemon.clear();
}

void PermitAllocator::UpdateDemand(const Requester& requester,
                                   std::span<const PermitDemand> demands, Common::TimePoint now)
{
  std::set<ServerKey> reported;
  for (const PermitDemand& demand : demands)
  {
    reported.insert(demand.server);
    UpdateServerDemand(requester, demand, now);
  }
  const std::set<ServerKey> before = std::exchange(m_servers_by_daemon[requester.vm], reported);
  for (const ServerKey server : before)
    if (const auto bucket = m_buckets.find(server);
        !reported.contains(server) && bucket != m_buckets.end())
      if (const auto known = bucket->second.demands.find(requester.vm);
          known != bucket->second.demands.end())
        known->second.reported = {server};
  RemoveInactive(now);
}

void PermitAllocator::UpdateServerDemand(const Requester& requester, const PermitDemand& reported,
                                         Common::TimePoint now)
{
  const auto found = m_buckets.find(reported.server);
  if (found == m_buckets.end())
    return;
  Bucket& bucket = found->second;
  const bool is_new = !bucket.demands.contains(requester.vm);
  ServerDemand& demand = bucket.demands[requester.vm];
  demand = {reported, requester.data_centre, now};
  demand.reported.expires_in_ms =
      std::clamp<std::int64_t>(reported.expires_in_ms, 0, MAX_WAIT.count());
  if (reported.count > 0)
    bucket.wait_reported_at = now;
  if (reported.may_probe)
    bucket.probe_reported_at = now;
  bucket.Fill(now);
  bucket.level = std::min(bucket.level + reported.unused, bucket.Capacity());
  m_totals.unused += reported.unused;
  if (is_new)
    bucket.ChooseStandbys();
}

void PermitAllocator::RemoveInactive(Common::TimePoint now)
{
  if (now - m_last_cleanup_at < CLEANUP_INTERVAL)
    return;
  m_last_cleanup_at = now;
  for (auto& [server, bucket] : m_buckets)
  {
    const auto forgotten = std::erase_if(bucket.demands, [now](const auto& entry) {
      return now - entry.second.reported_at > INACTIVE_AFTER;
    });
    if (forgotten > 0)
      bucket.ChooseStandbys();
  }
}

std::vector<Grant> PermitAllocator::GrantPermits(Common::TimePoint now)
{
  std::vector<Grant> grants;
  for (auto& [server, bucket] : m_buckets)
  {
    bucket.Fill(now);
    for (auto demand = bucket.MostUrgent(now); bucket.level >= 1 && demand != bucket.demands.end();
         demand = bucket.MostUrgent(now))
    {
      bucket.level -= 1;
      bucket.granted_at = now;
      demand->second.reported.count -= demand->second.reported.count > 0 ? 1 : 0;
      ++m_totals.granted;
      const auto same = std::ranges::find_if(grants, [&](const Grant& grant) {
        return grant.vm == demand->first && grant.server == server;
      });
      if (same == grants.end())
        grants.push_back({demand->first, server, 1});
      else
        ++same->count;
    }
  }
  return grants;
}

std::optional<Common::TimePoint> PermitAllocator::NextGrantAt(Common::TimePoint now) const
{
  std::optional<Common::TimePoint> next;
  for (const auto& [server, bucket] : m_buckets)
  {
    const bool anyone_waits = bucket.MayHaveWaiting(now);
    if (!anyone_waits && !bucket.MayHaveProbes(now))
      continue;
    const Seconds until_full(std::max((1 - bucket.level) / bucket.FillRate(), 0.0));
    const auto full_at = bucket.filled_at + std::chrono::ceil<Milliseconds>(until_full);
    const auto at = anyone_waits ? full_at : std::max(full_at, bucket.ProbeDueAt());
    next = std::min(next.value_or(at), at);
  }
  return next;
}

std::uint32_t PermitAllocator::Waiting(ServerKey server, Common::TimePoint now) const
{
  std::uint32_t waiting = 0;
  if (const auto bucket = m_buckets.find(server); bucket != m_buckets.end())
    for (const auto& [vm, demand] : bucket->second.demands)
      waiting += demand.Waits(now) ? demand.reported.count : 0;
  return waiting;
}

Milliseconds PermitAllocator::TimeToNextPermit(ServerKey server, Common::TimePoint now) const
{
  const auto bucket = m_buckets.find(server);
  if (bucket == m_buckets.end())
    return std::chrono::ceil<Milliseconds>(Seconds(1 / MIN_SEND_RATE));
  const Seconds until_full((1 - bucket->second.level) / bucket->second.FillRate());
  const auto full_at = bucket->second.filled_at + std::chrono::ceil<Milliseconds>(until_full);
  return std::max(std::chrono::ceil<Milliseconds>(full_at - now), Milliseconds(0));
}

std::uint32_t PermitAllocator::RequestsAhead(const Common::VmId& vm, ServerKey server,
                                             Common::TimePoint now) const
{
  const auto bucket = m_buckets.find(server);
  if (bucket == m_buckets.end() || !bucket->second.demands.contains(vm))
    return 0;
  const auto rank = [](const ServerDemand& demand) {
    return std::pair(demand.reported.priority, demand.ExpiresAt());
  };
  const ServerDemand& own = bucket->second.demands.at(vm);
  std::uint32_t ahead = 0;
  for (const auto& [other, demand] : bucket->second.demands)
    if (other != vm && demand.Waits(now) && rank(demand) < rank(own))
      ahead += demand.reported.count;
  return ahead;
}

std::vector<StandbyLine> PermitAllocator::StandbysOf(const Common::VmId& vm) const
{
  std::vector<StandbyLine> lines;
  for (const auto& [server, bucket] : m_buckets)
  {
    if (std::ranges::find(bucket.standbys, vm) == bucket.standbys.end())
      continue;
    const double part =
        bucket.FillRate() * WITHOUT_HOLDER_SHARE / static_cast<double>(bucket.standbys.size());
    lines.push_back({server, RequestRate(static_cast<std::int64_t>(part * THOUSANDTHS))});
  }
  return lines;
}
} // namespace RateLimits

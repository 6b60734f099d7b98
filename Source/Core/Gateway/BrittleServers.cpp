// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/BrittleServers.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <set>

namespace Gateway
{
namespace
{
using Common::Milliseconds;
using Seconds = std::chrono::duration<double>;

/// A server that ends within this time after rejections may have crashed because of them.
constexpr Milliseconds REJECTIONS_MATTER_FOR{2000};
/// How long the holder's view of a queue is used: a daemon with waiting requests gets it twice
/// within this span.
constexpr Milliseconds QUEUE_LIFETIME{300};
/// How long a pool counts as brittle after the last server that stated it has gone.
constexpr std::chrono::seconds POOL_BOUND_LIFETIME{30};
/// Weight of the latest request in the moving average of service times.
constexpr double SERVICE_TIME_WEIGHT = 0.1;
/// Expected wait, and the longest Retry-After, where there is no place for this daemon.
constexpr Milliseconds MAX_RETRY_DELAY{10000};

RateLimits::LimitReading ToReading(std::optional<double> per_second)
{
  RateLimits::LimitReading reading;
  if (per_second)
    reading.rate = RateLimits::RequestRate(std::llround(*per_second * RateLimits::THOUSANDTHS));
  return reading;
}
} // namespace

void BrittleServers::NoteResponse(Server& server, std::optional<double> per_second,
                                  Common::TimePoint sent_at)
{
  const auto before = server.RespondedTo();
  server.NoteRespondedTo(sent_at);
  const auto change =
      m_registry.NoteResponse(server.Key(), ToReading(per_second), sent_at, Common::Now());
  const auto pool = m_pool_bounds.find(server.Entry().pool);
  const bool is_first =
      pool != m_pool_bounds.end() && before < pool->second.since && sent_at >= pool->second.since;
  if (change || is_first)
    Refresh();
}

void BrittleServers::NoteRejected(const Server& server, Common::TimePoint now)
{
  if (server.RejectionBound())
    m_rejected_at[server.Entry().pool] = now;
}

bool BrittleServers::MayFallForRejections(const Server& server, Common::TimePoint now) const
{
  const auto rejected = m_rejected_at.find(server.Entry().pool);
  return server.RejectionBound() && rejected != m_rejected_at.end() &&
         now - rejected->second <= REJECTIONS_MATTER_FOR;
}

void BrittleServers::ApplyUpdate(std::int64_t tenure, const RateLimits::LimitUpdate& update)
{
  if (!m_registry.ApplyUpdate(tenure, update, Common::Now()).empty())
    Refresh();
}

void BrittleServers::ApplyObservations(std::int64_t tenure,
                                       std::span<const RateLimits::LimitObservation> observations)
{
  if (!m_registry.ApplyObservations(tenure, observations, Common::Now()).empty())
    Refresh();
}

std::optional<double> BrittleServers::BoundOf(const Server& server) const
{
  if (const auto stated = m_registry.CurrentLimit(server.Key()))
    return RateLimits::PerSecond(*stated);
  // The servers of a pool become brittle together. Each counts as brittle until it has responded to
  // a request that was sent after the first one was known to be.
  const auto pool = m_pool_bounds.find(server.Entry().pool);
  if (pool == m_pool_bounds.end() || server.RespondedTo() >= pool->second.since)
    return std::nullopt;
  return pool->second.per_second;
}

void BrittleServers::UpdatePoolBounds(Common::TimePoint now)
{
  std::set<PoolId> brittle;
  for (const auto& [instance, server] : m_servers.All())
  {
    const auto stated = m_registry.CurrentLimit(server->Key());
    if (!stated)
      continue;
    const double per_second = RateLimits::PerSecond(*stated);
    const PoolId& id = server->Entry().pool;
    PoolBound& pool = m_pool_bounds.try_emplace(id, PoolBound{per_second, now, now}).first->second;
    pool.stated_at = now;
    pool.per_second =
        brittle.insert(id).second ? per_second : std::min(pool.per_second, per_second);
  }
  // All servers of the pool may have crashed: those that start are brittle, too.
  std::erase_if(m_pool_bounds, [&](const auto& entry) {
    const auto& [id, pool] = entry;
    const bool has_ended = std::ranges::any_of(m_servers.InPool(id), [&](const ServerPtr& server) {
      return server->RespondedTo() >= pool.since;
    });
    return !brittle.contains(id) && (has_ended || now - pool.stated_at > POOL_BOUND_LIFETIME);
  });
}

void BrittleServers::Refresh()
{
  if (m_registry.Empty() && m_brittle.empty() && m_pool_bounds.empty())
    return;
  ++m_revision;
  UpdatePoolBounds(Common::Now());
  m_brittle.clear();
  std::vector<ServerPtr> changed;
  for (const auto& [instance, server] : m_servers.All())
  {
    const auto before = server->RejectionBound();
    server->SetRejectionBound(BoundOf(*server));
    if (server->RejectionBound())
      m_brittle.push_back(server);
    if (server->RejectionBound() != before)
      changed.push_back(server);
  }
  if (m_brittle.empty() && m_pool_bounds.empty())
    m_places.Clear();
  if (m_on_change)
    std::ranges::for_each(changed, m_on_change);
}

std::vector<RateLimits::PlaceAllocator::KnownServer> BrittleServers::KnownServers() const
{
  std::vector<RateLimits::PlaceAllocator::KnownServer> known;
  for (const auto& [instance, server] : m_servers.All())
    if (m_pool_bounds.contains(server->Entry().pool))
      known.push_back({server->Key(), static_cast<std::uint32_t>(server->Entry().slots)});
  return known;
}

int BrittleServers::MaxRequests(const Server& server, Common::TimePoint now) const
{
  return m_places.MaxRequests(server.Key(), server.Entry().slots, server.InFlight(), now);
}

std::vector<RateLimits::HeldPlaces> BrittleServers::TakeHeld(Common::TimePoint now)
{
  std::vector<RateLimits::HeldPlaces> held;
  for (const ServerPtr& server : m_brittle)
    if (const auto count = m_places.TakeHeld(server->Key(), server->InFlight(), now))
      held.push_back({server->Key(), count});
  return held;
}

bool BrittleServers::HasUnusedPlaces(Common::TimePoint now) const
{
  return std::ranges::any_of(m_brittle, [&](const ServerPtr& server) {
    return m_places.HasUnusedGrant(server->Key(), server->InFlight(), now);
  });
}

void BrittleServers::NoteServiceTime(const PoolId& pool, Milliseconds took)
{
  const auto [average, is_first] = m_service_times.try_emplace(pool, took);
  if (!is_first)
    average->second += (Seconds(took) - average->second) * SERVICE_TIME_WEIGHT;
}

void BrittleServers::SetQueues(std::span<const RateLimits::PlaceQueue> queues,
                               Common::TimePoint now)
{
  std::erase_if(m_queues, [now](const auto& entry) {
    return now - entry.second.at > QUEUE_LIFETIME;
  });
  for (const RateLimits::PlaceQueue& queue : queues)
    m_queues[queue.group] = {queue, now};
}

std::optional<Seconds> BrittleServers::IntervalAt(std::span<const ServerPtr> servers) const
{
  if (servers.empty())
    return std::nullopt;
  const auto service_time = m_service_times.find(servers.front()->Entry().pool);
  if (service_time == m_service_times.end())
    return std::nullopt;
  const bool is_alone = m_places.IsWithoutHolder();
  const int places =
      std::accumulate(servers.begin(), servers.end(), 0, [&](int sum, const ServerPtr& server) {
        const int slots = server->Entry().slots;
        return sum + (is_alone ? m_places.Share(server->Key(), slots) : slots);
      });
  return places == 0 ? Seconds(MAX_RETRY_DELAY) : service_time->second / places;
}

Milliseconds BrittleServers::ExpectedWait(RateLimits::PlaceGroup group,
                                          std::span<const ServerPtr> servers, int own,
                                          Common::TimePoint now) const
{
  const auto interval = IntervalAt(servers);
  if (!interval)
    return Milliseconds(0);
  const auto queue = m_queues.find(group);
  const bool is_known = queue != m_queues.end() && now - queue->second.at <= QUEUE_LIFETIME &&
                        !m_places.IsWithoutHolder();
  const double elsewhere = is_known ? queue->second.reported.waiting_elsewhere : 0;
  return std::chrono::ceil<Milliseconds>(*interval * (elsewhere + own + 1));
}

Milliseconds BrittleServers::RetryDelay(RateLimits::PlaceGroup group,
                                        std::span<const ServerPtr> servers, int own,
                                        Common::TimePoint now)
{
  std::erase_if(m_next_retry, [now](const auto& entry) {
    return entry.second <= now;
  });
  const auto interval = IntervalAt(servers).value_or(Seconds(0));
  Common::TimePoint& next = m_next_retry[group];
  const auto after_others = next + std::chrono::ceil<Milliseconds>(interval);
  next = std::min(std::max(now + ExpectedWait(group, servers, own, now), after_others),
                  now + MAX_RETRY_DELAY);
  return std::chrono::ceil<Milliseconds>(next - now);
}
} // namespace Gateway

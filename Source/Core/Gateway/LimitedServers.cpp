// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/LimitedServers.h"

#include <algorithm>
#include <iterator>

#include "Common/Log.h"

namespace Gateway
{
namespace
{
using Common::Milliseconds;
using RateLimits::ServerKey;
using Seconds = std::chrono::duration<double>;

/// The longest time that RetryDelay() returns.
constexpr Milliseconds MAX_RETRY_DELAY{10000};

/// How long a queue position is used: the lease holder sends it in every reply to this daemon's
/// periodic permit requests.
constexpr Milliseconds QUEUE_POSITION_LIFETIME{300};
/// How long the time of the next free permit is used: the lease holder announces it twice within
/// this span.
constexpr Milliseconds NEXT_PERMIT_LIFETIME{1300};

std::uint32_t CountOf(const std::map<ServerKey, std::uint32_t>& counts, ServerKey server)
{
  const auto found = counts.find(server);
  return found == counts.end() ? 0 : found->second;
}
} // namespace

void LimitedServers::NoteResponse(const Server& server, const RateLimits::LimitReading& reading,
                                  Common::TimePoint sent_at)
{
  if (!reading.readable)
  {
    ++m_unreadable_limits;
    Common::LogEvent(Common::LogLevel::Warning, "server-limit-unreadable",
                     {{"instance", server.Entry().instance},
                      {"value", reading.unreadable},
                      {"in_force", RateLimits::Describe(m_registry.CurrentLimit(server.Key()))}});
  }
  if (const auto change = m_registry.NoteResponse(server.Key(), reading, sent_at, Common::Now()))
    Report({*change}, "an answer");
}

void LimitedServers::ApplyUpdate(std::int64_t tenure, const RateLimits::LimitUpdate& update)
{
  const auto now = Common::Now();
  ApplyQueues(update, now);
  Report(m_registry.ApplyUpdate(tenure, update, now), "the holder");
}

void LimitedServers::ApplyQueues(const RateLimits::LimitUpdate& update, Common::TimePoint now)
{
  std::erase_if(m_waiting, [&](const auto& entry) {
    return update.Covers(entry.first);
  });
  for (const RateLimits::LimitLine& line : update.lines)
  {
    m_waiting[line.server] = line.waiting;
    m_next_permits[line.server] = {now + Milliseconds(line.free_in_ms), now};
  }
}

void LimitedServers::ApplyObservations(std::int64_t tenure, const Common::VmId& from,
                                       std::span<const RateLimits::LimitObservation> observations)
{
  Report(m_registry.ApplyObservations(tenure, observations, Common::Now()), from.Get());
}

void LimitedServers::Report(const std::vector<RateLimits::LimitChange>& changes,
                            std::string_view source)
{
  if (changes.empty())
    return;
  for (const RateLimits::LimitChange& change : changes)
  {
    const ServerPtr server = m_servers.FindByKey(change.server);
    Common::LogEvent(Common::LogLevel::Info, "server-limit",
                     {{"instance", server ? server->Entry().instance.Get() : ""},
                      {"per_second", RateLimits::Describe(change.rate)},
                      {"before", RateLimits::Describe(change.before)},
                      {"source", source}});
    if (change.rate)
      m_learned_from[change.server] = source;
    else
      m_learned_from.erase(change.server);
  }
  Refresh();
  if (m_on_change)
    m_on_change();
}

void LimitedServers::Refresh()
{
  if (m_registry.Empty() && m_limited.empty())
    return;
  ++m_revision;
  m_limited.clear();
  std::vector<ServerKey> keys;
  for (const auto& [instance, server] : m_servers.All())
  {
    const auto rate = m_registry.CurrentLimit(server->Key());
    const auto since = m_registry.LimitedSince(server->Key());
    if (!rate)
    {
      server->SetLimit(std::nullopt);
      continue;
    }
    server->SetLimit(ServerLimit{*rate, *since, m_learned_from[server->Key()]});
    m_limited.push_back(server);
    keys.push_back(server->Key());
  }
  m_permits.Retain(keys);
  const auto is_unlimited = [&](const auto& entry) {
    return std::ranges::find(keys, entry.first) == keys.end();
  };
  std::erase_if(m_next_retry, is_unlimited);
  std::erase_if(m_queue_positions, is_unlimited);
  std::erase_if(m_next_permits, is_unlimited);
}

std::vector<RateLimits::PermitAllocator::KnownLimit> LimitedServers::KnownLimits() const
{
  std::vector<RateLimits::PermitAllocator::KnownLimit> limits;
  std::ranges::transform(m_limited, std::back_inserter(limits), [](const ServerPtr& server) {
    return RateLimits::PermitAllocator::KnownLimit{server->Key(), server->Limit()->rate,
                                                   server->Entry().data_centre};
  });
  return limits;
}

bool LimitedServers::MaySend(const Server& server, Common::TimePoint now)
{
  const auto& limit = server.Limit();
  return !limit || m_permits.MaySend(server.Key(), limit->rate, now);
}

void LimitedServers::NoteSend(const Server& server, Common::TimePoint now)
{
  if (const auto& limit = server.Limit())
    m_permits.Take(server.Key(), limit->rate, now);
}

void LimitedServers::SetQueuePositions(const std::vector<RateLimits::PositionLine>& lines,
                                       Common::TimePoint now)
{
  for (const RateLimits::PositionLine& line : lines)
  {
    m_queue_positions[line.server] = {line.ahead, now};
    m_next_permits[line.server] = {now + Milliseconds(line.free_in_ms), now};
  }
}

Milliseconds LimitedServers::TimeToNextPermit(const Server& server, Common::TimePoint now) const
{
  const auto found = m_next_permits.find(server.Key());
  if (found != m_next_permits.end() && now - found->second.announced_at <= NEXT_PERMIT_LIFETIME)
    return std::max(std::chrono::ceil<Milliseconds>(found->second.at - now), Milliseconds(0));
  return std::chrono::ceil<Milliseconds>(Seconds(1 / RateLimits::SendRate(server.Limit()->rate)));
}

Milliseconds LimitedServers::ExpectedWait(const Server& server) const
{
  return WaitBehind(server, static_cast<int>(CountOf(m_local_waiting, server.Key())));
}

Milliseconds LimitedServers::WaitBehind(const Server& server, int own) const
{
  const auto& limit = server.Limit();
  if (!limit)
    return Milliseconds(0);
  const std::uint32_t total = CountOf(m_waiting, server.Key());
  const std::uint32_t local = CountOf(m_local_waiting, server.Key());
  std::uint32_t elsewhere = total > local ? total - local : 0;
  const auto position = m_queue_positions.find(server.Key());
  if (position != m_queue_positions.end() &&
      Common::Now() - position->second.announced_at <= QUEUE_POSITION_LIFETIME)
    elsewhere = position->second.count;
  const double ahead = static_cast<double>(elsewhere) + own;
  if (ahead == 0)
    return TimeToNextPermit(server, Common::Now());
  return std::chrono::ceil<Milliseconds>(Seconds((ahead + 1) / RateLimits::SendRate(limit->rate)));
}

Milliseconds LimitedServers::RetryDelay(const Server& server, Common::TimePoint now)
{
  const auto& limit = server.Limit();
  if (!limit)
    return Milliseconds(0);
  Common::TimePoint& next = m_next_retry[server.Key()];
  const auto after_others =
      next + std::chrono::ceil<Milliseconds>(Seconds(1 / RateLimits::SendRate(limit->rate)));
  next = std::min(std::max(now + ExpectedWait(server), after_others), now + MAX_RETRY_DELAY);
  return std::chrono::ceil<Milliseconds>(next - now);
}
} // namespace Gateway

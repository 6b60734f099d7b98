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
/// Minimum interval between two checks of which servers are still cold.
constexpr Milliseconds MIN_COLD_CHECK_INTERVAL{50};
/// The source of the limit of a cold server.
constexpr const char* COLD_START = "cold start";

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

void LimitedServers::SetColdRates(std::map<PoolId, RateLimits::RequestRate> rates)
{
  if (m_cold_rates == rates)
    return;
  m_cold_rates = std::move(rates);
  Refresh();
}

std::optional<RateLimits::RequestRate> LimitedServers::ColdRateOf(const Server& server,
                                                                  Common::TimePoint now) const
{
  const auto rate = m_cold_rates.find(server.Entry().pool);
  if (rate == m_cold_rates.end() || !server.Cold().IsCold(now))
    return std::nullopt;
  return rate->second;
}

std::optional<ServerLimit> LimitedServers::LimitOf(const Server& server,
                                                   Common::TimePoint now) const
{
  const auto announced = m_registry.CurrentLimit(server.Key());
  const auto cold = ColdRateOf(server, now);
  if (cold && (!announced || *cold < *announced))
    return ServerLimit{*cold, server.Cold().Since(), COLD_START, server.Cold().Until()};
  if (!announced)
    return std::nullopt;
  const auto source = m_learned_from.find(server.Key());
  return ServerLimit{*announced, *m_registry.LimitedSince(server.Key()),
                     source == m_learned_from.end() ? "" : source->second, std::nullopt};
}

void LimitedServers::Refresh()
{
  if (m_registry.Empty() && m_limited.empty() && m_cold_rates.empty())
    return;
  const auto now = Common::Now();
  ++m_revision;
  m_limited.clear();
  std::vector<ServerKey> keys;
  for (const auto& [instance, server] : m_servers.All())
  {
    server->SetLimit(LimitOf(*server, now));
    if (!server->Limit())
      continue;
    m_limited.push_back(server);
    keys.push_back(server->Key());
  }
  m_servers_revision = m_servers.Revision();
  m_permits.Retain(keys);
  const auto is_unlimited = [&](const auto& entry) {
    return std::ranges::find(keys, entry.first) == keys.end();
  };
  std::erase_if(m_next_retry, is_unlimited);
  std::erase_if(m_queue_positions, is_unlimited);
  std::erase_if(m_next_permits, is_unlimited);
  ScheduleColdCheck();
}

void LimitedServers::RefreshServer(const ServerPtr& server)
{
  if (m_registry.Empty() && m_limited.empty() && m_cold_rates.empty())
    return;
  if (std::exchange(m_servers_revision, m_servers.Revision()) != m_servers.Revision())
    RemoveUnlimited();
  const auto before = server->Limit();
  server->SetLimit(LimitOf(*server, Common::Now()));
  const auto& limit = server->Limit();
  const bool same_rate =
      before.has_value() == limit.has_value() && (!limit || before->rate == limit->rate);
  if (!same_rate)
    ++m_revision;
  if (!before && limit)
    m_limited.push_back(server);
  if (before && !limit)
    RemoveUnlimited();
  ScheduleColdCheck();
}

void LimitedServers::RemoveUnlimited()
{
  const auto removed = std::erase_if(m_limited, [this](const ServerPtr& server) {
    return !server->Limit() || m_servers.Find(server->Entry().instance) != server;
  });
  if (removed > 0)
    ++m_revision;
}

void LimitedServers::ScheduleColdCheck()
{
  if (m_cold_timer.Running())
    return;
  std::optional<Common::TimePoint> first_warm;
  for (const ServerPtr& server : m_limited)
    if (const auto& until = server->Limit()->cold_until)
      first_warm = std::min(first_warm.value_or(*until), *until);
  if (!first_warm)
    return;
  const auto wait = std::chrono::ceil<Milliseconds>(*first_warm - Common::Now());
  m_cold_timer.Start(std::max(wait, MIN_COLD_CHECK_INTERVAL), [this] {
    const auto now = Common::Now();
    const auto limited = m_limited;
    const std::uint64_t before = m_revision;
    for (const ServerPtr& server : limited)
    {
      const auto limit = LimitOf(*server, now);
      // A server that is warm again may still have a limit that it announced.
      if (limit && limit->rate != server->Limit()->rate)
        ++m_revision;
      server->SetLimit(limit);
    }
    RemoveUnlimited();
    ScheduleColdCheck();
    if (m_revision != before && m_on_change)
      m_on_change();
  });
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
  const auto wait = ahead == 0 ? TimeToNextPermit(server, Common::Now())
                               : std::chrono::ceil<Milliseconds>(
                                     Seconds((ahead + 1) / RateLimits::SendRate(limit->rate)));
  if (!limit->cold_until)
    return wait;
  // A warm server has no limit.
  const auto until_warm = std::chrono::ceil<Milliseconds>(*limit->cold_until - Common::Now());
  return std::clamp(wait, Milliseconds(0), std::max(until_warm, Milliseconds(0)));
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

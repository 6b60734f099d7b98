// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "RateLimits/LocalPermits.h"

#include <algorithm>
#include <utility>

namespace RateLimits
{
namespace
{
using Common::Milliseconds;
using Seconds = std::chrono::duration<double>;

/// The holder counts as unreachable after this time without a message; it sends to each daemon
/// twice in this time.
constexpr Milliseconds HOLDER_TIMEOUT{900};
/// For this long afterwards only the standbys of the last holder send. A lease that was not
/// released expires after about 3 s and is acquired within another second.
constexpr Milliseconds STANDBY_PERIOD{10000};
/// Maximum permits held for one server; more are never needed.
constexpr std::size_t MAX_PERMITS = 4096;
/// Maximum time for which the local bucket, whose capacity is one request, is refilled at once,
/// after the process was suspended.
constexpr Milliseconds MAX_FILL_TIME{1000};
} // namespace

void LocalPermits::Add(ServerKey server, std::uint32_t count, Common::TimePoint valid_until)
{
  ServerPermits& permits = m_servers[server];
  const auto room = MAX_PERMITS - std::min(MAX_PERMITS, permits.valid_until.size());
  const auto added = std::min<std::size_t>(count, room);
  permits.valid_until.insert(permits.valid_until.end(), added, valid_until);
  m_totals.granted += static_cast<std::int64_t>(added);
}

void LocalPermits::SetStandbys(std::span<const StandbyLine> lines)
{
  for (auto& [server, permits] : m_servers)
    permits.standby.reset();
  for (const StandbyLine& line : lines)
    m_servers[line.server].standby = line.rate;
}

void LocalPermits::DropExpired(ServerPermits& permits, Common::TimePoint now)
{
  const auto expired = std::erase_if(permits.valid_until, [now](Common::TimePoint until) {
    return until <= now;
  });
  permits.unused += static_cast<std::uint32_t>(expired);
  m_totals.unused += static_cast<std::int64_t>(expired);
}

double LocalPermits::LocalFillRate(const ServerPermits& permits, RequestRate rate,
                                   Common::TimePoint now) const
{
  if (m_last_contact_at && now - *m_last_contact_at <= HOLDER_TIMEOUT + STANDBY_PERIOD)
    return permits.standby ? PerSecond(*permits.standby) : 0;
  return SendRate(rate) * WITHOUT_HOLDER_SHARE / std::max(m_daemons, 1);
}

void LocalPermits::Fill(ServerPermits& permits, RequestRate rate, Common::TimePoint now) const
{
  if (m_last_contact_at && now - *m_last_contact_at <= HOLDER_TIMEOUT)
  {
    permits.tokens = 0;
    // Filling starts here if no later message of the holder arrives.
    permits.filled_at = *m_last_contact_at + HOLDER_TIMEOUT;
    return;
  }
  if (permits.filled_at == Common::TimePoint())
    permits.filled_at = now;
  const Seconds since =
      std::clamp<Seconds>(now - permits.filled_at, Seconds(0), Seconds(MAX_FILL_TIME));
  permits.filled_at = now;
  permits.tokens =
      std::min(permits.tokens + since.count() * LocalFillRate(permits, rate, now), 1.0);
}

bool LocalPermits::MaySend(ServerKey server, RequestRate rate, Common::TimePoint now)
{
  ServerPermits& permits = m_servers[server];
  DropExpired(permits, now);
  Fill(permits, rate, now);
  return !permits.valid_until.empty() || permits.tokens >= 1;
}

bool LocalPermits::Take(ServerKey server, RequestRate rate, Common::TimePoint now)
{
  if (!MaySend(server, rate, now))
    return false;
  ServerPermits& permits = m_servers[server];
  ++m_totals.used;
  if (permits.valid_until.empty())
  {
    permits.tokens -= 1;
    ++m_totals.without_holder;
    return true;
  }
  permits.valid_until.erase(std::ranges::min_element(permits.valid_until));
  return true;
}

std::uint32_t LocalPermits::TakeUnused(ServerKey server, Common::TimePoint now)
{
  const auto found = m_servers.find(server);
  if (found == m_servers.end())
    return 0;
  DropExpired(found->second, now);
  return std::exchange(found->second.unused, 0);
}

void LocalPermits::Retain(std::span<const ServerKey> servers)
{
  std::erase_if(m_servers, [&](const auto& entry) {
    return std::ranges::find(servers, entry.first) == servers.end();
  });
}
} // namespace RateLimits

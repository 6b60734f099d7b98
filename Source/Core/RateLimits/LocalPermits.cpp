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

/// The holder counts as unreachable after this silence; it sends to each daemon twice in this time.
constexpr Milliseconds HOLDER_SILENCE{900};
/// For this long afterwards only the standbys of the last holder send. A lease that was not
/// released expires after about 3 s and is acquired within another second.
constexpr Milliseconds STANDBY_FOR{10000};
/// Maximum permits held for one server; more are never needed.
constexpr std::size_t MAX_PERMITS = 4096;
/// Maximum time for which the local bucket, whose capacity is one request, is refilled at once,
/// after the process was suspended.
constexpr Milliseconds LONGEST_FILL{1000};
} // namespace

void LocalPermits::Add(ServerKey server, std::uint32_t count, Common::TimePoint valid_until)
{
  Local& local = m_locals[server];
  const auto room = MAX_PERMITS - std::min(MAX_PERMITS, local.valid_until.size());
  const auto added = std::min<std::size_t>(count, room);
  local.valid_until.insert(local.valid_until.end(), added, valid_until);
  m_totals.granted += static_cast<std::int64_t>(added);
}

void LocalPermits::SetStandbys(std::span<const StandbyLine> lines)
{
  for (auto& [server, local] : m_locals)
    local.standby.reset();
  for (const StandbyLine& line : lines)
    m_locals[line.server].standby = line.rate;
}

void LocalPermits::DropExpired(Local& local, Common::TimePoint now)
{
  const auto expired = std::erase_if(local.valid_until, [now](Common::TimePoint until) {
    return until <= now;
  });
  local.unused += static_cast<std::uint32_t>(expired);
  m_totals.unused += static_cast<std::int64_t>(expired);
}

double LocalPermits::OwnFlow(const Local& local, RequestRate rate, Common::TimePoint now) const
{
  if (m_heard_at && now - *m_heard_at <= HOLDER_SILENCE + STANDBY_FOR)
    return local.standby ? PerSecond(*local.standby) : 0;
  return FlowPerSecond(rate) * UNHEARD_SHARE / std::max(m_daemons, 1);
}

void LocalPermits::Fill(Local& local, RequestRate rate, Common::TimePoint now) const
{
  if (m_heard_at && now - *m_heard_at <= HOLDER_SILENCE)
  {
    local.own = 0;
    // Filling starts here if no later message of the holder arrives.
    local.filled_at = *m_heard_at + HOLDER_SILENCE;
    return;
  }
  if (local.filled_at == Common::TimePoint())
    local.filled_at = now;
  const Seconds since =
      std::clamp<Seconds>(now - local.filled_at, Seconds(0), Seconds(LONGEST_FILL));
  local.filled_at = now;
  local.own = std::min(local.own + since.count() * OwnFlow(local, rate, now), 1.0);
}

bool LocalPermits::MaySend(ServerKey server, RequestRate rate, Common::TimePoint now)
{
  Local& local = m_locals[server];
  DropExpired(local, now);
  Fill(local, rate, now);
  return !local.valid_until.empty() || local.own >= 1;
}

bool LocalPermits::Take(ServerKey server, RequestRate rate, Common::TimePoint now)
{
  if (!MaySend(server, rate, now))
    return false;
  Local& local = m_locals[server];
  ++m_totals.used;
  if (local.valid_until.empty())
  {
    local.own -= 1;
    ++m_totals.without_holder;
    return true;
  }
  local.valid_until.erase(std::ranges::min_element(local.valid_until));
  return true;
}

std::uint32_t LocalPermits::TakeUnused(ServerKey server, Common::TimePoint now)
{
  const auto found = m_locals.find(server);
  if (found == m_locals.end())
    return 0;
  DropExpired(found->second, now);
  return std::exchange(found->second.unused, 0);
}

void LocalPermits::Retain(std::span<const ServerKey> servers)
{
  std::erase_if(m_locals, [&](const auto& entry) {
    return std::ranges::find(servers, entry.first) == servers.end();
  });
}
} // namespace RateLimits

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "RateLimits/LocalPlaces.h"

#include <algorithm>
#include <functional>

namespace RateLimits
{
namespace
{
using Common::Milliseconds;

/// The holder counts as gone after this time without a reply; reports are repeated several times
/// meanwhile.
constexpr Milliseconds HOLDER_TIMEOUT{600};
/// Reports with demand follow each other at least this often while requests wait.
constexpr Milliseconds MAX_DEMAND_INTERVAL{300};
/// A place that is not used within this time after its grant is given back.
constexpr Milliseconds UNUSED_TIME{20};

/// Mixes the bits of a number (the finalizer of SplitMix64).
constexpr std::uint64_t Mix(std::uint64_t value)
{
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}
} // namespace

void LocalPlaces::Add(ServerKey server, std::uint32_t count, Common::TimePoint valid_until,
                      Common::TimePoint now)
{
  if (valid_until <= now)
    return;
  Places& places = m_servers[server];
  places.insert(places.end(), count, {valid_until, now});
}

void LocalPlaces::SetMembers(DaemonKey self, std::vector<DaemonKey> members)
{
  m_self = self;
  m_members = std::move(members);
  m_ranks.clear();
}

void LocalPlaces::NoteDemand(Common::TimePoint now)
{
  // A reply to demand that ended may have been lost, which shows nothing.
  const bool is_continued = now - m_demanded_at <= MAX_DEMAND_INTERVAL || IsWithoutHolder();
  if (!m_unanswered_since || !is_continued)
    m_unanswered_since = now;
  m_demanded_at = now;
}

bool LocalPlaces::IsWithoutHolder() const
{
  return m_unanswered_since && m_demanded_at - *m_unanswered_since >= HOLDER_TIMEOUT;
}

int LocalPlaces::CountFree(const Places& places, int running, Common::TimePoint now)
{
  const auto valid = static_cast<int>(std::ranges::count_if(places, [now](const Place& place) {
    return place.valid_until > now;
  }));
  const int ended = static_cast<int>(places.size()) - valid;
  return std::max(valid - std::max(running - ended, 0), 0);
}

std::pair<int, int> LocalPlaces::RankAt(ServerKey server) const
{
  const auto order_of = [server](DaemonKey daemon) {
    return Mix(static_cast<std::uint64_t>(server.Get()) ^ Mix(daemon));
  };
  if (std::ranges::find(m_members, m_self) == m_members.end())
  {
    const int daemons = std::max(m_daemons, 1);
    return {static_cast<int>(order_of(m_self) % static_cast<std::uint64_t>(daemons)), daemons};
  }
  const auto [rank, is_new] = m_ranks.try_emplace(server, 0);
  if (is_new)
    rank->second = static_cast<int>(std::ranges::count_if(m_members, [&](DaemonKey other) {
      return order_of(other) < order_of(m_self);
    }));
  return {rank->second, static_cast<int>(m_members.size())};
}

int LocalPlaces::Share(ServerKey server, int places) const
{
  const auto [rank, daemons] = RankAt(server);
  return places / daemons + (rank < places % daemons ? 1 : 0);
}

int LocalPlaces::MaxRequests(ServerKey server, int places, int running, Common::TimePoint now) const
{
  const auto found = m_servers.find(server);
  const int granted =
      running + (found == m_servers.end() ? 0 : CountFree(found->second, running, now));
  return IsWithoutHolder() ? std::max(granted, Share(server, places)) : granted;
}

std::uint32_t LocalPlaces::TakeHeld(ServerKey server, int running, Common::TimePoint now)
{
  const auto found = m_servers.find(server);
  const auto in_use = static_cast<std::uint32_t>(std::max(running, 0));
  if (found == m_servers.end())
    return in_use;
  Places& places = found->second;
  // Running requests use the oldest ones.
  std::ranges::sort(places, {}, &Place::granted_at);
  const auto is_new = [now](const Place& place) {
    return place.valid_until > now && now - place.granted_at < UNUSED_TIME;
  };
  const auto is_used = static_cast<std::size_t>(in_use);
  const auto first_unused =
      places.begin() + static_cast<Places::difference_type>(std::min(places.size(), is_used));
  places.erase(std::remove_if(first_unused, places.end(), std::not_fn(is_new)), places.end());
  const auto held = std::max(in_use, static_cast<std::uint32_t>(places.size()));
  if (places.empty())
    m_servers.erase(found);
  return held;
}

bool LocalPlaces::HasUnusedGrant(ServerKey server, int running, Common::TimePoint now) const
{
  const auto found = m_servers.find(server);
  return found != m_servers.end() && CountFree(found->second, running, now) > 0;
}

void LocalPlaces::Clear()
{
  m_servers.clear();
  m_ranks.clear();
  m_unanswered_since.reset();
}
} // namespace RateLimits

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Decisions/PlaceShares.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <unordered_map>

namespace Decisions
{
namespace
{
/// Penalty for a server in another data centre, in requests. Below one request, so that the servers
/// of a data centre with many callers do not queue requests while those of another have free slots.
constexpr double REMOTE_PENALTY = 0.5;
/// Servers whose speeds differ less than this from the average count as equal, since response times
/// contain the waits in the servers' queues. A wider range hides servers at half of the speed from
/// daemons that see few of their responses.
constexpr double SPEED_TOLERANCE = 1.25;

/// Lag of a server behind the rotation, in requests at average speed. A server that could not be
/// used for a while must not get all requests of all daemons when it returns.
constexpr double LONGEST_LAG = 1;

bool HasRoom(const ShareCandidate& candidate)
{
  return candidate.own_running < candidate.limit;
}

std::size_t SlotsOf(const ShareCandidate& candidate)
{
  return static_cast<std::size_t>(std::max(candidate.places, 1));
}

bool IsSlow(const ShareCandidate& candidate)
{
  return candidate.speed * SPEED_TOLERANCE < 1;
}

/// Advance of a server in the rotation for each request. With the square of the speed, a server at
/// half speed gets a quarter of the requests: at less than full load, the faster ones have room.
double TurnCost(const ShareCandidate& candidate)
{
  const bool is_average = !IsSlow(candidate) && candidate.speed < SPEED_TOLERANCE;
  return is_average ? 1 : 1 / (candidate.speed * candidate.speed);
}
} // namespace

void PlaceShares::SetDaemons(std::size_t rank, std::size_t daemons)
{
  daemons = std::max<std::size_t>(daemons, 1);
  rank %= daemons;
  m_is_current = m_is_current && rank == m_rank && daemons == m_daemons;
  m_daemons = daemons;
  m_rank = rank;
}

bool PlaceShares::IsSameList(const std::vector<ShareCandidate>& candidates) const
{
  return std::ranges::equal(
      candidates, m_servers, [](const ShareCandidate& candidate, const KnownServer& known) {
        return SlotsOf(candidate) == known.slots && candidate.server == known.server;
      });
}

void PlaceShares::Rebuild(const std::vector<ShareCandidate>& candidates)
{
  std::unordered_map<Common::VmId, double> turns;
  for (const KnownServer& known : m_servers)
    turns[known.server] = known.turn;
  m_servers.clear();
  for (const ShareCandidate& candidate : candidates)
    m_servers.push_back({candidate.server, SlotsOf(candidate), 0, 0});
  m_is_current = true;
  std::vector<std::size_t> order(m_servers.size());
  std::iota(order.begin(), order.end(), 0);
  std::ranges::sort(order, {}, [&](std::size_t index) -> const Common::VmId& {
    return m_servers[index].server;
  });
  const std::size_t total = std::accumulate(m_servers.begin(), m_servers.end(), std::size_t{0},
                                            [](std::size_t sum, const KnownServer& known) {
                                              return sum + known.slots;
                                            });
  const std::size_t first = m_rank * total / m_daemons;
  const std::size_t last = std::max((m_rank + 1) * total / m_daemons, first + 1);
  // Each daemon starts the rotation behind its own share. Daemons that start at the same time would
  // otherwise send the same server their first requests beyond the share.
  for (std::size_t i = 0; i < order.size(); ++i)
  {
    KnownServer& known = m_servers[order[i]];
    const auto turn = turns.find(known.server);
    const std::size_t distance = (i + order.size() - last % order.size()) % order.size();
    known.turn = turn != turns.end()
                     ? turn->second
                     : m_turn - LONGEST_LAG +
                           static_cast<double>(distance) / static_cast<double>(order.size());
  }
  // Each layer of slots starts at another server. Otherwise the same daemons would share several
  // servers, and the slots with one owner more than others would be at few servers.
  const std::size_t layers =
      m_servers.empty() ? 0 : std::ranges::max(m_servers, {}, &KnownServer::slots).slots;
  std::size_t position = 0;
  for (std::size_t layer = 0; layer < layers && position < last; ++layer)
    for (std::size_t i = 0; i < order.size(); ++i)
    {
      const std::size_t shift = layer * order.size() / (2 * layers);
      KnownServer& known = m_servers[order[(i + shift) % order.size()]];
      if (layer >= known.slots)
        continue;
      if (position >= first && position < last)
        ++known.own_slots;
      ++position;
    }
}

std::int64_t PlaceShares::OwnSlotsAt(const Common::VmId& server) const
{
  const auto found = std::ranges::find(m_servers, server, &KnownServer::server);
  return found == m_servers.end() ? 0 : found->own_slots;
}

double PlaceShares::TurnOf(const KnownServer& known) const
{
  return std::max(known.turn, m_turn - LONGEST_LAG);
}

std::optional<std::size_t> PlaceShares::Choose(const std::vector<ShareCandidate>& candidates,
                                               Common::TimePoint)
{
  if (!m_is_current || !IsSameList(candidates))
    Rebuild(candidates);
  // The lowest is chosen: free own slots, then the fewest requests beyond the own slots, then the
  // next in the rotation. An own slot at a slow server has no priority, because a request there
  // takes longer than a wait at a faster server.
  using Preference = std::tuple<bool, double, double, double>;
  const auto preference_of = [&](std::size_t index) -> Preference {
    const ShareCandidate& candidate = candidates[index];
    const KnownServer& known = m_servers[index];
    const double remote = candidate.local ? 0 : REMOTE_PENALTY;
    if (candidate.own_running < known.own_slots && !IsSlow(candidate))
      return {false, remote, known.turn, 0};
    const auto excess =
        static_cast<double>(std::max<std::int64_t>(candidate.own_running - known.own_slots + 1, 1));
    return {true, (excess + remote) / static_cast<double>(known.slots), TurnOf(known), known.turn};
  };
  std::optional<std::size_t> best;
  Preference best_preference;
  for (std::size_t index = 0; index < candidates.size(); ++index)
  {
    if (!HasRoom(candidates[index]))
      continue;
    const Preference preference = preference_of(index);
    if (best && best_preference <= preference)
      continue;
    best = index;
    best_preference = preference;
  }
  if (!best)
    return std::nullopt;
  KnownServer& chosen = m_servers[*best];
  m_used_own_slot = candidates[*best].own_running < chosen.own_slots;
  const double turn = TurnOf(chosen);
  if (!m_used_own_slot)
    m_turn = std::max(m_turn, turn);
  chosen.turn = turn + TurnCost(candidates[*best]);
  return best;
}
} // namespace Decisions

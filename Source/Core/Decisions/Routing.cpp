// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Decisions/Routing.h"

#include <algorithm>

#include "Decisions/Rendezvous.h"

namespace Decisions
{
namespace
{
/// The preferred replica is used if its load is at most AFFINITY_SLACK times the lowest load plus
/// AFFINITY_EXTRA.
constexpr double AFFINITY_SLACK = 1.25;
constexpr double AFFINITY_EXTRA = 4;
/// Penalty for a replica in another data centre, in running requests.
constexpr double REMOTE_PENALTY = 2;

bool HasRoom(const RouteCandidate& candidate)
{
  return candidate.own_running < candidate.limit;
}

double Load(const RouteCandidate& candidate)
{
  const auto known = std::max(candidate.reported_running, candidate.own_running);
  return static_cast<double>(known) + (candidate.local ? 0 : REMOTE_PENALTY);
}
} // namespace

std::optional<std::size_t> AffinityRouting::Choose(const std::vector<RouteCandidate>& candidates,
                                                   std::string_view affinity,
                                                   Common::Random& random) const
{
  std::vector<std::size_t> open;
  for (std::size_t index = 0; index < candidates.size(); ++index)
    if (HasRoom(candidates[index]))
      open.push_back(index);
  if (open.empty())
    return std::nullopt;
  // Equal loads are common; the random start keeps all daemons from choosing the same replica.
  std::ranges::rotate(open, open.begin() + static_cast<std::ptrdiff_t>(random() % open.size()));
  const auto load_of = [&](std::size_t index) {
    return Load(candidates[index]);
  };
  const std::size_t least = *std::ranges::min_element(open, {}, load_of);
  if (affinity.empty())
    return least;
  const std::size_t preferred = *std::ranges::max_element(open, {}, [&](std::size_t index) {
    return RendezvousWeight(affinity, candidates[index].server.Get());
  });
  const double bound = load_of(least) * AFFINITY_SLACK + AFFINITY_EXTRA;
  return load_of(preferred) <= bound ? preferred : least;
}

std::optional<std::size_t> RoundRobinRouting::Choose(const std::vector<RouteCandidate>& candidates,
                                                     std::string_view, Common::Random&)
{
  for (std::size_t step = 0; step < candidates.size(); ++step)
  {
    const std::size_t index = (m_next + step) % candidates.size();
    if (!HasRoom(candidates[index]))
      continue;
    m_next = index + 1;
    return index;
  }
  return std::nullopt;
}
} // namespace Decisions

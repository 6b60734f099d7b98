// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Decisions/PlaceShares.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace Decisions
{
namespace
{
/// Penalty for a server in another data centre, in requests, as in AffinityRouting.
constexpr double REMOTE_PENALTY = 2;

bool HasRoom(const ShareCandidate& candidate)
{
  return candidate.own_running < candidate.limit;
}

std::size_t Slots(const ShareCandidate& candidate)
{
  return static_cast<std::size_t>(std::max(candidate.places, 1));
}
} // namespace

void PlaceShares::SetDaemons(std::size_t rank, std::size_t daemons)
{
  m_daemons = std::max<std::size_t>(daemons, 1);
  m_rank = rank % m_daemons;
}

std::vector<std::int64_t> PlaceShares::OwnSlots(const std::vector<ShareCandidate>& candidates) const
{
  std::vector<std::size_t> order(candidates.size());
  std::iota(order.begin(), order.end(), 0);
  std::ranges::sort(order, {}, [&](std::size_t index) -> const Common::VmId& {
    return candidates[index].server;
  });
  const std::size_t total = std::accumulate(candidates.begin(), candidates.end(), std::size_t{0},
                                            [](std::size_t sum, const ShareCandidate& candidate) {
                                              return sum + Slots(candidate);
                                            });
  const std::size_t first = m_rank * total / m_daemons;
  const std::size_t last = std::max((m_rank + 1) * total / m_daemons, first + 1);
  std::vector<std::int64_t> own(candidates.size(), 0);
  std::size_t position = 0;
  for (std::size_t layer = 0; position < std::min(last, total); ++layer)
    for (const std::size_t index : order)
    {
      if (layer >= Slots(candidates[index]))
        continue;
      if (position >= first && position < last)
        ++own[index];
      ++position;
    }
  return own;
}

std::uint64_t PlaceShares::LastUse(const Common::VmId& server) const
{
  const auto found = m_last_use.find(server);
  return found == m_last_use.end() ? 0 : found->second;
}

std::optional<std::size_t> PlaceShares::Choose(const std::vector<ShareCandidate>& candidates,
                                               Common::TimePoint)
{
  const std::vector<std::int64_t> own = OwnSlots(candidates);
  // Smaller is better: own slots before the overflow, then the expected time, then the least
  // recently used.
  using Rank = std::tuple<bool, double, std::uint64_t>;
  const auto rank_of = [&](std::size_t index) -> Rank {
    const ShareCandidate& candidate = candidates[index];
    const bool is_overflow = candidate.own_running >= own[index];
    const auto excess =
        static_cast<double>(std::max<std::int64_t>(candidate.own_running - own[index] + 1, 0));
    const double waiting = excess / static_cast<double>(Slots(candidate));
    const double cost = (1 + waiting + (candidate.local ? 0 : REMOTE_PENALTY)) / candidate.speed;
    return {is_overflow, is_overflow ? cost : (candidate.local ? 0 : 1), LastUse(candidate.server)};
  };
  std::optional<std::size_t> best;
  Rank best_rank;
  for (std::size_t index = 0; index < candidates.size(); ++index)
  {
    if (!HasRoom(candidates[index]))
      continue;
    const Rank rank = rank_of(index);
    if (best && best_rank <= rank)
      continue;
    best = index;
    best_rank = rank;
  }
  if (best)
    m_last_use[candidates[*best].server] = ++m_choices;
  return best;
}
} // namespace Decisions

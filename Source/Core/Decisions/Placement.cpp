// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Decisions/Placement.h"

#include <algorithm>
#include <iterator>
#include <limits>

#include "Decisions/Eviction.h"

namespace Decisions
{
namespace
{
using Common::MegaBytes;

struct EvictionPlan
{
  std::vector<Common::ClaimId> claims;
  double loss = 0;
};

/// Returns nullopt if evicting all evictable replicas does not free enough memory.
std::optional<EvictionPlan> PlanEviction(const PlacementCandidate& candidate, MegaBytes memory)
{
  std::vector<EvictionItem> items;
  std::ranges::transform(candidate.evictable, std::back_inserter(items), [](const auto& item) {
    return EvictionItem{static_cast<double>(item.memory.Get()), item.loss};
  });
  const auto chosen = ChooseEvictions(items, static_cast<double>(candidate.free.Get()),
                                      static_cast<double>(memory.Get()));
  if (!chosen)
    return std::nullopt;
  EvictionPlan plan;
  for (const std::size_t index : *chosen)
  {
    plan.claims.push_back(candidate.evictable[index].claim);
    plan.loss += candidate.evictable[index].loss;
  }
  return plan;
}
} // namespace

double CacheAwarePlacement::LoadTime(CacheLevel level) const
{
  switch (level)
  {
  case CacheLevel::Memory:
    return m_costs.memory_ms;
  case CacheLevel::Disk:
    return m_costs.disk_ms;
  case CacheLevel::Remote:
    return m_costs.remote_ms;
  }
  return m_costs.remote_ms;
}

std::optional<Placement>
CacheAwarePlacement::Choose(const std::vector<PlacementCandidate>& candidates,
                            MegaBytes memory) const
{
  std::optional<Placement> best;
  double best_cost = std::numeric_limits<double>::max();
  for (const PlacementCandidate& candidate : candidates)
  {
    const auto plan = PlanEviction(candidate, memory);
    if (!plan)
      continue;
    double load = LoadTime(candidate.cache);
    if (candidate.base_cache)
      load += LoadTime(*candidate.base_cache);
    const double cost = load + plan->loss + (candidate.local ? 0 : m_costs.other_data_centre_ms) +
                        m_costs.per_running_ms * static_cast<double>(candidate.running) +
                        m_costs.per_replica_ms * static_cast<double>(candidate.replicas);
    if (cost >= best_cost)
      continue;
    best_cost = cost;
    best = Placement{candidate.server, plan->claims,
                     "load_ms=" + std::to_string(static_cast<int>(load)) +
                         " eviction_loss_ms=" + std::to_string(static_cast<int>(plan->loss)) +
                         " cost_ms=" + std::to_string(static_cast<int>(cost))};
  }
  return best;
}

std::optional<Placement>
FirstFitPlacement::Choose(const std::vector<PlacementCandidate>& candidates, MegaBytes memory) const
{
  const auto fitting = std::ranges::find_if(candidates, [memory](const PlacementCandidate& item) {
    return item.free >= memory;
  });
  if (fitting != candidates.end())
    return Placement{fitting->server, {}, "first with free memory"};
  for (PlacementCandidate candidate : candidates)
  {
    for (Evictable& item : candidate.evictable)
      item.loss = -static_cast<double>(item.idle.count() * item.memory.Get());
    if (const auto plan = PlanEviction(candidate, memory))
      return Placement{candidate.server, plan->claims,
                       "first where evicting the longest idle frees enough memory"};
  }
  return std::nullopt;
}
} // namespace Decisions

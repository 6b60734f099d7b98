// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Units.h"

namespace Decisions
{
/// Where a checkpoint lies, from best to worst.
enum class CacheLevel
{
  Memory,
  Disk,
  Remote,
};

/// A replica that a placement may evict.
struct Evictable
{
  Common::ClaimId claim;
  Common::ArtifactId artifact;
  Common::MegaBytes memory;
  Common::Milliseconds idle{0};
  /// The expected cost of losing it: its load time, weighted by how soon it is wanted again.
  double loss = 0;
};

struct PlacementCandidate
{
  Common::VmId server;
  bool local = true; ///< In the data centre of the demand.
  Common::MegaBytes free;
  CacheLevel cache = CacheLevel::Remote;
  /// For an adapter whose base is not there: where the base's checkpoint lies.
  std::optional<CacheLevel> base_cache;
  std::int64_t replicas = 0; ///< Claimed on it already.
  std::int64_t running = 0;
  std::vector<Evictable> evictable;
};

struct Placement
{
  Common::VmId server;
  std::vector<Common::ClaimId> evict;
  std::string why;
};

/// Chooses the backend server for one artifact; nothing where it fits nowhere.
template <typename T>
concept PlacementPolicy = requires(const T policy, std::vector<PlacementCandidate> candidates,
                                   Common::MegaBytes memory)
{
  {
    policy.Choose(candidates, memory)
    } -> std::same_as<std::optional<Placement>>;
};

/// Load time by cache level first, then the loss by eviction, then the spread.
class CacheAwarePlacement
{
public:
  struct Costs
  {
    double memory_ms = 50;
    double disk_ms = 200;
    double remote_ms = 600;
    double other_data_centre_ms = 100;
    double per_running_ms = 5;
    double per_replica_ms = 10;
  };

  CacheAwarePlacement() = default;
  explicit CacheAwarePlacement(Costs costs) : m_costs(costs) {}

  std::optional<Placement> Choose(const std::vector<PlacementCandidate>& candidates,
                                  Common::MegaBytes memory) const;

private:
  double LoadTime(CacheLevel level) const;

  Costs m_costs;
};

/// The baseline: the first server with room, evicting the longest idle where none has.
class FirstFitPlacement
{
public:
  std::optional<Placement> Choose(const std::vector<PlacementCandidate>& candidates,
                                  Common::MegaBytes memory) const;
};

static_assert(PlacementPolicy<CacheAwarePlacement>);
static_assert(PlacementPolicy<FirstFitPlacement>);
} // namespace Decisions

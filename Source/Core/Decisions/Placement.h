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
/// Where a checkpoint is stored, from fastest to slowest to load.
enum class CacheLevel
{
  Memory,
  Disk,
  Remote,
};

/// A replica that may be evicted to make room.
struct Evictable
{
  Common::ClaimId claim;
  Common::ArtifactId artifact;
  Common::MegaBytes memory;
  Common::Milliseconds idle{0};
  /// Expected cost of evicting it: its load time, weighted by how soon it will be needed again.
  double loss = 0;
};

struct PlacementCandidate
{
  Common::VmId server;
  bool local = true; ///< In the same data centre as the demand.
  Common::MegaBytes free;
  CacheLevel cache = CacheLevel::Remote;
  /// For an adapter whose base model is not loaded: where the checkpoint of the base is stored.
  std::optional<CacheLevel> base_cache;
  std::int64_t replicas = 0; ///< Replicas already claimed on this server.
  std::int64_t running = 0;
  std::vector<Evictable> evictable;
};

struct Placement
{
  Common::VmId server;
  std::vector<Common::ClaimId> evict;
  std::string reason;
};

/// Chooses the backend server for one artifact; nullopt if it fits on none.
template <typename T>
concept PlacementPolicy = requires(const T policy, std::vector<PlacementCandidate> candidates,
                                   Common::MegaBytes memory)
{
  {
    policy.Choose(candidates, memory)
    } -> std::same_as<std::optional<Placement>>;
};

/// Minimizes the sum of the load time by cache level, the loss from evictions, a penalty for
/// another data centre and penalties for running requests and replicas already on the server.
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

/// Baseline policy: the first server with enough free memory, else the first on which evictions
/// make room, evicting the longest idle replicas first.
class FirstFitPlacement
{
public:
  std::optional<Placement> Choose(const std::vector<PlacementCandidate>& candidates,
                                  Common::MegaBytes memory) const;
};

static_assert(PlacementPolicy<CacheAwarePlacement>);
static_assert(PlacementPolicy<FirstFitPlacement>);
} // namespace Decisions

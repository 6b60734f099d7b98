// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "Common/Random.h"
#include "Common/Units.h"

namespace Decisions
{
/// A backend server that has the artifact loaded and accepts requests.
struct RouteCandidate
{
  Common::VmId server;
  bool local = true;
  std::int64_t reported_running = 0; ///< From the server's last report; may be outdated.
  std::int64_t own_running = 0;      ///< Running requests of this daemon; exact.
  std::int64_t limit = 0;            ///< Maximum concurrent requests of this daemon.
};

/// Chooses one of the candidates; nullopt if all are at their limit.
template <typename T>
concept RoutingPolicy = requires(T policy, std::vector<RouteCandidate> candidates,
                                 std::string_view affinity, Common::Random random)
{
  {
    policy.Choose(candidates, affinity, random)
    } -> std::same_as<std::optional<std::size_t>>;
};

/// Prefers the replica that rendezvous hashing selects for the prompt prefix, since its prefix
/// cache may contain it, unless that replica is much busier than the least busy one. Server
/// reports may be outdated, so the load is the larger of the reported requests and of this daemon's
/// own requests.
class AffinityRouting
{
public:
  std::optional<std::size_t> Choose(const std::vector<RouteCandidate>& candidates,
                                    std::string_view affinity, Common::Random& random) const;
};

/// Baseline policy: round robin over the candidates below their limit.
class RoundRobinRouting
{
public:
  std::optional<std::size_t> Choose(const std::vector<RouteCandidate>& candidates,
                                    std::string_view affinity, Common::Random& random);

private:
  std::size_t m_next = 0;
};

static_assert(RoutingPolicy<AffinityRouting>);
static_assert(RoutingPolicy<RoundRobinRouting>);
} // namespace Decisions

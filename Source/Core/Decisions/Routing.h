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
/// A backend server that has the artifact loaded and takes work.
struct RouteCandidate
{
  Common::VmId server;
  bool local = true;
  std::int64_t reported_running = 0; ///< By the engine, some time ago.
  std::int64_t own_running = 0;      ///< This daemon's own requests there, exact.
  std::int64_t limit = 0;            ///< Requests at once that this daemon may have there.
};

/// Chooses among the candidates; nothing where all are full.
template <typename T>
concept RoutingPolicy = requires(T policy, std::vector<RouteCandidate> candidates,
                                 std::string_view affinity, Common::Random random)
{
  {
    policy.Choose(candidates, affinity, random)
    } -> std::same_as<std::optional<std::size_t>>;
};

/// Prefers the replica that rendezvous hashing of the prompt's beginning points to, since its
/// prefix cache may hold it, while that replica is not much busier than the least busy one. The
/// report lags, so the daemon's own requests count in full beside it.
class AffinityRouting
{
public:
  std::optional<std::size_t> Choose(const std::vector<RouteCandidate>& candidates,
                                    std::string_view affinity, Common::Random& random) const;
};

/// The baseline.
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

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <vector>

#include "Common/Units.h"

namespace Decisions
{
/// A load that is queued for the weight store.
struct WaitingLoad
{
  Common::ClaimId claim;
  Common::TimePoint requested_at;
  Common::TimePoint deadline;
  std::int64_t weight = 1;
  std::int64_t waiting = 1; ///< Requests waiting for this load.
};

/// Chooses the load that the weight store serves next; nullopt if there is none.
template <typename T>
concept LoadOrderPolicy = requires(const T policy, std::vector<WaitingLoad> loads,
                                   Common::TimePoint now)
{
  {
    policy.Next(loads, now)
    } -> std::same_as<std::optional<std::size_t>>;
};

/// Picks the load with the highest (weight * waiting requests) / time left until its deadline.
class UrgencyOrder
{
public:
  std::optional<std::size_t> Next(const std::vector<WaitingLoad>& loads,
                                  Common::TimePoint now) const;
};

/// Baseline policy: first come, first served.
class FifoOrder
{
public:
  std::optional<std::size_t> Next(const std::vector<WaitingLoad>& loads,
                                  Common::TimePoint now) const;
};

static_assert(LoadOrderPolicy<UrgencyOrder>);
static_assert(LoadOrderPolicy<FifoOrder>);
} // namespace Decisions

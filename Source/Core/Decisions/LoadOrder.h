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
/// A load that waits for its turn at the weight store.
struct WaitingLoad
{
  Common::ClaimId claim;
  Common::TimePoint asked;
  Common::TimePoint deadline;
  std::int64_t weight = 1;
  std::int64_t waiting = 1; ///< Requests that wait for it.
};

/// Chooses which load the weight store serves next; nothing where none waits.
template <typename T>
concept LoadOrderPolicy = requires(const T policy, std::vector<WaitingLoad> loads,
                                   Common::TimePoint now)
{
  {
    policy.Next(loads, now)
    } -> std::same_as<std::optional<std::size_t>>;
};

/// Waiting demand and weight over the time that is left: what is urgent and wanted by many first.
class UrgencyOrder
{
public:
  std::optional<std::size_t> Next(const std::vector<WaitingLoad>& loads,
                                  Common::TimePoint now) const;
};

/// The baseline: first come, first served.
class FifoOrder
{
public:
  std::optional<std::size_t> Next(const std::vector<WaitingLoad>& loads,
                                  Common::TimePoint now) const;
};

static_assert(LoadOrderPolicy<UrgencyOrder>);
static_assert(LoadOrderPolicy<FifoOrder>);
} // namespace Decisions

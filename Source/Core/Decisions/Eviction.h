// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

/// What to give up together, so that something else has room.
namespace Decisions
{
/// One thing that may be given up.
struct EvictionItem
{
  double memory_mb = 0;
  double loss = 0; ///< What giving it up costs, in any one unit.
};

/// The positions of the items to give up until `needed_mb` fit beside `free_mb`: those with the
/// least loss for their memory, without those that turn out not to be needed. Of equals the earlier
/// goes first. Nothing where all of them together do not make room.
std::optional<std::vector<std::size_t>> ChooseEvictions(std::span<const EvictionItem> items,
                                                        double free_mb, double needed_mb);
} // namespace Decisions

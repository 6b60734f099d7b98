// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

/// Chooses a set of items to evict in order to free a given amount of memory.
namespace Decisions
{
/// An item that may be evicted.
struct EvictionItem
{
  double memory_mb = 0;
  double loss = 0; ///< Cost of evicting it; any unit, the same for all items.
};

/// Returns the indices of the items to evict so that at least `needed_mb` are free, starting from
/// `free_mb`. Items with the lowest loss per megabyte are chosen first, and chosen items that turn
/// out not to be needed are dropped again. Ties go to the earlier item. Returns nullopt if evicting
/// all items does not free enough memory.
std::optional<std::vector<std::size_t>> ChooseEvictions(std::span<const EvictionItem> items,
                                                        double free_mb, double needed_mb);
} // namespace Decisions

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Decisions/Eviction.h"

#include <algorithm>
#include <numeric>

namespace Decisions
{
std::optional<std::vector<std::size_t>> ChooseEvictions(std::span<const EvictionItem> items,
                                                        double free_mb, double needed_mb)
{
  std::vector<std::size_t> order(items.size());
  std::iota(order.begin(), order.end(), std::size_t(0));
  std::ranges::stable_sort(order, {}, [&](std::size_t index) {
    return items[index].loss / std::max(items[index].memory_mb, 1.0);
  });
  std::vector<std::size_t> chosen;
  for (const std::size_t index : order)
  {
    if (free_mb >= needed_mb)
      break;
    free_mb += items[index].memory_mb;
    chosen.push_back(index);
  }
  if (free_mb < needed_mb)
    return std::nullopt;
  std::erase_if(chosen, [&](std::size_t index) {
    if (free_mb - items[index].memory_mb < needed_mb)
      return false;
    free_mb -= items[index].memory_mb;
    return true;
  });
  return chosen;
}
} // namespace Decisions

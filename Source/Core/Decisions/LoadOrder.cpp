// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Decisions/LoadOrder.h"

#include <algorithm>

namespace Decisions
{
namespace
{
using Common::TimePoint;

double Urgency(const WaitingLoad& load, TimePoint now)
{
  const double left_ms = std::chrono::duration<double, std::milli>(load.deadline - now).count();
  const double demand = static_cast<double>(std::max<std::int64_t>(1, load.weight)) *
                        static_cast<double>(std::max<std::int64_t>(1, load.waiting));
  return demand / std::max(1.0, left_ms);
}
} // namespace

std::optional<std::size_t> UrgencyOrder::Next(const std::vector<WaitingLoad>& loads,
                                              TimePoint now) const
{
  if (loads.empty())
    return std::nullopt;
  const auto best = std::ranges::max_element(loads, {}, [now](const WaitingLoad& load) {
    return Urgency(load, now);
  });
  return static_cast<std::size_t>(best - loads.begin());
}

std::optional<std::size_t> FifoOrder::Next(const std::vector<WaitingLoad>& loads, TimePoint) const
{
  if (loads.empty())
    return std::nullopt;
  const auto first = std::ranges::min_element(loads, {}, &WaitingLoad::requested_at);
  return static_cast<std::size_t>(first - loads.begin());
}
} // namespace Decisions

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

#include "Common/Json.h"

namespace LoadTool
{
/// Durations in milliseconds and their percentiles.
class Samples
{
public:
  void Add(double value) { m_values.push_back(value); }
  std::size_t Size() const { return m_values.size(); }

  /// Returns the sample at the rank closest to `share` (0 to 1) of the sorted samples, or 0 if
  /// there are none.
  double Percentile(double share) const
  {
    if (m_values.empty())
      return 0;
    std::vector<double> sorted = m_values;
    std::ranges::sort(sorted);
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(std::lround(share * last))];
  }

  Common::Json Summary() const
  {
    const auto rounded = [this](double share) {
      return std::round(Percentile(share) * 100) / 100;
    };
    return {{"count", Size()},
            {"p50_ms", rounded(0.5)},
            {"p95_ms", rounded(0.95)},
            {"p99_ms", rounded(0.99)}};
  }

private:
  std::vector<double> m_values;
};
} // namespace LoadTool

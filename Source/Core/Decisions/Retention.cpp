// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Decisions/Retention.h"

#include <algorithm>

namespace Decisions
{
namespace
{
/// Minimum number of requests for a meaningful mean gap between the artifact's requests.
constexpr std::int64_t MIN_REQUESTS_FOR_GAP = 3;
/// A gap of this many times the mean gap indicates that the artifact is no longer in use.
constexpr double UNUSED_AFTER_MEAN_GAPS = 8;
} // namespace

bool CostRetention::ShouldUnload(const ArtifactUse& use) const
{
  const double break_even = m_exchange_rate * static_cast<double>(use.load_time.count()) *
                            static_cast<double>(std::max<std::int64_t>(1, use.weight));
  const auto idle = static_cast<double>(use.idle.count());
  if (idle >= break_even)
    return true;
  if (use.served < MIN_REQUESTS_FOR_GAP)
    return false;
  const double active = static_cast<double>((use.loaded_for - use.idle).count());
  const double mean_gap = std::max(1.0, active / static_cast<double>(use.served));
  return idle >= std::max(UNUSED_AFTER_MEAN_GAPS * mean_gap, break_even / 2);
}

bool FixedKeepAlive::ShouldUnload(const ArtifactUse& use) const
{
  return use.idle >= m_keep_alive;
}
} // namespace Decisions

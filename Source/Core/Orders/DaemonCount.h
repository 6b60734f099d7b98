// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <algorithm>
#include <optional>

#include "Common/Loop.h"
#include "Common/Units.h"

namespace Orders
{
/// Number of daemons, as announced by the lease holders. A new holder has received reports from
/// only a few daemons, and at times there is no holder at all, although all daemons keep running.
/// The number therefore rises at once and falls only if no higher number was announced for
/// `HOLD_TIME`.
class DaemonCount
{
public:
  /// Assumed until the announced number has settled: the size that the system is designed for, so
  /// that the first daemons to start stay within their share of limits that apply to all daemons
  /// together.
  static constexpr int INITIAL_DAEMONS = 330;
  /// Time within which a holder receives a report from every daemon: several times the longest
  /// report interval.
  static constexpr Common::Milliseconds SETTLE_TIME{2000};
  /// How long a higher number is kept: several times the window of the retry budget, and longer
  /// than the usual gap between two holders.
  static constexpr Common::Milliseconds HOLD_TIME{60000};

  void Update(int daemons, Common::TimePoint now)
  {
    if (!m_first_announced_at)
      m_first_announced_at = now;
    if (daemons < m_daemons && now - m_count_announced_at < HOLD_TIME)
      return;
    m_daemons = daemons;
    m_count_announced_at = now;
  }

  /// The best current estimate.
  int Get() const { return m_daemons; }

  /// The divisor for limits that all daemons share. An estimate that is too high is safe.
  int ForSharedLimits(Common::TimePoint now) const
  {
    const bool settled = m_first_announced_at && now - *m_first_announced_at >= SETTLE_TIME;
    return settled ? m_daemons : std::max(m_daemons, INITIAL_DAEMONS);
  }

private:
  int m_daemons = 1;
  Common::TimePoint m_count_announced_at; ///< When this number was last announced.
  std::optional<Common::TimePoint> m_first_announced_at;
};
} // namespace Orders

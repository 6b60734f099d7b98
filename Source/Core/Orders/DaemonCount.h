// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <algorithm>
#include <optional>

#include "Common/Loop.h"
#include "Common/Units.h"

namespace Orders
{
/// How many daemons there are, as the holders of the lease tell. A new holder has heard of few, and
/// at times no holder is heard at all, while all daemons go on. So the number rises at once and
/// falls only when nothing higher was told for long.
class DaemonCount
{
public:
  /// Until the first words are trusted: the size that the system is designed for, so that the first
  /// daemons to start spend no more than their part of what is bounded for all together.
  static constexpr int BEFORE_ANY_WORD = 330;
  /// A holder hears of every daemon within so long: several of their longest report intervals.
  static constexpr Common::Milliseconds SETTLING{2000};
  /// Several times the window of the retry budget, and longer than a holder is usually missed.
  static constexpr Common::Milliseconds MEMORY{60000};

  void Tell(int daemons, Common::TimePoint now)
  {
    if (!m_first_word)
      m_first_word = now;
    if (daemons < m_daemons && now - m_told_at < MEMORY)
      return;
    m_daemons = daemons;
    m_told_at = now;
  }

  /// The best guess.
  int Get() const { return m_daemons; }

  /// For dividing what all daemons together may spend; too high is safe.
  int ForSharing(Common::TimePoint now) const
  {
    const bool settled = m_first_word && now - *m_first_word >= SETTLING;
    return settled ? m_daemons : std::max(m_daemons, BEFORE_ANY_WORD);
  }

private:
  int m_daemons = 1;
  Common::TimePoint m_told_at; ///< When this number was last told.
  std::optional<Common::TimePoint> m_first_word;
};
} // namespace Orders

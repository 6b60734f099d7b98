// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <chrono>
#include <optional>

#include "Common/Units.h"

namespace Decisions
{
/// Tracks for how long a model has been in demand without being loaded on any server, over all its
/// requests.
///
/// The age of the oldest request does not show this, since it restarts when a caller
/// disconnects, is refused or retries: with callers that disconnect after 1.7 s, a threshold of
/// 5.5 s is never reached.
class UnservedDemand
{
public:
  /// Updates the state and returns the duration so far. `held`: a server has the model loaded.
  /// `last_wanted`: when the model was last requested or had waiting requests.
  Common::Milliseconds Update(bool held, Common::TimePoint last_wanted, Common::TimePoint now)
  {
    const bool paused = last_wanted - m_last_wanted >= DEMAND_TIMEOUT;
    m_last_wanted = last_wanted;
    if (held || paused || now - last_wanted >= DEMAND_TIMEOUT)
      m_since.reset();
    if (!held && !m_since && now - last_wanted < DEMAND_TIMEOUT)
      m_since = now;
    return m_since ? std::chrono::floor<Common::Milliseconds>(now - *m_since)
                   : Common::Milliseconds(0);
  }

private:
  /// Demand ends after this time without a request. Equals the time constant of the arrival rates.
  static constexpr std::chrono::seconds DEMAND_TIMEOUT{8};

  std::optional<Common::TimePoint> m_since;
  Common::TimePoint m_last_wanted;
};
} // namespace Decisions

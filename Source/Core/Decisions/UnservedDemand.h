// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <chrono>
#include <optional>

#include "Common/Units.h"

namespace Decisions
{
/// How long one model has been asked for while no server holds it, over all its requests.
///
/// A rule that goes by the age of the oldest request starts anew with each caller that leaves, is
/// refused or comes back: with callers that leave after 1.7 s, one that waits for 5.5 s never
/// holds.
class UnservedDemand
{
public:
  /// As things stand now: whether a server holds the model, and when it was last asked for or had
  /// requests waiting. The span so far.
  Common::Milliseconds Update(bool held, Common::TimePoint last_wanted, Common::TimePoint now)
  {
    const bool paused = last_wanted - m_last_wanted >= MEMORY;
    m_last_wanted = last_wanted;
    if (held || paused || now - last_wanted >= MEMORY)
      m_since.reset();
    if (!held && !m_since && now - last_wanted < MEMORY)
      m_since = now;
    return m_since ? std::chrono::floor<Common::Milliseconds>(now - *m_since)
                   : Common::Milliseconds(0);
  }

private:
  /// Without a request for so long the demand has ended: the time constant of the arrival rates.
  static constexpr std::chrono::seconds MEMORY{8};

  std::optional<Common::TimePoint> m_since;
  Common::TimePoint m_last_wanted;
};
} // namespace Decisions

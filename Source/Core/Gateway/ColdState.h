// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <algorithm>

#include "Common/Units.h"

namespace Gateway
{
/// Whether one instance of a server is cold: for some time after a start, and possibly again later,
/// it is slow and accepts few requests. All sources only extend the time, since a message about a
/// shorter one may be older than the others.
class ColdState
{
public:
  /// Records that the server is cold for `left` longer.
  void NoteLeft(Common::Milliseconds left, Common::TimePoint now)
  {
    if (left <= Common::Milliseconds(0))
      return;
    if (!IsCold(now))
      m_since = now;
    m_until = std::max(m_until, now + left);
  }

  bool IsCold(Common::TimePoint now) const { return now < m_until; }
  Common::TimePoint Since() const { return m_since; }
  Common::TimePoint Until() const { return m_until; }

private:
  Common::TimePoint m_since;
  Common::TimePoint m_until;
};
} // namespace Gateway

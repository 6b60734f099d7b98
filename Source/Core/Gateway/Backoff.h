// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <optional>

#include "Common/Units.h"

namespace Gateway
{
/// Backoff of this VM towards one server that rejects requests. The state is local to the VM,
/// because the server addressed this VM and may still accept requests from others.
///
/// After a Retry-After, requests resume with a slow start (RFC 5681, section 3.1): one request at
/// first, and twice as many after each round of responses that are not rejections.
class Backoff
{
public:
  /// Records a rejection without a Retry-After.
  void NoteRejected(Common::TimePoint now);
  /// Sets the pause after such a rejection, for a server that crashes if it has to reject many
  /// requests; nullopt if it bears them. Requests resume with a slow start after it.
  void SetRejectionPause(std::optional<Common::Milliseconds> pause) { m_rejection_pause = pause; }
  /// Records a rejection with a Retry-After of `span`. The latest end takes effect. Returns true if
  /// this call extends the backoff.
  bool NoteRetryAfter(Common::Milliseconds span, Common::TimePoint now);
  /// Records a response other than a rejection to a request sent at `sent_at`. The slow start ends
  /// when its window exceeds `slots` concurrent requests. Returns true for the first such response
  /// after a Retry-After.
  bool NoteAccepted(Common::TimePoint sent_at, int slots);
  void NoteStart(Common::TimePoint sent_at);
  void NoteEnd(Common::TimePoint sent_at);

  bool IsActive(Common::TimePoint now) const { return now < m_until; }
  /// Remaining backoff; zero if none is active.
  Common::Milliseconds Left(Common::TimePoint now) const;
  /// True while a Retry-After is in effect.
  bool IsRetryAfterActive(Common::TimePoint now) const { return now < m_retry_after_until; }
  /// Total length of the current Retry-After and the ones before it that were renewed without an
  /// accepted request in between; zero if none is in effect.
  Common::Milliseconds RetryAfterSpan(Common::TimePoint now) const;
  /// True if the next request may be sent.
  bool MaySend(Common::TimePoint now) const;
  /// True while the slow start limits concurrent requests.
  bool IsSlowStart() const { return m_window.has_value(); }

private:
  Common::TimePoint m_until;             ///< No request is sent before this time.
  Common::TimePoint m_retry_after_until; ///< End of the latest Retry-After.
  Common::TimePoint m_retry_after_since;
  /// Concurrent requests allowed by the slow start, counting those sent since the Retry-After
  /// ended; unset if there is no bound.
  std::optional<int> m_window;
  std::optional<Common::Milliseconds> m_rejection_pause;
  int m_in_flight = 0; ///< Requests in flight that were sent since the Retry-After ended.
};
} // namespace Gateway

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <optional>

#include "Common/Units.h"

namespace Accounts
{
/// Limits for how long a daemon may accept the client keys that it knows. An operator revokes a key
/// by a new configuration, which does not reach a daemon that is cut off or suspended. A daemon
/// therefore accepts keys only while it can prove that its configuration was recently the newest.
///
/// The proof is a time of this daemon's steady clock: when it sent a call whose response from the
/// store had nothing newer. The time of the response would be too late, as the response may have
/// been delayed in transit, or this process may have been suspended before it read it.
class KeyFreshness
{
public:
  /// `limit`: how long a key may still be used after the operator revoked it; nothing for no such
  /// bound.
  void Configure(std::optional<Common::Milliseconds> limit) { m_limit = limit; }
  /// Records that the current configuration was the newest at `moment`.
  void RecordProof(Common::TimePoint moment);

  /// True if keys may be accepted now.
  bool IsFresh(Common::TimePoint now) const;
  /// Time since the last proof; nothing if there is none.
  std::optional<Common::Milliseconds> Age(Common::TimePoint now) const;
  /// Returns how long the store may hold a call that waits for changes, so that two such calls in a
  /// row keep the proof valid; at most `usual`.
  Common::Milliseconds MaxWait(Common::Milliseconds usual) const;

private:
  std::optional<Common::Milliseconds> m_limit;
  std::optional<Common::TimePoint> m_proven;
};
} // namespace Accounts

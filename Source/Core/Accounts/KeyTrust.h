// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <optional>

#include "Common/Units.h"

namespace Accounts
{
/// How long a daemon may act on the keys that it knows. An operator takes a key away by a new
/// configuration, and a daemon that is cut off, or was frozen, does not hear of it. So a daemon
/// acts on keys only while it can prove that its configuration was the newest not long ago.
///
/// The proof is a moment of this daemon's steady clock: that at which it sent a call that the store
/// answered with nothing newer. The moment of the answer would be too late: the answer may have
/// waited on the way, or this process may have been frozen before it read it.
class KeyTrust
{
public:
  /// `limit`: how long after the operator's change a key that was taken away may still be used;
  /// nothing where there is no such bound.
  void Configure(std::optional<Common::Milliseconds> limit) { m_limit = limit; }
  /// The configuration in force was the newest at `moment`.
  void Prove(Common::TimePoint moment);

  /// True where keys may be acted on now.
  bool Stands(Common::TimePoint now) const;
  /// Since the proven moment; nothing where there is none.
  std::optional<Common::Milliseconds> Age(Common::TimePoint now) const;
  /// How long the store may hold a call that waits for changes, so that two such calls in a row
  /// keep the proof, at most `usual`.
  Common::Milliseconds LongestWait(Common::Milliseconds usual) const;

private:
  std::optional<Common::Milliseconds> m_limit;
  std::optional<Common::TimePoint> m_proven;
};
} // namespace Accounts

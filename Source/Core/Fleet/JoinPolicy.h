// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <optional>

#include "Common/Units.h"

namespace Fleet
{
/// What a daemon without a copy of the shared tables knows.
struct JoinState
{
  Common::Milliseconds since_start{0};
  Common::Milliseconds spread{0}; ///< Random, from 0 to MAX_JOIN_SPREAD; fixed for the process.
  bool holds_lease = false;
  /// Since when the lease row names another daemon; nullopt if it does not.
  std::optional<Common::Milliseconds> holder_named_for;
  /// Since when announcements of the holder arrive; nullopt if none do.
  std::optional<Common::Milliseconds> holder_contact_for;
  /// Since when they no longer arrive; nullopt if they do, or never did.
  std::optional<Common::Milliseconds> holder_contact_lost_for;
  bool copies_pending = false; ///< The holder announced that its own copy still fills up.
  bool is_receiving = false;   ///< Another daemon is sending its copy.
};

/// Upper bound of `JoinState::spread`: daemons that start together do not all read at once.
constexpr Common::Milliseconds MAX_JOIN_SPREAD{2000};

/// True if the daemon should read the tables from the platform's store itself: it holds the lease,
/// or no other daemon hands it a copy in time.
bool ShouldReadStore(const JoinState& state);
} // namespace Fleet

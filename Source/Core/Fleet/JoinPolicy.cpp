// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Fleet/JoinPolicy.h"

namespace Fleet
{
namespace
{
using Common::Milliseconds;

/// How long a daemon waits for a copy while the holder's announcements arrive: the holder has to
/// read the tables first, and the copies pass through several daemons.
constexpr Milliseconds COPY_TIMEOUT{4000};
/// The same while the holder's own copy fills up, as after the first start of a fleet.
constexpr Milliseconds PENDING_TIMEOUT{8000};
/// How long it waits for the first announcement of a holder that the lease row names.
constexpr Milliseconds HOLDER_TIMEOUT{500};
/// How long it waits after announcements have ceased: the holder's link may be full for a while, or
/// the next holder takes over.
constexpr Milliseconds LOST_HOLDER_TIMEOUT{3000};
/// How long it waits until any daemon holds the lease: the system is starting, or the last holder
/// has stopped.
constexpr Milliseconds NO_HOLDER_TIMEOUT{2500};
} // namespace

bool ShouldReadStore(const JoinState& state)
{
  if (state.holds_lease)
    return true;
  if (state.is_receiving)
    return false;
  if (state.holder_contact_for)
    return *state.holder_contact_for >=
           (state.copies_pending ? PENDING_TIMEOUT : COPY_TIMEOUT) + state.spread;
  if (state.holder_contact_lost_for)
    return *state.holder_contact_lost_for >=
           (state.copies_pending ? PENDING_TIMEOUT : LOST_HOLDER_TIMEOUT) + state.spread;
  if (state.holder_named_for)
    return *state.holder_named_for >= HOLDER_TIMEOUT + state.spread;
  return state.since_start >= NO_HOLDER_TIMEOUT + state.spread;
}
} // namespace Fleet

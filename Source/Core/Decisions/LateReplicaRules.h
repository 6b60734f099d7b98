// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <optional>

#include "Common/Units.h"

/// Decides which replicas of a model may take a request while some of them serve none in time.
namespace Decisions
{
/// A replica as one daemon observes it.
struct ReplicaView
{
  bool late = false;
  std::size_t open = 0;                         ///< Requests of this daemon without a first event.
  std::optional<Common::Milliseconds> expected; ///< To the first event of a request sent now.
};

/// True if the replica may take a request whose caller still waits for `patience`. `any_in_time`:
/// some replica of the model is not late.
///
/// A late replica without an open request may always take one: only a request shows that it has
/// recovered.
inline bool MayTakeRequest(const ReplicaView& replica, bool any_in_time,
                           Common::Milliseconds patience)
{
  if (!replica.late || replica.open == 0)
    return true;
  return !any_in_time && replica.expected.value_or(Common::Milliseconds(0)) <= patience;
}
} // namespace Decisions

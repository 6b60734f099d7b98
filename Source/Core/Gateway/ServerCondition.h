// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <optional>

#include "Common/Units.h"
#include "Gateway/Backoff.h"
#include "Gateway/ColdState.h"
#include "Gateway/DrainState.h"
#include "Gateway/ServerHealth.h"
#include "Gateway/Types.h"

namespace Gateway
{
/// What this VM has observed of one instance of a server, in addition to its entry: whether and
/// when it may receive requests.
struct ServerCondition
{
  ServerHealth health;
  DrainState drain;
  Backoff backoff;
  ColdState cold;
  /// This instance has ended: another process has the address, or the server has restarted.
  bool replaced = false;
  std::optional<HeartbeatNumber> heartbeat; ///< Of the newest entry that stated one.
  Common::TimePoint heartbeat_at;           ///< When that entry was received.
};
} // namespace Gateway

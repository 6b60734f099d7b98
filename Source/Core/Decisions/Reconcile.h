// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include "Common/Units.h"

namespace Decisions
{
/// The state of a claim as stored in the platform's row of its backend server.
enum class ClaimState
{
  Ordered,   ///< The holder may send, or has sent, the single load order of this claim.
  Loaded,    ///< The load order has completed: the artifact is loaded.
  Unloading, ///< Unload orders may be sent; no new requests are routed to it.
};

/// The state of the claim's artifact in the server's report.
enum class ReportedState
{
  Unknown, ///< No current report.
  Absent,
  Loading,
  Loaded,
  Unloading,
};

/// What this daemon knows about the single load order of an ordered claim.
enum class OrderStatus
{
  InProgress,         ///< This daemon is waiting for the outcome.
  NotSent,            ///< This daemon holds the claim; it did not and will not send the order.
  Unknown,            ///< This daemon sent the order; the outcome is unknown.
  HolderAlive,        ///< Another live daemon holds the claim and reconciles it.
  HolderUnresponsive, ///< Another daemon holds it and may be suspended just before sending.
  HolderTerminated,   ///< The holder has terminated and cannot send any more.
};

enum class ReconcileAction
{
  Keep,       ///< Keep counting its slot and memory as used.
  MarkLoaded, ///< The order was received and has completed.
  RaiseFence, ///< Make the server reject the order if it arrives later, then re-evaluate.
  Free,       ///< The order can no longer take effect: release slot and memory.
  SendUnload, ///< Send the unload order again.
};

struct ReconcileInput
{
  ClaimState claim = ClaimState::Ordered;
  ReportedState reported = ReportedState::Unknown;
  OrderStatus order = OrderStatus::InProgress;
  bool server_checks_fencing = false;
  /// The server is still the instance that the claim was made for.
  bool same_instance = true;
  /// The current instance of the server has confirmed a fencing number above the claim's.
  bool fence_raised = false;
  /// All reports of the server lacked the artifact during the whole settling time, which starts at
  /// the last moment the order could have been sent: any order in transit has been read by now.
  bool settled = false;
};

/// Decides what the managing daemon does with one claim. The rules are described in docs/DESIGN.md,
/// "Claims", and verified by the model Models/Claim.pml.
ReconcileAction Reconcile(const ReconcileInput& input);
} // namespace Decisions

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include "Common/Units.h"

namespace Decisions
{
/// The state of a claim as it stands in the platform's row of its backend server.
enum class ClaimState
{
  Ordered,   ///< The holder may send, or has sent, the one load order of this claim.
  Loaded,    ///< The load order had a definite outcome: the artifact is there.
  Unloading, ///< Unload orders may be sent; no new work goes there.
};

/// What the engine's report says of the claim's artifact.
enum class ReportedState
{
  Unknown, ///< There is no current report.
  Absent,
  Loading,
  Loaded,
  Unloading,
};

/// What is known of the one load order of an ordered claim.
enum class OrderKnowledge
{
  InProgress,   ///< This daemon is waiting for its outcome.
  NotSent,      ///< This daemon holds the claim and certainly sent and will send nothing.
  Unknown,      ///< This daemon sent it, and its outcome is unknown.
  HolderAlive,  ///< Another daemon holds the claim and settles it.
  HolderSilent, ///< Another daemon holds it and may be frozen before sending.
  HolderGone,   ///< Its holder can never act again.
};

enum class ReconcileAction
{
  Keep,       ///< Leave it counted.
  MarkLoaded, ///< The order has arrived and is done.
  RaiseFence, ///< Make the engine refuse the order if it still comes, then look again.
  Free,       ///< Nothing can come of it any more: give slot and memory back.
  SendUnload, ///< Send the unload order again.
};

struct ReconcileInput
{
  ClaimState claim = ClaimState::Ordered;
  ReportedState reported = ReportedState::Unknown;
  OrderKnowledge order = OrderKnowledge::InProgress;
  bool engine_checks_fencing = false;
  /// The engine runs in the incarnation that the claim was made for.
  bool same_incarnation = true;
  /// The engine has confirmed a fencing number above the claim's in its present incarnation.
  bool fence_raised = false;
  /// The engine has answered reports without the artifact for the whole settling time, begun when
  /// the order could be sent for the last time: what was on its way has been read.
  bool settled = false;
};

/// Decides what the keeper does with one claim. Source: docs/DESIGN.md, "Claims"; checked as
/// Models/Claim.pml.
ReconcileAction Reconcile(const ReconcileInput& input);
} // namespace Decisions

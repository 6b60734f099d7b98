// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Decisions/Reconcile.h"

namespace Decisions
{
namespace
{
ReconcileAction ReconcileOrdered(const ReconcileInput& input)
{
  if (input.reported == ReportedState::Loaded && input.same_instance)
    return ReconcileAction::MarkLoaded;
  if (input.order == OrderStatus::NotSent)
    return ReconcileAction::Free;
  if (input.reported != ReportedState::Absent)
    return ReconcileAction::Keep;
  if (input.order == OrderStatus::HolderAlive)
    return ReconcileAction::Keep;
  if (input.server_checks_fencing)
    return input.fence_raised ? ReconcileAction::Free : ReconcileAction::RaiseFence;
  // A server that ignores fencing numbers executes a late order at any time, so the claim is kept
  // for as long as the holder may still send it.
  if (input.order == OrderStatus::HolderUnresponsive)
    return ReconcileAction::Keep;
  // The order was sent on a connection to the previous server process and was lost with it.
  if (input.order == OrderStatus::Unknown && !input.same_instance)
    return ReconcileAction::Free;
  return input.settled ? ReconcileAction::Free : ReconcileAction::Keep;
}
} // namespace

ReconcileAction Reconcile(const ReconcileInput& input)
{
  if (input.order == OrderStatus::InProgress || input.reported == ReportedState::Unknown)
    return ReconcileAction::Keep;
  switch (input.claim)
  {
  case ClaimState::Ordered:
    return ReconcileOrdered(input);
  case ClaimState::Loaded:
    return input.reported == ReportedState::Absent ? ReconcileAction::Free : ReconcileAction::Keep;
  case ClaimState::Unloading:
    if (input.reported == ReportedState::Absent)
      return ReconcileAction::Free;
    return input.order == OrderStatus::HolderAlive ? ReconcileAction::Keep
                                                   : ReconcileAction::SendUnload;
  }
  return ReconcileAction::Keep;
}
} // namespace Decisions

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include "BackendServers/HttpEngine.h"
#include "Common/Units.h"
#include "Daemons/Link.h"
#include "Daemons/Membership.h"
#include "Platform/Store.h"
#include "Serving/ExplainRing.h"
#include "Serving/Policies.h"
#include "Serving/ServerBoard.h"
#include "Serving/TableFollower.h"

namespace Serving
{
/// Times that the serving parts go by; see docs/OPERATIONS.md for their flags.
struct Timing
{
  Common::Milliseconds report_interval{300};
  Common::Milliseconds order_timeout{120000};
  /// How long an engine that ignores fencing numbers must answer without the artifact before an
  /// order of unknown outcome counts as dead. Longer than the kernel keeps an order that was not
  /// acknowledged (Http/Client.cpp), twice.
  Common::Milliseconds order_settle{20000};
  /// After a longer pause between claim and order the claim is validated again.
  Common::Milliseconds freeze_limit{1000};
  Common::Milliseconds claim_timeout{3000};
  /// An artifact is not evicted for another before it has been idle for so long.
  Common::Milliseconds min_idle{500};
  /// The longest time by which the platform's list is late.
  Common::Milliseconds list_lag{30000};
};

/// What the parts of one daemon share. All live as long as the process.
struct Environment
{
  Platform::Store& store;
  BackendServers::HttpEngine& engine;
  Daemons::Membership& membership;
  Daemons::Link& link;
  TableFollower& table;
  ServerBoard& board;
  ExplainRing& explain;
  Policies& policies;
  Timing timing;

  const Common::VmId& Self() const { return membership.Self().vm; }
  const Common::DataCentreId& DataCentre() const { return membership.Self().data_centre; }
};

/// The daemon that keeps a backend server: by hashing over the live ones of its data centre.
std::optional<Common::VmId> KeeperOf(const Environment& environment,
                                     const Table::BackendServer& server);
/// The daemon of this data centre that decides the loads of an artifact.
std::optional<Common::VmId> HomeOf(const Environment& environment,
                                   const Common::ArtifactId& artifact);
/// Whether the server may get new work: it is ready, not leaving, and its data centre is this one
/// or has a daemon that is heard of. A data centre of which nothing is heard is cut off.
bool TakesWork(const Environment& environment, const Common::VmId& server);
/// Whether work for the artifact may be sent to the server.
bool IsServing(const Environment& environment, const Common::VmId& server,
               const Common::ArtifactId& artifact);
} // namespace Serving

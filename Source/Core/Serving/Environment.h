// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include "BackendServers/HttpBackendClient.h"
#include "Common/Units.h"
#include "Daemons/Link.h"
#include "Daemons/Membership.h"
#include "Platform/Store.h"
#include "Serving/DecisionLog.h"
#include "Serving/Policies.h"
#include "Serving/ServerStatusRegistry.h"
#include "Serving/TableFollower.h"

namespace Serving
{
/// Intervals and timeouts of the serving components; see docs/OPERATIONS.md for their flags.
struct Timing
{
  Common::Milliseconds report_interval{300};
  Common::Milliseconds order_timeout{120000};
  /// How long an engine that ignores fencing numbers must report the artifact as absent before an
  /// order of unknown outcome is considered lost. Twice the time after which the kernel drops an
  /// unacknowledged order (UNACKNOWLEDGED_LIMIT_MS in Http/Client.cpp).
  Common::Milliseconds order_settle{20000};
  /// If more time than this passes between claim and order, the claim is validated again.
  Common::Milliseconds freeze_limit{1000};
  Common::Milliseconds claim_timeout{3000};
  /// Minimum idle time of an artifact before it may be evicted for another one.
  Common::Milliseconds min_idle{500};
  /// Maximum delay of the platform's VM list.
  Common::Milliseconds list_lag{30000};
};

/// Components shared within one daemon. All of them live as long as the process.
struct Environment
{
  Platform::Store& store;
  BackendServers::HttpBackendClient& engine;
  Daemons::Membership& membership;
  Daemons::Link& link;
  TableFollower& table;
  ServerStatusRegistry& server_statuses;
  DecisionLog& decision_log;
  Policies& policies;
  Timing timing;

  const Common::VmId& Self() const { return membership.Self().vm; }
  const Common::DataCentreId& DataCentre() const { return membership.Self().data_centre; }
};

/// Returns the daemon that manages a backend server, chosen by rendezvous hashing over the live
/// daemons of the server's data centre.
std::optional<Common::VmId> ManagerOf(const Environment& environment,
                                      const Table::BackendServer& server);
/// Returns the daemon of this data centre that decides on the loads of an artifact, chosen by
/// rendezvous hashing.
std::optional<Common::VmId> LoadCoordinatorOf(const Environment& environment,
                                              const Common::ArtifactId& artifact);
/// Whether the server may get new work: it is ready, not leaving, and its data centre is this one
/// or has a live daemon. A data centre without live daemons is considered unreachable.
bool TakesWork(const Environment& environment, const Common::VmId& server);
/// Whether requests for the artifact may be sent to the server.
bool IsServing(const Environment& environment, const Common::VmId& server,
               const Common::ArtifactId& artifact);
} // namespace Serving

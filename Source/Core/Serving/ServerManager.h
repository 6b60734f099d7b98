// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <map>
#include <memory>

#include "Serving/ServerController.h"

namespace Serving
{
/// Manages the backend servers that rendezvous hashing assigns to this daemon. The assignment
/// changes with the table and with the set of live daemons. After a server has been reassigned,
/// this daemon still resolves the orders that it sent itself.
class ServerManager
{
public:
  explicit ServerManager(Environment& environment);

  /// Starts and retires controllers according to the table and the membership. Called on each
  /// change and periodically; cheap if neither has changed.
  void Rebalance();

  Common::Task<Daemons::PlaceReply> Place(Daemons::PlaceOrder order);

  /// Returns the statuses of the servers managed here, and their version for the heartbeat.
  Daemons::StatusReply Statuses();
  bool Manages(const Common::VmId& server) const;

private:
  std::shared_ptr<ServerController> GetController(const Table::BackendServer& server);

  Environment& m_environment;
  std::map<Common::VmId, std::shared_ptr<ServerController>> m_controllers;
  /// Live daemons and table that the current assignment was computed from.
  std::vector<Common::VmId> m_live;
  std::shared_ptr<const Table::Catalog> m_catalog;
  Daemons::StatusReply m_last;
  /// The statuses at the last increment of the version in the heartbeat.
  std::vector<Daemons::ServerStatus> m_announced;
  Common::TimePoint m_last_announced_at;
};
} // namespace Serving

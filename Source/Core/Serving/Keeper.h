// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <map>
#include <memory>

#include "Serving/ServerWatch.h"

namespace Serving
{
/// The backend servers that hashing gives to this daemon. A change of the table or of the live
/// daemons moves them; what this daemon ordered itself it still settles.
class Keeper
{
public:
  explicit Keeper(Environment& environment);

  /// Compares the table and the membership with what is watched. Cheap; called on each change and
  /// periodically.
  void Rebalance();

  Common::Task<Daemons::PlaceReply> Place(Daemons::PlaceOrder order);

  /// The statuses of the servers kept here, and their version for the heartbeat.
  Daemons::StatusReply Statuses();
  bool Keeps(const Common::VmId& server) const;

private:
  std::shared_ptr<ServerWatch> Watch(const Table::BackendServer& server);

  Environment& m_environment;
  std::map<Common::VmId, std::shared_ptr<ServerWatch>> m_watches;
  /// What the present roles were computed from.
  std::vector<Common::VmId> m_live;
  std::shared_ptr<const Table::Catalog> m_catalog;
  Daemons::StatusReply m_last;
  /// The statuses of the last version that the heartbeat told.
  std::vector<Daemons::ServerStatus> m_announced;
  Common::TimePoint m_last_bump;
};
} // namespace Serving

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "Common/Units.h"
#include "Gateway/Types.h"
#include "Orders/Messages.h"

namespace Orders
{
/// Open requests at one backend server, summed over all daemons.
struct ServerLoad
{
  struct ModelCount
  {
    Gateway::ModelId model;
    std::int32_t count = 0;
  };
  std::int32_t in_flight = 0;
  std::vector<ModelCount> by_model; ///< Few models per server, so a linear search is cheap.

  std::int32_t InFlight(const Gateway::ModelId& model) const;
};

/// Open requests of all daemons, summed per server. The sums are updated incrementally by the
/// difference between a daemon's report and its previous one: with 300 daemons, recomputing them
/// from all reports for each plan took a third of the planning time.
class InFlightTotals
{
public:
  /// Replaces the loads that the daemon reported before.
  void UpdateDaemon(const Common::VmId& daemon, const std::vector<LoadLine>& loads);
  /// Removes the requests of a daemon that no longer reports.
  void RemoveDaemon(const Common::VmId& daemon) { UpdateDaemon(daemon, {}); }

  /// The sums for one server. The reference stays valid for the lifetime of this object.
  const ServerLoad& ForServer(const Gateway::InstanceId& instance) { return m_servers[instance]; }
  const std::unordered_map<Gateway::InstanceId, ServerLoad>& All() const { return m_servers; }

private:
  void Add(const LoadLine& line, std::int32_t sign);

  std::unordered_map<Gateway::InstanceId, ServerLoad> m_servers;
  std::map<Common::VmId, std::vector<LoadLine>> m_daemons;
};
} // namespace Orders

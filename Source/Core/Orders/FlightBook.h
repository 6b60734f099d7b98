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
/// Open requests of all daemons at one backend server.
struct ServerLoad
{
  struct ModelCount
  {
    Gateway::ModelId model;
    std::int32_t count = 0;
  };
  std::int32_t in_flight = 0;
  std::vector<ModelCount> by_model; ///< A server holds a few models: a search costs nothing.

  std::int32_t InFlight(const Gateway::ModelId& model) const;
};

/// The open requests of all daemons, summed up by server. Each report changes the sums by what
/// differs from its daemon's report before, so a look costs nothing: with 300 daemons the sums over
/// all reports, made anew for each plan, were a third of the plan's time.
class FlightBook
{
public:
  /// A daemon's present loads, in place of those that it told before.
  void Take(const Common::VmId& daemon, const std::vector<LoadLine>& loads);
  /// The daemon is silent: its requests are not counted any more.
  void Drop(const Common::VmId& daemon) { Take(daemon, {}); }

  /// The sums for one server; they stay at their address while the book exists.
  const ServerLoad& Of(const Gateway::InstanceId& instance) { return m_servers[instance]; }
  const std::unordered_map<Gateway::InstanceId, ServerLoad>& All() const { return m_servers; }

private:
  void Add(const LoadLine& line, std::int32_t sign);

  std::unordered_map<Gateway::InstanceId, ServerLoad> m_servers;
  std::map<Common::VmId, std::vector<LoadLine>> m_daemons;
};
} // namespace Orders

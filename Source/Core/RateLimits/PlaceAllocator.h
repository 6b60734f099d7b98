// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "RateLimits/PermitAllocator.h"
#include "RateLimits/Places.h"

namespace RateLimits
{
/// Grants places at brittle servers to daemons; runs on the holder of the order lease. The places
/// that a daemon holds, and those of grants that it has not applied yet, are never granted to
/// another one, so the sum over all daemons stays within what the servers run at once.
class PlaceAllocator
{
public:
  /// Starts a new tenure. Nothing is granted until all daemons have had time to report the places
  /// that they hold.
  void Begin(Common::TimePoint now);
  /// Grants nothing for as long as after Begin(): daemons may have used places without a holder.
  void Pause(Common::TimePoint now);
  struct KnownServer
  {
    ServerKey server;
    std::uint32_t places = 0; ///< Requests that it runs at once.
  };
  /// Sets the servers whose places are granted.
  void SetServers(std::span<const KnownServer> servers);
  /// Replaces the report of a daemon in this tenure.
  void UpdateReport(const Common::VmId& vm, std::int64_t tenure, const PlaceReport& report,
                    Common::TimePoint now);
  /// True if places may be granted: enough time has passed since Begin() or Pause().
  bool IsOpen(Common::TimePoint now) const;
  /// Grants all free places, the most urgent requests first. Call NoteSent() for each daemon.
  std::vector<Grant> GrantPlaces(Common::TimePoint now);
  /// Sets the number of the reply that carries the latest grants of the daemon.
  void NoteSent(const Common::VmId& vm, std::uint64_t number);
  /// What the daemon's waiting requests have to wait for.
  std::vector<PlaceQueue> QueuesOf(const Common::VmId& vm, Common::TimePoint now) const;

private:
  /// Grants that the daemon has not applied yet, as far as is known.
  struct SentGrant
  {
    ServerKey server;
    std::uint32_t count = 0;
    std::uint64_t number = 0; ///< Of the reply; 0 until it is sent.
    Common::TimePoint at;
  };
  struct Daemon
  {
    PlaceReport report;
    Common::TimePoint reported_at;
    std::vector<SentGrant> sent;
  };
  struct Place
  {
    std::uint32_t places = 0;
    std::uint32_t taken = 0;

    std::uint32_t Free() const { return places > taken ? places - taken : 0; }
  };
  /// A demand that may still be waiting.
  struct OpenDemand
  {
    const Common::VmId* vm = nullptr;
    PlaceDemand* demand = nullptr;
    Common::TimePoint expires_at;
  };

  /// Drops daemons without a report for a long time, and grants that can no longer be applied.
  void DropOld(Common::TimePoint now);
  void CountTaken();
  std::vector<OpenDemand> OpenDemands(Common::TimePoint now);
  /// The server of the group with the most free places; nullptr if all are taken.
  Place* MostFree(const PlaceDemand& demand, ServerKey* server);

  std::map<ServerKey, Place> m_servers;
  std::map<Common::VmId, Daemon> m_daemons;
  Common::TimePoint m_open_at;
};
} // namespace RateLimits

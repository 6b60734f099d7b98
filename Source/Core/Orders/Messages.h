// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Accounts/Allowance.h"
#include "Crashes/CrashCase.h"
#include "Daemons/Codec.h"
#include "Fleet/HandoverPlanner.h"
#include "Fleet/RowChange.h"
#include "Gateway/PlacementConstraint.h"
#include "Gateway/Types.h"
#include "RateLimits/Messages.h"
#include "RateLimits/Places.h"

/// Datagrams between the daemons and the holder of the order lease. All of their contents are soft
/// state: the next datagram replaces a lost one.
namespace Orders
{
/// The platform's tables that every daemon replicates.
enum class SharedTable : std::uint8_t
{
  Operator, ///< The operators' configuration.
  Servers,  ///< The backend servers' entries.
};
constexpr std::size_t SHARED_TABLES = 2;

/// Changes of one table that the holder relays.
struct TableUpdate
{
  std::int64_t from = 0;            ///< The message has all rows that changed after this version,
  std::int64_t to = 0;              ///< up to and including this one.
  std::int64_t response_age_ms = 0; ///< Age of the platform's last response to the holder.
  /// Time since the holder sent the call whose response showed that `to` was the newest version.
  /// Negative if there is no such call, or if changes before `to` are missing here.
  std::int64_t proof_age_ms = -1;
  bool omitted = false; ///< A row is too long to be relayed; read it from the platform.
  std::vector<Fleet::RowChange> rows;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(from, to, response_age_ms, proof_age_ms, omitted, rows);
  }
};

/// Waiting and recent requests for one artifact at one daemon that the same servers may take.
struct DemandLine
{
  Gateway::PoolId pool;
  Gateway::Artifact artifact;
  std::int32_t waiting = 0;
  std::int32_t priority = 9;
  std::int64_t oldest_wait_ms = 0;
  std::int32_t arrivals = 0; ///< Requests that arrived since the previous report.
  Gateway::PlacementConstraint constraint;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(pool, artifact, waiting, priority, oldest_wait_ms, arrivals, constraint);
  }
};

/// One daemon's open requests at one backend server.
struct LoadLine
{
  Gateway::InstanceId instance;
  std::int32_t in_flight = 0;
  std::map<Gateway::ModelId, std::int32_t> by_model;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(instance, in_flight, by_model);
  }
};

/// Identifies a backend server where full names would make up most of the message. If two servers
/// have the same hash, their loads are merely mixed up.
using ServerHash = std::uint32_t;
ServerHash HashOf(const Gateway::InstanceId& instance);

/// Report from a daemon to the holder.
struct DaemonReport
{
  Common::VmId vm;
  Common::Incarnation run;
  std::uint64_t sequence = 0; ///< Increases within a run; older reports are dropped.
  std::vector<DemandLine> demand;
  std::vector<LoadLine> loads;
  std::vector<std::int64_t> table_versions; ///< This daemon's version of each shared table.
  std::uint64_t placement_version = 0;      ///< This daemon's version of the placements.
  bool missed_updates = false;              ///< Changes were missing and have to be sent again.
  std::int64_t handicap_ms = 0;  ///< Delay of its VM before it tries to acquire a free lease.
  std::int64_t grants_fence = 0; ///< Fence of the lease whose holder granted the `allowances`.
  /// Unspent and requested units of the accounts' limits.
  std::vector<Accounts::AllowanceLine> allowances;
  /// Requests that crash servers, as this daemon observed them and the holder has not confirmed
  /// yet.
  std::vector<Crashes::CaseLine> crashes;
  std::uint64_t crash_revision = 0; ///< This daemon's revision of the holder's crash cases.
  /// Servers with a long backoff at this daemon.
  std::vector<ServerHash> backing_off;
  Fleet::PlaceHash place = 0;     ///< Data centre of this daemon.
  bool reaches_no_server = false; ///< Directly, as far as it knows.

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(vm, run, sequence, demand, loads, table_versions, placement_version, missed_updates,
            handicap_ms, grants_fence, allowances, crashes, crash_revision, backing_off, place,
            reaches_no_server);
  }
};

/// The holder's knowledge of one backend server that goes beyond the server's entry in the
/// platform.
struct PlacementLine
{
  Gateway::InstanceId instance;
  std::vector<Gateway::Artifact> adapters; ///< Loaded adapters.
  std::vector<Gateway::ModelId> unloading; ///< About to be unloaded; they get no new requests.
  std::vector<Gateway::ModelId> loading;   ///< Being loaded from the weight store.

  bool operator==(const PlacementLine&) const = default;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(instance, adapters, unloading, loading);
  }
};

/// The part of a holder's report that is the same for all daemons and is encoded only once.
struct HolderState
{
  Common::VmId vm;
  std::int32_t daemons = 1; ///< Daemons that report to the holder, including the holder.
  /// The lowest handicap of the daemons that report to the holder.
  std::int64_t min_handicap_ms = 0;
  std::int64_t lease_version = 0; ///< Version of the lease's row.
  std::int64_t lease_left_ms = 0; ///< For how long the holder may act without a renewal, at most.
  /// The holder no longer issues orders under this version of the lease's row.
  bool abdicated = false;
  /// Daemons without tables will get copies, but the tables still fill up.
  bool copies_pending = false;
  bool regular = false; ///< `in_flight` is filled; otherwise the report has only changes.
  std::map<ServerHash, std::int32_t> in_flight; ///< Open requests of all daemons by server.
  std::vector<RateLimits::LimitUpdate> limits;  ///< At most one; empty if there are no changes.
  /// The same for the rejections per second that brittle servers bear.
  std::vector<RateLimits::LimitUpdate> rejection_bounds;
  /// Servers that are draining: all of them, or the next part of the list.
  std::vector<RateLimits::ServerKey> draining;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(vm, daemons, min_handicap_ms, lease_version, lease_left_ms, abdicated, copies_pending,
            regular, in_flight, limits, rejection_bounds, draining);
  }
};

/// Report from the holder to a daemon.
struct HolderReport
{
  std::int64_t fence = 0; ///< Fence of the lease; an earlier holder has a lower one.
  std::uint64_t sequence = 0;
  std::string state;                ///< A `HolderState`, encoded.
  std::uint64_t placement_from = 0; ///< The report has all lines that changed after this version,
  std::uint64_t placement_to = 0;   ///< up to and including this one.
  std::vector<PlacementLine> placements;
  std::vector<TableUpdate> table_updates; ///< One element for each shared table.
  std::uint64_t crash_from = 0; ///< The report has all cases that changed after this revision,
  std::uint64_t crash_to = 0;   ///< up to and including this one.
  std::vector<Crashes::CaseLine> crashes;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(fence, sequence, state, placement_from, placement_to, placements, table_updates,
            crash_from, crash_to, crashes);
  }
};

/// Identifies one run of a daemon.
using RunHash = std::uint32_t;
RunHash HashOf(const Common::Incarnation& run);

/// Where another daemon offers something: its copy of the shared tables, or tunnels.
struct PeerAddress
{
  std::uint32_t address = 0; ///< Network byte order.
  std::uint16_t port = 0;    ///< Host byte order.

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(address, port);
  }
};

/// The part of a holder's report that is addressed to one daemon. It echoes the daemon's last
/// report, from which the daemon derives a time of its own clock before which the holder did not
/// write this, however long the datagram was in transit.
struct HolderReply
{
  RunHash run = 0;            ///< Hash of the daemon's run.
  std::uint64_t sequence = 0; ///< Sequence number of the last report that the holder has read.
  std::int64_t held_ms = 0;   ///< Time since the holder read that report.
  std::int64_t fence = 0;     ///< Fence of the holder's lease.
  std::vector<Accounts::GrantLine> grants;
  /// Where a daemon without tables gets a copy; at most one.
  std::vector<PeerAddress> copy_sources;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(run, sequence, held_ms, fence, grants, copy_sources);
  }
};

/// From a daemon to the holder: observed limits, draining servers and the permits that the daemon
/// requests.
struct PermitRequest
{
  Common::VmId vm;
  RunHash run = 0;
  std::uint64_t sequence = 0; ///< Increases within a run.
  Common::DataCentreId data_centre;
  std::int64_t tenure = 0; ///< Tenure of the holder whose announcements the daemon has applied.
  std::vector<RateLimits::LimitObservation> observations;
  /// Rejections per second that brittle servers bear, as read in responses.
  std::vector<RateLimits::LimitObservation> rejection_bounds;
  std::vector<RateLimits::PermitDemand> demands; ///< All permits that it requests now.
  RateLimits::PlaceReport places;                ///< At brittle servers.
  /// Draining servers that the holder has not announced yet.
  std::vector<RateLimits::ServerKey> draining;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(vm, run, sequence, data_centre, tenure, observations, rejection_bounds, demands, places,
            draining);
  }
};

/// Reply from the holder to one daemon.
struct PermitReply
{
  RunHash run = 0; ///< Hash of the daemon's run.
  std::int64_t tenure = 0;
  std::uint64_t number = 0; ///< Increases within a tenure; duplicate and late replies are dropped.
  std::uint64_t sequence = 0; ///< Sequence number of the last request that the holder has read.
  std::int64_t held_ms = 0;   ///< Time since the holder read that request.
  std::vector<RateLimits::PermitLine> permits;
  /// This daemon's positions in the servers' queues.
  std::vector<RateLimits::PositionLine> positions;
  std::vector<RateLimits::StandbyLine> standbys; ///< All servers for which the daemon is a standby.
  bool is_holder = false; ///< False if its lease has expired, so that it grants no places.
  std::vector<RateLimits::PermitLine> places; ///< At brittle servers, in addition to those held.
  std::vector<RateLimits::PlaceQueue> queues;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(run, tenure, number, sequence, held_ms, permits, positions, standbys, is_holder, places,
            queues);
  }
};

/// A datagram of its own, so that daemons which cannot decode it still decode all others.
struct Notice
{
  /// The first field; no `Envelope` begins with this value.
  static constexpr std::uint64_t MARKER = ~std::uint64_t{0};

  std::uint64_t marker = MARKER;
  std::int64_t fence = 0; ///< Fence of the lease, if the holder sends it.
  /// From the holder: other daemons that may connect to backend servers for the receiver, those of
  /// its data centre first. Empty if there are no news of them.
  std::vector<PeerAddress> helpers;
  /// Empty, in the place of lists that other releases of the daemon expect.
  std::vector<std::uint8_t> reserved_first;
  bool reserved_flag = false;
  std::vector<std::uint8_t> reserved_second;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(marker, fence, helpers, reserved_first, reserved_flag, reserved_second);
  }
};

/// The content of one datagram.
struct Envelope
{
  std::vector<DaemonReport> from_daemon; ///< At most one.
  std::vector<HolderReport> from_holder;
  std::vector<PermitRequest> permit_requests;
  std::vector<PermitReply> permit_replies;
  /// At most one, also without a report for all daemons. Must be the last field: see `WithReply`.
  std::vector<HolderReply> holder_replies;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(from_daemon, from_holder, permit_requests, permit_replies, holder_replies);
  }
};

/// Encodes the envelope `common` with `reply` added. `common` is encoded once and shared by many
/// daemons.
std::string WithReply(const std::string& common, const HolderReply& reply);
} // namespace Orders

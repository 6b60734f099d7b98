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
#include "Gateway/Types.h"
#include "Orders/RowChange.h"
#include "RateLimits/Messages.h"

/// What daemons and the holder of the order lease tell each other, by datagrams. All of it is soft
/// state: a lost datagram is made good by the next one.
namespace Orders
{
/// The tables of the platform that every daemon keeps up with.
enum class SharedTable : std::uint8_t
{
  Operator, ///< The operators' configuration.
  Servers,  ///< The backend servers' entries.
};
constexpr std::size_t SHARED_TABLES = 2;

/// Changes of one table that the holder passes on.
struct TableNews
{
  std::int64_t from = 0;          ///< The rows that changed after this version,
  std::int64_t to = 0;            ///< up to this one, are all here.
  std::int64_t answer_age_ms = 0; ///< Since the platform's last answer to the holder.
  /// Since the holder sent the call by whose answer `to` was the newest version; negative where
  /// there is no such call, or where changes before `to` are not here.
  std::int64_t proof_age_ms = -1;
  bool left_out = false; ///< A row is too long to be passed on: ask the platform for it.
  std::vector<RowChange> rows;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(from, to, answer_age_ms, proof_age_ms, left_out, rows);
  }
};

/// Requests that wait, or came lately, for one artifact at one daemon.
struct DemandLine
{
  Gateway::PoolId pool;
  Gateway::Artifact artifact;
  std::int32_t waiting = 0;
  std::int32_t priority = 9;
  std::int64_t oldest_wait_ms = 0;
  std::int32_t arrivals = 0; ///< Since the report before.

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(pool, artifact, waiting, priority, oldest_wait_ms, arrivals);
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

/// Stands for a backend server where its whole name would be most of the message. Two servers with
/// one hash only blur each other's load.
using ServerHash = std::uint32_t;
ServerHash HashOf(const Gateway::InstanceId& instance);

/// From a daemon to the holder.
struct DaemonReport
{
  Common::VmId vm;
  Common::Incarnation run;
  std::uint64_t sequence = 0; ///< Rises within a run; older reports are dropped.
  std::vector<DemandLine> demand;
  std::vector<LoadLine> loads;
  std::vector<std::int64_t> table_versions; ///< Of each shared table, as this daemon has it.
  std::uint64_t placement_version = 0;      ///< Of the last placements that it has.
  bool missed_news = false;                 ///< Changes were missing: they should be sent again.
  std::int64_t handicap_ms = 0;             ///< How ill its VM is fit to hold the lease.
  std::int64_t grants_fence = 0; ///< Of the lease whose holder's grants the allowances count.
  /// What it may still spend of the accounts' limits, and wants.
  std::vector<Accounts::AllowanceLine> allowances;
  /// Requests that end servers: what this daemon saw and the holder has not confirmed.
  std::vector<Crashes::CaseLine> crashes;
  std::uint64_t crash_revision = 0; ///< Of the holder's cases, as this daemon has them.
  /// Servers from which this daemon backs off for long.
  std::vector<ServerHash> backing_off;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(vm, run, sequence, demand, loads, table_versions, placement_version, missed_news,
            handicap_ms, grants_fence, allowances, crashes, crash_revision, backing_off);
  }
};

/// What the holder knows of one backend server beyond its entry in the platform.
struct PlacementLine
{
  Gateway::InstanceId instance;
  std::vector<Gateway::Artifact> adapters; ///< Loaded.
  std::vector<Gateway::ModelId> leaving;   ///< About to be unloaded: no new requests.
  std::vector<Gateway::ModelId> coming;    ///< On their way from the weight store.

  bool operator==(const PlacementLine&) const = default;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(instance, adapters, leaving, coming);
  }
};

/// The part of a holder's report that is the same for all daemons; encoded once.
struct HolderState
{
  Common::VmId vm;
  std::int32_t daemons = 1; ///< That report to the holder, itself included.
  /// Of the daemon that is fittest to be the next holder.
  std::int64_t least_handicap_ms = 0;
  std::int64_t lease_version = 0; ///< Of the lease's row.
  std::int64_t lease_left_ms = 0; ///< At most so long the holder may act without a renewal.
  bool abdicated = false; ///< It has stopped ordering under this version of the lease's row.
  bool regular = false;   ///< Holds `in_flight`; else there is only news.
  std::map<ServerHash, std::int32_t> in_flight; ///< Open requests of all daemons.
  std::vector<RateLimits::LimitNews> limits;    ///< One, or none: no news.
  /// Servers that have announced their end; all, or the next part of them.
  std::vector<RateLimits::ServerKey> draining;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(vm, daemons, least_handicap_ms, lease_version, lease_left_ms, abdicated, regular,
            in_flight, limits, draining);
  }
};

/// From the holder to a daemon.
struct HolderReport
{
  std::int64_t fence = 0; ///< Of the lease; a lower one is an older holder's.
  std::uint64_t sequence = 0;
  std::string state;                ///< A `HolderState`, encoded.
  std::uint64_t placement_from = 0; ///< The lines that changed after this version,
  std::uint64_t placement_to = 0;   ///< up to this one, are all here.
  std::vector<PlacementLine> placements;
  std::vector<TableNews> news;  ///< Of each shared table.
  std::uint64_t crash_from = 0; ///< The cases that changed after this revision,
  std::uint64_t crash_to = 0;   ///< up to this one, are all here.
  std::vector<Crashes::CaseLine> crashes;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(fence, sequence, state, placement_from, placement_to, placements, news, crash_from,
            crash_to, crashes);
  }
};

/// Stands for one run of a daemon.
using RunHash = std::uint32_t;
RunHash HashOf(const Common::Incarnation& run);

/// What the holder tells one daemon alone, with a report for all. By the echo of its own report the
/// daemon knows a moment of its own clock before which the holder did not write this, however long
/// the datagram took.
struct HolderReply
{
  RunHash run = 0;            ///< Of the daemon.
  std::uint64_t sequence = 0; ///< Of the daemon's report that the holder has read last.
  std::int64_t held_ms = 0;   ///< Since the holder has read it.
  std::int64_t fence = 0;     ///< Of the holder's lease.
  std::vector<Accounts::GrantLine> grants;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(run, sequence, held_ms, fence, grants);
  }
};

/// From a daemon to the holder: what it read of servers' limits and ends, and the permits that it
/// wants.
struct PermitAsk
{
  Common::VmId vm;
  RunHash run = 0;
  std::uint64_t sequence = 0; ///< Rises within a run.
  Common::DataCentreId data_centre;
  std::int64_t tenure = 0; ///< Of the holder whose announcements it has.
  std::vector<RateLimits::LimitObservation> observations;
  std::vector<RateLimits::PermitWant> wants; ///< All that it wants now.
  /// Servers that have announced their end, of which the holder has not told itself.
  std::vector<RateLimits::ServerKey> draining;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(vm, run, sequence, data_centre, tenure, observations, wants, draining);
  }
};

/// From the holder to one daemon.
struct PermitReply
{
  RunHash run = 0; ///< Of the daemon.
  std::int64_t tenure = 0;
  std::uint64_t number = 0;   ///< Rises within a tenure; what comes twice or late is void.
  std::uint64_t sequence = 0; ///< Of the daemon's ask that the holder has read last.
  std::int64_t held_ms = 0;   ///< Since the holder has read it.
  std::vector<RateLimits::PermitLine> permits;
  /// Where this daemon waits.
  std::vector<RateLimits::PlaceLine> places;
  std::vector<RateLimits::StandbyLine> standbys; ///< All for which the daemon is a standby.

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(run, tenure, number, sequence, held_ms, permits, places, standbys);
  }
};

/// A datagram holds one of these.
struct Envelope
{
  std::vector<DaemonReport> from_daemon; ///< One, or none.
  std::vector<HolderReport> from_holder;
  std::vector<PermitAsk> permit_asks;
  std::vector<PermitReply> permit_replies;
  /// One, or none; also without a report for all. Last: see `WithReply`.
  std::vector<HolderReply> to_one;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(from_daemon, from_holder, permit_asks, permit_replies, to_one);
  }
};

/// The bytes of an envelope that holds `reply` besides what the envelope `common` has, which is
/// encoded once for many daemons.
std::string WithReply(const std::string& common, const HolderReply& reply);
} // namespace Orders

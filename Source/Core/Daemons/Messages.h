// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Common/Failure.h"
#include "Common/Units.h"
#include "Table/Change.h"

/// What daemons say to each other. A change of any field is a new PROTOCOL_VERSION.
namespace Daemons
{
constexpr std::uint8_t PROTOCOL_VERSION = 1;

/// Sent by UDP to every other daemon; says who is there and whether there is news to pull.
struct Heartbeat
{
  Common::VmId vm;
  Common::DataCentreId data_centre;
  Common::Incarnation incarnation;
  std::int64_t started_ms = 0;  ///< Wall clock at the start: orders incarnations of one VM.
  std::int64_t sequence = 0;    ///< Grows by one; an older one is dropped.
  std::int64_t interval_ms = 0; ///< The next one to this receiver comes within this time.
  bool leaving = false;
  Common::Revision table_revision;
  std::int64_t state_version = 0; ///< Of the sender's backend server states.

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(vm, data_centre, incarnation, started_ms, sequence, interval_ms, leaving,
            table_revision, state_version);
  }
};

enum class ReplicaState : std::uint8_t
{
  Ordered,   ///< Claimed; its load order may be on its way.
  Loaded,    ///< Serves requests.
  Unloading, ///< Gets no new work.
};

/// A claimed replica on a backend server.
struct ReplicaStatus
{
  Common::ArtifactId artifact;
  Common::ClaimId claim;
  ReplicaState state = ReplicaState::Ordered;
  Common::MegaBytes memory;
  std::int64_t running = 0;
  std::int64_t idle_ms = 0;
  std::int64_t served = 0;
  bool surplus = false; ///< Above the table's replicas: no new work.

  bool operator==(const ReplicaStatus&) const = default;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(artifact, claim, state, memory, running, idle_ms, served, surplus);
  }
};

/// Status of a backend server, as known to the daemon that manages it.
struct ServerStatus
{
  Common::VmId vm;
  Common::VmId keeper;
  Common::Incarnation incarnation;
  std::int64_t row_version = 0; ///< Of the platform's row; an older state never wins.
  bool ready = false;
  Common::MegaBytes capacity;
  Common::MegaBytes claimed;
  std::int64_t running = 0;
  std::int64_t max_running = 0;
  std::vector<ReplicaStatus> replicas;
  std::vector<Common::ArtifactId> on_disk;
  std::vector<Common::ArtifactId> in_memory;

  bool operator==(const ServerStatus&) const = default;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(vm, keeper, incarnation, row_version, ready, capacity, claimed, running, max_running,
            replicas, on_disk, in_memory);
  }
};

/// Entry daemon to the load coordinator of an artifact: make sure that a server serves it.
struct LoadRequest
{
  Common::ArtifactId artifact;
  Common::RequestId request;
  std::int64_t patience_ms = 0; ///< Until the deadline of the most urgent waiter.
  std::int64_t waiting = 0;
  bool more = false; ///< All loaded replicas are full.

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(artifact, request, patience_ms, waiting, more);
  }
};

/// Response of the load coordinator: the server of the artifact, or why there is none.
struct LoadReply
{
  Common::FailureKind failure = Common::FailureKind::None;
  std::string detail;
  Common::VmId server;
  std::int64_t retry_after_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(failure, detail, server, retry_after_ms);
  }
};

/// Load coordinator to the daemon that manages a backend server: release these claims, then claim
/// and load.
struct PlaceOrder
{
  Common::VmId server;
  Common::ArtifactId artifact;
  std::vector<Common::ClaimId> evict;
  std::int64_t patience_ms = 0;
  Common::RequestId request;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(server, artifact, evict, patience_ms, request);
  }
};

/// Response of the managing daemon. `holders` names the backend servers where all slots are claimed
/// already.
struct PlaceReply
{
  Common::FailureKind failure = Common::FailureKind::None;
  std::string detail;
  std::vector<Common::VmId> holders;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(failure, detail, holders);
  }
};

/// Asks a peer for the backend servers that it keeps.
struct StatusPull
{
  template <typename Archive>
  void serialize(Archive&)
  {
  }
};

struct StatusReply
{
  std::int64_t state_version = 0;
  std::vector<ServerStatus> servers;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(state_version, servers);
  }
};

/// Asks a peer for the table from revision `have` on.
struct TablePull
{
  Common::Revision have;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(have);
  }
};

/// The changes from `have` on where the peer still holds them, otherwise the whole table.
struct TableReply
{
  Common::Revision revision;
  std::vector<Table::Change> changes;
  bool whole = false;
  Table::RowMap rows;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(revision, changes, whole, rows);
  }
};

/// Managing daemon to the daemon that grants the permits for the weight store: requests a permit
/// for one load.
struct PermitRequest
{
  Common::ClaimId claim;
  Common::ArtifactId artifact;
  std::int64_t patience_ms = 0;
  std::int64_t weight = 1;
  std::int64_t waiting = 1;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(claim, artifact, patience_ms, weight, waiting);
  }
};

struct PermitReply
{
  bool granted = false;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(granted);
  }
};

/// The load that had the permit is over.
struct PermitReturn
{
  Common::ClaimId claim;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(claim);
  }
};

using Call =
    std::variant<LoadRequest, PlaceOrder, StatusPull, TablePull, PermitRequest, PermitReturn>;
using Reply = std::variant<LoadReply, PlaceReply, StatusReply, TableReply, PermitReply>;

/// One message on a TCP connection between daemons; replies carry the number of their call.
struct Envelope
{
  std::int64_t call_id = 0;
  std::variant<Call, Reply> body;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(call_id, body);
  }
};

/// The first message of a TCP connection.
struct Hello
{
  Common::VmId vm;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(vm);
  }
};
} // namespace Daemons

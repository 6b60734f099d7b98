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

/// Messages between daemons. Any change of a field requires a new PROTOCOL_VERSION.
namespace Daemons
{
constexpr std::uint8_t PROTOCOL_VERSION = 1;

/// Sent over UDP to every other daemon: shows that the sender is alive, and by its versions whether
/// there are changes to pull.
struct Heartbeat
{
  Common::VmId vm;
  Common::DataCentreId data_centre;
  Common::Incarnation incarnation;
  std::int64_t started_ms = 0;  ///< Wall clock at startup; orders the incarnations of a VM.
  std::int64_t sequence = 0;    ///< Increases with each one sent; older ones are dropped.
  std::int64_t interval_ms = 0; ///< Time until the next heartbeat to this receiver.
  bool leaving = false;
  Common::Revision table_revision;
  std::int64_t state_version = 0; ///< Version of the sender's backend server states.

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(vm, data_centre, incarnation, started_ms, sequence, interval_ms, leaving,
            table_revision, state_version);
  }
};

enum class ReplicaState : std::uint8_t
{
  Ordered,   ///< Claimed; the load order may still be in transit.
  Loaded,    ///< Serves requests.
  Unloading, ///< Gets no new requests.
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
  bool surplus = false; ///< Exceeds the replica count of the table: gets no new requests.

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
  std::int64_t row_version = 0; ///< Version of the platform's row; an older state is never applied.
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
  std::int64_t patience_ms = 0; ///< Time until the latest deadline of the waiting requests.
  std::int64_t waiting = 0;
  bool additional_replica = false; ///< Requests another replica: all loaded ones are at capacity.

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(artifact, request, patience_ms, waiting, additional_replica);
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

/// Response of the managing daemon. If all replica slots are claimed already, `holders` names the
/// backend servers that hold them.
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

/// Requests the status of the backend servers that the peer manages.
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

/// Requests the changes of the table after revision `known_revision`.
struct TablePull
{
  Common::Revision known_revision;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(known_revision);
  }
};

/// The changes after `known_revision` if the peer still has them, otherwise the whole table.
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

/// Returns the permit of a load that has ended.
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

/// A message on a TCP connection between daemons. A reply has the call_id of its call.
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

/// Identifies the sender of a TCP connection, as its first message. Link does not send it.
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

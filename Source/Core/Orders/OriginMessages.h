// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <array>
#include <cstdint>
#include <cstring>
#include <vector>

#include <cereal/types/array.hpp>

#include "Daemons/Codec.h"
#include "Fleet/MemberList.h"
#include "Gateway/StreamOrigins.h"
#include "Orders/Messages.h"

namespace Orders
{
/// A stream's key has eight random bytes, which a varint would make longer.
using StreamKeyBytes = std::array<std::uint8_t, sizeof(Gateway::StreamKey)>;

inline StreamKeyBytes ToBytes(Gateway::StreamKey stream)
{
  StreamKeyBytes bytes{};
  std::memcpy(bytes.data(), &stream, bytes.size());
  return bytes;
}

inline Gateway::StreamKey ToStreamKey(const StreamKeyBytes& bytes)
{
  Gateway::StreamKey stream{};
  std::memcpy(&stream, bytes.data(), bytes.size());
  return stream;
}

/// A copy of a stream's origin.
struct OriginCopy
{
  StreamKeyBytes stream{};
  Gateway::VersionKey version{};
  std::int64_t age_ms = 0;    ///< Time since the stream's last event that was noted.
  Fleet::PlaceHash place = 0; ///< Data centre of the daemon through which the stream began.
  /// That daemon. Empty if it is the sender.
  std::vector<PeerAddress> daemon;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(stream, version, age_ms, place, daemon);
  }
};

/// Asks which software version began a stream that a caller resumes.
struct OriginQuery
{
  StreamKeyBytes stream{};
  std::uint64_t nonce = 0; ///< Random, so that only a daemon that was asked can reply.
  Gateway::PoolId pool;    ///< That would serve the stream if its origin stays unknown.

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(stream, nonce, pool);
  }
};

/// Reply of a daemon, also if it does not know the origin.
struct OriginReply
{
  std::uint64_t nonce = 0;
  std::vector<OriginCopy> origin; ///< At most one.
  /// If the origin is not known: see `Gateway::OriginEvidence`.
  std::vector<Gateway::VersionKey> versions;
  /// The sender's entries are likely to be the newest ones. Read by earlier releases only.
  bool is_current = false;
  bool has_history = false;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(nonce, origin, versions, is_current, has_history);
  }
};

/// A datagram about the origins of streams.
struct OriginMessage
{
  /// The first byte; no `Envelope` begins with it.
  static constexpr std::uint8_t MARKER = 0xfe;

  std::uint8_t marker = MARKER;
  std::vector<OriginCopy> copies;
  std::vector<OriginQuery> queries;
  std::vector<OriginReply> replies;
  /// The sender, if it has just started and requests the copies that it should keep; at most one.
  std::vector<Fleet::ListedDaemon> started;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(marker, copies, queries, replies, started);
  }
};

/// A change of the list of daemons, from the holder of the order lease.
struct MemberUpdate
{
  std::int64_t fence = 0; ///< Of the holder's lease.
  std::uint64_t from = 0; ///< Checksum of the list to which the change applies.
  std::uint64_t to = 0;   ///< Checksum of the list after it.
  std::vector<Fleet::ListedDaemon> added;
  std::vector<Fleet::ListedDaemon> removed;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(fence, from, to, added, removed);
  }
};

/// The whole list, in response to a request.
struct MemberSnapshot
{
  std::vector<Fleet::ListedDaemon> daemons;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(daemons);
  }
};

/// A datagram about the list of daemons.
struct MemberMessage
{
  /// The first byte; no `Envelope` begins with it.
  static constexpr std::uint8_t MARKER = 0xfd;

  std::uint8_t marker = MARKER;
  std::vector<MemberUpdate> updates;     ///< At most one.
  bool requests_snapshot = false;        ///< The sender lacks the whole list.
  std::vector<MemberSnapshot> snapshots; ///< At most one.

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(marker, updates, requests_snapshot, snapshots);
  }
};
} // namespace Orders

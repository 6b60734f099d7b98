// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <utility>
#include <vector>

#include "Fleet/MemberList.h"
#include "Gateway/StreamOrigins.h"

/// Decides which daemons keep copies of the origins of streams. Every daemon derives the same ones
/// from the stream's key and the list of daemons, by rendezvous hashing, so that no daemon has to
/// be present for another one to find a copy.
namespace Orders
{
/// Streams are placed in groups, so that what a change of the list moves is determined once for
/// each group.
enum class OriginGroup : std::uint16_t
{
};
constexpr std::size_t ORIGIN_GROUPS = 1024;
OriginGroup GroupOf(Gateway::StreamKey stream);
/// The first and the last key of the group.
std::pair<Gateway::StreamKey, Gateway::StreamKey> KeysOf(OriginGroup group);

/// Streams are kept in the platform's store in shards, each of which has several groups.
enum class OriginShard : std::uint8_t
{
};
constexpr std::size_t ORIGIN_SHARDS = 64;
OriginShard ShardOf(Gateway::StreamKey stream);
/// The first group of the shard. The daemons that are asked for its streams read the shard.
OriginGroup FirstGroupOf(OriginShard shard);

/// Copies of an origin, besides the one of the daemon through which the stream began.
inline constexpr std::size_t ORIGIN_COPIES = 2;
/// How many daemons of each data centre are asked for an origin, and how many of all at least.
/// Daemons with different lists of daemons rank a data centre's first ones differently.
inline constexpr std::size_t ASKED_PER_PLACE = 2;
inline constexpr std::size_t MIN_ASKED = 12;

/// The daemons that keep the copies of a group's streams: one in the data centre of the daemon
/// through which the stream began, so that a copy is in reach while the data centre is cut off, and
/// one in another, so that a copy survives the loss of the data centre.
class CopyPlacement
{
public:
  CopyPlacement(std::span<const Fleet::ListedDaemon> daemons, OriginGroup group);
  /// Of a stream that began through `daemon` in data centre `place`.
  std::vector<Http::Endpoint> DaemonsFor(const Http::Endpoint& daemon,
                                         Fleet::PlaceHash place) const;

private:
  struct Ranked
  {
    std::uint64_t weight = 0;
    Http::Endpoint daemon;
    Fleet::PlaceHash place = 0;
  };

  /// The first daemons of each data centre, as many as copies and the one of the begin; those with
  /// the highest weight first.
  std::vector<Ranked> m_first;
};

/// The same for a single stream.
std::vector<Http::Endpoint> DaemonsForCopies(std::span<const Fleet::ListedDaemon> daemons,
                                             OriginGroup group, const Http::Endpoint& daemon,
                                             Fleet::PlaceHash place);

/// The daemons that `asking` asks for the origin of a stream; they include those that keep its
/// copies, wherever it began.
std::vector<Http::Endpoint> DaemonsToAsk(std::span<const Fleet::ListedDaemon> daemons,
                                         OriginGroup group, const Http::Endpoint& asking);
} // namespace Orders

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <vector>

#include "Common/Units.h"
#include "RateLimits/Messages.h"

/// Messages about places at brittle servers. A brittle server crashes if it has to reject too many
/// requests, so that all daemons together must not send it more than it can run. Each request to
/// such a server needs one of its places, which the holder of the order lease grants.
namespace RateLimits
{
/// Identifies requests that the same servers can take.
using PlaceGroup = Common::Quantity<struct PlaceGroupTag>;

/// Places of one server that a daemon has: in use, or free for its next requests.
struct HeldPlaces
{
  ServerKey server;
  std::uint32_t count = 0;

  bool operator==(const HeldPlaces&) const = default;
  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(server, count);
  }
};

/// Requests of a daemon that wait for a place at any of these servers.
struct PlaceDemand
{
  PlaceGroup group;
  std::vector<ServerKey> servers;
  std::uint32_t count = 0;
  std::int32_t priority = 9;      ///< Of the most urgent request.
  std::int64_t expires_in_ms = 0; ///< Time until the first request times out, for the order.

  bool operator==(const PlaceDemand&) const = default;
  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(group, servers, count, priority, expires_in_ms);
  }
};

/// All that a daemon reports about places. A report replaces the one before.
struct PlaceReport
{
  std::int64_t applied_tenure = 0;  ///< Of the last grants that the daemon has applied.
  std::uint64_t applied_number = 0; ///< Number of the reply with those grants.
  std::vector<HeldPlaces> held;
  std::vector<PlaceDemand> demands;
  /// The daemon uses places without a holder until it gets a reply.
  bool needs_reply = false;

  bool Empty() const { return held.empty() && demands.empty() && !needs_reply; }
  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(applied_tenure, applied_number, held, demands, needs_reply);
  }
};

/// The queue of one group, as far as the holder knows it.
struct PlaceQueue
{
  PlaceGroup group;
  std::uint32_t waiting_elsewhere = 0; ///< Requests of other daemons.
  std::uint32_t places = 0;            ///< Of all servers of the group.

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(group, waiting_elsewhere, places);
  }
};

/// A place may be taken by new requests for this long, counted like PERMIT_VALID. A daemon with
/// further requests asks for it again, so that all daemons get their turn.
constexpr Common::Milliseconds PLACE_TERM{500};
} // namespace RateLimits

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

#include "Common/Units.h"
#include "RateLimits/RequestRate.h"

namespace RateLimits
{
/// Identifies one instance (one start) of a backend server in tables and messages.
using ServerKey = Common::Quantity<struct ServerKeyTag>;

/// Lower and upper bounds of all keys.
constexpr ServerKey FIRST_KEY{std::numeric_limits<std::int64_t>::min()};
constexpr ServerKey LAST_KEY{std::numeric_limits<std::int64_t>::max()};

/// Encodes the absence of a limit in messages.
constexpr RequestRate NO_LIMIT{-1};

constexpr RequestRate ToWire(std::optional<RequestRate> rate)
{
  return rate.value_or(NO_LIMIT);
}
constexpr std::optional<RequestRate> FromWire(RequestRate rate)
{
  return rate.Get() < 0 ? std::nullopt : std::optional(rate);
}

/// A limit that a daemon read in a response and the holder of the order lease does not know yet.
struct LimitObservation
{
  ServerKey server;
  RequestRate rate;
  /// The last version of this limit that the daemon knew when it read the response.
  std::uint32_t seen_version = 0;
  std::int64_t age_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(server, rate, seen_version, age_ms);
  }
};

/// The limit of one server, sent by the holder of the order lease to all daemons.
struct LimitLine
{
  ServerKey server;
  RequestRate rate;          ///< NO_LIMIT if the limit was removed recently.
  std::uint32_t version = 0; ///< Incremented on each change.
  std::uint32_t waiting = 0; ///< Requests of all daemons waiting for a permit.
  /// Time until the next permit is available, if no request waits.
  std::uint32_t free_in_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(server, rate, version, waiting, free_in_ms);
  }
};
/// The limits of all servers with keys above `after` and up to `up_to`. Servers in this range
/// without a line have no limit.
struct LimitUpdate
{
  ServerKey after;
  ServerKey up_to;
  std::vector<LimitLine> lines; ///< Sorted by key.

  bool Covers(ServerKey server) const { return after < server && server <= up_to; }

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(after, up_to, lines);
  }
};

/// A daemon's demand for permits for one server: one permit for each waiting request.
struct PermitDemand
{
  ServerKey server;
  std::uint32_t count = 0;
  std::int32_t priority = 9;      ///< Of the most urgent request.
  std::int64_t expires_in_ms = 0; ///< Time until the first request times out.
  std::uint32_t unused = 0;       ///< Permits that expired unused since the last message.
  /// Requests that this server could have served were routed elsewhere; one may be sent to check
  /// whether the limit still applies.
  bool may_probe = false;

  bool operator==(const PermitDemand&) const = default;
  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(server, count, priority, expires_in_ms, unused, may_probe);
  }
};

/// The position of a daemon's requests in the queue for one server.
struct PositionLine
{
  ServerKey server;
  std::uint32_t ahead = 0;      ///< Requests of other daemons that are served first.
  std::uint32_t free_in_ms = 0; ///< Time until the next permit is available.

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(server, ahead, free_in_ms);
  }
};

/// Permits granted to a daemon for one server.
struct PermitLine
{
  ServerKey server;
  std::uint32_t count = 0;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(server, count);
  }
};

/// The rate at which a daemon may send to one server while it cannot reach the holder.
struct StandbyLine
{
  ServerKey server;
  RequestRate rate;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(server, rate);
  }
};

/// Validity of a permit, counted from the daemon's request for it or, if the holder granted it
/// later without a new request, from the grant.
constexpr Common::Milliseconds PERMIT_VALID{500};

/// Fraction of a server's limit that all daemons together may send while they cannot reach the
/// holder. Added to the permits of the next holder, which other daemons may already receive, the
/// total stays within one and a half times the limit.
constexpr double WITHOUT_HOLDER_SHARE = 0.4;

/// Minimum requests per second sent to a limited server, even if its limit is 0: a server announces
/// the end of its limit only in a response, so some requests must reach it.
constexpr double MIN_SEND_RATE = 0.5;

/// Requests per second that are sent to a server with this limit.
constexpr double SendRate(RequestRate rate)
{
  return PerSecond(rate) > MIN_SEND_RATE ? PerSecond(rate) : MIN_SEND_RATE;
}
} // namespace RateLimits

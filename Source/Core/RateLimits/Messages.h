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
/// Stands for one life of one backend server in books and messages.
using ServerKey = Common::Quantity<struct ServerKeyTag>;

/// Before all keys and behind them.
constexpr ServerKey FIRST_KEY{std::numeric_limits<std::int64_t>::min()};
constexpr ServerKey LAST_KEY{std::numeric_limits<std::int64_t>::max()};

/// A rate in messages; NO_LIMIT where there is none.
constexpr RequestRate NO_LIMIT{-1};

constexpr RequestRate ToWire(std::optional<RequestRate> rate)
{
  return rate.value_or(NO_LIMIT);
}
constexpr std::optional<RequestRate> FromWire(RequestRate rate)
{
  return rate.Get() < 0 ? std::nullopt : std::optional(rate);
}

/// What a daemon read in a server's answer and the holder of the order lease does not know yet.
struct LimitObservation
{
  ServerKey server;
  RequestRate rate;
  /// The holder's last change of this limit that the daemon knew of when it sent the request.
  std::uint32_t seen_version = 0;
  std::int64_t age_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(server, rate, seen_version, age_ms);
  }
};

/// The limit of one server as the holder of the order lease tells all daemons.
struct LimitLine
{
  ServerKey server;
  RequestRate rate;          ///< NO_LIMIT: it has ended lately.
  std::uint32_t version = 0; ///< Rises with each change.
  std::uint32_t waiting = 0; ///< Requests of all daemons that wait for a permit.
  /// Until the next permit is free, where none waits.
  std::uint32_t free_in_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(server, rate, version, waiting, free_in_ms);
  }
};
/// The limits of all servers whose keys lie behind `after`, up to `up_to`. Servers in between
/// without a line have no limit.
struct LimitNews
{
  ServerKey after;
  ServerKey up_to;
  std::vector<LimitLine> lines; ///< By rising keys.

  bool Covers(ServerKey server) const { return after < server && server <= up_to; }

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(after, up_to, lines);
  }
};

/// What a daemon wants of one server with a limit: one permit for each request that waits for it.
struct PermitWant
{
  ServerKey server;
  std::uint32_t count = 0;
  std::int32_t priority = 9;    ///< Of the most urgent request.
  std::int64_t gives_up_ms = 0; ///< Until the first request gives up.
  std::uint32_t unused = 0;     ///< Permits that were not used in time, since it was told last.
  /// Requests went elsewhere that could have gone there: one may go to see whether the limit holds.
  bool may_probe = false;

  bool operator==(const PermitWant&) const = default;
  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(server, count, priority, gives_up_ms, unused, may_probe);
  }
};

/// The place of one daemon's requests in the queue for one server.
struct PlaceLine
{
  ServerKey server;
  std::uint32_t ahead = 0;      ///< Other daemons' requests that come first.
  std::uint32_t free_in_ms = 0; ///< Until the next permit is free.

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(server, ahead, free_in_ms);
  }
};

/// Permits of one daemon for one server.
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

/// What a daemon may send to one server while it hears no holder.
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

/// So long after the daemon asked, or the holder granted it without being asked anew, a permit may
/// be used.
constexpr Common::Milliseconds PERMIT_VALID{500};

/// Of a server's requests a second, what daemons may send together while they hear no holder. With
/// the next holder's permits, that others hear already, it stays within one and a half times the
/// limit.
constexpr double UNHEARD_SHARE = 0.4;

/// A server tells only in an answer that its limit has ended, so that some request must reach it
/// even where it takes none: so many a second.
constexpr double LEAST_FLOW = 0.5;

/// The requests a second that are sent to a server with this limit.
constexpr double FlowPerSecond(RequestRate rate)
{
  return PerSecond(rate) > LEAST_FLOW ? PerSecond(rate) : LEAST_FLOW;
}
} // namespace RateLimits

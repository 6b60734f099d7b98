// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <optional>

#include "Common/Units.h"
#include "RateLimits/RequestRate.h"

namespace RateLimits
{
/// Stands for one life of one backend server in books and messages.
using ServerKey = Common::Quantity<struct ServerKeyTag>;

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

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(server, rate, version, waiting);
  }
};
} // namespace RateLimits

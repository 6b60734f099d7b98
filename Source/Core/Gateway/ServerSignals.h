// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "Common/Units.h"
#include "Gateway/Types.h"
#include "Http/MessageParser.h"
#include "RateLimits/RequestRate.h"

namespace Gateway
{
/// A header with an invalid value. The response is treated as if it lacked the header.
struct InvalidHeader
{
  std::string header;
  std::string value;
};

/// What the response headers state about the server that sent the response.
struct ServerSignals
{
  /// The instance that responded; unset if the header is absent.
  std::optional<std::string> instance;
  bool not_run = false;  ///< The request was rejected before it ran.
  bool accepted = false; ///< The server accepted the request, whatever its outcome.
  bool draining = false; ///< The server is about to shut down.
  /// Retry-After of a rejection: how long this VM should back off. Unset if there is none.
  std::optional<Common::Milliseconds> backoff;
  /// How much longer the server is cold; unset if it does not state it.
  std::optional<Common::Milliseconds> cold_left;
  /// Rejections per second, of all daemons together, that the server bears; unset if it has no such
  /// limit.
  std::optional<double> rejection_limit;
  RateLimits::LimitReading limit;
  std::vector<InvalidHeader> invalid; ///< Except the limit, see LimitReading.
};

/// Upper bound for a server's Retry-After; longer values are clamped.
constexpr Common::Milliseconds MAX_BACKOFF = std::chrono::hours(24);

/// Parses the signals in the response headers. If a header occurs more than once, the strictest
/// value applies: draining, the longest time, the lowest limit. Retry-After may be a number of
/// seconds, also fractional, or a date, which is taken relative to `now`.
ServerSignals ReadSignals(int status, std::span<const Http::HeaderField> headers,
                          const HeaderNames& names, std::chrono::system_clock::time_point now);
} // namespace Gateway

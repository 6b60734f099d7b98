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
/// A header whose value has no meaning here; the answer is read as if it lacked it.
struct UnreadableSignal
{
  std::string header;
  std::string value;
};

/// What the head of an answer tells of the server that made it.
struct ServerSignals
{
  /// The process that answered; nothing where it does not tell.
  std::optional<std::string> instance;
  bool not_run = false;  ///< The request was rejected before it ran.
  bool accepted = false; ///< The server has taken the request on, whatever became of it.
  bool draining = false; ///< The server is about to leave.
  /// Of a rejection: this VM should back off for so long. Nothing where no time is named.
  std::optional<Common::Milliseconds> backoff;
  RateLimits::LimitReading limit;
  std::vector<UnreadableSignal> unreadable; ///< But for the limit, which tells by itself.
};

/// The longest time for which a server's Retry-After is kept.
constexpr Common::Milliseconds LONGEST_BACKOFF = std::chrono::hours(24);

/// Reads what the head of an answer tells of its server. A server that names something more than
/// once is taken at its strictest: draining, the longest time, the lowest limit. Retry-After may be
/// a number of seconds, with fractions, or a date, which counts against `now`.
ServerSignals ReadSignals(int status, std::span<const Http::HeaderField> headers,
                          const HeaderNames& names, std::chrono::system_clock::time_point now);
} // namespace Gateway

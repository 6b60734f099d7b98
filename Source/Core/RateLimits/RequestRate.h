// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "Common/Units.h"

/// Limits on the requests per second that a backend server accepts from all daemons together, as
/// the server states them in its responses. All code here is deterministic: time is a parameter.
namespace RateLimits
{
/// Requests per second, in thousandths.
using RequestRate = Common::Quantity<struct RequestRateTag>;

constexpr std::int64_t THOUSANDTHS = 1000;

constexpr double PerSecond(RequestRate rate)
{
  return static_cast<double>(rate.Get()) / THOUSANDTHS;
}

/// The limit stated in one response of a server.
struct LimitReading
{
  bool readable = true;            ///< False if a value is not a decimal number.
  std::optional<RequestRate> rate; ///< The lowest stated limit; nullopt if there is none.
  std::string unreadable;          ///< The first value that is not a decimal number.
};

/// Parses the values of all limit headers of one response. A rate above what any server can handle
/// counts as no limit.
LimitReading ReadLimit(std::span<const std::string_view> values);

/// For logs and dumps: "none" or the requests per second.
std::string Describe(std::optional<RequestRate> rate);
} // namespace RateLimits

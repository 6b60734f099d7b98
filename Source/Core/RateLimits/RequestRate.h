// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "Common/Units.h"

/// Limits on the requests a second that a backend server takes from all daemons together, as the
/// server itself names them in its answers. Everything here is pure: time is a parameter.
namespace RateLimits
{
/// Requests a second, in thousandths.
using RequestRate = Common::Quantity<struct RequestRateTag>;

constexpr std::int64_t THOUSANDTHS = 1000;

constexpr double PerSecond(RequestRate rate)
{
  return static_cast<double>(rate.Get()) / THOUSANDTHS;
}

/// What one answer says of its server's limit.
struct LimitReading
{
  bool readable = true;            ///< False where a value is not a decimal number.
  std::optional<RequestRate> rate; ///< The lowest that is named; nothing where there is no limit.
  std::string unreadable;          ///< The first value that is none.
};

/// Reads the values of all limit headers of one answer. A rate beyond all that a server can take is
/// the same as no limit.
LimitReading ReadLimit(std::span<const std::string_view> values);

/// For logs and dumps: "none" or requests a second.
std::string Describe(std::optional<RequestRate> rate);
} // namespace RateLimits

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "RateLimits/RequestRate.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

#include "Common/Decimal.h"

namespace RateLimits
{
namespace
{
/// Requests per second; no server accepts this many.
constexpr double UNLIMITED_FROM = 1e6;
} // namespace

LimitReading ReadLimit(std::span<const std::string_view> values)
{
  LimitReading reading;
  for (const std::string_view value : values)
  {
    const auto number = Common::ParseDecimal(value);
    if (!number)
    {
      if (std::exchange(reading.readable, false))
        reading.unreadable = value;
      continue;
    }
    if (*number >= UNLIMITED_FROM)
      continue;
    // Rounded down, so that a server never gets more than it states.
    const RequestRate rate(static_cast<std::int64_t>(std::floor(*number * THOUSANDTHS)));
    reading.rate = std::min(reading.rate.value_or(rate), rate);
  }
  return reading;
}

std::string Describe(std::optional<RequestRate> rate)
{
  if (!rate)
    return "none";
  char text[32];
  std::snprintf(text, sizeof(text), "%g", PerSecond(*rate));
  return text;
}
} // namespace RateLimits

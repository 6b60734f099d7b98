// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "RateLimits/RequestRate.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace RateLimits
{
namespace
{
/// Requests a second; no server takes so many.
constexpr double UNLIMITED_FROM = 1e6;

bool IsDigitOrPoint(char c)
{
  return (c >= '0' && c <= '9') || c == '.';
}

/// A decimal number without sign or exponent.
std::optional<double> ParseDecimal(std::string_view text)
{
  const auto last = text.find_last_not_of(" \t");
  text = text.substr(0, last == std::string_view::npos ? 0 : last + 1);
  if (text.empty() || !std::ranges::all_of(text, IsDigitOrPoint))
    return std::nullopt;
  double number = 0;
  const auto read =
      std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
  if (read.ec == std::errc::result_out_of_range)
    return UNLIMITED_FROM;
  if (read.ec != std::errc() || read.ptr != text.data() + text.size())
    return std::nullopt;
  return number;
}
} // namespace

LimitReading ReadLimit(std::span<const std::string_view> values)
{
  LimitReading reading;
  for (const std::string_view value : values)
  {
    const auto number = ParseDecimal(value);
    if (!number)
    {
      reading.readable = false;
      continue;
    }
    if (*number >= UNLIMITED_FROM)
      continue;
    // Rounded down: a server is never sent more than it names.
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

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/ServerSignals.h"

#include <algorithm>
#include <string_view>

#include "Common/Decimal.h"
#include "Common/Text.h"
#include "Http/HttpDate.h"

namespace Gateway
{
namespace
{
using Common::Milliseconds;

constexpr std::string_view DRAINING = "1";
constexpr std::string_view NOT_DRAINING = "0";
constexpr int STATUS_TOO_MANY_REQUESTS = 429;
constexpr int STATUS_UNAVAILABLE = 503;
constexpr int STATUS_MISDIRECTED = 421;
/// Upper bound for the time that a server states to be cold; longer values are clamped.
constexpr Milliseconds MAX_COLD_TIME = std::chrono::minutes(1);

std::vector<std::string> ValuesOf(std::span<const Http::HeaderField> headers,
                                  const std::string& name)
{
  std::vector<std::string> values;
  for (const Http::HeaderField& field : headers)
    if (Http::EqualIgnoringCase(field.name, name))
      values.push_back(field.value);
  return values;
}

std::optional<Milliseconds> ReadRetryAfter(const std::string& value,
                                           std::chrono::system_clock::time_point now)
{
  if (const auto seconds = Common::ParseDecimal(value))
  {
    const std::chrono::duration<double> span(*seconds);
    return span < MAX_BACKOFF ? std::chrono::ceil<Milliseconds>(span) : MAX_BACKOFF;
  }
  const auto date = Http::ParseHttpDate(value);
  if (!date)
    return std::nullopt;
  return std::clamp(std::chrono::ceil<Milliseconds>(*date - now), Milliseconds(0), MAX_BACKOFF);
}

std::optional<Milliseconds> ReadColdTime(const std::string& value)
{
  const auto number = Common::ParseDecimal(value);
  if (!number)
    return std::nullopt;
  const std::chrono::duration<double, std::milli> left(*number);
  return left < MAX_COLD_TIME ? std::chrono::ceil<Milliseconds>(left) : MAX_COLD_TIME;
}

bool IsRejectionForLoad(int status)
{
  return status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY_REQUESTS;
}
} // namespace

ServerSignals ReadSignals(int status, std::span<const Http::HeaderField> headers,
                          const HeaderNames& names, std::chrono::system_clock::time_point now)
{
  ServerSignals signals;
  if (const auto instances = ValuesOf(headers, names.instance); !instances.empty())
    signals.instance = instances.front();
  signals.not_run = !ValuesOf(headers, names.not_run).empty() || status == STATUS_MISDIRECTED;
  signals.accepted = !signals.not_run && !IsRejectionForLoad(status);
  for (const std::string& value : ValuesOf(headers, names.draining))
  {
    const std::string_view text = Common::TrimTrailingBlanks(value);
    signals.draining = signals.draining || text == DRAINING;
    if (text != DRAINING && text != NOT_DRAINING)
      signals.invalid.push_back({names.draining, value});
  }
  if (IsRejectionForLoad(status))
    for (const std::string& value : ValuesOf(headers, names.retry_after))
    {
      const auto span = ReadRetryAfter(value, now);
      if (span)
        signals.backoff = std::max(signals.backoff.value_or(*span), *span);
      else
        signals.invalid.push_back({names.retry_after, value});
    }
  for (const std::string& value : ValuesOf(headers, names.cold_left))
  {
    const auto left = ReadColdTime(value);
    if (left)
      signals.cold_left = std::max(signals.cold_left.value_or(*left), *left);
    else
      signals.invalid.push_back({names.cold_left, value});
  }
  for (const std::string& value : ValuesOf(headers, names.rejection_limit))
  {
    const auto limit = Common::ParseDecimal(value);
    if (limit)
      signals.rejection_limit = std::min(signals.rejection_limit.value_or(*limit), *limit);
    else
      signals.invalid.push_back({names.rejection_limit, value});
  }
  const auto limits = ValuesOf(headers, names.request_limit);
  const std::vector<std::string_view> limit_values(limits.begin(), limits.end());
  signals.limit = RateLimits::ReadLimit(limit_values);
  return signals;
}
} // namespace Gateway

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <initializer_list>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

namespace Common
{
enum class LogLevel
{
  Info,
  Warning,
  Error,
};

/// A `key=value` pair of a log line.
struct LogField
{
  template <typename T>
  LogField(std::string_view field_key, const T& field_value) : key(field_key)
  {
    if constexpr (std::is_convertible_v<const T&, std::string_view>)
    {
      value = std::string_view(field_value);
    }
    else if constexpr (std::is_integral_v<T>)
    {
      value = std::to_string(field_value);
    }
    else
    {
      std::ostringstream text;
      text << field_value;
      value = text.str();
    }
  }

  std::string_view key;
  std::string value;
};

/// Counts of log lines by outcome, for the metrics.
struct LogCounters
{
  std::int64_t written = 0;
  std::int64_t suppressed = 0; ///< Over the rate limit of the event.
  std::int64_t dropped = 0;    ///< Discarded since the reader of the output was too slow.
};

/// Directs the log to standard output, one line per event: time (UTC), level, program,
/// `event=NAME`, then `key=value` pairs. GLib messages are logged in the same format. Writing never
/// blocks: if the reader is slow, lines are kept in a bounded buffer; when it is full, further
/// lines are dropped and counted.
void InitLog(const char* program);

/// Writes a log line. Each event has a limit of lines per second, which is higher for warnings and
/// errors. The number of suppressed lines is reported on a later line of the event.
void LogEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

/// Disables the output, for tests. Lines are still counted.
void MuteLog();

/// Writes the buffered lines, at process exit.
void FlushLog();

const LogCounters& GetLogCounters();
} // namespace Common

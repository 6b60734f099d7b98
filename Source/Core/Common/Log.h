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

/// One `key=value` of a log line.
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

/// What became of log lines; read by the metrics.
struct LogCounters
{
  std::int64_t written = 0;
  std::int64_t suppressed = 0; ///< Over an event's budget.
  std::int64_t dropped = 0;    ///< The reader of the output was too slow.
};

/// Sends the log to standard output, one line an event: time (UTC), level, program, `event=NAME`,
/// then `key=value` pairs. GLib's own messages take the same form. Writing never blocks: where the
/// reader is slow, lines wait in a bounded buffer and are then dropped and counted.
void InitLog(const char* program);

/// Writes one line for one event. Each event has a budget of lines a second, larger for warnings
/// and errors; what was left out is counted on the event's next line.
void LogEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

/// No more lines are written; for tests.
void MuteLog();

/// Writes what still waits; for the end of the process.
void FlushLog();

const LogCounters& CountLogLines();
} // namespace Common

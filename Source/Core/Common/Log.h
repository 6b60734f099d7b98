// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

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
    std::ostringstream text;
    text << field_value;
    value = text.str();
  }

  std::string_view key;
  std::string value;
};

/// Directs the log to standard error; `program` stands at the head of each line.
void InitLog(const char* program);

/// Writes one line for one event: its name, then `key=value` pairs. The same event is written at
/// most forty times a second; what was left out is counted on the next line.
void LogEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);
} // namespace Common

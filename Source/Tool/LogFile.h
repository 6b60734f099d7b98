// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "Common/Failure.h"

namespace Tool
{
/// One line that a daemon has logged.
struct LogLine
{
  std::string file;
  std::size_t number = 0; ///< In the file, from 1.
  /// From the timestamp on, without what a log collector put before it. The whole line if it has no
  /// timestamp.
  std::string text;
  /// False for the last line of a file if it lacks its line end: the daemon ended while it wrote.
  bool complete = true;

  /// The time of the line such as "2026-12-02T16:00:00.000", or an empty string.
  std::string Timestamp() const;
  /// The file and the line number for error messages.
  std::string Position() const { return file + ":" + std::to_string(number); }
};

/// Fields of a log line by key; quotes are removed.
using LogFields = std::map<std::string, std::string, std::less<>>;

/// Parses the fields `key=value` and `key="value"` after the program's name. Fails with
/// InvalidInput if a quoted value does not end.
Common::Result<LogFields> ParseFields(std::string_view text);

/// Returns the value of `key=value` or `key="value"` in a line, or an empty string.
std::string FieldValue(const std::string& line, const std::string& key);

/// Calls `visit` for each line of the file that has an event, until it returns a failure, which is
/// returned. Fails with InvalidInput if the file cannot be read.
Common::Result<Common::Done>
ReadLogFile(const std::string& file,
            const std::function<std::optional<Common::Failure>(LogLine)>& visit);
} // namespace Tool

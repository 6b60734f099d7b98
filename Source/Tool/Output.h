// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <string>
#include <vector>

#include "Common/Json.h"

namespace Tool
{
enum class ExitStatus
{
  Ok = 0,
  Failed = 1,      ///< The operation failed.
  Usage = 2,       ///< Invalid command line or input file.
  Conflict = 3,    ///< The table was changed by another edit in the meantime.
  Unreachable = 4, ///< No response from the daemon or the platform.
};

/// Prints a heading and rows in aligned columns. The heading is bold on a terminal.
void PrintColumns(const std::vector<std::string>& heading,
                  const std::vector<std::vector<std::string>>& rows);

/// Formats a JSON value for display: strings without quotes, anything else as JSON.
std::string DisplayText(const Common::Json& value);
} // namespace Tool

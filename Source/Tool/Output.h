// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <string>
#include <vector>

#include "Common/Json.h"

namespace Tool
{
/// Exit statuses of the tool.
enum class ExitStatus
{
  Ok = 0,
  Failed = 1,      ///< The operation failed.
  Usage = 2,       ///< Wrong command line or wrong table file.
  Conflict = 3,    ///< Another edit came first.
  Unreachable = 4, ///< The daemon or the platform does not answer.
};

/// Prints rows under a heading, in columns.
void PrintColumns(const std::vector<std::string>& heading,
                  const std::vector<std::vector<std::string>>& rows);

/// The text of a JSON value: strings without quotes.
std::string Text(const Common::Json& value);
} // namespace Tool

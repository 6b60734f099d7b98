// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "Table/Row.h"

namespace Table
{
/// An error in one cell or line of a table file.
struct CellError
{
  int line = 0;   ///< Starts at 1, which is the heading.
  int column = 0; ///< Starts at 1; 0 if the error concerns the whole line.
  std::string message;
};

/// The rows of a file and the errors found in it.
struct CsvContent
{
  std::vector<Row> rows;
  std::vector<int> lines; ///< The line number of each element of `rows`.
  std::vector<CellError> errors;
};

/// Returns the heading that every table file starts with.
std::string CsvHeading();

/// Parses a CSV file (RFC 4180, with libcsv). Lines whose first cell starts with '#' are comments.
CsvContent ReadCsv(std::string_view text);

/// Formats rows as a CSV file that `ReadCsv` can parse.
std::string WriteCsv(const std::vector<Row>& rows);

/// Checks the rows against each other: parents, duplicates and sums. `lines` holds the line number
/// of each row, for the errors.
std::vector<CellError> CheckRows(const std::vector<Row>& rows, const std::vector<int>& lines);
} // namespace Table

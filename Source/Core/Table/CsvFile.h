// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "Table/Row.h"

namespace Table
{
/// What is wrong in one cell of a table file.
struct CellError
{
  int line = 0;   ///< From 1; the heading is line 1.
  int column = 0; ///< From 1; 0 where the whole line is meant.
  std::string message;
};

/// The rows of a file, or everything that is wrong with it.
struct CsvContent
{
  std::vector<Row> rows;
  std::vector<int> lines; ///< The line of each row.
  std::vector<CellError> errors;
};

/// The heading that every table file begins with.
std::string CsvHeading();

/// Reads a whole CSV file (RFC 4180, by libcsv). Lines whose first cell starts with '#' are notes.
CsvContent ReadCsv(std::string_view text);

/// Writes rows so that `ReadCsv` gives them back.
std::string WriteCsv(const std::vector<Row>& rows);

/// Checks the rows against each other: parents, duplicates, sums. Lines give the places.
std::vector<CellError> CheckRows(const std::vector<Row>& rows, const std::vector<int>& lines);
} // namespace Table

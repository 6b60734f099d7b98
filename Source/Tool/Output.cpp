// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Tool/Output.h"

#include <algorithm>
#include <iostream>

#include <unistd.h>

namespace Tool
{
namespace
{
void PrintRow(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths)
{
  std::string line;
  for (std::size_t index = 0; index < cells.size(); ++index)
  {
    std::string cell = cells[index];
    if (index + 1 < cells.size())
      cell.resize(std::max(cell.size(), widths[index] + 2), ' ');
    line += cell;
  }
  std::cout << line << "\n";
}
} // namespace

void PrintColumns(const std::vector<std::string>& heading,
                  const std::vector<std::vector<std::string>>& rows)
{
  std::vector<std::size_t> widths;
  std::ranges::transform(heading, std::back_inserter(widths), &std::string::size);
  for (const auto& row : rows)
    for (std::size_t index = 0; index < row.size(); ++index)
      widths[index] = std::max(widths[index], row[index].size());
  const bool terminal = isatty(STDOUT_FILENO) != 0;
  if (terminal)
    std::cout << "\033[1m";
  PrintRow(heading, widths);
  if (terminal)
    std::cout << "\033[0m";
  for (const auto& row : rows)
    PrintRow(row, widths);
}

std::string DisplayText(const Common::Json& value)
{
  return value.is_string() ? value.get<std::string>() : Common::DumpJson(value);
}
} // namespace Tool

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Common/Decimal.h"

#include <algorithm>
#include <charconv>
#include <limits>

#include "Common/Text.h"

namespace Common
{
namespace
{
bool IsDigitOrPoint(char c)
{
  return (c >= '0' && c <= '9') || c == '.';
}
} // namespace

std::optional<double> ParseDecimal(std::string_view text)
{
  text = TrimTrailingBlanks(text);
  if (text.empty() || !std::ranges::all_of(text, IsDigitOrPoint))
    return std::nullopt;
  double number = 0;
  const auto read =
      std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
  if (read.ec == std::errc::result_out_of_range)
    return std::numeric_limits<double>::infinity();
  if (read.ec != std::errc() || read.ptr != text.data() + text.size())
    return std::nullopt;
  return number;
}
} // namespace Common

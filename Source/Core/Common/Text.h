// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <string_view>

namespace Common
{
/// Removes trailing blanks. They are not part of a header value (RFC 9110, 5.5), but the parser
/// keeps them.
inline std::string_view TrimTrailingBlanks(std::string_view text)
{
  const auto last = text.find_last_not_of(" \t");
  return text.substr(0, last == std::string_view::npos ? 0 : last + 1);
}
} // namespace Common

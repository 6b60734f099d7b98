// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Http/MessageSyntax.h"

#include <algorithm>

namespace Http
{
namespace
{
constexpr std::string_view VERSION_PREFIX = "HTTP/1.";

bool IsDigit(char c)
{
  return c >= '0' && c <= '9';
}

bool IsLetter(char c)
{
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

bool IsHexDigit(char c)
{
  return IsDigit(c) || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
}

bool IsTokenByte(char c)
{
  constexpr std::string_view SYMBOLS = "!#$%&'*+-.^_`|~";
  return IsDigit(c) || IsLetter(c) || SYMBOLS.find(c) != std::string_view::npos;
}

bool IsToken(std::string_view text)
{
  return !text.empty() && std::ranges::all_of(text, IsTokenByte);
}

/// Visible ASCII characters and bytes beyond ASCII.
bool IsVisibleByte(char c)
{
  constexpr unsigned char FIRST_VISIBLE = 0x21;
  constexpr unsigned char DEL = 0x7f;
  const auto byte = static_cast<unsigned char>(c);
  return byte >= FIRST_VISIBLE && byte != DEL;
}

bool IsTextByte(char c)
{
  return IsVisibleByte(c) || c == ' ' || c == '\t';
}

bool IsText(std::string_view text)
{
  return std::ranges::all_of(text, IsTextByte);
}

bool IsVersion(std::string_view text)
{
  return text.size() == VERSION_PREFIX.size() + 1 && text.starts_with(VERSION_PREFIX) &&
         IsDigit(text.back());
}
} // namespace

bool IsRequestLine(std::string_view line)
{
  const auto target_begin = line.find(' ');
  const auto target_end = line.rfind(' ');
  if (target_begin == std::string_view::npos || target_end <= target_begin + 1)
    return false;
  const auto target = line.substr(target_begin + 1, target_end - target_begin - 1);
  return IsToken(line.substr(0, target_begin)) && std::ranges::all_of(target, IsVisibleByte) &&
         IsVersion(line.substr(target_end + 1));
}

bool IsStatusLine(std::string_view line)
{
  constexpr std::size_t VERSION_SIZE = VERSION_PREFIX.size() + 1;
  constexpr std::size_t STATUS_SIZE = 3;
  constexpr std::size_t REASON_AT = VERSION_SIZE + 1 + STATUS_SIZE;
  if (line.size() < REASON_AT || !IsVersion(line.substr(0, VERSION_SIZE)) ||
      line[VERSION_SIZE] != ' ')
    return false;
  const auto status = line.substr(VERSION_SIZE + 1, STATUS_SIZE);
  const auto rest = line.substr(REASON_AT);
  return std::ranges::all_of(status, IsDigit) && status.front() >= '1' && status.front() <= '5' &&
         (rest.empty() || rest.front() == ' ') && IsText(rest);
}

bool MayBeginStatusLine(std::string_view beginning)
{
  return VERSION_PREFIX.starts_with(beginning.substr(0, VERSION_PREFIX.size()));
}

bool IsFieldLine(std::string_view line)
{
  const auto colon = line.find(':');
  return colon != std::string_view::npos && IsToken(line.substr(0, colon)) &&
         IsText(line.substr(colon + 1));
}

bool IsChunkSizeLine(std::string_view line)
{
  const auto size_end = std::ranges::find_if_not(line, IsHexDigit);
  const std::string_view rest(size_end, line.end());
  const auto extension = rest.find_first_not_of(" \t");
  const bool has_extension = extension != std::string_view::npos;
  return size_end != line.begin() && (!has_extension || rest[extension] == ';') && IsText(rest);
}
} // namespace Http

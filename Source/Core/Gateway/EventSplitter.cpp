// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/EventSplitter.h"

#include <algorithm>
#include <charconv>

namespace Gateway
{
namespace
{
/// The position after the blank line that ends the first event, or npos.
std::size_t EndOfEvent(std::string_view bytes)
{
  const auto lf = bytes.find("\n\n");
  const auto crlf = bytes.find("\r\n\r\n");
  const auto lf_end = lf == std::string_view::npos ? lf : lf + 2;
  const auto crlf_end = crlf == std::string_view::npos ? crlf : crlf + 4;
  return std::min(lf_end, crlf_end);
}

/// The number in the event's `id:` line, if it has one.
std::optional<std::int64_t> IdOf(std::string_view event)
{
  while (!event.empty())
  {
    const auto end = std::min(event.find('\n'), event.size());
    std::string_view line = event.substr(0, end);
    event.remove_prefix(std::min(end + 1, event.size()));
    if (!line.starts_with("id:"))
      continue;
    line.remove_prefix(std::string_view("id:").size());
    while (line.starts_with(' '))
      line.remove_prefix(1);
    std::int64_t id = 0;
    const auto read = std::from_chars(line.data(), line.data() + line.size(), id);
    if (read.ec == std::errc())
      return id;
  }
  return std::nullopt;
}
} // namespace

std::string EventSplitter::Feed(std::string_view bytes)
{
  m_partial.append(bytes);
  std::string whole;
  std::string_view rest = m_partial;
  for (auto end = EndOfEvent(rest); end != std::string_view::npos; end = EndOfEvent(rest))
  {
    const std::string_view event = rest.substr(0, end);
    const auto id = IdOf(event);
    const bool known = id && m_last_id && *id <= *m_last_id;
    if (!known)
      whole.append(event);
    if (id && !known)
      m_last_id = id;
    rest.remove_prefix(end);
  }
  m_partial = std::string(rest);
  return whole;
}
} // namespace Gateway

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/Forwarding.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <string_view>

namespace Gateway
{
namespace
{
/// Hop-by-hop headers (RFC 9110, 7.6.1) and headers that the relay sets itself.
constexpr std::array<std::string_view, 10> CONNECTION_HEADERS = {
    "Connection",     "Keep-Alive",        "Proxy-Connection", "TE",
    "Trailer",        "Upgrade",           "Expect",           "Transfer-Encoding",
    "Content-Length", "Proxy-Authenticate"};

bool IsConnectionHeader(std::string_view name)
{
  return std::ranges::any_of(CONNECTION_HEADERS, [&](std::string_view known) {
    return Http::EqualIgnoringCase(known, name);
  });
}

/// True if the message's Connection header lists `name`.
bool IsNamedByConnection(const Http::MessageHead& head, std::string_view name)
{
  const std::string* connection = head.Find("Connection");
  if (connection == nullptr)
    return false;
  std::string_view rest = *connection;
  while (!rest.empty())
  {
    const auto comma = std::min(rest.find(','), rest.size());
    std::string_view token = rest.substr(0, comma);
    rest.remove_prefix(std::min(comma + 1, rest.size()));
    while (token.starts_with(' '))
      token.remove_prefix(1);
    while (token.ends_with(' '))
      token.remove_suffix(1);
    if (Http::EqualIgnoringCase(token, name))
      return true;
  }
  return false;
}

bool ContainsIgnoringCase(const std::vector<std::string>& names, std::string_view name)
{
  return std::ranges::any_of(names, [&](const std::string& known) {
    return Http::EqualIgnoringCase(known, name);
  });
}
} // namespace

std::string ForwardedRequest(const Http::ReceivedRequest& request, const HeaderNames& names,
                             const AddedHeaders& parts)
{
  const Http::MessageHead& head = request.head;
  std::string bytes = head.method + " " + head.target + " HTTP/1.1\r\n";
  const auto is_replaced = [&](const std::string& name) {
    return Http::EqualIgnoringCase(name, names.time_left_ms) ||
           Http::EqualIgnoringCase(name, names.key) ||
           Http::EqualIgnoringCase(name, names.account) ||
           (parts.last_event_id && Http::EqualIgnoringCase(name, names.last_event_id));
  };
  for (const Http::HeaderField& field : head.headers)
  {
    if (IsConnectionHeader(field.name) || IsNamedByConnection(head, field.name) ||
        is_replaced(field.name) || ContainsIgnoringCase(names.reserved, field.name))
      continue;
    bytes += field.name + ": " + field.value + "\r\n";
  }
  bytes += names.time_left_ms + ": " + std::to_string(parts.time_left.count()) + "\r\n";
  bytes += names.expected_instance + ": " + parts.instance.Get() + "\r\n";
  if (!parts.account.Empty())
    bytes += names.account + ": " + parts.account.Get() + "\r\n";
  if (parts.urgency)
    bytes += names.urgency + ": " + std::to_string(*parts.urgency) + "\r\n";
  if (parts.last_event_id)
    bytes += names.last_event_id + ": " + std::to_string(*parts.last_event_id) + "\r\n";
  if (!request.body.empty() || head.content_length || head.chunked)
    bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  return bytes + "\r\n" + request.body;
}

std::vector<Http::HeaderField> ForwardedHeaders(const Http::MessageHead& head)
{
  std::vector<Http::HeaderField> headers;
  std::ranges::copy_if(head.headers, std::back_inserter(headers), [&](const auto& field) {
    return !IsConnectionHeader(field.name) && !IsNamedByConnection(head, field.name);
  });
  return headers;
}
} // namespace Gateway

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "StandIns/Soak/SurplusResponses.h"

#include <array>
#include <charconv>
#include <utility>

#include <sys/socket.h>

#include "Common/Random.h"

namespace Soak
{
namespace
{
constexpr std::uint64_t COPIED_PERCENT = 25;
constexpr std::uint64_t TWO_COPIES_PERCENT = 20;
constexpr std::uint64_t COPIED_AGAIN_PERCENT = 20;

std::string HeadText(int status, const SurplusResponses::Headers& headers,
                     const std::string& framing)
{
  std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
  text.append(Http::ReasonPhrase(status)).append("\r\n");
  for (const Http::HeaderField& field : headers)
    text += field.name + ": " + field.value + "\r\n";
  return text + framing + "\r\n\r\n";
}

std::string ResponseText(int status, const SurplusResponses::Headers& headers,
                         std::string_view body)
{
  return HeadText(status, headers, "Content-Length: " + std::to_string(body.size())).append(body);
}

std::string ChunkText(std::string_view bytes)
{
  std::array<char, 2 * sizeof(std::size_t)> size{};
  const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
  return std::string(size.data(), end).append("\r\n").append(bytes).append("\r\n");
}

/// Bypasses the connection, which sends only one response to a request and has no unsent output.
void WriteTo(int fd, std::string_view bytes)
{
  // A peer that has gone loses the bytes, as it would later.
  [[maybe_unused]] const auto sent =
      ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
}
} // namespace

bool IsDrawn(std::uint64_t percent)
{
  return Common::SharedRandom()() % 100 < percent;
}

void SurplusResponses::OnWhole(Peer& peer)
{
  const std::string whole = std::exchange(peer.current, {});
  if (!m_active || whole.empty() || !IsDrawn(COPIED_PERCENT))
    return;
  peer.owed.insert(peer.owed.end(), IsDrawn(TWO_COPIES_PERCENT) ? 2 : 1, whole);
}

void SurplusResponses::SendCopies(const Http::ServerConnection& connection)
{
  const auto found = m_peers.find(&connection);
  if (found == m_peers.end() || connection.UnsentBytes() > 0)
    return;
  for (const std::string& copy : std::exchange(found->second.owed, {}))
  {
    WriteTo(found->second.fd, copy);
    ++m_copies;
    if (m_active && IsDrawn(COPIED_AGAIN_PERCENT))
      found->second.owed.push_back(copy);
  }
}

void SurplusResponses::Respond(Http::ServerConnection& connection, int status,
                               const Headers& headers, std::string_view body)
{
  connection.Respond(status, Http::ReasonPhrase(status), headers, body);
  const auto found = m_peers.find(&connection);
  if (found == m_peers.end())
    return;
  found->second.current = ResponseText(status, headers, body);
  OnWhole(found->second);
}

void SurplusResponses::BeginBody(Http::ServerConnection& connection, const Headers& headers,
                                 Http::BodyFraming framing)
{
  connection.BeginBody(200, Http::ReasonPhrase(200), headers, framing);
  const auto found = m_peers.find(&connection);
  // No request follows a response that ends with its connection.
  if (found != m_peers.end() && framing == Http::BodyFraming::Chunked)
    found->second.current = HeadText(200, headers, "Transfer-Encoding: chunked");
}

void SurplusResponses::SendBody(Http::ServerConnection& connection, std::string_view bytes)
{
  connection.SendBody(bytes);
  const auto found = m_peers.find(&connection);
  if (found != m_peers.end() && !found->second.current.empty())
    found->second.current += ChunkText(bytes);
}

void SurplusResponses::EndBody(Http::ServerConnection& connection)
{
  connection.EndBody();
  const auto found = m_peers.find(&connection);
  if (found == m_peers.end() || found->second.current.empty())
    return;
  found->second.current += ChunkText("");
  OnWhole(found->second);
}

void SurplusResponses::SendPart(const Http::ServerConnection& connection, int status,
                                const Headers& headers, std::string_view body)
{
  const auto found = m_peers.find(&connection);
  if (found == m_peers.end() || connection.UnsentBytes() > 0)
    return;
  const std::string whole = ResponseText(status, headers, body);
  WriteTo(found->second.fd, whole.substr(0, 1 + Common::SharedRandom()() % (whole.size() - 1)));
}

void SurplusResponses::SendRaw(const Http::ServerConnection& connection, std::string_view bytes)
{
  const auto found = m_peers.find(&connection);
  if (found != m_peers.end() && connection.UnsentBytes() == 0)
    WriteTo(found->second.fd, bytes);
}

void SurplusResponses::ResetAtEnd(const Http::ServerConnection& connection) const
{
  const auto found = m_peers.find(&connection);
  if (found == m_peers.end())
    return;
  const linger reset{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(found->second.fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}
} // namespace Soak

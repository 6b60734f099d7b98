// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Http/ServerConnection.h"

namespace Soak
{
/// True for a random share of the calls, in percent.
bool IsDrawn(std::uint64_t percent);

/// Sends the responses of a server. While it is active, it sends a share of them a second time,
/// just before the response to a later request on the same connection.
class SurplusResponses
{
public:
  using Headers = std::vector<Http::HeaderField>;

  void SetActive(bool active) { m_active = active; }
  /// Adds an accepted connection with its socket.
  void Add(const Http::ServerConnection& connection, int fd)
  {
    m_peers[&connection] = {fd, {}, {}};
  }
  void Remove(const Http::ServerConnection& connection) { m_peers.erase(&connection); }

  int Copies() const { return m_copies; }

  /// A request has arrived: sends the copies that are due before its response.
  void SendCopies(const Http::ServerConnection& connection);

  /// These do what the functions of the connection do.
  void Respond(Http::ServerConnection& connection, int status, const Headers& headers,
               std::string_view body);
  void BeginBody(Http::ServerConnection& connection, const Headers& headers,
                 Http::BodyFraming framing);
  void SendBody(Http::ServerConnection& connection, std::string_view bytes);
  void EndBody(Http::ServerConnection& connection);
  /// Sends a response up to a random byte of its head or body.
  void SendPart(const Http::ServerConnection& connection, int status, const Headers& headers,
                std::string_view body);

  /// Sends bytes as they are.
  void SendRaw(const Http::ServerConnection& connection, std::string_view bytes);

  /// The end of the connection becomes a reset.
  void ResetAtEnd(const Http::ServerConnection& connection) const;

private:
  struct Peer
  {
    int fd = -1;
    std::string current;           ///< The bytes of the response that is being sent.
    std::vector<std::string> owed; ///< Copies that will be sent.
  };

  /// Draws whether copies of the response that has been sent will follow.
  void OnWhole(Peer& peer);

  std::map<const Http::ServerConnection*, Peer> m_peers;
  bool m_active = false;
  int m_copies = 0; ///< That have been sent.
};
} // namespace Soak

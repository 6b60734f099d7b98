// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Http/TcpStream.h"

/// TCP connections to backend servers through another daemon, for a VM that cannot connect to them
/// itself. The daemon that connects first sends one `TunnelTarget`; the other one, the helper,
/// connects to the server and replies with one byte (`Http::TunnelStatus`). From then on the helper
/// copies bytes in both directions. A helper never uses another helper, so there are no loops.
namespace Tunnels
{
/// The backend server to connect to. The helper takes the address from its own list of servers.
struct TunnelTarget
{
  std::string server;            ///< The server's id on the platform.
  std::int64_t server_start = 0; ///< Start time of the instance; 0 if unknown.

  bool operator==(const TunnelTarget&) const = default;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(server, server_start);
  }
};

/// Where a daemon opens tunnels: at the TCP port that follows the one of its messages.
inline Http::Endpoint TunnelEndpoint(const Http::Endpoint& messages)
{
  return {messages.address, static_cast<std::uint16_t>(messages.port + 1)};
}

/// Longest encoded target, without its length.
inline constexpr std::size_t MAX_TARGET_BYTES = 512;

/// Encodes the message that opens a tunnel: a length of two bytes, then the target.
std::string EncodeOpen(const TunnelTarget& target);

/// State of a message that is received in pieces.
enum class OpenStatus
{
  NeedsMore,
  Complete,
  Malformed,
};

struct ReceivedOpen
{
  OpenStatus status = OpenStatus::NeedsMore;
  TunnelTarget target; ///< If complete.
};

/// Decodes what has been received so far. Bytes after the message are malformed, since a daemon
/// sends nothing until the tunnel is open.
ReceivedOpen DecodeOpen(std::string_view bytes);
} // namespace Tunnels

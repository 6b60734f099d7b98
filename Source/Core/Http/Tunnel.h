// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Http
{
/// The helper's reply to a request for a tunnel, one byte.
enum class TunnelStatus : std::uint8_t
{
  Open,     ///< Connected to the server; the bytes that follow are the server's.
  Refused,  ///< The server refused the helper's connection.
  TimedOut, ///< The helper's connection was not established in time.
  NoPath,   ///< The helper does not know the server or does not reach it directly.
  Busy,     ///< The helper has no room for another tunnel.
};

inline std::string Encode(TunnelStatus status)
{
  return std::string(1, static_cast<char>(status));
}

inline std::optional<TunnelStatus> DecodeTunnelStatus(char byte)
{
  const auto value = static_cast<std::uint8_t>(byte);
  if (value > static_cast<std::uint8_t>(TunnelStatus::Busy))
    return std::nullopt;
  return static_cast<TunnelStatus>(value);
}
} // namespace Http

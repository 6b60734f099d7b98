// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Daemons
{
/// Length of a message authentication code (MAC): HMAC-SHA256, truncated to 128 bits.
constexpr std::size_t MAC_BYTES = 16;

/// Computes the MAC of `context` and `payload` with the shared key.
std::string ComputeMac(std::string_view key, std::string_view context, std::string_view payload);

/// Compares two MACs in constant time.
bool MacMatches(std::string_view mac, std::string_view expected);

/// Builds a datagram: protocol version, MAC, payload.
std::string SignDatagram(std::string_view key, std::string_view payload);
/// Returns the payload, or nothing if the datagram has another version, is truncated, or is not
/// authentic.
std::optional<std::string_view> VerifyDatagram(std::string_view key, std::string_view datagram);
} // namespace Daemons

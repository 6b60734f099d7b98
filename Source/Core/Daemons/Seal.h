// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Daemons
{
/// Length of the authentication code in bytes (HMAC-SHA256, cut to 128 bits).
constexpr std::size_t SEAL_BYTES = 16;

/// The code of `context` and `payload` under the shared key.
std::string ComputeSeal(std::string_view key, std::string_view context, std::string_view payload);

/// Compares in constant time.
bool SealMatches(std::string_view seal, std::string_view expected);

/// A datagram: protocol version, seal, payload.
std::string SealDatagram(std::string_view key, std::string_view payload);
/// The payload, or nothing for another version, a wrong key or a truncated datagram.
std::optional<std::string_view> OpenDatagram(std::string_view key, std::string_view datagram);
} // namespace Daemons

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Tunnels/Messages.h"

#include <utility>

#include "Daemons/Codec.h"

namespace Tunnels
{
namespace
{
constexpr std::size_t LENGTH_BYTES = 2;
constexpr unsigned BYTE_BITS = 8;
constexpr std::size_t BYTE_MASK = 0xff;
} // namespace

std::string EncodeOpen(const TunnelTarget& target)
{
  const std::string body = Daemons::Encode(target);
  std::string message;
  message.push_back(static_cast<char>(body.size() >> BYTE_BITS));
  message.push_back(static_cast<char>(body.size() & BYTE_MASK));
  return message + body;
}

ReceivedOpen DecodeOpen(std::string_view bytes)
{
  if (bytes.size() < LENGTH_BYTES)
    return {};
  const auto byte_at = [&](std::size_t i) {
    return static_cast<std::size_t>(static_cast<unsigned char>(bytes[i]));
  };
  const std::size_t length = (byte_at(0) << BYTE_BITS) + byte_at(1);
  const std::string_view body = bytes.substr(LENGTH_BYTES);
  if (length > MAX_TARGET_BYTES || body.size() > length)
    return {OpenStatus::Malformed, {}};
  if (body.size() < length)
    return {};
  auto target = Daemons::Decode<TunnelTarget>(body);
  return target ? ReceivedOpen{OpenStatus::Complete, std::move(*target)}
                : ReceivedOpen{OpenStatus::Malformed, {}};
}
} // namespace Tunnels

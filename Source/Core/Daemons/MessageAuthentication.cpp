// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Daemons/MessageAuthentication.h"

#include <array>

#include <glib.h>

#include "Daemons/Messages.h"

namespace Daemons
{
namespace
{
constexpr std::size_t SHA256_BYTES = 32;
constexpr std::string_view DATAGRAM_CONTEXT = "drumpond-datagram";
} // namespace

std::string ComputeMac(std::string_view key, std::string_view context, std::string_view payload)
{
  GHmac* hmac =
      g_hmac_new(G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(key.data()), key.size());
  const auto update = [hmac](std::string_view text) {
    g_hmac_update(hmac, reinterpret_cast<const guchar*>(text.data()),
                  static_cast<gssize>(text.size()));
  };
  update(context);
  update(payload);
  std::array<guint8, SHA256_BYTES> digest{};
  gsize size = digest.size();
  g_hmac_get_digest(hmac, digest.data(), &size);
  g_hmac_unref(hmac);
  return std::string(reinterpret_cast<const char*>(digest.data()), MAC_BYTES);
}

bool MacMatches(std::string_view mac, std::string_view expected)
{
  if (mac.size() != expected.size())
    return false;
  unsigned difference = 0;
  for (std::size_t index = 0; index < mac.size(); ++index)
    difference |=
        static_cast<unsigned char>(mac[index]) ^ static_cast<unsigned char>(expected[index]);
  return difference == 0;
}

std::string SignDatagram(std::string_view key, std::string_view payload)
{
  std::string datagram(1, static_cast<char>(PROTOCOL_VERSION));
  datagram += ComputeMac(key, DATAGRAM_CONTEXT, payload);
  datagram += payload;
  return datagram;
}

std::optional<std::string_view> VerifyDatagram(std::string_view key, std::string_view datagram)
{
  if (datagram.size() < 1 + MAC_BYTES || datagram.front() != static_cast<char>(PROTOCOL_VERSION))
    return std::nullopt;
  const std::string_view mac = datagram.substr(1, MAC_BYTES);
  const std::string_view payload = datagram.substr(1 + MAC_BYTES);
  if (!MacMatches(mac, ComputeMac(key, DATAGRAM_CONTEXT, payload)))
    return std::nullopt;
  return payload;
}
} // namespace Daemons

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Crashes/Fingerprint.h"

#include <array>
#include <cstdio>
#include <cstring>
#include <memory>

#include <glib.h>
#include <xxhash.h>

namespace Crashes
{
namespace
{
constexpr std::size_t DIGITS = 16; ///< Hexadecimal digits of one 64-bit half.

struct ChecksumDeleter
{
  void operator()(GChecksum* checksum) const { g_checksum_free(checksum); }
};
using Checksum = std::unique_ptr<GChecksum, ChecksumDeleter>;

/// Adds the part with a length prefix, so that different splits into parts yield different hashes.
void Add(GChecksum* checksum, std::string_view part)
{
  const std::uint64_t size = part.size();
  g_checksum_update(checksum, reinterpret_cast<const guchar*>(&size), sizeof(size));
  g_checksum_update(checksum, reinterpret_cast<const guchar*>(part.data()),
                    static_cast<gssize>(part.size()));
}
} // namespace

std::string Fingerprint::ToString() const
{
  std::array<char, 2 * DIGITS + 1> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx", static_cast<unsigned long long>(high),
                static_cast<unsigned long long>(low));
  return text.data();
}

QuickKey QuickKeyOf(const RequestIdentity& identity)
{
  QuickKey key = 0;
  for (const std::string_view part :
       {identity.account, identity.method, identity.host, identity.target, identity.body})
    key = XXH3_64bits_withSeed(part.data(), part.size(), key + part.size());
  return key;
}

Fingerprint FingerprintOf(const RequestIdentity& identity)
{
  const Checksum checksum(g_checksum_new(G_CHECKSUM_SHA256));
  Add(checksum.get(), identity.account);
  Add(checksum.get(), identity.method);
  Add(checksum.get(), identity.host);
  Add(checksum.get(), identity.target);
  Add(checksum.get(), identity.body);
  constexpr std::size_t SHA256_BYTES = 32;
  std::array<guint8, SHA256_BYTES> digest{};
  gsize size = digest.size();
  g_checksum_get_digest(checksum.get(), digest.data(), &size);
  Fingerprint result;
  result.quick = QuickKeyOf(identity);
  std::memcpy(&result.high, digest.data(), sizeof(result.high));
  std::memcpy(&result.low, digest.data() + sizeof(result.high), sizeof(result.low));
  return result;
}
} // namespace Crashes

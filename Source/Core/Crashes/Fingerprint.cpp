// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Crashes/Fingerprint.h"

#include <array>
#include <cstdio>
#include <cstring>
#include <initializer_list>
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

QuickKey QuickKeyOfFields(std::initializer_list<std::string_view> fields)
{
  QuickKey key = 0;
  for (const std::string_view field : fields)
    key = XXH3_64bits_withSeed(field.data(), field.size(), key + field.size());
  return key;
}

} // namespace

Fingerprint DigestOfFields(std::initializer_list<std::string_view> fields)
{
  const Checksum checksum(g_checksum_new(G_CHECKSUM_SHA256));
  for (const std::string_view field : fields)
    Add(checksum.get(), field);
  constexpr std::size_t SHA256_BYTES = 32;
  std::array<guint8, SHA256_BYTES> digest{};
  gsize size = digest.size();
  g_checksum_get_digest(checksum.get(), digest.data(), &size);
  Fingerprint result;
  std::memcpy(&result.high, digest.data(), sizeof(result.high));
  std::memcpy(&result.low, digest.data() + sizeof(result.high), sizeof(result.low));
  return result;
}

std::string Fingerprint::ToString() const
{
  std::array<char, 2 * DIGITS + 1> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx", static_cast<unsigned long long>(high),
                static_cast<unsigned long long>(low));
  return text.data();
}

QuickKey QuickKeyOf(const RequestIdentity& identity)
{
  return QuickKeyOfFields(
      {identity.account, identity.method, identity.host, identity.target, identity.body});
}

Fingerprint FingerprintOf(const RequestIdentity& identity)
{
  Fingerprint result = DigestOfFields(
      {identity.account, identity.method, identity.host, identity.target, identity.body});
  result.quick = QuickKeyOf(identity);
  if (result.GetAttribute() != Attribute::WholeRequest)
    result.high &= ~(std::uint64_t{1} << Fingerprint::MARK_SHIFT);
  return result;
}

QuickKey QuickKeyOf(const PromptPartIdentity& identity)
{
  return QuickKeyOfFields({identity.account, identity.part, identity.software});
}

Fingerprint FingerprintOf(const PromptPartIdentity& identity)
{
  Fingerprint result = DigestOfFields({identity.account, identity.part, identity.software});
  result.quick = QuickKeyOf(identity);
  result.high |= Fingerprint::PART_MARK << Fingerprint::MARK_SHIFT;
  return result;
}
} // namespace Crashes

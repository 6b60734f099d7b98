// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <compare>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

/// Detection of requests that crash backend servers.
namespace Crashes
{
/// The parts of a request that identify it. Headers are not included, because ids, times and hints
/// differ each time a request is sent.
struct RequestIdentity
{
  std::string_view account; ///< Empty if callers have no accounts.
  std::string_view method;
  std::string_view host;
  std::string_view target; ///< Path and query.
  std::string_view body;
};

/// A part of a prompt, on servers with one software version: what crashes servers may do so only
/// until their software changes. The account belongs to it because callers choose the ids of parts.
struct PromptPartIdentity
{
  std::string_view account; ///< Empty if callers have no accounts.
  std::string_view part;
  std::string_view software; ///< Version of the servers' software.
};

/// What a fingerprint identifies.
enum class Attribute : std::uint8_t
{
  WholeRequest,
  PromptPart,
};

/// Non-cryptographic hash of a request's identity. Different requests may share a key. About a
/// hundred times faster to compute than a fingerprint.
using QuickKey = std::uint64_t;

/// Cryptographic hash of what several requests may share, a whole request or a part of its prompt,
/// so that no caller can construct one that matches another caller's. Also used in logs and
/// messages, which must not contain request bodies.
struct Fingerprint
{
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  QuickKey quick = 0;

  /// Stated by a mark in the hash, which daemons without prompt parts pass on unread.
  Attribute GetAttribute() const
  {
    return high >> MARK_SHIFT == PART_MARK ? Attribute::PromptPart : Attribute::WholeRequest;
  }

  auto operator<=>(const Fingerprint&) const = default;

  /// 32 hexadecimal digits; the quick key is not included.
  std::string ToString() const;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(high, low, quick);
  }

  static constexpr int MARK_SHIFT = 48;
  static constexpr std::uint64_t PART_MARK = 0xffff;
};

/// The SHA-256 digest of the fields, without a quick key. Each field counts with its length, so
/// that different splits of the same bytes yield different digests.
Fingerprint DigestOfFields(std::initializer_list<std::string_view> fields);

/// A matching key does not prove that two requests are the same. It is a fast check that rules out
/// most requests that are not known.
QuickKey QuickKeyOf(const RequestIdentity& identity);
Fingerprint FingerprintOf(const RequestIdentity& identity);
QuickKey QuickKeyOf(const PromptPartIdentity& identity);
Fingerprint FingerprintOf(const PromptPartIdentity& identity);
} // namespace Crashes

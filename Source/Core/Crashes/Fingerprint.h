// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <compare>
#include <cstdint>
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

/// Non-cryptographic hash of a request's identity. Different requests may share a key. About a
/// hundred times faster to compute than a fingerprint.
using QuickKey = std::uint64_t;

/// Cryptographic hash of a request's identity, so that no caller can construct a request that
/// matches another caller's. Also used in logs and messages, which must not contain request bodies.
struct Fingerprint
{
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  QuickKey quick = 0;

  auto operator<=>(const Fingerprint&) const = default;

  /// 32 hexadecimal digits; the quick key is not included.
  std::string ToString() const;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(high, low, quick);
  }
};

/// A matching key does not prove that two requests are the same. It is a fast check that rules out
/// most requests that are not known.
QuickKey QuickKeyOf(const RequestIdentity& identity);
Fingerprint FingerprintOf(const RequestIdentity& identity);
} // namespace Crashes

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

/// Requests that end the backend servers that run them, and how they are recognised when they come
/// again.
namespace Crashes
{
/// What makes two requests the same. Other headers may differ: ids, times and hints do each time.
struct RequestIdentity
{
  std::string_view account; ///< Empty where callers have none: then all are one caller.
  std::string_view method;
  std::string_view host;
  std::string_view target; ///< Path and query.
  std::string_view body;
};

/// The same for all requests with one identity; others may have it too. Some hundred times quicker
/// to make than a fingerprint.
using QuickKey = std::uint64_t;

/// Stands for all requests with one identity, in logs and messages too, which must not hold a
/// request's body. Cryptographic, so that nobody makes a request that is taken for another's.
struct Fingerprint
{
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  QuickKey quick = 0;

  auto operator<=>(const Fingerprint&) const = default;

  /// 32 hexadecimal digits, without the quick key.
  std::string ToString() const;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(high, low, quick);
  }
};

/// Alone no proof: by it most requests are told not to be a known one.
QuickKey QuickKeyOf(const RequestIdentity& identity);
Fingerprint FingerprintOf(const RequestIdentity& identity);
} // namespace Crashes

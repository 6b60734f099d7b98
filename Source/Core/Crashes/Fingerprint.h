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

/// Stands for all requests with one identity, in logs and messages too, which must not hold a
/// request's body. Cryptographic, so that nobody makes a request that is taken for another's.
struct Fingerprint
{
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  std::uint64_t bytes = 0; ///< Of target and body.

  auto operator<=>(const Fingerprint&) const = default;

  /// 32 hexadecimal digits; the size is not in it.
  std::string ToString() const;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(high, low, bytes);
  }
};

inline std::uint64_t SizeOf(const RequestIdentity& identity)
{
  return identity.target.size() + identity.body.size();
}
Fingerprint FingerprintOf(const RequestIdentity& identity);
} // namespace Crashes

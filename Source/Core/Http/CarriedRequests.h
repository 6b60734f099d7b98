// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Http
{
/// A hash of the id that a request carries and that the response to it repeats. Where two ids have
/// the same hash, a connection is opened needlessly.
class RequestId
{
public:
  explicit RequestId(std::string_view id);

  /// True for a request without an id.
  bool IsEmpty() const { return m_is_empty; }
  bool operator==(const RequestId&) const = default;

private:
  std::uint64_t m_hash;
  bool m_is_empty;
};

/// What ties a response to its request.
struct RequestIdentity
{
  RequestId id;
  bool has_response_body = true; ///< False for a HEAD.
};

/// The ids of all requests that a connection has carried.
class CarriedRequests
{
public:
  /// Bounds the memory of a connection to 4 KB.
  static constexpr std::size_t MAX_REQUESTS = 256;

  void Add(RequestId id) { m_ids.push_back(id); }
  bool Contains(RequestId id) const { return std::ranges::find(m_ids, id) != m_ids.end(); }
  bool IsFull() const { return m_ids.size() >= MAX_REQUESTS; }

private:
  std::vector<RequestId> m_ids;
};
} // namespace Http

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "Http/OriginConnection.h"

namespace Http
{
/// A pool of idle connections to one peer; the most recently used one is reused first.
class IdleConnections
{
public:
  explicit IdleConnections(std::size_t max_connections) : m_max_connections(max_connections) {}
  ~IdleConnections();
  IdleConnections(const IdleConnections&) = delete;
  IdleConnections& operator=(const IdleConnections&) = delete;

  /// Returns a reusable connection, or nullptr; closes those that are not reusable.
  std::shared_ptr<OriginConnection> Take(Common::TimePoint now);
  /// The same for this request; leaves connections that may not carry it.
  std::shared_ptr<OriginConnection> Take(Common::TimePoint now, const RequestIdentity& request);
  /// Adds a connection if it is reusable; closes the oldest one where the pool is full.
  void Keep(std::shared_ptr<OriginConnection> connection, Common::TimePoint now);
  /// Closes all connections.
  void Clear();

private:
  template <typename Predicate>
  std::shared_ptr<OriginConnection> TakeIf(Common::TimePoint now, Predicate may_use);

  std::size_t m_max_connections;
  std::vector<std::shared_ptr<OriginConnection>> m_connections;
};
} // namespace Http

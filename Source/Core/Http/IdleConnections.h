// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "Http/OriginConnection.h"

namespace Http
{
/// Connections to one peer that wait for their next request; the newest is used first.
class IdleConnections
{
public:
  explicit IdleConnections(std::size_t most) : m_most(most) {}
  ~IdleConnections();
  IdleConnections(const IdleConnections&) = delete;
  IdleConnections& operator=(const IdleConnections&) = delete;

  /// One that may carry another request, or nullptr; closes those that may not.
  std::shared_ptr<OriginConnection> Take(Common::TimePoint now);
  /// Keeps a connection if it may carry another request.
  void Keep(std::shared_ptr<OriginConnection> connection, Common::TimePoint now);

private:
  std::size_t m_most;
  std::vector<std::shared_ptr<OriginConnection>> m_connections;
};
} // namespace Http

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Http/IdleConnections.h"

#include <utility>

namespace Http
{
IdleConnections::~IdleConnections()
{
  Clear();
}

void IdleConnections::Clear()
{
  for (const auto& connection : std::exchange(m_connections, {}))
    connection->Abandon();
}

std::shared_ptr<OriginConnection> IdleConnections::Take(Common::TimePoint now)
{
  while (!m_connections.empty())
  {
    auto connection = std::move(m_connections.back());
    m_connections.pop_back();
    if (connection->IsReusable(now))
      return connection;
    connection->Abandon();
  }
  return nullptr;
}

void IdleConnections::Keep(std::shared_ptr<OriginConnection> connection, Common::TimePoint now)
{
  if (!connection->IsReusable(now))
    return;
  m_connections.push_back(std::move(connection));
  if (m_connections.size() <= m_max_connections)
    return;
  m_connections.front()->Abandon();
  m_connections.erase(m_connections.begin());
}
} // namespace Http

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Http/IdleConnections.h"

#include <algorithm>
#include <iterator>
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

template <typename Predicate>
std::shared_ptr<OriginConnection> IdleConnections::TakeIf(Common::TimePoint now, Predicate may_use)
{
  while (true)
  {
    const auto found = std::ranges::find_if(m_connections.rbegin(), m_connections.rend(), may_use);
    if (found == m_connections.rend())
      return nullptr;
    auto connection = std::move(*found);
    m_connections.erase(std::next(found).base());
    if (connection->IsReusable(now))
      return connection;
    connection->Abandon();
  }
}

std::shared_ptr<OriginConnection> IdleConnections::Take(Common::TimePoint now)
{
  return TakeIf(now, [](const auto&) {
    return true;
  });
}

std::shared_ptr<OriginConnection> IdleConnections::Take(Common::TimePoint now,
                                                        const RequestIdentity& request)
{
  return TakeIf(now, [&request](const auto& connection) {
    return connection->MayCarry(request);
  });
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

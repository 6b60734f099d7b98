// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/RouteHistory.h"

#include <utility>

#include "Gateway/StreamOrigins.h"

namespace Gateway
{
using Common::TimePoint;

void RouteHistory::Note(std::shared_ptr<const Configuration> configuration, TimePoint now)
{
  if (m_current)
    m_former.push_back({Configuration{.routes = m_current->routes}, now});
  m_current = std::move(configuration);
  std::erase_if(m_former, [now](const Former& former) {
    return now - former.replaced_at >= StreamOrigins::RETENTION;
  });
}

std::set<PoolId> RouteHistory::RecentPools(std::string_view host, std::string_view path,
                                           TimePoint now) const
{
  std::set<PoolId> pools;
  const auto add = [&](const Configuration& configuration) {
    const Route* route = configuration.FindRoute(host, path);
    if (route == nullptr)
      return;
    for (const WeightedPool& entry : route->pools)
      pools.insert(entry.pool);
  };
  if (m_current)
    add(*m_current);
  for (const Former& former : m_former)
    if (now - former.replaced_at < StreamOrigins::RETENTION)
      add(former.routes);
  return pools;
}
} // namespace Gateway

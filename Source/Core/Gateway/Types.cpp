// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/Types.h"

namespace Gateway
{
const Route* Configuration::FindRoute(std::string_view host, std::string_view path) const
{
  const Route* best = nullptr;
  for (const Route& route : routes)
  {
    if (!Http::EqualIgnoringCase(route.host, host) || !path.starts_with(route.path_prefix))
      continue;
    if (best == nullptr || route.path_prefix.size() > best->path_prefix.size())
      best = &route;
  }
  return best;
}
} // namespace Gateway

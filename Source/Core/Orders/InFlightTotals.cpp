// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Orders/InFlightTotals.h"

#include <algorithm>

namespace Orders
{
std::int32_t ServerLoad::InFlight(const Gateway::ModelId& model) const
{
  const auto found = std::ranges::find(by_model, model, &ModelCount::model);
  return found == by_model.end() ? 0 : found->count;
}

void InFlightTotals::UpdateDaemon(const Common::VmId& daemon, const std::vector<LoadLine>& loads)
{
  std::vector<LoadLine>& previous = m_daemons[daemon];
  for (const LoadLine& line : previous)
    Add(line, -1);
  for (const LoadLine& line : loads)
    Add(line, 1);
  if (loads.empty())
    m_daemons.erase(daemon);
  else
    previous = loads;
}

void InFlightTotals::Add(const LoadLine& line, std::int32_t sign)
{
  ServerLoad& load = m_servers[line.instance];
  load.in_flight += sign * line.in_flight;
  for (const auto& [model, count] : line.by_model)
  {
    const auto found = std::ranges::find(load.by_model, model, &ServerLoad::ModelCount::model);
    if (found == load.by_model.end())
      load.by_model.push_back({model, sign * count});
    else if ((found->count += sign * count) == 0)
      load.by_model.erase(found);
  }
}
} // namespace Orders

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Orders/PlacementLog.h"

#include <algorithm>
#include <utility>

#include "Orders/MessageSize.h"

namespace Orders
{
void PlacementLog::Update(std::vector<PlacementLine> lines)
{
  std::map<Gateway::InstanceId, PlacementLine> now;
  for (PlacementLine& line : lines)
    now.emplace(line.instance, std::move(line));
  for (const auto& [instance, known] : m_lines)
    now.try_emplace(instance, PlacementLine{instance, {}, {}, {}});
  for (auto& [instance, line] : now)
  {
    VersionedLine& known = m_lines[instance];
    if (known.version != 0 && known.line == line)
      continue;
    m_by_version.erase(known.version);
    known = {std::move(line), ++m_version};
    m_by_version.emplace(known.version, instance);
  }
}

PlacementUpdate PlacementLog::Since(std::uint64_t version, std::size_t max_bytes) const
{
  PlacementUpdate update{version, m_version, {}};
  std::size_t bytes = 0;
  for (auto next = m_by_version.upper_bound(version); next != m_by_version.end(); ++next)
  {
    const PlacementLine& line = m_lines.at(next->second).line;
    bytes += EncodedSizeBound(line);
    if (bytes > max_bytes)
    {
      update.to = std::max(version, next->first - 1);
      break;
    }
    update.lines.push_back(line);
  }
  return update;
}
} // namespace Orders

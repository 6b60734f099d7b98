// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Serving/DecisionLog.h"

#include <algorithm>

#include "Common/Loop.h"

namespace Serving
{
namespace
{
constexpr std::size_t MAX_ENTRIES = 2000;
}

void DecisionLog::Add(std::string_view decision, const std::vector<std::string>& keys,
                      Common::Json figures)
{
  m_entries.push_back(
      {std::string(decision), keys, Common::UnixTime().count(), std::move(figures)});
  if (m_entries.size() > MAX_ENTRIES)
    m_entries.pop_front();
}

Common::Json DecisionLog::Find(const std::string& key) const
{
  Common::Json found = Common::Json::array();
  for (const Entry& entry : m_entries)
    if (std::ranges::find(entry.keys, key) != entry.keys.end())
      found.push_back({{"decision", entry.decision},
                       {"at_ms", entry.at_ms},
                       {"about", entry.keys},
                       {"figures", entry.figures}});
  return found;
}
} // namespace Serving

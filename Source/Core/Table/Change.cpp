// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Table/Change.h"

#include <algorithm>
#include <set>

namespace Table
{
using Common::Json;

Change Difference(const RowMap& current, const std::vector<Row>& wanted)
{
  Change change;
  std::set<std::string> kept;
  for (const Row& row : wanted)
  {
    const std::string key = RowKey(row);
    kept.insert(key);
    const auto found = current.find(key);
    if (found == current.end() || found->second.row != row)
      change.put.push_back(row);
  }
  for (const auto& [key, row] : current)
    if (!kept.contains(key))
      change.removed.push_back(key);
  return change;
}

void ApplyChange(RowMap& rows, const Change& change)
{
  for (const Row& row : change.put)
    rows[RowKey(row)] = {row, change.version};
  for (const std::string& key : change.removed)
    rows.erase(key);
}

std::vector<Row> RowsWithoutVersions(const RowMap& rows)
{
  std::vector<Row> plain;
  plain.reserve(rows.size());
  std::ranges::transform(rows, std::back_inserter(plain), [](const auto& item) {
    return item.second.row;
  });
  return plain;
}

Json ToJson(const Change& change)
{
  Json put = Json::array();
  std::ranges::transform(change.put, std::back_inserter(put), [](const Row& row) {
    return ToJson(row);
  });
  return {{"revision", change.revision.Get()},
          {"id", change.id},
          {"who", change.who},
          {"when", change.when},
          {"put", put},
          {"removed", change.removed}};
}

Common::Result<Change> ChangeFromJson(const Json& json)
{
  Change change;
  change.revision = Common::Revision(Common::GetOr(json, "revision", std::int64_t(0)));
  change.id = Common::GetOr(json, "id", std::string());
  change.who = Common::GetOr(json, "who", std::string());
  change.when = Common::GetOr(json, "when", std::string());
  for (const Json& item : Common::GetArray(json, "put"))
  {
    auto row = RowFromJson(item);
    if (!row)
      return row.Reason();
    change.put.push_back(*row);
  }
  for (const Json& key : Common::GetArray(json, "removed"))
    if (key.is_string())
      change.removed.push_back(key);
  return change;
}
} // namespace Table

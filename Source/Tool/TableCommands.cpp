// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <thread>

#include <unistd.h>

#include "Common/Loop.h"
#include "Common/Random.h"
#include "Table/Catalog.h"
#include "Table/Change.h"
#include "Table/CsvFile.h"
#include "Tool/Commands.h"

namespace Tool
{
namespace
{
using Common::FailureKind;
using Common::GetArray;
using Common::GetOr;
using Common::Json;
using Common::Result;

constexpr std::chrono::milliseconds WAIT_STEP{100};
constexpr std::chrono::seconds WAIT_LIMIT{20};

/// A revision of the table as fetched from a daemon.
struct Seen
{
  std::int64_t revision = 0;
  Table::RowMap rows;
};

/// Reads and checks a table file. Prints all errors to standard error and returns nullopt if there
/// are any.
std::optional<std::vector<Table::Row>> ReadFile(const std::string& path)
{
  std::ifstream file(path);
  if (!file)
  {
    std::cerr << "drumpond: cannot read " << path << "\n";
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  const Table::CsvContent content = Table::ReadCsv(text.str());
  for (const Table::CellError& error : content.errors)
    std::cerr << path << ":" << error.line << ":" << error.column << ": " << error.message << "\n";
  if (!content.errors.empty())
    return std::nullopt;
  return content.rows;
}

Result<Seen> FetchTable(const Invocation& invocation)
{
  const auto json = invocation.Client().Get("/v1/table?fresh=1");
  if (!json)
    return json.Reason();
  Seen seen;
  seen.revision = GetOr(*json, "revision", std::int64_t(0));
  for (const Json& item : GetArray(*json, "rows"))
  {
    const auto row = Table::RowFromJson(item);
    if (!row)
      return row.Reason();
    seen.rows[Table::RowKey(*row)] = {*row, 0};
  }
  return seen;
}

Json ChangeJson(const Table::Change& change, const Seen& seen)
{
  Json put = Json::array();
  for (const Table::Row& row : change.put)
    put.push_back({{"key", Table::RowKey(row)},
                   {"change", seen.rows.contains(Table::RowKey(row)) ? "change" : "add"}});
  return {{"revision", seen.revision}, {"put", put}, {"removed", change.removed}};
}

/// Describes the effect of a changed row on loaded replicas; empty if there is none.
std::string Consequence(const Table::Row& row, const Seen& seen)
{
  const auto found = seen.rows.find(Table::RowKey(row));
  if (found == seen.rows.end())
    return row.replicas ? "may load up to " + std::to_string(*row.replicas) : "";
  const auto before = found->second.row.replicas.value_or(0);
  const auto after = row.replicas.value_or(0);
  if (after < before)
    return "unloads " + std::to_string(before - after) + " replicas at most";
  return after > before ? "may load up to " + std::to_string(after) : "";
}

void PrintChange(const Table::Change& change, const Seen& seen)
{
  std::vector<std::vector<std::string>> rows;
  for (const Table::Row& row : change.put)
    rows.push_back({seen.rows.contains(Table::RowKey(row)) ? "change" : "add", Table::RowKey(row),
                    Consequence(row, seen)});
  for (const std::string& key : change.removed)
    rows.push_back({"remove", key, "unloads its replicas, if any"});
  PrintColumns({"EDIT", "ROW", "CONSEQUENCE"}, rows);
  std::cout << rows.size() << " rows differ from revision " << seen.revision << "\n";
}

/// Returns the lowest table revision among the daemons that are alive, as seen by the contacted
/// daemon.
std::optional<std::int64_t> LowestRevision(const Invocation& invocation)
{
  const auto dump = invocation.Client().Get("/dump");
  if (!dump)
    return std::nullopt;
  std::optional<std::int64_t> lowest;
  for (const Json& daemon : GetArray(*dump, "daemons"))
  {
    const auto revision = GetOr(daemon, "table_revision", std::int64_t(0));
    if (GetOr(daemon, "alive", false) && (!lowest || revision < *lowest))
      lowest = revision;
  }
  return lowest;
}

ExitStatus WaitInForce(const Invocation& invocation, std::int64_t revision)
{
  const bool terminal = isatty(STDERR_FILENO) != 0;
  const auto began = Common::Now();
  while (Common::Now() - began < WAIT_LIMIT)
  {
    const auto lowest = LowestRevision(invocation);
    if (lowest && *lowest >= revision)
    {
      const auto took =
          std::chrono::duration_cast<std::chrono::milliseconds>(Common::Now() - began);
      std::cout << "revision " << revision << " is in force at every connected daemon after "
                << took.count() << " ms\n";
      return ExitStatus::Ok;
    }
    if (terminal)
      std::cerr << "\rwaiting until revision " << revision << " is in force ..." << std::flush;
    std::this_thread::sleep_for(WAIT_STEP);
  }
  std::cerr << "drumpond: revision " << revision
            << " is accepted, but not yet in force at every daemon; see: drumpond table status\n";
  return ExitStatus::Failed;
}
} // namespace

ExitStatus TableCheck(const Invocation& invocation)
{
  const auto rows = ReadFile(invocation.arguments.front());
  if (!rows)
    return ExitStatus::Usage;
  std::cout << rows->size() << " rows, no errors\n";
  return ExitStatus::Ok;
}

ExitStatus TablePlan(const Invocation& invocation)
{
  const auto rows = ReadFile(invocation.arguments.front());
  if (!rows)
    return ExitStatus::Usage;
  const auto seen = FetchTable(invocation);
  if (!seen)
    return Report(seen.Reason());
  const Table::Change change = Table::Difference(seen->rows, *rows);
  if (invocation.json)
    std::cout << ChangeJson(change, *seen).dump(2) << "\n";
  else
    PrintChange(change, *seen);
  return ExitStatus::Ok;
}

ExitStatus TableApply(const Invocation& invocation)
{
  const auto rows = ReadFile(invocation.arguments.front());
  if (!rows)
    return ExitStatus::Usage;
  const auto seen = FetchTable(invocation);
  if (!seen)
    return Report(seen.Reason());
  Json items = Json::array();
  for (const Table::Row& row : *rows)
    items.push_back(Table::ToJson(row));
  const std::string id =
      invocation.change_id.empty() ? Common::NewId("edit-") : invocation.change_id;
  const Json body = {
      {"revision", seen->revision}, {"change", id}, {"who", invocation.who}, {"rows", items}};
  auto applied = invocation.Client().Post("/v1/table/apply", body);
  // An edit that has taken effect is recognized by its change id, so a retry is safe.
  if (!applied && applied.Reason().kind == FailureKind::OutcomeUnknown)
    applied = invocation.Client().Post("/v1/table/apply", body);
  if (!applied)
    return Report(applied.Reason());
  const auto revision = GetOr(*applied, "revision", std::int64_t(0));
  std::cout << "change " << id << " is revision " << revision << "\n";
  return invocation.wait ? WaitInForce(invocation, revision) : ExitStatus::Ok;
}

ExitStatus TableShow(const Invocation& invocation)
{
  const auto json = invocation.Client().Get("/v1/table");
  if (!json)
    return Report(json.Reason());
  if (invocation.json)
  {
    std::cout << json->dump(2) << "\n";
    return ExitStatus::Ok;
  }
  std::vector<std::vector<std::string>> rows;
  for (const Json& row : GetArray(*json, "rows"))
  {
    const auto cell = [&row](const char* key) {
      return row.contains(key) ? Text(row[key]) : "";
    };
    rows.push_back({cell("kind"), cell("name"), cell("parent"), cell("memory_mb"), cell("replicas"),
                    cell("weight"), cell("limit"), cell("value")});
  }
  PrintColumns({"KIND", "NAME", "PARENT", "MEMORY_MB", "REPLICAS", "WEIGHT", "LIMIT", "VALUE"},
               rows);
  std::cout << "revision " << GetOr(*json, "revision", std::int64_t(0)) << "\n";
  return ExitStatus::Ok;
}

ExitStatus TableExport(const Invocation& invocation)
{
  const auto seen = FetchTable(invocation);
  if (!seen)
    return Report(seen.Reason());
  std::cout << Table::WriteCsv(Table::RowsWithoutVersions(seen->rows));
  return ExitStatus::Ok;
}

ExitStatus TableHistory(const Invocation& invocation)
{
  const auto json =
      invocation.Client().Get("/v1/table/history?count=" + std::to_string(invocation.count));
  if (!json)
    return Report(json.Reason());
  if (invocation.json)
  {
    std::cout << json->dump(2) << "\n";
    return ExitStatus::Ok;
  }
  std::vector<std::vector<std::string>> rows;
  for (const Json& change : GetArray(*json, "changes"))
    rows.push_back({Text(change["revision"]), Text(change["when"]), Text(change["who"]),
                    Text(change["id"]), std::to_string(GetArray(change, "put").size()),
                    std::to_string(GetArray(change, "removed").size())});
  PrintColumns({"REVISION", "WHEN", "WHO", "CHANGE", "PUT", "REMOVED"}, rows);
  return ExitStatus::Ok;
}

ExitStatus TableStatus(const Invocation& invocation)
{
  const auto dump = invocation.Client().Get("/dump");
  if (!dump)
    return Report(dump.Reason());
  const Json daemons = GetArray(*dump, "daemons");
  if (invocation.json)
  {
    std::cout << daemons.dump(2) << "\n";
    return ExitStatus::Ok;
  }
  std::vector<std::vector<std::string>> rows;
  for (const Json& daemon : daemons)
    rows.push_back({Text(daemon["vm"]), Text(daemon["data_centre"]),
                    GetOr(daemon, "alive", false) ? "alive" : "silent",
                    Text(daemon["table_revision"])});
  PrintColumns({"VM", "DATA_CENTRE", "STATE", "REVISION"}, rows);
  return ExitStatus::Ok;
}
} // namespace Tool

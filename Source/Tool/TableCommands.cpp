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

constexpr std::chrono::milliseconds POLL_INTERVAL{100};
constexpr std::chrono::seconds WAIT_TIMEOUT{20};

/// A revision of the table as fetched from a daemon.
struct TableSnapshot
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

Result<TableSnapshot> FetchTable(const Invocation& invocation)
{
  const auto json = invocation.Client().Get("/v1/table?fresh=1");
  if (!json)
    return json.Reason();
  TableSnapshot snapshot;
  snapshot.revision = GetOr(*json, "revision", std::int64_t(0));
  for (const Json& item : GetArray(*json, "rows"))
  {
    const auto row = Table::RowFromJson(item);
    if (!row)
      return row.Reason();
    snapshot.rows[Table::RowKey(*row)] = {*row, 0};
  }
  return snapshot;
}

Json ChangeJson(const Table::Change& change, const TableSnapshot& snapshot)
{
  Json put = Json::array();
  for (const Table::Row& row : change.put)
    put.push_back({{"key", Table::RowKey(row)},
                   {"change", snapshot.rows.contains(Table::RowKey(row)) ? "change" : "add"}});
  return {{"revision", snapshot.revision}, {"put", put}, {"removed", change.removed}};
}

/// Describes the effect of a changed row on loaded replicas; empty if there is none.
std::string DescribeEffect(const Table::Row& row, const TableSnapshot& snapshot)
{
  const auto found = snapshot.rows.find(Table::RowKey(row));
  if (found == snapshot.rows.end())
    return row.replicas ? "may load up to " + std::to_string(*row.replicas) : "";
  const auto before = found->second.row.replicas.value_or(0);
  const auto after = row.replicas.value_or(0);
  if (after < before)
    return "unloads " + std::to_string(before - after) + " replicas at most";
  return after > before ? "may load up to " + std::to_string(after) : "";
}

void PrintChange(const Table::Change& change, const TableSnapshot& snapshot)
{
  std::vector<std::vector<std::string>> rows;
  for (const Table::Row& row : change.put)
    rows.push_back({snapshot.rows.contains(Table::RowKey(row)) ? "change" : "add",
                    Table::RowKey(row), DescribeEffect(row, snapshot)});
  for (const std::string& key : change.removed)
    rows.push_back({"remove", key, "unloads its replicas, if any"});
  PrintColumns({"EDIT", "ROW", "CONSEQUENCE"}, rows);
  std::cout << rows.size() << " rows differ from revision " << snapshot.revision << "\n";
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

ExitStatus WaitUntilInForce(const Invocation& invocation, std::int64_t revision)
{
  const bool terminal = isatty(STDERR_FILENO) != 0;
  const auto start_time = Common::Now();
  while (Common::Now() - start_time < WAIT_TIMEOUT)
  {
    const auto lowest = LowestRevision(invocation);
    if (lowest && *lowest >= revision)
    {
      const auto elapsed =
          std::chrono::duration_cast<std::chrono::milliseconds>(Common::Now() - start_time);
      std::cout << "revision " << revision << " is in force at every connected daemon after "
                << elapsed.count() << " ms\n";
      return ExitStatus::Ok;
    }
    if (terminal)
      std::cerr << "\rwaiting until revision " << revision << " is in force ..." << std::flush;
    std::this_thread::sleep_for(POLL_INTERVAL);
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
  const auto snapshot = FetchTable(invocation);
  if (!snapshot)
    return ReportFailure(snapshot.Reason());
  const Table::Change change = Table::Difference(snapshot->rows, *rows);
  if (invocation.json)
    std::cout << ChangeJson(change, *snapshot).dump(2) << "\n";
  else
    PrintChange(change, *snapshot);
  return ExitStatus::Ok;
}

ExitStatus TableApply(const Invocation& invocation)
{
  const auto rows = ReadFile(invocation.arguments.front());
  if (!rows)
    return ExitStatus::Usage;
  const auto snapshot = FetchTable(invocation);
  if (!snapshot)
    return ReportFailure(snapshot.Reason());
  Json items = Json::array();
  for (const Table::Row& row : *rows)
    items.push_back(Table::ToJson(row));
  const std::string id =
      invocation.change_id.empty() ? Common::NewId("edit-") : invocation.change_id;
  const Json body = {
      {"revision", snapshot->revision}, {"change", id}, {"who", invocation.who}, {"rows", items}};
  auto applied = invocation.Client().Post("/v1/table/apply", body);
  // An edit that has taken effect is recognized by its change id, so a retry is safe.
  if (!applied && applied.Reason().kind == FailureKind::OutcomeUnknown)
    applied = invocation.Client().Post("/v1/table/apply", body);
  if (!applied)
    return ReportFailure(applied.Reason());
  const auto revision = GetOr(*applied, "revision", std::int64_t(0));
  std::cout << "change " << id << " is revision " << revision << "\n";
  return invocation.wait ? WaitUntilInForce(invocation, revision) : ExitStatus::Ok;
}

ExitStatus TableShow(const Invocation& invocation)
{
  const auto json = invocation.Client().Get("/v1/table");
  if (!json)
    return ReportFailure(json.Reason());
  if (invocation.json)
  {
    std::cout << json->dump(2) << "\n";
    return ExitStatus::Ok;
  }
  std::vector<std::vector<std::string>> rows;
  for (const Json& row : GetArray(*json, "rows"))
  {
    const auto cell = [&row](const char* key) {
      return row.contains(key) ? DisplayText(row[key]) : "";
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
  const auto snapshot = FetchTable(invocation);
  if (!snapshot)
    return ReportFailure(snapshot.Reason());
  std::cout << Table::WriteCsv(Table::RowsWithoutVersions(snapshot->rows));
  return ExitStatus::Ok;
}

ExitStatus TableHistory(const Invocation& invocation)
{
  const auto json =
      invocation.Client().Get("/v1/table/history?count=" + std::to_string(invocation.count));
  if (!json)
    return ReportFailure(json.Reason());
  if (invocation.json)
  {
    std::cout << json->dump(2) << "\n";
    return ExitStatus::Ok;
  }
  std::vector<std::vector<std::string>> rows;
  for (const Json& change : GetArray(*json, "changes"))
    rows.push_back({DisplayText(change["revision"]), DisplayText(change["when"]),
                    DisplayText(change["who"]), DisplayText(change["id"]),
                    std::to_string(GetArray(change, "put").size()),
                    std::to_string(GetArray(change, "removed").size())});
  PrintColumns({"REVISION", "WHEN", "WHO", "CHANGE", "PUT", "REMOVED"}, rows);
  return ExitStatus::Ok;
}

ExitStatus TableStatus(const Invocation& invocation)
{
  const auto dump = invocation.Client().Get("/dump");
  if (!dump)
    return ReportFailure(dump.Reason());
  const Json daemons = GetArray(*dump, "daemons");
  if (invocation.json)
  {
    std::cout << daemons.dump(2) << "\n";
    return ExitStatus::Ok;
  }
  std::vector<std::vector<std::string>> rows;
  for (const Json& daemon : daemons)
    rows.push_back({DisplayText(daemon["vm"]), DisplayText(daemon["data_centre"]),
                    GetOr(daemon, "alive", false) ? "alive" : "silent",
                    DisplayText(daemon["table_revision"])});
  PrintColumns({"VM", "DATA_CENTRE", "STATE", "REVISION"}, rows);
  return ExitStatus::Ok;
}
} // namespace Tool

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>
#include <iostream>
#include <map>

#include <glib.h>

#include "Tool/Commands.h"

namespace Tool
{
namespace
{
using Common::GetArray;
using Common::GetOr;
using Common::Json;

using OutputRows = std::vector<std::vector<std::string>>;

/// Fetches the daemon's state and prints one section of it, as JSON or in columns.
ExitStatus PrintDumpSection(const Invocation& invocation, const char* section,
                            const std::vector<std::string>& heading,
                            OutputRows (*make_rows)(const Json&))
{
  const auto dump = invocation.Client().Get("/dump");
  if (!dump)
    return ReportFailure(dump.Reason());
  const Json items = GetArray(*dump, section);
  if (invocation.json)
    std::cout << items.dump(2) << "\n";
  else
    PrintColumns(heading, make_rows(items));
  return ExitStatus::Ok;
}

OutputRows ServerRows(const Json& servers)
{
  OutputRows rows;
  for (const Json& server : servers)
  {
    std::string loaded;
    for (const Json& replica : GetArray(server, "replicas"))
      loaded += (loaded.empty() ? "" : " ") + DisplayText(replica["artifact"]) + "(" +
                DisplayText(replica["state"]) + ")";
    const bool draining = GetOr(server, "leaving", false);
    const bool ready = GetOr(server, "ready", false);
    rows.push_back({DisplayText(server["vm"]),
                    draining ? "leaving" : (ready ? "ready" : "not ready"),
                    DisplayText(server["keeper"]),
                    DisplayText(server["claimed_mb"]) + "/" + DisplayText(server["capacity_mb"]),
                    DisplayText(server["running"]), loaded});
  }
  return rows;
}

OutputRows ModelRows(const Json& servers)
{
  std::map<std::string, std::string> locations_by_artifact;
  for (const Json& server : servers)
    for (const Json& replica : GetArray(server, "replicas"))
    {
      std::string& locations = locations_by_artifact[DisplayText(replica["artifact"])];
      locations += (locations.empty() ? "" : " ") + DisplayText(server["vm"]) + "(" +
                   DisplayText(replica["state"]) + ")";
    }
  OutputRows rows;
  for (const auto& [artifact, locations] : locations_by_artifact)
    rows.push_back({artifact, locations});
  return rows;
}

OutputRows DaemonRows(const Json& daemons)
{
  OutputRows rows;
  for (const Json& daemon : daemons)
  {
    const bool alive = GetOr(daemon, "alive", false);
    const bool draining = GetOr(daemon, "leaving", false);
    rows.push_back({DisplayText(daemon["vm"]), DisplayText(daemon["data_centre"]),
                    draining ? "leaving" : (alive ? "alive" : "silent"),
                    DisplayText(daemon["incarnation"]), DisplayText(daemon["table_revision"])});
  }
  return rows;
}
} // namespace

ExitStatus ShowModels(const Invocation& invocation)
{
  return PrintDumpSection(invocation, "servers", {"MODEL", "LOADED"}, ModelRows);
}

ExitStatus ShowServers(const Invocation& invocation)
{
  return PrintDumpSection(invocation, "servers",
                          {"VM", "STATE", "KEEPER", "MEMORY_MB", "RUNNING", "REPLICAS"},
                          ServerRows);
}

ExitStatus ShowDaemons(const Invocation& invocation)
{
  return PrintDumpSection(invocation, "daemons",
                          {"VM", "DATA_CENTRE", "STATE", "INCARNATION", "REVISION"}, DaemonRows);
}

ExitStatus ShowDump(const Invocation& invocation)
{
  const auto dump = invocation.Client().Get("/dump");
  if (!dump)
    return ReportFailure(dump.Reason());
  std::cout << dump->dump(2) << "\n";
  return ExitStatus::Ok;
}

ExitStatus Explain(const Invocation& invocation)
{
  char* key = g_uri_escape_string(invocation.arguments.front().c_str(), nullptr, FALSE);
  const auto json = invocation.Client().Get(std::string("/v1/explain?key=") + key);
  g_free(key);
  if (!json)
    return ReportFailure(json.Reason());
  if (invocation.json)
  {
    std::cout << json->dump(2) << "\n";
    return ExitStatus::Ok;
  }
  OutputRows rows;
  for (const Json& decision : GetArray(*json, "decisions"))
    rows.push_back({DisplayText(decision["at_ms"]), DisplayText(decision["decision"]),
                    DisplayText(decision["about"]), DisplayText(decision["figures"])});
  PrintColumns({"AT_MS", "DECISION", "ABOUT", "FIGURES"}, rows);
  return ExitStatus::Ok;
}
} // namespace Tool

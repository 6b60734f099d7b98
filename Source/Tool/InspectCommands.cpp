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

using Cells = std::vector<std::vector<std::string>>;

/// Fetches the daemon's state and prints one section of it, as JSON or in columns.
ExitStatus PrintPart(const Invocation& invocation, const char* part,
                     const std::vector<std::string>& heading, Cells (*rows_of)(const Json&))
{
  const auto dump = invocation.Client().Get("/dump");
  if (!dump)
    return Report(dump.Reason());
  const Json items = GetArray(*dump, part);
  if (invocation.json)
    std::cout << items.dump(2) << "\n";
  else
    PrintColumns(heading, rows_of(items));
  return ExitStatus::Ok;
}

Cells RunnerRows(const Json& servers)
{
  Cells rows;
  for (const Json& server : servers)
  {
    std::string loaded;
    for (const Json& replica : GetArray(server, "replicas"))
      loaded += (loaded.empty() ? "" : " ") + Text(replica["artifact"]) + "(" +
                Text(replica["state"]) + ")";
    const bool leaving = GetOr(server, "leaving", false);
    const bool ready = GetOr(server, "ready", false);
    rows.push_back({Text(server["vm"]), leaving ? "leaving" : (ready ? "ready" : "not ready"),
                    Text(server["keeper"]),
                    Text(server["claimed_mb"]) + "/" + Text(server["capacity_mb"]),
                    Text(server["running"]), loaded});
  }
  return rows;
}

Cells ModelRows(const Json& servers)
{
  std::map<std::string, std::string> where;
  for (const Json& server : servers)
    for (const Json& replica : GetArray(server, "replicas"))
    {
      std::string& places = where[Text(replica["artifact"])];
      places +=
          (places.empty() ? "" : " ") + Text(server["vm"]) + "(" + Text(replica["state"]) + ")";
    }
  Cells rows;
  for (const auto& [artifact, places] : where)
    rows.push_back({artifact, places});
  return rows;
}

Cells DaemonRows(const Json& daemons)
{
  Cells rows;
  for (const Json& daemon : daemons)
  {
    const bool alive = GetOr(daemon, "alive", false);
    const bool leaving = GetOr(daemon, "leaving", false);
    rows.push_back({Text(daemon["vm"]), Text(daemon["data_centre"]),
                    leaving ? "leaving" : (alive ? "alive" : "silent"), Text(daemon["incarnation"]),
                    Text(daemon["table_revision"])});
  }
  return rows;
}
} // namespace

ExitStatus ShowModels(const Invocation& invocation)
{
  return PrintPart(invocation, "servers", {"MODEL", "LOADED"}, ModelRows);
}

ExitStatus ShowRunners(const Invocation& invocation)
{
  return PrintPart(invocation, "servers",
                   {"VM", "STATE", "KEEPER", "MEMORY_MB", "RUNNING", "REPLICAS"}, RunnerRows);
}

ExitStatus ShowDaemons(const Invocation& invocation)
{
  return PrintPart(invocation, "daemons", {"VM", "DATA_CENTRE", "STATE", "INCARNATION", "REVISION"},
                   DaemonRows);
}

ExitStatus ShowDump(const Invocation& invocation)
{
  const auto dump = invocation.Client().Get("/dump");
  if (!dump)
    return Report(dump.Reason());
  std::cout << dump->dump(2) << "\n";
  return ExitStatus::Ok;
}

ExitStatus Explain(const Invocation& invocation)
{
  char* key = g_uri_escape_string(invocation.arguments.front().c_str(), nullptr, FALSE);
  const auto json = invocation.Client().Get(std::string("/v1/explain?key=") + key);
  g_free(key);
  if (!json)
    return Report(json.Reason());
  if (invocation.json)
  {
    std::cout << json->dump(2) << "\n";
    return ExitStatus::Ok;
  }
  Cells rows;
  for (const Json& decision : GetArray(*json, "decisions"))
    rows.push_back({Text(decision["at_ms"]), Text(decision["decision"]), Text(decision["about"]),
                    Text(decision["figures"])});
  PrintColumns({"AT_MS", "DECISION", "ABOUT", "FIGURES"}, rows);
  return ExitStatus::Ok;
}
} // namespace Tool

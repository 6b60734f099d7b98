// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Operators/OperatorsApi.h"

#include <algorithm>
#include <charconv>
#include <fstream>

#include "Common/Log.h"
#include "Table/CsvFile.h"

namespace Operators
{
namespace
{
using Common::Failure;
using Common::FailureKind;
using Common::GetOr;
using Common::Json;
using Common::Now;
using Common::Result;
using Common::Task;

constexpr int STATUS_OK = 200;
constexpr int STATUS_FORBIDDEN = 403;
constexpr int STATUS_UNAVAILABLE = 503;
constexpr std::int64_t DEFAULT_HISTORY = 20;
constexpr std::int64_t MAX_HISTORY = 200;
constexpr std::string_view BEARER_PREFIX = "Bearer ";

void RespondWithFailure(Http::Exchange& exchange, const Failure& failure)
{
  const Callers::CallFailure refusal{failure, Callers::RunState::NotRun};
  const Json body = {
      {"error", {{"type", Common::ToString(failure.kind)}, {"message", failure.detail}}}};
  exchange.RespondJson(Callers::HttpStatusOf(refusal), body);
}

std::string_view ToString(Daemons::ReplicaState state)
{
  switch (state)
  {
  case Daemons::ReplicaState::Ordered:
    return "ordered";
  case Daemons::ReplicaState::Loaded:
    return "loaded";
  case Daemons::ReplicaState::Unloading:
    return "unloading";
  }
  return "ordered";
}

std::int64_t ParseCount(const std::string& text)
{
  std::int64_t count = DEFAULT_HISTORY;
  std::from_chars(text.data(), text.data() + text.size(), count);
  return std::clamp<std::int64_t>(count, 1, MAX_HISTORY);
}

Json RowsAsJson(const std::vector<Table::Row>& rows)
{
  Json json = Json::array();
  std::ranges::transform(rows, std::back_inserter(json), [](const Table::Row& row) {
    return Table::ToJson(row);
  });
  return json;
}

Result<std::vector<Table::Row>> RowsFromJson(const Json& json)
{
  std::vector<Table::Row> rows;
  std::vector<int> lines;
  for (const Json& item : Common::GetArray(json, "rows"))
  {
    auto row = Table::RowFromJson(item);
    if (!row)
      return row.Reason();
    rows.push_back(*row);
    lines.push_back(static_cast<int>(rows.size()));
  }
  const auto errors = Table::CheckRows(rows, lines);
  if (!errors.empty())
    return {FailureKind::InvalidInput,
            "row " + std::to_string(errors.front().line) + ": " + errors.front().message};
  return rows;
}
} // namespace

Result<OperatorTokens> OperatorTokens::Load(const std::string& path)
{
  OperatorTokens tokens;
  if (path.empty())
    return tokens;
  std::ifstream file(path);
  if (!file)
    return {FailureKind::InvalidInput, "cannot read " + path};
  std::string line;
  while (std::getline(file, line))
  {
    const auto colon = line.find(':');
    const std::string role = line.substr(0, colon);
    if (colon == std::string::npos || (role != "viewer" && role != "editor"))
      return {FailureKind::InvalidInput, "expected viewer:TOKEN or editor:TOKEN in " + path};
    tokens.m_roles[line.substr(colon + 1)] = role == "editor" ? Role::Editor : Role::Viewer;
  }
  return tokens;
}

Role OperatorTokens::RoleOf(const Http::Exchange& exchange) const
{
  if (m_roles.empty())
    return Role::Editor;
  const std::string header = exchange.Header("authorization");
  if (!header.starts_with(BEARER_PREFIX))
    return Role::None;
  const auto found = m_roles.find(header.substr(BEARER_PREFIX.size()));
  return found == m_roles.end() ? Role::None : found->second;
}

void OperatorsApi::Route(Http::Server& server, const std::string& path, Role needed, Action action)
{
  server.Handle(path, [this, needed, action](Http::ExchangePtr exchange) -> Task<void> {
    if (m_tokens.RoleOf(*exchange) >= needed)
      return action(exchange);
    const Json body = {{"error",
                        {{"type", "unauthorized"},
                         {"message", "this requires an operator token with a higher role"}}}};
    exchange->RespondJson(STATUS_FORBIDDEN, body);
    return [](Http::ExchangePtr) -> Task<void> {
      co_return;
    }(exchange);
  });
}

void OperatorsApi::Register(Http::Server& server)
{
  Route(server, "/healthz", Role::None, [](Http::ExchangePtr exchange) -> Task<void> {
    exchange->Respond(STATUS_OK, "text/plain", "ok\n");
    co_return;
  });
  Route(server, "/readyz", Role::None, [this](Http::ExchangePtr exchange) -> Task<void> {
    const bool ready = m_components.ready();
    exchange->Respond(ready ? STATUS_OK : STATUS_UNAVAILABLE, "text/plain",
                      ready ? "ready\n" : "not ready\n");
    co_return;
  });
  Route(server, "/metrics", Role::None, [this](Http::ExchangePtr exchange) -> Task<void> {
    auto& api_context = m_components.api_context;
    api_context.metrics.SetGauge("waiting", static_cast<double>(api_context.router.Waiting()));
    api_context.metrics.SetGauge("in_flight", static_cast<double>(api_context.router.InFlight()));
    api_context.metrics.SetGauge(
        "table_revision",
        static_cast<double>(api_context.environment.table.CurrentRevision().Get()));
    exchange->Respond(STATUS_OK, "text/plain; version=0.0.4", api_context.metrics.Render());
    co_return;
  });
  Route(server, "/dump", Role::Viewer, [this](Http::ExchangePtr exchange) -> Task<void> {
    exchange->RespondJson(STATUS_OK, Dump());
    co_return;
  });
  Route(server, "/v1/explain", Role::Viewer, [this](Http::ExchangePtr exchange) -> Task<void> {
    const Json found =
        m_components.api_context.environment.decision_log.Find(exchange->Query("key"));
    exchange->RespondJson(STATUS_OK, {{"decisions", found}});
    co_return;
  });
  Route(server, "/v1/table", Role::Viewer, [this](Http::ExchangePtr exchange) {
    return ShowTable(exchange);
  });
  Route(server, "/v1/table/apply", Role::Editor, [this](Http::ExchangePtr exchange) {
    return ApplyTable(exchange);
  });
  Route(server, "/v1/table/history", Role::Viewer, [this](Http::ExchangePtr exchange) {
    return ShowHistory(exchange);
  });
}

Task<void> OperatorsApi::ShowTable(Http::ExchangePtr exchange)
{
  auto& table = m_components.api_context.environment.table;
  if (exchange->Query("fresh") == "1")
    co_await table.Refresh();
  if (!table.HasTable())
  {
    const Failure failure{FailureKind::Unavailable, "this daemon has no table yet"};
    co_return RespondWithFailure(*exchange, failure);
  }
  const Json body = {{"revision", table.CurrentRevision().Get()},
                     {"rows", RowsAsJson(Table::RowsWithoutVersions(table.Rows()))}};
  exchange->RespondJson(STATUS_OK, body);
}

Task<void> OperatorsApi::ApplyTable(Http::ExchangePtr exchange)
{
  const auto body = Common::ParseJson(exchange->Body());
  if (exchange->Method() != "POST" || !body || !body->is_object() || !body->contains("rows"))
  {
    const Failure failure{FailureKind::InvalidInput,
                          "expected POST {\"revision\", \"change\", \"who\", \"rows\"}"};
    co_return RespondWithFailure(*exchange, failure);
  }
  auto rows = RowsFromJson(*body);
  if (!rows)
    co_return RespondWithFailure(*exchange, rows.Reason());
  const std::string change_id = GetOr(*body, "change", std::string());
  if (change_id.empty())
  {
    const Failure failure{FailureKind::InvalidInput, "\"change\" must be the id of the edit"};
    co_return RespondWithFailure(*exchange, failure);
  }
  const Common::Revision seen(GetOr(*body, "revision", std::int64_t(-1)));
  const std::string who = GetOr(*body, "who", std::string("unknown"));
  auto change =
      co_await m_components.api_context.environment.table.Apply(seen, change_id, who, *rows);
  if (!change)
    co_return RespondWithFailure(*exchange, change.Reason());
  Common::LogEvent(Common::LogLevel::Info, "table.applied",
                   {{"revision", change->revision}, {"change", change_id}, {"who", who}});
  exchange->RespondJson(STATUS_OK, {{"revision", change->revision.Get()}});
}

Task<void> OperatorsApi::ShowHistory(Http::ExchangePtr exchange)
{
  const std::int64_t count = ParseCount(exchange->Query("count"));
  const auto changes = co_await m_components.api_context.environment.table.History(count);
  if (!changes)
  {
    const Failure failure{FailureKind::Unavailable, "the platform does not respond"};
    co_return RespondWithFailure(*exchange, failure);
  }
  Json json = Json::array();
  for (const Table::Change& change : *changes)
    json.push_back(Table::ToJson(change));
  exchange->RespondJson(STATUS_OK, {{"changes", json}});
}

Json OperatorsApi::DaemonsAsJson() const
{
  const auto& membership = m_components.api_context.environment.membership;
  const auto& self = membership.Self();
  Json daemons = Json::array();
  daemons.push_back({{"vm", self.vm.Get()},
                     {"data_centre", self.data_centre.Get()},
                     {"incarnation", self.incarnation.Get()},
                     {"alive", true},
                     {"leaving", self.leaving},
                     {"table_revision", self.table_revision.Get()}});
  for (const auto& [vm, peer] : membership.Peers())
    daemons.push_back({{"vm", vm.Get()},
                       {"data_centre", peer.last_heartbeat.data_centre.Get()},
                       {"incarnation", peer.last_heartbeat.incarnation.Get()},
                       {"alive", membership.IsAlive(vm, Now())},
                       {"leaving", peer.last_heartbeat.leaving},
                       {"retired", peer.retired},
                       {"table_revision", peer.last_heartbeat.table_revision.Get()}});
  return daemons;
}

Json OperatorsApi::ServersAsJson() const
{
  Json servers = Json::array();
  const auto& server_statuses = m_components.api_context.environment.server_statuses;
  for (const auto& [vm, entry] : server_statuses.Entries())
  {
    Json replicas = Json::array();
    for (const auto& replica : entry.status.replicas)
      replicas.push_back({{"artifact", replica.artifact.Get()},
                          {"claim", replica.claim.Get()},
                          {"state", ToString(replica.state)},
                          {"memory_mb", replica.memory.Get()},
                          {"running", replica.running},
                          {"idle_ms", replica.idle_ms},
                          {"surplus", replica.surplus}});
    servers.push_back({{"vm", vm.Get()},
                       {"keeper", entry.status.keeper.Get()},
                       {"kept_here", m_components.server_manager.Manages(vm)},
                       {"ready", entry.status.ready},
                       {"leaving", server_statuses.IsLeaving(vm)},
                       {"capacity_mb", entry.status.capacity.Get()},
                       {"claimed_mb", entry.status.claimed.Get()},
                       {"running", entry.status.running},
                       {"replicas", replicas}});
  }
  return servers;
}

Json OperatorsApi::Dump()
{
  auto& api_context = m_components.api_context;
  const auto& link = api_context.environment.link.Counters();
  return {{"vm", api_context.environment.Self().Get()},
          {"data_centre", api_context.environment.DataCentre().Get()},
          {"ready", m_components.ready()},
          {"stopping", api_context.stopping},
          {"platform_down", api_context.environment.store.IsDown()},
          {"table_revision", api_context.environment.table.CurrentRevision().Get()},
          {"daemons", DaemonsAsJson()},
          {"servers", ServersAsJson()},
          {"waiting", api_context.router.Waiting()},
          {"in_flight", api_context.router.InFlight()},
          {"open_exchanges", m_components.open_exchanges()},
          {"running_jobs", m_components.running_jobs()},
          {"loads",
           {{"running", m_components.load_permits.Running()},
            {"waiting", m_components.load_permits.Waiting()}}},
          {"link",
           {{"heartbeats_sent", link.heartbeats_sent},
            {"heartbeats_received", link.heartbeats_received},
            {"bytes_sent", link.bytes_sent},
            {"bytes_received", link.bytes_received},
            {"rejected", link.rejected},
            {"calls_sent", link.calls_sent},
            {"calls_received", link.calls_received}}}};
}
} // namespace Operators

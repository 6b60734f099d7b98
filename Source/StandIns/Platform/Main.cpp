// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Stand-in for the platform: a transactional table service, an object store and a delayed list of
// VMs, all in memory, with fault injection. One process, HTTP/JSON.

#include <map>
#include <set>

#include "Common/Loop.h"
#include "StandIns/Support/StandInProgram.h"

namespace
{
using Common::GetArray;
using Common::GetOr;
using Common::Json;
using Common::Milliseconds;
using Common::Task;

struct Row
{
  std::int64_t version = 0;
  std::string value;
};

/// The active faults; /control sets them by the names of these fields.
struct Faults
{
  bool outage = false;
  int slow_ms = 0;
  /// Delay of the response to a transaction, which takes effect at once.
  int answer_delay_ms = 0;
  /// The next so many transactions take effect, but their response is lost.
  int lose_answers = 0;
  /// The next so many transactions are lost before they take effect.
  int lose_requests = 0;
  /// VMs that are cut off from the platform.
  std::set<std::string> cut;
};

class Platform
{
public:
  explicit Platform(int vm_lag_ms) : m_vm_lag(vm_lag_ms) {}

  Task<void> Serve(Http::ExchangePtr exchange)
  {
    if (m_faults.slow_ms > 0)
      co_await Common::Sleep{Common::Milliseconds(m_faults.slow_ms)};
    if (m_faults.outage || m_faults.cut.contains(exchange->Header("x-drumpond-vm")))
    {
      // During an outage the connection breaks without a response.
      exchange->Abort();
      co_return;
    }
    const std::string& path = exchange->Path();
    if (path == "/v1/txn")
      co_await Transact(exchange);
    else if (path == "/v1/read")
      Read(*exchange);
    else if (path == "/v1/list")
      List(*exchange);
    else if (path.starts_with("/v1/objects/"))
      ServeObject(*exchange);
    else if (path == "/v1/vms")
      exchange->RespondJson(200, {{"vms", VmsFor(exchange->Header("x-drumpond-vm"))}});
    else
      exchange->RespondJson(404, {{"error", "no such path"}});
  }

  Task<void> Control(Http::ExchangePtr exchange)
  {
    if (exchange->Method() == "GET")
    {
      exchange->RespondJson(200,
                            {{"reads", m_reads}, {"writes", m_writes}, {"rows", RowsAsJson()}});
      co_return;
    }
    const Json body = Common::ParseJson(exchange->Body()).value_or(Json::object());
    m_faults.outage = GetOr(body, "outage", m_faults.outage);
    m_faults.slow_ms = GetOr(body, "slow_ms", m_faults.slow_ms);
    m_faults.answer_delay_ms = GetOr(body, "answer_delay_ms", m_faults.answer_delay_ms);
    m_faults.lose_answers = GetOr(body, "lose_answers", m_faults.lose_answers);
    m_faults.lose_requests = GetOr(body, "lose_requests", m_faults.lose_requests);
    if (body.contains("cut"))
      m_faults.cut = body["cut"].get<std::set<std::string>>();
    if (body.contains("vms_for"))
      m_vms_for = body["vms_for"];
    if (body.contains("vms"))
      PublishVmsAfterLag(body["vms"]);
    exchange->RespondJson(200, Json::object());
  }

private:
  /// The list of VMs, or the one that is set for this VM, whose addresses may lead through the
  /// relays of a test.
  Json VmsFor(const std::string& vm) const
  {
    return m_vms_for.contains(vm) ? m_vms_for[vm] : m_visible_vms;
  }

  Json RowsAsJson() const
  {
    Json rows = Json::object();
    for (const auto& [key, row] : m_rows)
      rows[key] = row.value;
    return rows;
  }

  void PublishVmsAfterLag(Json vms)
  {
    Common::CallAfter(m_vm_lag, [this, vms = std::move(vms)] {
      m_visible_vms = vms;
    });
  }

  static Json RowJson(const std::string& key, const Row& row)
  {
    return {{"key", key}, {"version", row.version}, {"value", row.value}};
  }

  Json Lookup(const std::string& key) const
  {
    const auto found = m_rows.find(key);
    return RowJson(key, found == m_rows.end() ? Row{} : found->second);
  }

  Task<void> Transact(Http::ExchangePtr exchange)
  {
    const Json body = Common::ParseJson(exchange->Body()).value_or(Json::object());
    if (m_faults.lose_requests > 0)
    {
      --m_faults.lose_requests;
      co_return exchange->Abort();
    }
    ++m_writes;
    Json conflicts = Json::array();
    for (const Json& condition : GetArray(body, "conditions"))
    {
      const Json row = Lookup(condition["key"]);
      if (row["version"] != condition["version"])
        conflicts.push_back(row);
    }
    if (conflicts.empty())
      Apply(body);
    const Json committed = {{"version", m_version}};
    if (m_faults.answer_delay_ms > 0)
      co_await Common::Sleep{Milliseconds(m_faults.answer_delay_ms)};
    if (m_faults.lose_answers > 0)
    {
      --m_faults.lose_answers;
      exchange->Abort();
    }
    else if (conflicts.empty())
      exchange->RespondJson(200, committed);
    else
      exchange->RespondJson(409, {{"conflicts", conflicts}});
  }

  /// All rows that one transaction writes get the same new version; versions only increase.
  void Apply(const Json& body)
  {
    ++m_version;
    for (const Json& write : GetArray(body, "writes"))
    {
      const std::string key = write["key"];
      if (write["value"].is_null())
        m_rows.erase(key);
      else
        m_rows[key] = Row{m_version, write["value"]};
    }
  }

  void Read(Http::Exchange& exchange)
  {
    ++m_reads;
    const Json body = Common::ParseJson(exchange.Body()).value_or(Json::object());
    Json rows = Json::array();
    for (const Json& key : GetArray(body, "keys"))
      rows.push_back(Lookup(key));
    exchange.RespondJson(200, {{"rows", rows}});
  }

  void List(Http::Exchange& exchange)
  {
    ++m_reads;
    const std::string prefix = exchange.Query("prefix");
    Json rows = Json::array();
    for (auto row = m_rows.lower_bound(prefix); row != m_rows.end(); ++row)
    {
      if (!row->first.starts_with(prefix))
        break;
      rows.push_back(RowJson(row->first, row->second));
    }
    exchange.RespondJson(200, {{"rows", rows}});
  }

  void ServeObject(Http::Exchange& exchange)
  {
    const std::string& key = exchange.Path();
    if (exchange.Method() == "PUT")
    {
      ++m_writes;
      const bool only_new = exchange.Header("if-none-match") == "*";
      if (only_new && m_objects.contains(key))
        return exchange.RespondJson(412, {{"error", "exists"}});
      m_objects[key] = exchange.Body();
      return exchange.RespondJson(200, Json::object());
    }
    ++m_reads;
    const auto found = m_objects.find(key);
    if (found == m_objects.end())
      return exchange.RespondJson(404, {{"error", "no such object"}});
    exchange.Respond(200, "application/octet-stream", found->second);
  }

  std::map<std::string, Row> m_rows;
  std::map<std::string, std::string> m_objects;
  std::int64_t m_version = 0;
  std::int64_t m_reads = 0;
  std::int64_t m_writes = 0;
  Json m_visible_vms = Json::array();
  Json m_vms_for = Json::object();
  Common::Milliseconds m_vm_lag;
  Faults m_faults;
};
} // namespace

int main(int argc, char** argv)
{
  cxxopts::Options options("standin-platform", "Stand-in for the platform's services");
  StandIns::AddListenOptions(options);
  options.add_options()("vm-lag-ms", "delay of the VM list",
                        cxxopts::value<int>()->default_value("200"));
  const cxxopts::ParseResult parsed = StandIns::ParseOrExit(options, argc, argv);
  Common::InitLog(argv[0]);
  Platform platform(parsed["vm-lag-ms"].as<int>());
  Http::Server server({});
  server.Handle("/", [&platform](Http::ExchangePtr exchange) {
    return platform.Serve(exchange);
  });
  server.Handle("/control", [&platform](Http::ExchangePtr exchange) {
    return platform.Control(exchange);
  });
  return StandIns::ListenAndRun(server, parsed);
}

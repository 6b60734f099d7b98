// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Stand-in for a backend server with a model server: loads and unloads artifacts on orders, streams
// chat completions as server-sent events, reports its load with a delay, and injects faults on
// request. It counts the runs of each request and its peak memory use by itself, so that a test can
// check them independently of what the daemons report.

#include <algorithm>
#include <map>
#include <set>
#include <sstream>
#include <vector>

#include "Common/Loop.h"
#include "Common/Random.h"
#include "StandIns/Support/StandInProgram.h"

namespace
{
using Common::GetOr;
using Common::Json;
using Common::Milliseconds;
using Common::Task;

/// A model or adapter that is loaded or being loaded or unloaded.
struct Artifact
{
  std::string state = "loading";
  std::int64_t memory_mb = 0;
  std::string base;
  int running = 0;
  std::int64_t served = 0;
  Common::TimePoint last_used = Common::Now();
  Common::TimePoint loaded_at = Common::Now();
};

struct Settings
{
  std::string vm;
  std::int64_t memory_mb = 0;
  bool checks_fencing = true;
  std::string weight_store;
  int disk_load_ms = 0;
  int memory_load_ms = 0;
  int token_ms = 0;
  int tokens = 0;
  int max_running = 0;
  int report_lag_ms = 0;
  std::set<std::string> on_disk;
};

/// The active faults; /control sets them by the names of these fields.
struct Faults
{
  /// Reports that it is not ready.
  bool leaving = false;
  /// Sends no tokens.
  bool stall = false;
  /// Ends streams after this many tokens, without the [DONE] event. Negative: never.
  int cut_stream_after = -1;
  /// Delay before a response starts.
  int late_ms = 0;
  /// Responds under a wrong request id.
  bool cross = false;
  /// Exits when a load starts.
  bool die_in_load = false;
  /// Delay before an order is checked and carried out.
  int order_delay_ms = 0;
  /// The next so many loads are carried out, but their response is lost.
  int lose_order_answers = 0;
  /// VMs that are cut off from this backend server.
  std::set<std::string> cut;
};

class ModelServer
{
public:
  explicit ModelServer(Settings settings) : m_settings(std::move(settings))
  {
    m_on_disk = m_settings.on_disk;
    UpdateReportedLoad();
    if (!m_settings.weight_store.empty())
      Common::Spawn(PostLedger({{"vm", m_settings.vm}, {"reset", true}}));
  }

  Task<void> Report(Http::ExchangePtr exchange)
  {
    if (IsCut(*exchange))
      co_return exchange->Abort();
    Json artifacts = Json::array();
    for (const auto& [id, artifact] : m_artifacts)
    {
      const auto now = Common::Now();
      const auto idle = std::chrono::duration_cast<Milliseconds>(now - artifact.last_used);
      const auto age = std::chrono::duration_cast<Milliseconds>(now - artifact.loaded_at);
      artifacts.push_back({{"id", id},
                           {"state", artifact.state},
                           {"running", artifact.running},
                           {"served", artifact.served},
                           {"age_ms", age.count()},
                           {"idle_ms", artifact.running > 0 ? 0 : idle.count()}});
    }
    exchange->RespondJson(200, {{"vm", m_settings.vm},
                                {"incarnation", m_incarnation},
                                {"capacity_mb", m_settings.memory_mb},
                                {"used_mb", UsedMemory()},
                                {"checks_fencing", m_settings.checks_fencing},
                                {"fence", m_fence},
                                {"ready", !m_faults.leaving},
                                {"running", m_reported_running},
                                {"max_running", m_settings.max_running},
                                {"artifacts", artifacts},
                                {"on_disk", m_on_disk},
                                {"in_memory", m_in_memory}});
    co_return;
  }

  Task<void> Order(Http::ExchangePtr exchange)
  {
    if (IsCut(*exchange))
      co_return exchange->Abort();
    const Json order = Common::ParseJson(exchange->Body()).value_or(Json::object());
    if (m_faults.order_delay_ms > 0)
      co_await Common::Sleep{Milliseconds(m_faults.order_delay_ms)};
    ++m_orders;
    if (m_settings.checks_fencing && !AcceptFence(order))
    {
      exchange->RespondJson(409, {{"error", "fenced"}, {"fence", m_fence}});
      co_return;
    }
    const std::string action = GetOr(order, "action", std::string());
    if (action == "load")
      co_await Load(exchange, order);
    else if (action == "unload")
      co_await Unload(exchange, order);
    else
      exchange->RespondJson(200, {{"state", "fenced"}});
  }

  Task<void> Chat(Http::ExchangePtr exchange)
  {
    if (IsCut(*exchange))
      co_return exchange->Abort();
    const Json body = Common::ParseJson(exchange->Body()).value_or(Json::object());
    const std::string model = GetOr(body, "model", std::string());
    const auto found = m_artifacts.find(model);
    if (found == m_artifacts.end() || found->second.state != "loaded")
      co_return Reject(*exchange, 404, "model_not_loaded");
    if (m_running >= m_settings.max_running)
      co_return Reject(*exchange, 429, "overloaded");
    const std::string request = exchange->Header("x-request-id");
    ++m_runs[request];
    ++m_running;
    ++found->second.running;
    ++found->second.served;
    std::string response_id = request;
    if (m_faults.cross)
      response_id = "crossed";
    co_await Generate(exchange, body, response_id);
    --m_running;
    // An unload waits for running requests, so the artifact is still loaded.
    Artifact& artifact = m_artifacts[model];
    --artifact.running;
    artifact.last_used = Common::Now();
  }

  Task<void> Control(Http::ExchangePtr exchange)
  {
    const Json body = Common::ParseJson(exchange->Body()).value_or(Json::object());
    m_faults.leaving = GetOr(body, "leaving", m_faults.leaving);
    m_faults.stall = GetOr(body, "stall", m_faults.stall);
    m_faults.cut_stream_after = GetOr(body, "cut_stream_after", m_faults.cut_stream_after);
    m_faults.late_ms = GetOr(body, "late_ms", m_faults.late_ms);
    m_faults.cross = GetOr(body, "cross", m_faults.cross);
    m_faults.die_in_load = GetOr(body, "die_in_load", m_faults.die_in_load);
    m_faults.order_delay_ms = GetOr(body, "order_delay_ms", m_faults.order_delay_ms);
    m_faults.lose_order_answers = GetOr(body, "lose_order_answers", m_faults.lose_order_answers);
    if (body.contains("cut"))
      m_faults.cut = body["cut"].get<std::set<std::string>>();
    Json artifacts = Json::object();
    for (const auto& [id, artifact] : m_artifacts)
      artifacts[id] = artifact.state;
    exchange->RespondJson(200, {{"runs", m_runs},
                                {"orders", m_orders},
                                {"loads", m_loads},
                                {"cancelled", m_cancelled},
                                {"peak_mb", m_peak_mb},
                                {"loaded_ms", m_loaded_ms},
                                {"busy_ms", m_busy_ms},
                                {"first_load_order_us", m_first_load_order_us},
                                {"overcommitted", m_peak_mb > m_settings.memory_mb},
                                {"artifacts", artifacts}});
    co_return;
  }

private:
  bool IsCut(const Http::Exchange& exchange) const
  {
    return m_faults.cut.contains(exchange.Header("x-drumpond-vm"));
  }

  bool AcceptFence(const Json& order)
  {
    const auto fence = GetOr(order, "fence", std::int64_t(0));
    if (GetOr(order, "incarnation", std::string()) != m_incarnation || fence < m_fence)
      return false;
    m_fence = fence;
    return true;
  }

  std::int64_t UsedMemory() const
  {
    std::int64_t used = 0;
    for (const auto& [id, artifact] : m_artifacts)
      used += artifact.memory_mb;
    return used;
  }

  Task<void> PostLedger(Json body)
  {
    if (m_settings.weight_store.empty())
      co_return;
    Http::Request request{"POST", m_settings.weight_store + "/ledger"};
    request.body = Common::DumpJson(body);
    co_await m_client.Send(std::move(request));
  }

  Task<void> Load(Http::ExchangePtr exchange, Json order)
  {
    const std::string id = GetOr(order, "artifact", std::string());
    if (m_artifacts.contains(id))
      co_return exchange->RespondJson(200, {{"state", m_artifacts[id].state}});
    if (m_first_load_order_us == 0)
      m_first_load_order_us = g_get_real_time();
    ++m_loads;
    Artifact& artifact = m_artifacts[id];
    artifact.memory_mb = GetOr(order, "memory_mb", std::int64_t(0));
    artifact.base = GetOr(order, "base", std::string());
    m_peak_mb = std::max(m_peak_mb, UsedMemory());
    if (m_faults.die_in_load)
      std::_Exit(1);
    const Json entry = {{"vm", m_settings.vm}, {"artifact", id}, {"loaded", true}};
    co_await PostLedger(entry);
    co_await LoadWeights(id);
    m_artifacts[id].state = "loaded";
    m_artifacts[id].last_used = Common::Now();
    m_artifacts[id].loaded_at = Common::Now();
    if (m_faults.lose_order_answers > 0)
    {
      --m_faults.lose_order_answers;
      co_return exchange->Abort();
    }
    exchange->RespondJson(200, {{"state", "loaded"}});
  }

  Task<void> LoadWeights(std::string id)
  {
    if (m_in_memory.contains(id))
      co_await Common::Sleep{Milliseconds(m_settings.memory_load_ms)};
    else if (m_on_disk.contains(id) || m_settings.weight_store.empty())
      co_await Common::Sleep{Milliseconds(m_settings.disk_load_ms)};
    else
    {
      Http::Request request{"POST", m_settings.weight_store + "/fetch"};
      request.timeout = std::chrono::minutes(10);
      co_await m_client.Send(std::move(request));
    }
    m_on_disk.insert(id);
    m_in_memory.insert(id);
  }

  Task<void> Unload(Http::ExchangePtr exchange, Json order)
  {
    const std::string id = GetOr(order, "artifact", std::string());
    if (!m_artifacts.contains(id))
      co_return exchange->RespondJson(200, {{"state", "absent"}});
    m_artifacts[id].state = "unloading";
    while (m_artifacts.contains(id) && m_artifacts[id].running > 0)
      co_await Common::Sleep{Milliseconds(5)};
    m_artifacts.erase(id);
    const Json entry = {{"vm", m_settings.vm}, {"artifact", id}, {"loaded", false}};
    co_await PostLedger(entry);
    exchange->RespondJson(200, {{"state", "absent"}});
  }

  static void Reject(Http::Exchange& exchange, int status, const char* type)
  {
    exchange.RespondJson(status, {{"error", {{"type", type}}}});
  }

  Task<void> Generate(Http::ExchangePtr exchange, Json body, std::string request)
  {
    if (m_faults.late_ms > 0)
      co_await Common::Sleep{Milliseconds(m_faults.late_ms)};
    const int tokens = GetOr(body, "max_tokens", m_settings.tokens);
    if (GetOr(body, "stream", false))
      co_await Stream(exchange, request, tokens);
    else
      co_await SendCompleteResponse(exchange, request, tokens);
  }

  static std::string Token(const std::string& request, int index)
  {
    return request + ":" + std::to_string(index) + " ";
  }

  Task<void> Stream(Http::ExchangePtr exchange, std::string request, int tokens)
  {
    exchange->StartStream(200, "text/event-stream", {{"x-request-id", request}});
    for (int index = 0; index < tokens; ++index)
    {
      if (m_settings.token_ms > 0)
        co_await Common::Sleep{Milliseconds(m_settings.token_ms)};
      while (m_faults.stall && !exchange->IsClosed())
        co_await Common::Sleep{Milliseconds(20)};
      if (index == m_faults.cut_stream_after)
        co_return exchange->EndStream();
      const std::string chunk =
          R"(data: {"id":")" + request +
          R"(","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":")" +
          Token(request, index) + "\"}}]}\n\n";
      const bool open = co_await exchange->Write(chunk);
      if (!open)
      {
        ++m_cancelled;
        co_return;
      }
    }
    const std::string end_mark = "data: [DONE]\n\n";
    co_await exchange->Write(end_mark);
    exchange->EndStream();
  }

  Task<void> SendCompleteResponse(Http::ExchangePtr exchange, std::string request, int tokens)
  {
    co_await Common::Sleep{Milliseconds(m_settings.token_ms * tokens)};
    while (m_faults.stall && !exchange->IsClosed())
      co_await Common::Sleep{Milliseconds(20)};
    std::string content;
    for (int index = 0; index < tokens; ++index)
      content += Token(request, index);
    const Json choice = {{"index", 0},
                         {"message", {{"role", "assistant"}, {"content", content}}},
                         {"finish_reason", "stop"}};
    exchange->RespondJson(
        200, {{"id", request}, {"object", "chat.completion"}, {"choices", Json::array({choice})}},
        {{"x-request-id", request}});
  }

  /// Updates the reported number of running requests once per report lag, and sums up the time for
  /// which artifacts were loaded and busy.
  void UpdateReportedLoad()
  {
    const Milliseconds period(std::max(10, m_settings.report_lag_ms));
    m_reported_running = m_running;
    for (const auto& [id, artifact] : m_artifacts)
    {
      m_loaded_ms += period.count();
      m_busy_ms += artifact.running > 0 ? period.count() : 0;
    }
    Common::CallAfter(period, [this] {
      UpdateReportedLoad();
    });
  }

  Settings m_settings;
  Faults m_faults;
  Http::Client m_client;
  std::string m_incarnation = Common::NewId("e-");
  std::int64_t m_fence = 0;
  std::map<std::string, Artifact> m_artifacts;
  std::set<std::string> m_on_disk;
  std::set<std::string> m_in_memory;
  std::map<std::string, int> m_runs;
  int m_running = 0;
  int m_reported_running = 0;
  int m_orders = 0;
  int m_loads = 0;
  int m_cancelled = 0;
  std::int64_t m_peak_mb = 0;
  std::int64_t m_loaded_ms = 0;
  std::int64_t m_busy_ms = 0;
  std::int64_t m_first_load_order_us = 0;
};

Settings ReadSettings(const cxxopts::ParseResult& parsed)
{
  Settings settings;
  settings.vm = parsed["vm"].as<std::string>();
  settings.memory_mb = parsed["memory-mb"].as<std::int64_t>();
  settings.checks_fencing = parsed.count("ignore-fencing") == 0;
  settings.weight_store = parsed["weight-store"].as<std::string>();
  settings.disk_load_ms = parsed["disk-load-ms"].as<int>();
  settings.memory_load_ms = parsed["memory-load-ms"].as<int>();
  settings.token_ms = parsed["token-ms"].as<int>();
  settings.tokens = parsed["tokens"].as<int>();
  settings.max_running = parsed["max-running"].as<int>();
  settings.report_lag_ms = parsed["report-lag-ms"].as<int>();
  const auto on_disk = parsed["on-disk"].as<std::vector<std::string>>();
  settings.on_disk.insert(on_disk.begin(), on_disk.end());
  return settings;
}
} // namespace

int main(int argc, char** argv)
{
  cxxopts::Options options("standin-engine", "Stand-in for a model server");
  StandIns::AddListenOptions(options);
  options.add_options()("vm", "name of the backend server", cxxopts::value<std::string>())(
      "memory-mb", "accelerator memory", cxxopts::value<std::int64_t>()->default_value("80000"))(
      "ignore-fencing", "carry out orders with any fence")(
      "weight-store", "URL of the weight store", cxxopts::value<std::string>()->default_value(""))(
      "disk-load-ms", "duration of a load from disk", cxxopts::value<int>()->default_value("200"))(
      "memory-load-ms", "duration of a load from host memory",
      cxxopts::value<int>()->default_value("50"))("token-ms", "duration of one token",
                                                  cxxopts::value<int>()->default_value("5"))(
      "tokens", "tokens of a response", cxxopts::value<int>()->default_value("8"))(
      "max-running", "maximum number of concurrent requests",
      cxxopts::value<int>()->default_value("64"))("report-lag-ms", "delay of the reported load",
                                                  cxxopts::value<int>()->default_value("100"))(
      "on-disk", "artifacts whose weights are on disk",
      cxxopts::value<std::vector<std::string>>()->default_value(""));
  const cxxopts::ParseResult parsed = StandIns::ParseOrExit(options, argc, argv);
  if (parsed.count("vm") == 0)
  {
    std::cerr << "--vm is missing\n";
    return 2;
  }
  Common::InitLog(argv[0]);
  ModelServer model_server(ReadSettings(parsed));
  Http::Server server({});
  server.Handle("/v1/engine/report", [&model_server](Http::ExchangePtr exchange) {
    return model_server.Report(exchange);
  });
  server.Handle("/v1/engine/orders", [&model_server](Http::ExchangePtr exchange) {
    return model_server.Order(exchange);
  });
  server.Handle("/v1/chat/completions", [&model_server](Http::ExchangePtr exchange) {
    return model_server.Chat(exchange);
  });
  server.Handle("/control", [&model_server](Http::ExchangePtr exchange) {
    return model_server.Control(exchange);
  });
  return StandIns::ListenAndRun(server, parsed);
}

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// LIMIT: another writer leaves an entry of a backend server without the list of its models.

#include "Lab.h"

namespace
{
using namespace Lab;

constexpr double SERVER_MB = 230000;
constexpr double MODEL_MB = 72700;
constexpr int EVENTS = 60;
constexpr double EVENT_S = 0.1;

std::mutex s_mutex;
int s_complete = 0;
int s_cut = 0;
int s_refused = 0;
std::atomic<bool> s_server_fell{false};

Json ModelJson(const std::string& name)
{
  return {{"name", name},      {"weightsMb", MODEL_MB}, {"loadS", 6.0}, {"adapters", 0},
          {"adapterMb", 66.0}, {"warmS", 0.47},         {"diskS", 0.84}};
}

Json Configuration(int version, const std::vector<std::string>& models)
{
  Json listed = Json::array();
  for (const std::string& model : models)
    listed.push_back(ModelJson(model));
  return {{"version", version},
          {"routes",
           {{{"name", "plan"},
             {"host", "shop.example"},
             {"pathPrefix", "/plan/"},
             {"kind", "streaming"},
             {"timeoutMs", 25000},
             {"targetLatencyMs", 2500},
             {"priority", 0},
             {"service", "runners"},
             {"maxAttempts", 1},
             {"sticky", true},
             {"resumable", false},
             {"gapAimMs", 300}}}},
          {"services",
           {{{"name", "runners"},
             {"healthPath", "/health"},
             {"maxConns", 360},
             {"engine",
              {{"slots", 64},
               {"kvTokens", 135497},
               {"weightsMb", SERVER_MB},
               {"adapterSlots", 8},
               {"loadsPerS", 3.1},
               {"models", listed}}}}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

/// Sends one request for a stream and reads the answer to its end.
void Ask(const Daemon& daemon, const std::string& model, std::atomic<int>& open)
{
  ++open;
  std::thread([ip = daemon.ip, port = daemon.front, model, &open] {
    const std::string id = NewId();
    const std::string body(400, 'x');
    Note("sent %s (%s) to %s", id.c_str(), model.c_str(), ip.c_str());
    const Result result = Call(
        ip, port,
        "POST /plan/week HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\nAttempt-Id: " + id +
            "\r\nModel: " + model + "\r\nToken-Counts: 826,290\r\nPrompt-Prefix: aa:198," +
            id.substr(8) + ":628\r\nTime-Left-Ms: 25000\r\nContent-Length: 400\r\n\r\n" + body,
        25);
    Note("answer to %s (%s): %d, %s", id.c_str(), model.c_str(), result.status,
         result.whole ? "whole" : "cut");
    const std::lock_guard guard(s_mutex);
    s_complete += result.status == 200 && result.whole ? 1 : 0;
    s_cut += result.status == 200 && !result.whole ? 1 : 0;
    s_refused += result.status != 200 ? 1 : 0;
    --open;
  }).detach();
}
} // namespace

int main()
{
  Now();
  Deployment deployment;
  for (int i = 0; i < 3; ++i)
    deployment.Add("entry-" + std::to_string(i + 1), 10 + i);

  Server server;
  server.id = "i-" + NewId();
  server.ip = Address(100);
  server.service = "runners";
  server.runs_models = true;
  server.load_s = 0.5;
  server.on_run = [&](const Message& request, Connection& connection) {
    const std::string id = request.Find("Attempt-Id");
    if (!connection.Write("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Stamp: stamp-" + id +
                          "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
                          "chunked\r\n\r\n"))
      return false;
    for (int event = 1; event <= EVENTS; ++event)
    {
      SleepFor(EVENT_S);
      if (s_server_fell)
      {
        connection.Reset();
        return false;
      }
      const std::string text = "id: " + std::to_string(event) + "\ndata: piece\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
      if (!connection.Write(size + text + "\r\n"))
        return false;
    }
    return connection.Write("0\r\n\r\n");
  };
  // What the server holds by the orders that it took: its memory is what the page gives it.
  std::set<std::string> held = {"model-1", "model-2", "model-3"};
  bool is_broken = false;
  std::string how;
  std::mutex mutex;
  server.on_order = [&](const Server::Order& order) {
    const std::lock_guard guard(mutex);
    const std::string model = order.body.value("model", "");
    if (order.status != 202)
      return;
    if (order.body.value("operation", "") == "unload")
    {
      held.erase(model);
      return;
    }
    held.insert(model);
    const double needed = static_cast<double>(held.size()) * MODEL_MB;
    if (needed <= SERVER_MB)
      return;
    is_broken = true;
    how = "ordered to load " + model + " beside " + std::to_string(held.size() - 1) +
          " models: " + std::to_string(static_cast<int>(needed)) + " MB of " +
          std::to_string(static_cast<int>(SERVER_MB));
    Note("the server falls: %s", how.c_str());
    s_server_fell = true;
    server.Crash();
  };
  if (!server.Start(deployment.store, held))
    deployment.End(2, "a server cannot listen");
  deployment.store.Put("op", "config",
                       Configuration(1, {"model-1", "model-2", "model-3", "model-4"}).dump());
  for (const auto& daemon : deployment.daemons)
    daemon->Start(deployment.folder);
  deployment.AwaitReady(15);
  SleepFor(6);

  std::atomic<int> open{0};
  const auto ask_all = [&](const std::string& model) {
    for (const auto& daemon : deployment.daemons)
      Ask(*daemon, model, open);
  };
  ask_all("model-1");
  ask_all("model-2");
  SleepFor(2);
  SleepFor(3);
  ask_all("model-1");
  ask_all("model-2");
  SleepFor(0.5);
  if (HasTrouble())
    server.WriteEntryWithoutModels();
  SleepFor(0.3);
  ask_all("model-4");
  const double until = Now() + 40;
  while (open > 0 && Now() < until)
    SleepFor(0.1);
  const std::lock_guard guard(mutex);
  char text[200];
  std::snprintf(text, sizeof(text), "%d streams complete, %d cut, %d not served", s_complete, s_cut,
                s_refused);
  if (is_broken)
    deployment.End(1, how + "; " + text);
  if (!held.contains("model-4"))
    deployment.End(2, std::string("model-4 was never loaded; ") + text);
  deployment.End(0, text);
}

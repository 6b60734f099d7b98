// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// LOST: a machine gets SIGTERM while it forwards streams of a server that leaves as planned and
// pauses in the newest of them.

#include "Lab.h"

namespace
{
using namespace Lab;

constexpr int STREAMS = 6;
constexpr int EVENTS = 40;
constexpr double EVENT_S = 0.05;
constexpr double LEAVES_AT_S = 1.0;
constexpr double SIGTERM_AT_S = 1.3;
constexpr int PAUSE_AFTER = 30;
constexpr double PAUSE_S = 3.5;
constexpr double GRACE_S = 8;
constexpr double CALLER_PATIENCE_S = 10; ///< Four times the latency target of the route.

Json Configuration()
{
  return {{"version", 1},
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
               {"weightsMb", 230000},
               {"adapterSlots", 8},
               {"loadsPerS", 3.1},
               {"models",
                {{{"name", "model-1"},
                  {"weightsMb", 72700},
                  {"loadS", 6.0},
                  {"adapters", 0},
                  {"adapterMb", 66.0},
                  {"warmS", 0.47},
                  {"diskS", 0.84}}}}}}}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

struct Stream
{
  std::string id;
  int status = 0;
  bool whole = false;
  double ended_at = 0;
};
} // namespace

int main()
{
  Now();
  Deployment deployment;
  for (int i = 0; i < 3; ++i)
    deployment.Add("entry-" + std::to_string(i + 1), 10 + i);
  std::vector<std::unique_ptr<Server>> servers;
  std::atomic<int> written{0};
  std::atomic<int> stopped{0};
  std::atomic<int> arrived{0};
  for (int i = 0; i < 2; ++i)
  {
    servers.push_back(std::make_unique<Server>());
    Server& server = *servers.back();
    server.id = "i-" + NewId();
    server.ip = Address(100 + i);
    server.service = "runners";
    server.runs_models = true;
    server.on_run = [&](const Message& request, Connection& connection) {
      const std::string id = request.Find("Attempt-Id");
      // Only the newest request is preempted.
      const bool is_newest = ++arrived == STREAMS;
      if (!connection.Write("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Stamp: stamp-" +
                            id +
                            "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
                            "chunked\r\n\r\n"))
        return false;
      for (int event = 1; event <= EVENTS; ++event)
      {
        SleepFor(is_newest && event == PAUSE_AFTER + 1 ? PAUSE_S : EVENT_S);
        const std::string text = "id: " + std::to_string(event) + "\ndata: piece\n\n";
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
        if (!connection.Write(size + text + "\r\n"))
        {
          ++stopped;
          Note("the connection of %s has ended before event %d", id.c_str(), event);
          return false;
        }
      }
      ++written;
      Note("the server has written %s to its end", id.c_str());
      return connection.Write("0\r\n\r\n");
    };
    // Only the first server holds the model, until another one is loaded.
    if (!server.Start(deployment.store,
                      i == 0 ? std::set<std::string>{"model-1"} : std::set<std::string>{}))
      deployment.End(2, "a server cannot listen");
  }
  deployment.store.Put("op", "config", Configuration().dump());
  for (const auto& daemon : deployment.daemons)
    daemon->Start(deployment.folder);
  deployment.AwaitReady(15);
  SleepFor(6);

  Daemon& daemon = *deployment.daemons[0];
  const double begin = Now();
  std::vector<Stream> streams(STREAMS);
  std::vector<std::thread> callers;
  for (Stream& stream : streams)
    callers.emplace_back([&stream, &daemon] {
      stream.id = NewId();
      Note("sent %s to %s", stream.id.c_str(), daemon.ip.c_str());
      const Result result = Call(
          daemon.ip, daemon.front,
          "POST /plan/week HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + stream.id +
              "\r\nModel: model-1\r\nToken-Counts: 826,290\r\nPrompt-Prefix: aa:198," +
              stream.id.substr(8) + ":628\r\nTime-Left-Ms: 25000\r\nContent-Length: 4\r\n\r\nplan",
          CALLER_PATIENCE_S);
      stream.status = result.status;
      stream.whole = result.whole;
      stream.ended_at = Now();
      const auto& body = result.message.body;
      Note("answer to %s: %d, %s, %zu events", stream.id.c_str(), result.status,
           result.whole ? "whole" : "cut",
           static_cast<std::size_t>(std::count(body.begin(), body.end(), ':') / 2));
    });
  SleepUntil(begin + LEAVES_AT_S);
  double terminated_at = 1e9;
  if (HasTrouble())
  {
    servers[0]->LeaveList();
    SleepUntil(begin + SIGTERM_AT_S);
    terminated_at = Now();
    daemon.Signal(SIGTERM, "SIGTERM to");
  }
  for (std::thread& caller : callers)
    caller.join();
  SleepFor(3);

  int lost = 0;
  int complete = 0;
  double first_lost_at = 0;
  for (const Stream& stream : streams)
  {
    complete += stream.status == 200 && stream.whole ? 1 : 0;
    // The server was at work until its connection ended. In the last sixth of the grace period a
    // cut is excused.
    const bool is_excused = stream.ended_at >= terminated_at + GRACE_S * 5 / 6;
    if (stream.whole || is_excused)
      continue;
    ++lost;
    first_lost_at = stream.ended_at;
  }
  char text[200];
  std::snprintf(
      text, sizeof(text), "%d of %d streams complete; %d cut by the daemon%s", complete, STREAMS,
      lost,
      lost == 0 ? ""
                : (", " + std::to_string(first_lost_at - terminated_at) + " s after its SIGTERM")
                      .c_str());
  if (lost == 0 && complete < STREAMS)
    deployment.End(2, text);
  deployment.End(lost > 0 ? 1 : 0, text);
}

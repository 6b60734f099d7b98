// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// TWICE: servers lose the answers of requests that they ran, on a route of kind non_idempotent that
// is marked as resumable.

#include "Lab.h"

namespace
{
using namespace Lab;

constexpr int REQUESTS = 300;
constexpr double RATE = 20;
/// One of three servers loses the answer to each 20th request that it ran.
constexpr int LOSING_SERVERS = 1;
constexpr int LOSE_ONE_IN = 20;

Json Configuration()
{
  return {{"version", 1},
          {"routes",
           {{{"name", "order"},
             {"host", "shop.example"},
             {"pathPrefix", "/order/"},
             {"kind", "non_idempotent"},
             {"timeoutMs", 1500},
             {"targetLatencyMs", 300},
             {"priority", 2},
             {"service", "stock"},
             {"maxAttempts", 2},
             {"sticky", false},
             {"resumable", true}}}},
          {"services", {{{"name", "stock"}, {"healthPath", "/health"}, {"maxConns", 96}}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}
} // namespace

int main()
{
  Now();
  Deployment deployment;
  for (int i = 0; i < 3; ++i)
    deployment.Add("entry-" + std::to_string(i + 1), 10 + i);
  std::vector<std::unique_ptr<Server>> servers;
  std::atomic<int> answers_lost{0};
  for (int i = 0; i < 3; ++i)
  {
    servers.push_back(std::make_unique<Server>());
    Server& server = *servers.back();
    server.id = "i-" + NewId();
    server.ip = Address(100 + i);
    server.service = "stock";
    server.slots = 6;
    server.on_run = [&, i, count = std::make_shared<std::atomic<int>>(0)](const Message& request,
                                                                          Connection& connection) {
      const std::string id = request.Find("Attempt-Id");
      SleepFor(server.work_s);
      const bool loses = HasTrouble() && i < LOSING_SERVERS && ++*count % LOSE_ONE_IN == 0;
      if (loses)
      {
        ++answers_lost;
        Note("%s loses the answer to %s, which it ran", server.id.c_str(), id.c_str());
        connection.Reset();
        return false;
      }
      return connection.Write(Response(200, {{"Attempt-Id", id}, {"Server-Stamp", "stamp-" + id}},
                                       "done by " + server.id));
    };
    if (!server.Start(deployment.store))
      deployment.End(2, "a server cannot listen");
  }
  deployment.store.Put("op", "config", Configuration().dump());
  for (const auto& daemon : deployment.daemons)
    daemon->Start(deployment.folder);
  deployment.AwaitReady(15);
  SleepFor(6);

  std::atomic<int> served{0};
  std::vector<std::thread> callers;
  const double begin = Now();
  for (int i = 0; i < REQUESTS; ++i)
  {
    SleepUntil(begin + i / RATE);
    const Daemon& daemon = *deployment.daemons[static_cast<std::size_t>(i) % 3];
    callers.emplace_back([&served, ip = daemon.ip, port = daemon.front] {
      const std::string id = NewId();
      const std::string body = "order " + id;
      Note("sent %s to %s", id.c_str(), ip.c_str());
      const Result result = Call(
          ip, port,
          "POST /order/new HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\nAttempt-Id: " +
              id + "\r\nTime-Left-Ms: 1500\r\nContent-Length: " + std::to_string(body.size()) +
              "\r\n\r\n" + body,
          2);
      served += result.status == 200 ? 1 : 0;
      Note("answer to %s: %d", id.c_str(), result.status);
    });
  }
  for (std::thread& caller : callers)
    caller.join();

  std::map<std::string, int> runs;
  for (const auto& server : servers)
    for (const Server::Run& run : server->Runs())
      ++runs[run.id];
  const auto twice = std::ranges::count_if(runs, [](const auto& entry) {
    return entry.second > 1;
  });
  char text[200];
  std::snprintf(text, sizeof(text),
                "%d requests sent, %d served, %d answers lost, %d requests ran more than once",
                REQUESTS, served.load(), answers_lost.load(), static_cast<int>(twice));
  if (served < REQUESTS / 2)
    deployment.End(2, text);
  deployment.End(twice > 0 ? 1 : 0, text);
}

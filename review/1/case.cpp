// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Non-idempotent requests under a load at which servers reject some as full. A few answers of the
// servers, rejections among them, come a second time, late: where the next answer on the connection
// is due. How often does each request run?

#include <random>

#include "../support/Servers.h"

namespace
{
using namespace Review;

constexpr int DAEMONS = 6;
constexpr int CALLERS_PER_DAEMON = 5;
constexpr int SERVERS = 3;
constexpr int GARBLING_SERVERS = 1; ///< Share 0.33; the pages have 0.6 at most.
constexpr double SURPLUS_SHARE = 0.03;
constexpr int SLOTS = 6;
constexpr int QUEUE = 2;
constexpr std::int64_t TRAFFIC_MS = 80000;

/// A place of a server's slots, and what it owes on its connections.
struct Load
{
  std::mutex mutex;
  std::condition_variable freed;
  int running = 0;
  int queued = 0;
  std::map<int, std::string> late; ///< By connection: an answer that comes a second time.
};
} // namespace

int main(int, char** argv)
{
  Record record(std::string(argv[1]) + "/record.txt");
  const TemporaryFolder folder;
  const LoopbackNet net;
  const bool trouble = HasTrouble();
  Store store;
  const Address store_address{net.Ip(200), 8781};
  if (!store.Start(store_address))
    return COULD_NOT_RUN;

  std::mutex mutex;
  std::map<std::string, std::vector<std::string>> runs; // By Attempt-Id: when and where it ran.
  std::map<std::string, std::string> trail;             // By Attempt-Id: all that happened.
  std::mt19937 random(1);
  std::map<std::string, Load> loads;
  int surplus_rejections = 0;
  int surplus_answers = 0;
  int rejections = 0;
  int answers = 0;
  const auto note = [&](const std::string& id, const std::string& what) {
    const std::lock_guard lock(mutex);
    trail[id] += "    " + std::to_string(NowMs()) + " ms " + what + "\n";
  };
  const auto handle = [&](BackendServer& server, int fd, const Message& request) {
    const std::string id = request.Header("Attempt-Id");
    Load& load = loads.at(server.Id());
    std::string late;
    {
      const std::lock_guard lock(load.mutex);
      late = std::exchange(load.late[fd], {});
    }
    if (!late.empty() && !SendAll(fd, late))
      return false;
    bool is_full = false;
    {
      std::unique_lock lock(load.mutex);
      is_full = load.running >= SLOTS && load.queued >= QUEUE;
      if (!is_full)
      {
        ++load.queued;
        load.freed.wait(lock, [&] {
          return load.running < SLOTS;
        });
        --load.queued;
        ++load.running;
      }
    }
    std::string answer;
    if (is_full)
    {
      note(id, server.Id() + " rejects it on connection " + std::to_string(fd));
      answer = BackendServer::Answer(request, "", "503 Service Unavailable", "Not-Run: 1\r\n");
    }
    else
    {
      note(id, server.Id() + " runs it, asked on connection " + std::to_string(fd));
      {
        const std::lock_guard lock(mutex);
        runs[id].push_back(server.Id());
      }
      SleepMs(60);
      answer = BackendServer::Answer(request, "made " + id);
      const std::lock_guard lock(load.mutex);
      --load.running;
      load.freed.notify_one();
    }
    bool is_doubled = false;
    {
      const std::lock_guard lock(mutex);
      ++answers;
      rejections += is_full;
      const bool garbles = trouble && server.Id() <= "i-" + std::to_string(GARBLING_SERVERS);
      is_doubled = garbles && std::uniform_real_distribution<>()(random) < SURPLUS_SHARE;
      surplus_answers += is_doubled;
      surplus_rejections += is_doubled && is_full;
    }
    if (is_doubled)
    {
      note(id, server.Id() + " will send this answer once more, later, on connection " +
                   std::to_string(fd));
      const std::lock_guard lock(load.mutex);
      load.late[fd] = answer;
    }
    else
    {
      const std::lock_guard lock(load.mutex);
      load.late.erase(fd);
    }
    return SendAll(fd, answer);
  };

  std::vector<std::shared_ptr<BackendServer>> servers;
  for (int i = 1; i <= SERVERS; ++i)
  {
    loads["i-" + std::to_string(i)];
    servers.push_back(std::make_shared<BackendServer>(
        "i-" + std::to_string(i), "svc-label", Address{net.Ip(100 + i), 8600},
        "zone-" + std::to_string(i), SLOTS, handle));
  }
  for (const auto& server : servers)
    if (!server->Start())
      return COULD_NOT_RUN;
  Heartbeats heartbeats(store, servers);
  heartbeats.BeatAll();
  store.Put(
      "op", "config",
      {{"version", 7},
       {"routes", {RouteJson("label", "/label/", "non_idempotent", "svc-label", 2000, 300, 1)}},
       {"services", {ServiceJson("svc-label", 100)}},
       {"limits", LimitsJson()}});
  std::vector<std::unique_ptr<Daemon>> daemons;
  for (int i = 1; i <= DAEMONS; ++i)
    daemons.push_back(std::make_unique<Daemon>(
        DaemonSettings{"entry-" + std::to_string(i), net.Ip(i),
                       "zone-" + std::to_string(1 + i % 3), store_address, SmallBounds(),
                       {{"zone-1", "r"}, {"zone-2", "r"}, {"zone-3", "r"}}},
        folder.Path()));
  for (const auto& daemon : daemons)
    daemon->Start();
  for (const auto& daemon : daemons)
    if (!WaitFor(15000, [&] {
          return IsReady(daemon->Settings());
        }))
      return COULD_NOT_RUN;
  SleepMs(4000);

  std::atomic<int> sent = 0;
  std::map<std::string, int> statuses; // By Attempt-Id; 0: no whole answer.
  const std::int64_t until = NowMs() + TRAFFIC_MS;
  const auto call = [&](const Daemon& daemon, int number) {
    for (int i = 0; NowMs() < until; ++i)
    {
      const std::string id =
          daemon.Settings().name + "-" + std::to_string(number) + "-" + std::to_string(i);
      note(id, "sent to " + daemon.Settings().name);
      ++sent;
      const auto answer =
          Ask(daemon.Settings().Front(),
              "POST /label/x HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: " + id +
                  "\r\nTime-Left-Ms: 4000\r\nContent-Length: 5\r\n\r\nlabel",
              4000);
      const int status = answer ? answer->Status() : 0;
      note(id, "the caller gets status " + std::to_string(status));
      const std::lock_guard lock(mutex);
      statuses[id] = status;
    }
  };
  std::vector<std::thread> callers;
  for (const auto& daemon : daemons)
    for (int i = 0; i < CALLERS_PER_DAEMON; ++i)
      callers.emplace_back(call, std::cref(*daemon), i);
  for (std::thread& caller : callers)
    caller.join();
  SleepMs(1000);

  int twice = 0;
  int refused = 0;
  int served = 0;
  {
    const std::lock_guard lock(mutex);
    for (const auto& [id, status] : statuses)
    {
      served += status == 200;
      const std::size_t times = runs.contains(id) ? runs.at(id).size() : 0;
      const bool is_refused = status == 503 || status == 429 || status == 408 || status == 421;
      if (times > 1)
      {
        ++twice;
        record.Line("TWICE: " + id + " ran " + std::to_string(times) + " times\n" + trail[id]);
      }
      if (times > 0 && is_refused)
      {
        ++refused;
        record.Line("REFUSED: " + id + " ran, and its caller was told that it had not\n" +
                    trail[id]);
      }
    }
    record.Line("all requests:");
    for (const auto& [id, events] : trail)
      record.Line(id + "\n" + events);
    record.Line(std::to_string(answers) + " answers of the servers, of which " +
                std::to_string(rejections) + " were rejections; " +
                std::to_string(surplus_answers) + " came a second time, of which " +
                std::to_string(surplus_rejections) + " were rejections");
    record.Line(std::to_string(sent) + " requests sent, " + std::to_string(served) + " served, " +
                std::to_string(twice) + " ran more than once, " + std::to_string(refused) +
                " ran though refused");
  }
  daemons.clear();
  if (served == 0)
    std::_Exit(COULD_NOT_RUN);
  std::_Exit(twice + refused > 0 ? RULE_BROKEN : RULE_HELD);
}

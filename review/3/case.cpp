// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// The store is away for a moment and comes back from a copy some seconds old. The operator then
// moves a route to another service. Which service do requests reach afterwards?

#include "../support/Servers.h"

namespace
{
using namespace Review;

constexpr int DAEMONS = 6;
constexpr std::int64_t AWAY_MS = 300;
constexpr std::int64_t COPY_AGE_MS = 2000;
/// From the pages: when machines count as in touch again, and how long a configuration may take.
constexpr std::int64_t CONTACT_MS = 3000;
constexpr std::int64_t CONFIG_MS = 2000;
constexpr std::int64_t OUTER_MS = 5000;
/// How long requests are sent after that.
constexpr std::int64_t JUDGED_MS = 20000;

Json Configuration(int version, const std::string& service)
{
  return {{"version", version},
          {"routes", {RouteJson("catalogue", "/catalogue/", "idempotent", service, 1500, 300, 2)}},
          {"services", {ServiceJson("svc-old", 96), ServiceJson("svc-new", 96)}},
          {"limits", LimitsJson()}};
}

std::string RequestFor(const std::string& id)
{
  return "GET /catalogue/x HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: " + id +
         "\r\nTime-Left-Ms: 1500\r\n\r\n";
}
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

  const auto handle = [&](BackendServer& server, int fd, const Message& request) {
    record.Line("server " + server.Id() + " of " + server.Service() + " runs " +
                request.Header("Attempt-Id"));
    SleepMs(5);
    return SendAll(fd, BackendServer::Answer(request, server.Service()));
  };
  const std::vector<std::string> zones = {"zone-a", "zone-b", "zone-c"};
  std::vector<std::shared_ptr<BackendServer>> servers;
  for (int i = 0; i < 12; ++i)
    servers.push_back(std::make_shared<BackendServer>(
        "i-" + std::to_string(i), i < 6 ? "svc-old" : "svc-new", Address{net.Ip(100 + i), 8600},
        zones[static_cast<std::size_t>(i % 3)], 6, handle));
  for (const auto& server : servers)
    if (!server->Start())
      return COULD_NOT_RUN;
  Heartbeats heartbeats(store, servers);
  heartbeats.BeatAll();
  int version = 7;
  store.Put("op", "config", Configuration(version, "svc-old"));

  std::vector<std::unique_ptr<Daemon>> daemons;
  for (int i = 1; i <= DAEMONS; ++i)
    daemons.push_back(std::make_unique<Daemon>(
        DaemonSettings{"entry-" + std::to_string(i), net.Ip(i),
                       zones[static_cast<std::size_t>(i % 3)], store_address, SmallBounds(),
                       {{"zone-a", "r"}, {"zone-b", "r"}, {"zone-c", "r"}}},
        folder.Path()));
  for (const auto& daemon : daemons)
    daemon->Start();
  for (const auto& daemon : daemons)
    if (!WaitFor(15000, [&] {
          return IsReady(daemon->Settings());
        }))
      return COULD_NOT_RUN;
  std::atomic<bool> stopped = false;
  std::thread copies([&] {
    while (!stopped)
    {
      store.TakeCopy();
      SleepMs(100);
    }
  });
  SleepMs(12000);
  record.Line("the lease row has version " +
              std::to_string(store.RowVersion("drumpond", "order-lease")));

  if (trouble)
  {
    const std::int64_t before = store.Version();
    record.Line("the store is away, at version " + std::to_string(before));
    heartbeats.Pause(true);
    store.SetFault(Store::Fault::Reset);
    SleepMs(AWAY_MS);
    const std::int64_t restored = store.Restore(COPY_AGE_MS);
    // What the operator and the servers wrote is written again.
    store.Put("op", "config", Configuration(version, "svc-old"));
    heartbeats.BeatAll();
    store.SetFault(Store::Fault::None);
    heartbeats.Pause(false);
    record.Line("the store is back from a copy, at version " + std::to_string(restored));
  }
  const std::int64_t back_at = NowMs();
  SleepMs(100);
  const std::int64_t row = store.Put("op", "config", Configuration(++version, "svc-new"));
  const std::int64_t acknowledged_at = NowMs();
  record.Line("the operator's configuration " + std::to_string(version) +
              " moves the route to svc-new; acknowledged as version " + std::to_string(row));

  // Only requests count that are sent when all machines are in touch and the time for the
  // configuration, with all that may lengthen it, is over.
  const std::int64_t from =
      std::max(back_at + CONTACT_MS, acknowledged_at + CONFIG_MS + OUTER_MS) + 500;
  int old_runs = 0;
  int new_runs = 0;
  int others = 0;
  std::map<std::string, int> old_by_daemon;
  for (int turn = 0; NowMs() < from + JUDGED_MS; ++turn)
  {
    for (const auto& daemon : daemons)
    {
      const std::string id = daemon->Settings().name + "-" + std::to_string(turn);
      const std::int64_t sent_at = NowMs();
      const auto answer = Ask(daemon->Settings().Front(), RequestFor(id));
      const std::string got = answer ? answer->first_line + " " + answer->body : "no answer";
      record.Line("request " + id + " sent at " + std::to_string(sent_at) + " ms: " + got);
      if (sent_at < from)
        continue;
      if (!answer || answer->Status() != 200)
        ++others;
      else if (answer->body == "svc-new")
        ++new_runs;
      else
      {
        ++old_runs;
        ++old_by_daemon[daemon->Settings().name];
      }
    }
    SleepMs(400);
  }
  for (const auto& [name, count] : old_by_daemon)
    record.Line("CONFIG: " + name + " sent " + std::to_string(count) +
                " requests to the old service");
  record.Line("the lease row has version " +
              std::to_string(store.RowVersion("drumpond", "order-lease")));
  for (const auto& [kind, count] : store.Calls())
    record.Line("store calls: " + kind + ": " + std::to_string(count));
  record.Line("requests sent more than configMs + outerMs after the acknowledgement: " +
              std::to_string(old_runs) + " run by the old service, " + std::to_string(new_runs) +
              " by the new one, " + std::to_string(others) + " others");
  stopped = true;
  copies.join();
  daemons.clear();
  if (new_runs + old_runs == 0)
    std::_Exit(COULD_NOT_RUN);
  std::_Exit(old_runs > 0 ? RULE_BROKEN : RULE_HELD);
}

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// The platform's store is away for a moment and comes back from a copy some seconds old. Right
// after that the operator takes a key away.

#include "../support/Clients.h"

using namespace Review;

namespace
{
constexpr int DAEMONS = 6;
constexpr int RUNNERS = 6;
constexpr std::int64_t BEAT_MS = 1200;
constexpr std::int64_t DRILL_AT_MS = 8000;
constexpr std::int64_t AWAY_MS = 300;
constexpr std::int64_t COPY_AGE_MS = 3000;
constexpr std::int64_t REVOKE_AFTER_MS = 700;
constexpr std::int64_t REVOKE_BOUND_MS = 5000;
constexpr std::int64_t TRAFFIC_MS = 40000;
constexpr std::int64_t INTERVAL_MS = 100;
constexpr std::int64_t DEADLINE_MS = 1500;
const char* const REVOKED_KEY = "k-old";

std::atomic<bool> s_stopped = false;
} // namespace

int main(int, char** arguments)
{
  const std::string folder = arguments[1];
  Record record(folder + "/record.txt");
  const bool trouble = HasTrouble();
  LoopbackNet net;
  TemporaryFolder work;
  Store store;
  const Address store_address{net.Ip(1), 8142};
  if (!store.Start(store_address))
    return COULD_NOT_RUN;
  const Json zones = {{"a", "r"}, {"b", "r"}, {"c", "r"}};
  std::mutex mutex;
  std::map<std::string, std::int64_t> sent_at; ///< Requests with the key that is taken away.
  std::atomic<std::int64_t> acknowledged_at = 0;
  int late = 0;
  std::vector<std::shared_ptr<BackendServer>> runners;
  for (int i = 0; i < RUNNERS; ++i)
  {
    auto runner = std::make_shared<BackendServer>(
        "i-" + std::to_string(i), "app", Address{net.Ip(20 + i), 8080},
        std::string(1, static_cast<char>('a' + i % 3)), 6,
        [&](BackendServer& server, int fd, const Message& request) {
          const std::string id = request.Header("Attempt-Id");
          record.Line("runner " + server.Id() + " runs " + id + " for tenant " +
                      request.Header("Tenant"));
          {
            const std::lock_guard lock(mutex);
            const auto sent = sent_at.find(id);
            const std::int64_t over =
                sent == sent_at.end() || acknowledged_at == 0 ? 0 : sent->second - acknowledged_at;
            if (over > REVOKE_BOUND_MS)
            {
              ++late;
              record.Line("CONFIG: runner " + server.Id() + " runs " + id + " for tenant " +
                          request.Header("Tenant") + ", sent with the key taken away " +
                          std::to_string(over) + " ms after the acknowledgement");
            }
          }
          SleepMs(30);
          return SendAll(fd, BackendServer::Answer(request, "done " + id));
        });
    if (!runner->Start())
      return COULD_NOT_RUN;
    runners.push_back(runner);
  }
  const auto tenants = [](bool with_old_key) {
    Json keys = Json::array({"k-new"});
    if (with_old_key)
      keys.push_back(REVOKED_KEY);
    return Json::array({{{"name", "acme"}, {"apiKeys", keys}, {"priority", 1}},
                        {{"name", "other"}, {"apiKeys", Json::array({"k-other"})}}});
  };
  Json route = RouteJson("lookup", "/lookup/", "non_idempotent", "app", 800, 300, 1);
  route["public"] = false;
  Json config = {{"version", 7},
                 {"routes", Json::array({route})},
                 {"services", Json::array({ServiceJson("app", 96)})},
                 {"limits", LimitsJson()},
                 {"tenants", tenants(true)}};
  Heartbeats beats(store, runners, BEAT_MS);
  beats.BeatAll();
  store.Put("op", "config", config);
  std::atomic<bool> is_away = false;
  std::thread copies([&] {
    for (; !s_stopped; SleepMs(200))
      if (!is_away)
        store.TakeCopy();
  });
  Json bounds = SmallBounds();
  bounds["strictRevoke"] = true;
  bounds["revokeMs"] = REVOKE_BOUND_MS;
  std::vector<std::unique_ptr<Daemon>> daemons;
  for (int i = 0; i < DAEMONS; ++i)
  {
    const std::string zone(1, static_cast<char>('a' + i % 3));
    daemons.push_back(
        std::make_unique<Daemon>(DaemonSettings{"front-" + zone + std::to_string(i / 3 + 1),
                                                net.Ip(10 + i), zone, store_address, bounds, zones},
                                 work.Path()));
    daemons.back()->Start();
  }
  const bool ready = WaitFor(15000, [&] {
    return std::ranges::all_of(daemons, [](const auto& daemon) {
      return IsReady(daemon->Settings());
    });
  });
  int result = COULD_NOT_RUN;
  if (ready)
  {
    SleepMs(8000);
    record.Line("traffic begins");
    const std::int64_t begin = NowMs();
    std::thread operations([&] {
      SleepMs(DRILL_AT_MS);
      if (trouble)
      {
        record.Line("the store is away, at version " + std::to_string(store.Version()));
        is_away = true;
        beats.Pause(true);
        store.SetFault(Store::Fault::Reset);
        SleepMs(AWAY_MS);
        const std::int64_t version = store.Restore(COPY_AGE_MS);
        store.SetFault(Store::Fault::None);
        beats.Pause(false);
        is_away = false;
        record.Line("the store is back from a copy of " + std::to_string(COPY_AGE_MS) +
                    " ms ago, at version " + std::to_string(version));
        // What the operator and the runners wrote is written again.
        store.Put("op", "config", config);
        beats.BeatAll();
      }
      SleepMs(REVOKE_AFTER_MS);
      config["version"] = 9;
      config["tenants"] = tenants(false);
      const std::int64_t version = store.Put("op", "config", config);
      acknowledged_at = NowMs();
      record.Line("the operator takes the key away, at version " + std::to_string(version));
    });
    std::map<int, int> statuses; ///< Of requests with the key, later than the bound.
    std::vector<std::thread> clients;
    for (int i = 0; NowMs() < begin + TRAFFIC_MS; ++i)
    {
      clients.emplace_back([&, i] {
        const bool is_old = i % 2 == 0;
        const std::string id = "q" + std::to_string(i);
        if (is_old)
        {
          const std::lock_guard lock(mutex);
          sent_at[id] = NowMs();
        }
        const bool counts =
            is_old && acknowledged_at > 0 && NowMs() > acknowledged_at + REVOKE_BOUND_MS;
        const auto& to = daemons[static_cast<std::size_t>(i / 2) % daemons.size()]->Settings();
        const Answer answer = Request(
            to.Front(),
            RequestBytes("POST", "/lookup/x", id, DEADLINE_MS,
                         std::string("Key: ") + (is_old ? REVOKED_KEY : "k-new") + "\r\n", "item"),
            DEADLINE_MS);
        record.Line("client " + id + " by " + to.name + " with the key " +
                    (is_old ? REVOKED_KEY : "k-new") + ": status " + std::to_string(answer.status) +
                    ", " + ToString(answer.end));
        const std::lock_guard lock(mutex);
        if (counts)
          ++statuses[answer.status];
      });
      SleepMs(begin + (i + 1) * INTERVAL_MS - NowMs());
    }
    for (std::thread& client : clients)
      client.join();
    operations.join();
    for (const auto& [status, count] : statuses)
      record.Line("with the key, later than the bound: status " + std::to_string(status) + ", " +
                  std::to_string(count) + " times");
    record.Line(std::to_string(late) + " requests ran with a key taken away over " +
                std::to_string(REVOKE_BOUND_MS) + " ms before");
    result = late > 0 ? RULE_BROKEN : RULE_HELD;
  }
  s_stopped = true;
  copies.join();
  daemons.clear();
  for (const auto& runner : runners)
    runner->Stop();
  store.Stop();
  return result;
}

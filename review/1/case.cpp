// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// A machine is stopped and started as planned. Before it is back, the platform's store is away for
// a moment and comes back from a copy some seconds old.

#include "../support/Engine.h"

using namespace Review;

namespace
{
constexpr int DAEMONS = 6;
constexpr int RUNNERS = 4;
constexpr int MODELS = 14;
constexpr std::int64_t BEAT_MS = 1200;
constexpr std::int64_t TRAFFIC_MS = 40000;
constexpr std::int64_t REQUEST_INTERVAL_MS = 120;
constexpr std::int64_t DEADLINE_MS = 15000;
constexpr std::int64_t STOP_AT_MS = 12000;
/// From the end of the process until it is started again.
constexpr std::int64_t RESTART_MS = 3000;
constexpr std::int64_t AWAY_MS = 300;
/// From the return of the store until the process is started again.
constexpr std::int64_t START_AFTER_MS = 300;
constexpr std::int64_t COPY_AGE_MS = 7000;
constexpr std::int64_t LEASE_MS = 3000;
constexpr std::int64_t THAW_MS = 300;

std::atomic<bool> s_stopped = false;

std::string ModelName(int number)
{
  return "m" + std::to_string(number);
}

/// What the orders that one runner received show.
struct Verdict
{
  int turns = 0;  ///< Orders of a holder within leaseMs after one of another holder.
  int lower = 0;  ///< Orders with a fence below an earlier one.
  int shared = 0; ///< Orders with a fence that another holder has used.
};

/// Judges the orders that one runner received, but for those right after the store's return.
void Judge(Engine& runner, std::int64_t healed_at, Verdict& verdict, Record& record)
{
  Engine::Order before;
  std::int64_t highest = 0;
  std::map<std::int64_t, std::string> holder_of;
  for (const Engine::Order& order : runner.Orders())
  {
    if (healed_at != 0 && order.at >= healed_at && order.at <= healed_at + THAW_MS)
      continue;
    const bool is_turn =
        !before.holder.empty() && before.holder != order.holder && order.at - before.at < LEASE_MS;
    const bool is_lower = order.fence < highest;
    const auto [known, is_new] = holder_of.try_emplace(order.fence, order.holder);
    const bool is_shared = !is_new && known->second != order.holder;
    verdict.turns += is_turn ? 1 : 0;
    verdict.lower += is_lower ? 1 : 0;
    verdict.shared += is_shared ? 1 : 0;
    if (is_turn || is_shared || (is_lower && before.fence > order.fence))
      record.Line("ONE: runner " + runner.Id() + " got an order of " + order.holder +
                  " with fence " + std::to_string(order.fence) + " at " + std::to_string(order.at) +
                  " ms, " + std::to_string(order.at - before.at) + " ms after one of " +
                  before.holder + " with fence " + std::to_string(before.fence));
    highest = std::max(highest, order.fence);
    before = order;
  }
}
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
  std::vector<std::unique_ptr<Engine>> runners;
  for (int i = 0; i < RUNNERS; ++i)
  {
    runners.push_back(
        std::make_unique<Engine>("i-" + std::to_string(i), "models", Address{net.Ip(20 + i), 8080},
                                 std::string(1, static_cast<char>('a' + i % 3)), record));
    for (int k = 0; k < 3; ++k)
      runners.back()->Hold(ModelName((i * 3 + k) % MODELS));
    for (int k = 0; k < MODELS; ++k)
      runners.back()->KeepOnDisk(ModelName(k));
    if (!runners.back()->Start())
      return COULD_NOT_RUN;
    store.Put("servers", runners.back()->Id(), runners.back()->Entry());
  }
  std::vector<std::string> names;
  for (int i = 0; i < MODELS; ++i)
    names.push_back(ModelName(i));
  Json route = RouteJson("chat", "/chat/", "streaming", "models", 15000, 400, 1);
  route["sticky"] = true;
  route["gapAimMs"] = 300;
  const Json config = {{"version", 7},
                       {"routes", Json::array({route})},
                       {"services", Json::array({EngineServiceJson("models", 64, names)})},
                       {"limits", LimitsJson()}};
  store.Put("op", "config", config);
  std::vector<std::thread> platform;
  std::atomic<bool> is_away = false;
  for (int i = 0; i < RUNNERS; ++i)
    platform.emplace_back([&, i] {
      SleepMs(BEAT_MS * i / RUNNERS);
      for (; !s_stopped; SleepMs(BEAT_MS))
        if (!is_away)
          store.Put("servers", runners[static_cast<std::size_t>(i)]->Id(),
                    runners[static_cast<std::size_t>(i)]->Entry());
    });
  platform.emplace_back([&] {
    for (; !s_stopped; SleepMs(250))
      if (!is_away)
        store.TakeCopy();
  });
  std::vector<std::unique_ptr<Daemon>> daemons;
  for (int i = 0; i < DAEMONS; ++i)
  {
    const std::string zone(1, static_cast<char>('a' + i % 3));
    daemons.push_back(std::make_unique<Daemon>(
        DaemonSettings{"front-" + zone + std::to_string(i / 3 + 1), net.Ip(10 + i), zone,
                       store_address, SmallBounds(), zones},
        work.Path()));
    daemons.back()->Start();
  }
  const bool ready = WaitFor(15000, [&] {
    return std::ranges::all_of(daemons, [](const auto& daemon) {
      return IsReady(daemon->Settings());
    });
  });
  /// The machine that gave the last order.
  const auto last_holder = [&] {
    Engine::Order last;
    for (const auto& runner : runners)
      for (const Engine::Order& order : runner->Orders())
        if (order.at >= last.at)
          last = order;
    return last.holder;
  };
  int result = COULD_NOT_RUN;
  if (ready)
  {
    SleepMs(5000);
    record.Line("traffic begins");
    const std::int64_t begin = NowMs();
    std::vector<std::atomic<bool>> is_in(DAEMONS);
    for (auto& in : is_in)
      in = true;
    std::atomic<std::int64_t> healed_at = 0;
    std::atomic<bool> is_restarted = false;
    std::thread operations([&] {
      SleepMs(STOP_AT_MS);
      const std::string name = last_holder();
      const auto found = std::ranges::find_if(daemons, [&](const auto& daemon) {
        return daemon->Settings().name == name;
      });
      if (found == daemons.end())
        return;
      const auto index = static_cast<std::size_t>(found - daemons.begin());
      record.Line(name + ", which gave the last order, gets SIGTERM");
      (*found)->Signal(SIGTERM);
      is_in[index] = false;
      int status = 0;
      (void)WaitFor(8000, [&] {
        return (*found)->HasEnded(&status);
      });
      (*found)->Kill();
      record.Line(name + " has ended");
      SleepMs(RESTART_MS - AWAY_MS - START_AFTER_MS);
      if (trouble)
      {
        record.Line("the store is away, at version " + std::to_string(store.Version()));
        is_away = true;
        store.SetFault(Store::Fault::Reset);
        SleepMs(AWAY_MS);
        const std::int64_t version = store.Restore(COPY_AGE_MS);
        store.SetFault(Store::Fault::None);
        is_away = false;
        healed_at = NowMs();
        record.Line("the store is back from a copy of " + std::to_string(COPY_AGE_MS) +
                    " ms ago, at version " + std::to_string(version));
        // What the operator and the runners wrote is written again.
        store.Put("op", "config", config);
        for (const auto& runner : runners)
          store.Put("servers", runner->Id(), runner->Entry());
      }
      else
        SleepMs(AWAY_MS);
      SleepMs(START_AFTER_MS);
      record.Line(name + " is started again");
      (*found)->Start();
      is_in[index] = WaitFor(8000, [&] {
        return IsReady((*found)->Settings());
      });
      is_restarted = true;
      // A daemon ends with the thread that started it.
      while (!s_stopped)
        SleepMs(20);
    });
    std::mutex mutex;
    std::map<int, int> statuses;
    std::vector<std::thread> clients;
    unsigned seed = static_cast<unsigned>(getpid());
    for (int i = 0; NowMs() < begin + TRAFFIC_MS; ++i)
    {
      const std::string model = ModelName(rand_r(&seed) % MODELS);
      const auto index = static_cast<std::size_t>(i) % daemons.size();
      if (is_in[index])
        clients.emplace_back([&, i, index, model] {
          const Answer answer =
              Request(daemons[index]->Settings().Front(),
                      RequestBytes("POST", "/chat/x", "q" + std::to_string(i), DEADLINE_MS,
                                   "Model: " + model +
                                       "\r\nToken-Counts: 826,3\r\nPrompt-Prefix: 5c1e07a2:198,a" +
                                       std::to_string(1000 + i) + ":628\r\n",
                                   "hello"),
                      DEADLINE_MS);
          const std::lock_guard lock(mutex);
          ++statuses[answer.status];
          record.Line("client q" + std::to_string(i) + " by " + daemons[index]->Settings().name +
                      " for " + model + ": status " + std::to_string(answer.status) + ", " +
                      ToString(answer.end));
        });
      SleepMs(begin + (i + 1) * REQUEST_INTERVAL_MS - NowMs());
    }
    for (std::thread& client : clients)
      client.join();
    s_stopped = true;
    operations.join();
    std::string text;
    for (const auto& [status, count] : statuses)
      text += " " + std::to_string(status) + ": " + std::to_string(count);
    record.Line("answers by status:" + text);
    Verdict verdict;
    for (const auto& runner : runners)
      Judge(*runner, healed_at, verdict, record);
    record.Line(std::to_string(verdict.turns) + " turns within leaseMs, " +
                std::to_string(verdict.lower) + " orders with a lower fence after a higher one, " +
                std::to_string(verdict.shared) + " with another holder's fence");
    if (is_restarted)
      result = verdict.turns + verdict.lower + verdict.shared > 0 ? RULE_BROKEN : RULE_HELD;
  }
  s_stopped = true;
  for (std::thread& thread : platform)
    thread.join();
  daemons.clear();
  runners.clear();
  store.Stop();
  return result;
}

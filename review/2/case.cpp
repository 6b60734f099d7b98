// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// A runner that rejects a request also sends a second copy of the rejection, late, where the answer
// to the next request on that connection is due. The next request is the same one, sent again.

#include "../support/Clients.h"

using namespace Review;

namespace
{
constexpr int DAEMONS = 9;
constexpr int RUNNERS = 3;
constexpr int GREY_RUNNER = 0;
constexpr int GARBLING_RUNNERS = 2;
constexpr std::int64_t WORK_MS = 60;
constexpr std::int64_t TRAFFIC_MS = 90000;
constexpr std::int64_t INTERVAL_MS = 25;
constexpr std::int64_t DEADLINE_MS = 1500;
/// Of 100 answers of a garbling runner, so many are followed by a second copy.
constexpr int SURPLUS_PERCENT = 3;
/// Of 100 requests, the grey runner rejects so many.
constexpr int SHED_PERCENT = 45;

/// The disruptions come again and again, each time for so long.
constexpr std::int64_t ROUND_MS = 7000;
constexpr std::int64_t GREY_MS = 6500;
constexpr std::int64_t GARBLE_MS = 5000;

bool s_trouble = false;
std::atomic<std::int64_t> s_traffic_at = 0;
std::atomic<bool> s_stopped = false;

/// True in the first `length_ms` of each round of disruptions.
bool IsTroubled(std::int64_t length_ms)
{
  return s_trouble && s_traffic_at != 0 && (NowMs() - s_traffic_at) % ROUND_MS < length_ms;
}

/// Which runner has run which request how often.
class Runs
{
public:
  void Note(const std::string& id)
  {
    const std::lock_guard lock(m_mutex);
    ++m_runs[id];
  }
  std::map<std::string, int> All()
  {
    const std::lock_guard lock(m_mutex);
    return m_runs;
  }

private:
  std::mutex m_mutex;
  std::map<std::string, int> m_runs;
};

/// A runner of a plain service.
class Runner
{
public:
  Runner(int number, Address address, Runs& runs, Record& record)
      : m_number(number),
        m_id("i-" + std::to_string(number)),
        m_address(std::move(address)),
        m_runs(runs),
        m_record(record)
  {
  }

  bool Start()
  {
    return m_listener.Start(m_address, [this](int fd, const Address&) {
      Serve(fd);
    });
  }
  void Stop() { m_listener.Stop(); }
  void Beat(Store& store)
  {
    store.Put("servers", m_id,
              {{"service", "app"},
               {"address", m_address.Text()},
               {"zone", std::string(1, static_cast<char>('a' + m_number))},
               {"version", "v1"},
               {"slots", 6},
               {"state", "ready"},
               {"coldLeftMs", 0},
               {"seq", ++m_beats}});
  }

private:
  bool Draw(int percent)
  {
    const std::lock_guard lock(m_mutex);
    m_state = m_state * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<int>((m_state >> 33) % 100) < percent;
  }

  void Serve(int fd)
  {
    Reader reader(fd);
    Message request;
    std::string surplus;
    std::string surplus_id;
    while (!s_stopped && reader.Read(request, false, 60000) == ReadEnd::Message)
    {
      const std::string id = request.Header("Attempt-Id");
      if (!surplus.empty())
      {
        m_record.Line("runner " + m_id + " sends the second copy of its answer to " + surplus_id +
                      " where the answer to " + id + " is due");
        if (!SendAll(fd, std::exchange(surplus, {})))
          return;
      }
      std::string answer;
      if (request.Target() == "/health")
        answer = BackendServer::Answer(request, "", "200 OK", "Instance: " + m_id + "\r\n");
      else if (m_number == GREY_RUNNER && IsTroubled(GREY_MS) && Draw(SHED_PERCENT))
      {
        m_record.Line("runner " + m_id + " rejects " + id);
        answer = BackendServer::Answer(request, "", "503 Service Unavailable", "Not-Run: 1\r\n");
      }
      else
      {
        m_runs.Note(id);
        m_record.Line("runner " + m_id + " runs " + id);
        SleepMs(WORK_MS);
        answer = BackendServer::Answer(request, "done " + id);
      }
      if (m_number < GARBLING_RUNNERS && IsTroubled(GARBLE_MS) && Draw(SURPLUS_PERCENT))
      {
        surplus = answer;
        surplus_id = id;
      }
      if (!SendAll(fd, answer))
        return;
    }
  }

  int m_number;
  std::string m_id;
  Address m_address;
  Runs& m_runs;
  Record& m_record;
  std::int64_t m_beats = 0;
  std::mutex m_mutex;
  std::uint64_t m_state = static_cast<std::uint64_t>(getpid());
  Listener m_listener;
};
} // namespace

int main(int, char** arguments)
{
  const std::string folder = arguments[1];
  Record record(folder + "/record.txt");
  s_trouble = HasTrouble();
  LoopbackNet net;
  TemporaryFolder work;
  Store store;
  const Address store_address{net.Ip(1), 8142};
  if (!store.Start(store_address))
    return COULD_NOT_RUN;
  Runs runs;
  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 0; i < RUNNERS; ++i)
  {
    runners.push_back(std::make_unique<Runner>(i, Address{net.Ip(20 + i), 8080}, runs, record));
    if (!runners.back()->Start())
      return COULD_NOT_RUN;
    runners.back()->Beat(store);
  }
  std::thread heartbeats([&] {
    while (!s_stopped)
    {
      for (const auto& runner : runners)
        runner->Beat(store);
      SleepMs(1200);
    }
  });
  store.Put("op", "config",
            {{"version", 7},
             {"routes",
              Json::array({RouteJson("lookup", "/lookup/", "non_idempotent", "app", 800, 300, 1)})},
             {"services", Json::array({ServiceJson("app", 96)})},
             {"limits", LimitsJson()}});
  const Json zones = {{"a", "r"}, {"b", "r"}, {"c", "r"}};
  std::vector<std::unique_ptr<Daemon>> daemons;
  for (int i = 0; i < DAEMONS; ++i)
  {
    const std::string zone(1, static_cast<char>('a' + i % 3));
    const std::string name = "front-" + zone + std::to_string(i / 3 + 1);
    daemons.push_back(std::make_unique<Daemon>(
        DaemonSettings{name, net.Ip(10 + i), zone, store_address, SmallBounds(), zones},
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
    record.Line("traffic begins");
    SleepMs(2000);
    std::mutex mutex;
    std::map<std::string, int> statuses;
    std::vector<std::thread> clients;
    const std::int64_t begin = NowMs();
    s_traffic_at = begin;
    for (int i = 0; i < TRAFFIC_MS / INTERVAL_MS; ++i)
    {
      clients.emplace_back([&, i] {
        const std::string id = "q" + std::to_string(i);
        const auto& to = daemons[static_cast<std::size_t>(i) % daemons.size()]->Settings();
        const Answer answer =
            Request(to.Front(), RequestBytes("POST", "/lookup/x", id, DEADLINE_MS, "", "item"),
                    DEADLINE_MS);
        record.Line("client " + id + " by " + to.name + ": status " +
                    std::to_string(answer.status) + ", " + ToString(answer.end));
        const std::lock_guard lock(mutex);
        statuses[id] = answer.status;
      });
      SleepMs(begin + (i + 1) * INTERVAL_MS - NowMs());
    }
    for (std::thread& client : clients)
      client.join();
    SleepMs(500);
    int twice = 0;
    int refused = 0;
    for (const auto& [id, count] : runs.All())
    {
      if (count > 1)
      {
        ++twice;
        record.Line("TWICE: " + id + " ran " + std::to_string(count) + " times, its client got " +
                    std::to_string(statuses[id]));
      }
      if (statuses[id] == 503 || statuses[id] == 429)
      {
        ++refused;
        record.Line("REFUSED: " + id + " ran, its client got " + std::to_string(statuses[id]));
      }
    }
    record.Line(std::to_string(statuses.size()) + " requests, " + std::to_string(twice) +
                " ran more than once, " + std::to_string(refused) + " ran and were refused");
    result = twice + refused > 0 ? RULE_BROKEN : RULE_HELD;
  }
  s_stopped = true;
  heartbeats.join();
  daemons.clear();
  for (const auto& runner : runners)
    runner->Stop();
  store.Stop();
  return result;
}

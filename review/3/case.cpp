// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// A resumable stream whose first runner answered 500 is begun at a second runner, which crashes.
// Streams end with their connection, as the pages allow.

#include "../support/Clients.h"

using namespace Review;

namespace
{
constexpr int STREAM_EVENTS = 60;
constexpr std::int64_t EVENT_MS = 120;
constexpr std::int64_t DEADLINE_MS = 15000;
constexpr int RUNNERS = 9;
constexpr std::int64_t REQUEST_INTERVAL_MS = 28;
/// In each of two rounds one runner is grey for a while, and at the end of that time it and another
/// one crash for good.
constexpr int ROUNDS = 2;
constexpr std::int64_t FIRST_ROUND_MS = 6000;
constexpr std::int64_t ROUND_MS = 16000;
constexpr std::int64_t GREY_MS = 6500;
constexpr std::int64_t TRAFFIC_MS = FIRST_ROUND_MS + ROUNDS * ROUND_MS;

std::atomic<int> s_grey = -1;   ///< The runner that is grey.
std::atomic<int> s_crashed = 0; ///< Runners below this number have crashed.
std::atomic<int> s_at_grey = 0;
std::atomic<bool> s_stopped = false;

std::string EventText(int event)
{
  return "id: " + std::to_string(event) + "\ndata: piece " + std::to_string(event) + "\n\n";
}

/// The body of the whole stream.
std::string WholeBody()
{
  std::string body;
  for (int event = 1; event <= STREAM_EVENTS; ++event)
    body += EventText(event);
  return body;
}

/// Streams the events after Last-Event-Id. The grey runner fails 45 in 100 of its requests.
bool Stream(BackendServer& server, int fd, const Message& request, int number, Record& record)
{
  const std::string id = request.Header("Attempt-Id");
  const int after = std::atoi(request.Header("Last-Event-Id").c_str());
  if (number == s_grey && s_at_grey++ % 20 < 9)
  {
    record.Line("runner " + server.Id() + " fails " + id + " with 500");
    return SendAll(fd, BackendServer::Answer(request, "failed", "500 Internal Server Error"));
  }
  record.Line("runner " + server.Id() + " streams " + id + " after event " + std::to_string(after));
  if (!SendAll(fd, "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Stamp: " + server.Id() +
                       "." + id +
                       "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"))
    return false;
  for (int event = after + 1; event <= STREAM_EVENTS && !s_stopped; ++event)
  {
    SleepMs(EVENT_MS);
    if (number < s_crashed)
    {
      // The caller's thread closes the socket, which resets the connection.
      const linger option{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
      record.Line("runner " + server.Id() + " resets " + id + " after event " +
                  std::to_string(event - 1));
      return false;
    }
    if (!SendAll(fd, EventText(event)))
      return false;
  }
  return false;
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

  std::vector<std::shared_ptr<BackendServer>> runners;
  for (int i = 0; i < RUNNERS; ++i)
  {
    auto runner = std::make_shared<BackendServer>(
        "i-" + std::to_string(i), "models", Address{net.Ip(20 + i), 8080},
        std::string(1, static_cast<char>('a' + i % 3)), 64,
        [i, &record](BackendServer& server, int fd, const Message& request) {
          return Stream(server, fd, request, i, record);
        });
    runner->Hold("m0");
    if (!runner->Start())
      return COULD_NOT_RUN;
    runners.push_back(runner);
  }
  Heartbeats beats(store, runners);
  beats.BeatAll();
  Json route = RouteJson("chat", "/chat/", "streaming", "models", 15000, 400, 2);
  route["sticky"] = true;
  route["resumable"] = true;
  route["gapAimMs"] = 300;
  store.Put("op", "config",
            {{"version", 7},
             {"routes", Json::array({route})},
             {"services", Json::array({EngineServiceJson("models", 64, {"m0"})})},
             {"limits", LimitsJson()}});

  std::vector<std::unique_ptr<Daemon>> daemons;
  for (int i = 0; i < 3; ++i)
  {
    const std::string zone(1, static_cast<char>('a' + i));
    daemons.push_back(std::make_unique<Daemon>(
        DaemonSettings{"front-" + zone, net.Ip(10 + i), zone, store_address, SmallBounds(), zones},
        work.Path()));
    daemons.back()->Start();
  }
  const bool ready = WaitFor(15000, [&] {
    return std::ranges::all_of(daemons, [](const auto& daemon) {
      return IsReady(daemon->Settings());
    });
  });
  if (!ready)
  {
    record.Line("the daemons did not become ready");
    return COULD_NOT_RUN;
  }
  SleepMs(2000);
  const std::int64_t begin = NowMs();
  record.Line("traffic begins");

  std::mutex mutex;
  std::map<AnswerEnd, int> ends;
  int wrong = 0;
  const std::string whole_body = WholeBody();
  std::vector<std::thread> clients;
  std::thread crashes;
  if (trouble)
    crashes = std::thread([&] {
      for (int round = 0; round < ROUNDS; ++round)
      {
        SleepMs(begin + FIRST_ROUND_MS + round * ROUND_MS - NowMs());
        s_grey = 2 * round;
        record.Line("runner i-" + std::to_string(2 * round) + " is grey");
        SleepMs(GREY_MS);
        record.Line("runners i-" + std::to_string(2 * round) + " and i-" +
                    std::to_string(2 * round + 1) + " crash");
        s_grey = -1;
        s_crashed = 2 * round + 2;
        SleepMs(2 * EVENT_MS);
        for (int number = 2 * round; number < 2 * round + 2; ++number)
          runners[static_cast<std::size_t>(number)]->Crash();
      }
    });
  for (int i = 0; NowMs() < begin + TRAFFIC_MS; ++i)
  {
    clients.emplace_back([&, i] {
      const std::string id = "q" + std::to_string(i);
      const auto& to = daemons[static_cast<std::size_t>(i) % daemons.size()]->Settings();
      const Answer answer =
          Request(to.Front(),
                  RequestBytes("POST", "/chat/x", id, DEADLINE_MS,
                               "Model: m0\r\nToken-Counts: 826,60\r\nPrompt-Prefix: 5c1e07a2:198,"
                               "a" +
                                   std::to_string(1000 + i) + ":628\r\n",
                               "hello"),
                  DEADLINE_MS + 1000);
      const bool is_wrong =
          answer.status == 200 && answer.end == AnswerEnd::Whole && answer.body != whole_body;
      const std::lock_guard lock(mutex);
      ++ends[answer.end];
      wrong += is_wrong ? 1 : 0;
      record.Line("client " + id + " by " + to.name + ": status " + std::to_string(answer.status) +
                  ", " + ToString(answer.end) + ", " + std::to_string(answer.body.size()) + " of " +
                  std::to_string(whole_body.size()) + " bytes");
      if (is_wrong)
        record.Line("  WRONG: it looks complete and ends with " +
                    Json(answer.body.substr(answer.body.size() -
                                            std::min<std::size_t>(answer.body.size(), 180)))
                        .dump());
    });
    SleepMs(begin + (i + 1) * REQUEST_INTERVAL_MS - NowMs());
  }
  for (std::thread& client : clients)
    client.join();
  if (crashes.joinable())
    crashes.join();
  for (const auto& daemon : daemons)
  {
    int status = 0;
    if (daemon->HasEnded(&status))
      record.Line(daemon->Settings().name + " ended by itself");
  }
  record.Line("ended in order: " + std::to_string(ends[AnswerEnd::Whole]) +
              ", of these with status 200 and not the whole body: " + std::to_string(wrong) +
              ", broken off: " + std::to_string(ends[AnswerEnd::BrokenOff]) +
              ", timed out: " + std::to_string(ends[AnswerEnd::TimedOut]));
  s_stopped = true;
  daemons.clear();
  for (const auto& runner : runners)
    runner->Stop();
  store.Stop();
  const bool broken = wrong > 0;
  record.Line(broken ? "MIXED is broken" : "MIXED held");
  return broken ? RULE_BROKEN : RULE_HELD;
}

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Daemons are stopped and started in turn, as planned work, while clients read their answers
// slowly.

#include "../support/Clients.h"

using namespace Review;

namespace
{
constexpr std::size_t ANSWER_BYTES = 500000;
constexpr std::int64_t WORK_MS = 60;
constexpr std::int64_t DEADLINE_MS = 4000;
constexpr std::int64_t REQUEST_INTERVAL_MS = 500;
/// A client reads so many bytes, then rests: some 170 KB a second.
constexpr std::size_t SLICE_BYTES = 3400;
constexpr std::int64_t SLICE_MS = 20;
constexpr int RECEIVE_BUFFER = 4096;
/// The segment size of Ethernet; the loopback device's own is 64 KB.
constexpr int SEGMENT_BYTES = 1460;
constexpr std::int64_t GRACE_MS = 8000;

std::atomic<bool> s_stopped = false;

std::string Body(const std::string& id)
{
  std::string body;
  body.reserve(ANSWER_BYTES + 100);
  for (int line = 0; body.size() < ANSWER_BYTES; ++line)
    body += id + " line " + std::to_string(line) + "\n";
  return body;
}

/// Reads an answer with a stated length slowly. Returns how it ended.
AnswerEnd ReadSlowly(const Address& to, const std::string& id, int& status, std::size_t& received,
                     std::size_t& length)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &RECEIVE_BUFFER, sizeof(RECEIVE_BUFFER));
  setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &SEGMENT_BYTES, sizeof(SEGMENT_BYTES));
  const sockaddr_in address = ToSockaddr(to);
  AnswerEnd end = AnswerEnd::BrokenOff;
  std::string bytes;
  std::size_t head_end = std::string::npos;
  const std::int64_t until = NowMs() + DEADLINE_MS;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 &&
      SendAll(fd, RequestBytes("POST", "/label/x", id, DEADLINE_MS, "", "order")))
    while (true)
    {
      const std::int64_t left = until - NowMs();
      pollfd poll_fd{fd, POLLIN, 0};
      if (left <= 0 || poll(&poll_fd, 1, static_cast<int>(left)) == 0)
      {
        end = AnswerEnd::TimedOut;
        break;
      }
      char slice[SLICE_BYTES];
      const ssize_t count = recv(fd, slice, sizeof(slice), 0);
      if (count <= 0)
        break;
      bytes.append(slice, static_cast<std::size_t>(count));
      if (head_end == std::string::npos && (head_end = bytes.find("\r\n\r\n")) != std::string::npos)
      {
        status = std::atoi(bytes.c_str() + 9);
        const auto at = bytes.find("Content-Length: ");
        length = at == std::string::npos ? 0 : std::strtoull(bytes.c_str() + at + 16, nullptr, 10);
      }
      received = head_end == std::string::npos ? 0 : bytes.size() - head_end - 4;
      if (head_end != std::string::npos && received >= length)
      {
        end = AnswerEnd::Whole;
        break;
      }
      SleepMs(SLICE_MS * count / static_cast<std::int64_t>(SLICE_BYTES));
    }
  close(fd);
  return end;
}

/// What the platform does with one daemon: its balancer, and planned stops.
struct Front
{
  std::unique_ptr<Daemon> daemon;
  std::atomic<bool> takes_connections = false;
  std::atomic<std::int64_t> term_at = 0; ///< When SIGTERM was last sent.
};
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
  std::map<std::string, std::string> ran_at;
  std::vector<std::shared_ptr<BackendServer>> runners;
  for (int i = 0; i < 3; ++i)
  {
    auto runner = std::make_shared<BackendServer>(
        "i-" + std::to_string(i), "labels", Address{net.Ip(20 + i), 8080},
        std::string(1, static_cast<char>('a' + i)), 6,
        [&](BackendServer& server, int fd, const Message& request) {
          const std::string id = request.Header("Attempt-Id");
          SleepMs(WORK_MS);
          const bool sent = SendAll(fd, BackendServer::Answer(request, Body(id)));
          if (sent)
          {
            const std::lock_guard lock(mutex);
            ran_at[id] = server.Id();
          }
          record.Line("runner " + server.Id() + " ran " + id +
                      (sent ? " and sent its whole answer" : ", whose connection ended"));
          return sent;
        });
    if (!runner->Start())
      return COULD_NOT_RUN;
    runners.push_back(runner);
  }
  Heartbeats beats(store, runners);
  beats.BeatAll();
  store.Put("op", "config",
            {{"version", 7},
             {"routes", Json::array({RouteJson("label", "/label/", "non_idempotent", "labels", 4000,
                                               300, 1)})},
             {"services", Json::array({ServiceJson("labels", 100)})},
             {"limits", LimitsJson()}});
  std::vector<std::unique_ptr<Front>> fronts;
  for (int i = 0; i < 3; ++i)
  {
    const std::string zone(1, static_cast<char>('a' + i));
    auto front = std::make_unique<Front>();
    front->daemon = std::make_unique<Daemon>(
        DaemonSettings{"front-" + zone, net.Ip(10 + i), zone, store_address, SmallBounds(), zones},
        work.Path());
    front->daemon->Start();
    fronts.push_back(std::move(front));
  }
  const bool ready = WaitFor(15000, [&] {
    return std::ranges::all_of(fronts, [](const auto& front) {
      return IsReady(front->daemon->Settings());
    });
  });
  int result = COULD_NOT_RUN;
  if (ready)
  {
    for (const auto& front : fronts)
      front->takes_connections = true;
    // The balancer asks every second; a daemon that misses twice is out until it answers 200 again.
    std::vector<std::thread> balancer;
    for (const auto& front : fronts)
      balancer.emplace_back([&front = *front] {
        for (int misses = 0; !s_stopped; SleepMs(1000))
        {
          misses = IsReady(front.daemon->Settings()) ? 0 : misses + 1;
          front.takes_connections = misses < 2;
        }
      });
    record.Line("traffic begins");
    std::atomic<bool> traffic_ends = false;
    std::thread planned([&] {
      SleepMs(4000);
      for (const auto& front : fronts)
      {
        const std::string& name = front->daemon->Settings().name;
        if (trouble)
        {
          record.Line(name + " gets SIGTERM");
          front->term_at = NowMs();
          front->daemon->Signal(SIGTERM);
          int status = 0;
          const bool ended = WaitFor(GRACE_MS, [&] {
            return front->daemon->HasEnded(&status);
          });
          record.Line(name + (ended ? " has ended after " : " is killed after ") +
                      std::to_string(NowMs() - front->term_at) + " ms");
          front->daemon->Kill();
          SleepMs(500);
          front->daemon->Start();
        }
        SleepMs(6000);
      }
      traffic_ends = true;
      // The daemons that it has started end with this thread.
      while (!s_stopped)
        SleepMs(10);
    });
    int whole = 0;
    int lost = 0;
    int other = 0;
    std::vector<std::thread> clients;
    for (int i = 0; !traffic_ends; ++i)
    {
      Front& front = *fronts[static_cast<std::size_t>(i) % fronts.size()];
      if (front.takes_connections)
        clients.emplace_back([&, i] {
          const std::string id = "q" + std::to_string(i);
          const std::int64_t sent_at = NowMs();
          int status = 0;
          std::size_t received = 0;
          std::size_t length = 0;
          const AnswerEnd end =
              ReadSlowly(front.daemon->Settings().Front(), id, status, received, length);
          const std::int64_t took = NowMs() - sent_at;
          const std::int64_t since_term = NowMs() - front.term_at;
          const std::lock_guard lock(mutex);
          const bool is_lost = end == AnswerEnd::BrokenOff && ran_at.contains(id) &&
                               front.term_at != 0 && since_term <= GRACE_MS + 1000 &&
                               took < DEADLINE_MS;
          whole += end == AnswerEnd::Whole && status == 200 ? 1 : 0;
          lost += is_lost ? 1 : 0;
          other += end != AnswerEnd::Whole && !is_lost ? 1 : 0;
          record.Line("client " + id + " by " + front.daemon->Settings().name + ": status " +
                      std::to_string(status) + ", " + ToString(end) + " after " +
                      std::to_string(took) + " ms, " + std::to_string(received) + " of " +
                      std::to_string(length) + " bytes" +
                      (is_lost ? ", LOST " + std::to_string(since_term) + " ms after SIGTERM" : ""));
        });
      SleepMs(REQUEST_INTERVAL_MS / 3);
    }
    for (std::thread& client : clients)
      client.join();
    record.Line("whole: " + std::to_string(whole) + ", cut though their runner had answered: " +
                std::to_string(lost) + ", other: " + std::to_string(other));
    result = lost > 0 ? RULE_BROKEN : RULE_HELD;
    s_stopped = true;
    planned.join();
    for (std::thread& thread : balancer)
      thread.join();
  }
  s_stopped = true;
  fronts.clear();
  for (const auto& runner : runners)
    runner->Stop();
  store.Stop();
  return result;
}

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Resumable streams. Of nine servers two hold their model: one server answers a request with status 500, as
// servers that fail part of their requests do; the other begins the stream and crashes.

#include "../support/Servers.h"

namespace
{
using namespace Review;

constexpr int EVENTS_BEFORE_CRASH = 5;
constexpr int EVENTS = 10;
constexpr int ROUNDS = 10;
constexpr int SERVERS = 9;
/// Requests of each round that no server fails, so that servers fail less than 0.4 of all.
constexpr int SOUND_REQUESTS = 2;

std::string Event(int number)
{
  return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n";
}

std::string Chunk(const std::string& bytes)
{
  char size[20];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

std::string RequestFor(const std::string& id)
{
  return "POST /chat/x HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: " + id +
         "\r\nModel: m0\r\nTime-Left-Ms: 12000\r\nContent-Length: 2\r\n\r\nhi";
}

/// What a caller found wrong with an answer to a stream; empty if it is in the protocol. An answer
/// that was cut off is allowed.
std::string Fault(const std::string& raw)
{
  const auto head_end = raw.find("\r\n\r\n");
  if (head_end == std::string::npos || !raw.starts_with("HTTP/1.1 200"))
    return "";
  std::size_t at = head_end + 4;
  while (at < raw.size())
  {
    const auto line_end = raw.find("\r\n", at);
    if (line_end == std::string::npos)
      return "";
    const std::string size_text = raw.substr(at, line_end - at);
    if (size_text.empty() || size_text.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos)
      return "the size of a chunk reads '" + size_text + "'";
    const std::size_t size = std::strtoull(size_text.c_str(), nullptr, 16);
    at = line_end + 2 + size + 2;
    if (size == 0)
      return at < raw.size() ? "bytes follow the end of the answer" : "";
  }
  return "";
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

  Json route = RouteJson("chat", "/chat/", "streaming", "svc-model", 12000, 400, 2);
  route["resumable"] = true;
  route["gapAimMs"] = 300;
  route["sticky"] = true;
  // As in a small deployment, each server has room for one of these models.
  Json service = ServiceJson("svc-model", 360);
  Json models = Json::array();
  for (int i = 0; i < SERVERS; ++i)
    models.push_back({{"name", "m" + std::to_string(i)},
                      {"weightsMb", 65000},
                      {"loadS", 6.0},
                      {"warmS", 0.4},
                      {"diskS", 0.8},
                      {"adapters", 0},
                      {"adapterMb", 12}});
  service["engine"] = {{"slots", 64},      {"kvTokens", 150000}, {"weightsMb", 100000},
                       {"adapterSlots", 8}, {"loadsPerS", 3.1},   {"models", models}};
  store.Put("op", "config",
            {{"version", 7},
             {"routes", {route}},
             {"services", {service}},
             {"limits", LimitsJson()}});

  std::mutex mutex;
  std::map<std::string, int> runs;                      // By Attempt-Id.
  std::shared_ptr<BackendServer> crashing;              // The server that is to crash.
  std::vector<std::shared_ptr<BackendServer>> finished; // Servers of earlier rounds.
  const auto handle = [&](BackendServer& server, int fd, const Message& request) {
    const std::string id = request.Header("Attempt-Id");
    int run = 0;
    {
      const std::lock_guard lock(mutex);
      run = ++runs[id];
    }
    record.Line("server " + server.Id() + " runs " + id + ", run " + std::to_string(run));
    const bool is_sound = !trouble || id.starts_with("b");
    if (!is_sound && run == 1)
    {
      record.Line("server " + server.Id() + " answers " + id + " with 500");
      return SendAll(fd, BackendServer::Answer(request, "error", "500 Internal Server Error"));
    }
    const int first = std::atoi(("0" + request.Header("Last-Event-Id")).c_str()) + 1;
    SendAll(fd, "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Stamp: s." + id +
                    "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int number = first; number <= EVENTS; ++number)
    {
      if (!is_sound && run == 2 && number > EVENTS_BEFORE_CRASH)
      {
        const std::lock_guard lock(mutex);
        crashing = server.shared_from_this();
        return true; // The main thread ends the server now.
      }
      if (!SendAll(fd, Chunk(Event(number))))
        return false;
      SleepMs(50);
    }
    return SendAll(fd, "0\r\n\r\n");
  };

  Daemon daemon({"entry-1", net.Ip(1), "zone-a", store_address, SmallBounds(), {{"zone-a", "r"}}},
                folder.Path());
  int broken = 0;
  int whole = 0;
  int asked = 0;
  for (int round = 1; round <= ROUNDS; ++round)
  {
    // New servers in each round. Two of them hold the model.
    std::vector<std::shared_ptr<BackendServer>> servers;
    for (int i = 1; i <= SERVERS; ++i)
    {
      const int number = 10 * round + i;
      servers.push_back(std::make_shared<BackendServer>(
          "i-" + std::to_string(number), "svc-model", Address{net.Ip(100 + number), 8600},
          "zone-a", 64, handle));
      servers.back()->Hold("m" + std::to_string(std::max(i - 2, 0)));
      if (!servers.back()->Start())
        return COULD_NOT_RUN;
    }
    auto heartbeats = std::make_unique<Heartbeats>(store, servers);
    heartbeats->BeatAll();
    if (round == 1)
      daemon.Start();
    if (!WaitFor(15000, [&] {
          return IsReady(daemon.Settings());
        }))
      return COULD_NOT_RUN;
    SleepMs(2000);

    for (int i = 1; i <= SOUND_REQUESTS; ++i)
    {
      const std::string id = "b" + std::to_string(round) + "-" + std::to_string(i);
      record.Line("caller sends " + id);
      const auto answer = Ask(daemon.Settings().Front(), RequestFor(id));
      record.Line("caller got for " + id + ": " + (answer ? answer->first_line : "nothing whole"));
    }
    const std::string id = "a" + std::to_string(round);
    const int fd = Connect(daemon.Settings().Front());
    SendAll(fd, RequestFor(id));
    record.Line("caller sends " + id);
    ++asked;
    std::string raw;
    std::int64_t last_received = NowMs();
    bool is_closed = false;
    // The caller abandons a stream after eight times the objective for gaps.
    while (NowMs() < last_received + 2400 && !is_closed &&
           raw.find("\r\n0\r\n\r\n") == std::string::npos)
    {
      std::shared_ptr<BackendServer> server;
      {
        const std::lock_guard lock(mutex);
        server = std::exchange(crashing, nullptr);
      }
      if (server)
      {
        record.Line("server " + server->Id() + " crashes while it runs " + id);
        server->Crash();
      }
      pollfd readable{fd, POLLIN, 0};
      if (poll(&readable, 1, 10) == 0)
        continue;
      char bytes[4096];
      const ssize_t count = recv(fd, bytes, sizeof(bytes), 0);
      is_closed = count <= 0;
      if (is_closed)
        continue;
      raw.append(bytes, static_cast<std::size_t>(count));
      last_received = NowMs();
    }
    close(fd);
    std::string shown;
    for (const char c : raw)
      shown += c == '\r' ? std::string("\\r") : c == '\n' ? std::string("\\n") : std::string(1, c);
    record.Line("caller got for " + id + ": " + shown + (is_closed ? " (closed)" : ""));
    const std::string fault = Fault(raw);
    if (!fault.empty())
    {
      ++broken;
      record.Line("MIXED: " + id + ": bytes that are no answer in the protocol: " + fault);
    }
    else if (raw.find("\r\n0\r\n\r\n") != std::string::npos)
      ++whole;
    heartbeats.reset();
    for (const auto& server : servers)
    {
      server->Crash();
      store.Remove("servers", server->Id());
      finished.push_back(server);
    }
  }
  record.Line(std::to_string(broken) + " answers were no answer in the protocol, " +
              std::to_string(whole) + " were whole");
  daemon.Kill();
  store.Stop();
  if (!trouble && whole != asked)
    return COULD_NOT_RUN;
  std::_Exit(broken > 0 ? RULE_BROKEN : RULE_HELD);
}

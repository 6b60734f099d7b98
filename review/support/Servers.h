// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Backend servers: they keep their entry in the store and answer requests.

#include "Daemons.h"

namespace Review
{
/// What a server answers to one request. It is called with the connection, so that it can write
/// the answer in pieces, or wait; returns false to close the connection.
class BackendServer;
using RequestHandler = std::function<bool(BackendServer&, int fd, const Message& request)>;

class BackendServer : public std::enable_shared_from_this<BackendServer>
{
public:
  BackendServer(std::string id, std::string service, Address address, std::string zone, int slots,
                RequestHandler handler)
      : m_id(std::move(id)),
        m_service(std::move(service)),
        m_address(std::move(address)),
        m_zone(std::move(zone)),
        m_slots(slots),
        m_handler(std::move(handler))
  {
  }

  const std::string& Id() const { return m_id; }
  const std::string& Service() const { return m_service; }
  const Address& Local() const { return m_address; }
  int Slots() const { return m_slots; }

  bool Start()
  {
    return m_listener.Start(m_address, [this](int fd, const Address&) {
      Serve(fd);
    });
  }
  void Stop() { m_listener.Stop(); }
  /// Ends like a process that crashes: resets its connections, refuses new ones and writes no entry
  /// any more. Call it from outside of the server's own threads.
  void Crash()
  {
    m_crashed = true;
    m_listener.Stop();
  }

  /// Writes the entry into the store, as once in a heartbeat interval.
  void Beat(Store& store, const std::string& state = "ready")
  {
    if (m_crashed)
      return;
    Json entry = {{"service", m_service}, {"address", m_address.Text()},
                  {"zone", m_zone},       {"version", "v1"},
                  {"slots", m_slots},     {"state", state},
                  {"coldLeftMs", 0},      {"seq", ++m_beats}};
    if (m_is_engine)
    {
      entry["stage"] = "combined";
      entry["models"] = ModelsJson();
    }
    store.Put("servers", m_id, entry);
  }

  /// Makes it a server of models, which takes orders and reports what it holds.
  void Hold(const std::string& model)
  {
    m_is_engine = true;
    m_models.push_back(model);
  }

  /// An answer with the headers that every server sends.
  static std::string Answer(const Message& request, const std::string& body,
                            const std::string& status = "200 OK",
                            const std::string& more_headers = "")
  {
    return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + request.Header("Attempt-Id") +
           "\r\nServer-Stamp: s." + request.Header("Attempt-Id") + "\r\n" + more_headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

private:
  static constexpr std::int64_t LOAD_MS = 6000;

  Json ModelsJson()
  {
    const std::lock_guard lock(m_mutex);
    if (!m_loading.empty() && NowMs() >= m_loaded_at)
      m_models.push_back(std::exchange(m_loading, {}));
    Json models = Json::array();
    for (const std::string& model : m_models)
      models.push_back({{"name", model}, {"version", 1}, {"adapters", Json::array()}});
    return models;
  }

  std::string Report(const Message& request)
  {
    const Json models = ModelsJson();
    const std::lock_guard lock(m_mutex);
    const Json report = {{"stage", "combined"}, {"models", models},  {"busy", !m_loading.empty()},
                         {"seq", m_orders},     {"queued", 0},       {"running", 0},
                         {"kvUsed", 0},         {"kvTotal", 100000}, {"handles", 0}};
    return Answer(request, report.dump());
  }

  std::string TakeOrder(const Message& request)
  {
    (void)ModelsJson();
    const Json order = Json::parse(request.body, nullptr, false);
    const std::lock_guard lock(m_mutex);
    if (!m_loading.empty() || (order.contains("expectedRev") && order["expectedRev"] != m_orders))
      return Answer(request, "", "409 Conflict");
    ++m_orders;
    const std::string model = order.value("model", "");
    if (order.value("operation", "") == "unload")
      std::erase(m_models, model);
    else
    {
      m_loading = model;
      m_loaded_at = NowMs() + LOAD_MS;
    }
    return Answer(request, "", "202 Accepted");
  }

  void Serve(int fd)
  {
    Reader reader(fd);
    Message request;
    while (reader.Read(request, false, 60000) == ReadEnd::Message)
    {
      const std::string expected = request.Header("Expect-Instance");
      if (request.Target() == "/health")
      {
        if (!SendAll(fd, Answer(request, "", "200 OK", "Instance: " + m_id + "\r\n")))
          return;
        continue;
      }
      if (!expected.empty() && expected != m_id)
      {
        if (!SendAll(fd,
                     Answer(request, "", "421 Misdirected Request", "Instance: " + m_id + "\r\n")))
          return;
        continue;
      }
      if (m_is_engine && (request.Target() == "/report" || request.Target() == "/order"))
      {
        if (!SendAll(fd, request.Target() == "/report" ? Report(request) : TakeOrder(request)))
          return;
        continue;
      }
      if (!m_handler(*this, fd, request))
        return;
    }
  }

  std::string m_id;
  std::string m_service;
  Address m_address;
  std::string m_zone;
  int m_slots;
  RequestHandler m_handler;
  std::int64_t m_beats = 0;
  bool m_is_engine = false;
  std::mutex m_mutex; ///< For what follows.
  std::vector<std::string> m_models;
  std::string m_loading; ///< Empty if no model is being loaded.
  std::int64_t m_loaded_at = 0;
  std::int64_t m_orders = 0;
  std::atomic<bool> m_crashed = false;
  Listener m_listener;
};

/// Writes the entries of servers once in each heartbeat interval, spread over it.
class Heartbeats
{
public:
  Heartbeats(Store& store, std::vector<std::shared_ptr<BackendServer>> servers,
             std::int64_t interval_ms = 1200)
      : m_store(store), m_servers(std::move(servers)), m_interval_ms(interval_ms)
  {
    m_thread = std::thread([this] {
      Run();
    });
  }
  ~Heartbeats()
  {
    m_stopped = true;
    m_thread.join();
  }
  /// While paused, the store is away and takes no entries.
  void Pause(bool paused) { m_paused = paused; }
  void BeatAll()
  {
    for (const auto& server : m_servers)
      server->Beat(m_store);
  }

private:
  void Run()
  {
    const auto count = static_cast<std::int64_t>(m_servers.size());
    for (std::int64_t turn = 0; !m_stopped; ++turn)
    {
      if (!m_paused)
        m_servers[static_cast<std::size_t>(turn % count)]->Beat(m_store);
      SleepMs(m_interval_ms / count);
    }
  }

  Store& m_store;
  std::vector<std::shared_ptr<BackendServer>> m_servers;
  std::int64_t m_interval_ms;
  std::atomic<bool> m_paused = false;
  std::atomic<bool> m_stopped = false;
  std::thread m_thread;
};

inline Json RouteJson(const std::string& name, const std::string& prefix, const std::string& kind,
                      const std::string& service, int timeout_ms, int target_ms, int attempts)
{
  return {{"name", name},   {"host", "app.example"},   {"pathPrefix", prefix},
          {"kind", kind},   {"timeoutMs", timeout_ms}, {"targetLatencyMs", target_ms},
          {"priority", 1},  {"service", service},      {"maxAttempts", attempts},
          {"public", true}, {"sticky", false},         {"resumable", false}};
}

inline Json ServiceJson(const std::string& name, int max_connections)
{
  return {{"name", name},
          {"healthPath", "/health"},
          {"maxConns", max_connections},
          {"protocol", "h1"},
          {"tls", false}};
}

inline Json LimitsJson()
{
  return {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", 4194304},
          {"headerTimeoutMs", 5000},
          {"idleTimeoutMs", 15000}};
}
} // namespace Review

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A runner of models: it takes orders, counts them, and holds what fits into its memory.

#include "Clients.h"

namespace Review
{
class Engine
{
public:
  static constexpr int MEMORY_MB = 230000;
  static constexpr int MODEL_MB = 72700;
  static constexpr int ADAPTERS_MB = 8 * 66;
  static constexpr std::int64_t STORE_LOAD_MS = 6000;
  static constexpr std::int64_t DISK_LOAD_MS = 840;
  static constexpr std::int64_t UNLOAD_CHECK_MS = 10;

  Engine(std::string id, std::string service, Address address, std::string zone, Record& record)
      : m_id(std::move(id)),
        m_service(std::move(service)),
        m_address(std::move(address)),
        m_zone(std::move(zone)),
        m_record(record)
  {
  }
  ~Engine() { Stop(); }

  const std::string& Id() const { return m_id; }
  /// Models that it holds at the start.
  void Hold(const std::string& model) { m_held.insert(model); }
  /// Models that it has held before, so that its disk has them.
  void KeepOnDisk(const std::string& model) { m_disk.insert(model); }

  bool Start()
  {
    m_worker = std::thread([this] {
      Work();
    });
    return m_listener.Start(m_address, [this](int fd, const Address&) {
      Serve(fd);
    });
  }
  void Stop()
  {
    m_stopped = true;
    if (m_worker.joinable())
      m_worker.join();
    m_listener.Stop();
  }

  /// The entry that it writes at this moment.
  Json Entry()
  {
    const std::lock_guard lock(m_mutex);
    return {{"service", m_service},
            {"address", m_address.Text()},
            {"zone", m_zone},
            {"version", "v1"},
            {"slots", 64},
            {"state", "ready"},
            {"coldLeftMs", 0},
            {"seq", ++m_beats},
            {"stage", "combined"},
            {"models", Models()},
            {"atHand", {{"inMemory", Json::array()}, {"onDisk", m_disk}}}};
  }

  /// An order that it has received, whatever it answered.
  struct Order
  {
    std::int64_t at = 0;
    std::string holder;
    std::int64_t fence = 0;
  };
  std::vector<Order> Orders()
  {
    const std::lock_guard lock(m_mutex);
    return m_received;
  }

  /// Orders to load more than its memory can hold.
  int OrdersBeyondMemory()
  {
    const std::lock_guard lock(m_mutex);
    return m_beyond;
  }

private:
  Json Models() const
  {
    Json models = Json::array();
    for (const std::string& model : m_held)
      models.push_back({{"name", model}, {"version", 1}, {"adapters", Json::array()}});
    return models;
  }
  std::string HeldText() const
  {
    std::string text;
    for (const std::string& model : m_held)
      text += (text.empty() ? "" : " ") + model;
    return text;
  }

  void Work()
  {
    while (!m_stopped)
    {
      SleepMs(UNLOAD_CHECK_MS);
      const std::lock_guard lock(m_mutex);
      if (!m_loading.empty() && NowMs() >= m_loaded_at)
      {
        m_held.insert(m_loading);
        m_disk.insert(std::exchange(m_loading, {}));
      }
      if (!m_unloading.empty() && m_runs[m_unloading] == 0)
        m_held.erase(std::exchange(m_unloading, {}));
    }
  }

  int TakeOrder(const Message& request)
  {
    const Json order = Json::parse(request.body, nullptr, false);
    const std::lock_guard lock(m_mutex);
    if (!order.is_object() || !order.contains("holder") || !order.contains("fence"))
      return 400;
    m_received.push_back(
        {NowMs(), order.value("holder", ""), order.value("fence", std::int64_t{0})});
    const std::string operation = order.value("operation", "");
    const std::string model = order.value("model", "");
    if (!m_loading.empty() || !m_unloading.empty())
      return 409;
    if (order.contains("expectedRev") && order["expectedRev"] != m_orders)
      return 409;
    const bool is_load = operation == "load";
    if (m_held.contains(model) == is_load)
      return 200;
    ++m_orders;
    const int needed =
        static_cast<int>(m_held.size()) * MODEL_MB + (is_load ? MODEL_MB : 0) + ADAPTERS_MB;
    m_record.Line("runner " + m_id + " is ordered to " + operation + " " + model + " (seq " +
                  std::to_string(m_orders) + ", fence " + order["fence"].dump() + " of " +
                  order.value("holder", "") + "), holds " + HeldText());
    if (!is_load)
    {
      m_unloading = model;
      return 202;
    }
    if (needed - ADAPTERS_MB > MEMORY_MB)
    {
      ++m_beyond;
      m_record.Line("LIMIT: runner " + m_id + " is ordered to load " + model + " beside " +
                    HeldText() + ": " + std::to_string(needed - ADAPTERS_MB) + " of " +
                    std::to_string(MEMORY_MB) + " MB");
    }
    m_loading = model;
    m_loaded_at = NowMs() + (m_disk.contains(model) ? DISK_LOAD_MS : STORE_LOAD_MS);
    return 202;
  }

  std::string Report()
  {
    const std::lock_guard lock(m_mutex);
    int running = 0;
    for (const auto& [model, runs] : m_runs)
      running += runs;
    const Json report = {{"stage", "combined"},
                         {"models", Models()},
                         {"busy", !m_loading.empty() || !m_unloading.empty()},
                         {"seq", m_orders},
                         {"queued", 0},
                         {"running", running},
                         {"kvUsed", 0},
                         {"kvTotal", 135497},
                         {"handles", 0},
                         {"coming", Json::array()},
                         {"atHand", {{"inMemory", Json::array()}, {"onDisk", m_disk}}}};
    return report.dump();
  }

  /// Streams three events.
  bool Run(int fd, const Message& request, const std::string& model)
  {
    const std::string id = request.Header("Attempt-Id");
    m_record.Line("runner " + m_id + " runs " + id + " with " + model);
    bool sent = SendAll(fd, "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Stamp: " + m_id +
                                "." + id +
                                "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
                                "chunked\r\n\r\n");
    for (int event = 1; sent && event <= 3; ++event)
    {
      SleepMs(60);
      const std::string text = "id: " + std::to_string(event) + "\ndata: x\n\n";
      char size[16];
      snprintf(size, sizeof(size), "%zx\r\n", text.size());
      sent = SendAll(fd, size + text + "\r\n");
    }
    sent = sent && SendAll(fd, "0\r\n\r\n");
    const std::lock_guard lock(m_mutex);
    --m_runs[model];
    return sent;
  }

  void Serve(int fd)
  {
    Reader reader(fd);
    Message request;
    while (!m_stopped && reader.Read(request, false, 60000) == ReadEnd::Message)
    {
      const std::string expected = request.Header("Expect-Instance");
      const std::string target = request.Target();
      std::string answer;
      if (target == "/health")
        answer = BackendServer::Answer(request, "", "200 OK", "Instance: " + m_id + "\r\n");
      else if (!expected.empty() && expected != m_id)
        answer = BackendServer::Answer(request, "", "421 Misdirected Request",
                                       "Instance: " + m_id + "\r\n");
      else if (target == "/report")
        answer = BackendServer::Answer(request, Report());
      else if (target == "/order")
        answer = BackendServer::Answer(request, "", std::to_string(TakeOrder(request)) + " X");
      if (!answer.empty())
      {
        if (!SendAll(fd, answer))
          return;
        continue;
      }
      const std::string model = request.Header("Model");
      bool holds = false;
      {
        const std::lock_guard lock(m_mutex);
        holds = m_held.contains(model) && model != m_unloading;
        m_runs[model] += holds ? 1 : 0;
      }
      if (!holds)
      {
        if (!SendAll(fd, BackendServer::Answer(request, "", "421 Misdirected Request",
                                               "Not-Run: 1\r\n")))
          return;
        continue;
      }
      if (!Run(fd, request, model))
        return;
    }
  }

  std::string m_id;
  std::string m_service;
  Address m_address;
  std::string m_zone;
  Record& m_record;
  std::mutex m_mutex; ///< For what follows.
  std::set<std::string> m_held;
  std::set<std::string> m_disk;
  std::string m_loading;   ///< Empty if no model is being loaded.
  std::string m_unloading; ///< Empty if no model is being unloaded.
  std::int64_t m_loaded_at = 0;
  std::int64_t m_orders = 0;
  std::int64_t m_beats = 0;
  std::map<std::string, int> m_runs;
  int m_beyond = 0;
  std::vector<Order> m_received;
  std::atomic<bool> m_stopped = false;
  std::thread m_worker;
  Listener m_listener;
};
} // namespace Review

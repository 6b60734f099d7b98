// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The platform's store: rows with versions, transactions, feeds, and the drill in which it comes
// back from an older copy.

#include <condition_variable>
#include <deque>

#include <nlohmann/json.hpp>

#include "Net.h"

namespace Review
{
using Json = nlohmann::json;

inline std::string ToBase64(const std::string& bytes)
{
  static const char* const ALPHABET =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3)
  {
    unsigned group = 0;
    for (std::size_t k = 0; k < 3; ++k)
      group = group << 8U | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    for (std::size_t k = 0; k < 4; ++k)
      text += i + k <= bytes.size() ? ALPHABET[group >> (18 - 6 * k) & 63U] : '=';
  }
  return text;
}

class Store
{
public:
  enum class Fault
  {
    None,
    Reset,  ///< Resets every connection.
    Silent, ///< Answers nothing.
    Busy,   ///< Answers 503.
  };

  bool Start(const Address& address)
  {
    return m_listener.Start(address, [this](int fd, const Address& peer) {
      Serve(fd, peer);
    });
  }
  void Stop()
  {
    m_stopped = true;
    m_changed.notify_all();
    m_listener.Stop();
  }

  /// A write by the operator or a server, which bypasses the faults.
  std::int64_t Put(const std::string& table, const std::string& key, const Json& value)
  {
    const std::lock_guard lock(m_mutex);
    ++m_state.version;
    m_state.tables[table][key] = {ToBase64(value.dump()), m_state.version, false};
    m_changed.notify_all();
    return m_state.version;
  }
  void Remove(const std::string& table, const std::string& key)
  {
    const std::lock_guard lock(m_mutex);
    auto& rows = m_state.tables[table];
    const auto found = rows.find(key);
    if (found == rows.end() || found->second.deleted)
      return;
    found->second = {"", ++m_state.version, true};
    m_changed.notify_all();
  }
  std::int64_t Version()
  {
    const std::lock_guard lock(m_mutex);
    return m_state.version;
  }
  /// The version of a row; 0 if it is absent.
  std::int64_t RowVersion(const std::string& table, const std::string& key)
  {
    const std::lock_guard lock(m_mutex);
    const auto& rows = m_state.tables[table];
    const auto found = rows.find(key);
    return found == rows.end() || found->second.deleted ? 0 : found->second.version;
  }

  /// The value of a row, as it was written; empty if it is absent.
  std::string RowValue(const std::string& table, const std::string& key)
  {
    const std::lock_guard lock(m_mutex);
    const auto& rows = m_state.tables[table];
    const auto found = rows.find(key);
    return found == rows.end() || found->second.deleted ? "" : found->second.value;
  }

  void SetFault(Fault fault)
  {
    m_fault = fault;
    if (fault != Fault::None)
      m_listener.ResetAll();
    m_changed.notify_all();
  }

  /// Copies the rows, as for a backup.
  void TakeCopy()
  {
    const std::lock_guard lock(m_mutex);
    m_copies.emplace_back(NowMs(), m_state);
    if (m_copies.size() > 100)
      m_copies.pop_front();
  }
  /// Comes back from the newest copy that is at least so old. Returns the version of the copy.
  std::int64_t Restore(std::int64_t age_ms)
  {
    const std::lock_guard lock(m_mutex);
    const std::int64_t at = NowMs() - age_ms;
    for (auto copy = m_copies.rbegin(); copy != m_copies.rend(); ++copy)
      if (copy->first <= at)
      {
        m_state = copy->second;
        break;
      }
    m_copies.clear();
    ++m_era;
    return m_state.version;
  }
  /// Calls of a kind answered with a status, such as "rows-tx 412".
  std::map<std::string, int> Calls()
  {
    const std::lock_guard lock(m_mutex);
    return m_calls;
  }

private:
  struct Row
  {
    std::string value;
    std::int64_t version = 0;
    bool deleted = false;
  };
  using Rows = std::map<std::string, Row>;
  struct State
  {
    std::map<std::string, Rows> tables;
    std::int64_t version = 100;
  };

  static std::string Unescape(const std::string& text)
  {
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i)
      if (text[i] == '%' && i + 2 < text.size())
      {
        result += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      }
      else
        result += text[i];
    return result;
  }
  static std::string Query(const std::string& target, const std::string& name)
  {
    auto at = target.find('?');
    while (at != std::string::npos)
    {
      const auto end = std::min(target.find('&', at + 1), target.size());
      const std::string pair = target.substr(at + 1, end - at - 1);
      if (pair.starts_with(name + "="))
        return Unescape(pair.substr(name.size() + 1));
      at = end < target.size() ? end : std::string::npos;
    }
    return "";
  }

  void Serve(int fd, const Address&)
  {
    Reader reader(fd);
    Message request;
    while (!m_stopped && reader.Read(request, false, 600000) == ReadEnd::Message)
    {
      if (m_fault == Fault::Reset)
      {
        ResetSocket(fd);
        return;
      }
      while (m_fault == Fault::Silent && !m_stopped)
        SleepMs(10);
      int status = 200;
      Json body = Json::object();
      if (m_fault == Fault::Busy)
        status = 503;
      else
        status = Handle(request, body);
      std::string text;
      {
        const std::lock_guard lock(m_mutex);
        const std::string target = request.Target();
        ++m_calls[target.substr(1, target.find('?') - 1) + " " + std::to_string(status)];
        if (!body.contains("ver"))
          body["ver"] = m_state.version;
        body["nowMs"] = NowMs();
        text = body.dump();
      }
      const std::string answer =
          "HTTP/1.1 " + std::to_string(status) +
          " X\r\nContent-Type: application/json\r\nStore-Era: " + std::to_string(m_era) +
          "\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n";
      if (!SendAll(fd, answer + text))
        return;
    }
  }

  int Handle(const Message& request, Json& body)
  {
    const std::string target = request.Target();
    SleepMs(4);
    if (target.starts_with("/rows-get"))
      return Get(target, body);
    if (target.starts_with("/rows-feed"))
      return Feed(target, body);
    if (target.starts_with("/rows-tx"))
      return Transact(request, body);
    return 404;
  }

  static Json RowJson(const std::string& key, const Row& row)
  {
    Json json = {{"part", ""}, {"key", key}, {"value", row.value}, {"ver", row.version}};
    if (row.deleted)
      json["deleted"] = true;
    return json;
  }

  int Get(const std::string& target, Json& body)
  {
    constexpr std::size_t MAX_ROWS = 500;
    const std::lock_guard lock(m_mutex);
    const std::string first = Query(target, "startRev");
    body["rows"] = Json::array();
    body["hasMore"] = false;
    for (const auto& [key, row] : m_state.tables[Query(target, "table")])
    {
      if (key < first || row.deleted)
        continue;
      if (body["rows"].size() >= MAX_ROWS)
      {
        body["hasMore"] = true;
        break;
      }
      body["rows"].push_back(RowJson(key, row));
    }
    body["ver"] = m_state.version;
    return 200;
  }

  int Feed(const std::string& target, Json& body)
  {
    const std::string table = Query(target, "table");
    const std::int64_t after = std::atoll(Query(target, "after").c_str());
    const auto until =
        Clock::now() + std::chrono::milliseconds(std::atoi(Query(target, "waitMs").c_str()));
    std::unique_lock lock(m_mutex);
    while (true)
    {
      // A version that the store does not have.
      if (after > m_state.version)
        return 410;
      std::map<std::int64_t, std::vector<Json>> changed;
      for (const auto& [key, row] : m_state.tables[table])
        if (row.version > after)
          changed[row.version].push_back(RowJson(key, row));
      const bool is_over = Clock::now() >= until || m_stopped || m_fault != Fault::None;
      if (changed.empty() && !is_over)
      {
        m_changed.wait_until(lock, until);
        continue;
      }
      body["rows"] = Json::array();
      for (auto& [version, rows] : changed)
        for (Json& row : rows)
          body["rows"].push_back(std::move(row));
      body["ver"] = m_state.version;
      return 200;
    }
  }

  int Transact(const Message& request, Json& body)
  {
    SleepMs(4);
    const Json json = Json::parse(request.body, nullptr, false);
    if (!json.is_object())
      return 400;
    const std::lock_guard lock(m_mutex);
    Json conflicts = Json::array();
    for (const Json& expected : json.value("expectedRev", Json::array()))
    {
      const std::string key = expected.value("key", "");
      const Row& row = m_state.tables[expected.value("table", "")][key];
      if ((row.deleted ? 0 : row.version) != expected.value("ver", std::int64_t{0}))
        conflicts.push_back(RowJson(key, row));
    }
    if (!conflicts.empty())
    {
      body["rows"] = conflicts;
      return 412;
    }
    ++m_state.version;
    for (const Json& row : json.value("setKeys", Json::array()))
      m_state.tables[row.value("table", "")][row.value("key", "")] = {row.value("value", ""),
                                                                      m_state.version, false};
    for (const Json& row : json.value("remove", Json::array()))
      m_state.tables[row.value("table", "")][row.value("key", "")] = {"", m_state.version, true};
    body["ver"] = m_state.version;
    m_changed.notify_all();
    return 200;
  }

  Listener m_listener;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  State m_state;
  std::deque<std::pair<std::int64_t, State>> m_copies;
  std::atomic<int> m_era = 1;
  std::atomic<Fault> m_fault = Fault::None;
  std::atomic<bool> m_stopped = false;
  std::map<std::string, int> m_calls;
};
} // namespace Review

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "StandIns/Soak/StandInStore.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <glib.h>

#include "Common/Loop.h"
#include "Common/Random.h"

namespace Soak
{
namespace
{
using Common::Json;

/// With StoreFault::LoseResponses, one in so many writes gets no response.
constexpr std::uint64_t LOSE_ONE_IN = 3;

constexpr Common::Milliseconds COPY_INTERVAL{250};
constexpr Common::Milliseconds MAX_COPY_AGE{9000};

std::string QueryValue(const std::string& target, const std::string& name)
{
  const auto at = target.find(name + "=");
  if (at == std::string::npos)
    return "";
  const auto begin = at + name.size() + 1;
  char* text =
      g_uri_unescape_string(target.substr(begin, target.find('&', begin) - begin).c_str(), nullptr);
  std::string value = text == nullptr ? "" : text;
  g_free(text);
  return value;
}

std::int64_t NowMs()
{
  return std::chrono::duration_cast<Common::Milliseconds>(Common::Now().time_since_epoch()).count();
}
} // namespace

Common::Result<Common::Done> StandInStore::Listen(const Http::Endpoint& endpoint)
{
  return m_listener.Listen(endpoint, [this](int fd, const Http::Endpoint&) {
    const auto connection = Http::ServerConnection::Adopt(fd, *this);
    m_connections.emplace(connection.get(), connection);
    connection->OnFinished([this](Http::ServerConnection* finished) {
      m_connections.erase(finished);
    });
  });
}

void StandInStore::Write(const std::string& table, const std::string& key, Row row)
{
  row.version = ++m_version;
  m_tables[table][key] = std::move(row);
  std::list<PendingFeed> ready;
  for (auto feed = m_pending_feeds.begin(); feed != m_pending_feeds.end();)
  {
    const auto next = std::next(feed);
    if (feed->table == table)
      ready.splice(ready.end(), m_pending_feeds, feed);
    feed = next;
  }
  for (const PendingFeed& feed : ready)
    RespondToFeed(feed.connection, feed.table, feed.after);
}

void StandInStore::Put(const std::string& table, const std::string& key, const Json& value)
{
  const std::string text = Common::DumpJson(value);
  char* encoded = g_base64_encode(reinterpret_cast<const guchar*>(text.data()), text.size());
  Write(table, key, {encoded, 0, false});
  g_free(encoded);
}

std::string StandInStore::Find(const std::string& table, const std::string& key) const
{
  const auto rows = m_tables.find(table);
  if (rows == m_tables.end() || !rows->second.contains(key))
    return "";
  gsize size = 0;
  guchar* decoded = g_base64_decode(rows->second.at(key).value.c_str(), &size);
  std::string value(reinterpret_cast<const char*>(decoded), size);
  g_free(decoded);
  return value;
}

void StandInStore::Remove(const std::string& table, const std::string& key)
{
  if (m_tables[table].contains(key))
    Write(table, key, {"", 0, true});
}

void StandInStore::DropHistory()
{
  m_history_start = m_version;
  for (const PendingFeed& feed : std::exchange(m_pending_feeds, {}))
    feed.connection->Respond(410, "Gone", {}, "");
}

void StandInStore::KeepCopies()
{
  const auto now = Common::Now();
  std::erase_if(m_copies, [now](const Copy& copy) {
    return now - copy.at > MAX_COPY_AGE;
  });
  m_copies.push_back({now, m_tables, m_version});
  m_copy_timer.Start(COPY_INTERVAL, [this] {
    KeepCopies();
  });
}

void StandInStore::Restore(Common::Milliseconds age)
{
  const auto oldest = Common::Now() - age;
  const auto copy = std::ranges::find_if(m_copies, [oldest](const Copy& candidate) {
    return candidate.at >= oldest;
  });
  if (copy == m_copies.end())
    return;
  m_tables = copy->tables;
  m_version = copy->version;
  m_copies.erase(copy, m_copies.end());
  ++m_era;
  DropHistory();
}

void StandInStore::RetainKeys(const std::string& table, const std::set<std::string>& keys)
{
  std::vector<std::string> others;
  for (const auto& [key, row] : m_tables[table])
    if (!row.removed && !keys.contains(key))
      others.push_back(key);
  std::ranges::for_each(others, [&](const std::string& key) {
    Remove(table, key);
  });
}

void StandInStore::OnRequest(const std::shared_ptr<Http::ServerConnection>& connection,
                             Http::ReceivedRequest request)
{
  if (m_fault == StoreFault::Unresponsive)
    return;
  if (m_fault == StoreFault::Unavailable)
  {
    connection->Respond(503, Http::ReasonPhrase(503), {}, "");
    return;
  }
  const std::string& target = request.head.target;
  if (target.starts_with("/rows-get"))
    Read(connection, QueryValue(target, "table"), QueryValue(target, "startRev"),
         QueryValue(target, "targetVersion"));
  else if (target.starts_with("/rows-feed"))
    Feed(connection, QueryValue(target, "table"), std::atoll(QueryValue(target, "after").c_str()),
         Common::Milliseconds(std::atoi(QueryValue(target, "waitMs").c_str())));
  else if (target == "/rows-tx")
    Transact(connection, request.body);
  else
    connection->Respond(404, Http::ReasonPhrase(404), {}, "");
}

Json StandInStore::RowJson(const std::string& table, const std::string& key, const Row& row) const
{
  Json json = {
      {"table", table}, {"part", ""}, {"key", key}, {"value", row.value}, {"ver", row.version}};
  if (row.removed)
    json["deleted"] = true;
  return json;
}

void StandInStore::RespondWithVersion(const std::shared_ptr<Http::ServerConnection>& connection,
                                      int status, Json body)
{
  body["ver"] = m_version;
  body["nowMs"] = NowMs();
  connection->Respond(status, Http::ReasonPhrase(status),
                      {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(m_era)}},
                      Common::DumpJson(body));
}

void StandInStore::Read(const std::shared_ptr<Http::ServerConnection>& connection,
                        const std::string& table, const std::string& first_key,
                        const std::string& end_key)
{
  Json rows = Json::array();
  for (const auto& [key, row] : m_tables[table])
    if (key >= first_key && (end_key.empty() || key < end_key) && !row.removed)
      rows.push_back(RowJson(table, key, row));
  RespondWithVersion(connection, 200, {{"rows", rows}, {"hasMore", false}});
}

bool StandInStore::RespondToFeed(const std::shared_ptr<Http::ServerConnection>& connection,
                                 const std::string& table, std::int64_t after)
{
  std::map<std::int64_t, Json> changed;
  for (const auto& [key, row] : m_tables[table])
    if (row.version > after)
      changed[row.version] = RowJson(table, key, row);
  if (changed.empty())
    return false;
  Json rows = Json::array();
  for (auto& [version, row] : changed)
    rows.push_back(std::move(row));
  RespondWithVersion(connection, 200, {{"rows", rows}});
  return true;
}

void StandInStore::Feed(const std::shared_ptr<Http::ServerConnection>& connection,
                        const std::string& table, std::int64_t after, Common::Milliseconds wait)
{
  if (after < m_history_start || after > m_version)
  {
    connection->Respond(410, "Gone", {{"Store-Era", std::to_string(m_era)}}, "");
    return;
  }
  if (RespondToFeed(connection, table, after))
    return;
  m_pending_feeds.emplace_back();
  PendingFeed& feed = m_pending_feeds.back();
  feed.table = table;
  feed.after = after;
  feed.connection = connection;
  feed.timer.Start(wait, [this, target = &feed] {
    const auto waiting = target->connection;
    m_pending_feeds.remove_if([&](const PendingFeed& known) {
      return &known == target;
    });
    RespondWithVersion(waiting, 200, {{"rows", Json::array()}});
  });
}

void StandInStore::Transact(const std::shared_ptr<Http::ServerConnection>& connection,
                            const std::string& body)
{
  const auto json = Common::ParseJson(body);
  Json conflicts = Json::array();
  for (const Json& condition : Common::GetArray(*json, "expectedRev"))
  {
    const auto table = Common::GetOr<std::string>(condition, "table", "");
    const auto key = Common::GetOr<std::string>(condition, "key", "");
    const Row& row = m_tables[table][key];
    const std::int64_t version = row.removed ? 0 : row.version;
    if (version != Common::GetOr<std::int64_t>(condition, "ver", 0))
      conflicts.push_back(RowJson(table, key, row));
  }
  if (!conflicts.empty())
  {
    RespondWithVersion(connection, 412, {{"rows", conflicts}});
    return;
  }
  for (const Json& row : Common::GetArray(*json, "setKeys"))
    Write(Common::GetOr<std::string>(row, "table", ""), Common::GetOr<std::string>(row, "key", ""),
          {Common::GetOr<std::string>(row, "value", ""), 0, false});
  for (const Json& row : Common::GetArray(*json, "remove"))
    Remove(Common::GetOr<std::string>(row, "table", ""),
           Common::GetOr<std::string>(row, "key", ""));
  const bool loses_response =
      m_fault == StoreFault::LoseResponses && Common::SharedRandom()() % LOSE_ONE_IN == 0;
  if (loses_response)
    connection->AbortResponse();
  else
    RespondWithVersion(connection, 200, Json::object());
}
} // namespace Soak

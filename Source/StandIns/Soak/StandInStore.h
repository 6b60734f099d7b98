// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "Common/Json.h"
#include "Common/Reactor.h"
#include "Http/ServerConnection.h"

namespace Soak
{
/// The active fault of the store.
enum class StoreFault
{
  None,          ///< No fault.
  Unavailable,   ///< Responds to all new calls with status 503.
  Unresponsive,  ///< Sends no response to new calls.
  LoseResponses, ///< Applies some writes, but resets the connection instead of the response.
};

/// A stand-in for the platform's store: rows with versions, long-polling feeds and conditional
/// writes.
class StandInStore : public Http::RequestHandler
{
public:
  Common::Result<Common::Done> Listen(const Http::Endpoint& endpoint);

  void Put(const std::string& table, const std::string& key, const Common::Json& value);
  void Remove(const std::string& table, const std::string& key);
  /// The value of a row, as it was written; empty if there is none.
  std::string Find(const std::string& table, const std::string& key) const;
  void SetFault(StoreFault fault) { m_fault = fault; }
  /// Drops the history of changes: pending feeds, and later ones that ask for older changes, get
  /// status 410.
  void DropHistory();

  /// From now on, keeps copies of all tables for Restore().
  void KeepCopies();
  /// Comes back, in a new era, from the oldest copy that is at most this old.
  void Restore(Common::Milliseconds age);
  /// Removes the rows of the table with other keys.
  void RetainKeys(const std::string& table, const std::set<std::string>& keys);

  void OnRequest(const std::shared_ptr<Http::ServerConnection>& connection,
                 Http::ReceivedRequest request) override;
  const Http::ServerLimits& Limits() const override { return m_limits; }
  bool IsStopping() const override { return false; }

private:
  struct Row
  {
    std::string value;
    std::int64_t version = 0;
    bool removed = false;
  };
  using Tables = std::map<std::string, std::map<std::string, Row>>;
  struct Copy
  {
    Common::TimePoint at;
    Tables tables;
    std::int64_t version = 0;
  };
  /// A feed without changes so far.
  struct PendingFeed
  {
    std::string table;
    std::int64_t after = 0;
    std::shared_ptr<Http::ServerConnection> connection;
    Common::OwnedTimer timer;
  };

  /// Writes a row and responds to the feeds that wait for changes of its table.
  void Write(const std::string& table, const std::string& key, Row row);
  void Read(const std::shared_ptr<Http::ServerConnection>& connection, const std::string& table,
            const std::string& first_key, const std::string& end_key);
  void Feed(const std::shared_ptr<Http::ServerConnection>& connection, const std::string& table,
            std::int64_t after, Common::Milliseconds wait);
  void Transact(const std::shared_ptr<Http::ServerConnection>& connection, const std::string& body);
  /// Responds with the rows changed after a version; returns false if there are none.
  bool RespondToFeed(const std::shared_ptr<Http::ServerConnection>& connection,
                     const std::string& table, std::int64_t after);
  Common::Json RowJson(const std::string& table, const std::string& key, const Row& row) const;
  void RespondWithVersion(const std::shared_ptr<Http::ServerConnection>& connection, int status,
                          Common::Json body);

  Http::TcpListener m_listener;
  Http::ServerLimits m_limits;
  std::map<Http::ServerConnection*, std::shared_ptr<Http::ServerConnection>> m_connections;
  Tables m_tables;
  std::int64_t m_version = 1;
  std::int64_t m_era = 0;
  std::deque<Copy> m_copies; ///< Oldest first.
  Common::OwnedTimer m_copy_timer;
  std::int64_t m_history_start = 0;
  std::list<PendingFeed> m_pending_feeds;
  StoreFault m_fault = StoreFault::None;
};
} // namespace Soak

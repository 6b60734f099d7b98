// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Reactor.h"
#include "Fleet/SharedTables.h"
#include "Http/TcpStream.h"

namespace Fleet
{
/// Hands this daemon's copy of the shared tables to other daemons over TCP, and receives a copy
/// from another daemon while this one has none. The receiver connects and sends nothing; the
/// source sends one message (`PackSnapshots`); the receiver closes the connection.
class TableHandover : private Http::StreamEvents
{
public:
  /// Called when a copy was received and applied, or when that failed.
  using DoneHandler = std::function<void(bool succeeded)>;

  /// `tables` must outlive this object.
  TableHandover(const std::vector<TableAccess>& tables, DoneHandler on_done);
  ~TableHandover() override;

  Common::Result<Common::Done> Listen(const Http::Endpoint& local);
  Http::Endpoint Local() const { return m_listener.Local(); }
  /// True if this daemon has a copy of all shared tables.
  bool HasAllTables() const;
  /// Begins to receive a copy, unless this daemon has one or is receiving one.
  void Receive(const Http::Endpoint& source);
  bool IsReceiving() const { return m_stream != nullptr; }
  /// Copies sent so far, and their bytes.
  std::int64_t CopiesSent() const { return m_copies_sent; }
  std::int64_t BytesSent() const { return m_bytes_sent; }

private:
  class Sender;

  void Accept(int fd);
  /// This daemon's copy, packed; it may be a little older than the tables.
  const std::string& Packed();
  void OnBytes(std::string_view bytes) override;
  void OnEnd(Http::StreamEnd end) override;
  void ArmReceiveTimer();
  void Finish(bool succeeded);
  bool Apply() const;

  const std::vector<TableAccess>& m_tables;
  DoneHandler m_on_done;
  Http::TcpListener m_listener;
  std::map<Sender*, std::unique_ptr<Sender>> m_senders;
  std::string m_packed;
  Common::TimePoint m_packed_at;
  std::vector<std::int64_t> m_packed_versions;
  std::shared_ptr<Http::TcpStream> m_stream; ///< From the source, while receiving.
  Http::Endpoint m_source;
  std::string m_received;
  Common::OwnedTimer m_receive_timer;
  Common::OwnedTimer m_finish_timer;
  std::int64_t m_copies_sent = 0;
  std::int64_t m_bytes_sent = 0;
};
} // namespace Fleet

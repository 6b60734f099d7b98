// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Fleet/TableHandover.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "Common/Log.h"
#include "Common/Loop.h"
#include "Fleet/TableSnapshot.h"

namespace Fleet
{
namespace
{
using Common::Milliseconds;

/// Connections that are served at once. The holder plans fewer; further ones are closed.
constexpr std::size_t MAX_SENDERS = 16;
/// A receiver closes its connection when it has the copy; after this time it is closed here.
constexpr Milliseconds SEND_TIMEOUT{10000};
/// A source that sends nothing for this long has failed.
constexpr Milliseconds RECEIVE_TIMEOUT{1000};
/// A packed copy is used for this long. Receivers get what has changed since from the holder.
constexpr Milliseconds PACKED_LIFETIME{500};
} // namespace

/// One connection to a daemon that receives a copy.
class TableHandover::Sender : public Http::StreamEvents
{
public:
  Sender(TableHandover& owner, int fd) : m_owner(owner), m_stream(Http::TcpStream::Adopt(fd, this))
  {
    m_timer.Start(SEND_TIMEOUT, [this] {
      End();
    });
  }

  void Send(const std::string& bytes) { m_stream->Write(bytes); }
  void OnBytes(std::string_view) override {}
  void OnEnd(Http::StreamEnd) override { End(); }

private:
  void End()
  {
    m_stream->Close();
    // Deferred, because the stream and this object are still in use by the caller.
    m_timer.Start(Milliseconds(0), [this] {
      m_owner.m_senders.erase(this);
    });
  }

  TableHandover& m_owner;
  std::shared_ptr<Http::TcpStream> m_stream;
  Common::OwnedTimer m_timer;
};

TableHandover::TableHandover(const std::vector<TableAccess>& tables, DoneHandler on_done)
    : m_tables(tables), m_on_done(std::move(on_done))
{
}

TableHandover::~TableHandover() = default;

Common::Result<Common::Done> TableHandover::Listen(const Http::Endpoint& local)
{
  return m_listener.Listen(local, [this](int fd, const Http::Endpoint&) {
    Accept(fd);
  });
}

bool TableHandover::HasAllTables() const
{
  return !m_tables.empty() && std::ranges::all_of(m_tables, [](const TableAccess& table) {
    return table.version() > 0;
  });
}

void TableHandover::Accept(int fd)
{
  auto sender = std::make_unique<Sender>(*this, fd);
  if (!HasAllTables() || m_senders.size() >= MAX_SENDERS)
    return;
  const std::string& bytes = Packed();
  ++m_copies_sent;
  m_bytes_sent += static_cast<std::int64_t>(bytes.size());
  sender->Send(bytes);
  Sender* key = sender.get();
  m_senders.emplace(key, std::move(sender));
}

const std::string& TableHandover::Packed()
{
  std::vector<std::int64_t> versions;
  std::ranges::transform(m_tables, std::back_inserter(versions), [](const TableAccess& table) {
    return table.version();
  });
  const auto now = Common::Now();
  if (versions == m_packed_versions || (!m_packed.empty() && now - m_packed_at < PACKED_LIFETIME))
    return m_packed;
  std::vector<TableSnapshot> snapshots;
  std::ranges::transform(m_tables, std::back_inserter(snapshots), [](const TableAccess& table) {
    return table.snapshot();
  });
  m_packed = PackSnapshots(snapshots);
  m_packed_at = now;
  m_packed_versions = std::move(versions);
  return m_packed;
}

void TableHandover::Receive(const Http::Endpoint& source)
{
  if (m_stream || HasAllTables())
    return;
  m_received.clear();
  m_source = source;
  m_stream = Http::TcpStream::Connect(source, this);
  if (!m_stream)
    return;
  ArmReceiveTimer();
}

void TableHandover::ArmReceiveTimer()
{
  m_receive_timer.Start(RECEIVE_TIMEOUT, [this] {
    Finish(false);
  });
}

void TableHandover::OnBytes(std::string_view bytes)
{
  m_received.append(bytes);
  ArmReceiveTimer();
  const auto length = MessageLength(m_received);
  if (!length)
    Finish(false);
  else if (*length > 0 && m_received.size() >= *length)
    Finish(Apply());
}

void TableHandover::OnEnd(Http::StreamEnd)
{
  Finish(false);
}

bool TableHandover::Apply() const
{
  const auto snapshots = UnpackSnapshots(m_received);
  if (!snapshots || snapshots->size() != m_tables.size())
    return false;
  for (std::size_t i = 0; i < m_tables.size(); ++i)
    m_tables[i].apply_snapshot((*snapshots)[i]);
  return true;
}

void TableHandover::Finish(bool succeeded)
{
  m_receive_timer.Stop();
  Common::LogEvent(
      succeeded ? Common::LogLevel::Info : Common::LogLevel::Warning, "tables-received",
      {{"source", m_source.ToString()}, {"complete", succeeded}, {"bytes", m_received.size()}});
  m_stream->Close();
  // Deferred, because this is called by the stream.
  m_finish_timer.Start(Milliseconds(0), [this, succeeded] {
    m_stream.reset();
    m_received = {};
    m_on_done(succeeded);
  });
}
} // namespace Fleet

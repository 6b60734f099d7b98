// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Tunnels/TunnelServer.h"

#include <algorithm>
#include <string>
#include <utility>

#include "Common/Log.h"
#include "Common/Loop.h"
#include "Http/Tunnel.h"

namespace Tunnels
{
namespace
{
using Common::Milliseconds;
using Http::StreamEnd;
using Http::TunnelStatus;

/// Bounds the descriptors and the memory that the tunnels of other VMs use on this one.
constexpr std::size_t MAX_TUNNELS = 256;
/// Time limits for the message that opens a tunnel, and for the connection to the server.
constexpr Milliseconds OPEN_TIMEOUT{1000};
constexpr Milliseconds CONNECT_TIMEOUT{400};
/// A tunnel checks at this interval whether this process was suspended.
constexpr Milliseconds TICK{250};
/// A tunnel that has carried nothing for this long, and last carried bytes of the server, is idle.
/// Longer than the pauses of a stream.
constexpr Milliseconds IDLE_AFTER{1000};
/// A tick that is late by more than this shows that the process was suspended. Bytes that arrived
/// meanwhile are not passed on: a request among them states the time that its caller had left then.
constexpr Milliseconds SUSPENDED_AFTER{1000};
} // namespace

/// One tunnel: the connection of a daemon and the one to the server.
class TunnelServer::Tunnel
{
public:
  Tunnel(TunnelServer& owner, int fd)
      : m_owner(owner), m_daemon(*this), m_server(*this), m_ticked_at(Common::Now())
  {
    m_daemon.stream = Http::TcpStream::Adopt(fd, &m_daemon);
    m_timer.Start(OPEN_TIMEOUT, [this] {
      End();
    });
    Tick();
  }

  /// True if the server owes a response, or may be in the middle of one.
  bool IsInUse() const
  {
    return m_awaits_server || (m_open && Common::Now() - m_carried_at < IDLE_AFTER);
  }

  void Reject(TunnelStatus status)
  {
    m_daemon.stream->Write(Http::Encode(status));
    // The status is in the kernel's buffer, which a close does not discard.
    End();
  }

private:
  /// One of the two connections.
  struct Side : public Http::StreamEvents
  {
    explicit Side(Tunnel& tunnel_ref) : tunnel(tunnel_ref) {}
    void OnConnected() override { tunnel.OnServerConnected(); }
    void OnBytes(std::string_view bytes) override { tunnel.OnBytes(*this, bytes); }
    void OnEnd(StreamEnd end) override { tunnel.OnEnd(*this, end); }
    void OnOutputFlushed() override { tunnel.OnFlushed(*this); }

    Tunnel& tunnel;
    std::shared_ptr<Http::TcpStream> stream;
  };

  Side& Opposite(const Side& side) { return &side == &m_daemon ? m_server : m_daemon; }

  void Tick()
  {
    m_ticked_at = Common::Now();
    m_tick.Start(TICK, [this] {
      if (WasSuspended())
        Reset();
      else
        Tick();
    });
  }

  bool WasSuspended() const { return Common::Now() - m_ticked_at > TICK + SUSPENDED_AFTER; }

  void OnBytes(Side& from, std::string_view bytes)
  {
    if (!m_open)
    {
      Open(bytes);
      return;
    }
    if (WasSuspended())
    {
      Reset();
      return;
    }
    m_awaits_server = &from == &m_daemon;
    m_carried_at = Common::Now();
    Side& to = Opposite(from);
    to.stream->Write(bytes);
    if (to.stream->Unsent() > 0)
      from.stream->SetReading(false);
  }

  void Open(std::string_view bytes)
  {
    m_received.append(bytes);
    const ReceivedOpen open = DecodeOpen(m_received);
    if (open.status == OpenStatus::NeedsMore && !m_server.stream)
      return;
    const auto address = open.status == OpenStatus::Complete && !m_server.stream
                             ? m_owner.m_resolver(open.target)
                             : std::nullopt;
    if (!address)
    {
      Reject(TunnelStatus::NoPath);
      return;
    }
    // If this process exits or the daemon leaves, the server must not receive more of a request.
    Http::SocketOptions options;
    options.reset_on_close = true;
    m_target = open.target;
    m_server.stream = Http::TcpStream::Connect(*address, &m_server, options);
    if (!m_server.stream)
    {
      Reject(TunnelStatus::NoPath);
      return;
    }
    m_timer.Start(CONNECT_TIMEOUT, [this] {
      FailToConnect(TunnelStatus::TimedOut);
    });
  }

  void FailToConnect(TunnelStatus status)
  {
    if (m_owner.m_on_connect_failure)
      m_owner.m_on_connect_failure(m_target);
    Reject(status);
  }

  void OnServerConnected()
  {
    m_timer.Stop();
    m_open = true;
    m_carried_at = Common::Now();
    // If this process exits, the daemon must not take that for the end of a response.
    m_daemon.stream->SetResetOnClose(true);
    m_daemon.stream->Write(Http::Encode(TunnelStatus::Open));
  }

  void OnEnd(Side& from, StreamEnd end)
  {
    if (!m_open && &from == &m_server)
    {
      FailToConnect(TunnelStatus::Refused);
      return;
    }
    Side& to = Opposite(from);
    if (end != StreamEnd::Closed && to.stream)
      to.stream->Reset();
    if (&to == &m_daemon)
      m_daemon.stream->SetResetOnClose(false);
    // An orderly close may end a response, so that what came before has to arrive first.
    if (to.stream && to.stream->IsOpen() && to.stream->Unsent() > 0)
      m_closes_when_flushed = true;
    else
      End();
  }

  void OnFlushed(Side& side)
  {
    if (m_closes_when_flushed)
    {
      End();
      return;
    }
    const Side& from = Opposite(side);
    if (from.stream)
      from.stream->SetReading(true);
  }

  void Reset()
  {
    for (const auto& stream : {m_daemon.stream, m_server.stream})
      if (stream)
        stream->Reset();
    End();
  }

  void End()
  {
    for (const auto& stream : {m_daemon.stream, m_server.stream})
      if (stream)
        stream->Close();
    m_timer.Stop();
    m_tick.Stop();
    m_owner.Remove(this);
  }

  TunnelServer& m_owner;
  Side m_daemon;
  Side m_server;
  std::string m_received;
  TunnelTarget m_target; ///< Once it was received.
  bool m_open = false;
  bool m_awaits_server = false;   ///< The last bytes came from the daemon.
  Common::TimePoint m_carried_at; ///< When the last bytes came, once it is open.
  bool m_closes_when_flushed = false;
  Common::TimePoint m_ticked_at;
  Common::OwnedTimer m_timer;
  Common::OwnedTimer m_tick;
  Common::OwnedTimer m_removal;

  friend class TunnelServer;
};

TunnelServer::TunnelServer(Resolver resolver) : m_resolver(std::move(resolver)) {}

TunnelServer::~TunnelServer() = default;

Common::Result<Common::Done> TunnelServer::Listen(const Http::Endpoint& local)
{
  return m_listener.Listen(local, [this](int fd, const Http::Endpoint&) {
    Accept(fd);
  });
}

void TunnelServer::Accept(int fd)
{
  ++m_requested;
  const bool is_accepted = !m_stopping && m_tunnels.size() < MAX_TUNNELS;
  auto tunnel = std::make_unique<Tunnel>(*this, fd);
  Tunnel* key = tunnel.get();
  m_tunnels.emplace(key, std::move(tunnel));
  if (is_accepted)
    return;
  ++m_rejected;
  key->Reject(TunnelStatus::Busy);
}

bool TunnelServer::IsInUse() const
{
  return std::ranges::any_of(m_tunnels, [](const auto& entry) {
    return entry.second->IsInUse();
  });
}

void TunnelServer::Remove(Tunnel* tunnel)
{
  tunnel->m_removal.Start(Milliseconds(0), [this, tunnel] {
    m_tunnels.erase(tunnel);
  });
}
} // namespace Tunnels

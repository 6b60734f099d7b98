// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "Common/Reactor.h"
#include "Http/TcpStream.h"
#include "Tunnels/Messages.h"

namespace Tunnels
{
/// Opens and serves tunnels for daemons that cannot connect to backend servers themselves.
class TunnelServer
{
public:
  /// Returns the server's address if this VM connects to it directly; otherwise nothing.
  using Resolver = std::function<std::optional<Http::Endpoint>(const TunnelTarget&)>;

  explicit TunnelServer(Resolver resolver);
  ~TunnelServer();
  TunnelServer(const TunnelServer&) = delete;
  TunnelServer& operator=(const TunnelServer&) = delete;

  /// Called when the server of a tunnel refused the connection or did not reply in time.
  void OnConnectFailure(std::function<void(const TunnelTarget&)> callback)
  {
    m_on_connect_failure = std::move(callback);
  }

  Common::Result<Common::Done> Listen(const Http::Endpoint& local);
  Http::Endpoint Local() const { return m_listener.Local(); }
  /// Rejects new tunnels from now on, since this process will end while they are used.
  void BeginStop() { m_stopping = true; }
  /// True if a request may be in progress in a tunnel.
  bool IsInUse() const;
  std::size_t OpenTunnels() const { return m_tunnels.size(); }
  /// Tunnels that were requested since the start, and those that were rejected for lack of room or
  /// as the process stops.
  std::int64_t Requested() const { return m_requested; }
  std::int64_t Rejected() const { return m_rejected; }

private:
  class Tunnel;

  void Accept(int fd);
  /// Destroys a tunnel from the main loop, because its streams may still be in a callback.
  void Remove(Tunnel* tunnel);

  Resolver m_resolver;
  std::function<void(const TunnelTarget&)> m_on_connect_failure;
  Http::TcpListener m_listener;
  std::map<Tunnel*, std::unique_ptr<Tunnel>> m_tunnels;
  bool m_stopping = false;
  std::int64_t m_requested = 0;
  std::int64_t m_rejected = 0;
};
} // namespace Tunnels

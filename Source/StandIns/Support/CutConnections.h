// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>

#include "Http/ServerConnection.h"
#include "Http/TcpStream.h"

namespace StandIns
{
/// What happens to the connections between a server and the VMs that are cut off from it.
enum class CutKind
{
  Hang,        ///< No packet of these VMs arrives, on old and new connections.
  Reset,       ///< Connections are reset as soon as they are made, and those that are open.
  OldOnesLive, ///< Open connections go on; new ones are reset.
};

/// The VMs that are cut off from a server.
struct NetworkCut
{
  std::set<std::uint32_t> addresses; ///< Of the VMs, in network byte order.
  CutKind kind = CutKind::Hang;

  bool Covers(std::uint32_t address) const { return addresses.contains(address); }
};

/// The connections of one server, of which those with some VMs can be cut.
class CutConnections
{
public:
  using Connection = std::shared_ptr<Http::ServerConnection>;

  /// Adds an accepted connection with its socket; it is reset if the cut says so.
  void Add(const Connection& connection, int fd, const Http::Endpoint& peer);
  /// Resets the connections with all VMs.
  void ResetAll() const;
  void Remove(Http::ServerConnection* connection) { m_peers.erase(connection); }
  /// Begins a cut. Every listener of the server has to be passed to ApplyTo() from then on.
  void Begin(NetworkCut cut);
  void End();
  /// Applies the cut, or its end, to the server's listener.
  void ApplyTo(int listener) const;

private:
  struct Peer
  {
    Connection connection;
    int fd = -1;
    std::uint32_t address = 0; ///< In network byte order.
  };

  static void Reset(const Peer& peer);

  NetworkCut m_cut;
  std::map<Http::ServerConnection*, Peer> m_peers;
};
} // namespace StandIns

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <list>
#include <memory>
#include <optional>
#include <string>

#include "Common/Reactor.h"
#include "Http/TcpStream.h"
#include "ScenarioRunner/Relay.h"
#include "StandIns/ResumedStreams/DaemonPool.h"

namespace ResumedStreams
{
/// What a daemon is cut off from.
struct NetworkCut
{
  bool from_store = false;
  bool receives_others = true; ///< Messages of the other daemons arrive at it.
  bool reaches_others = true;  ///< Its messages arrive at the other daemons.
};

/// The network between the daemons, and between them and the store, from which one daemon can be
/// cut off: an address translation for the daemons' messages, and one relay to the store for each
/// of them. TCP between daemons, over which one that starts receives the tables, is not cut.
class DaemonNetwork
{
public:
  explicit DaemonNetwork(const Http::Endpoint& store) : m_store(store) {}

  /// Adds a daemon with this IP address, which other daemons reach at `messages`.
  Common::Result<DaemonAddresses> Add(const std::string& ip, const Http::Endpoint& messages);
  /// Cuts off the daemon that was added after so many others.
  void Cut(std::size_t daemon, const NetworkCut& cut);
  void EndCut();

private:
  /// The outer address of one daemon.
  class Port : public Common::DescriptorHandler
  {
  public:
    Port(DaemonNetwork& network, const Http::Endpoint& daemon)
        : m_network(network), m_daemon(daemon)
    {
    }
    ~Port() override;
    Port(const Port&) = delete;
    Port& operator=(const Port&) = delete;

    Common::Result<Common::Done> Open(const Http::Endpoint& messages);
    /// Where the daemon listens.
    const Http::Endpoint& Daemon() const { return m_daemon; }
    /// Sends a datagram of this daemon.
    void Send(std::string_view bytes, const Port& receiver) const;
    void OnDescriptorEvents(std::uint32_t events) override;

  private:
    DaemonNetwork& m_network;
    Http::Endpoint m_daemon;
    int m_fd = -1;
    std::uint64_t m_watch = 0;
  };
  struct Node
  {
    std::unique_ptr<Port> port;
    std::unique_ptr<ScenarioRunner::Relay> tables; ///< From other daemons to this one.
    std::unique_ptr<ScenarioRunner::Relay> store;
    NetworkCut cut;
  };

  void PassOn(std::string_view bytes, const Http::Endpoint& from, const Port& to);

  Http::Endpoint m_store;
  std::list<Node> m_nodes;
};
} // namespace ResumedStreams

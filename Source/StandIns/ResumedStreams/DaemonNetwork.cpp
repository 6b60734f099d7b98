// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "StandIns/ResumedStreams/DaemonNetwork.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <iterator>

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace ResumedStreams
{
namespace
{
constexpr int STORE_PORT = 8300;
/// Where daemons listen for messages; the next port is that of their tunnels.
constexpr int MESSAGES_PORT = 8310;
constexpr std::size_t MAX_DATAGRAM = 65536;
} // namespace

DaemonNetwork::Port::~Port()
{
  if (m_fd < 0)
    return;
  Common::Reactor::Get().Unwatch(m_watch, m_fd);
  close(m_fd);
}

Common::Result<Common::Done> DaemonNetwork::Port::Open(const Http::Endpoint& messages)
{
  m_fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = messages.ToSockaddr();
  if (m_fd < 0 || bind(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
    return {Common::FailureKind::Unavailable, messages.ToString() + ": " + std::strerror(errno)};
  m_watch = Common::Reactor::Get().Watch(m_fd, EPOLLIN, this);
  return Common::Done{};
}

void DaemonNetwork::Port::Send(std::string_view bytes, const Port& receiver) const
{
  const sockaddr_in address = receiver.m_daemon.ToSockaddr();
  (void)sendto(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL,
               reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

void DaemonNetwork::Port::OnDescriptorEvents(std::uint32_t)
{
  std::array<char, MAX_DATAGRAM> buffer;
  while (true)
  {
    sockaddr_in from{};
    socklen_t size = sizeof(from);
    const ssize_t count =
        recvfrom(m_fd, buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (count < 0)
      return;
    m_network.PassOn({buffer.data(), static_cast<std::size_t>(count)},
                     Http::Endpoint::FromSockaddr(from), *this);
  }
}

Common::Result<DaemonAddresses> DaemonNetwork::Add(const std::string& ip,
                                                   const Http::Endpoint& messages)
{
  const std::string store = ip + ":" + std::to_string(STORE_PORT);
  const DaemonAddresses addresses{*Http::Endpoint::Parse(store), {messages.address, MESSAGES_PORT}};
  Node& node = m_nodes.emplace_back(
      std::make_unique<Port>(*this, addresses.messages_listen),
      std::make_unique<ScenarioRunner::Relay>(messages.ToString(),
                                              addresses.messages_listen.ToString()),
      std::make_unique<ScenarioRunner::Relay>(store, m_store.ToString()), NetworkCut{});
  if (const auto opened = node.port->Open(messages); !opened)
    return opened.Reason();
  if (const auto opened = node.tables->OpenTcp(); !opened)
    return opened.Reason();
  if (const auto opened = node.store->OpenTcp(); !opened)
    return opened.Reason();
  return addresses;
}

void DaemonNetwork::Cut(std::size_t daemon, const NetworkCut& cut)
{
  Node& node = *std::next(m_nodes.begin(), static_cast<std::ptrdiff_t>(daemon));
  node.cut = cut;
  node.store->SetCut(cut.from_store);
}

void DaemonNetwork::EndCut()
{
  for (std::size_t daemon = 0; daemon < m_nodes.size(); ++daemon)
    Cut(daemon, {});
}

void DaemonNetwork::PassOn(std::string_view bytes, const Http::Endpoint& from, const Port& to)
{
  const auto sender = std::ranges::find(m_nodes, from, [](const Node& node) {
    return node.port->Daemon();
  });
  const auto receiver = std::ranges::find(m_nodes, &to, [](const Node& node) -> const Port* {
    return node.port.get();
  });
  if (sender == m_nodes.end() || receiver == m_nodes.end())
    return;
  const bool is_cut = !sender->cut.reaches_others || !receiver->cut.receives_others;
  if (!is_cut || sender == receiver)
    sender->port->Send(bytes, to);
}
} // namespace ResumedStreams

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "StandIns/Support/CutConnections.h"

#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/ip.h>
#include <sys/socket.h>

namespace StandIns
{
namespace
{
/// Drops all packets that the socket receives from these addresses; an empty set ends that. Returns
/// false where the system does not allow it.
bool DropPacketsFrom(int fd, const std::set<std::uint32_t>& addresses)
{
  if (addresses.empty())
  {
    int unused = 0;
    return setsockopt(fd, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused)) == 0;
  }
  constexpr std::uint32_t SOURCE_ADDRESS = 12; // Offset in the IP header.
  constexpr std::uint32_t WHOLE_PACKET = 0xffffffff;
  std::vector<sock_filter> program{
      BPF_STMT(BPF_LD | BPF_W | BPF_ABS, static_cast<std::uint32_t>(SKF_NET_OFF) + SOURCE_ADDRESS)};
  for (const std::uint32_t address : addresses)
  {
    program.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, ntohl(address), 0, 1));
    program.push_back(BPF_STMT(BPF_RET | BPF_K, 0));
  }
  program.push_back(BPF_STMT(BPF_RET | BPF_K, WHOLE_PACKET));
  const sock_fprog filter{static_cast<unsigned short>(program.size()), program.data()};
  return setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter)) == 0;
}
} // namespace

void CutConnections::Add(const Connection& connection, int fd, const Http::Endpoint& peer)
{
  const Peer added{connection, fd, peer.address};
  m_peers.emplace(connection.get(), added);
  if (m_cut.kind != CutKind::Hang && m_cut.Covers(peer.address))
    Reset(added);
}

void CutConnections::Begin(NetworkCut cut)
{
  m_cut = std::move(cut);
  const auto peers = m_peers;
  for (const auto& [key, peer] : peers)
  {
    if (!m_cut.Covers(peer.address))
      continue;
    if (m_cut.kind == CutKind::Hang)
      DropPacketsFrom(peer.fd, m_cut.addresses);
    else if (m_cut.kind == CutKind::Reset)
      Reset(peer);
  }
}

void CutConnections::End()
{
  const NetworkCut before = std::exchange(m_cut, {});
  if (before.kind == CutKind::Hang)
    for (const auto& [key, peer] : m_peers)
      if (before.Covers(peer.address))
        DropPacketsFrom(peer.fd, {});
}

void CutConnections::ApplyTo(int listener) const
{
  DropPacketsFrom(listener,
                  m_cut.kind == CutKind::Hang ? m_cut.addresses : std::set<std::uint32_t>{});
}

void CutConnections::ResetAll() const
{
  const auto peers = m_peers;
  for (const auto& [key, peer] : peers)
    Reset(peer);
}

void CutConnections::Reset(const Peer& peer)
{
  // With a linger time of 0, closing the socket resets the connection.
  const linger reset{1, 0};
  setsockopt(peer.fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  peer.connection->AbortResponse();
}
} // namespace StandIns

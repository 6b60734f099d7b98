// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "StandIns/OverloadedServers/NetworkCut.h"

#include <vector>

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/ip.h>
#include <sys/socket.h>

namespace OverloadedServers
{
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
} // namespace OverloadedServers

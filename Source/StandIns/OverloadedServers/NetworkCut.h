// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <set>

namespace OverloadedServers
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

/// Drops all packets that the socket receives from these addresses; an empty set ends that. Returns
/// false where the system does not allow it.
bool DropPacketsFrom(int fd, const std::set<std::uint32_t>& addresses);
} // namespace OverloadedServers

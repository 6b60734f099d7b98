// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "Fleet/HandoverPlanner.h"
#include "Http/TcpStream.h"

namespace Fleet
{
/// A running daemon.
struct ListedDaemon
{
  Http::Endpoint messages; ///< Its address for messages.
  PlaceHash place = 0;     ///< Its data centre.
  std::uint32_t run = 0;   ///< Hash of its run: a daemon that has restarted is another one.

  auto operator<=>(const ListedDaemon&) const = default;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(messages.address, messages.port, place, run);
  }
};

/// All daemons that report to the holder of the order lease. Each daemon keeps a copy, so that it
/// can address the others while there is no holder.
class MemberList
{
public:
  /// Daemons that were added and removed between two states of the list.
  struct Change
  {
    std::vector<ListedDaemon> added;
    std::vector<ListedDaemon> removed;
  };

  /// Replaces the list and returns what changed.
  Change Assign(std::vector<ListedDaemon> daemons);
  void Apply(const Change& change);
  /// Identifies the content of the list: two lists with the same daemons have the same checksum.
  std::uint64_t Checksum() const { return m_checksum; }
  /// Sorted by address.
  std::span<const ListedDaemon> All() const { return m_daemons; }
  bool Contains(const Http::Endpoint& messages) const;
  /// The data centre of the daemon at this address.
  std::optional<PlaceHash> PlaceOf(const Http::Endpoint& messages) const;

private:
  std::vector<ListedDaemon> m_daemons;
  std::uint64_t m_checksum = 0;
};
} // namespace Fleet

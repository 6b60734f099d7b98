// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "RateLimits/Messages.h"

namespace Gateway
{
/// The draining servers known to one daemon, learned from response headers. Daemons report them to
/// the holder of the order lease, which announces them to all daemons. An instance of a server
/// never leaves the draining state, so updates may be late, duplicated, lost or reordered.
class DrainRegistry
{
public:
  /// Adds a server that announced draining in a response to this daemon or, on the lease holder, in
  /// another daemon's report. Returns true if the server was not known as draining.
  bool Note(RateLimits::ServerKey server, Common::TimePoint now);
  /// Servers that the most recent lease holder has not announced yet.
  std::vector<RateLimits::ServerKey> Unconfirmed() const;
  /// Applies an update from the holder of `tenure` and returns the servers that were not known.
  std::vector<RateLimits::ServerKey> ApplyUpdate(std::int64_t tenure,
                                                 std::span<const RateLimits::ServerKey> servers,
                                                 Common::TimePoint now);
  /// Makes this daemon the lease holder.
  void BeginTenure(std::int64_t tenure);
  void EndTenure() { m_is_holder = false; }
  /// On the lease holder: the next batch of at most `most` servers. Starts over after the last one.
  std::vector<RateLimits::ServerKey> NextUpdate(std::size_t most, Common::TimePoint now);

  bool Contains(RateLimits::ServerKey server) const { return m_servers.contains(server); }
  bool Empty() const { return m_servers.empty(); }
  /// Increases whenever a server is added.
  std::uint64_t Revision() const { return m_revision; }

private:
  struct Entry
  {
    Common::TimePoint noted_at;
    std::int64_t announced_in = 0; ///< Latest tenure whose holder announced the server.
  };

  void RemoveOlderThan(Common::TimePoint noted_before);

  std::map<RateLimits::ServerKey, Entry> m_servers;
  RateLimits::ServerKey m_sent_up_to =
      RateLimits::FIRST_KEY; ///< Last server of the previous batch.
  std::uint64_t m_revision = 0;
  std::int64_t m_tenure = 0; ///< Tenure of the most recent lease holder.
  bool m_is_holder = false;
};
} // namespace Gateway

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
/// The servers that have announced their end in answers, as one daemon knows them. Daemons tell the
/// holder of the order lease, and the holder tells all. What is known of one life never changes
/// back, so news may come late, twice or not at all and needs no order.
class DrainBook
{
public:
  /// An answer to this daemon, or at the holder another daemon's report. True where it was not
  /// known.
  bool Note(RateLimits::ServerKey server, Common::TimePoint now);
  /// What the holder that was heard last has not told itself.
  std::vector<RateLimits::ServerKey> Unconfirmed() const;
  /// From the holder of `tenure`. Gives what was not known.
  std::vector<RateLimits::ServerKey> TakeNews(std::int64_t tenure,
                                              std::span<const RateLimits::ServerKey> servers,
                                              Common::TimePoint now);
  /// This daemon is the holder from now on.
  void BeginTenure(std::int64_t tenure);
  void EndTenure() { m_is_holder = false; }
  /// At the holder: the next part of all servers, and from the beginning again.
  std::vector<RateLimits::ServerKey> NextNews(std::size_t most, Common::TimePoint now);

  bool Contains(RateLimits::ServerKey server) const { return m_servers.contains(server); }
  bool Empty() const { return m_servers.empty(); }
  /// Rises when a server is added.
  std::uint64_t Revision() const { return m_revision; }

private:
  struct Entry
  {
    Common::TimePoint noted_at;
    std::int64_t told_in = 0; ///< The last tenure whose holder told it.
  };

  void Forget(Common::TimePoint noted_before);

  std::map<RateLimits::ServerKey, Entry> m_servers;
  RateLimits::ServerKey m_told_up_to = RateLimits::FIRST_KEY; ///< By the news before.
  std::uint64_t m_revision = 0;
  std::int64_t m_tenure = 0; ///< Of the holder that was heard last.
  bool m_is_holder = false;
};
} // namespace Gateway

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "RateLimits/Messages.h"
#include "RateLimits/RequestRate.h"

namespace RateLimits
{
/// A limit that was added, changed or removed.
struct LimitChange
{
  ServerKey server;
  std::optional<RequestRate> before;
  std::optional<RequestRate> rate;
};

/// The rate limits of the servers as known to one daemon.
///
/// The holder of the order lease assigns version numbers to the changes of each limit. Daemons send
/// it the limits they read together with the last version they knew, so the order of two readings
/// follows from versions and not from clocks. A response raises or removes a limit only if its
/// request was sent after the limit became known. A lower limit takes effect immediately, whichever
/// response states it.
class LimitRegistry
{
public:
  std::optional<RequestRate> CurrentLimit(ServerKey server) const;
  /// The start of the current uninterrupted period in which the server has a limit.
  std::optional<Common::TimePoint> LimitedSince(ServerKey server) const;
  bool Empty() const { return m_entries.empty(); }
  /// Incremented on each change of a limit.
  std::uint64_t Revision() const { return m_revision; }

  /// Records the limit in the response to a request that this daemon sent at `sent_at`.
  std::optional<LimitChange> NoteResponse(ServerKey server, const LimitReading& reading,
                                          Common::TimePoint sent_at, Common::TimePoint now);
  /// Readings that the holder has not confirmed yet.
  std::vector<LimitObservation> Unconfirmed(Common::TimePoint now) const;
  /// Applies an update that the holder sent.
  std::vector<LimitChange> ApplyUpdate(std::int64_t tenure, const LimitUpdate& update,
                                       Common::TimePoint now);

  /// This daemon becomes the holder; the limits it knows become the announced ones.
  void BeginTenure(std::int64_t tenure);
  void EndTenure() { m_is_holder = false; }
  /// Applies the readings of a daemon that follows the holder of `tenure`.
  std::vector<LimitChange> ApplyObservations(std::int64_t tenure,
                                             std::span<const LimitObservation> observations,
                                             Common::TimePoint now);
  /// Returns the next part of all limits to send to all daemons, starting over at the end. Removed
  /// limits are included for a while.
  LimitUpdate NextUpdate(std::size_t max_lines, Common::TimePoint now);

  /// Drops the entries of servers that are no longer known.
  void Retain(const std::function<bool(ServerKey)>& is_known);

private:
  struct Entry
  {
    std::optional<RequestRate> rate;
    Common::TimePoint learned_at;    ///< When this daemon learned `rate`.
    Common::TimePoint limited_since; ///< Valid if there is a rate.
    std::uint32_t version = 0;       ///< Last version of the holder that this daemon knows.
    bool confirmed = true;           ///< The holder knows `rate`.
  };

  LimitChange Set(ServerKey server, Entry& entry, std::optional<RequestRate> rate,
                  Common::TimePoint now);

  std::map<ServerKey, Entry> m_entries;
  std::uint64_t m_revision = 0;
  ServerKey m_sent_up_to = FIRST_KEY; ///< Last key of the previous update.
  std::int64_t m_tenure = 0;
  bool m_is_holder = false;
};
} // namespace RateLimits

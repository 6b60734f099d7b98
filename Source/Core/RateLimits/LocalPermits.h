// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "RateLimits/Messages.h"
#include "RateLimits/RequestRate.h"

namespace RateLimits
{
/// Decides whether this daemon may send a request to a rate-limited server now.
///
/// Normally each request uses a permit granted by the holder of the order lease. While the holder
/// is unreachable, the standbys that it last named share a fixed fraction of the limit. After a
/// while, or if no holder was ever reached, all daemons share that fraction equally. These local
/// token buckets start empty, so that all daemons together stay within the fraction, however many
/// there are.
class LocalPermits
{
public:
  /// Sets the number of daemons that may exist, for the equal shares.
  void SetDaemons(int daemons) { m_daemons = daemons; }
  void NoteHolderContact(Common::TimePoint now) { m_last_contact_at = now; }
  void Add(ServerKey server, std::uint32_t count, Common::TimePoint valid_until);
  /// Replaces the list of servers for which this daemon is a standby.
  void SetStandbys(std::span<const StandbyLine> lines);

  /// True if a request may be sent to the server, whose limit is `rate`.
  bool MaySend(ServerKey server, RequestRate rate, Common::TimePoint now);
  /// Consumes a permit, or a token of the local bucket, for one request; false if there is none.
  bool Take(ServerKey server, RequestRate rate, Common::TimePoint now);
  /// Returns the number of permits that expired unused since the last call.
  std::uint32_t TakeUnused(ServerKey server, Common::TimePoint now);
  /// Drops all servers except these.
  void Retain(std::span<const ServerKey> servers);

  struct Counters
  {
    std::int64_t granted = 0;
    std::int64_t used = 0;
    std::int64_t unused = 0;
    std::int64_t without_holder = 0; ///< Requests sent while the holder was unreachable.
  };
  const Counters& Totals() const { return m_totals; }

private:
  struct ServerPermits
  {
    std::vector<Common::TimePoint> valid_until; ///< Expiry of each permit.
    std::uint32_t unused = 0;
    std::optional<RequestRate> standby;
    double tokens = 0; ///< Token bucket used while the holder is unreachable.
    Common::TimePoint filled_at;
  };

  void DropExpired(ServerPermits& permits, Common::TimePoint now);
  void Fill(ServerPermits& permits, RequestRate rate, Common::TimePoint now) const;
  double LocalFillRate(const ServerPermits& permits, RequestRate rate, Common::TimePoint now) const;

  std::map<ServerKey, ServerPermits> m_servers;
  std::optional<Common::TimePoint> m_last_contact_at;
  int m_daemons = 1;
  Counters m_totals;
};
} // namespace RateLimits

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
/// The requests that this daemon may send to servers with a limit now.
///
/// They are permits of the holder of the order lease. While no holder is heard, the standbys that
/// it last named go on at a part of the limit, each at its own part of that; after a while, or
/// where no holder was ever heard, each daemon has an equal part. What flows in that way begins at
/// nothing, so that all daemons together stay within their part however many they are.
class LocalPermits
{
public:
  /// All that may exist; for equal parts.
  void SetDaemons(int daemons) { m_daemons = daemons; }
  void NoteHolderHeard(Common::TimePoint now) { m_heard_at = now; }
  void Add(ServerKey server, std::uint32_t count, Common::TimePoint valid_until);
  /// The servers for which this daemon is a standby; no others.
  void SetStandbys(std::span<const StandbyLine> lines);

  /// True where a request may be sent to the server, whose limit is `rate`.
  bool MaySend(ServerKey server, RequestRate rate, Common::TimePoint now);
  /// A request is sent; false where it may not be.
  bool Take(ServerKey server, RequestRate rate, Common::TimePoint now);
  /// Permits that nobody used in time, since the last call.
  std::uint32_t TakeUnused(ServerKey server, Common::TimePoint now);
  /// Forgets all servers but these.
  void Retain(std::span<const ServerKey> servers);

  struct Counters
  {
    std::int64_t granted = 0;
    std::int64_t used = 0;
    std::int64_t unused = 0;
    std::int64_t without_holder = 0; ///< Requests sent while no holder was heard.
  };
  const Counters& Totals() const { return m_totals; }

private:
  struct Local
  {
    std::vector<Common::TimePoint> valid_until; ///< Of each permit.
    std::uint32_t unused = 0;
    std::optional<RequestRate> standby;
    double own = 0; ///< Requests that flowed in while no holder was heard.
    Common::TimePoint filled_at;
  };

  void DropExpired(Local& local, Common::TimePoint now);
  void Fill(Local& local, RequestRate rate, Common::TimePoint now) const;
  double OwnFlow(const Local& local, RequestRate rate, Common::TimePoint now) const;

  std::map<ServerKey, Local> m_locals;
  std::optional<Common::TimePoint> m_heard_at;
  int m_daemons = 1;
  Counters m_totals;
};
} // namespace RateLimits

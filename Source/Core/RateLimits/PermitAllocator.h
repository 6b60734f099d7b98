// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "RateLimits/Messages.h"
#include "RateLimits/RequestRate.h"

namespace RateLimits
{
/// The daemon that asks for permits.
struct Requester
{
  Common::VmId vm;
  Common::DataCentreId data_centre;
};

/// Permits for one server granted to one daemon.
struct Grant
{
  Common::VmId vm;
  ServerKey server;
  std::uint32_t count = 0;
};

/// Grants permits for requests to rate-limited servers; runs on the holder of the order lease. Each
/// permit allows one request.
///
/// Designed for two load patterns: many daemons with far more requests than the server accepts, of
/// which the most urgent must be sent; and occasional requests at any daemon. Rejected
/// alternatives: a fixed share of the rate for each daemon, which needs no messages, but with more
/// daemons than requests per second most shares are useless, and the first requests of all daemons
/// may come in the same second; a few daemons that send for all, which costs a hop per request and
/// needs a rule to select them.
///
/// Each server has a token bucket with the rate of its limit. Permits expire after PERMIT_VALID, so
/// the requests that arrive in any window were granted in a window longer by at most that time.
class PermitAllocator
{
public:
  /// Starts a new tenure with empty buckets, since the grants of the previous holder are unknown.
  void Begin();
  struct KnownLimit
  {
    ServerKey server;
    RequestRate rate;
    Common::DataCentreId data_centre; ///< Of the server.
  };
  /// Sets the current limits; the state of all other servers is dropped.
  void SetLimits(std::span<const KnownLimit> limits, Common::TimePoint now);
  /// Replaces the permit demand of a daemon.
  void UpdateDemand(const Requester& requester, std::span<const PermitDemand> demands,
                    Common::TimePoint now);
  /// Grants all available permits, most urgent requests first.
  std::vector<Grant> GrantPermits(Common::TimePoint now);
  /// When the next permit that a daemon waits for can be granted.
  std::optional<Common::TimePoint> NextGrantAt(Common::TimePoint now) const;
  /// Requests waiting for a permit, over all daemons.
  std::uint32_t Waiting(ServerKey server, Common::TimePoint now) const;
  /// Time until the server's next permit is available, if no request waits.
  Common::Milliseconds TimeToNextPermit(ServerKey server, Common::TimePoint now) const;
  /// Waiting requests of other daemons that are served before the first request of this daemon.
  std::uint32_t RequestsAhead(const Common::VmId& vm, ServerKey server,
                              Common::TimePoint now) const;
  /// Rates at which the daemon may send to each server while it cannot reach the holder.
  std::vector<StandbyLine> StandbysOf(const Common::VmId& vm) const;

  struct Counters
  {
    std::int64_t granted = 0;
    std::int64_t unused = 0; ///< Returned as expired.
  };
  const Counters& Totals() const { return m_totals; }

private:
  struct ServerDemand
  {
    PermitDemand reported;
    Common::DataCentreId data_centre;
    Common::TimePoint reported_at;

    /// True if the daemon still waits for a permit, as far as is known.
    bool Waits(Common::TimePoint now) const;
    bool MayProbe(Common::TimePoint now) const;
    /// When the first of its requests times out.
    Common::TimePoint ExpiresAt() const
    {
      return reported_at + Common::Milliseconds(reported.expires_in_ms);
    }
  };
  struct Bucket
  {
    RequestRate rate;
    Common::DataCentreId data_centre; ///< Of the server.
    double level = 0;                 ///< Available permits.
    Common::TimePoint filled_at;
    std::optional<Common::TimePoint> granted_at; ///< Time of the last grant.
    /// When a daemon last reported that it waits or that it may probe. If that is long ago, or a
    /// search has found none since, `demands` need not be searched.
    std::optional<Common::TimePoint> wait_reported_at;
    std::optional<Common::TimePoint> probe_reported_at;
    std::map<Common::VmId, ServerDemand> demands;
    std::vector<Common::VmId> standbys;

    double FillRate() const { return SendRate(rate); }
    double Capacity() const;
    void Fill(Common::TimePoint now);
    bool MayHaveWaiting(Common::TimePoint now) const;
    bool MayHaveProbes(Common::TimePoint now) const;
    /// When a permit may be granted to a daemon that only probes.
    Common::TimePoint ProbeDueAt() const;
    /// The entry to serve next; `demands.end()` if there is none.
    std::map<Common::VmId, ServerDemand>::iterator MostUrgent(Common::TimePoint now);
    /// Prefers daemons in the server's data centre, which still reach it if that is cut off.
    void ChooseStandbys();
  };

  void UpdateServerDemand(const Requester& requester, const PermitDemand& reported,
                          Common::TimePoint now);
  /// Drops daemons that have not sent their demand for a long time.
  void RemoveInactive(Common::TimePoint now);

  std::map<ServerKey, Bucket> m_buckets;
  /// Servers in the last message of each daemon.
  std::map<Common::VmId, std::set<ServerKey>> m_servers_by_daemon;
  Common::TimePoint m_last_cleanup_at;
  Counters m_totals;
};
} // namespace RateLimits

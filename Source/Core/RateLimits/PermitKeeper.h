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
/// Who asks for permits.
struct Asker
{
  Common::VmId vm;
  Common::DataCentreId data_centre;
};

/// Permits for one server that go to one daemon.
struct Grant
{
  Common::VmId vm;
  ServerKey server;
  std::uint32_t count = 0;
};

/// Hands out permits for requests to servers with a limit, at the holder of the order lease: one
/// permit, one request.
///
/// Load patterns: far more requests than a server takes, of many daemons, of which the most urgent
/// should go there; a request now and then, at any daemon. Weighed: shares of the rate for each
/// daemon, which need no talk, but with more daemons than requests a second most shares are of use
/// to nobody, and each daemon's first request may come in the same second; a few daemons that send
/// for all, which costs a hop for each request and a rule for who they are.
///
/// Limits: a token bucket with the server's rate. Permits are void after PERMIT_VALID, so that what
/// arrives in any window is what was handed out in a window that is no more than so much longer.
class PermitKeeper
{
public:
  /// A new tenure: the buckets are empty, since what the keeper before has granted is not known.
  void Begin();
  struct KnownLimit
  {
    ServerKey server;
    RequestRate rate;
    Common::DataCentreId data_centre; ///< Of the server.
  };
  /// The limits in force; of other servers nothing is kept.
  void SetLimits(std::span<const KnownLimit> limits, Common::TimePoint now);
  /// What a daemon wants now, in place of what it told before.
  void TakeWants(const Asker& asker, std::span<const PermitWant> wants, Common::TimePoint now);
  /// Hands out what the buckets hold, to the most urgent first.
  std::vector<Grant> HandOut(Common::TimePoint now);
  /// When the next permit can be handed out that somebody waits for.
  std::optional<Common::TimePoint> NextAt(Common::TimePoint now) const;
  /// Requests that wait for a permit, over all daemons.
  std::uint32_t Waiting(ServerKey server, Common::TimePoint now) const;
  /// Until the server's next permit is free, where nobody waits.
  Common::Milliseconds FreeIn(ServerKey server, Common::TimePoint now) const;
  /// Of these, the other daemons' that get theirs before the daemon's first.
  std::uint32_t Ahead(const Common::VmId& vm, ServerKey server, Common::TimePoint now) const;
  /// What the daemon may send to each server while it hears no holder.
  std::vector<StandbyLine> StandbysOf(const Common::VmId& vm) const;

  struct Counters
  {
    std::int64_t granted = 0;
    std::int64_t unused = 0; ///< Given back.
  };
  const Counters& Totals() const { return m_totals; }

private:
  struct Want
  {
    PermitWant told;
    Common::DataCentreId data_centre;
    Common::TimePoint told_at;

    /// True where the daemon waits for a permit, as far as is known.
    bool Waits(Common::TimePoint now) const;
    bool MayProbe(Common::TimePoint now) const;
    /// When the first of its requests gives up.
    Common::TimePoint GivesUpAt() const { return told_at + Common::Milliseconds(told.gives_up_ms); }
  };
  struct Bucket
  {
    RequestRate rate;
    Common::DataCentreId data_centre; ///< Of the server.
    double level = 0;
    Common::TimePoint filled_at;
    std::optional<Common::TimePoint> granted_at; ///< The last permit.
    /// When a daemon last told that it waits, or that it may probe: where that is long ago, or
    /// nobody was found since, the wants need not be looked at.
    std::optional<Common::TimePoint> wait_told_at;
    std::optional<Common::TimePoint> probe_told_at;
    std::map<Common::VmId, Want> wants;
    std::vector<Common::VmId> standbys;

    double Flow() const { return FlowPerSecond(rate); }
    double Capacity() const;
    void Fill(Common::TimePoint now);
    bool MayHaveWaiting(Common::TimePoint now) const;
    bool MayHaveProbes(Common::TimePoint now) const;
    /// When a permit may go to a daemon that only probes.
    Common::TimePoint ProbeDueAt() const;
    /// The want to serve next; end where there is none.
    std::map<Common::VmId, Want>::iterator MostUrgent(Common::TimePoint now);
    /// Daemons of the server's data centre come first: where that is cut off, they reach it still.
    void ChooseStandbys();
  };

  void TakeWant(const Asker& asker, const PermitWant& told, Common::TimePoint now);
  /// Forgets daemons that have not asked for long.
  void ForgetSilent(Common::TimePoint now);

  std::map<ServerKey, Bucket> m_buckets;
  std::map<Common::VmId, std::set<ServerKey>> m_wanted_by; ///< What each daemon told last.
  Common::TimePoint m_looked_for_silent_at;
  Counters m_totals;
};
} // namespace RateLimits

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Reactor.h"
#include "Gateway/ServerDirectory.h"
#include "RateLimits/LimitRegistry.h"
#include "RateLimits/LocalPermits.h"
#include "RateLimits/PermitAllocator.h"

namespace Gateway
{
/// Tracks the backend servers that announce a limit of requests per second, and the requests that
/// this daemon may send to them. Sets the limit of the servers in the directory.
class LimitedServers
{
public:
  explicit LimitedServers(ServerDirectory& servers) : m_servers(servers) {}

  /// Called after this daemon has learned of a new, changed or ended limit.
  void OnChange(std::function<void()> callback) { m_on_change = std::move(callback); }

  /// Applies the limit in a server's response to a request that was sent at `sent_at`.
  void NoteResponse(const Server& server, const RateLimits::LimitReading& reading,
                    Common::TimePoint sent_at);
  /// Applies an announcement of the lease holder: limits and queues.
  void ApplyUpdate(std::int64_t tenure, const RateLimits::LimitUpdate& update);
  /// Applies only the queues of such an announcement.
  void ApplyQueues(const RateLimits::LimitUpdate& update, Common::TimePoint now);
  /// At the lease holder: applies limits that another daemon has read from responses.
  void ApplyObservations(std::int64_t tenure, const Common::VmId& from,
                         std::span<const RateLimits::LimitObservation> observations);
  /// Sets the rates that cold servers accept, by pool.
  void SetColdRates(std::map<PoolId, RateLimits::RequestRate> rates);
  /// Applies the limits to the directory's servers.
  void Refresh();
  /// Applies the limit of one server; called after its entry or its cold state has changed.
  void RefreshServer(const ServerPtr& server);

  RateLimits::LimitRegistry& Registry() { return m_registry; }
  RateLimits::LocalPermits& Permits() { return m_permits; }
  const RateLimits::LocalPermits& Permits() const { return m_permits; }
  /// Servers with a limit.
  const std::vector<ServerPtr>& All() const { return m_limited; }
  /// Increases when a limit or a server changes.
  std::uint64_t Revision() const { return m_revision; }
  /// The limits in force, for the PermitAllocator of the lease holder.
  std::vector<RateLimits::PermitAllocator::KnownLimit> KnownLimits() const;

  /// True if the server has no limit, or if its limit lets this daemon send a request now.
  bool MaySend(const Server& server, Common::TimePoint now);
  /// Uses up a permit for a request that is being sent.
  void NoteSend(const Server& server, Common::TimePoint now);

  /// How long an additional request would wait for its permit.
  Common::Milliseconds ExpectedWait(const Server& server) const;
  /// The same behind `own` requests of this daemon, instead of those that wait here now.
  Common::Milliseconds WaitBehind(const Server& server, int own) const;
  /// How long the caller of a request that is refused now should wait before it retries. Each call
  /// returns a later time than the one before, so that the retries are spread out.
  Common::Milliseconds RetryDelay(const Server& server, Common::TimePoint now);
  /// Applies the lease holder's reply: how many requests are queued ahead of this daemon's.
  void SetQueuePositions(const std::vector<RateLimits::PositionLine>& lines, Common::TimePoint now);
  /// Sets how many requests of this daemon wait for permits, by server.
  void SetLocalWaiting(std::map<RateLimits::ServerKey, std::uint32_t> waiting)
  {
    m_local_waiting = std::move(waiting);
  }

  std::int64_t UnreadableLimits() const { return m_unreadable_limits; }

private:
  /// Time until the next permit is free if no request waits.
  Common::Milliseconds TimeToNextPermit(const Server& server, Common::TimePoint now) const;
  void Report(const std::vector<RateLimits::LimitChange>& changes, std::string_view source);
  /// The limit in force: the lower one of what the server has announced and, while it is cold, of
  /// its pool's rate for cold servers.
  std::optional<ServerLimit> LimitOf(const Server& server, Common::TimePoint now) const;
  std::optional<RateLimits::RequestRate> ColdRateOf(const Server& server,
                                                    Common::TimePoint now) const;
  /// Drops servers from `m_limited` that have left the directory or have no limit any more.
  void RemoveUnlimited();
  /// Checks the cold servers again when the first of them is warm.
  void ScheduleColdCheck();

  ServerDirectory& m_servers;
  RateLimits::LimitRegistry m_registry;
  RateLimits::LocalPermits m_permits;
  std::vector<ServerPtr> m_limited;
  /// Waiting requests of all daemons, as last announced by the lease holder.
  std::map<RateLimits::ServerKey, std::uint32_t> m_waiting;
  std::map<RateLimits::ServerKey, std::uint32_t> m_local_waiting;
  struct QueuePosition
  {
    std::uint32_t count = 0;
    Common::TimePoint announced_at;
  };
  std::map<RateLimits::ServerKey, QueuePosition> m_queue_positions;
  /// When the next permit of a server is free, as last announced by the lease holder.
  struct NextPermit
  {
    Common::TimePoint at;
    Common::TimePoint announced_at;
  };
  std::map<RateLimits::ServerKey, NextPermit> m_next_permits;
  std::map<RateLimits::ServerKey, Common::TimePoint> m_next_retry;
  std::map<RateLimits::ServerKey, std::string> m_learned_from;
  std::map<PoolId, RateLimits::RequestRate> m_cold_rates;
  std::uint64_t m_servers_revision = 0; ///< Of the directory when `m_limited` was last pruned.
  Common::OwnedTimer m_cold_timer;
  std::function<void()> m_on_change;
  std::int64_t m_unreadable_limits = 0;
  std::uint64_t m_revision = 1;
};
} // namespace Gateway

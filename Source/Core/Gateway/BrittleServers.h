// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "Gateway/ServerDirectory.h"
#include "RateLimits/LimitRegistry.h"
#include "RateLimits/LocalPlaces.h"
#include "RateLimits/PlaceAllocator.h"

namespace Gateway
{
/// Tracks the backend servers that are brittle: they crash if they have to reject too many requests
/// within a second. All daemons together send such a server only as many requests as it runs at
/// once; this daemon sends those for which it has a place. Sets the rejection bound of the servers
/// in the directory.
class BrittleServers
{
public:
  explicit BrittleServers(ServerDirectory& servers) : m_servers(servers) {}

  /// Called after a server has become brittle, or is no longer.
  void OnChange(std::function<void(const ServerPtr&)> callback)
  {
    m_on_change = std::move(callback);
  }

  /// Applies the rejections per second that the server bears, as stated in the response to a
  /// request that was sent at `sent_at`; none if the server is not brittle.
  void NoteResponse(Server& server, std::optional<double> per_second, Common::TimePoint sent_at);
  /// Records that a server rejected a request for want of room.
  void NoteRejected(const Server& server, Common::TimePoint now);
  /// True if brittle servers of the pool have rejected requests lately, so that the rejections may
  /// have crashed the server.
  bool MayFallForRejections(const Server& server, Common::TimePoint now) const;
  /// Applies the announcement of the lease holder.
  void ApplyUpdate(std::int64_t tenure, const RateLimits::LimitUpdate& update);
  /// At the lease holder: applies what another daemon has read from responses.
  void ApplyObservations(std::int64_t tenure,
                         std::span<const RateLimits::LimitObservation> observations);
  /// Applies what is known to all servers of the directory; called when servers have changed.
  void Refresh();

  RateLimits::LimitRegistry& Registry() { return m_registry; }
  RateLimits::LocalPlaces& Places() { return m_places; }
  const RateLimits::LocalPlaces& Places() const { return m_places; }
  const std::vector<ServerPtr>& All() const { return m_brittle; }
  /// Increases when a server changes.
  std::uint64_t Revision() const { return m_revision; }
  /// Servers whose places the lease holder grants: all of the pools with brittle servers, as others
  /// may know that a server is brittle before this daemon does.
  std::vector<RateLimits::PlaceAllocator::KnownServer> KnownServers() const;

  /// How many requests this daemon may have at the brittle server, including those that it has.
  int MaxRequests(const Server& server, Common::TimePoint now) const;
  /// Places that this daemon holds, and returns those that it does not use.
  std::vector<RateLimits::HeldPlaces> TakeHeld(Common::TimePoint now);
  /// True if this daemon has a place that no request uses.
  bool HasUnusedPlaces(Common::TimePoint now) const;

  /// Records how long a server of the pool had a request.
  void NoteServiceTime(const PoolId& pool, Common::Milliseconds took);
  /// Applies what the lease holder knows of the queues.
  void SetQueues(std::span<const RateLimits::PlaceQueue> queues, Common::TimePoint now);
  /// How long a request would wait for a place at one of `servers`, which are brittle servers of
  /// one pool, behind `own` requests of this daemon.
  Common::Milliseconds ExpectedWait(RateLimits::PlaceGroup group,
                                    std::span<const ServerPtr> servers, int own,
                                    Common::TimePoint now) const;
  /// How long the caller of a request that is refused now should wait before it retries. Each call
  /// returns a later time than the one before, so that the retries are spread out.
  Common::Milliseconds RetryDelay(RateLimits::PlaceGroup group, std::span<const ServerPtr> servers,
                                  int own, Common::TimePoint now);

private:
  std::optional<double> BoundOf(const Server& server) const;
  /// Updates the bounds of the pools by what their servers have stated.
  void UpdatePoolBounds(Common::TimePoint now);
  /// Time between two requests that begin at these servers; none if there is no estimate.
  std::optional<std::chrono::duration<double>> IntervalAt(std::span<const ServerPtr> servers) const;

  ServerDirectory& m_servers;
  RateLimits::LimitRegistry m_registry; ///< Rejections per second, as rates.
  RateLimits::LocalPlaces m_places;
  std::vector<ServerPtr> m_brittle;
  /// A pool with brittle servers. Its other servers count as brittle until they state otherwise.
  struct PoolBound
  {
    double per_second = 0; ///< The lowest one of its servers.
    Common::TimePoint since;
    Common::TimePoint stated_at; ///< When a server was last known to be brittle.
  };
  std::map<PoolId, PoolBound> m_pool_bounds;
  std::map<PoolId, Common::TimePoint> m_rejected_at;
  std::map<PoolId, std::chrono::duration<double>> m_service_times; ///< Moving averages.
  struct Queue
  {
    RateLimits::PlaceQueue reported;
    Common::TimePoint at;
  };
  std::map<RateLimits::PlaceGroup, Queue> m_queues;
  std::map<RateLimits::PlaceGroup, Common::TimePoint> m_next_retry;
  std::function<void(const ServerPtr&)> m_on_change;
  std::uint64_t m_revision = 1;
};
} // namespace Gateway

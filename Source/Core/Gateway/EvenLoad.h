// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "Common/Metrics.h"
#include "Decisions/PlaceShares.h"
#include "Decisions/ServerSpeeds.h"
#include "Gateway/ServerDirectory.h"
#include "Gateway/Types.h"

namespace Gateway
{
/// Spreads the requests of pools without models by place shares, where many daemons use the same
/// servers: each then has too few requests at a server for them to show the server's load, and the
/// totals of all daemons are too old to choose by.
class EvenLoad
{
public:
  /// The most requests that this daemon may have at the server.
  using LimitOf = std::function<std::int64_t(const Server&)>;

  explicit EvenLoad(const ServerDirectory& servers) : m_servers(servers) {}

  /// Sets what the rank is derived from while there is no list of daemons.
  void SetSelf(Common::VmId self, Common::DataCentreId data_centre);
  /// Sets the number of daemons that applies until there is a list of daemons.
  void SetDaemonCount(std::size_t daemons);
  /// Sets the position of this daemon in the list of `daemons` running ones; no rank: the list is
  /// missing or does not contain this daemon. The number of the last list then remains in force.
  void SetRank(std::optional<std::size_t> rank, std::size_t daemons);

  /// Decides whether the pool uses place shares: its servers run no models, and there are at least
  /// twice as many daemons as slots at a server.
  void Refresh(const Pool& pool);
  /// Drops the pools that the configuration no longer lists.
  void RetainPools(const std::map<PoolId, Pool>& pools);
  /// As last decided by Refresh().
  bool IsActive(const PoolId& pool) const;

  /// The server that gets a request; null if `eligible`, which are servers of the pool, are at
  /// their limit.
  ServerPtr Choose(const PoolId& pool, const std::vector<ServerPtr>& eligible,
                   const LimitOf& limit_of, Common::TimePoint now);
  /// Counts a request to a pool that does not use place shares, or that these do not apply to.
  void NoteOtherRouting() { ++m_other_routing; }
  /// Records how long the server took for a request that it completed successfully.
  void NoteServed(const Server& server, Common::Milliseconds took, Common::TimePoint now);
  /// Records that the totals of all daemons arrived.
  void NoteTotals(Common::TimePoint now) { m_totals_at = now; }
  void FillMetrics(Common::Metrics& metrics, Common::TimePoint now);

private:
  struct PoolState
  {
    bool active = false;
    Decisions::PlaceShares shares;
    Decisions::ServerSpeeds speeds;
  };
  struct Position
  {
    std::size_t rank = 0;
    std::size_t daemons = 1;
  };

  Position CurrentPosition() const;
  void ApplyPosition();
  /// The servers whose slots are shared, and for each the candidate for a choice.
  struct Candidates
  {
    std::vector<ServerPtr> servers;
    std::vector<Decisions::ShareCandidate> list;
  };
  Candidates CandidatesOf(const PoolId& pool, const PoolState& state,
                          const std::vector<ServerPtr>& eligible, const LimitOf& limit_of,
                          Common::TimePoint now) const;
  /// The most requests of this daemon at a server beyond its own slots there.
  std::int64_t LargestExcess() const;

  const ServerDirectory& m_servers;
  Common::VmId m_self;
  Common::DataCentreId m_data_centre;
  std::optional<std::size_t> m_rank;
  std::size_t m_daemons = 1;
  bool m_had_list = false;
  std::map<PoolId, PoolState> m_pools;
  std::optional<Common::TimePoint> m_totals_at;
  std::int64_t m_own_slot = 0;
  std::int64_t m_overflow = 0;
  std::int64_t m_other_routing = 0;
};
} // namespace Gateway

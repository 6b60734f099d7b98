// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/EvenLoad.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

#include "Common/Log.h"

namespace Gateway
{
namespace
{
/// With fewer daemons, the requests of one of them are a good sample of a server's load.
constexpr std::size_t MIN_DAEMONS_PER_SLOT = 2;

Common::VmId IdOf(const Server& server)
{
  return Common::VmId(server.Entry().instance.Get());
}
} // namespace

void EvenLoad::SetSelf(Common::VmId self, Common::DataCentreId data_centre)
{
  m_self = std::move(self);
  m_data_centre = std::move(data_centre);
  ApplyPosition();
}

void EvenLoad::SetDaemonCount(std::size_t daemons)
{
  if (m_had_list)
    return;
  m_daemons = std::max<std::size_t>(daemons, 1);
  ApplyPosition();
}

void EvenLoad::SetRank(std::optional<std::size_t> rank, std::size_t daemons)
{
  m_rank = rank;
  if (rank)
  {
    m_had_list = true;
    m_daemons = std::max<std::size_t>(daemons, 1);
  }
  ApplyPosition();
}

EvenLoad::Position EvenLoad::CurrentPosition() const
{
  if (m_rank)
    return {*m_rank, m_daemons};
  return {XXH3_64bits(m_self.Get().data(), m_self.Get().size()) % m_daemons, m_daemons};
}

void EvenLoad::ApplyPosition()
{
  const Position position = CurrentPosition();
  for (auto& [pool, state] : m_pools)
    state.shares.SetDaemons(position.rank, position.daemons);
}

void EvenLoad::Refresh(const Pool& pool)
{
  // Called for each choice, so pools with models, which have most servers, cost nothing here.
  if (pool.model_server && !m_pools.contains(pool.id))
    return;
  int slots = 0;
  for (const auto& [instance, server] : m_servers.All())
    if (server->Entry().pool == pool.id)
      slots = std::max(slots, server->Entry().slots);
  const bool enough_daemons =
      slots > 0 && m_daemons >= MIN_DAEMONS_PER_SLOT * static_cast<std::size_t>(slots);
  const bool active = !pool.model_server && enough_daemons;
  const auto found = m_pools.find(pool.id);
  if (active == (found != m_pools.end() && found->second.active))
    return;
  PoolState& state = m_pools[pool.id];
  state.active = active;
  const Position position = CurrentPosition();
  state.shares.SetDaemons(position.rank, position.daemons);
  const char* reason = "there are at least twice as many daemons as slots at a server";
  if (pool.model_server)
    reason = "the servers run models";
  else if (slots == 0)
    reason = "the pool has no servers";
  else if (!active)
    reason = "there are fewer than twice as many daemons as slots at a server";
  Common::LogEvent(Common::LogLevel::Info, "even-load",
                   {{"pool", pool.id},
                    {"active", active},
                    {"reason", reason},
                    {"daemons", m_daemons},
                    {"rank", position.rank},
                    {"listed", m_rank.has_value()},
                    {"slots", slots}});
}

void EvenLoad::RetainPools(const std::map<PoolId, Pool>& pools)
{
  std::erase_if(m_pools, [&](const auto& entry) {
    return !pools.contains(entry.first);
  });
}

bool EvenLoad::IsActive(const PoolId& pool) const
{
  const auto found = m_pools.find(pool);
  return found != m_pools.end() && found->second.active;
}

EvenLoad::Candidates EvenLoad::CandidatesOf(const PoolId& pool, const PoolState& state,
                                            const std::vector<ServerPtr>& eligible,
                                            const LimitOf& limit_of, Common::TimePoint now) const
{
  Candidates candidates;
  // If all servers are remote, their distance does not distinguish them. As a constant part of the
  // expected time, it would only increase the weight of the speeds over that of the open requests.
  const bool any_local = std::ranges::any_of(eligible, [this](const ServerPtr& server) {
    return server->Entry().data_centre == m_data_centre;
  });
  for (const auto& [instance, server] : m_servers.All())
  {
    if (server->Entry().pool != pool)
      continue;
    const bool is_eligible = std::ranges::find(eligible, server) != eligible.end();
    // All daemons know which servers drain, are evacuated or have left. What only this one knows of
    // a server does not move the shares, so that they do not overlap with those of other daemons.
    const bool has_left = server->IsDraining() || server->IsEvacuated() || server->IsReplaced() ||
                          server->IsEntryMissing();
    if (has_left && !is_eligible)
      continue;
    candidates.servers.push_back(server);
    candidates.list.push_back({IdOf(*server), server->Entry().slots,
                               state.speeds.SpeedOf(IdOf(*server), now), server->InFlight(),
                               is_eligible ? limit_of(*server) : 0,
                               !any_local || server->Entry().data_centre == m_data_centre});
  }
  return candidates;
}

ServerPtr EvenLoad::Choose(const PoolId& pool, const std::vector<ServerPtr>& eligible,
                           const LimitOf& limit_of, Common::TimePoint now)
{
  if (eligible.empty())
    return nullptr;
  PoolState& state = m_pools[pool];
  const Candidates candidates = CandidatesOf(pool, state, eligible, limit_of, now);
  const auto chosen = state.shares.Choose(candidates.list, now);
  if (!chosen)
    return nullptr;
  ++(state.shares.UsedOwnSlot() ? m_own_slot : m_overflow);
  return candidates.servers[*chosen];
}

void EvenLoad::NoteServed(const Server& server, Common::Milliseconds took, Common::TimePoint now)
{
  const auto found = m_pools.find(server.Entry().pool);
  if (found != m_pools.end() && found->second.active)
    found->second.speeds.NoteResponse(IdOf(server), took, now);
}

std::int64_t EvenLoad::LargestExcess() const
{
  std::int64_t largest = 0;
  for (const auto& [instance, server] : m_servers.All())
    if (const auto found = m_pools.find(server->Entry().pool);
        found != m_pools.end() && found->second.active)
      largest = std::max<std::int64_t>(largest, server->InFlight() -
                                                    found->second.shares.OwnSlotsAt(IdOf(*server)));
  return largest;
}

void EvenLoad::FillMetrics(Common::Metrics& metrics, Common::TimePoint now)
{
  const auto active = std::ranges::count_if(m_pools, [](const auto& entry) {
    return entry.second.active;
  });
  metrics.SetGauge("place_share_pools", static_cast<double>(active));
  metrics.SetGauge("place_share_own_slot", static_cast<double>(m_own_slot));
  metrics.SetGauge("place_share_overflow", static_cast<double>(m_overflow));
  metrics.SetGauge("place_share_other_routing", static_cast<double>(m_other_routing));
  metrics.SetGauge("place_share_largest_excess", static_cast<double>(LargestExcess()));
  if (m_totals_at)
    metrics.SetGauge("server_totals_age_ms",
                     std::chrono::duration<double, std::milli>(now - *m_totals_at).count());
}
} // namespace Gateway

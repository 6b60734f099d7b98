// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/LateReplicas.h"

#include <algorithm>
#include <ranges>
#include <string>
#include <vector>

#include "Common/Log.h"

namespace Gateway
{
namespace
{
using Common::Milliseconds;
using Common::TimePoint;

/// A late replica with a smaller batch soon has no free slot, so that further requests wait at VMs
/// and count as demand.
constexpr int MIN_BATCH = 32;
/// A request cannot wait for a load that takes more than this many times its timeout, even if the
/// load began before it arrived.
constexpr int MIN_LOAD_TIMEOUTS = 2;
/// How often replicas are examined. Rejections must follow within 50 ms of the moment at which they
/// are known to be necessary; they do not wait for this.
constexpr Milliseconds TICK{100};
/// The least Retry-After, so that callers do not retry at once.
constexpr Milliseconds MIN_RETRY_AFTER{100};

/// The shortest of a time limit of the pool's routes.
std::optional<Milliseconds> ShortestOf(Milliseconds Route::*limit,
                                       const Configuration& configuration, const PoolId& pool)
{
  std::optional<Milliseconds> shortest;
  for (const Route& route : configuration.routes)
    if (std::ranges::find(route.pools, pool, &WeightedPool::pool) != route.pools.end())
      shortest = std::min(shortest.value_or(route.*limit), route.*limit);
  return shortest;
}

/// Of the median model: a pool may have a few small models.
Milliseconds UsualStoreLoad(const ModelServerSpec& spec)
{
  std::vector<Milliseconds> loads;
  for (const auto& [id, model] : spec.models)
    loads.push_back(model.load_from_store);
  if (loads.empty())
    return Milliseconds(0);
  const auto middle = loads.begin() + static_cast<std::ptrdiff_t>(loads.size() / 2);
  std::ranges::nth_element(loads, middle);
  return *middle;
}
} // namespace

bool LateReplicas::IsNeededFor(const Configuration& configuration, const PoolId& pool)
{
  const auto found = configuration.pools.find(pool);
  if (found == configuration.pools.end() || !found->second.model_server ||
      found->second.model_server->batch < MIN_BATCH)
    return false;
  const auto timeout = ShortestOf(&Route::timeout, configuration, pool);
  return timeout && UsualStoreLoad(*found->second.model_server) > *timeout * MIN_LOAD_TIMEOUTS;
}

std::optional<Milliseconds> LateReplicas::LateAfter(const Configuration& configuration,
                                                    const PoolId& pool)
{
  if (!IsNeededFor(configuration, pool))
    return std::nullopt;
  return ShortestOf(&Route::latency_target, configuration, pool);
}

void LateReplicas::Configure(const Configuration& configuration)
{
  std::set<PoolId> pools;
  for (const auto& [id, pool] : configuration.pools)
    if (IsNeededFor(configuration, id))
      pools.insert(id);
  if (pools == m_pools)
    return;
  for (const auto& [id, pool] : configuration.pools)
    if (pools.contains(id) != m_pools.contains(id))
      Common::LogEvent(Common::LogLevel::Info, "late-replicas",
                       {{"pool", id}, {"observed", pools.contains(id)}});
  std::erase_if(m_attempts, [&](const auto& entry) {
    const auto replica = m_replicas.find(entry.second.replica);
    return replica == m_replicas.end() || !pools.contains(replica->second.pool);
  });
  std::erase_if(m_replicas, [&](const auto& entry) {
    if (pools.contains(entry.second.pool))
      return false;
    m_progress.Forget(entry.first.first);
    return true;
  });
  m_pools = std::move(pools);
}

LateReplicas::ReplicaId LateReplicas::IdOf(const Server& server, const ModelId& model)
{
  const InstanceId& instance = server.Entry().instance;
  return {Common::VmId(instance.Get() + "@" + std::to_string(instance.Started().Get())),
          model.Get()};
}

ReplicaAttempt LateReplicas::NoteSent(const Server& server, const ModelId& model,
                                      Milliseconds latency_target, TimePoint now)
{
  if (model.Empty() || !Observes(server.Entry().pool))
    return ReplicaAttempt::None;
  m_progress.NoteTick(now);
  const ReplicaId id = IdOf(server, model);
  const auto attempt = static_cast<ReplicaAttempt>(++m_last_attempt);
  m_progress.NoteSent(id, m_last_attempt, now);
  m_attempts[attempt] = {id, latency_target, now};
  Replica& replica = m_replicas[id];
  replica.instance = server.Entry().instance;
  replica.model = model;
  replica.pool = server.Entry().pool;
  replica.latency_target = latency_target;
  if (!m_timer.Running())
    m_timer.Start(TICK, [this] {
      Tick();
    });
  return attempt;
}

void LateReplicas::NoteFirstEvent(ReplicaAttempt attempt, TimePoint now)
{
  const auto found = m_attempts.find(attempt);
  if (found == m_attempts.end())
    return;
  m_progress.NoteTick(now);
  const ReplicaId id = found->second.replica;
  m_attempts.erase(found);
  m_progress.NoteFirstEvent(id, static_cast<std::uint64_t>(attempt), now);
  if (const auto replica = m_replicas.find(id); replica != m_replicas.end())
    UpdateReplica(id, replica->second, now);
}

void LateReplicas::NoteEnded(ReplicaAttempt attempt, TimePoint now)
{
  const auto found = m_attempts.find(attempt);
  if (found == m_attempts.end())
    return;
  m_progress.NoteTick(now);
  const Attempt ended = found->second;
  m_attempts.erase(found);
  if (now - ended.sent_at > ended.latency_target)
    m_progress.NoteGivenUp(ended.replica, static_cast<std::uint64_t>(attempt), now);
  else
    m_progress.NoteEnded(ended.replica, static_cast<std::uint64_t>(attempt));
}

bool LateReplicas::IsAnyLate(const ModelId& model, Milliseconds latency_target, TimePoint now) const
{
  return std::ranges::any_of(m_replicas, [&](const auto& entry) {
    return entry.second.model == model && m_progress.IsLate(entry.first, latency_target, now);
  });
}

Decisions::ReplicaView LateReplicas::ViewOf(const Server& server, const ModelId& model,
                                            Milliseconds latency_target, TimePoint now) const
{
  const ReplicaId id = IdOf(server, model);
  return {m_progress.IsLate(id, latency_target, now), m_progress.CountOpen(id),
          m_progress.ExpectedFirstEvent(id, now)};
}

bool LateReplicas::IsDelayed(ReplicaAttempt attempt, TimePoint now) const
{
  const auto found = m_attempts.find(attempt);
  return found != m_attempts.end() && now - found->second.sent_at > found->second.latency_target &&
         m_progress.IsLate(found->second.replica, found->second.latency_target, now);
}

Milliseconds LateReplicas::NextReplicaIn(const PoolId& pool, const ModelId& model,
                                         Milliseconds load_time, TimePoint now)
{
  TimePoint& expected = m_next_replica[{pool, model}];
  if (expected <= now)
    expected = now + load_time;
  expected = std::min(expected, now + load_time);
  return std::max(std::chrono::ceil<Milliseconds>(expected - now), MIN_RETRY_AFTER);
}

std::size_t LateReplicas::CountLate() const
{
  return static_cast<std::size_t>(std::ranges::count_if(m_replicas, [](const auto& entry) {
    return entry.second.late_since.has_value();
  }));
}

std::size_t LateReplicas::CountDelayed(TimePoint now) const
{
  return static_cast<std::size_t>(std::ranges::count_if(m_attempts, [&](const auto& entry) {
    return IsDelayed(entry.first, now);
  }));
}

void LateReplicas::UpdateReplica(const ReplicaId& id, Replica& replica, TimePoint now)
{
  const bool is_late = m_progress.IsLate(id, replica.latency_target, now);
  if (is_late == replica.late_since.has_value())
    return;
  if (!is_late)
  {
    Common::LogEvent(
        Common::LogLevel::Info, "replica-recovered",
        {{"instance", replica.instance},
         {"model", replica.model},
         {"late_ms", std::chrono::floor<Milliseconds>(now - *replica.late_since).count()},
         {"open", m_progress.CountOpen(id)}});
    replica.late_since.reset();
    return;
  }
  replica.late_since = now;
  Common::LogEvent(
      Common::LogLevel::Warning, "replica-late",
      {{"instance", replica.instance},
       {"model", replica.model},
       {"pool", replica.pool},
       {"target_ms", replica.latency_target.count()},
       {"open", m_progress.CountOpen(id)},
       {"expected_ms", m_progress.ExpectedFirstEvent(id, now).value_or(Milliseconds(-1)).count()}});
  if (m_on_late)
    m_on_late();
}

void LateReplicas::Tick()
{
  const auto now = Common::Now();
  m_progress.NoteTick(now);
  for (auto& [id, replica] : m_replicas)
    UpdateReplica(id, replica, now);
  std::erase_if(m_replicas, [&](const auto& entry) {
    const auto& [id, replica] = entry;
    if (m_progress.CountOpen(id) > 0)
      return false;
    if (m_servers.Find(replica.instance) == nullptr)
    {
      m_progress.Forget(id.first);
      return true;
    }
    return !m_progress.ExpectedFirstEvent(id, now);
  });
  std::erase_if(m_next_replica, [now](const auto& entry) {
    return entry.second <= now;
  });
  if (!m_replicas.empty())
    m_timer.Start(TICK, [this] {
      Tick();
    });
}
} // namespace Gateway

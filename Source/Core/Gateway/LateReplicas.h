// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "Common/Loop.h"
#include "Decisions/LateReplicaRules.h"
#include "Decisions/ReplicaProgress.h"
#include "Gateway/ServerDirectory.h"
#include "Gateway/Types.h"

namespace Gateway
{
/// A request at a server, from when it is sent until its first event or its end; None if its pool
/// is not observed.
enum class ReplicaAttempt : std::uint64_t
{
  None = 0,
};

/// Observes which replicas serve no request in time, in the pools where a late replica must be
/// replaced before its requests reach their deadline. Writes log lines when a replica becomes late
/// and when it recovers.
class LateReplicas
{
public:
  struct Counters
  {
    std::int64_t rejected = 0; ///< Requests rejected because all replicas were late.
  };

  /// True if the pool's servers have such large batches that a late replica accepts all requests,
  /// and its models load so slowly that no request can wait for a load.
  static bool IsNeededFor(const Configuration& configuration, const PoolId& pool);

  /// The shortest latency target of the pool's routes if late replicas are observed there.
  static std::optional<Common::Milliseconds> LateAfter(const Configuration& configuration,
                                                       const PoolId& pool);

  explicit LateReplicas(const ServerDirectory& servers) : m_servers(servers) {}

  /// Called when a replica has become late.
  void OnLate(std::function<void()> callback) { m_on_late = std::move(callback); }
  /// Decides which pools are observed. What is known of the others is discarded.
  void Configure(const Configuration& configuration);
  bool Observes(const PoolId& pool) const { return m_pools.contains(pool); }

  /// Records that a request is being sent.
  ReplicaAttempt NoteSent(const Server& server, const ModelId& model,
                          Common::Milliseconds latency_target, Common::TimePoint now);
  /// Records the first event of a stream, or a complete response.
  void NoteFirstEvent(ReplicaAttempt attempt, Common::TimePoint now);
  void NoteEnded(ReplicaAttempt attempt, Common::TimePoint now);

  /// True if any replica of the model is late for this latency target.
  bool IsAnyLate(const ModelId& model, Common::Milliseconds latency_target,
                 Common::TimePoint now) const;
  Decisions::ReplicaView ViewOf(const Server& server, const ModelId& model,
                                Common::Milliseconds latency_target, Common::TimePoint now) const;
  /// True if the request has been at a late replica for longer than its latency target.
  bool IsDelayed(ReplicaAttempt attempt, Common::TimePoint now) const;
  /// Records that a request was rejected, and returns after what time its caller should retry: when
  /// a load that takes `load_time`, and begins with the first of these rejections, has ended.
  Common::Milliseconds NextReplicaIn(const PoolId& pool, const ModelId& model,
                                     Common::Milliseconds load_time, Common::TimePoint now);
  void CountRejection() { ++m_counters.rejected; }

  const Counters& GetCounters() const { return m_counters; }
  /// Late replicas and requests that are delayed at them.
  std::size_t CountLate() const;
  std::size_t CountDelayed(Common::TimePoint now) const;

private:
  using ReplicaId = Decisions::ReplicaProgress::ReplicaId;
  struct Attempt
  {
    ReplicaId replica;
    Common::Milliseconds latency_target{0};
    Common::TimePoint sent_at;
  };
  struct Replica
  {
    InstanceId instance;
    ModelId model;
    PoolId pool;
    Common::Milliseconds latency_target{0}; ///< Of the latest request.
    std::optional<Common::TimePoint> late_since;
  };

  static ReplicaId IdOf(const Server& server, const ModelId& model);
  /// Logs changes, drops replicas of which nothing is known any more, and runs while there are any.
  void Tick();
  void UpdateReplica(const ReplicaId& id, Replica& replica, Common::TimePoint now);

  const ServerDirectory& m_servers;
  std::set<PoolId> m_pools;
  Decisions::ReplicaProgress m_progress;
  std::map<ReplicaAttempt, Attempt> m_attempts;
  std::map<ReplicaId, Replica> m_replicas;
  /// When the next replica of a model is expected, as stated to rejected callers.
  std::map<std::pair<PoolId, ModelId>, Common::TimePoint> m_next_replica;
  std::uint64_t m_last_attempt = 0;
  Counters m_counters;
  std::function<void()> m_on_late;
  Common::OwnedTimer m_timer;
};
} // namespace Gateway

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Serving/LoadCoordinator.h"

#include <algorithm>

#include "Common/Log.h"

namespace Serving
{
namespace
{
using Common::ArtifactId;
using Common::FailureKind;
using Common::MegaBytes;
using Common::Milliseconds;
using Common::Now;
using Common::Task;
using Common::TimePoint;
using Common::VmId;
using Daemons::LoadReply;
using Daemons::LoadRequest;
using Daemons::PlaceReply;
using Daemons::ReplicaState;
using Daemons::ReplicaStatus;
using Daemons::ServerStatus;
using Decisions::CacheLevel;

constexpr Milliseconds STATUS_POLL{5};
constexpr Milliseconds RETRY_PAUSE{50};
constexpr std::int64_t RETRY_AFTER_PLATFORM_MS = 5000;
constexpr std::int64_t RETRY_AFTER_MEMORY_MS = 1000;
constexpr int MAX_PLACEMENTS = 8;

LoadReply Refuse(FailureKind kind, std::string detail, std::int64_t retry_after_ms)
{
  LoadReply reply;
  reply.failure = kind;
  reply.detail = std::move(detail);
  reply.retry_after_ms = retry_after_ms;
  return reply;
}

LoadReply ServedBy(const VmId& server)
{
  LoadReply reply;
  reply.server = server;
  return reply;
}

bool Holds(const std::vector<ArtifactId>& ids, const ArtifactId& id)
{
  return std::ranges::find(ids, id) != ids.end();
}

bool HasClaim(const ServerStatus& status, const ArtifactId& id)
{
  return std::ranges::any_of(status.replicas, [&id](const ReplicaStatus& replica) {
    return replica.artifact == id && replica.state != ReplicaState::Unloading;
  });
}

CacheLevel LevelOf(const ServerStatus& status, const ArtifactId& id)
{
  if (Holds(status.in_memory, id))
    return CacheLevel::Memory;
  return Holds(status.on_disk, id) ? CacheLevel::Disk : CacheLevel::Remote;
}
} // namespace

Task<LoadReply> LoadCoordinator::EnsureLoaded(LoadRequest request)
{
  const TimePoint deadline = Now() + Milliseconds(request.patience_ms);
  const auto catalog = m_environment.table.Share();
  const Table::Artifact* artifact = catalog->FindArtifact(request.artifact);
  if (!artifact)
    co_return Refuse(FailureKind::NotFound, "the table has no " + request.artifact.Get(), 0);
  if (const auto deciding = m_pending_decisions.find(request.artifact);
      deciding != m_pending_decisions.end())
  {
    const auto shared = deciding->second;
    const auto reply = co_await shared->WaitUntil(deadline);
    if (reply)
      co_return *reply;
    co_return Refuse(FailureKind::DeadlineUnmeetable,
                     "the load did not complete before the deadline", RETRY_AFTER_MEMORY_MS);
  }
  const auto shared = std::make_shared<Shared>();
  m_pending_decisions[request.artifact] = shared;
  const Table::Artifact copy = *artifact;
  LoadReply reply = co_await Decide(copy, request);
  m_pending_decisions.erase(request.artifact);
  shared->Set(reply);
  co_return reply;
}

Task<LoadReply> LoadCoordinator::Decide(Table::Artifact artifact, LoadRequest request)
{
  const TimePoint deadline = Now() + Milliseconds(request.patience_ms);
  const auto loaded = m_environment.server_statuses.With(artifact.id, ReplicaState::Loaded);
  const auto serving = std::ranges::find_if(loaded, [&](const VmId& vm) {
    return IsServing(m_environment, vm, artifact.id);
  });
  if (serving != loaded.end() && !request.additional_replica)
    co_return ServedBy(*serving);
  const auto ordered = m_environment.server_statuses.With(artifact.id, ReplicaState::Ordered);
  const bool full = static_cast<std::int64_t>(loaded.size() + ordered.size()) >= artifact.replicas;
  if (!ordered.empty() && (full || serving == loaded.end()))
    co_return co_await WaitForReplica(artifact.id, ordered, deadline);
  if (full && serving != loaded.end())
    co_return ServedBy(*serving);
  co_return co_await LoadSomewhere(artifact, request);
}

MegaBytes LoadCoordinator::MemoryNeeded(const Table::Artifact& artifact,
                                        const ServerStatus& status) const
{
  MegaBytes needed = artifact.memory;
  const Table::Artifact* base = m_environment.table.Current().FindArtifact(artifact.base);
  if (base && !HasClaim(status, artifact.base))
    needed += base->memory;
  return needed;
}

bool LoadCoordinator::CanHold(const Table::Artifact& artifact, const ServerStatus& status) const
{
  const Table::Artifact* base = m_environment.table.Current().FindArtifact(artifact.base);
  if (!base || HasClaim(status, artifact.base))
    return true;
  const auto claimed =
      std::ranges::count_if(m_environment.server_statuses.Entries(), [&](const auto& item) {
        return HasClaim(item.second.status, artifact.base);
      });
  return claimed < base->replicas;
}

std::vector<Decisions::PlacementCandidate>
LoadCoordinator::Candidates(const Table::Artifact& artifact) const
{
  const Table::Catalog& catalog = m_environment.table.Current();
  std::vector<Decisions::PlacementCandidate> candidates;
  for (const auto& [vm, server] : catalog.BackendServers())
  {
    const ServerStatusRegistry::Entry* entry = m_environment.server_statuses.Find(vm);
    if (server.pool != artifact.pool || !entry || !TakesWork(m_environment, vm))
      continue;
    const ServerStatus& status = entry->status;
    if (!ManagerOf(m_environment, server) || !CanHold(artifact, status))
      continue;
    Decisions::PlacementCandidate candidate;
    candidate.server = vm;
    candidate.local = server.data_centre == m_environment.DataCentre();
    // The placement policy compares the free memory with the artifact's own size, so the memory for
    // a missing base is subtracted here.
    candidate.free =
        status.capacity - status.claimed - (MemoryNeeded(artifact, status) - artifact.memory);
    candidate.cache = LevelOf(status, artifact.id);
    if (!artifact.base.Empty() && !HasClaim(status, artifact.base))
      candidate.base_cache = LevelOf(status, artifact.base);
    candidate.replicas = static_cast<std::int64_t>(status.replicas.size());
    candidate.running = status.running;
    for (const ReplicaStatus& replica : status.replicas)
    {
      const Milliseconds idle_time = ServerStatusRegistry::IdleTime(*entry, replica, Now());
      const bool needed_as_base =
          replica.artifact == artifact.base ||
          std::ranges::any_of(status.replicas, [&](const ReplicaStatus& other) {
            const Table::Artifact* above = catalog.FindArtifact(other.artifact);
            return above && above->base == replica.artifact;
          });
      const bool idle = replica.running == 0 && idle_time >= m_environment.timing.min_idle;
      if (replica.state != ReplicaState::Loaded || needed_as_base || !idle)
        continue;
      const Table::Artifact* of = catalog.FindArtifact(replica.artifact);
      const double weight = of ? static_cast<double>(std::max<std::int64_t>(1, of->weight)) : 1;
      Decisions::Evictable evictable;
      evictable.claim = replica.claim;
      evictable.artifact = replica.artifact;
      evictable.memory = replica.memory;
      evictable.idle = idle_time;
      evictable.loss = weight * static_cast<double>(1 + replica.served) * 1000.0 /
                       (1000.0 + static_cast<double>(idle_time.count()));
      candidate.evictable.push_back(evictable);
    }
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

bool LoadCoordinator::CanFreeMemory(const Table::Artifact& artifact) const
{
  const Table::Catalog& catalog = m_environment.table.Current();
  return std::ranges::any_of(m_environment.server_statuses.Entries(), [&](const auto& item) {
    const ServerStatus& status = item.second.status;
    const Table::BackendServer* server = catalog.FindBackendServer(item.first);
    if (!server || server->pool != artifact.pool || !CanHold(artifact, status) ||
        !TakesWork(m_environment, item.first))
      return false;
    MegaBytes room = status.capacity - status.claimed;
    for (const ReplicaStatus& replica : status.replicas)
      if (replica.artifact != artifact.base)
        room += replica.memory;
    return room >= MemoryNeeded(artifact, status);
  });
}

Task<LoadReply> LoadCoordinator::LoadSomewhere(Table::Artifact artifact, LoadRequest request)
{
  const TimePoint deadline = Now() + Milliseconds(request.patience_ms);
  if (artifact.replicas <= 0)
    co_return Refuse(FailureKind::Refused, "the table allows no replica of " + artifact.id.Get(),
                     0);
  PlaceReply placed;
  int attempts = 0;
  while (attempts < MAX_PLACEMENTS && Now() < deadline)
  {
    // Claims need the platform, so fail immediately while it is down.
    if (m_environment.store.IsDown())
      co_return Refuse(FailureKind::Unavailable, "the platform does not respond",
                       RETRY_AFTER_PLATFORM_MS);
    const auto candidates = Candidates(artifact);
    const auto placement = std::visit(
        [&](const auto& policy) {
          return policy.Choose(candidates, artifact.memory);
        },
        m_environment.policies.placement);
    if (!placement)
    {
      placed.failure = FailureKind::Overloaded;
      placed.detail = "no backend server has room for " + artifact.id.Get();
      if (!CanFreeMemory(artifact))
        break;
      co_await Common::Sleep{RETRY_PAUSE};
      continue;
    }
    ++attempts;
    m_environment.decision_log.Add(
        "place", {request.request.Get(), artifact.id.Get(), placement->server.Get()},
        {{"server", placement->server.Get()},
         {"why", placement->reason},
         {"evicted", placement->evict.size()},
         {"candidates", candidates.size()},
         {"waiting", request.waiting}});
    Daemons::PlaceOrder order;
    order.server = placement->server;
    order.artifact = artifact.id;
    order.evict = placement->evict;
    order.request = request.request;
    const auto left = std::chrono::duration_cast<Milliseconds>(deadline - Now());
    order.patience_ms = left.count();
    const auto* server = m_environment.table.Current().FindBackendServer(placement->server);
    const auto manager = server ? ManagerOf(m_environment, *server) : std::nullopt;
    if (!manager)
    {
      co_await Common::Sleep{RETRY_PAUSE};
      continue;
    }
    const auto answer = co_await m_environment.link.SendCall(*manager, Daemons::Call(order), left);
    const auto* reply = answer ? std::get_if<PlaceReply>(&*answer) : nullptr;
    if (!reply)
    {
      // The daemon may have committed the claim before contact was lost. This shows up in the
      // status registry or as a conflict of the next attempt.
      placed.failure = FailureKind::Unavailable;
      placed.detail = "the daemon that manages " + placement->server.Get() + " does not respond";
      co_await Common::Sleep{RETRY_PAUSE};
      continue;
    }
    placed = *reply;
    if (placed.failure == FailureKind::None)
      co_return ServedBy(placement->server);
    if (placed.failure == FailureKind::Conflict && !placed.holders.empty())
      co_return co_await WaitForReplica(artifact.id, placed.holders, deadline);
    if (placed.failure == FailureKind::DeadlineUnmeetable)
      break;
    // The server is out of memory according to the daemon that manages it, which has newer data
    // than the status registry. Retry as for any lack of memory, without counting a failed
    // placement.
    if (placed.failure == FailureKind::Overloaded)
      --attempts;
    co_await Common::Sleep{RETRY_PAUSE};
  }
  if (placed.failure == FailureKind::None)
    placed.failure = FailureKind::DeadlineUnmeetable;
  co_return Refuse(placed.failure, placed.detail, RETRY_AFTER_MEMORY_MS);
}

/// Waits until one of the servers with a claim on the artifact serves it, in this or another data
/// centre. Called if no further slot can or needs to be claimed.
Task<LoadReply> LoadCoordinator::WaitForReplica(ArtifactId artifact, std::vector<VmId> servers,
                                                TimePoint deadline)
{
  while (Now() < deadline)
  {
    const auto serving = std::ranges::find_if(servers, [&](const VmId& vm) {
      return IsServing(m_environment, vm, artifact);
    });
    if (serving != servers.end())
      co_return ServedBy(*serving);
    // The claims may have been released, in which case there is nothing to wait for.
    const bool claimed =
        !m_environment.server_statuses.With(artifact, ReplicaState::Ordered).empty() ||
        !m_environment.server_statuses.With(artifact, ReplicaState::Loaded).empty();
    const bool reachable = std::ranges::any_of(servers, [&](const VmId& vm) {
      return TakesWork(m_environment, vm);
    });
    if (!reachable)
      co_return Refuse(FailureKind::Unavailable,
                       "all replicas are claimed on unreachable backend servers",
                       RETRY_AFTER_PLATFORM_MS);
    if (!claimed)
    {
      co_await Common::Sleep{RETRY_PAUSE};
      if (m_environment.server_statuses.With(artifact, ReplicaState::Ordered).empty())
        co_return Refuse(FailureKind::Conflict, "the claims on the replicas have changed",
                         RETRY_AFTER_MEMORY_MS);
    }
    co_await Common::Sleep{STATUS_POLL};
  }
  co_return Refuse(FailureKind::DeadlineUnmeetable, "no replica was loaded before the deadline",
                   RETRY_AFTER_MEMORY_MS);
}
} // namespace Serving

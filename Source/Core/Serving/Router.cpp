// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Serving/Router.h"

#include <algorithm>
#include <numeric>

#include "Common/Log.h"

namespace Serving
{
namespace
{
using Common::ArtifactId;
using Common::Failure;
using Common::FailureKind;
using Common::Milliseconds;
using Common::Now;
using Common::Task;
using Common::TimePoint;
using Common::VmId;
using Daemons::LoadReply;
using Daemons::LoadRequest;

constexpr Milliseconds AVOID_AFTER_REJECTION{400};
constexpr Milliseconds LOAD_REQUEST_RETRY{50};
constexpr Milliseconds RETRY_AFTER_DEADLINE{1000};
constexpr std::int64_t DEFAULT_LIMIT = 64;

Milliseconds Left(TimePoint deadline)
{
  return std::chrono::duration_cast<Milliseconds>(deadline - Now());
}
} // namespace

Grant::Grant(std::function<void()> release, VmId server, std::string address, bool cold)
    : m_release(std::make_unique<Release>(Release{std::move(release)})),
      m_server(std::move(server)),
      m_address(std::move(address)),
      m_cold(cold)
{
}

Grant::~Grant()
{
  if (m_release)
    m_release->call();
}

Router::Router(Environment& environment) : m_environment(environment) {}

Router::ArtifactQueue& Router::QueueOf(const Table::Artifact& artifact)
{
  const auto found = m_queues.find(artifact.id);
  if (found != m_queues.end())
  {
    found->second.artifact = artifact;
    return found->second;
  }
  ArtifactQueue& queue = m_queues[artifact.id];
  queue.artifact = artifact;
  if (!m_environment.policies.fair_queue)
    queue.queue = Decisions::FifoQueue();
  return queue;
}

Task<Route> Router::Acquire(Table::Artifact artifact, RouteRequest request)
{
  ArtifactQueue& queue = QueueOf(artifact);
  const TimePoint deadline = request.deadline;
  const std::uint64_t id = m_next_id++;
  const bool cold = Candidates(queue, request).empty();
  Decisions::AdmissionInput input;
  input.until_deadline = Left(deadline);
  input.waiting = queue.waiters.size();
  input.service_time = queue.mean_service;
  for (const VmId& vm :
       m_environment.server_statuses.With(artifact.id, Daemons::ReplicaState::Loaded))
    if (const auto* entry = m_environment.server_statuses.Find(vm))
      input.slots += artifact.limit > 0 ? artifact.limit : entry->status.max_running;
  if (!Decisions::CanMeetDeadline(input))
  {
    const Failure failure{FailureKind::Overloaded,
                          "the expected wait in the queue exceeds the deadline"};
    co_return Refusal{failure, Decisions::ExpectedWait(input)};
  }
  Waiter waiter;
  waiter.request = request;
  const auto decided = waiter.decided;
  Decisions::QueuedRequest queued{id, request.service, request.weight, deadline};
  std::visit(
      [&](auto& policy) {
        policy.Push(queued);
      },
      queue.queue);
  queue.waiters.emplace(id, std::move(waiter));
  Dispatch(queue);
  const auto decision = co_await decided.WaitUntil(deadline);
  // The map may have grown in the meantime, but references to its elements remain valid.
  if (!decision)
  {
    std::visit(
        [id](auto& policy) {
          policy.Remove(id);
        },
        queue.queue);
    queue.waiters.erase(id);
    const Failure failure{FailureKind::DeadlineUnmeetable,
                          "no replica was available before the deadline"};
    co_return Refusal{failure, RETRY_AFTER_DEADLINE};
  }
  if (const auto* refusal = std::get_if<Refusal>(&*decision))
    co_return *refusal;
  const VmId server = std::get<VmId>(*decision);
  const auto* backend = m_environment.table.Current().FindBackendServer(server);
  const TimePoint began = Now();
  const ArtifactId artifact_id = artifact.id;
  const auto release = [this, artifact_id, server, began] {
    Release(artifact_id, server, began);
  };
  Grant grant(release, server, backend ? backend->address : std::string(), cold);
  co_return Route(std::move(grant));
}

std::vector<Decisions::RouteCandidate> Router::Candidates(ArtifactQueue& queue,
                                                          const RouteRequest& request)
{
  std::vector<Decisions::RouteCandidate> candidates;
  const auto now = Now();
  for (const VmId& vm :
       m_environment.server_statuses.With(queue.artifact.id, Daemons::ReplicaState::Loaded))
  {
    const auto avoided = queue.avoided_until.find(vm);
    if (!IsServing(m_environment, vm, queue.artifact.id) ||
        (avoided != queue.avoided_until.end() && now < avoided->second))
      continue;
    const auto* server = m_environment.table.Current().FindBackendServer(vm);
    const auto* entry = m_environment.server_statuses.Find(vm);
    if (!server || !entry)
      continue;
    Decisions::RouteCandidate candidate;
    candidate.server = vm;
    candidate.local = server->data_centre == m_environment.DataCentre();
    candidate.reported_running = entry->status.running;
    candidate.own_running = queue.in_flight[vm];
    candidate.limit = queue.artifact.limit > 0 ? queue.artifact.limit : entry->status.max_running;
    if (candidate.limit <= 0)
      candidate.limit = DEFAULT_LIMIT;
    candidates.push_back(candidate);
  }
  const auto has_failed_request = [&request](const Decisions::RouteCandidate& candidate) {
    return request.failed_servers.contains(candidate.server);
  };
  if (!std::ranges::all_of(candidates, has_failed_request))
    std::erase_if(candidates, has_failed_request);
  return candidates;
}

void Router::Dispatch(ArtifactQueue& queue)
{
  bool saturated = false;
  std::vector<Decisions::QueuedRequest> skipped;
  while (!queue.waiters.empty())
  {
    const auto next = std::visit(
        [](auto& policy) {
          return policy.Pop();
        },
        queue.queue);
    if (!next)
      break;
    const auto found = queue.waiters.find(next->id);
    if (found == queue.waiters.end())
      continue;
    const RouteRequest& request = found->second.request;
    const auto candidates = Candidates(queue, request);
    const auto chosen = std::visit(
        [&](auto& policy) {
          return policy.Choose(candidates, request.affinity, Common::SharedRandom());
        },
        m_environment.policies.routing);
    if (!chosen)
    {
      saturated = saturated || !candidates.empty();
      skipped.push_back(*next);
      // No later request has other candidates, unless this one excludes servers.
      if (request.failed_servers.empty())
        break;
      continue;
    }
    const VmId server = candidates[*chosen].server;
    ++queue.in_flight[server];
    m_environment.decision_log.Add("route",
                                   {request.request.Get(), queue.artifact.id.Get(), server.Get()},
                                   {{"server", server.Get()},
                                    {"candidates", candidates.size()},
                                    {"own_running", candidates[*chosen].own_running},
                                    {"reported_running", candidates[*chosen].reported_running}});
    found->second.decided.Set(Decision(server));
    queue.waiters.erase(found);
  }
  for (const Decisions::QueuedRequest& request : skipped)
    std::visit(
        [&](auto& policy) {
          policy.Push(request);
        },
        queue.queue);
  const auto replicas = static_cast<std::int64_t>(
      m_environment.server_statuses.With(queue.artifact.id, Daemons::ReplicaState::Loaded).size());
  const bool may_grow = !saturated || replicas < queue.artifact.replicas;
  if (!queue.waiters.empty() && may_grow && !std::exchange(queue.requesting_loads, true))
    Common::Spawn(RequestLoads(queue.artifact.id));
}

Milliseconds Router::TimeToLatestDeadline(const ArtifactQueue& queue) const
{
  Milliseconds longest{0};
  for (const auto& [id, waiter] : queue.waiters)
    longest = std::max(longest, Left(waiter.request.deadline));
  return longest;
}

/// Requests loads from the daemon that decides on them (LoadCoordinatorOf) for as long as requests
/// wait. If that daemon fails, hashing selects another one for the next attempt.
Task<void> Router::RequestLoads(ArtifactId id)
{
  ArtifactQueue& queue = m_queues[id];
  while (!queue.waiters.empty())
  {
    const auto coordinator = LoadCoordinatorOf(m_environment, id);
    LoadRequest request;
    request.artifact = id;
    request.request = queue.waiters.begin()->second.request.request;
    request.patience_ms = TimeToLatestDeadline(queue).count();
    request.waiting = static_cast<std::int64_t>(queue.waiters.size());
    request.additional_replica = !Candidates(queue, queue.waiters.begin()->second.request).empty();
    if (!coordinator || request.patience_ms <= 0)
    {
      co_await Common::Sleep{LOAD_REQUEST_RETRY};
      continue;
    }
    const auto answer = co_await m_environment.link.SendCall(*coordinator, Daemons::Call(request),
                                                             Milliseconds(request.patience_ms));
    const auto* reply = answer ? std::get_if<LoadReply>(&*answer) : nullptr;
    const bool final = reply && reply->failure != FailureKind::None &&
                       reply->failure != FailureKind::Conflict && !request.additional_replica;
    if (final)
      RefuseAll(queue,
                {Failure{reply->failure, reply->detail}, Milliseconds(reply->retry_after_ms)});
    else if (reply && reply->failure == FailureKind::None && !request.additional_replica)
      m_environment.server_statuses.AssumeLoaded(reply->server, id, Now());
    const std::size_t before = queue.waiters.size();
    Dispatch(queue);
    if (!queue.waiters.empty() && queue.waiters.size() == before)
      co_await Common::Sleep{LOAD_REQUEST_RETRY};
  }
  queue.requesting_loads = false;
}

void Router::RefuseAll(ArtifactQueue& queue, const Refusal& refusal)
{
  auto waiters = std::exchange(queue.waiters, {});
  for (auto& [id, waiter] : waiters)
  {
    std::visit(
        [id = id](auto& policy) {
          policy.Remove(id);
        },
        queue.queue);
    waiter.decided.Set(Decision(refusal));
  }
}

void Router::Release(ArtifactId artifact, VmId server, TimePoint began)
{
  ArtifactQueue& queue = m_queues[artifact];
  --queue.in_flight[server];
  const auto took = std::chrono::duration_cast<Milliseconds>(Now() - began);
  queue.mean_service = queue.mean_service.count() == 0 ? took : (queue.mean_service * 7 + took) / 8;
  Dispatch(queue);
}

void Router::OnRequestRejected(const ArtifactId& artifact, const VmId& server)
{
  m_queues[artifact].avoided_until[server] = Now() + AVOID_AFTER_REJECTION;
}

void Router::OnReplicasChanged(const std::set<ArtifactId>& artifacts)
{
  for (const ArtifactId& id : artifacts)
  {
    const auto found = m_queues.find(id);
    if (found != m_queues.end() && !found->second.waiters.empty())
      Dispatch(found->second);
  }
}

std::size_t Router::Waiting() const
{
  return std::accumulate(m_queues.begin(), m_queues.end(), std::size_t(0),
                         [](std::size_t sum, const auto& item) {
                           return sum + item.second.waiters.size();
                         });
}

std::int64_t Router::InFlight() const
{
  std::int64_t total = 0;
  for (const auto& [id, queue] : m_queues)
    for (const auto& [server, count] : queue.in_flight)
      total += count;
  return total;
}
} // namespace Serving

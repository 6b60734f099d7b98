// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "Common/Loop.h"
#include "Decisions/Admission.h"
#include "Serving/Environment.h"

namespace Serving
{
/// Properties of a request that the router needs for queueing and routing.
struct RouteRequest
{
  Common::RequestId request;
  Common::ServiceId service;
  std::int64_t weight = 1;
  Common::TimePoint deadline;
  std::string affinity;                  ///< The beginning of the prompt; empty if none.
  std::set<Common::VmId> failed_servers; ///< Servers that failed this request; last resort.
};

/// Permission to send one request to a backend server. The request counts as in flight there until
/// the grant is destroyed.
class Grant
{
public:
  Grant(std::function<void()> release, Common::VmId server, std::string address, bool cold);
  Grant(Grant&&) noexcept = default;
  Grant& operator=(Grant&&) = delete;
  ~Grant();

  const Common::VmId& Server() const { return m_server; }
  const std::string& Address() const { return m_address; }
  /// Whether no replica was available for the request on its arrival.
  bool WasCold() const { return m_cold; }

private:
  struct Release
  {
    std::function<void()> call;
  };
  std::unique_ptr<Release> m_release;
  Common::VmId m_server;
  std::string m_address;
  bool m_cold = false;
};

/// A refusal with the time after which the client should retry.
struct Refusal
{
  Common::Failure failure;
  Common::Milliseconds retry_after{0};
};

using Route = std::variant<Grant, Refusal>;

/// Request queues of this entry daemon. Each request gets a backend server that has its artifact
/// loaded, or a refusal as soon as it is certain that there will be none, at its deadline at the
/// latest.
class Router
{
public:
  explicit Router(Environment& environment);

  Common::Task<Route> Acquire(Table::Artifact artifact, RouteRequest request);

  /// A backend server rejected a request although its status lists it as serving. It is skipped for
  /// 400 ms.
  void OnRequestRejected(const Common::ArtifactId& artifact, const Common::VmId& server);
  /// Called when replicas of these artifacts have changed in the status registry.
  void OnReplicasChanged(const std::set<Common::ArtifactId>& artifacts);

  std::size_t Waiting() const;
  std::int64_t InFlight() const;

private:
  using Decision = std::variant<Common::VmId, Refusal>;
  using Queue = std::variant<Decisions::FairDeadlineQueue, Decisions::FifoQueue>;

  struct Waiter
  {
    RouteRequest request;
    Common::Completion<Decision> decided;
  };

  struct ArtifactQueue
  {
    Table::Artifact artifact;
    Queue queue;
    std::map<std::uint64_t, Waiter> waiters;
    std::map<Common::VmId, std::int64_t> in_flight;
    std::map<Common::VmId, Common::TimePoint> avoided_until;
    Common::Milliseconds mean_service{0};
    bool requesting_loads = false;
  };

  ArtifactQueue& QueueOf(const Table::Artifact& artifact);
  void Dispatch(ArtifactQueue& queue);
  std::vector<Decisions::RouteCandidate> Candidates(ArtifactQueue& queue,
                                                    const RouteRequest& request);
  void Release(Common::ArtifactId artifact, Common::VmId server, Common::TimePoint began);
  Common::Task<void> RequestLoads(Common::ArtifactId id);
  void RefuseAll(ArtifactQueue& queue, const Refusal& refusal);
  Common::Milliseconds TimeToLatestDeadline(const ArtifactQueue& queue) const;

  Environment& m_environment;
  std::map<Common::ArtifactId, ArtifactQueue> m_queues;
  std::uint64_t m_next_id = 1;
};
} // namespace Serving

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
/// What a request wants of the router.
struct RouteRequest
{
  Common::RequestId request;
  Common::ServiceId service;
  std::int64_t weight = 1;
  Common::TimePoint deadline;
  std::string affinity;            ///< The beginning of the prompt; empty: none.
  std::set<Common::VmId> disliked; ///< Failed this request before: only where there is no other.
};

/// Leave to send one request to a backend server. It counts there until it is destroyed.
class Grant
{
public:
  Grant(std::function<void()> release, Common::VmId server, std::string address, bool cold);
  Grant(Grant&&) noexcept = default;
  Grant& operator=(Grant&&) = delete;
  ~Grant();

  const Common::VmId& Server() const { return m_server; }
  const std::string& Address() const { return m_address; }
  /// No replica served the artifact when the request came.
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

/// A refusal with the time after which it is worth coming back.
struct Refusal
{
  Common::Failure failure;
  Common::Milliseconds retry_after{0};
};

using Route = std::variant<Grant, Refusal>;

/// The queue of this entry daemon: each request ends with a backend server that has its artifact
/// loaded, or with a truthful refusal as soon as that is certain, at its deadline at the latest.
class Router
{
public:
  explicit Router(Environment& environment);

  Common::Task<Route> Acquire(Table::Artifact artifact, RouteRequest request);

  /// A backend server declined although the board says that it serves: leave it out for a moment.
  void NoteDeclined(const Common::ArtifactId& artifact, const Common::VmId& server);
  /// The board changed for these artifacts.
  void OnBoardChange(const std::set<Common::ArtifactId>& artifacts);

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
    bool asking = false;
  };

  ArtifactQueue& QueueOf(const Table::Artifact& artifact);
  void Dispatch(ArtifactQueue& queue);
  std::vector<Decisions::RouteCandidate> Candidates(ArtifactQueue& queue,
                                                    const RouteRequest& request);
  void Release(Common::ArtifactId artifact, Common::VmId server, Common::TimePoint began);
  Common::Task<void> AskHome(Common::ArtifactId id);
  void RefuseAll(ArtifactQueue& queue, const Refusal& refusal);
  Common::Milliseconds Patience(const ArtifactQueue& queue) const;

  Environment& m_environment;
  std::map<Common::ArtifactId, ArtifactQueue> m_queues;
  std::uint64_t m_next_id = 1;
};
} // namespace Serving

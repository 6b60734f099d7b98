// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "Common/Units.h"

namespace Decisions
{
/// A request that is queued until a replica can serve it.
struct QueuedRequest
{
  std::uint64_t id = 0;
  Common::ServiceId service;
  std::int64_t weight = 1; ///< Of the calling service, from the configuration table.
  Common::TimePoint deadline;
};

/// Orders the queued requests for one artifact.
template <typename T>
concept QueuePolicy = requires(T queue, const T constant, QueuedRequest request, std::uint64_t id)
{
  queue.Push(request);
  {
    queue.Pop()
    } -> std::same_as<std::optional<QueuedRequest>>;
  {
    queue.Remove(id)
    } -> std::same_as<bool>;
  {
    constant.Size()
    } -> std::same_as<std::size_t>;
};

/// Weighted fair queueing between the calling services (start-time fair queueing by virtual time);
/// earliest deadline first within a service.
class FairDeadlineQueue
{
public:
  void Push(QueuedRequest request);
  std::optional<QueuedRequest> Pop();
  bool Remove(std::uint64_t id);
  std::size_t Size() const;
  /// The earliest deadline of all queued requests.
  std::optional<Common::TimePoint> EarliestDeadline() const;

private:
  struct ServiceQueue
  {
    std::vector<QueuedRequest> requests; ///< Sorted by deadline.
    double virtual_time = 0;
  };

  std::map<Common::ServiceId, ServiceQueue> m_services;
  double m_virtual_time = 0;
};

/// Baseline policy: first come, first served.
class FifoQueue
{
public:
  void Push(QueuedRequest request) { m_requests.push_back(std::move(request)); }
  std::optional<QueuedRequest> Pop();
  bool Remove(std::uint64_t id);
  std::size_t Size() const { return m_requests.size(); }
  std::optional<Common::TimePoint> EarliestDeadline() const;

private:
  std::vector<QueuedRequest> m_requests;
};

static_assert(QueuePolicy<FairDeadlineQueue>);
static_assert(QueuePolicy<FifoQueue>);

/// What is known when a request arrives and is to be admitted or refused.
struct AdmissionInput
{
  Common::Milliseconds until_deadline{0};
  Common::Milliseconds expected_load{0}; ///< Until a replica is loaded; 0 if one is.
  std::size_t waiting = 0;               ///< Requests ahead in the queue.
  std::int64_t slots = 0;                ///< Concurrent requests over all replicas.
  Common::Milliseconds service_time{0};  ///< Mean time to serve one request.
};

/// The expected time until the request starts. A request that would start after its deadline is
/// refused immediately instead of waiting for a timeout.
Common::Milliseconds ExpectedWait(const AdmissionInput& input);
bool CanMeetDeadline(const AdmissionInput& input);

/// Limits retries to a fraction of the requests, so that a failing backend is not overloaded: each
/// request adds a fraction of a token and each retry consumes one token.
class RetryBudget
{
public:
  explicit RetryBudget(double retries_per_request = 0.1, double burst = 10)
      : m_tokens_per_request(retries_per_request), m_burst(burst), m_tokens(burst)
  {
  }

  void OnRequest() { m_tokens = std::min(m_burst, m_tokens + m_tokens_per_request); }
  /// Consumes one token; false if less than one is left.
  bool TrySpend();

private:
  double m_tokens_per_request;
  double m_burst;
  double m_tokens;
};
} // namespace Decisions

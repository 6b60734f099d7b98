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
/// A request that waits for a replica.
struct QueuedRequest
{
  std::uint64_t id = 0;
  Common::ServiceId service;
  std::int64_t weight = 1; ///< Of the service, from the table.
  Common::TimePoint deadline;
};

/// Orders the requests that wait for one artifact.
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

/// Weighted fair shares of the calling services (start-time fair queueing by virtual time), and
/// within a service the earliest deadline first.
class FairDeadlineQueue
{
public:
  void Push(QueuedRequest request);
  std::optional<QueuedRequest> Pop();
  bool Remove(std::uint64_t id);
  std::size_t Size() const;
  /// The earliest deadline of all that wait.
  std::optional<Common::TimePoint> EarliestDeadline() const;

private:
  struct ServiceQueue
  {
    std::vector<QueuedRequest> requests; ///< By deadline.
    double virtual_time = 0;
  };

  std::map<Common::ServiceId, ServiceQueue> m_services;
  double m_virtual_time = 0;
};

/// The baseline: first come, first served.
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

/// What admission knows when a request comes.
struct AdmissionInput
{
  Common::Milliseconds until_deadline{0};
  Common::Milliseconds expected_load{0}; ///< Until a replica is loaded; 0 where one is.
  std::size_t waiting = 0;               ///< Ahead in the queue.
  std::int64_t slots = 0;                ///< Requests that the replicas run at once.
  Common::Milliseconds service_time{0};  ///< Mean of one request.
};

/// When the request can be expected to begin; it is refused at once where that is past its
/// deadline, instead of waiting for a time-out.
Common::Milliseconds ExpectedWait(const AdmissionInput& input);
bool CanMeetDeadline(const AdmissionInput& input);

/// Limits retries to a share of the requests, so that a failing back end is not flooded: each
/// request earns a part of a retry, each retry spends a whole one.
class RetryBudget
{
public:
  explicit RetryBudget(double retries_per_request = 0.1, double burst = 10)
      : m_earn(retries_per_request), m_burst(burst), m_tokens(burst)
  {
  }

  void OnRequest() { m_tokens = std::min(m_burst, m_tokens + m_earn); }
  /// Takes one retry where the budget allows it.
  bool TrySpend();

private:
  double m_earn;
  double m_burst;
  double m_tokens;
};
} // namespace Decisions

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Decisions/Admission.h"

#include <limits>
#include <numeric>

namespace Decisions
{
void FairDeadlineQueue::Push(QueuedRequest request)
{
  ServiceQueue& queue = m_services[request.service];
  // An idle service restarts at the current virtual time, so that it accumulates no credit.
  if (queue.requests.empty())
    queue.virtual_time = std::max(queue.virtual_time, m_virtual_time);
  const auto place =
      std::ranges::upper_bound(queue.requests, request.deadline, {}, &QueuedRequest::deadline);
  queue.requests.insert(place, std::move(request));
}

std::optional<QueuedRequest> FairDeadlineQueue::Pop()
{
  const auto key = [](const auto& item) {
    return item.second.requests.empty() ? std::numeric_limits<double>::max()
                                        : item.second.virtual_time;
  };
  const auto next = std::ranges::min_element(m_services, {}, key);
  if (next == m_services.end() || next->second.requests.empty())
    return std::nullopt;
  ServiceQueue& queue = next->second;
  QueuedRequest request = std::move(queue.requests.front());
  queue.requests.erase(queue.requests.begin());
  m_virtual_time = queue.virtual_time;
  queue.virtual_time += 1.0 / static_cast<double>(std::max<std::int64_t>(1, request.weight));
  return request;
}

bool FairDeadlineQueue::Remove(std::uint64_t id)
{
  return std::ranges::any_of(m_services, [id](auto& item) {
    return std::erase_if(item.second.requests, [id](const QueuedRequest& request) {
             return request.id == id;
           }) > 0;
  });
}

std::size_t FairDeadlineQueue::Size() const
{
  return std::accumulate(m_services.begin(), m_services.end(), std::size_t(0),
                         [](std::size_t sum, const auto& item) {
                           return sum + item.second.requests.size();
                         });
}

std::optional<Common::TimePoint> FairDeadlineQueue::EarliestDeadline() const
{
  std::optional<Common::TimePoint> earliest;
  for (const auto& [id, queue] : m_services)
    if (!queue.requests.empty() && (!earliest || queue.requests.front().deadline < *earliest))
      earliest = queue.requests.front().deadline;
  return earliest;
}

std::optional<QueuedRequest> FifoQueue::Pop()
{
  if (m_requests.empty())
    return std::nullopt;
  QueuedRequest request = std::move(m_requests.front());
  m_requests.erase(m_requests.begin());
  return request;
}

bool FifoQueue::Remove(std::uint64_t id)
{
  return std::erase_if(m_requests, [id](const QueuedRequest& request) {
           return request.id == id;
         }) > 0;
}

std::optional<Common::TimePoint> FifoQueue::EarliestDeadline() const
{
  const auto first = std::ranges::min_element(m_requests, {}, &QueuedRequest::deadline);
  if (first == m_requests.end())
    return std::nullopt;
  return first->deadline;
}

Common::Milliseconds ExpectedWait(const AdmissionInput& input)
{
  if (input.slots <= 0)
    return input.expected_load;
  const auto rounds = static_cast<std::int64_t>(input.waiting) / input.slots;
  return input.expected_load + input.service_time * rounds;
}

bool CanMeetDeadline(const AdmissionInput& input)
{
  return ExpectedWait(input) < input.until_deadline;
}

bool RetryBudget::TrySpend()
{
  if (m_tokens < 1)
    return false;
  m_tokens -= 1;
  return true;
}
} // namespace Decisions

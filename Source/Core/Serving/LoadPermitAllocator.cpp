// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Serving/LoadPermitAllocator.h"

#include <algorithm>

namespace Serving
{
namespace
{
using Common::Milliseconds;
using Common::Now;

constexpr std::int64_t DEFAULT_CONCURRENT_LOADS = 4;
constexpr std::int64_t DEFAULT_STARTS_PER_SECOND = 3;
/// A permit that is not returned, for example because its daemon crashed, expires after this time.
constexpr std::chrono::minutes PERMIT_LIFETIME{2};
} // namespace

Common::Task<Daemons::PermitReply> LoadPermitAllocator::Request(Daemons::PermitRequest request)
{
  Waiter waiter;
  waiter.load.claim = request.claim;
  waiter.load.requested_at = Now();
  waiter.load.deadline = Now() + Milliseconds(request.patience_ms);
  waiter.load.weight = request.weight;
  waiter.load.waiting = request.waiting;
  m_waiting.push_back(waiter);
  Dispatch();
  const auto permit = co_await waiter.permit.WaitUntil(waiter.load.deadline);
  std::erase_if(m_waiting, [&](const Waiter& item) {
    return item.load.claim == request.claim;
  });
  Daemons::PermitReply reply;
  reply.granted = permit.value_or(false);
  co_return reply;
}

void LoadPermitAllocator::Return(const Common::ClaimId& claim)
{
  m_running.erase(claim);
  Dispatch();
}

void LoadPermitAllocator::Dispatch()
{
  const auto& table = m_environment.table.Current();
  const auto at_once = static_cast<std::size_t>(
      table.SettingNumber("weight_store_at_once", DEFAULT_CONCURRENT_LOADS));
  const std::int64_t rate = std::max<std::int64_t>(
      1, table.SettingNumber("weight_store_starts_per_second", DEFAULT_STARTS_PER_SECOND));
  const auto now = Now();
  std::erase_if(m_running, [now](const auto& item) {
    return now - item.second > PERMIT_LIFETIME;
  });
  while (!m_waiting.empty() && m_running.size() < at_once && now >= m_next_start)
  {
    std::vector<Decisions::WaitingLoad> loads;
    std::ranges::transform(m_waiting, std::back_inserter(loads), &Waiter::load);
    const auto next = std::visit(
        [&](const auto& policy) {
          return policy.Next(loads, now);
        },
        m_environment.policies.load_order);
    if (!next)
      return;
    const Waiter chosen = m_waiting[*next];
    m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(*next));
    m_running.emplace(chosen.load.claim, now);
    m_next_start = now + Milliseconds(1000 / rate);
    chosen.permit.Set(true);
  }
  if (m_waiting.empty() || m_scheduled || now >= m_next_start)
    return;
  m_scheduled = true;
  Common::CallAfter(std::chrono::ceil<Milliseconds>(m_next_start - now), [this] {
    m_scheduled = false;
    Dispatch();
  });
}
} // namespace Serving

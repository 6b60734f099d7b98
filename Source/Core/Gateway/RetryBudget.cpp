// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/RetryBudget.h"

#include <algorithm>

#include "Common/Mechanisms.h"

namespace Gateway
{
namespace
{
/// The share of the bound that is used. The rest is a margin: retries are counted where they
/// arrive, at the servers, whose windows are slightly shifted against this daemon's, and a
/// restarted daemon has lost its count of retries.
constexpr double USED_SHARE = 0.7;
} // namespace

RetryBudget::Counts& RetryBudget::PrunedCounts(const PoolId& pool, Common::TimePoint now)
{
  Counts& counts = m_counts[pool];
  const auto oldest = now - m_settings.window;
  while (!counts.requests.empty() && counts.requests.front() < oldest)
    counts.requests.pop_front();
  while (!counts.retries.empty() && counts.retries.front() < oldest)
    counts.retries.pop_front();
  return counts;
}

void RetryBudget::NoteRequest(const PoolId& pool, Common::TimePoint now)
{
  PrunedCounts(pool, now).requests.push_back(now);
}

double RetryBudget::Left(const PoolId& pool, Common::TimePoint now)
{
  const Counts& counts = PrunedCounts(pool, now);
  const double slack = Common::IsOn(Common::Mechanism::BudgetSlack) ? m_settings.slack : 0;
  const double allowed = m_settings.ratio * static_cast<double>(counts.requests.size()) +
                         slack / std::max(m_daemons, 1);
  return USED_SHARE * allowed + m_rounding - static_cast<double>(counts.retries.size());
}

bool RetryBudget::Take(const PoolId& pool, Common::TimePoint now)
{
  if (Left(pool, now) < 1)
    return false;
  m_counts[pool].retries.push_back(now);
  return true;
}
} // namespace Gateway

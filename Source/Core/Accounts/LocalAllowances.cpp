// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Accounts/LocalAllowances.h"

#include <algorithm>
#include <utility>

namespace Accounts
{
namespace
{
using Common::Milliseconds;
using Seconds = std::chrono::duration<double>;

/// How long a daemon that has never reached an allocator adds units by itself: longer than
/// `LOCAL_FILL_TIME`, since all daemons may have been started together.
constexpr Milliseconds INITIAL_LOCAL_FILL_TIME{8000};
/// Unspent units are dropped if no allocator is reachable for this long; the allocator no longer
/// counts them either.
constexpr Milliseconds DISCARD_AFTER{10000};
/// Maximum time for which this daemon adds units by itself at once; a process that was suspended
/// gets no more.
constexpr Seconds MAX_LOCAL_FILL_TIME{1.3};
/// A daemon keeps units for this much of its own demand, which is more than the allocator grants in
/// advance.
constexpr Seconds HELD_DEMAND_SPAN{4.0};
/// How long the allocator's report of an exhausted bucket is valid: about two of its intervals.
constexpr Milliseconds EXHAUSTED_VALID_FOR{900};
/// Accounts with less demand, in units per second, are not reported if they hold no units and
/// nothing waits for any.
constexpr double IDLE_DEMAND = 1;
/// Maximum retry delay that a refused request is given.
constexpr Milliseconds MAX_RETRY_DELAY{10000};
} // namespace

void LocalAllowances::SetAccounts(std::shared_ptr<const Directory> accounts)
{
  const auto before = std::exchange(m_accounts, std::move(accounts));
  if (!m_accounts)
  {
    m_states.clear();
    return;
  }
  std::map<AccountName, const UsageLimit*> old_limits;
  if (before)
    for (const Account& account : before->All())
      old_limits[account.name] = &account.limit;
  std::map<AccountName, AccountState> kept;
  for (const Account& account : m_accounts->All())
  {
    const auto state = m_states.find(account.name);
    if (state == m_states.end())
      continue;
    const auto old_limit = old_limits.find(account.name);
    if (old_limit != old_limits.end() && account.limit.IsLimited())
    {
      const double old_stock = MaxUnspentUnits(*old_limit->second, m_bound);
      const double stock = MaxUnspentUnits(account.limit, m_bound);
      state->second.available *= old_stock > stock ? stock / old_stock : 1;
    }
    kept.insert(m_states.extract(state));
  }
  m_states = std::move(kept);
}

const UsageLimit* LocalAllowances::LimitOf(const AccountName& account) const
{
  if (!m_accounts)
    return nullptr;
  const auto found = std::ranges::find(m_accounts->All(), account, &Account::name);
  return found == m_accounts->All().end() ? nullptr : &found->limit;
}

bool LocalAllowances::HasAllocatorContact(Common::TimePoint now) const
{
  return m_last_grants_at && now - *m_last_grants_at <= ALLOCATOR_TIMEOUT;
}

double LocalAllowances::LocalFillRate(const AccountState& state, const UsageLimit& limit,
                                      Common::TimePoint now) const
{
  const double equal_share = limit.rate / std::max(m_daemons, 1);
  if (!m_last_grants_at)
    return m_started_at && now - *m_started_at <= INITIAL_LOCAL_FILL_TIME ? equal_share : 0;
  if (now - *m_last_grants_at > ALLOCATOR_TIMEOUT + LOCAL_FILL_TIME)
    return 0;
  return state.local_fill_rate;
}

void LocalAllowances::Fill(AccountState& state, const UsageLimit& limit, Common::TimePoint now)
{
  if (m_last_grants_at && now - *m_last_grants_at > DISCARD_AFTER)
    state.available = 0;
  if (HasAllocatorContact(now))
  {
    // If the allocator turns out to be lost, units flow in from its last message on.
    state.filled_at = *m_last_grants_at;
    return;
  }
  const Seconds since =
      std::min(std::chrono::duration_cast<Seconds>(now - state.filled_at), MAX_LOCAL_FILL_TIME);
  state.filled_at = now;
  const double rate = LocalFillRate(state, limit, now);
  const double refilled = rate * since.count();
  // The bound applies only to units that this daemon added by itself, not to granted units.
  const double max_available =
      std::max(state.available, MaxUnspentUnits(limit, m_bound) / std::max(m_daemons, 1) +
                                    rate * MAX_LOCAL_FILL_TIME.count());
  state.available = std::min(state.available + refilled, max_available);
}

UsageVerdict LocalAllowances::Take(const Account& account, double cost, Common::TimePoint now,
                                   bool is_new)
{
  if (!account.limit.IsLimited())
    return UsageVerdict::Granted;
  if (!m_started_at)
    m_started_at = now;
  AccountState& state = m_states[account.name];
  if (is_new)
  {
    state.demand.Add(cost, now);
    state.requests.Add(1, now);
    state.usage.asked += static_cast<std::int64_t>(cost);
  }
  Fill(state, account.limit, now);
  if (state.available >= cost)
  {
    state.available -= cost;
    return UsageVerdict::Granted;
  }
  if (cost > MaxUnspentUnits(account.limit, m_bound))
    return UsageVerdict::LimitExceeded;
  if (!HasAllocatorContact(now))
    return LocalFillRate(state, account.limit, now) > 0 ? UsageVerdict::Wait
                                                        : UsageVerdict::Unchecked;
  const bool exhausted = state.exhausted && now - state.exhausted_at <= EXHAUSTED_VALID_FOR;
  return exhausted ? UsageVerdict::LimitExceeded : UsageVerdict::Wait;
}

void LocalAllowances::Refund(const AccountName& account, double cost)
{
  const auto state = m_states.find(account);
  if (state != m_states.end())
    state->second.available += cost;
}

void LocalAllowances::BeginWait(const AccountName& account, double cost)
{
  m_states[account].wanted += cost;
}

void LocalAllowances::EndWait(const AccountName& account, double cost)
{
  const auto state = m_states.find(account);
  if (state != m_states.end())
    state->second.wanted = std::max(state->second.wanted - cost, 0.0);
}

Milliseconds LocalAllowances::RetryDelay(const Account& account, double cost, Common::TimePoint now)
{
  AccountState& state = m_states[account.name];
  const double income =
      std::max({state.local_fill_rate, account.limit.rate / std::max(m_daemons, 1), IDLE_DEMAND});
  const double missing = std::max(cost - state.available, 0.0);
  const auto span = std::chrono::ceil<Milliseconds>(Seconds(missing / income));
  const auto first = now + span;
  const auto after_previous =
      state.next_retry_at + std::chrono::ceil<Milliseconds>(Seconds(cost / income));
  state.next_retry_at = std::min(std::max(first, after_previous), now + MAX_RETRY_DELAY);
  return std::chrono::ceil<Milliseconds>(state.next_retry_at - now);
}

std::vector<AllowanceLine> LocalAllowances::Report(Common::TimePoint now)
{
  std::vector<AllowanceLine> lines;
  for (auto& [name, state] : m_states)
  {
    const UsageLimit* limit = LimitOf(name);
    if (limit == nullptr || !limit->IsLimited())
      continue;
    Fill(state, *limit, now);
    const double demand = state.demand.At(now);
    // Units that are not needed here may be needed elsewhere; omitting them from the report returns
    // them.
    if (HasAllocatorContact(now))
      state.available = std::min(state.available, state.wanted + demand * HELD_DEMAND_SPAN.count());
    if (demand < IDLE_DEMAND && state.available < 1 && state.wanted <= 0)
      continue;
    lines.push_back(
        {name, static_cast<std::int64_t>(state.available), state.granted_seen,
         static_cast<std::int64_t>(std::ceil(demand)),
         static_cast<std::int64_t>(std::ceil(state.wanted)),
         static_cast<std::int64_t>(std::ceil(demand / std::max(state.requests.At(now), 1e-9)))});
  }
  return lines;
}

void LocalAllowances::TakeGrants(std::int64_t tenure, std::span<const GrantLine> grants,
                                 Common::TimePoint now)
{
  if (tenure < m_tenure)
    return;
  if (tenure > m_tenure)
    for (auto& [name, state] : m_states)
      state.granted_seen = 0;
  m_tenure = tenure;
  m_last_grants_at = now;
  for (const GrantLine& grant : grants)
  {
    const auto found = m_states.find(grant.account);
    if (found == m_states.end())
      continue;
    AccountState& state = found->second;
    const std::int64_t new_units = std::max<std::int64_t>(grant.granted - state.granted_seen, 0);
    state.granted_seen += new_units;
    state.available += static_cast<double>(new_units);
    state.local_fill_rate = static_cast<double>(std::max<std::int64_t>(grant.rate, 0));
    state.exhausted = grant.exhausted;
    state.exhausted_at = now;
  }
}

void LocalAllowances::NoteRefused(const AccountName& account, double cost)
{
  m_states[account].usage.refused += static_cast<std::int64_t>(cost);
}

std::map<AccountName, LocalAllowances::Usage> LocalAllowances::Totals() const
{
  std::map<AccountName, Usage> totals;
  for (const auto& [name, state] : m_states)
    totals[name] = state.usage;
  return totals;
}
} // namespace Accounts

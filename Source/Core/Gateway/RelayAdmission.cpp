// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Authentication of the caller and the limit of its account.

#include "Gateway/Relay.h"

#include <utility>

#include "Common/Log.h"
#include "Common/Text.h"
#include "Gateway/Dispatcher.h"

namespace Gateway
{
namespace
{
using Common::Milliseconds;

/// How long a request waits for units of its account's limit. The lease holder responds within some
/// 10 ms; without a holder, units become available by themselves within a second. In a replay with
/// the holder missing for 4.5 s, a value of 0.8 s refused 7 of 100 units that were within the
/// limit.
constexpr Milliseconds ALLOWANCE_TIMEOUT{1500};
/// Retry-After while the keys cannot be proven current: a store that cannot be reached is queried
/// about once a second.
constexpr Milliseconds RETRY_AFTER_UNPROVEN_KEYS{1000};
} // namespace

void Relay::TakeAllowance()
{
  if (!m_account_config || !m_account_config->limit.IsLimited())
  {
    FindServer();
    return;
  }
  m_cost = Accounts::CostOf(m_account_config->limit,
                            m_request.head.Find(m_dispatcher.Settings().names.token_counts));
  const auto verdict =
      m_dispatcher.Allowances().Take(*m_account_config, m_cost, Common::Now(), !m_awaits_allowance);
  if (verdict == Accounts::UsageVerdict::Granted)
  {
    m_charged = true;
    FindServer();
    return;
  }
  if (verdict != Accounts::UsageVerdict::Wait)
  {
    RefuseAllowance(verdict);
    return;
  }
  m_awaits_allowance = true;
  m_dispatcher.Allowances().BeginWait(m_account, m_cost);
  m_wait_timer.Start(ALLOWANCE_TIMEOUT, [this] {
    RefuseAllowance(Accounts::UsageVerdict::LimitExceeded);
  });
  m_dispatcher.ScheduleAllowanceRetry();
}

void Relay::RetryAllowance()
{
  if (!m_awaits_allowance)
    return;
  const auto guard = shared_from_this();
  const auto verdict =
      m_dispatcher.Allowances().Take(*m_account_config, m_cost, Common::Now(), false);
  if (verdict != Accounts::UsageVerdict::Granted)
    return;
  m_awaits_allowance = false;
  m_wait_timer.Stop();
  m_dispatcher.Allowances().EndWait(m_account, m_cost);
  m_charged = true;
  FindServer();
}

void Relay::RefuseAllowance(Accounts::UsageVerdict verdict)
{
  const auto guard = shared_from_this();
  m_dispatcher.Allowances().NoteRefused(m_account, m_cost);
  m_retry_after = m_dispatcher.Allowances().RetryDelay(*m_account_config, m_cost, Common::Now());
  if (verdict == Accounts::UsageVerdict::LimitExceeded)
    EndWith(Outcome::OverLimit, 429, "the account has used up its limit");
  else
    EndWith(Outcome::Refused, 503, "the account's limit cannot be checked");
}

void Relay::ReturnAllowance()
{
  if (std::exchange(m_awaits_allowance, false))
    m_dispatcher.Allowances().EndWait(m_account, m_cost);
  if (std::exchange(m_charged, false) && !MayHaveRun())
    m_dispatcher.Allowances().Refund(m_account, m_cost);
}

std::vector<std::string_view> Relay::Keys() const
{
  const std::string& name = m_dispatcher.Settings().names.key;
  std::vector<std::string_view> keys;
  for (const Http::HeaderField& field : m_request.head.headers)
    if (Http::EqualIgnoringCase(field.name, name))
      keys.push_back(Common::TrimTrailingBlanks(field.value));
  return keys;
}

bool Relay::AuthenticateCaller(const Configuration& configuration)
{
  const auto keys = Keys();
  const Accounts::Caller caller =
      Accounts::Identify(configuration.accounts.get(), m_route.open_to_all, keys);
  switch (caller.identity)
  {
  case Accounts::Identity::NotRequired:
    return true;
  case Accounts::Identity::Missing:
    Deny(401, "the request has no key");
    return false;
  case Accounts::Identity::Unknown:
    Deny(401, "the key belongs to no account");
    return false;
  case Accounts::Identity::Conflicting:
    Deny(400, "the request has several different keys");
    return false;
  case Accounts::Identity::Known:
    break;
  }
  m_account = caller.account->name;
  m_account_config =
      std::shared_ptr<const Accounts::Account>(configuration.accounts, caller.account);
  m_priority = caller.account->priority.value_or(m_route.priority);
  return VerifyKey();
}

bool Relay::VerifyKey()
{
  if (m_account.Empty())
    return true;
  const auto& accounts = m_dispatcher.CurrentConfiguration()->accounts;
  const auto keys = Keys();
  const Accounts::Account* account = accounts ? accounts->Find(keys.front()) : nullptr;
  if (accounts && (account == nullptr || account->name != m_account))
  {
    constexpr std::string_view WHY = "the key has been revoked";
    if (m_stream_begun || m_may_have_run)
      AttemptFailed(WHY, m_may_have_run);
    else
      Deny(401, WHY);
    return false;
  }
  const auto now = Common::Now();
  if (m_dispatcher.Keys().IsFresh(now))
    return true;
  const auto age = m_dispatcher.Keys().Age(now);
  m_retry_after = RETRY_AFTER_UNPROVEN_KEYS;
  Common::LogEvent(Common::LogLevel::Warning, "key-not-proven",
                   {{"id", m_id},
                    {"account", m_account},
                    {"configuration", m_dispatcher.CurrentConfiguration()->version},
                    {"proof_age_ms", age ? age->count() : -1}});
  AttemptFailed("the keys cannot be proven current", m_may_have_run);
  return false;
}

bool Relay::HasAllowedRegions() const
{
  return !m_route.allowed_regions.empty() ||
         (m_account_config && !m_account_config->allowed_regions.empty());
}

bool Relay::MayRunIn(const Common::RegionId& region) const
{
  const auto allows = [&](const std::set<Common::RegionId>& regions) {
    return regions.empty() || regions.contains(region);
  };
  return allows(m_route.allowed_regions) &&
         (!m_account_config || allows(m_account_config->allowed_regions));
}

void Relay::Deny(int status, std::string_view why)
{
  EndWith(Outcome::Denied, status, why);
}
} // namespace Gateway

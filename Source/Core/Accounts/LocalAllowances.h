// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "Accounts/Allowance.h"

namespace Accounts
{
/// Result of requesting units.
enum class UsageVerdict : std::uint8_t
{
  Granted,
  Wait,          ///< Not enough units here: the allocator may grant some, or some may flow in soon.
  LimitExceeded, ///< The account has exceeded its limit.
  Unchecked, ///< Not enough units here, and no allocator is reachable that could check the limit.
};

/// The units of each account's limit that this daemon may still spend. Has no I/O and no clock: the
/// time is a parameter.
///
/// While no allocator is reachable, this daemon adds units at its share of the account's rate, as
/// the last allocator announced it, for a few seconds: all daemons together stay within the rate,
/// and few requests are refused while an allocator is replaced. A daemon that has not reached any
/// allocator yet uses an equal share of the rate.
class LocalAllowances
{
public:
  void Configure(const UsageBound& bound) { m_bound = bound; }
  /// Sets the accounts of the current configuration. If a limit is lowered, the unspent units are
  /// reduced in proportion.
  void SetAccounts(std::shared_ptr<const Directory> accounts);
  /// Sets the maximum number of daemons, for equal shares of the rate.
  void SetDaemons(int daemons) { m_daemons = daemons; }

  /// Takes `cost` units, or returns why it cannot. `is_new`: this is the first attempt for the
  /// request.
  UsageVerdict Take(const Account& account, double cost, Common::TimePoint now, bool is_new);
  /// Returns the units of a request that did not run.
  void Refund(const AccountName& account, double cost);
  /// A request starts or stops waiting for units.
  void BeginWait(const AccountName& account, double cost);
  void EndWait(const AccountName& account, double cost);
  /// Returns after how long a refused request is likely to be accepted. Each refused request gets a
  /// later time than the previous one, so that they do not all return together.
  Common::Milliseconds RetryDelay(const Account& account, double cost, Common::TimePoint now);

  /// The tenure whose grants the report counts. An allocator with another tenure has granted none
  /// of them.
  std::int64_t Tenure() const { return m_tenure; }
  std::vector<AllowanceLine> Report(Common::TimePoint now);
  /// Applies grants of an allocator; those of older tenures and duplicates have no effect.
  void TakeGrants(std::int64_t tenure, std::span<const GrantLine> grants, Common::TimePoint now);

  struct Usage
  {
    std::int64_t asked = 0;   ///< Units that requests needed.
    std::int64_t refused = 0; ///< Units of refused requests.
  };
  void NoteRefused(const AccountName& account, double cost);
  /// Usage since the start of this process, by account.
  std::map<AccountName, Usage> Totals() const;

private:
  struct AccountState
  {
    double available = 0;
    double wanted = 0;
    std::int64_t granted_seen = 0; ///< Units received in the current tenure.
    DecayingRate demand;
    DecayingRate requests;
    /// Units per second of the account's rate, as last announced by the allocator.
    double local_fill_rate = 0;
    Common::TimePoint filled_at; ///< Time up to which this daemon has added units by itself.
    Common::TimePoint exhausted_at;
    bool exhausted = false;
    Common::TimePoint next_retry_at; ///< Retry time that the last refused request was given.
    Usage usage;
  };

  bool HasAllocatorContact(Common::TimePoint now) const;
  /// Units per second that this daemon adds while no allocator is reachable.
  double LocalFillRate(const AccountState& state, const UsageLimit& limit,
                       Common::TimePoint now) const;
  void Fill(AccountState& state, const UsageLimit& limit, Common::TimePoint now);
  const UsageLimit* LimitOf(const AccountName& account) const;

  UsageBound m_bound;
  std::shared_ptr<const Directory> m_accounts;
  int m_daemons = 1;
  std::int64_t m_tenure = 0;
  std::optional<Common::TimePoint>
      m_last_grants_at;                          ///< Time of the last message from the allocator.
  std::optional<Common::TimePoint> m_started_at; ///< Time of the first request.
  std::map<AccountName, AccountState> m_states;
};
} // namespace Accounts

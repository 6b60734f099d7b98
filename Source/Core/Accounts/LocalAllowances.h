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
/// What became of a request for units.
enum class UsageVerdict : std::uint8_t
{
  Taken,
  Ask,       ///< There are none here: the keeper may have some, or some may flow in soon.
  Over,      ///< The account has used up its limit.
  Unchecked, ///< There are none here, and no keeper is heard that could tell.
};

/// What this daemon may still spend of each account's limit. Pure: time comes as a parameter.
///
/// While no keeper is heard, units flow in at this daemon's part of the account's rate, as the last
/// keeper told it, for a few seconds: all daemons together stay within the rate, and a keeper that
/// is replaced is hardly noticed by callers. A daemon that has not heard
/// any keeper yet takes an equal share of the rate.
class LocalAllowances
{
public:
  void Configure(const UsageBound& bound) { m_bound = bound; }
  /// The accounts of the configuration in force. Where a limit falls, what is unspent falls too.
  void SetAccounts(std::shared_ptr<const Directory> accounts);
  /// All that may exist; for equal shares.
  void SetDaemons(int daemons) { m_daemons = daemons; }

  /// Takes `cost` units, or tells why not. `is_new`: not asked for before.
  UsageVerdict Take(const Account& account, double cost, Common::TimePoint now, bool is_new);
  /// The request did not run.
  void GiveBack(const AccountName& account, double cost);
  /// A request waits for units, or does so no longer.
  void BeginWait(const AccountName& account, double cost);
  void EndWait(const AccountName& account, double cost);
  /// After how long a request that was refused now is likely to be taken. Each one that is told so
  /// comes later than the one before, so that they do not return together.
  Common::Milliseconds ComeBackAfter(const Account& account, double cost, Common::TimePoint now);

  /// The tenure whose grants the report counts; a keeper of another has granted none of them.
  std::int64_t Tenure() const { return m_tenure; }
  std::vector<AllowanceLine> Report(Common::TimePoint now);
  /// Grants of a keeper; older tenures and repeated words give nothing.
  void TakeGrants(std::int64_t tenure, std::span<const GrantLine> grants, Common::TimePoint now);

  struct Usage
  {
    std::int64_t asked = 0;   ///< Units that requests asked for.
    std::int64_t refused = 0; ///< Of them, refused.
  };
  void NoteRefused(const AccountName& account, double cost);
  /// Since the start of this process, by account.
  std::map<AccountName, Usage> Totals() const;

private:
  struct Local
  {
    double available = 0;
    double wanted = 0;
    std::int64_t granted_seen = 0; ///< In the tenure.
    DecayingRate demand;
    DecayingRate requests;
    double own_rate = 0;         ///< Units a second of the account's rate, as the keeper told last.
    Common::TimePoint filled_at; ///< Up to when units have flowed in by themselves.
    Common::TimePoint exhausted_at;
    bool exhausted = false;
    Common::TimePoint next_return; ///< When the last refused request was told to come back.
    Usage usage;
  };

  bool HearsKeeper(Common::TimePoint now) const;
  /// Units a second that flow in while no keeper is heard.
  double OwnRate(const Local& local, const UsageLimit& limit, Common::TimePoint now) const;
  void Fill(Local& local, const UsageLimit& limit, Common::TimePoint now);
  const UsageLimit* LimitOf(const AccountName& account) const;

  UsageBound m_bound;
  std::shared_ptr<const Directory> m_accounts;
  int m_daemons = 1;
  std::int64_t m_tenure = 0;
  std::optional<Common::TimePoint> m_heard_at;   ///< The keeper's last word.
  std::optional<Common::TimePoint> m_started_at; ///< The first request.
  std::map<AccountName, Local> m_locals;
};
} // namespace Accounts

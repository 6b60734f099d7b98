// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "Accounts/Allowance.h"

namespace Accounts
{
/// The buckets of all accounts, at the daemon that holds the order lease. Pure: time comes as a
/// parameter.
///
/// Load patterns: usual demand, of which each daemon should hold the units of the next second or
/// two, so that no request waits for them; an account far over its limit, of which each daemon
/// should get units as its callers ask for them; an account with a request now and then at any
/// daemon, for which some units are kept back here.
class AllowanceKeeper
{
public:
  void Configure(const UsageBound& bound) { m_bound = bound; }
  /// A new tenure: the buckets are empty, since what the keeper before has granted is not known.
  void Begin(std::int64_t tenure);

  struct Reporter
  {
    Common::VmId vm;
    std::uint32_t run = 0;        ///< Of its process.
    std::int64_t tenure_seen = 0; ///< Of the keeper whose grants it counts.
  };
  /// What a daemon has and wants.
  void TakeReport(const Reporter& reporter, std::span<const AllowanceLine> lines,
                  Common::TimePoint now);
  /// Fills the buckets and hands out units of all accounts.
  void Allocate(const Directory& accounts, Common::TimePoint now);
  /// Hands out, from what the buckets hold, what requests wait for at one daemon.
  void AllocateWanted(const Directory& accounts, const Common::VmId& vm, Common::TimePoint now);
  std::vector<GrantLine> GrantsFor(const Common::VmId& vm) const;

private:
  struct Share
  {
    std::int64_t granted = 0; ///< In all.
    std::int64_t rate = 0;    ///< Its part of the account's rate.
    AllowanceLine told;       ///< As the daemon told last.
    Common::TimePoint told_at;

    void TakeLine(const AllowanceLine& line, Common::TimePoint now);
    /// Units that the daemon may hold: what it has told, and what it had not heard of by then.
    double Held() const
    {
      return static_cast<double>(told.available + granted - told.granted_seen);
    }
  };
  struct Bucket
  {
    double level = 0;
    Common::TimePoint filled_at;
    bool busy = false; ///< The demand of all daemons comes near the rate.
    bool exhausted = false;
    std::map<Common::VmId, Share> shares;
  };

  void Fill(Bucket& bucket, const UsageLimit& limit, Common::TimePoint now) const;
  void HandOut(Bucket& bucket, const UsageLimit& limit, Common::TimePoint now) const;
  static void Grant(Bucket& bucket, Share& share, double units);

  UsageBound m_bound;
  std::int64_t m_tenure = 0;
  std::map<Common::VmId, std::uint32_t> m_runs;
  std::map<AccountName, Bucket> m_buckets;
};
} // namespace Accounts

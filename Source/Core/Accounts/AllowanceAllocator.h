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
/// The token buckets of all accounts, at the daemon that holds the order lease. Has no I/O and no
/// clock: the time is a parameter.
///
/// Designed for three load patterns. Normal demand: each daemon should hold the units of the next
/// second or two, so that no request waits for them. An account far over its limit: each daemon
/// should get units as its callers request them. An account with occasional requests at any daemon:
/// some units are kept in the bucket for it.
class AllowanceAllocator
{
public:
  void Configure(const UsageBound& bound) { m_bound = bound; }
  /// Starts a new tenure, identified by the fence of the order lease. The buckets start empty,
  /// since the grants of the previous allocator are not known.
  void BeginTenure(std::int64_t tenure);

  struct Reporter
  {
    Common::VmId vm;
    std::uint32_t run = 0;        ///< Identifies the run of its process.
    std::int64_t tenure_seen = 0; ///< Tenure of the allocator whose grants it counts.
  };
  /// Handles a daemon's unspent and requested units.
  void ApplyReport(const Reporter& reporter, std::span<const AllowanceLine> lines,
                   Common::TimePoint now);
  /// Refills the buckets and grants units of all accounts.
  void Allocate(const Directory& accounts, Common::TimePoint now);
  /// Grants the units that requests at one daemon wait for, as far as the buckets have them.
  void AllocateWanted(const Directory& accounts, const Common::VmId& vm, Common::TimePoint now);
  std::vector<GrantLine> GrantsFor(const Common::VmId& vm) const;

private:
  struct Share
  {
    std::int64_t granted = 0;  ///< Total units granted.
    std::int64_t rate = 0;     ///< Its share of the account's rate.
    AllowanceLine last_report; ///< The daemon's last report.
    Common::TimePoint reported_at;

    void SetReport(const AllowanceLine& line, Common::TimePoint now);
    /// Units that the daemon may hold: those it reported, plus grants that it had not received by
    /// then.
    double Held() const
    {
      return static_cast<double>(last_report.available + granted - last_report.granted_seen);
    }
  };
  struct Bucket
  {
    double level = 0;
    Common::TimePoint filled_at;
    bool busy = false; ///< The demand of all daemons is close to the rate.
    bool exhausted = false;
    std::map<Common::VmId, Share> shares;
  };

  void Fill(Bucket& bucket, const UsageLimit& limit, Common::TimePoint now) const;
  void GrantUnits(Bucket& bucket, const UsageLimit& limit, Common::TimePoint now) const;
  static void Grant(Bucket& bucket, Share& share, double units);

  UsageBound m_bound;
  std::int64_t m_tenure = 0;
  std::map<Common::VmId, std::uint32_t> m_runs;
  std::map<AccountName, Bucket> m_buckets;
};
} // namespace Accounts

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Accounts/AllowanceAllocator.h"

#include <algorithm>
#include <cmath>

namespace Accounts
{
namespace
{
using Common::Milliseconds;

/// The fraction of the stock that the allocator grants or holds. The rest covers the units that
/// daemons add by themselves while no allocator is reachable, including daemons that are cut off
/// from a new allocator.
constexpr double GRANTABLE_FRACTION = 0.68;
/// Of that, the fraction that daemons hold for normal demand; the rest is kept for daemons that
/// request units.
constexpr double ADVANCE_FRACTION = 0.85;
/// Units are granted in advance for at most this many seconds of a daemon's demand: while an
/// allocator is replaced, there is none for up to 4.5 s, of which the first second is the time
/// until its loss is detected.
constexpr double MAX_ADVANCE_SECONDS = 3;
/// Weight of the mean demand of all daemons with demand when a daemon's demand is smoothed.
constexpr double MEAN_DEMAND_WEIGHT = 0.6;
/// From this fraction of the rate on, an account's demand counts as exceeding its limit.
constexpr double BUSY_SHARE = 0.9;
/// The unspent units of a daemon that has sent no report for this long are dropped, here and at the
/// daemon.
constexpr Milliseconds FORGET_AFTER{10000};
/// The demand of a daemon that has sent no report for this long is ignored.
constexpr Milliseconds DEMAND_VALID{ALLOCATOR_TIMEOUT + LOCAL_FILL_TIME};
/// Daemons add units by themselves until they have reached a new allocator, so its buckets start
/// below zero by this many seconds of the rate.
constexpr double INITIAL_DEFICIT_SECONDS = 0.5;
/// Maximum time for which a bucket is refilled at once, after this process was suspended.
constexpr Milliseconds MAX_FILL_TIME{1000};
} // namespace

void AllowanceAllocator::Share::SetReport(const AllowanceLine& line, Common::TimePoint now)
{
  last_report = line;
  last_report.available = std::max<std::int64_t>(line.available, 0);
  // A daemon without reports for a long time may have counted more grants than are recorded here.
  granted = std::max(granted, line.granted_seen);
  reported_at = now;
}

void AllowanceAllocator::BeginTenure(std::int64_t tenure)
{
  m_tenure = tenure;
  m_runs.clear();
  m_buckets.clear();
}

void AllowanceAllocator::ApplyReport(const Reporter& reporter, std::span<const AllowanceLine> lines,
                                     Common::TimePoint now)
{
  const Common::VmId& vm = reporter.vm;
  const auto known = m_runs.find(vm);
  if (known == m_runs.end() || known->second != reporter.run)
  {
    // Units that an earlier run held were lost with its process.
    for (auto& [account, bucket] : m_buckets)
      bucket.shares.erase(vm);
    m_runs[vm] = reporter.run;
  }
  // For accounts without a line the daemon holds no units and requests none.
  for (auto& [account, bucket] : m_buckets)
    if (const auto share = bucket.shares.find(vm); share != bucket.shares.end())
      share->second.SetReport({account, 0, share->second.granted, 0, 0, 0}, now);
  for (AllowanceLine line : lines)
  {
    if (reporter.tenure_seen != m_tenure)
      line.granted_seen = 0;
    m_buckets[line.account].shares[vm].SetReport(line, now);
  }
}

void AllowanceAllocator::Fill(Bucket& bucket, const UsageLimit& limit, Common::TimePoint now) const
{
  double held = 0;
  for (const auto& [vm, share] : bucket.shares)
    held += share.Held();
  const double room = std::max(GRANTABLE_FRACTION * MaxUnspentUnits(limit, m_bound) - held, 0.0);
  if (bucket.filled_at == Common::TimePoint())
    bucket.level = -limit.rate * INITIAL_DEFICIT_SECONDS;
  else
  {
    const auto since = std::min(now - bucket.filled_at, std::chrono::nanoseconds(MAX_FILL_TIME));
    // Daemons that do not reach this allocator may still add units by themselves.
    double local_fill_rate = 0;
    for (const auto& [vm, share] : bucket.shares)
      if (now - share.reported_at > ALLOCATOR_TIMEOUT &&
          now - share.reported_at <= ALLOCATOR_TIMEOUT + LOCAL_FILL_TIME + ALLOCATOR_TIMEOUT)
        local_fill_rate += static_cast<double>(share.rate);
    const double rate = std::max(limit.rate - local_fill_rate, 0.0);
    bucket.level += rate * std::chrono::duration<double>(since).count();
  }
  bucket.filled_at = now;
  bucket.level = std::min(bucket.level, room);
}

void AllowanceAllocator::Grant(Bucket& bucket, Share& share, double units)
{
  const double whole = std::floor(std::min(units, bucket.level));
  if (whole <= 0)
    return;
  share.granted += static_cast<std::int64_t>(whole);
  bucket.level -= whole;
}

void AllowanceAllocator::GrantUnits(Bucket& bucket, const UsageLimit& limit,
                                    Common::TimePoint now) const
{
  const auto is_fresh = [now](const Share& share) {
    return now - share.reported_at <= DEMAND_VALID;
  };
  double demand = 0;
  double needed = 0;
  int requesters = 0;
  for (const auto& [vm, share] : bucket.shares)
  {
    if (!is_fresh(share))
      continue;
    demand += static_cast<double>(share.last_report.demand);
    requesters += share.last_report.demand > 0 ? 1 : 0;
    needed += std::max(static_cast<double>(share.last_report.wanted) - share.Held(), 0.0);
  }
  // The reported demand, smoothed towards the mean: with few requests it is mostly random.
  const double mean = requesters > 0 ? demand / requesters : 0;
  const auto smoothed_demand = [&](const Share& share) {
    const auto reported = static_cast<double>(share.last_report.demand);
    return reported > 0 ? (1 - MEAN_DEMAND_WEIGHT) * reported + MEAN_DEMAND_WEIGHT * mean : 0.0;
  };
  for (auto& [vm, share] : bucket.shares)
    if (is_fresh(share) && demand > 0)
      share.rate = static_cast<std::int64_t>(limit.rate * smoothed_demand(share) / demand);
  // First grant the units that requests wait for, then units in advance of requests.
  const double level = std::max(bucket.level, 0.0);
  const double granted_fraction = needed > level ? level / needed : 1;
  for (auto& [vm, share] : bucket.shares)
    if (is_fresh(share))
      Grant(bucket, share,
            granted_fraction *
                std::max(static_cast<double>(share.last_report.wanted) - share.Held(), 0.0));
  bucket.busy = demand >= BUSY_SHARE * limit.rate;
  bucket.exhausted = granted_fraction < 1 && bucket.busy;
  if (demand <= 0)
    return;
  const double ahead =
      std::min(ADVANCE_FRACTION * GRANTABLE_FRACTION * MaxUnspentUnits(limit, m_bound) / demand,
               MAX_ADVANCE_SECONDS);
  const auto missing = [&](const Share& share) {
    // Units for only part of a request are useless: a daemon with rare requests gets units when it
    // requests them.
    const double target = ahead * smoothed_demand(share);
    const bool is_useful = target >= static_cast<double>(share.last_report.mean_cost);
    return is_useful ? std::max(target - share.Held(), 0.0) : 0.0;
  };
  double total_missing = 0;
  for (const auto& [vm, share] : bucket.shares)
    total_missing += is_fresh(share) ? missing(share) : 0;
  const double left = std::max(bucket.level, 0.0);
  const double advance_fraction = total_missing > left ? left / total_missing : 1;
  for (auto& [vm, share] : bucket.shares)
    if (is_fresh(share))
      Grant(bucket, share, advance_fraction * missing(share));
}

void AllowanceAllocator::Allocate(const Directory& accounts, Common::TimePoint now)
{
  for (const Account& account : accounts.All())
  {
    if (!account.limit.IsLimited())
      continue;
    Bucket& bucket = m_buckets[account.name];
    std::erase_if(bucket.shares, [now](const auto& entry) {
      return now - entry.second.reported_at > FORGET_AFTER;
    });
    Fill(bucket, account.limit, now);
    GrantUnits(bucket, account.limit, now);
  }
}

void AllowanceAllocator::AllocateWanted(const Directory& accounts, const Common::VmId& vm,
                                        Common::TimePoint now)
{
  for (const Account& account : accounts.All())
  {
    const auto found = m_buckets.find(account.name);
    if (found == m_buckets.end() || !account.limit.IsLimited())
      continue;
    Bucket& bucket = found->second;
    const auto share = bucket.shares.find(vm);
    if (share == bucket.shares.end() || share->second.last_report.wanted <= 0)
      continue;
    Fill(bucket, account.limit, now);
    const double needed =
        std::max(static_cast<double>(share->second.last_report.wanted) - share->second.Held(), 0.0);
    bucket.exhausted = needed > bucket.level && bucket.busy;
    Grant(bucket, share->second, needed);
  }
}

std::vector<GrantLine> AllowanceAllocator::GrantsFor(const Common::VmId& vm) const
{
  std::vector<GrantLine> grants;
  for (const auto& [account, bucket] : m_buckets)
  {
    const auto share = bucket.shares.find(vm);
    if (share != bucket.shares.end())
      grants.push_back({account, share->second.granted, share->second.rate, bucket.exhausted});
  }
  return grants;
}
} // namespace Accounts

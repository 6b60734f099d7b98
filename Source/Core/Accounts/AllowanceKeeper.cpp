// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Accounts/AllowanceKeeper.h"

#include <algorithm>
#include <cmath>

namespace Accounts
{
namespace
{
using Common::Milliseconds;

/// The fraction of the stock that the keeper grants or holds. The rest covers the units that
/// daemons add by themselves while no keeper is reachable, including daemons that are cut off from
/// a new keeper.
constexpr double KEPT_SHARE = 0.68;
/// Of that, the fraction that daemons hold for normal demand; the rest is kept for daemons that
/// request units.
constexpr double AHEAD_SHARE = 0.85;
/// Units are granted in advance for at most this many seconds of a daemon's demand: while a keeper
/// is replaced, there is none for up to 4.5 s, of which the first second is the time until its
/// silence is noticed.
constexpr double AHEAD_SECONDS = 3;
/// Weight of the mean demand of all daemons with demand when a daemon's demand is smoothed.
constexpr double DRAWN_TO_MEAN = 0.6;
/// From this fraction of the rate on, an account's demand counts as exceeding its limit.
constexpr double BUSY_SHARE = 0.9;
/// The unspent units of a daemon that is silent for this long are dropped, here and at the daemon.
constexpr Milliseconds FORGET_AFTER{10000};
/// The demand of a daemon that is silent for this long is ignored.
constexpr Milliseconds DEMAND_VALID{KEEPER_SILENCE + OWN_FLOW};
/// Daemons add units by themselves until they have reached a new keeper, so its buckets start below
/// zero by this many seconds of the rate.
constexpr double UNHEARD_S = 0.5;
/// Maximum time for which a bucket is refilled at once, after this process was suspended.
constexpr Milliseconds LONGEST_FILL{1000};
} // namespace

void AllowanceKeeper::Share::TakeLine(const AllowanceLine& line, Common::TimePoint now)
{
  told = line;
  told.available = std::max<std::int64_t>(line.available, 0);
  // A daemon that was silent for long may have counted more grants than are remembered here.
  granted = std::max(granted, line.granted_seen);
  told_at = now;
}

void AllowanceKeeper::Begin(std::int64_t tenure)
{
  m_tenure = tenure;
  m_runs.clear();
  m_buckets.clear();
}

void AllowanceKeeper::TakeReport(const Reporter& reporter, std::span<const AllowanceLine> lines,
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
      share->second.TakeLine({account, 0, share->second.granted, 0, 0, 0}, now);
  for (AllowanceLine line : lines)
  {
    if (reporter.tenure_seen != m_tenure)
      line.granted_seen = 0;
    m_buckets[line.account].shares[vm].TakeLine(line, now);
  }
}

void AllowanceKeeper::Fill(Bucket& bucket, const UsageLimit& limit, Common::TimePoint now) const
{
  double held = 0;
  for (const auto& [vm, share] : bucket.shares)
    held += share.Held();
  const double room = std::max(KEPT_SHARE * StockOf(limit, m_bound) - held, 0.0);
  if (bucket.filled_at == Common::TimePoint())
    bucket.level = -limit.rate * UNHEARD_S;
  else
  {
    const auto since = std::min(now - bucket.filled_at, std::chrono::nanoseconds(LONGEST_FILL));
    // Daemons that do not reach this keeper may still add units by themselves.
    double elsewhere = 0;
    for (const auto& [vm, share] : bucket.shares)
      if (now - share.told_at > KEEPER_SILENCE &&
          now - share.told_at <= KEEPER_SILENCE + OWN_FLOW + KEEPER_SILENCE)
        elsewhere += static_cast<double>(share.rate);
    const double rate = std::max(limit.rate - elsewhere, 0.0);
    bucket.level += rate * std::chrono::duration<double>(since).count();
  }
  bucket.filled_at = now;
  bucket.level = std::min(bucket.level, room);
}

void AllowanceKeeper::Grant(Bucket& bucket, Share& share, double units)
{
  const double whole = std::floor(std::min(units, bucket.level));
  if (whole <= 0)
    return;
  share.granted += static_cast<std::int64_t>(whole);
  bucket.level -= whole;
}

void AllowanceKeeper::HandOut(Bucket& bucket, const UsageLimit& limit, Common::TimePoint now) const
{
  const auto is_fresh = [now](const Share& share) {
    return now - share.told_at <= DEMAND_VALID;
  };
  double demand = 0;
  double needed = 0;
  int askers = 0;
  for (const auto& [vm, share] : bucket.shares)
  {
    if (!is_fresh(share))
      continue;
    demand += static_cast<double>(share.told.demand);
    askers += share.told.demand > 0 ? 1 : 0;
    needed += std::max(static_cast<double>(share.told.wanted) - share.Held(), 0.0);
  }
  // The reported demand, smoothed towards the mean: with few requests it is mostly random.
  const double mean = askers > 0 ? demand / askers : 0;
  const auto smoothed = [&](const Share& share) {
    const auto told = static_cast<double>(share.told.demand);
    return told > 0 ? (1 - DRAWN_TO_MEAN) * told + DRAWN_TO_MEAN * mean : 0.0;
  };
  for (auto& [vm, share] : bucket.shares)
    if (is_fresh(share) && demand > 0)
      share.rate = static_cast<std::int64_t>(limit.rate * smoothed(share) / demand);
  // First grant the units that requests wait for, then units in advance of requests.
  const double level = std::max(bucket.level, 0.0);
  const double part = needed > level ? level / needed : 1;
  for (auto& [vm, share] : bucket.shares)
    if (is_fresh(share))
      Grant(bucket, share,
            part * std::max(static_cast<double>(share.told.wanted) - share.Held(), 0.0));
  bucket.busy = demand >= BUSY_SHARE * limit.rate;
  bucket.exhausted = part < 1 && bucket.busy;
  if (demand <= 0)
    return;
  const double ahead =
      std::min(AHEAD_SHARE * KEPT_SHARE * StockOf(limit, m_bound) / demand, AHEAD_SECONDS);
  const auto missing = [&](const Share& share) {
    // Units for only part of a request are useless: a daemon with rare requests gets units when it
    // requests them.
    const double target = ahead * smoothed(share);
    const bool worth_it = target >= static_cast<double>(share.told.mean_cost);
    return worth_it ? std::max(target - share.Held(), 0.0) : 0.0;
  };
  double missing_in_all = 0;
  for (const auto& [vm, share] : bucket.shares)
    missing_in_all += is_fresh(share) ? missing(share) : 0;
  const double left = std::max(bucket.level, 0.0);
  const double given = missing_in_all > left ? left / missing_in_all : 1;
  for (auto& [vm, share] : bucket.shares)
    if (is_fresh(share))
      Grant(bucket, share, given * missing(share));
}

void AllowanceKeeper::Allocate(const Directory& accounts, Common::TimePoint now)
{
  for (const Account& account : accounts.All())
  {
    if (!account.limit.IsLimited())
      continue;
    Bucket& bucket = m_buckets[account.name];
    std::erase_if(bucket.shares, [now](const auto& entry) {
      return now - entry.second.told_at > FORGET_AFTER;
    });
    Fill(bucket, account.limit, now);
    HandOut(bucket, account.limit, now);
  }
}

void AllowanceKeeper::AllocateWanted(const Directory& accounts, const Common::VmId& vm,
                                     Common::TimePoint now)
{
  for (const Account& account : accounts.All())
  {
    const auto found = m_buckets.find(account.name);
    if (found == m_buckets.end() || !account.limit.IsLimited())
      continue;
    Bucket& bucket = found->second;
    const auto share = bucket.shares.find(vm);
    if (share == bucket.shares.end() || share->second.told.wanted <= 0)
      continue;
    Fill(bucket, account.limit, now);
    const double needed =
        std::max(static_cast<double>(share->second.told.wanted) - share->second.Held(), 0.0);
    bucket.exhausted = needed > bucket.level && bucket.busy;
    Grant(bucket, share->second, needed);
  }
}

std::vector<GrantLine> AllowanceKeeper::GrantsFor(const Common::VmId& vm) const
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

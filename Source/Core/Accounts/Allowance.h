// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cmath>
#include <cstdint>

#include "Accounts/Directory.h"
#include "Common/Units.h"

/// Distribution of a client account's limit, which applies to all daemons together, among the
/// daemons.
///
/// The daemon that holds the order lease keeps a token bucket for each account and grants units to
/// the daemons, which spend them without a call for each request. The use in a window is then
/// bounded without any daemon knowing the use of the others: by the units that were granted or in
/// the bucket at the start of the window (the stock), plus the units that flow into the bucket
/// during the window.
///
/// Alternatives considered: equal shares of the rate need no communication, but refuse most
/// requests of an account whose callers connect to only a few daemons. Shares of the rate by
/// demand, each with an expiry, need a record of who may still hold an older share, which is lost
/// with its allocator. Units that are granted once need no such record: a new allocator starts with
/// an empty bucket and learns the unspent units from the reports.
namespace Accounts
{
/// An allocator from which nothing arrived for this long counts as lost; it sends to each daemon
/// twice within this time.
constexpr Common::Milliseconds ALLOCATOR_TIMEOUT{900};
/// After the allocator is lost, each daemon adds units by itself for this long: a lease that was
/// not released becomes free after about 3 s and is acquired within another second.
constexpr Common::Milliseconds LOCAL_FILL_TIME{4000};

/// How far an account's use may exceed its limit in any window.
struct UsageBound
{
  Common::Milliseconds window{8000};
  double tolerance = 0; ///< Share of what the limit allows in the window.
  double slack = 0;     ///< Units on top.

  bool operator==(const UsageBound&) const = default;
};

/// Maximum number of unspent units in the bucket and at the daemons: what the bound allows in a
/// window beyond the account's rate.
inline double MaxUnspentUnits(const UsageLimit& limit, const UsageBound& bound)
{
  const double window_s = std::chrono::duration<double>(bound.window).count();
  return limit.burst + bound.tolerance * (limit.rate * window_s + limit.burst) + bound.slack;
}

/// Exponentially weighted moving average of an amount per second.
class DecayingRate
{
public:
  void Add(double amount, Common::TimePoint now)
  {
    m_sum = SumAt(now) + amount;
    m_at = now;
  }
  double At(Common::TimePoint now) const { return SumAt(now) / TIME_CONSTANT_S; }

private:
  /// Long enough that an account with a request a second at a daemon has a steady rate. With 4 s,
  /// daemons without a recent request were left without units, and 6 of 100 requests were refused
  /// in a replay in which there was no holder for 4.5 s.
  static constexpr double TIME_CONSTANT_S = 8;

  double SumAt(Common::TimePoint now) const
  {
    const double age_s = std::chrono::duration<double>(now - m_at).count();
    return m_sum * std::exp(-std::max(age_s, 0.0) / TIME_CONSTANT_S);
  }

  double m_sum = 0;
  Common::TimePoint m_at;
};

/// A daemon's report about one account.
struct AllowanceLine
{
  AccountName account;
  std::int64_t available = 0;    ///< Unspent units.
  std::int64_t granted_seen = 0; ///< Total units received from the allocator.
  std::int64_t demand = 0;       ///< Units per second that requests need.
  std::int64_t wanted = 0;       ///< Units that waiting requests need now.
  std::int64_t mean_cost = 0;    ///< Mean units per request.

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(account, available, granted_seen, demand, wanted, mean_cost);
  }
};

/// The allocator's grant to a daemon for one account.
struct GrantLine
{
  AccountName account;
  /// Total units granted to this run of the daemon in the allocator's tenure.
  std::int64_t granted = 0;
  std::int64_t rate = 0; ///< The daemon's share of the account's rate, by its demand.
  /// Demand exceeds the rate, and the bucket cannot serve the waiting requests.
  bool exhausted = false;

  bool operator==(const GrantLine&) const = default;
  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(account, granted, rate, exhausted);
  }
};
} // namespace Accounts

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cmath>
#include <cstdint>

#include "Accounts/Directory.h"
#include "Common/Units.h"

/// How the limit of a client account, which holds over all daemons together, is divided among them.
///
/// The daemon that holds the order lease keeps a token bucket for each account and hands out units
/// to the daemons, which spend them without asking for each request. What may be spent in a window
/// is then bounded without any daemon knowing the others' use: by the units that were handed out or
/// lay in the bucket at its beginning (the stock) and by what flows into the bucket meanwhile.
///
/// Weighed: equal shares of the rate, which need no talk, refuse most of an account whose callers
/// come to a few daemons; shares of the rate by demand, each with an end, need a book of who may
/// still hold an older share, which is lost with its keeper. Units that are handed out once need
/// none: a new keeper starts with an empty bucket and learns what is unspent from the reports.
namespace Accounts
{
/// A keeper that is silent for so long is missed; it speaks to each daemon twice in this span.
constexpr Common::Milliseconds KEEPER_SILENCE{900};
/// So long units flow in by themselves from then on: a lease that was not given back is free after
/// about 3 s and taken within another.
constexpr Common::Milliseconds OWN_FLOW{4000};

/// By how much an account's use may exceed its limit in any window.
struct UsageBound
{
  Common::Milliseconds window{8000};
  double tolerance = 0; ///< Share of what the limit allows in the window.
  double slack = 0;     ///< Units on top.

  bool operator==(const UsageBound&) const = default;
};

/// Units that may be unspent at once, in the bucket and at the daemons: what the bound allows in a
/// window beyond the account's rate.
inline double StockOf(const UsageLimit& limit, const UsageBound& bound)
{
  const double window_s = std::chrono::duration<double>(bound.window).count();
  return limit.burst + bound.tolerance * (limit.rate * window_s + limit.burst) + bound.slack;
}

/// An amount per second, as the mean over the last seconds, newer ones counting more.
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
  /// Long enough that an account with a request a second at a daemon has a steady rate: with 4 s
  /// daemons that had no request lately were left without units, and 6 of 100 requests were refused
  /// in a replay with a holder that is missed for 4.5 s.
  static constexpr double TIME_CONSTANT_S = 8;

  double SumAt(Common::TimePoint now) const
  {
    const double age_s = std::chrono::duration<double>(now - m_at).count();
    return m_sum * std::exp(-std::max(age_s, 0.0) / TIME_CONSTANT_S);
  }

  double m_sum = 0;
  Common::TimePoint m_at;
};

/// What a daemon tells of one account.
struct AllowanceLine
{
  AccountName account;
  std::int64_t available = 0;    ///< Unspent units.
  std::int64_t granted_seen = 0; ///< Of the units that the keeper has granted, in all.
  std::int64_t demand = 0;       ///< Units a second that requests ask for.
  std::int64_t wanted = 0;       ///< Units for which requests wait now.
  std::int64_t mean_cost = 0;    ///< Units of one request, in the mean.

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(account, available, granted_seen, demand, wanted, mean_cost);
  }
};

/// What the keeper grants a daemon of one account.
struct GrantLine
{
  AccountName account;
  std::int64_t granted = 0; ///< In all, to this run of the daemon, since the keeper began.
  std::int64_t rate = 0;    ///< The daemon's part of the account's rate, by its demand.
  bool exhausted = false;   ///< More is asked for than flows in, and requests wait in vain.

  bool operator==(const GrantLine&) const = default;
  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(account, granted, rate, exhausted);
  }
};
} // namespace Accounts

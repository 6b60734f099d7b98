// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <deque>
#include <map>

#include "Common/Units.h"
#include "Gateway/Types.h"

namespace Gateway
{
/// The bound on retries that all daemons together keep.
struct RetryBudgetSettings
{
  double ratio = 0.2;                 ///< Retries allowed per first request.
  double slack = 10;                  ///< Additional retries allowed, for all daemons together.
  Common::Milliseconds window{10000}; ///< Period over which both are counted.
};

/// This daemon's share of the retry budget of each pool. Daemons share the budget without
/// communication: the ratio applies to each daemon's own requests, and the slack is divided by the
/// number of daemons.
class RetryBudget
{
public:
  void Configure(const RetryBudgetSettings& settings) { m_settings = settings; }
  void SetDaemons(int count) { m_daemons = count; }
  /// Sets a number from 0 to 1, drawn once by each daemon, that is added to its share before that
  /// is rounded down. With more daemons than retries no share reaches a whole one; so some daemons
  /// get one and the sum stays the same.
  void SetRounding(double rounding) { m_rounding = rounding; }

  void NoteRequest(const PoolId& pool, Common::TimePoint now);
  /// Uses up one retry; false if the budget does not allow it.
  bool Take(const PoolId& pool, Common::TimePoint now);
  /// Retries that are allowed now.
  double Left(const PoolId& pool, Common::TimePoint now);

private:
  struct Counts
  {
    std::deque<Common::TimePoint> requests;
    std::deque<Common::TimePoint> retries;
  };
  Counts& PrunedCounts(const PoolId& pool, Common::TimePoint now);

  RetryBudgetSettings m_settings;
  int m_daemons = 1;
  double m_rounding = 0;
  std::map<PoolId, Counts> m_counts;
};
} // namespace Gateway

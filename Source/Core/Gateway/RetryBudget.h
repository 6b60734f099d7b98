// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <deque>
#include <map>

#include "Common/Units.h"
#include "Gateway/Types.h"

namespace Gateway
{
/// The bound on repeats that all daemons keep together.
struct RetryBudgetSettings
{
  double ratio = 0.2;                 ///< Repeats for each first request.
  double slack = 10;                  ///< Repeats that are free, over all daemons.
  Common::Milliseconds window{10000}; ///< Over which both are counted.
};

/// This daemon's part of the retry budget of each pool. Daemons share the budget without talking:
/// the ratio applies to each one's own requests, and the slack is divided by their number.
class RetryBudget
{
public:
  void Configure(const RetryBudgetSettings& settings) { m_settings = settings; }
  void SetDaemons(int count) { m_daemons = count; }

  void NoteRequest(const PoolId& pool, Common::TimePoint now);
  /// Takes one repeat; false where the budget does not allow it.
  bool Take(const PoolId& pool, Common::TimePoint now);
  /// Repeats that could be taken now.
  double Left(const PoolId& pool, Common::TimePoint now);

private:
  struct Counts
  {
    std::deque<Common::TimePoint> requests;
    std::deque<Common::TimePoint> repeats;
  };
  Counts& Fresh(const PoolId& pool, Common::TimePoint now);

  RetryBudgetSettings m_settings;
  int m_daemons = 1;
  std::map<PoolId, Counts> m_counts;
};
} // namespace Gateway

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <unordered_map>

#include "Common/Units.h"

namespace Decisions
{
/// Estimates the speeds of the servers of one pool from the response times of this daemon's
/// requests, relative to the mean of the pool.
class ServerSpeeds
{
public:
  /// `took`: time from sending the request to the end of the response. Only for successful
  /// requests: a fast error does not show a fast server.
  void NoteResponse(const Common::VmId& server, Common::Milliseconds took, Common::TimePoint now);

  /// 1: average, above 1: faster. 1 if nothing recent is known.
  double SpeedOf(const Common::VmId& server, Common::TimePoint now) const;

private:
  struct Estimate
  {
    double took_ms = 0; ///< Weighted average of the response times.
    double weight = 0;  ///< Number of responses behind it, decayed to `updated`.
    Common::TimePoint updated;
  };

  static double DecayedWeight(const Estimate& estimate, Common::TimePoint now);

  Estimate m_pool;
  std::unordered_map<Common::VmId, Estimate> m_servers;
};
} // namespace Decisions

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Decisions/ServerSpeeds.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Decisions
{
namespace
{
/// Time in which the weight of a response halves. Longer than the time between two responses of
/// one server at a daemon with little traffic, short enough to follow a server that slows down.
constexpr double HALF_LIFE_S = 10;
/// An estimate never counts as more than this number of responses, so that new ones keep a share.
constexpr double LONGEST_MEMORY = 16;
/// Number of average responses that each estimate is mixed with. One response that waited in the
/// server's queue must not make the server appear slow.
constexpr double PRIOR_RESPONSES = 2;
constexpr double SLOWEST = 0.05;
constexpr double FASTEST = 20;
} // namespace

double ServerSpeeds::DecayedWeight(const Estimate& estimate, Common::TimePoint now)
{
  const std::chrono::duration<double> age = std::max(now - estimate.updated, {});
  return estimate.weight * std::exp2(-age.count() / HALF_LIFE_S);
}

void ServerSpeeds::NoteResponse(const Common::VmId& server, Common::Milliseconds took,
                                Common::TimePoint now)
{
  const double took_ms = std::max(1.0, static_cast<double>(took.count()));
  const auto add = [&](Estimate& estimate, double longest_memory) {
    const double weight = std::min(DecayedWeight(estimate, now), longest_memory);
    estimate.took_ms = (estimate.took_ms * weight + took_ms) / (weight + 1);
    estimate.weight = weight + 1;
    estimate.updated = std::max(estimate.updated, now);
  };
  add(m_servers[server], LONGEST_MEMORY);
  add(m_pool, LONGEST_MEMORY * static_cast<double>(m_servers.size()));
}

double ServerSpeeds::SpeedOf(const Common::VmId& server, Common::TimePoint now) const
{
  const auto known = m_servers.find(server);
  if (known == m_servers.end())
    return 1;
  const double weight = DecayedWeight(known->second, now);
  const double relative_time = known->second.took_ms / m_pool.took_ms;
  const double mixed = (relative_time * weight + PRIOR_RESPONSES) / (weight + PRIOR_RESPONSES);
  return std::clamp(1 / mixed, SLOWEST, FASTEST);
}
} // namespace Decisions

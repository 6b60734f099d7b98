// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Measures the cost of the choice of a server by place shares at a daemon, and of the routing by
// totals for comparison.

#include <benchmark/benchmark.h>

#include "Common/Random.h"
#include "Decisions/PlaceShares.h"
#include "Decisions/Routing.h"
#include "Decisions/ServerSpeeds.h"

namespace
{
using namespace Decisions;

constexpr std::size_t DAEMONS = 300;
constexpr int SLOTS = 3;
/// Requests of the daemon that are open at the same time.
constexpr std::size_t OPEN_REQUESTS = 8;

std::vector<ShareCandidate> Candidates(std::size_t servers)
{
  std::vector<ShareCandidate> candidates;
  for (std::size_t i = 0; i < servers; ++i)
    candidates.push_back({Common::VmId("server-of-a-pool-" + std::to_string(1000 + i)), SLOTS, 1, 0,
                          SLOTS + 12, true});
  return candidates;
}

/// One choice, with the speeds of all servers as the gateway looks them up.
void ChooseByPlaceShares(benchmark::State& state)
{
  auto candidates = Candidates(state.range(0));
  const Common::TimePoint now = Common::BootClock::now();
  ServerSpeeds speeds;
  for (const ShareCandidate& candidate : candidates)
    speeds.NoteResponse(candidate.server, Common::Milliseconds(120), now);
  PlaceShares shares;
  shares.SetDaemons(7, DAEMONS);
  std::vector<std::size_t> open(OPEN_REQUESTS, 0);
  std::size_t oldest = 0;
  for (std::size_t& server : open)
    ++candidates[server].own_running;
  for (auto round : state)
  {
    for (ShareCandidate& candidate : candidates)
      candidate.speed = speeds.SpeedOf(candidate.server, now);
    const std::size_t chosen = *shares.Choose(candidates, now);
    --candidates[open[oldest]].own_running;
    ++candidates[chosen].own_running;
    open[oldest] = chosen;
    oldest = (oldest + 1) % open.size();
  }
}

/// A choice after the list of servers or daemons has changed.
void ChooseAfterChange(benchmark::State& state)
{
  const auto candidates = Candidates(state.range(0));
  PlaceShares shares;
  std::size_t rank = 0;
  for (auto round : state)
  {
    shares.SetDaemons(++rank % DAEMONS, DAEMONS);
    benchmark::DoNotOptimize(shares.Choose(candidates, {}));
  }
}

void ChooseByTotals(benchmark::State& state)
{
  std::vector<RouteCandidate> candidates;
  for (const ShareCandidate& candidate : Candidates(state.range(0)))
    candidates.push_back({candidate.server, true, 2, 0, candidate.limit});
  Common::Random random(1);
  const AffinityRouting routing;
  for (auto round : state)
    benchmark::DoNotOptimize(routing.Choose(candidates, {}, random));
}

/// Argument: servers.
BENCHMARK(ChooseByPlaceShares)->Arg(12)->Arg(300);
BENCHMARK(ChooseAfterChange)->Arg(12)->Arg(300);
BENCHMARK(ChooseByTotals)->Arg(12)->Arg(300);
} // namespace

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// What one daemon's message costs the holder while many servers have a limit.

#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "RateLimits/PermitKeeper.h"

namespace
{
using namespace RateLimits;

constexpr std::int64_t DAEMONS = 330;
constexpr std::int64_t WANTS_A_DAEMON = 8;

void HolderTakesAWant(benchmark::State& state)
{
  const std::int64_t servers = state.range(0);
  auto now = Common::BootClock::now();
  PermitKeeper keeper;
  std::vector<PermitKeeper::KnownLimit> limits;
  for (std::int64_t i = 0; i < servers; ++i)
    limits.push_back({ServerKey(i), RequestRate(THOUSANDTHS), Common::DataCentreId("a")});
  keeper.SetLimits(limits, now);
  std::int64_t message = 0;
  for (auto _ : state)
  {
    // Each daemon asks about seven times a second.
    now += std::chrono::microseconds(450);
    const std::int64_t daemon = ++message % DAEMONS;
    std::vector<PermitWant> wants;
    for (std::int64_t i = 0; i < WANTS_A_DAEMON; ++i)
      wants.push_back({ServerKey((daemon * 7 + i) % servers), 1, 5, 1000});
    keeper.TakeWants({Common::VmId(std::to_string(daemon)), Common::DataCentreId("a")}, wants, now);
    benchmark::DoNotOptimize(keeper.HandOut(now));
    benchmark::DoNotOptimize(keeper.NextAt(now));
  }
}
BENCHMARK(HolderTakesAWant)->Arg(10)->Arg(200);
} // namespace

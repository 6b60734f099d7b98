// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Measures the cost for the holder of the order lease to process one daemon's demand for permits
// while many servers have a rate limit.

#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "RateLimits/PermitAllocator.h"

namespace
{
using namespace RateLimits;

constexpr std::int64_t DAEMONS = 330;
constexpr std::int64_t DEMANDS_PER_DAEMON = 8;

void UpdateDemandAndGrantPermits(benchmark::State& state)
{
  const std::int64_t servers = state.range(0);
  auto now = Common::BootClock::now();
  PermitAllocator allocator;
  std::vector<PermitAllocator::KnownLimit> limits;
  for (std::int64_t i = 0; i < servers; ++i)
    limits.push_back({ServerKey(i), RequestRate(THOUSANDTHS), Common::DataCentreId("a")});
  allocator.SetLimits(limits, now);
  std::int64_t message = 0;
  for (auto _ : state)
  {
    // One message every 450 us from 330 daemons: each sends about seven per second.
    now += std::chrono::microseconds(450);
    const std::int64_t daemon = ++message % DAEMONS;
    std::vector<PermitDemand> demands;
    for (std::int64_t i = 0; i < DEMANDS_PER_DAEMON; ++i)
      demands.push_back({ServerKey((daemon * 7 + i) % servers), 1, 5, 1000});
    allocator.UpdateDemand({Common::VmId(std::to_string(daemon)), Common::DataCentreId("a")},
                           demands, now);
    benchmark::DoNotOptimize(allocator.GrantPermits(now));
    benchmark::DoNotOptimize(allocator.NextGrantAt(now));
  }
}
BENCHMARK(UpdateDemandAndGrantPermits)->Arg(10)->Arg(200);
} // namespace

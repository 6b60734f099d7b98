// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "StandIns/OverloadedServers/OpenLoopCallers.h"

#include <random>
#include <utility>

#include "Common/Loop.h"

namespace OverloadedServers
{
namespace
{
using Common::Milliseconds;

constexpr Milliseconds TICK{5};
/// Shorter, because a burst at each tick would itself be uneven load.
constexpr Milliseconds POISSON_TICK{1};
/// How long callers wait for a response.
constexpr Milliseconds PATIENCE{4000};
/// Callers notice the end of their patience a little later than the daemon.
constexpr Http::CallTimeouts TIMEOUTS{PATIENCE + Milliseconds(300), Milliseconds(1000)};
} // namespace

OpenLoopCallers::OpenLoopCallers(Common::Random random, Surroundings surroundings,
                                 std::size_t clump, Arrivals arrivals)
    : m_random(random),
      m_surroundings(std::move(surroundings)),
      m_clump(clump),
      m_arrivals(arrivals)
{
}

void OpenLoopCallers::Start()
{
  m_ticked_at = Common::Now();
  m_gap = NextGap();
  Tick();
}

double OpenLoopCallers::NextGap()
{
  return m_arrivals == Arrivals::Even ? 1 : std::exponential_distribution<>()(m_random);
}

void OpenLoopCallers::Tick()
{
  const auto now = Common::Now();
  m_due += m_surroundings.rate() *
           std::chrono::duration<double>(now - std::exchange(m_ticked_at, now)).count();
  const auto vms = m_surroundings.vms();
  const auto clump = static_cast<double>(m_clump);
  while (m_due >= m_gap * clump)
  {
    m_due -= m_gap * clump;
    m_gap = NextGap();
    if (vms.empty())
      continue;
    const std::size_t vm = vms[m_random() % vms.size()];
    for (std::size_t i = 0; i < m_clump; ++i)
      Send(vm);
  }
  m_timer.Start(m_arrivals == Arrivals::Even ? TICK : POISSON_TICK, [this] {
    Tick();
  });
}

Http::Channel& OpenLoopCallers::ChannelTo(std::size_t vm)
{
  auto& channel = m_channels[vm];
  if (!channel)
    channel = std::make_unique<Http::Channel>(m_surroundings.endpoint(vm));
  return *channel;
}

void OpenLoopCallers::Send(std::size_t vm)
{
  const Http::CompleteRequest request{
      "POST",
      m_surroundings.paths[++m_last_id % m_surroundings.paths.size()],
      {{"Host", "h"},
       {"Attempt-Id", "r" + std::to_string(m_last_id)},
       {"Time-Left-Ms", std::to_string(PATIENCE.count())}},
      "body " + std::to_string(m_last_id)};
  ChannelTo(vm).Call(
      request, TIMEOUTS,
      [this, vm, sent_at = Common::Now()](const Common::Result<Http::CompleteResponse>& response) {
        const auto took = std::chrono::duration_cast<Milliseconds>(Common::Now() - sent_at);
        m_ended.push_back({vm, sent_at, took, response ? response->status : 0});
      });
}
} // namespace OverloadedServers

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Requests that wait for a place at a brittle server, or are refused because places are free too
// late.

#include "Gateway/Dispatcher.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>
#include <set>
#include <utility>

#include <xxhash.h>

#include "Common/Log.h"
#include "Common/Random.h"

namespace Gateway
{
namespace
{
using Common::Milliseconds;

/// This VM's share of the rejections per second that a server bears is at least this, so that the
/// server is not left without requests for longer than a few seconds.
constexpr double MIN_REJECTION_SHARE = 0.2;
/// A request waits only if its expected wait is below this share of the longest one: the estimate
/// leaves out the time in which places change hands.
constexpr double ADMITTED_SHARE_OF_WAIT = 0.8;
/// The most servers that one demand lists.
constexpr std::size_t MAX_SERVERS_PER_DEMAND = 16;
} // namespace

void Dispatcher::ApplyRejectionBound(const ServerPtr& server)
{
  Backoff& backoff = server->GetBackoff();
  const auto& bound = server->RejectionBound();
  Common::LogEvent(Common::LogLevel::Info, "server-rejection-limit",
                   {{"instance", server->Entry().instance}, {"per_second", bound.value_or(-1)}});
  if (!bound)
  {
    backoff.SetRejectionPause(std::nullopt);
    return;
  }
  const double share = std::max(*bound / m_daemons, MIN_REJECTION_SHARE);
  constexpr double MS_PER_S = 1000;
  backoff.SetRejectionPause(Milliseconds(std::llround(MS_PER_S / share)));
}

RateLimits::PlaceGroup Dispatcher::PlaceGroupOf(const Relay& relay)
{
  const std::string name = relay.SelectedPool().Get() + "/" + relay.RequestedArtifact().ToString();
  return RateLimits::PlaceGroup(static_cast<std::int64_t>(XXH3_64bits(name.data(), name.size())));
}

std::vector<ServerPtr> Dispatcher::BrittleServersFor(const Relay& relay,
                                                     Common::TimePoint now) const
{
  std::vector<ServerPtr> servers;
  std::ranges::copy_if(m_brittle.All(), std::back_inserter(servers), [&](const ServerPtr& server) {
    return IsEligible(relay, *server, now);
  });
  return servers;
}

int Dispatcher::CountWaitingBefore(const Relay& relay) const
{
  return static_cast<int>(std::ranges::count_if(m_relays, [&](const auto& entry) {
    const Relay& other = *entry.second;
    return &other != &relay && other.IsWaiting() && other.SelectedPool() == relay.SelectedPool() &&
           other.RequestedArtifact() == relay.RequestedArtifact() && RanksBefore(other, relay);
  }));
}

RateLimits::PlaceReport Dispatcher::MakePlaceReport()
{
  RateLimits::PlaceReport report;
  if (m_brittle.All().empty())
    return report;
  const auto now = Common::Now();
  report.held = m_brittle.TakeHeld(now);
  std::map<std::pair<RateLimits::PlaceGroup, std::vector<ServerPtr>>, RateLimits::PlaceDemand>
      demands;
  for (const auto& relay : WaitingRelays())
  {
    auto servers = BrittleServersFor(*relay, now);
    if (servers.empty())
      continue;
    const auto group = PlaceGroupOf(*relay);
    const auto left = relay->WaitLeft(now).count();
    const auto [found, is_new] = demands.try_emplace({group, std::move(servers)});
    RateLimits::PlaceDemand& demand = found->second;
    demand.group = group;
    demand.expires_in_ms = is_new ? left : std::min(demand.expires_in_ms, left);
    demand.priority = std::min(demand.priority, relay->Priority());
    ++demand.count;
  }
  for (auto& [key, demand] : demands)
  {
    std::vector<ServerPtr> sampled;
    std::ranges::sample(key.second, std::back_inserter(sampled), MAX_SERVERS_PER_DEMAND,
                        Common::SharedRandom());
    std::ranges::transform(sampled, std::back_inserter(demand.servers), &Server::Key);
    report.demands.push_back(std::move(demand));
  }
  if (!report.demands.empty())
    m_brittle.Places().NoteDemand(now);
  report.needs_reply = m_brittle.Places().IsWithoutHolder();
  return report;
}

void Dispatcher::ApplyPlaceReply(std::span<const RateLimits::PlaceQueue> queues)
{
  m_brittle.SetQueues(queues, Common::Now());
  ScheduleRecheck();
}

std::optional<EarlyRefusal> Dispatcher::CheckPlaceQueue(const Relay& relay,
                                                        const std::vector<ServerPtr>& servers,
                                                        Milliseconds longest_wait)
{
  const auto now = Common::Now();
  const auto group = PlaceGroupOf(relay);
  const int before = CountWaitingBefore(relay);
  const double share = relay.IsWaiting() ? 1 : ADMITTED_SHARE_OF_WAIT;
  if (m_brittle.ExpectedWait(group, servers, before, now) <= longest_wait * share)
    return std::nullopt;
  return EarlyRefusal{m_brittle.RetryDelay(group, servers, before, now),
                      "the queue for the brittle servers is too long", nullptr};
}

void Dispatcher::RecheckPlaceQueues()
{
  std::set<PoolId> pools;
  for (const ServerPtr& server : m_brittle.All())
    pools.insert(server->Entry().pool);
  if (pools.empty())
    return;
  for (const auto& relay : WaitingRelays())
    if (pools.contains(relay->SelectedPool()))
      relay->RecheckWait();
}

void Dispatcher::ReportPlaces()
{
  if (!m_brittle.All().empty() && m_on_permit_demand)
    m_on_permit_demand();
}
} // namespace Gateway

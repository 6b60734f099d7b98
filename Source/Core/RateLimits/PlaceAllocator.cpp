// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "RateLimits/PlaceAllocator.h"

#include <algorithm>
#include <tuple>

namespace RateLimits
{
namespace
{
using Common::Milliseconds;

/// After the start of a tenure daemons report the places that they hold within this time, and the
/// replies have made those stop that used places without a holder.
constexpr Milliseconds COLLECTION_TIME{500};
/// A daemon that holds or wants places reports several times in this span. One that does not was
/// stopped, suspended or cut off, and the term of its places has ended.
constexpr Milliseconds REPORT_TIMEOUT{1300};
/// Validity of a demand, which is reported twice in this time.
constexpr Milliseconds DEMAND_VALID{400};
/// A grant that has not been applied within this time was lost. The daemon drops it if it arrives
/// later than PLACE_TERM.
constexpr Milliseconds GRANT_TIMEOUT = PLACE_TERM + Milliseconds(100);
} // namespace

void PlaceAllocator::Begin(Common::TimePoint now)
{
  m_daemons.clear();
  m_servers.clear();
  Pause(now);
}

void PlaceAllocator::Pause(Common::TimePoint now)
{
  m_open_at = now + COLLECTION_TIME;
}

bool PlaceAllocator::IsOpen(Common::TimePoint now) const
{
  return now >= m_open_at;
}

void PlaceAllocator::SetServers(std::span<const KnownServer> servers)
{
  m_servers.clear();
  for (const KnownServer& known : servers)
    m_servers[known.server].places = known.places;
}

void PlaceAllocator::UpdateReport(const Common::VmId& vm, std::int64_t tenure,
                                  const PlaceReport& report, Common::TimePoint now)
{
  if (report.Empty() && !m_daemons.contains(vm))
    return;
  Daemon& daemon = m_daemons[vm];
  daemon.report = report;
  daemon.reported_at = now;
  if (report.applied_tenure == tenure)
    std::erase_if(daemon.sent, [&](const SentGrant& grant) {
      return grant.number != 0 && grant.number <= report.applied_number;
    });
}

void PlaceAllocator::DropOld(Common::TimePoint now)
{
  std::erase_if(m_daemons, [now](const auto& entry) {
    return now - entry.second.reported_at > REPORT_TIMEOUT;
  });
  for (auto& [vm, daemon] : m_daemons)
    std::erase_if(daemon.sent, [now](const SentGrant& grant) {
      return now - grant.at > GRANT_TIMEOUT;
    });
}

void PlaceAllocator::CountTaken()
{
  for (auto& [key, server] : m_servers)
    server.taken = 0;
  const auto take = [this](ServerKey key, std::uint32_t count) {
    if (const auto server = m_servers.find(key); server != m_servers.end())
      server->second.taken += count;
  };
  for (const auto& [vm, daemon] : m_daemons)
  {
    for (const HeldPlaces& held : daemon.report.held)
      take(held.server, held.count);
    for (const SentGrant& grant : daemon.sent)
      take(grant.server, grant.count);
  }
}

std::vector<PlaceAllocator::OpenDemand> PlaceAllocator::OpenDemands(Common::TimePoint now)
{
  std::vector<OpenDemand> open;
  for (auto& [vm, daemon] : m_daemons)
  {
    if (now - daemon.reported_at > DEMAND_VALID)
      continue;
    for (PlaceDemand& demand : daemon.report.demands)
    {
      if (demand.count > 0)
        open.push_back({&vm, &demand, daemon.reported_at + Milliseconds(demand.expires_in_ms)});
    }
  }
  std::ranges::sort(open, {}, [](const OpenDemand& demand) {
    return std::tuple(demand.demand->priority, demand.expires_at);
  });
  return open;
}

PlaceAllocator::Place* PlaceAllocator::MostFree(const PlaceDemand& demand, ServerKey* server)
{
  Place* best = nullptr;
  for (const ServerKey key : demand.servers)
  {
    const auto found = m_servers.find(key);
    if (found == m_servers.end() || found->second.Free() == 0 ||
        (best != nullptr && found->second.Free() <= best->Free()))
      continue;
    best = &found->second;
    *server = key;
  }
  return best;
}

std::vector<Grant> PlaceAllocator::GrantPlaces(Common::TimePoint now)
{
  DropOld(now);
  CountTaken();
  const bool any_free = std::ranges::any_of(m_servers, [](const auto& entry) {
    return entry.second.Free() > 0;
  });
  if (!any_free || !IsOpen(now))
    return {};
  std::vector<Grant> grants;
  auto open = OpenDemands(now);
  // One place each in turn, so that a daemon with many requests leaves some to the others.
  while (!open.empty())
    std::erase_if(open, [&](OpenDemand& entry) {
      ServerKey key;
      Place* place = MostFree(*entry.demand, &key);
      if (place == nullptr)
        return true;
      ++place->taken;
      grants.push_back({*entry.vm, key, 1});
      m_daemons.at(*entry.vm).sent.push_back({key, 1, 0, now});
      return --entry.demand->count == 0;
    });
  return grants;
}

void PlaceAllocator::NoteSent(const Common::VmId& vm, std::uint64_t number)
{
  const auto daemon = m_daemons.find(vm);
  if (daemon == m_daemons.end())
    return;
  for (SentGrant& grant : daemon->second.sent)
    if (grant.number == 0)
      grant.number = number;
}

std::vector<PlaceQueue> PlaceAllocator::QueuesOf(const Common::VmId& vm,
                                                 Common::TimePoint now) const
{
  const auto own = m_daemons.find(vm);
  if (own == m_daemons.end())
    return {};
  std::vector<PlaceQueue> queues;
  for (const PlaceDemand& demand : own->second.report.demands)
  {
    PlaceQueue queue{demand.group, 0, 0};
    for (const ServerKey key : demand.servers)
      if (const auto server = m_servers.find(key); server != m_servers.end())
        queue.places += server->second.places;
    queues.push_back(queue);
  }
  for (const auto& [other, daemon] : m_daemons)
  {
    if (other == vm || now - daemon.reported_at > DEMAND_VALID)
      continue;
    for (const PlaceDemand& demand : daemon.report.demands)
      for (PlaceQueue& queue : queues)
        queue.waiting_elsewhere += queue.group == demand.group ? demand.count : 0;
  }
  return queues;
}
} // namespace RateLimits

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Where requests may run: evacuated data centres, the regions of routes and client accounts, and
// cold servers.

#include "Gateway/Dispatcher.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include "Common/Log.h"

namespace Gateway
{
namespace
{
using Common::DataCentreId;
using Common::Milliseconds;

/// Retry-After of a request that no server may take until the operators change something. When that
/// will be is not known.
constexpr Milliseconds NO_SERVER_RETRY_AFTER{2000};
} // namespace

void Dispatcher::SetEvacuations(std::set<DataCentreId> data_centres)
{
  const std::set<DataCentreId> before = m_servers.Evacuated();
  if (data_centres == before)
    return;
  m_servers.SetEvacuated(data_centres);
  std::set<ServerPtr> evacuated;
  for (const auto& [instance, server] : m_servers.All())
    if (server->IsEvacuated())
      evacuated.insert(server);
  for (const DataCentreId& data_centre : data_centres)
  {
    if (before.contains(data_centre))
      continue;
    const auto servers = std::ranges::count_if(evacuated, [&](const ServerPtr& server) {
      return server->Entry().data_centre == data_centre;
    });
    const bool is_known = servers > 0 || m_settings.regions.contains(data_centre);
    Common::LogEvent(is_known ? Common::LogLevel::Info : Common::LogLevel::Error, "evacuation",
                     {{"data_centre", data_centre},
                      {"known", is_known},
                      {"servers", servers},
                      {"servers_left", m_servers.All().size() - evacuated.size()}});
  }
  for (const DataCentreId& data_centre : before)
    if (!data_centres.contains(data_centre))
    {
      Common::LogEvent(Common::LogLevel::Info, "evacuation-ended", {{"data_centre", data_centre}});
      AssumeCold(data_centre);
    }
  const auto relays = m_relays;
  for (const auto& [key, relay] : relays)
  {
    relay->WithdrawUnsent(evacuated, "the server's data centre is evacuated");
    relay->RecheckWait();
  }
  ReportDemand();
}

void Dispatcher::BeginEvacuation(const DataCentreId& data_centre)
{
  std::set<DataCentreId> data_centres = m_servers.Evacuated();
  data_centres.insert(data_centre);
  SetEvacuations(std::move(data_centres));
}

void Dispatcher::EndEvacuation(const DataCentreId& data_centre)
{
  std::set<DataCentreId> data_centres = m_servers.Evacuated();
  data_centres.erase(data_centre);
  SetEvacuations(std::move(data_centres));
}

void Dispatcher::ConfigureColdRates()
{
  std::map<PoolId, RateLimits::RequestRate> rates;
  for (const auto& [id, pool] : m_configuration->pools)
    if (pool.cold_rate)
      rates[id] = *pool.cold_rate;
  m_limited.SetColdRates(std::move(rates));
}

void Dispatcher::AssumeCold(const DataCentreId& data_centre)
{
  if (!m_configuration)
    return;
  const auto now = Common::Now();
  for (const auto& [instance, server] : m_servers.All())
  {
    const auto pool = m_configuration->pools.find(server->Entry().pool);
    if (server->Entry().data_centre != data_centre || pool == m_configuration->pools.end())
      continue;
    server->Cold().NoteLeft(pool->second.cold_period, now);
    m_limited.RefreshServer(server);
  }
}

bool Dispatcher::MayRunAt(const Relay& relay, const Server& server) const
{
  if (!relay.MayContinueAt(server.Entry()))
    return false;
  if (m_parts.StatusOf(relay.PromptParts(), server.Entry().version.Get(), Common::Now()).blocked)
    return false;
  if (!relay.HasAllowedRegions())
    return true;
  const auto region = m_settings.regions.find(server.Entry().data_centre);
  return region != m_settings.regions.end() && relay.MayRunIn(region->second);
}

std::optional<std::set<SoftwareVersion>> Dispatcher::VersionsFor(const Relay& relay) const
{
  std::set<SoftwareVersion> required;
  if (relay.IsBoundToVersion())
  {
    for (const ServerPtr& server : m_servers.InPool(relay.SelectedPool()))
      if (relay.MayContinueAt(server->Entry()))
        required.insert(server->Entry().version);
    if (required.empty())
      return std::nullopt;
  }
  if (m_crashes.Empty() || relay.PromptParts().ids.empty())
    return required;
  std::set<SoftwareVersion> allowed = required;
  if (required.empty())
    for (const ServerPtr& server : m_servers.InPool(relay.SelectedPool()))
      allowed.insert(server->Entry().version);
  const auto now = Common::Now();
  const auto blocked = std::erase_if(allowed, [&](const SoftwareVersion& version) {
    return m_parts.StatusOf(relay.PromptParts(), version.Get(), now).blocked;
  });
  if (blocked == 0)
    return required;
  return allowed.empty() ? std::nullopt : std::optional(std::move(allowed));
}

std::optional<DemandKey> Dispatcher::DemandOf(const Relay& relay) const
{
  auto versions = VersionsFor(relay);
  if (!versions)
    return std::nullopt;
  DemandKey key{relay.SelectedPool(), relay.RequestedArtifact(), {*std::move(versions), {}}};
  if (!relay.HasAllowedRegions())
    return key;
  std::set<Common::RegionId>& regions = key.constraint.regions;
  std::ranges::copy_if(std::views::values(m_settings.regions),
                       std::inserter(regions, regions.end()), [&](const Common::RegionId& region) {
                         return relay.MayRunIn(region);
                       });
  return regions.empty() ? std::nullopt : std::optional(std::move(key));
}

std::optional<EarlyRefusal> Dispatcher::CheckNoServerAllowed(const Relay& relay) const
{
  if (!relay.HasAllowedRegions() && !relay.IsBoundToVersion() && m_servers.Evacuated().empty())
    return std::nullopt;
  const auto now = Common::Now();
  bool any_in_pool = false;
  bool any_of_version = false;
  bool any_in_region = false;
  bool any_drained = false;
  for (const auto& [instance, server] : m_servers.All())
  {
    if (server->Entry().pool != relay.SelectedPool())
      continue;
    any_in_pool = true;
    any_of_version = any_of_version || relay.MayContinueAt(server->Entry());
    if (!MayRunAt(relay, *server))
      continue;
    any_in_region = true;
    const bool has_drained =
        relay.IsBoundToVersion() && server->IsDraining() && !server->AcceptsRequests(now);
    any_drained = any_drained || has_drained;
    if (!server->IsEvacuated() && !has_drained)
      return std::nullopt;
  }
  if (!any_in_pool)
    return std::nullopt;
  if (!any_of_version)
    return EarlyRefusal{NO_SERVER_RETRY_AFTER,
                        "no server has the software version that began the stream"};
  if (any_drained)
    return EarlyRefusal{NO_SERVER_RETRY_AFTER,
                        "the servers with the software version that began the stream have drained"};
  return EarlyRefusal{NO_SERVER_RETRY_AFTER,
                      any_in_region ? "the operators have evacuated all servers"
                                    : "no server is in a region where the request may run"};
}
} // namespace Gateway

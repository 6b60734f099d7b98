// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/ServerPaths.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include "Common/Log.h"
#include "Common/Loop.h"
#include "Common/Random.h"

namespace Gateway
{
namespace
{
using Common::Milliseconds;
using Outcome = ConnectionProbe::Outcome;

/// Servers that this VM must fail to reach before it is considered isolated.
constexpr std::size_t ISOLATED_SERVERS = 2;
/// This VM is not isolated, nor cut off, while a server has responded directly within this time.
constexpr Milliseconds DIRECT_SUCCESS_VALID{1000};
/// Failed connections that are older are no evidence any more.
constexpr Milliseconds FAILURE_VALID{3000};
/// How long a helper that failed is not asked again.
constexpr Milliseconds HELPER_PAUSE{1000};
/// Interval between direct probes while servers are reached through helpers.
constexpr Milliseconds DIRECT_PROBE_INTERVAL{250};
/// Direct probes that are started at once.
constexpr std::ptrdiff_t MAX_PROBES_AT_ONCE = 16;
/// Minimum time between two checks of the direct path to the same server.
constexpr Milliseconds DIRECT_CHECK_INTERVAL{1000};
/// The helpers among which one is picked: the first usable ones, which are the preferred ones.
constexpr std::size_t HELPERS_IN_USE = 4;

bool IsRecent(const std::optional<Common::TimePoint>& at, Common::TimePoint now)
{
  return at && now - *at < DIRECT_SUCCESS_VALID;
}

/// True if this VM fails to reach so many servers that the reason probably lies with the VM.
bool IsEnoughToBeIsolated(std::ptrdiff_t failing, const ServerDirectory& servers)
{
  const auto needed = std::min(ISOLATED_SERVERS, servers.All().size());
  return failing > 0 && failing >= static_cast<std::ptrdiff_t>(needed);
}

template <typename T>
const T& PickRandom(const std::vector<T>& items)
{
  return items[static_cast<std::size_t>(Common::SharedRandom()() % items.size())];
}
} // namespace

ServerPaths::ServerPaths(const ServerDirectory& servers) : m_servers(servers) {}

void ServerPaths::SetHelpers(std::vector<Http::Endpoint> helpers)
{
  m_helpers = std::move(helpers);
}

bool ServerPaths::IsUsable(const Http::Endpoint& helper, Common::TimePoint now) const
{
  const auto failed = m_failed_helpers.find(helper);
  return failed == m_failed_helpers.end() || now - failed->second >= HELPER_PAUSE;
}

bool ServerPaths::HasUsableHelper(Common::TimePoint now) const
{
  return std::ranges::any_of(m_helpers, [&](const Http::Endpoint& helper) {
    return IsUsable(helper, now);
  });
}

std::optional<Http::Endpoint> ServerPaths::PickHelper(Common::TimePoint now) const
{
  std::vector<Http::Endpoint> usable;
  for (const Http::Endpoint& helper : m_helpers)
    if (usable.size() < HELPERS_IN_USE && IsUsable(helper, now))
      usable.push_back(helper);
  return usable.empty() ? std::nullopt : std::optional(PickRandom(usable));
}

bool ServerPaths::NeedsHelper(const Server& server) const
{
  if (m_isolated)
    return true;
  const auto path = m_paths.find(server.Entry().instance);
  return path != m_paths.end() && path->second.needs_helper;
}

std::optional<Http::Endpoint> ServerPaths::HelperFor(const Server& server, Common::TimePoint now)
{
  return NeedsHelper(server) ? PickHelper(now) : std::nullopt;
}

bool ServerPaths::HasPath(const Server& server, Common::TimePoint now) const
{
  return !NeedsHelper(server) || HasUsableHelper(now);
}

bool ServerPaths::NoteDirectFailure(const ServerPtr& server, ProbeHandler on_outcome)
{
  const auto now = Common::Now();
  DropRemovedServers();
  Path& path = m_paths[server->Entry().instance];
  path.failed_at = now;
  path.failed_here_at = now;
  const bool is_probing = path.helper_probe || ProbeThroughHelper(server);
  if (is_probing && on_outcome)
    path.helper_probe_handlers.push_back(std::move(on_outcome));
  UpdateIsolation(now);
  return is_probing;
}

void ServerPaths::NoteDirectResponse(Common::TimePoint now, bool is_new_connection)
{
  m_response_at = now;
  // A connection that was made before a partition may still work when new ones do not.
  if (is_new_connection)
    m_connected_at = now;
  SetReachesNone(false);
}

void ServerPaths::NoteTunnelFailure(const ServerPtr& server)
{
  const auto now = Common::Now();
  DropRemovedServers();
  m_paths[server->Entry().instance].failed_here_at = now;
  UpdateIsolation(now);
}

void ServerPaths::NoteHelperFailure(const Http::Endpoint& helper, Common::TimePoint now)
{
  std::erase_if(m_failed_helpers, [now](const auto& entry) {
    return now - entry.second >= HELPER_PAUSE;
  });
  m_failed_helpers[helper] = now;
  UpdateIsolation(now);
}

bool ServerPaths::ProbeThroughHelper(const ServerPtr& server, int attempts)
{
  const auto helper = PickHelper(Common::Now());
  if (!helper)
    return false;
  m_paths[server->Entry().instance].helper_probe = std::make_unique<ConnectionProbe>(
      *helper, server->TunnelRequest(),
      [this, server, attempts, helper = *helper](Outcome outcome) {
        if (outcome == Outcome::HelperFailed)
          NoteHelperFailure(helper, Common::Now());
        // A connection that ends at once may mean that the helper's path is broken, too.
        const bool tries_another =
            outcome == Outcome::HelperFailed || (outcome == Outcome::Broken && attempts > 1);
        if (tries_another && ProbeThroughHelper(server, attempts - 1))
          return;
        OnHelperProbe(server, outcome);
      });
  return true;
}

void ServerPaths::OnHelperProbe(const ServerPtr& server, Outcome outcome)
{
  const auto found = m_paths.find(server->Entry().instance);
  if (found == m_paths.end())
    return;
  const auto probe = std::move(found->second.helper_probe);
  const auto handlers = std::exchange(found->second.helper_probe_handlers, {});
  ApplyHelperProbe(server, found->second, outcome);
  for (const ProbeHandler& on_outcome : handlers)
    on_outcome(outcome);
}

void ServerPaths::ApplyHelperProbe(const ServerPtr& server, Path& path, Outcome outcome)
{
  if (outcome == Outcome::Refused || outcome == Outcome::Broken || outcome == Outcome::Inconclusive)
    // Connections from elsewhere do not work either.
    path.failed_at.reset();
  if (outcome != Outcome::Accepted || !path.failed_at || path.needs_helper)
    return;
  path.needs_helper = true;
  Common::LogEvent(
      Common::LogLevel::Warning, "server-path-lost",
      {{"instance", server->Entry().instance}, {"data_centre", server->Entry().data_centre}});
  ForgetDirectPath(*server);
  UpdateIsolation(Common::Now());
  SurveyOtherServers(Common::Now());
  ProbeDirectPaths();
  if (m_on_usable)
    m_on_usable(server);
}

void ServerPaths::ForgetDirectPath(Server& server)
{
  // What failed on the direct path does not show that the server failed.
  server.Health() = {};
  server.DropIdleConnections();
}

void ServerPaths::CheckDirectPath(const ServerPtr& server, Common::TimePoint now)
{
  if (m_helpers.empty() || NeedsHelper(*server))
    return;
  DropRemovedServers();
  Path& path = m_paths[server->Entry().instance];
  if (path.direct_probe || now - path.checked_at < DIRECT_CHECK_INTERVAL)
    return;
  path.checked_at = now;
  ProbeDirectly(server);
}

void ServerPaths::ProbeDirectly(const ServerPtr& server)
{
  Path& path = m_paths[server->Entry().instance];
  if (path.direct_probe)
    return;
  path.direct_probe = std::make_unique<ConnectionProbe>(
      server->Entry().endpoint, ConnectionProbe::PATH_HOLD_TIME, [this, server](Outcome outcome) {
        OnDirectProbe(server, outcome);
      });
}

void ServerPaths::OnDirectProbe(const ServerPtr& server, Outcome outcome)
{
  const auto found = m_paths.find(server->Entry().instance);
  if (found == m_paths.end())
    return;
  const auto probe = std::move(found->second.direct_probe);
  if (outcome == Outcome::Accepted)
    UseDirectPath(server);
  else if (!found->second.needs_helper)
    NoteDirectFailure(server);
}

void ServerPaths::UseDirectPath(const ServerPtr& server)
{
  NoteDirectResponse(Common::Now(), true);
  Path& path = m_paths[server->Entry().instance];
  path.failed_at.reset();
  path.failed_here_at.reset();
  if (std::exchange(path.needs_helper, false))
  {
    Common::LogEvent(Common::LogLevel::Info, "server-path-restored",
                     {{"instance", server->Entry().instance}});
    // The tunnels are not needed any more.
    server->DropIdleConnections();
    if (m_on_usable)
      m_on_usable(server);
  }
  if (!m_isolated)
    return;
  SetIsolated(false);
  std::ptrdiff_t probes = 0;
  for (auto& [instance, other] : m_paths)
    if (other.needs_helper && probes++ < MAX_PROBES_AT_ONCE)
      if (const ServerPtr needed = m_servers.Find(instance))
        ProbeDirectly(needed);
}

void ServerPaths::SetIsolated(bool isolated)
{
  m_isolated = isolated;
  Common::LogEvent(Common::LogLevel::Warning, "vm-isolated", {{"isolated", isolated}});
  for (const auto& [instance, server] : m_servers.All())
    if (isolated)
      ForgetDirectPath(*server);
    else
      server->DropIdleConnections();
  if (m_on_isolation_change)
    m_on_isolation_change();
}

void ServerPaths::SetReachesNone(bool reaches_none)
{
  if (std::exchange(m_reaches_none, reaches_none) == reaches_none)
    return;
  Common::LogEvent(Common::LogLevel::Warning, "vm-reaches-no-server",
                   {{"reaches_none", reaches_none}});
  if (reaches_none)
    ProbeDirectPaths();
  if (m_on_isolation_change)
    m_on_isolation_change();
}

bool ServerPaths::AllFail(std::optional<Common::TimePoint> Path::*failed_at,
                          Common::TimePoint now) const
{
  const auto failing = std::ranges::count_if(m_paths, [&](const auto& entry) {
    const Path& path = entry.second;
    return path.needs_helper || (path.*failed_at && now - *(path.*failed_at) < FAILURE_VALID);
  });
  return IsEnoughToBeIsolated(failing, m_servers) && !IsRecent(m_connected_at, now) &&
         !IsRecent(m_response_at, now);
}

void ServerPaths::SurveyOtherServers(Common::TimePoint now)
{
  if (now - m_surveyed_at < DIRECT_SUCCESS_VALID)
    return;
  m_surveyed_at = now;
  std::vector<ServerPtr> others;
  for (const auto& [instance, server] : m_servers.All())
    if (!NeedsHelper(*server))
      others.push_back(server);
  std::vector<ServerPtr> chosen;
  std::ranges::sample(others, std::back_inserter(chosen), MAX_PROBES_AT_ONCE,
                      Common::SharedRandom());
  for (const ServerPtr& server : chosen)
    ProbeDirectly(server);
}

void ServerPaths::UpdateIsolation(Common::TimePoint now)
{
  const auto needing = std::ranges::count_if(m_paths, [](const auto& entry) {
    return entry.second.needs_helper;
  });
  if (!m_isolated && IsEnoughToBeIsolated(needing, m_servers) && !IsRecent(m_connected_at, now))
    SetIsolated(true);
  // The failure of the only server there is shows nothing about this VM.
  if (m_servers.All().size() >= ISOLATED_SERVERS && AllFail(&Path::failed_here_at, now))
    SetReachesNone(true);
  const bool cut_off = IsCutOff(now);
  if (std::exchange(m_was_cut_off, cut_off) == cut_off)
    return;
  Common::LogEvent(Common::LogLevel::Warning, "vm-cut-off", {{"cut_off", cut_off}});
  if (m_on_isolation_change)
    m_on_isolation_change();
}

bool ServerPaths::IsCutOff(Common::TimePoint now) const
{
  if (m_helpers.empty() || HasUsableHelper(now))
    return false;
  return AllFail(&Path::failed_at, now);
}

void ServerPaths::ProbeDirectPaths()
{
  if (m_probe_timer.Running())
    return;
  m_probe_timer.Start(DIRECT_PROBE_INTERVAL, [this] {
    DropRemovedServers();
    std::vector<ServerPtr> candidates;
    for (const auto& [instance, path] : m_paths)
      if (const ServerPtr server = m_servers.Find(instance); server && path.needs_helper)
        candidates.push_back(server);
    if (ReachesNoServer())
      std::ranges::copy(std::views::values(m_servers.All()), std::back_inserter(candidates));
    if (!candidates.empty())
      ProbeDirectly(PickRandom(candidates));
    // While this VM reaches no server, servers may be added that have to be probed.
    if (ReachesNoServer() || !candidates.empty())
      ProbeDirectPaths();
  });
}

void ServerPaths::DropRemovedServers()
{
  std::erase_if(m_paths, [this](const auto& entry) {
    return !m_servers.Find(entry.first);
  });
}
} // namespace Gateway

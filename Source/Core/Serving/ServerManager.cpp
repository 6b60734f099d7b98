// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Serving/ServerManager.h"

#include <algorithm>

#include "Common/Log.h"

namespace Serving
{
namespace
{
using Common::Milliseconds;
using Daemons::PlaceReply;
using Daemons::ServerStatus;

/// Minimum time between two announcements in which only load figures have changed. It grows with
/// the number of daemons, since each of them pulls the statuses after an announcement.
constexpr Milliseconds LOAD_UPDATE_INTERVAL{1000};
constexpr Milliseconds LOAD_UPDATE_INTERVAL_PER_PEER{200};
/// A smaller change in the number of running requests of a server is not announced.
constexpr std::int64_t MIN_LOAD_CHANGE = 4;

/// Whether the difference affects which servers are eligible for a request.
bool DiffersInEligibility(const ServerStatus& left, const ServerStatus& right)
{
  const auto same_replica = [](const auto& a, const auto& b) {
    return a.claim == b.claim && a.state == b.state && a.surplus == b.surplus;
  };
  return left.ready != right.ready || left.incarnation != right.incarnation ||
         left.row_version != right.row_version ||
         !std::ranges::equal(left.replicas, right.replicas, same_replica);
}

/// Whether the load differs enough to change a decision. Idle time is ignored: receivers of a
/// status extrapolate it themselves (ServerStatusRegistry::IdleTime).
bool DiffersInLoad(const ServerStatus& left, const ServerStatus& right)
{
  const auto same_use = [](const auto& a, const auto& b) {
    return (a.running > 0) == (b.running > 0) && a.served == b.served;
  };
  const std::int64_t step = std::max(MIN_LOAD_CHANGE, left.running / 4);
  return std::abs(left.running - right.running) >= step ||
         !std::ranges::equal(left.replicas, right.replicas, same_use);
}

bool DifferInLoad(const std::vector<ServerStatus>& left, const std::vector<ServerStatus>& right)
{
  return !std::ranges::equal(left, right, [](const ServerStatus& a, const ServerStatus& b) {
    return !DiffersInLoad(a, b);
  });
}

bool DifferInEligibility(const std::vector<ServerStatus>& left,
                         const std::vector<ServerStatus>& right)
{
  return !std::ranges::equal(left, right, [](const ServerStatus& a, const ServerStatus& b) {
    return a.vm == b.vm && !DiffersInEligibility(a, b);
  });
}
} // namespace

ServerManager::ServerManager(Environment& environment) : m_environment(environment) {}

std::shared_ptr<ServerController> ServerManager::GetController(const Table::BackendServer& server)
{
  std::shared_ptr<ServerController>& controller = m_controllers[server.vm];
  if (controller && !controller->IsFinished())
  {
    controller->Resume();
    return controller;
  }
  controller = std::make_shared<ServerController>(m_environment, server);
  Common::Spawn(controller->Run());
  return controller;
}

void ServerManager::Rebalance()
{
  std::erase_if(m_controllers, [](const auto& item) {
    return item.second->IsFinished();
  });
  auto live = m_environment.membership.LiveEverywhere(Common::Now());
  const auto catalog = m_environment.table.Share();
  // Hashing all servers over all daemons is expensive, so skip it if neither set has changed.
  if (live == m_live && catalog == m_catalog)
    return;
  m_live = std::move(live);
  m_catalog = catalog;
  for (const auto& [vm, server] : catalog->BackendServers())
  {
    // Servers of plain services load no artifacts, so no daemon manages them.
    const std::string& pool = server.pool;
    const bool has_models = std::ranges::any_of(catalog->Artifacts(), [&pool](const auto& item) {
      return item.second.pool == pool;
    });
    const auto manager = ManagerOf(m_environment, server);
    if (has_models && manager == m_environment.Self() && !Manages(vm))
    {
      Common::LogEvent(Common::LogLevel::Info, "keeper.took", {{"server", vm}});
      GetController(server);
    }
    else if (manager != m_environment.Self() && Manages(vm))
    {
      Common::LogEvent(Common::LogLevel::Info, "keeper.gave", {{"server", vm}});
      m_controllers[vm]->Retire();
    }
  }
  std::erase_if(m_controllers, [](const auto& item) {
    return item.second->IsFinished();
  });
}

bool ServerManager::Manages(const Common::VmId& server) const
{
  const auto found = m_controllers.find(server);
  return found != m_controllers.end() && !found->second->IsRetired();
}

Common::Task<PlaceReply> ServerManager::Place(Daemons::PlaceOrder order)
{
  const auto found = m_controllers.find(order.server);
  if (found != m_controllers.end() && !found->second->IsRetired())
  {
    const auto controller = found->second;
    PlaceReply reply = co_await controller->Place(std::move(order));
    co_return reply;
  }
  PlaceReply reply;
  reply.failure = Common::FailureKind::NotSent;
  reply.detail = "this daemon does not manage " + order.server.Get();
  co_return reply;
}

Daemons::StatusReply ServerManager::Statuses()
{
  std::vector<ServerStatus> servers;
  for (const auto& [vm, controller] : m_controllers)
  {
    if (controller->IsRetired())
      continue;
    if (auto status = controller->Status())
      servers.push_back(std::move(*status));
  }
  const auto now = Common::Now();
  const auto peers = static_cast<std::int64_t>(m_live.size());
  const auto interval = std::max(LOAD_UPDATE_INTERVAL, LOAD_UPDATE_INTERVAL_PER_PEER * peers);
  const bool urgent = DifferInEligibility(servers, m_announced);
  if (urgent || (now - m_last_announced_at >= interval && DifferInLoad(servers, m_announced)))
  {
    m_announced = servers;
    ++m_last.state_version;
    m_last_announced_at = now;
  }
  m_last.servers = std::move(servers);
  return m_last;
}
} // namespace Serving

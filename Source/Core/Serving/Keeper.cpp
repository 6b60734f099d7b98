// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Serving/Keeper.h"

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
constexpr Milliseconds LOAD_NEWS_INTERVAL{1000};
constexpr Milliseconds LOAD_NEWS_SHARE{200};
/// A smaller change in the number of running requests of a server is not announced.
constexpr std::int64_t LOAD_STEP = 4;

/// Whether the difference affects which servers are eligible for a request.
bool DiffersInKind(const ServerStatus& left, const ServerStatus& right)
{
  const auto same_replica = [](const auto& a, const auto& b) {
    return a.claim == b.claim && a.state == b.state && a.surplus == b.surplus;
  };
  return left.ready != right.ready || left.incarnation != right.incarnation ||
         left.row_version != right.row_version ||
         !std::ranges::equal(left.replicas, right.replicas, same_replica);
}

/// Whether the load differs enough to change a decision. Idle time is ignored: receivers of a
/// status extrapolate it themselves (ServerBoard::IdleTime).
bool DiffersInLoad(const ServerStatus& left, const ServerStatus& right)
{
  const auto same_use = [](const auto& a, const auto& b) {
    return (a.running > 0) == (b.running > 0) && a.served == b.served;
  };
  const std::int64_t step = std::max(LOAD_STEP, left.running / 4);
  return std::abs(left.running - right.running) >= step ||
         !std::ranges::equal(left.replicas, right.replicas, same_use);
}

bool DifferInLoad(const std::vector<ServerStatus>& left, const std::vector<ServerStatus>& right)
{
  return !std::ranges::equal(left, right, [](const ServerStatus& a, const ServerStatus& b) {
    return !DiffersInLoad(a, b);
  });
}

bool DifferInKind(const std::vector<ServerStatus>& left, const std::vector<ServerStatus>& right)
{
  return !std::ranges::equal(left, right, [](const ServerStatus& a, const ServerStatus& b) {
    return a.vm == b.vm && !DiffersInKind(a, b);
  });
}
} // namespace

Keeper::Keeper(Environment& environment) : m_environment(environment) {}

std::shared_ptr<ServerWatch> Keeper::Watch(const Table::BackendServer& server)
{
  std::shared_ptr<ServerWatch>& watch = m_watches[server.vm];
  if (watch && !watch->IsFinished())
  {
    watch->Resume();
    return watch;
  }
  watch = std::make_shared<ServerWatch>(m_environment, server);
  Common::Spawn(watch->Run());
  return watch;
}

void Keeper::Rebalance()
{
  std::erase_if(m_watches, [](const auto& item) {
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
    // Servers of plain services have no engine to manage.
    const std::string& pool = server.pool;
    const bool has_models = std::ranges::any_of(catalog->Artifacts(), [&pool](const auto& item) {
      return item.second.pool == pool;
    });
    const auto keeper = KeeperOf(m_environment, server);
    if (has_models && keeper == m_environment.Self() && !Keeps(vm))
    {
      Common::LogEvent(Common::LogLevel::Info, "keeper.took", {{"server", vm}});
      Watch(server);
    }
    else if (keeper != m_environment.Self() && Keeps(vm))
    {
      Common::LogEvent(Common::LogLevel::Info, "keeper.gave", {{"server", vm}});
      m_watches[vm]->Retire();
    }
  }
  std::erase_if(m_watches, [](const auto& item) {
    return item.second->IsFinished();
  });
}

bool Keeper::Keeps(const Common::VmId& server) const
{
  const auto found = m_watches.find(server);
  return found != m_watches.end() && !found->second->IsRetired();
}

Common::Task<PlaceReply> Keeper::Place(Daemons::PlaceOrder order)
{
  const auto found = m_watches.find(order.server);
  if (found != m_watches.end() && !found->second->IsRetired())
  {
    const auto watch = found->second;
    PlaceReply reply = co_await watch->Place(std::move(order));
    co_return reply;
  }
  PlaceReply reply;
  reply.failure = Common::FailureKind::NotSent;
  reply.detail = "this daemon does not manage " + order.server.Get();
  co_return reply;
}

Daemons::StatusReply Keeper::Statuses()
{
  std::vector<ServerStatus> servers;
  for (const auto& [vm, watch] : m_watches)
  {
    if (watch->IsRetired())
      continue;
    if (auto status = watch->Status())
      servers.push_back(std::move(*status));
  }
  const auto now = Common::Now();
  const auto peers = static_cast<std::int64_t>(m_live.size());
  const auto interval = std::max(LOAD_NEWS_INTERVAL, LOAD_NEWS_SHARE * peers);
  const bool urgent = DifferInKind(servers, m_announced);
  if (urgent || (now - m_last_bump >= interval && DifferInLoad(servers, m_announced)))
  {
    m_announced = servers;
    ++m_last.state_version;
    m_last_bump = now;
  }
  m_last.servers = std::move(servers);
  return m_last;
}
} // namespace Serving

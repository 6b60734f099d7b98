// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/DrainRegistry.h"

#include <algorithm>

namespace Gateway
{
namespace
{
using RateLimits::ServerKey;

/// The lease holder announces a draining server for this long. By then the server has exited and
/// every daemon has received the update.
constexpr std::chrono::minutes ANNOUNCE_DURATION{10};
/// Daemons keep an entry for longer than the holder announces it, so that an expired entry is not
/// received again.
constexpr std::chrono::minutes RETENTION{20};
} // namespace

bool DrainRegistry::Note(ServerKey server, Common::TimePoint now)
{
  const bool is_new = m_servers.try_emplace(server, Entry{now, m_is_holder ? m_tenure : 0}).second;
  m_revision += is_new ? 1 : 0;
  return is_new;
}

std::vector<ServerKey> DrainRegistry::Unconfirmed() const
{
  std::vector<ServerKey> servers;
  for (const auto& [server, entry] : m_servers)
    if (entry.announced_in < m_tenure)
      servers.push_back(server);
  return servers;
}

std::vector<ServerKey> DrainRegistry::ApplyUpdate(std::int64_t tenure,
                                                  std::span<const ServerKey> servers,
                                                  Common::TimePoint now)
{
  m_tenure = std::max(m_tenure, tenure);
  RemoveOlderThan(now - RETENTION);
  std::vector<ServerKey> unknown;
  for (const ServerKey server : servers)
  {
    if (Note(server, now))
      unknown.push_back(server);
    Entry& entry = m_servers[server];
    entry.announced_in = std::max(entry.announced_in, tenure);
  }
  return unknown;
}

void DrainRegistry::BeginTenure(std::int64_t tenure)
{
  m_tenure = std::max(m_tenure, tenure);
  m_is_holder = true;
  for (auto& [server, entry] : m_servers)
    entry.announced_in = m_tenure;
}

std::vector<ServerKey> DrainRegistry::NextUpdate(std::size_t most, Common::TimePoint now)
{
  RemoveOlderThan(now - ANNOUNCE_DURATION);
  std::vector<ServerKey> servers;
  auto next = m_servers.upper_bound(m_sent_up_to);
  for (; next != m_servers.end() && servers.size() < most; ++next)
    servers.push_back(next->first);
  m_sent_up_to = next == m_servers.end() ? RateLimits::FIRST_KEY : servers.back();
  return servers;
}

void DrainRegistry::RemoveOlderThan(Common::TimePoint noted_before)
{
  std::erase_if(m_servers, [noted_before](const auto& item) {
    return item.second.noted_at < noted_before;
  });
}
} // namespace Gateway

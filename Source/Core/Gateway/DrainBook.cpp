// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/DrainBook.h"

#include <algorithm>

namespace Gateway
{
namespace
{
using RateLimits::ServerKey;

/// The lease holder publishes a draining server for this long. By then the server has exited and
/// every daemon has received the update.
constexpr std::chrono::minutes TOLD_FOR{10};
/// Daemons keep an entry for longer than the holder publishes it, so that an expired entry is not
/// received again.
constexpr std::chrono::minutes KNOWN_FOR{20};
} // namespace

bool DrainBook::Note(ServerKey server, Common::TimePoint now)
{
  const bool is_new = m_servers.try_emplace(server, Entry{now, m_is_holder ? m_tenure : 0}).second;
  m_revision += is_new ? 1 : 0;
  return is_new;
}

std::vector<ServerKey> DrainBook::Unconfirmed() const
{
  std::vector<ServerKey> servers;
  for (const auto& [server, entry] : m_servers)
    if (entry.told_in < m_tenure)
      servers.push_back(server);
  return servers;
}

std::vector<ServerKey> DrainBook::TakeNews(std::int64_t tenure, std::span<const ServerKey> servers,
                                           Common::TimePoint now)
{
  m_tenure = std::max(m_tenure, tenure);
  Forget(now - KNOWN_FOR);
  std::vector<ServerKey> unknown;
  for (const ServerKey server : servers)
  {
    if (Note(server, now))
      unknown.push_back(server);
    Entry& entry = m_servers[server];
    entry.told_in = std::max(entry.told_in, tenure);
  }
  return unknown;
}

void DrainBook::BeginTenure(std::int64_t tenure)
{
  m_tenure = std::max(m_tenure, tenure);
  m_is_holder = true;
  for (auto& [server, entry] : m_servers)
    entry.told_in = m_tenure;
}

std::vector<ServerKey> DrainBook::NextNews(std::size_t most, Common::TimePoint now)
{
  Forget(now - TOLD_FOR);
  std::vector<ServerKey> servers;
  auto next = m_servers.upper_bound(m_told_up_to);
  for (; next != m_servers.end() && servers.size() < most; ++next)
    servers.push_back(next->first);
  m_told_up_to = next == m_servers.end() ? RateLimits::FIRST_KEY : servers.back();
  return servers;
}

void DrainBook::Forget(Common::TimePoint noted_before)
{
  std::erase_if(m_servers, [noted_before](const auto& item) {
    return item.second.noted_at < noted_before;
  });
}
} // namespace Gateway

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/StreamOrigins.h"

namespace Gateway
{
namespace
{
/// How long a stream is remembered; longer than the deadlines of callers.
constexpr std::chrono::seconds RETENTION{60};
/// Bounds the memory for streams to a few MB.
constexpr std::size_t MAX_STREAMS = 20000;
} // namespace

void StreamOrigins::Note(const PoolId& pool, const std::string& request,
                         const SoftwareVersion& version, Common::TimePoint now)
{
  m_used_at[pool][version] = now;
  if (!request.empty())
    Learn(request, version, now);
}

void StreamOrigins::Learn(const std::string& request, const SoftwareVersion& version,
                          Common::TimePoint now)
{
  DropOld(now);
  if (m_versions.insert_or_assign(request, version).second)
    m_begun.push_back({now, request});
}

std::optional<SoftwareVersion> StreamOrigins::Find(const std::string& request,
                                                   Common::TimePoint now)
{
  DropOld(now);
  const auto found = m_versions.find(request);
  return found == m_versions.end() ? std::nullopt : std::optional(found->second);
}

std::set<SoftwareVersion> StreamOrigins::RecentVersions(const PoolId& pool,
                                                        Common::TimePoint now) const
{
  std::set<SoftwareVersion> versions;
  const auto used = m_used_at.find(pool);
  if (used == m_used_at.end())
    return versions;
  for (const auto& [version, at] : used->second)
    if (now - at < RETENTION)
      versions.insert(version);
  return versions;
}

void StreamOrigins::DropOld(Common::TimePoint now)
{
  while (!m_begun.empty() &&
         (now - m_begun.front().at >= RETENTION || m_begun.size() > MAX_STREAMS))
  {
    m_versions.erase(m_begun.front().request);
    m_begun.pop_front();
  }
}
} // namespace Gateway

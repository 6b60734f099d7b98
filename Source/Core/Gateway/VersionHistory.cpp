// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/VersionHistory.h"

#include <algorithm>
#include <utility>

namespace Gateway
{
using Common::TimePoint;

void VersionHistory::Observe(TimePoint now)
{
  if (m_revision != m_servers.Revision())
  {
    m_revision = m_servers.Revision();
    m_current.clear();
    for (const auto& [instance, server] : m_servers.All())
      m_current[server->Entry().pool].insert(server->Entry().version);
  }
  for (const auto& [pool, versions] : m_current)
    for (const SoftwareVersion& version : versions)
      m_last_seen[pool][version] = now;
  for (auto& [pool, versions] : m_last_seen)
    std::erase_if(versions, [now](const auto& entry) {
      return now - entry.second >= StreamOrigins::RETENTION;
    });
  // While the VM was suspended, nothing was followed.
  const bool was_suspended = now - std::exchange(m_observed_at, now) > MAX_ENTRY_AGE;
  const bool has_gap = std::exchange(m_gaps, m_servers.Gaps()) != m_servers.Gaps() || was_suspended;
  if (!IsCurrent(now) || has_gap)
    m_followed_since.reset();
  if (!m_followed_since && IsCurrent(now))
    m_followed_since = now;
}

void VersionHistory::Note(const PoolId& pool, const SoftwareVersion& version, TimePoint now)
{
  m_last_seen[pool][version] = now;
}

void VersionHistory::NoteRestored(TimePoint moment)
{
  m_restored_at = std::max(m_restored_at.value_or(moment), moment);
}

std::set<SoftwareVersion> VersionHistory::Recent(const PoolId& pool, TimePoint now) const
{
  std::set<SoftwareVersion> versions;
  for (const ServerPtr& server : m_servers.InPool(pool))
    versions.insert(server->Entry().version);
  const auto seen = m_last_seen.find(pool);
  if (seen == m_last_seen.end())
    return versions;
  for (const auto& [version, at] : seen->second)
    if (now - at < StreamOrigins::RETENTION)
      versions.insert(version);
  return versions;
}

std::map<PoolId, std::set<SoftwareVersion>> VersionHistory::AllRecent(TimePoint now) const
{
  std::map<PoolId, std::set<SoftwareVersion>> result;
  for (const auto& [pool, versions] : m_last_seen)
    if (auto recent = Recent(pool, now); !recent.empty())
      result.emplace(pool, std::move(recent));
  return result;
}

bool VersionHistory::HasSeveralVersions(TimePoint now) const
{
  return std::ranges::any_of(m_last_seen, [now](const auto& entry) {
    return std::ranges::count_if(entry.second, [now](const auto& seen) {
             return now - seen.second < StreamOrigins::RETENTION;
           }) > 1;
  });
}

bool VersionHistory::IsCurrent(TimePoint now) const
{
  const auto age = m_servers.Age(now);
  return age && *age <= MAX_ENTRY_AGE;
}

bool VersionHistory::IsProvenSince(TimePoint moment) const
{
  return m_servers.ProvenAt().value_or(TimePoint::min()) >= moment;
}

bool VersionHistory::Continues(TimePoint moment) const
{
  return m_followed_since && *m_followed_since <= moment - MAX_ENTRY_AGE;
}

bool VersionHistory::IsComplete(TimePoint now) const
{
  if (!IsCurrent(now) || !m_followed_since)
    return false;
  return now - *m_followed_since >= StreamOrigins::RETENTION ||
         (m_restored_at && *m_restored_at >= *m_followed_since);
}
} // namespace Gateway

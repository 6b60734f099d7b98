// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/ServerDiscovery.h"

#include <algorithm>
#include <ranges>
#include <set>
#include <string>
#include <utility>

#include "Common/Log.h"

namespace Gateway
{
namespace
{
/// Time within which a running server writes its entry again after a store outage.
constexpr Common::Milliseconds REREGISTRATION_GRACE{2200};
} // namespace

void ServerDiscovery::ApplySnapshot(std::vector<ServerEntry> entries, Common::TimePoint now)
{
  // An entry that was written and removed since the entries before is in neither.
  m_directory.NoteGap();
  std::set<std::string> named;
  for (ServerEntry& entry : entries)
  {
    named.insert(entry.instance.Get());
    ApplyEntry(std::move(entry));
  }
  std::vector<InstanceId> missing;
  for (const auto& [instance, server] : m_directory.All())
    if (!named.contains(instance.Get()))
      missing.push_back(instance);
  for (const InstanceId& instance : missing)
    ApplyRemoval(instance, now);
}

void ServerDiscovery::ApplyEntry(ServerEntry entry)
{
  std::erase_if(m_missing_entries, [&](const auto& missing) {
    return missing.first.HasIdOf(entry.instance);
  });
  m_directory.Put(std::move(entry));
}

void ServerDiscovery::ApplyRemoval(const InstanceId& instance, Common::TimePoint now)
{
  const ServerPtr server = m_directory.FindLatest(instance);
  if (!server)
  {
    // The store tells only the latest change of an entry.
    m_directory.NoteGap();
    return;
  }
  if (server->IsDraining() || now >= m_grace_until)
  {
    m_directory.Remove(server->Entry().instance);
    return;
  }
  server->SetEntryMissing();
  if (m_missing_entries.try_emplace(server->Entry().instance, m_grace_until).second)
  {
    const auto left = std::chrono::ceil<Common::Milliseconds>(m_grace_until - now);
    Common::LogEvent(Common::LogLevel::Warning, "server-entry-lapsed",
                     {{"instance", instance}, {"kept_for_ms", left.count()}});
  }
  ArmTimer();
}

void ServerDiscovery::ApplyMalformed(const InstanceId& instance)
{
  if (const ServerPtr server = m_directory.FindLatest(instance))
    m_directory.Remove(server->Entry().instance);
}

void ServerDiscovery::ArmTimer()
{
  if (m_missing_entries.empty())
    return;
  const auto next = std::ranges::min(m_missing_entries | std::views::values);
  const auto left = std::chrono::ceil<Common::Milliseconds>(next - Common::Now());
  m_timer.Start(std::max(left, Common::Milliseconds(0)), [this] {
    RemoveExpired();
  });
}

void ServerDiscovery::RemoveExpired()
{
  const auto now = Common::Now();
  std::erase_if(m_missing_entries, [&](const auto& entry) {
    if (entry.second > now)
      return false;
    m_directory.Remove(entry.first);
    return true;
  });
  ArmTimer();
}

void ServerDiscovery::NoteStoreLost()
{
  m_store_unavailable = true;
}

void ServerDiscovery::NoteStoreRestored(Common::TimePoint now)
{
  if (std::exchange(m_store_unavailable, false))
    m_grace_until = now + REREGISTRATION_GRACE;
}

void ServerDiscovery::NoteOlderCopy(Common::TimePoint now)
{
  m_grace_until = now + REREGISTRATION_GRACE;
}
} // namespace Gateway

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/ServerRoster.h"

#include <algorithm>
#include <utility>

#include "Common/Log.h"

namespace Gateway
{
namespace
{
/// Time within which a running server writes its entry again after a store outage.
constexpr Common::Milliseconds REENTRY_GRACE{2200};
} // namespace

void ServerRoster::ApplySnapshot(std::vector<ServerEntry> entries, Common::TimePoint now)
{
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

void ServerRoster::ApplyEntry(ServerEntry entry)
{
  std::erase_if(m_lapsed, [&](const InstanceId& instance) {
    return instance.HasIdOf(entry.instance);
  });
  m_directory.Put(std::move(entry));
}

void ServerRoster::ApplyRemoval(const InstanceId& instance, Common::TimePoint now)
{
  const ServerPtr server = m_directory.FindLatest(instance);
  if (!server)
    return;
  if (server->IsDraining() || now >= m_grace_until)
  {
    m_directory.Remove(server->Entry().instance);
    return;
  }
  Common::LogEvent(Common::LogLevel::Warning, "server-entry-lapsed", {{"instance", instance}});
  m_lapsed.insert(server->Entry().instance);
  m_timer.Start(std::chrono::ceil<Common::Milliseconds>(m_grace_until - now), [this] {
    RemoveOverdue();
  });
}

void ServerRoster::ApplyUnreadable(const InstanceId& instance)
{
  if (const ServerPtr server = m_directory.FindLatest(instance))
    m_directory.Remove(server->Entry().instance);
}

void ServerRoster::RemoveOverdue()
{
  for (const InstanceId& instance : std::exchange(m_lapsed, {}))
    m_directory.Remove(instance);
}

void ServerRoster::NoteSourceLost()
{
  m_source_lost = true;
}

void ServerRoster::NoteSourceBack(Common::TimePoint now)
{
  if (std::exchange(m_source_lost, false))
    m_grace_until = now + REENTRY_GRACE;
}
} // namespace Gateway

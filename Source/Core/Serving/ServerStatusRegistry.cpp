// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Serving/ServerStatusRegistry.h"

#include <algorithm>

namespace Serving
{
using Common::ArtifactId;
using Common::TimePoint;
using Common::VmId;
using Daemons::ReplicaState;
using Daemons::ReplicaStatus;
using Daemons::ServerStatus;

void ServerStatusRegistry::Index(const ServerStatus& status, bool add)
{
  for (const ReplicaStatus& replica : status.replicas)
  {
    std::set<VmId>& servers = m_by_artifact[replica.artifact];
    if (add)
      servers.insert(status.vm);
    else
      servers.erase(status.vm);
  }
}

void ServerStatusRegistry::Update(const ServerStatus& status, TimePoint now)
{
  Entry& entry = m_entries[status.vm];
  if (status.row_version < entry.status.row_version)
    return;
  const bool changed = entry.status != status;
  entry.received_at = now;
  if (!changed)
    return;
  std::set<ArtifactId> touched;
  const auto note = [&touched](const ServerStatus& of) {
    for (const ReplicaStatus& replica : of.replicas)
      touched.insert(replica.artifact);
  };
  note(entry.status);
  note(status);
  Index(entry.status, false);
  entry.status = status;
  Index(entry.status, true);
  if (m_on_change)
    m_on_change(touched);
}

void ServerStatusRegistry::SetListed(const std::vector<Platform::VmEntry>& entries, TimePoint now)
{
  if (!m_first_list_at)
    m_first_list_at = now;
  m_draining.clear();
  m_listed.clear();
  for (const Platform::VmEntry& entry : entries)
  {
    if (entry.role != "backend")
      continue;
    m_listed.insert(entry.vm);
    m_ever_listed.insert(entry.vm);
    if (entry.state == Platform::VmState::Leaving)
      m_draining.insert(entry.vm);
  }
}

bool ServerStatusRegistry::IsRetired(const VmId& server, TimePoint now,
                                     Common::Milliseconds list_lag) const
{
  if (!m_first_list_at || m_listed.contains(server))
    return false;
  return m_ever_listed.contains(server) || now - *m_first_list_at >= list_lag;
}

void ServerStatusRegistry::AssumeLoaded(const VmId& server, const ArtifactId& artifact,
                                        TimePoint now)
{
  const auto found = m_entries.find(server);
  if (found == m_entries.end())
    return;
  ServerStatus status = found->second.status;
  const auto replica = std::ranges::find(status.replicas, artifact, &ReplicaStatus::artifact);
  if (replica == status.replicas.end())
    status.replicas.push_back({artifact, {}, ReplicaState::Loaded});
  else
    replica->state = ReplicaState::Loaded;
  Update(status, now);
}

const ServerStatusRegistry::Entry* ServerStatusRegistry::Find(const VmId& server) const
{
  const auto found = m_entries.find(server);
  return found == m_entries.end() ? nullptr : &found->second;
}

Common::Milliseconds ServerStatusRegistry::IdleTime(const Entry& entry,
                                                    const ReplicaStatus& replica, TimePoint now)
{
  if (replica.running > 0)
    return Common::Milliseconds(0);
  return Common::Milliseconds(replica.idle_ms) +
         std::chrono::duration_cast<Common::Milliseconds>(now - entry.received_at);
}

bool ServerStatusRegistry::TakesWork(const VmId& server) const
{
  const Entry* entry = Find(server);
  return entry && entry->status.ready && !m_draining.contains(server);
}

std::vector<VmId> ServerStatusRegistry::With(const ArtifactId& artifact, ReplicaState state) const
{
  std::vector<VmId> servers;
  const auto indexed = m_by_artifact.find(artifact);
  if (indexed == m_by_artifact.end())
    return servers;
  std::ranges::copy_if(indexed->second, std::back_inserter(servers), [&](const VmId& vm) {
    const auto& replicas = m_entries.at(vm).status.replicas;
    return std::ranges::any_of(replicas, [&](const ReplicaStatus& replica) {
      return replica.artifact == artifact && replica.state == state;
    });
  });
  return servers;
}

bool ServerStatusRegistry::IsServing(const VmId& server, const ArtifactId& artifact) const
{
  const Entry* entry = Find(server);
  if (!entry || !TakesWork(server))
    return false;
  return std::ranges::any_of(entry->status.replicas, [&](const ReplicaStatus& replica) {
    return replica.artifact == artifact && replica.state == ReplicaState::Loaded &&
           !replica.surplus;
  });
}

void ServerStatusRegistry::OnChange(std::function<void(const std::set<ArtifactId>&)> callback)
{
  m_on_change = std::move(callback);
}
} // namespace Serving

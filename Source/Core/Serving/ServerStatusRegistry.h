// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Common/Loop.h"
#include "Common/Units.h"
#include "Daemons/Messages.h"
#include "Platform/Types.h"

namespace Serving
{
/// The latest known status of every backend server, as reported by the daemons that manage them.
class ServerStatusRegistry
{
public:
  struct Entry
  {
    Daemons::ServerStatus status;
    Common::TimePoint received_at;
  };

  /// Stores a status, unless it has an older row version than the stored one.
  void Update(const Daemons::ServerStatus& status, Common::TimePoint now);
  /// Updates the known backend servers from the platform's VM list.
  void SetListed(const std::vector<Platform::VmEntry>& entries, Common::TimePoint now);
  /// Whether the server's VM has been removed from the platform's list. The list lags, so a server
  /// that disappeared from it is really gone. A server that this daemon has never seen there may be
  /// new and is considered gone only after `list_lag`.
  bool IsRetired(const Common::VmId& server, Common::TimePoint now,
                 Common::Milliseconds list_lag) const;
  /// Marks `artifact` as loaded on `server` according to a load reply, which may arrive before the
  /// status of the server.
  void AssumeLoaded(const Common::VmId& server, const Common::ArtifactId& artifact,
                    Common::TimePoint now);

  const Entry* Find(const Common::VmId& server) const;
  /// Idle time of a replica: the value in its status plus the time since the status was received.
  static Common::Milliseconds IdleTime(const Entry& entry, const Daemons::ReplicaStatus& replica,
                                       Common::TimePoint now);
  const std::map<Common::VmId, Entry>& Entries() const { return m_entries; }
  bool IsDraining(const Common::VmId& server) const { return m_draining.contains(server); }
  /// Whether the server may get new work: it is ready and not draining.
  bool TakesWork(const Common::VmId& server) const;
  /// Returns the servers with a replica of the artifact in the given state.
  std::vector<Common::VmId> With(const Common::ArtifactId& artifact,
                                 Daemons::ReplicaState state) const;
  /// Whether requests for the artifact may be sent to the server.
  bool IsServing(const Common::VmId& server, const Common::ArtifactId& artifact) const;

  /// Sets the callback that gets the artifacts whose replicas may have changed.
  void OnChange(std::function<void(const std::set<Common::ArtifactId>&)> callback);

private:
  void Index(const Daemons::ServerStatus& status, bool add);

  std::map<Common::VmId, Entry> m_entries;
  std::map<Common::ArtifactId, std::set<Common::VmId>> m_by_artifact;
  std::set<Common::VmId> m_draining;
  std::set<Common::VmId> m_listed;
  std::set<Common::VmId> m_ever_listed;
  std::optional<Common::TimePoint> m_first_list_at;
  std::function<void(const std::set<Common::ArtifactId>&)> m_on_change;
};
} // namespace Serving

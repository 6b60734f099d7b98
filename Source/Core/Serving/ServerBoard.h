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
/// What this daemon knows of all backend servers: the newest status that a keeper told.
class ServerBoard
{
public:
  struct Entry
  {
    Daemons::ServerStatus status;
    Common::TimePoint heard;
  };

  /// Takes a status; one with an older row version never replaces a newer one.
  void Update(const Daemons::ServerStatus& status, Common::TimePoint now);
  /// Takes over what the platform's list says of backend servers.
  void SetListed(const std::vector<Platform::VmEntry>& entries, Common::TimePoint now);
  /// The server's VM is no longer in the platform's list. The list lags, so it is gone; a server
  /// that this daemon never saw there counts as gone only after `list_lag`, since it may be new.
  bool IsRetired(const Common::VmId& server, Common::TimePoint now,
                 Common::Milliseconds list_lag) const;
  /// A home answered that `server` serves `artifact`, before its keeper's status came.
  void HintLoaded(const Common::VmId& server, const Common::ArtifactId& artifact,
                  Common::TimePoint now);

  const Entry* Find(const Common::VmId& server) const;
  /// For how long a replica has been idle: what its status said, counted on since then.
  static Common::Milliseconds IdleTime(const Entry& entry, const Daemons::ReplicaStatus& replica,
                                       Common::TimePoint now);
  const std::map<Common::VmId, Entry>& Entries() const { return m_entries; }
  bool IsLeaving(const Common::VmId& server) const { return m_leaving.contains(server); }
  /// Whether the server may get new work at all.
  bool TakesWork(const Common::VmId& server) const;
  /// The servers with a replica of the artifact in the given state.
  std::vector<Common::VmId> With(const Common::ArtifactId& artifact,
                                 Daemons::ReplicaState state) const;
  /// Whether work for the artifact may be sent to the server.
  bool IsServing(const Common::VmId& server, const Common::ArtifactId& artifact) const;

  /// Called with the artifacts whose replicas may have changed.
  void OnChange(std::function<void(const std::set<Common::ArtifactId>&)> callback);

private:
  void Index(const Daemons::ServerStatus& status, bool add);

  std::map<Common::VmId, Entry> m_entries;
  std::map<Common::ArtifactId, std::set<Common::VmId>> m_by_artifact;
  std::set<Common::VmId> m_leaving;
  std::set<Common::VmId> m_listed;
  std::set<Common::VmId> m_ever_listed;
  std::optional<Common::TimePoint> m_first_list_at;
  std::function<void(const std::set<Common::ArtifactId>&)> m_on_change;
};
} // namespace Serving

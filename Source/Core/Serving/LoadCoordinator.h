// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <map>
#include <memory>
#include <vector>

#include "Common/Loop.h"
#include "Daemons/Messages.h"
#include "Serving/Environment.h"

namespace Serving
{
/// Decides on the loads of the artifacts that hashing assigns to this daemon. Collects the demand
/// of all entry daemons of the data centre, so that a burst at many of them leads to one load
/// decision.
class LoadCoordinator
{
public:
  explicit LoadCoordinator(Environment& environment) : m_environment(environment) {}

  /// Makes sure that a server serves the artifact. Returns this server, or the reason why there is
  /// none.
  Common::Task<Daemons::LoadReply> EnsureLoaded(Daemons::LoadRequest request);

private:
  using Shared = Common::Completion<Daemons::LoadReply>;

  Common::Task<Daemons::LoadReply> Decide(Table::Artifact artifact, Daemons::LoadRequest request);
  Common::Task<Daemons::LoadReply> LoadSomewhere(Table::Artifact artifact,
                                                 Daemons::LoadRequest request);
  Common::Task<Daemons::LoadReply> WaitForReplica(Common::ArtifactId artifact,
                                                  std::vector<Common::VmId> servers,
                                                  Common::TimePoint deadline);
  std::vector<Decisions::PlacementCandidate> Candidates(const Table::Artifact& artifact) const;
  /// Whether the server can hold the artifact. An adapter needs its base on the same server: either
  /// the base has a claim there, or the base still has a free replica slot.
  bool CanHold(const Table::Artifact& artifact, const Daemons::ServerStatus& status) const;
  /// Whether some server would have enough memory once its replicas have become idle and can be
  /// evicted.
  bool CanFreeMemory(const Table::Artifact& artifact) const;
  Common::MegaBytes MemoryNeeded(const Table::Artifact& artifact,
                                 const Daemons::ServerStatus& status) const;

  Environment& m_environment;
  std::map<Common::ArtifactId, std::shared_ptr<Shared>> m_pending_decisions;
};
} // namespace Serving

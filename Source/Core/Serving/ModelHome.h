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
/// The home of an artifact: gathers the demand of all entry daemons of the data centre, so that a
/// burst at many of them makes one load decision.
class ModelHome
{
public:
  explicit ModelHome(Environment& environment) : m_environment(environment) {}

  /// Makes the artifact servable and says where, or why not.
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
  /// Where an adapter can go: its base may be loaded anew, or all of the base's replicas are
  /// claimed, and then only beside one of them.
  bool CanHold(const Table::Artifact& artifact, const Daemons::ServerStatus& status) const;
  /// Whether some server has room once its replicas have become idle.
  bool MayGetRoom(const Table::Artifact& artifact) const;
  Common::MegaBytes MemoryNeeded(const Table::Artifact& artifact,
                                 const Daemons::ServerStatus& status) const;

  Environment& m_environment;
  std::map<Common::ArtifactId, std::shared_ptr<Shared>> m_deciding;
};
} // namespace Serving

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Serving/Environment.h"

#include "Common/Loop.h"
#include "Decisions/Rendezvous.h"

namespace Serving
{
std::optional<Common::VmId> KeeperOf(const Environment& environment,
                                     const Table::BackendServer& server)
{
  return Decisions::PickByRendezvous(
      "keeper/" + server.vm.Get(),
      environment.membership.LiveIn(server.data_centre, Common::Now()));
}

std::optional<Common::VmId> HomeOf(const Environment& environment,
                                   const Common::ArtifactId& artifact)
{
  return Decisions::PickByRendezvous(
      "home/" + artifact.Get(),
      environment.membership.LiveIn(environment.DataCentre(), Common::Now()));
}
} // namespace Serving

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Serving/Environment.h"

#include "Common/Loop.h"
#include "Decisions/Rendezvous.h"

namespace Serving
{
std::optional<Common::VmId> ManagerOf(const Environment& environment,
                                      const Table::BackendServer& server)
{
  return Decisions::PickByRendezvous(
      "keeper/" + server.vm.Get(),
      environment.membership.LiveIn(server.data_centre, Common::Now()));
}

std::optional<Common::VmId> LoadCoordinatorOf(const Environment& environment,
                                              const Common::ArtifactId& artifact)
{
  return Decisions::PickByRendezvous(
      "home/" + artifact.Get(),
      environment.membership.LiveIn(environment.DataCentre(), Common::Now()));
}

bool TakesWork(const Environment& environment, const Common::VmId& server)
{
  const Table::BackendServer* row = environment.table.Current().FindBackendServer(server);
  if (!row || !environment.server_statuses.TakesWork(server))
    return false;
  return row->data_centre == environment.DataCentre() ||
         !environment.membership.LiveIn(row->data_centre, Common::Now()).empty();
}

bool IsServing(const Environment& environment, const Common::VmId& server,
               const Common::ArtifactId& artifact)
{
  return environment.server_statuses.IsServing(server, artifact) && TakesWork(environment, server);
}
} // namespace Serving

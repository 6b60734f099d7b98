// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "UnitTests/Decisions/RandomFleet.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace UnitTests
{
using namespace Decisions;
using Common::Milliseconds;

namespace
{
constexpr std::size_t MAX_LOADED = 3;
constexpr std::size_t IN_HOST_MEMORY = 2;
constexpr std::size_t ON_DISK = 18;
constexpr double SERVER_MB = 230000;

ModelIndex RandomModel(std::size_t models, pcg64& random)
{
  return ModelIndex(static_cast<std::uint32_t>(static_cast<std::uint64_t>(random()) % models));
}

std::vector<ModelIndex> RandomModels(std::size_t count, std::size_t models, pcg64& random)
{
  std::vector<ModelIndex> result;
  while (result.size() < std::min(count, models))
  {
    const ModelIndex drawn = RandomModel(models, random);
    if (std::ranges::find(result, drawn) == result.end())
      result.push_back(drawn);
  }
  return result;
}

PlannedModel MakeModel(pcg64& random, Common::TimePoint now)
{
  PlannedModel model;
  model.memory_mb = random() % 3 == 0 ? 65100 : 72700;
  model.from_host_memory = Milliseconds(470);
  model.from_disk = Milliseconds(640);
  model.from_store = Milliseconds(13200);
  model.arrivals_per_second = static_cast<double>(random() % 1000) / 900;
  model.last_wanted = now - Milliseconds(random() % 20000);
  return model;
}

PlannedServer MakeServer(std::size_t models, pcg64& random, Common::TimePoint now)
{
  PlannedServer server;
  server.memory_mb = SERVER_MB;
  server.usable = random() % 10 != 0;
  server.order_open = random() % 5 == 0;
  for (const ModelIndex model : RandomModels(random() % (MAX_LOADED + 1), models, random))
    server.replicas.push_back({model, random() % 2 == 0 ? static_cast<int>(random() % 5) : 0,
                               now - Milliseconds(random() % 5000)});
  if (server.order_open)
    server.loading = RandomModel(models, random);
  for (const PlannedReplica& replica : server.replicas)
    server.in_flight += replica.in_flight;
  return server;
}
} // namespace

ReplicaPlanInput RandomFleet(const FleetSize& size, pcg64& random)
{
  ReplicaPlanInput input;
  input.now = Common::TimePoint() + std::chrono::hours(1);
  input.batch = 12;
  input.store_loads_allowed = static_cast<int>(random() % 4);
  for (std::size_t i = 0; i < size.models; ++i)
    input.models.push_back(MakeModel(random, input.now));
  for (std::size_t i = 0; i < size.servers; ++i)
  {
    input.servers.push_back(MakeServer(size.models, random, input.now));
    input.copies.Set(ServerIndex(i), RandomModels(IN_HOST_MEMORY, size.models, random),
                     RandomModels(ON_DISK, size.models, random));
  }
  for (const PlannedServer& server : input.servers)
    for (const PlannedReplica& replica : server.replicas)
      input.models[At(replica.model)].in_flight += replica.in_flight;
  for (const ModelIndex index : RandomModels(size.waiting, size.models, random))
  {
    PlannedModel& model = input.models[At(index)];
    model.waiting = 1 + static_cast<int>(random() % 6);
    model.priority = static_cast<int>(random() % 3);
  }
  // All urgencies are distinct, so that the result does not depend on the order of ties.
  std::int64_t distinct = 0;
  for (PlannedModel& model : input.models)
    model.oldest_wait = Milliseconds((random() % 15) * 1000 + distinct++ % 1000);
  return input;
}
} // namespace UnitTests

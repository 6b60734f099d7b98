// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "Common/Units.h"
#include "Decisions/WeightCopies.h"

/// Decides which models to load on which backend servers and which to evict for them. Pure
/// functions of the known state of the servers and of the demand.
namespace Decisions
{
/// The demand for one model.
struct ModelDemand
{
  int waiting = 0;                      ///< Requests waiting for it, over all daemons.
  int priority = 9;                     ///< Of the most urgent waiting request.
  Common::Milliseconds oldest_wait{0};  ///< Longest wait of a single request.
  Common::Milliseconds unserved_for{0}; ///< Over all requests, while no server has it loaded.
  double arrivals_per_second = 0;
  int in_flight = 0;             ///< Over all servers that may take the requests.
  Common::TimePoint last_wanted; ///< Time of the last request for it.
  /// As `oldest_wait`, without requests that wait for an adapter.
  Common::Milliseconds oldest_wait_for_model{0};
};

/// A model, and the demand for it that any server may serve.
struct PlannedModel : ModelDemand
{
  double memory_mb = 0;
  Common::Milliseconds from_host_memory{0};
  Common::Milliseconds from_disk{0};
  Common::Milliseconds from_store{0};
  bool listed = true; ///< Named in the operators' configuration; other models are only evicted.
};

/// Index of a group of servers that may take the same requests.
enum class ServerGroup : std::uint32_t
{
};
constexpr std::size_t At(ServerGroup group)
{
  return static_cast<std::size_t>(group);
}

/// Demand for a model that only some servers may serve.
struct BoundDemand : ModelDemand
{
  ModelIndex model{};
  std::vector<bool> groups; ///< By `ServerGroup`: whether its servers may take the requests.

  bool MayUse(ServerGroup group) const { return At(group) < groups.size() && groups[At(group)]; }
};

struct PlannedReplica
{
  ModelIndex model{};
  int in_flight = 0;
  Common::TimePoint since; ///< When it was first seen as loaded.
};

struct PlannedServer
{
  double memory_mb = 0;
  double adapters_mb = 0; ///< Memory used by adapters.
  double reserved_mb = 0; ///< Memory to keep free.
  bool usable = true;     ///< Accepts requests and orders.
  bool order_open = false;
  ServerGroup group{};
  /// The server is about to shut down or is evacuated: its replicas and pending loads are not
  /// counted.
  bool draining = false;
  /// Rate limit over all daemons together, if one has been in force for a while.
  std::optional<double> requests_per_second;
  std::optional<ModelIndex> loading; ///< Being loaded, or next after an unload.
  int in_flight = 0;
  std::vector<PlannedReplica> replicas;
};

/// An order to a server.
struct PlannedOrder
{
  enum class Kind
  {
    Load,
    Unload,
  };
  Kind kind = Kind::Load;
  ServerIndex server{};
  ModelIndex model{};
  std::vector<ModelIndex> also_unload; ///< Of an unload: further models to unload before the load.
  std::optional<ModelIndex> for_model; ///< Of an unload: the model that is loaded afterwards.
  WeightSource source = WeightSource::WeightStore; ///< Of this load or of the one that follows.
};

/// What the planner may do besides loading models that no server has loaded.
struct PlanRules
{
  bool spare_replicas = true; ///< Keep a second replica of frequently requested models.
  bool turns = true;          ///< Models that wait too long may evict a model in use.
  bool disk_wait = true;      ///< Wait for a busy server with a copy on disk.
  /// A model whose requests wait for longer than this although its replicas have free slots gets an
  /// additional replica, from the weight store if necessary. Set for pools whose daemons count
  /// requests at late replicas as waiting: the shortest latency target of their routes.
  std::optional<Common::Milliseconds> late_after;
};

struct ReplicaPlanInput
{
  PlanRules rules;
  Common::TimePoint now;
  int batch = 1; ///< Concurrent requests per server.
  std::vector<PlannedServer> servers;
  std::vector<PlannedModel> models;
  std::vector<BoundDemand> bound_demands; ///< Sorted by model.
  WeightCopies copies;
  int store_loads_allowed = 0; ///< Loads from the weight store that may start now.
};

/// Why a model with waiting requests and without a replica gets no load in this plan.
enum class PlanObstacle : std::uint8_t
{
  NoUsableServer, ///< No usable server has a copy; the weight store is not allowed.
  ServersBusy,    ///< All usable servers with a copy are executing other orders.
  NoRoom,         ///< No server that could load it has enough free or evictable memory.
};
constexpr std::string_view ToString(PlanObstacle obstacle)
{
  switch (obstacle)
  {
  case PlanObstacle::NoUsableServer:
    return "no_usable_server";
  case PlanObstacle::ServersBusy:
    return "servers_at_orders";
  case PlanObstacle::NoRoom:
    break;
  }
  return "no_room";
}

/// A model that gets no load in this plan, and the reason.
struct SkippedModel
{
  ModelIndex model{};
  ModelDemand demand; ///< For the model; only some servers may serve it if `is_bound`.
  bool is_bound = false;
  PlanObstacle obstacle = PlanObstacle::NoUsableServer;
  std::size_t copies = 0;     ///< Servers with a copy of the weights.
  bool store_allowed = false; ///< It could have been loaded from the weight store on any server.
  /// The usable server with a copy that has the most free memory.
  std::optional<ServerIndex> most_free_server;
  double free_mb = 0; ///< Free memory of `most_free_server`.
};

struct ReplicaPlan
{
  std::vector<PlannedOrder> orders;  ///< To send now, at most one per server; most urgent first.
  std::vector<SkippedModel> skipped; ///< Models with waiting requests that get no load.
  /// Candidates evaluated: the cost of the plan, besides one pass over all models and servers.
  std::size_t candidates = 0;
};

ReplicaPlan PlanReplicas(const ReplicaPlanInput& input);

/// The number of replicas that the demand calls for.
int WantedReplicas(const ModelDemand& demand, int batch, bool spare_replicas = true);
} // namespace Decisions

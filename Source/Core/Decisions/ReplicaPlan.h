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

/// Which model to load where, and which to give up for it: a pure decision over what is known of
/// the backend servers and of the demand.
namespace Decisions
{
struct PlannedModel
{
  double memory_mb = 0;
  Common::Milliseconds from_host_memory{0};
  Common::Milliseconds from_disk{0};
  Common::Milliseconds from_store{0};
  bool listed = true; ///< The operators' configuration names it; others are only given up.
  int waiting = 0;    ///< Requests that wait for it, over all daemons.
  int priority = 9;   ///< Of the most urgent that waits.
  Common::Milliseconds oldest_wait{0};  ///< Of one request.
  Common::Milliseconds unserved_for{0}; ///< Over all requests, while nobody holds it.
  double arrivals_per_second = 0;
  int in_flight = 0;             ///< Over all servers.
  Common::TimePoint last_wanted; ///< By any request.
};

struct PlannedReplica
{
  ModelIndex model{};
  int in_flight = 0;
  Common::TimePoint since; ///< When it was seen loaded first.
};

struct PlannedServer
{
  double memory_mb = 0;
  double adapters_mb = 0; ///< Taken by adapters.
  double reserved_mb = 0; ///< To be left free.
  bool usable = true;     ///< Takes work and orders.
  bool order_open = false;
  /// It is about to leave: what it holds, and what is on its way there, counts for nothing.
  bool draining = false;
  /// It takes no more from all daemons together, and has for a while.
  std::optional<double> requests_per_second;
  std::optional<ModelIndex> loading; ///< On its way, or next after an unload.
  int in_flight = 0;
  std::vector<PlannedReplica> replicas;
};

/// One order to one server.
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
  std::vector<ModelIndex> also_unload; ///< Of an unload: given up next, before anything is loaded.
  std::optional<ModelIndex> for_model; ///< Of an unload: what is loaded on that server at last.
  WeightSource source = WeightSource::WeightStore; ///< Of the load that is given or comes next.
};

/// What the plan may do beyond loads for models that nobody holds.
struct PlanRules
{
  bool spare_replicas = true; ///< A model that is asked for often keeps a second replica.
  bool turns = true;          ///< A model that waits long pushes out one in use.
  bool disk_wait = true;      ///< A busy server with a disk copy is waited for.
};

struct ReplicaPlanInput
{
  PlanRules rules;
  Common::TimePoint now;
  int batch = 1; ///< Requests at once on one server.
  std::vector<PlannedServer> servers;
  std::vector<PlannedModel> models;
  WeightCopies copies;
  int store_loads_allowed = 0; ///< Loads from the weight store that may begin now.
};

/// Why a model that requests wait for, and that nobody holds, gets no load in this plan.
enum class PlanObstacle : std::uint8_t
{
  NoUsableServer,  ///< No server takes orders.
  ServersAtOrders, ///< Those that may load it carry out other orders.
  NoRoom,          ///< On none of those that may load it is there room, or a model that may go.
};
constexpr std::string_view ToString(PlanObstacle obstacle)
{
  switch (obstacle)
  {
  case PlanObstacle::NoUsableServer:
    return "no_usable_server";
  case PlanObstacle::ServersAtOrders:
    return "servers_at_orders";
  case PlanObstacle::NoRoom:
    break;
  }
  return "no_room";
}

/// A model that is passed over, with what decided it.
struct PassedOver
{
  ModelIndex model{};
  PlanObstacle obstacle = PlanObstacle::NoUsableServer;
  std::size_t copies = 0;     ///< Servers with a copy of the weights.
  bool store_allowed = false; ///< It might have come from the weight store to any server.
  std::optional<ServerIndex>
      nearest;        ///< Of the servers with a copy that take orders, the emptiest.
  double free_mb = 0; ///< Of the nearest.
};

struct ReplicaPlan
{
  std::vector<PlannedOrder> orders; ///< To give now, at most one a server; the most urgent first.
  std::vector<PassedOver> passed_over; ///< Models that requests wait for and that nobody gets.
  /// Places that were weighed: what a plan costs, beside one look at each model and server.
  std::size_t candidates = 0;
};

ReplicaPlan PlanReplicas(const ReplicaPlanInput& input);

/// How many replicas of a model the demand asks for.
int WantedReplicas(const PlannedModel& model, int batch, bool spare_replicas = true);
} // namespace Decisions

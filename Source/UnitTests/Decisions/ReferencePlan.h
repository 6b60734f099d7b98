// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/Units.h"

/// The plan in its first form, by names, which looks at all servers for each model: the reference
/// that the present form is compared with.
namespace ReferencePlan
{
/// Where the weights of a model lie, seen from one server; loading takes longer down the list.
enum class WeightSource
{
  HostMemory,
  Disk,
  WeightStore,
};

struct PlannedModel
{
  std::string model;
  double memory_mb = 0;
  Common::Milliseconds from_host_memory{0};
  Common::Milliseconds from_disk{0};
  Common::Milliseconds from_store{0};
  int waiting = 0;  ///< Requests that wait for it, over all daemons.
  int priority = 9; ///< Of the most urgent that waits.
  Common::Milliseconds oldest_wait{0};
  double arrivals_per_second = 0;
  int in_flight = 0;             ///< Over all servers.
  Common::TimePoint last_wanted; ///< By any request.
};

struct PlannedReplica
{
  std::string model;
  int in_flight = 0;
  Common::TimePoint since; ///< When it was seen loaded first.
};

struct PlannedServer
{
  std::string instance;
  std::string data_centre;
  double memory_mb = 0;
  double adapters_mb = 0; ///< Taken by adapters.
  bool usable = true;     ///< Takes work and orders.
  bool order_open = false;
  std::optional<std::string> loading; ///< On its way, or next after an unload.
  int in_flight = 0;
  int batch = 1;
  std::vector<PlannedReplica> replicas;
  std::vector<std::string> in_host_memory;
  std::vector<std::string> on_disk;
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
  std::string instance;
  std::string model;
  std::string for_model; ///< Of an unload: what is loaded next on that server.
  WeightSource source = WeightSource::WeightStore; ///< Of the load that is given or comes next.
  std::string reason;
};

struct ReplicaPlanInput
{
  Common::TimePoint now;
  std::vector<PlannedServer> servers;
  std::map<std::string, PlannedModel> models;
  int store_loads_allowed = 0; ///< Loads from the weight store that may begin now.
};

/// The orders to give now, at most one a server.
std::vector<PlannedOrder> PlanReplicas(const ReplicaPlanInput& input);

/// How many replicas of a model the demand asks for.
int WantedReplicas(const PlannedModel& model, int batch);
} // namespace ReferencePlan

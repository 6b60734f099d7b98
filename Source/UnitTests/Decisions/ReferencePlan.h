// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/Units.h"

/// The first version of the planner, which identifies models and servers by name and scans all
/// servers for each model. The current planner is compared with it.
namespace ReferencePlan
{
/// Where a server can load the weights of a model from, fastest first.
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
  int waiting = 0;  ///< Requests waiting for it, over all daemons.
  int priority = 9; ///< Of the most urgent waiting request.
  Common::Milliseconds oldest_wait{0};
  double arrivals_per_second = 0;
  int in_flight = 0;             ///< Over all servers.
  Common::TimePoint last_wanted; ///< Time of the last request for it.
};

struct PlannedReplica
{
  std::string model;
  int in_flight = 0;
  Common::TimePoint since; ///< When it was first seen as loaded.
};

struct PlannedServer
{
  std::string instance;
  std::string data_centre;
  double memory_mb = 0;
  double adapters_mb = 0; ///< Memory used by adapters.
  bool usable = true;     ///< Accepts requests and orders.
  bool order_open = false;
  std::optional<std::string> loading; ///< Being loaded, or next after an unload.
  int in_flight = 0;
  int batch = 1;
  std::vector<PlannedReplica> replicas;
  std::vector<std::string> in_host_memory;
  std::vector<std::string> on_disk;
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
  std::string instance;
  std::string model;
  std::string for_model; ///< Of an unload: the model that is loaded afterwards.
  WeightSource source = WeightSource::WeightStore; ///< Of this load or of the one that follows.
  std::string reason;
};

struct ReplicaPlanInput
{
  Common::TimePoint now;
  std::vector<PlannedServer> servers;
  std::map<std::string, PlannedModel> models;
  int store_loads_allowed = 0; ///< Loads from the weight store that may start now.
};

/// Returns the orders to send now, at most one per server.
std::vector<PlannedOrder> PlanReplicas(const ReplicaPlanInput& input);

/// The number of replicas that the demand for a model calls for.
int WantedReplicas(const PlannedModel& model, int batch);
} // namespace ReferencePlan

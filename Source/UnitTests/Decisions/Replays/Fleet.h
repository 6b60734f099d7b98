// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include <pcg_random.hpp>

#include "Decisions/ReplicaPlan.h"
#include "Decisions/UnservedDemand.h"

/// Simulates a request load on backend servers in virtual time to test the planner, without
/// sockets, clocks or daemons.
namespace UnitTests
{
/// A stream of requests for one model, or evenly distributed over a range of models.
struct Stream
{
  std::size_t first_model = 0;
  std::size_t models = 1;
  double per_second = 1;
  Common::Milliseconds from{0};
  Common::Milliseconds until{0};
  Common::Milliseconds target{0}; ///< Maximum time from arrival to start on a server.
  int priority = 0;
};

/// The results of the requests of one stream.
struct StreamResult
{
  int asked = 0;
  int in_target = 0;
  int late = 0;     ///< Started after the target.
  int unserved = 0; ///< Timed out, or still waiting at the end.

  int Served() const { return in_target + late; }

  double ShareInTarget() const { return asked == 0 ? 1 : static_cast<double>(in_target) / asked; }
};

struct FleetSettings
{
  std::size_t servers = 24;
  std::size_t models = 100;
  std::size_t models_per_server = 3; ///< Models that fit on a server at the same time.
  std::size_t on_disk = 18;
  double server_mb = 0;          ///< Memory for models; 0: enough for `models_per_server` models.
  std::vector<double> models_mb; ///< Memory of each model; empty: all the same.
  /// Models on the disk of each server; empty: chosen at random.
  std::vector<std::vector<std::size_t>> disks;
  int batch = 12;
  Common::Milliseconds run_time{1500}; ///< Of one request.
  Common::Milliseconds unload{120};
  Common::Milliseconds from_disk{640};
  Common::Milliseconds from_store{13200};
  int store_loads_at_once = 2;
  Common::Milliseconds request_timeout{5600}; ///< A request that waits longer times out.
  Common::Milliseconds plan_every{20};
};

/// Simulated servers that execute the planner's orders and run requests, in fixed time steps.
class Fleet
{
public:
  Fleet(const FleetSettings& settings, std::uint64_t seed);

  /// Simulates the streams until `end`; returns one result per stream.
  std::vector<StreamResult> Simulate(const std::vector<Stream>& streams, Common::Milliseconds end);

private:
  struct Request
  {
    std::size_t stream = 0;
    std::size_t model = 0;
    Common::Milliseconds arrived{0};
  };
  struct Order
  {
    Common::Milliseconds done_at{0};
    std::vector<std::size_t> unloads; ///< Each waits for the running requests of its model.
    std::size_t loads = 0;
    Common::Milliseconds load_time{0};
    bool from_store = false;
  };
  struct Run
  {
    std::size_t model = 0;
    Common::Milliseconds ends{0};
  };
  struct Server
  {
    std::vector<std::pair<std::size_t, Common::Milliseconds>> loaded; ///< Models and load times.
    std::vector<Run> runs;
    std::optional<Order> order;
  };

  void AddArrivals(const std::vector<Stream>& streams, std::vector<StreamResult>& results);
  void FinishRunsAndOrders();
  void StartRequests(const std::vector<Stream>& streams, std::vector<StreamResult>& results);
  void ExpireRequests(std::vector<StreamResult>& results);
  void Plan(const std::vector<Stream>& streams);
  double MemoryOf(std::size_t model) const;
  double ServerMemory() const;
  void LoadInitialModels();
  void FillDisks();
  Server* ServerFor(std::size_t model);
  void UpdateUnservedDemand();
  bool IsRunning(const Server& server, std::size_t model) const;

  FleetSettings m_settings;
  pcg64 m_random;
  Common::Milliseconds m_now{0};
  std::vector<Server> m_servers;
  std::deque<Request> m_waiting;
  std::vector<double> m_rates; ///< Smoothed arrivals per second by model.
  std::vector<Common::Milliseconds> m_last_wanted;
  std::vector<Decisions::UnservedDemand> m_unserved;
  Decisions::ReplicaPlanInput m_input;
};
} // namespace UnitTests

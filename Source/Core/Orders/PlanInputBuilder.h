// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Common/Units.h"
#include "Decisions/ReplicaPlan.h"
#include "Decisions/UnservedDemand.h"
#include "Gateway/PlacementConstraint.h"
#include "Gateway/ServerDirectory.h"
#include "Gateway/Types.h"
#include "Orders/InFlightTotals.h"
#include "Orders/Messages.h"

namespace Orders
{
/// State of one server that the planner needs in addition to the server's entry.
struct ServerState
{
  bool usable = true;
  bool order_open = false;
  /// Limit on the requests of all daemons together; set only once it has been in force for a while.
  /// 0 if at least half of the daemons back off from the server.
  std::optional<double> requests_per_second;
  std::optional<Gateway::ModelId>
      loading;            ///< Being loaded, or to be loaded after the unload under way.
  double reserved_mb = 0; ///< Memory that late orders may still occupy.
  bool draining = false;
};

/// A model that a server holds, and since when.
struct HeldModel
{
  Gateway::ModelId model;
  Common::TimePoint since;
};

/// Maintains the planner's input for one pool incrementally. Names are mapped to indices on
/// arrival, so that a plan visits each server and model once. Rebuilding the input from maps keyed
/// by name took 24 to 47 ms per plan with 256 servers, 1,375 models and 100 to 600 waiting
/// requests.
class PlanInputBuilder
{
public:
  /// Sets the pool's models and limits from the current configuration. `late_after`: set if daemons
  /// count requests at late replicas of this pool as waiting, to its shortest latency target.
  void Configure(const Gateway::Pool& pool,
                 std::optional<Common::Milliseconds> late_after = std::nullopt);

  /// Sets the region of each data centre. Applies to servers whose `SetHeld` is called later.
  void SetRegions(std::map<Common::DataCentreId, Common::RegionId> regions)
  {
    m_regions = std::move(regions);
  }
  /// Replaces all servers and discards their state. `ServerIndex` follows the order given.
  void SetServers(std::vector<Gateway::ServerPtr> servers, InFlightTotals& in_flight_totals);
  const std::vector<Gateway::ServerPtr>& Servers() const { return m_servers; }

  /// Handles a daemon's demand for models of this pool: arrivals are added to the rates, and the
  /// waiting requests replace those of its previous report. False if any model is not in the
  /// configuration.
  bool ApplyDemand(const Common::VmId& daemon, const std::vector<DemandLine>& lines,
                   Common::TimePoint now);
  /// Number of bound demand lines since the last call that were taken as unbound, because too many
  /// different ones were known.
  std::int64_t TakeLinesOverLimit() { return std::exchange(m_lines_over_limit, 0); }
  void DropDaemon(const Common::VmId& daemon) { m_waiting.erase(daemon); }

  /// Called when the server's entry or its loaded models have changed.
  void SetHeld(Decisions::ServerIndex server, const std::vector<HeldModel>& held);
  void SetState(Decisions::ServerIndex server, const ServerState& state);

  /// The input as of `now`. The reference is valid until the next call.
  const Decisions::ReplicaPlanInput& Input(Common::TimePoint now, int store_loads_allowed);

  const Gateway::ModelId& NameOf(Decisions::ModelIndex model) const
  {
    return m_names[Decisions::At(model)];
  }
  const Gateway::ServerPtr& ServerAt(Decisions::ServerIndex server) const
  {
    return m_servers[Decisions::At(server)];
  }

private:
  /// Time constant of the arrival rates, short compared with the minutes over which demand shifts.
  static constexpr double RATE_SECONDS = 8;
  /// Maximum number of different bound demands, each for one model and one constraint. Further ones
  /// are planned as if any server might serve them.
  static constexpr std::size_t MAX_BOUND_DEMANDS = 1024;
  /// A bound demand without a request for this long is forgotten.
  static constexpr Common::Milliseconds BOUND_DEMAND_TIMEOUT{8000};

  struct Rate
  {
    double arrivals_per_second = 0; ///< At `updated`.
    Common::TimePoint updated;

    double At(Common::TimePoint now) const;
    void Add(int arrivals, Common::TimePoint now);
  };
  struct WaitingLine
  {
    Decisions::ModelIndex model{};
    int count = 0;
    int priority = 9;
    Common::TimePoint oldest_since;
    Gateway::PlacementConstraint constraint;
    bool for_adapter = false;
  };
  struct BoundKey
  {
    Decisions::ModelIndex model{};
    Gateway::PlacementConstraint constraint;

    auto operator<=>(const BoundKey&) const = default;
  };
  /// What is kept of a bound demand from one plan to the next.
  struct BoundRecord
  {
    Rate rate;
    Common::TimePoint last_wanted;
    Decisions::UnservedDemand unserved;
    /// In `ReplicaPlanInput::bound_demands`; nullopt if no server may serve the demand.
    std::optional<std::size_t> position;
  };
  /// What constraints refer to; servers with equal attributes form a `ServerGroup`.
  struct ServerAttributes
  {
    Gateway::SoftwareVersion version;
    std::optional<Common::RegionId> region;

    bool operator==(const ServerAttributes&) const = default;
  };

  /// The model's index. A model that is not in the configuration gets one too, with `listed` false.
  Decisions::ModelIndex Intern(const Gateway::ModelId& model);
  Decisions::ServerGroup GroupOf(const Gateway::ServerEntry& entry);
  /// By `ServerGroup`: whether the constraint allows its servers.
  std::vector<bool> GroupsAllowedBy(const Gateway::PlacementConstraint& constraint) const;
  /// The record of a bound demand, created if necessary; nullptr if there are too many.
  BoundRecord* FindBoundRecord(Decisions::ModelIndex model,
                               const Gateway::PlacementConstraint& constraint);
  /// Adds the arrivals of a line to the rate of its demand, and keeps its waiting requests.
  void ApplyLine(const DemandLine& line, Decisions::ModelIndex model,
                 std::vector<WaitingLine>& waiting, Common::TimePoint now);
  /// Makes an entry of the input for each bound demand that some server may serve.
  void ListBoundDemands(Common::TimePoint now);
  void SumDemand(Common::TimePoint now);
  void AddWaiting(const WaitingLine& line, Common::TimePoint now);
  /// Calls `visit` for each bound demand that a replica of the model on the server serves.
  template <typename Visit>
  void ForEachBoundDemand(const Decisions::PlannedServer& server, Decisions::ModelIndex model,
                          const Visit& visit)
  {
    for (Decisions::BoundDemand& demand :
         std::ranges::equal_range(m_input.bound_demands, model, {}, &Decisions::BoundDemand::model))
      if (demand.MayUse(server.group))
        visit(demand);
  }
  void SumInFlight();
  void UpdateUnserved(Common::TimePoint now);

  Decisions::ReplicaPlanInput m_input;
  std::vector<Gateway::ModelId> m_names;
  std::vector<Rate> m_rates;
  std::vector<Decisions::UnservedDemand> m_unserved; ///< By `ModelIndex`.
  std::map<BoundKey, BoundRecord> m_bound;
  std::int64_t m_lines_over_limit = 0;
  std::unordered_map<Gateway::ModelId, Decisions::ModelIndex> m_models;
  std::map<Common::DataCentreId, Common::RegionId> m_regions;
  std::vector<ServerAttributes> m_groups; ///< By `ServerGroup`.
  std::vector<Gateway::ServerPtr> m_servers;
  std::vector<const ServerLoad*> m_loads; ///< By `ServerIndex`.
  std::map<Common::VmId, std::vector<WaitingLine>> m_waiting;
  double m_memory_mb = 0;
  double m_adapters_mb = 0;
};
} // namespace Orders

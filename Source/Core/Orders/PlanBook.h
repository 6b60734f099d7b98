// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "Common/Units.h"
#include "Decisions/ReplicaPlan.h"
#include "Decisions/UnservedDemand.h"
#include "Gateway/ServerDirectory.h"
#include "Gateway/Types.h"
#include "Orders/FlightBook.h"
#include "Orders/Messages.h"

namespace Orders
{
/// What the desk knows of one server beyond its entry, as a plan needs it.
struct ServerState
{
  bool usable = true;
  bool order_open = false;
  /// It takes no more from all daemons together, and has for a while.
  std::optional<double> requests_per_second;
  std::optional<Gateway::ModelId> loading; ///< On its way, or next after an unload.
  double reserved_mb = 0;                  ///< That late orders may still take.
  bool draining = false;
};

/// A model that a server holds, since when.
struct HeldModel
{
  Gateway::ModelId model;
  Common::TimePoint since;
};

/// The plan's input for one pool, kept up to date by events: names become positions where they come
/// in, and a plan looks at each server and model once. Built anew from maps of names for each plan
/// it took 24 to 47 ms for 256 servers, 1,375 models and 100 to 600 waiting requests.
class PlanBook
{
public:
  /// The pool's models and bounds as the operators' configuration has them now.
  void Configure(const Gateway::Pool& pool);
  /// Starts anew with these servers, in this order.
  void SetServers(std::vector<Gateway::ServerPtr> servers, FlightBook& flights);
  const std::vector<Gateway::ServerPtr>& Servers() const { return m_servers; }

  /// A daemon's demand for models of this pool, in place of what it told before: arrivals add to
  /// the rates, what waits is counted until the next report. False where the model is unknown.
  bool TakeDemand(const Common::VmId& daemon, const std::vector<DemandLine>& lines,
                  Common::TimePoint now);
  void DropDaemon(const Common::VmId& daemon) { m_waiting.erase(daemon); }

  /// The server's entry or what it holds has changed.
  void SetHeld(Decisions::ServerIndex server, const std::vector<HeldModel>& held);
  void SetState(Decisions::ServerIndex server, const ServerState& state);

  /// The input as of now; valid until the next call.
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
  /// Time constant of the arrival rates: short against the minutes over which demand moves on.
  static constexpr double RATE_SECONDS = 8;

  struct Rate
  {
    double arrivals_per_second = 0; ///< At `updated`.
    Common::TimePoint updated;

    double At(Common::TimePoint now) const;
  };
  struct WaitingLine
  {
    Decisions::ModelIndex model{};
    int count = 0;
    int priority = 9;
    Common::TimePoint oldest_since;
  };

  /// The model's position; a name that the configuration lacks gets one too, as not listed.
  Decisions::ModelIndex Intern(const Gateway::ModelId& model);
  void SumDemand(Common::TimePoint now);
  void SumFlights();
  void AgeUnserved(Common::TimePoint now);

  Decisions::ReplicaPlanInput m_input;
  std::vector<Gateway::ModelId> m_names;
  std::vector<Rate> m_rates;
  std::vector<Decisions::UnservedDemand> m_unserved; ///< Of each model.
  std::unordered_map<Gateway::ModelId, Decisions::ModelIndex> m_models;
  std::vector<Gateway::ServerPtr> m_servers;
  std::vector<const ServerLoad*> m_loads; ///< Of each server.
  std::map<Common::VmId, std::vector<WaitingLine>> m_waiting;
  double m_memory_mb = 0;
  double m_adapters_mb = 0;
};
} // namespace Orders

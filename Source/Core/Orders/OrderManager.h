// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Common/Failure.h"
#include "Common/Reactor.h"
#include "Decisions/ReplicaPlan.h"
#include "Gateway/ServerDirectory.h"
#include "Orders/InFlightTotals.h"
#include "Orders/Messages.h"
#include "Orders/PlanInputBuilder.h"

namespace Orders
{
/// One order to a backend server, as sent.
struct OrderCall
{
  enum class Operation
  {
    Load,
    Unload,
  };
  Gateway::InstanceId instance;
  Http::Endpoint endpoint;
  Operation operation = Operation::Load;
  Gateway::Artifact artifact;
  std::int64_t expected_sequence = 0; ///< Orders the server must have accepted before.
  std::int64_t fence = 0;
  Common::TimePoint send_before; ///< Not sent later: the holder's permission ends then.
};

/// Permission to send orders under the current lease.
struct OrderPermit
{
  std::int64_t fence = 0;
  Common::TimePoint until; ///< Unless the lease is renewed.
};

enum class OrderResult
{
  Accepted,       ///< The order is being carried out.
  AlreadyInState, ///< The server is already in the requested state.
  Busy,           ///< Another order is in progress, or the expected sequence does not match.
  Fenced,         ///< The server has seen a higher fence.
  OtherInstance,  ///< Another instance uses the address.
  Malformed,
};
const char* ToString(OrderResult result);

/// A backend server's report on itself; the data is a few hundred ms old.
struct ServerReport
{
  std::int64_t order_sequence = 0;
  bool busy = false; ///< An order is being carried out.
  std::vector<Gateway::LoadedModel> models;
  std::vector<Gateway::Artifact> loading_adapters;
  Gateway::ServerStart started{}; ///< Start of the reporting process; 0 if not reported.
};

/// Transport of orders to backend servers, implemented by the platform layer.
struct OrderChannel
{
  std::function<void(const OrderCall&, std::function<void(Common::Result<OrderResult>)>)> send;
  std::function<void(const Gateway::InstanceId&, const Http::Endpoint&,
                     std::function<void(Common::Result<ServerReport>)>)>
      read_report;
  /// Aborts all pending calls; their callbacks are no longer invoked.
  std::function<void()> cancel_pending;
};

struct OrderManagerSettings
{
  double load_window_s = 5; ///< Window of the rate limit on loads from the weight store.
  /// The region of each data centre.
  std::map<Common::DataCentreId, Common::RegionId> regions;
};

/// Plans and sends the orders of the lease holder and tracks their outcomes. Each order contains
/// the sequence it expects, so at most one of several orders with the same sequence takes effect,
/// however late it arrives. The memory that unanswered orders may still claim therefore does not
/// add up.
class OrderManager
{
public:
  OrderManager(Gateway::ServerDirectory& servers, OrderChannel channel,
               OrderManagerSettings settings);

  void Configure(const OrderManagerSettings& settings) { m_settings = settings; }
  void SetConfiguration(std::shared_ptr<const Gateway::Configuration> configuration);
  /// Sets the callback that is queried before each order.
  void SetPermission(std::function<std::optional<OrderPermit>()> permit)
  {
    m_permit = std::move(permit);
  }
  /// Sets the callback for placement changes that must be announced to the daemons.
  void OnPlacementChange(std::function<void()> callback)
  {
    m_on_placement_change = std::move(callback);
  }

  void OnDaemonReport(const DaemonReport& report, Common::TimePoint now);
  /// Plans for the current demand and sends the resulting orders.
  void Plan(Common::TimePoint now);
  /// Schedules one plan within a few ms; calls until then are coalesced.
  void SchedulePlan();
  /// Discards the state of all servers, because another daemon may have held the lease meanwhile.
  void Reset();
  /// Called when the lease is lost: a pending order must not arrive while the next holder acts.
  void CancelPending() { m_channel.cancel_pending(); }

  /// Per server, what daemons need to know beyond its entry: usable adapters, models about to be
  /// unloaded, and loads from the weight store.
  std::vector<PlacementLine> Placements() const;
  /// Open requests of all daemons per server.
  const InFlightTotals& InFlightByServer() const { return m_in_flight_totals; }

  /// Counts of orders by outcome, loads by weight source, skipped models by obstacle, and
  /// reports with demand for unknown models.
  const std::map<std::string, std::int64_t>& Counters() const { return m_counters; }

private:
  /// Time from the acceptance of an adapter load until the adapter is usable. The server rejects
  /// requests that arrive earlier.
  static constexpr Common::Milliseconds ADAPTER_LOAD_TIME{90};
  /// Interval at which a server whose state is unclear is queried.
  static constexpr Common::Milliseconds QUERY_INTERVAL{350};
  /// Orders that follow an unload on the same server: further unloads, then the load that they make
  /// room for.
  struct NextOrders
  {
    std::vector<Gateway::ModelId> unloads;
    std::optional<Gateway::ModelId> load;
  };
  struct OpenOrder
  {
    OrderCall call;
    Common::TimePoint first_sent;
    Common::TimePoint next_check;
    bool accepted = false;
    bool call_pending = false; ///< A call or a report query is pending.
    NextOrders next;
    Decisions::WeightSource source = Decisions::WeightSource::WeightStore;
    std::uint64_t id = 0;
  };
  /// A load without a result. It may still take effect, even after a restart of the server
  /// once the restarted server has accepted as many orders as the load expects.
  struct UnansweredLoad
  {
    Gateway::ModelId model;
    std::int64_t expected_sequence = 0;
    Common::TimePoint until;
  };
  struct AdapterRecord
  {
    Common::TimePoint usable_from;
  };
  struct ServerRecord
  {
    std::int64_t sequence = 0;
    /// Whether the server's sequence and state are known. If not, its report is needed before an
    /// order: after the lease was acquired and after any order with an unexpected outcome.
    bool state_known = false;
    bool report_pending = false;
    Common::TimePoint next_report_at;
    std::vector<Gateway::ModelId> reported_models;
    bool held_changed = true; ///< `PlanInputBuilder::SetHeld` must be called.
    std::optional<OpenOrder> open;
    std::vector<UnansweredLoad>
        unanswered_loads; ///< Since the last restart; at most one takes effect.
    std::vector<UnansweredLoad> previous_instance_loads; ///< From before its last restart.
    bool adapter_call_pending = false;
    Common::TimePoint unusable_until;
    Common::TimePoint last_adapter_order;
    std::map<Gateway::ModelId, Common::TimePoint> loaded_since;
    std::map<Gateway::Artifact, AdapterRecord> adapters;
    std::set<Gateway::Artifact> unloaded_adapters; ///< Unloaded, but the entry may still list them.
    std::set<Gateway::Artifact> unloading_adapters; ///< About to be unloaded; get no new requests.
  };
  struct DaemonRecord
  {
    DaemonReport last;
    Common::TimePoint last_report_at;
  };
  /// One server with references to its state, so that planning needs no lookups by name.
  struct ServerRef
  {
    Gateway::ServerPtr server;
    ServerRecord* record = nullptr;
    PlanInputBuilder* plan_input =
        nullptr; ///< Of its pool; nullptr if the pool has no model servers.
    Decisions::ServerIndex index{};
    std::uint64_t entry_revision = 0; ///< Revision of the entry last processed.
  };

  void DropUnresponsiveDaemons(Common::TimePoint now);
  void CountBackoffs();
  /// Rebuilds `m_server_refs` and the servers of all plan inputs if the set of servers or the
  /// configuration has changed.
  void RebuildServerRefs();
  void UpdateServerRef(ServerRef& ref, Common::TimePoint now);
  static UnansweredLoad UnansweredLoadOf(const OpenOrder& order);
  static bool IsLoadPending(const OpenOrder& order);
  static void RecordUnanswered(ServerRecord& record, const OpenOrder& order, Common::TimePoint now);
  /// Removes the state of servers that are gone or have restarted. Loads that may still take effect
  /// after a restart are carried over.
  void RemoveStaleRecords();
  double UnansweredLoadsMb(const Gateway::Pool& pool, const ServerRecord& record,
                           Common::TimePoint now) const;
  /// Whether the report comes from the given instance, not from the server before or after a
  /// restart. A report from after a restart marks the instance as replaced: it gets nothing more
  /// until the new entry arrives.
  bool IsFromInstance(const Gateway::InstanceId& instance, const ServerReport& report);
  static void RefreshRecord(const Gateway::Server& server, ServerRecord& record,
                            Common::TimePoint now);
  static std::vector<HeldModel> HeldModels(const ServerRecord& record, Common::TimePoint now);
  /// Whether models of servers with a request limit should be loaded on other servers too. False if
  /// more than half of the servers are limited, since too few others are left.
  bool CanPlanAroundLimits(const PlanInputBuilder& plan_input, Common::TimePoint now) const;
  /// Whether at least half of the daemons report a long backoff from the server.
  bool IsBackedOffFrom(const Gateway::Server& server) const;
  ServerState StateOf(const Gateway::Pool& pool, const ServerRef& ref, bool plan_around_limits,
                      Common::TimePoint now) const;
  void CheckOpenOrder(const Gateway::ServerPtr& server, ServerRecord& record,
                      Common::TimePoint now);
  void PlanPool(const Gateway::Pool& pool, PlanInputBuilder& plan_input, Common::TimePoint now);
  void LogSkipped(const PlanInputBuilder& plan_input, const Decisions::ReplicaPlanInput& input,
                  const std::vector<Decisions::SkippedModel>& passed_over);
  void PlanAdapters(const Gateway::Pool& pool, Common::TimePoint now);
  void LoadAdapter(const Gateway::Pool& pool, const Gateway::Artifact& artifact,
                   const std::vector<const ServerRef*>& holders, Common::TimePoint now);
  std::optional<Gateway::Artifact> AdapterToEvict(const Gateway::Server& server,
                                                  const ServerRecord& record,
                                                  Common::TimePoint now) const;
  int StoreLoadsAllowed(const Gateway::Pool& pool, Common::TimePoint now) const;

  void StartOrder(const Gateway::ServerPtr& server, OrderCall::Operation operation,
                  const Gateway::ModelId& model, NextOrders next, Decisions::WeightSource source,
                  const std::string& reason);
  /// Sends the order that follows a completed one, if any.
  void StartNextOrder(const Gateway::ServerPtr& server, const OpenOrder& done);
  void SendOpenOrder(const Gateway::ServerPtr& server, ServerRecord& record);
  void OnOrderResult(const Gateway::InstanceId& instance, std::uint64_t id,
                     Common::Result<OrderResult> result);
  void QueryState(const Gateway::ServerPtr& server, ServerRecord& record, Common::TimePoint now);
  void OnStateReport(const Gateway::InstanceId& instance,
                     const Common::Result<ServerReport>& report);
  void QueryOpenOrder(const Gateway::ServerPtr& server, ServerRecord& record);
  void OnOpenOrderReport(const Gateway::InstanceId& instance, std::uint64_t id,
                         Common::Result<ServerReport> report);
  void CloseOrder(const Gateway::InstanceId& instance, ServerRecord& record, const char* outcome);
  void SendAdapterOrder(const Gateway::ServerPtr& server, OrderCall::Operation operation,
                        const Gateway::Artifact& artifact);
  void OnAdapterOrderResult(const Gateway::InstanceId& instance, OrderCall call,
                            Common::Result<OrderResult> result);

  /// Announces loaded adapters to the daemons once they are usable.
  void AnnounceAdapters();
  /// An adapter for which requests are waiting, and the servers that may take them.
  struct AdapterDemand
  {
    Gateway::Artifact artifact;
    Gateway::PlacementConstraint constraint;

    auto operator<=>(const AdapterDemand&) const = default;
  };
  std::set<AdapterDemand> WaitingAdapters(const Gateway::PoolId& pool) const;
  /// The pool's servers that have the adapter's model loaded and may take the requests.
  std::vector<const ServerRef*> Holders(const Gateway::PoolId& pool,
                                        const AdapterDemand& demand) const;
  bool MayTake(const Gateway::Server& server, const Gateway::PlacementConstraint& constraint) const;
  std::vector<Gateway::Artifact> AdaptersOn(const Gateway::Server& server,
                                            const ServerRecord& record) const;

  Gateway::ServerDirectory& m_servers;
  OrderChannel m_channel;
  OrderManagerSettings m_settings;
  std::shared_ptr<const Gateway::Configuration> m_configuration;
  std::function<std::optional<OrderPermit>()> m_permit;
  std::function<void()> m_on_placement_change;
  std::map<Gateway::InstanceId, ServerRecord> m_server_records;
  std::map<Common::VmId, DaemonRecord> m_daemons;
  InFlightTotals m_in_flight_totals;
  std::map<ServerHash, int> m_backoff_counts; ///< Number of daemons backing off from each server.
  std::map<Gateway::PoolId, PlanInputBuilder> m_plan_inputs;
  std::vector<ServerRef> m_server_refs;
  std::uint64_t m_server_refs_revision =
      0; ///< Server directory revision of `m_server_refs`; 0 if none.
  std::map<Gateway::Artifact, Common::TimePoint> m_adapter_last_demand;
  bool m_unknown_logged = false; ///< Demand for an unconfigured model was logged.
  /// When each skipped model was last logged.
  std::map<Gateway::ModelId, Common::TimePoint> m_skipped_logged;
  std::deque<Common::TimePoint> m_store_load_starts;
  std::uint64_t m_next_order = 1;
  std::map<std::string, std::int64_t> m_counters;
  Common::OwnedTimer m_plan_timer;
  Common::OwnedTimer m_adapter_timer;
};
} // namespace Orders

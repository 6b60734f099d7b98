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
#include "Orders/FlightBook.h"
#include "Orders/Messages.h"
#include "Orders/PlanBook.h"

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

enum class OrderAnswer
{
  Accepted,    ///< The order is being carried out.
  AlreadySo,   ///< The server is already in the requested state.
  Busy,        ///< Another order is in progress, or the expected sequence does not match.
  Fenced,      ///< The server has seen a higher fence.
  OtherServer, ///< Another instance uses the address.
  Malformed,
};
const char* ToString(OrderAnswer answer);

/// A backend server's report on itself; the data is a few hundred ms old.
struct ServerReport
{
  std::int64_t order_sequence = 0;
  bool busy = false; ///< An order is being carried out.
  std::vector<Gateway::LoadedModel> models;
  std::vector<Gateway::Artifact> coming; ///< Adapters that are being loaded.
  Gateway::ServerStart started{};        ///< Start of the reporting process; 0 if not reported.
};

/// Transport of orders to backend servers, implemented by the platform layer.
struct OrderChannel
{
  std::function<void(const OrderCall&, std::function<void(Common::Result<OrderAnswer>)>)> send;
  std::function<void(const Gateway::InstanceId&, const Http::Endpoint&,
                     std::function<void(Common::Result<ServerReport>)>)>
      read_report;
  /// Aborts all pending calls; their callbacks are no longer invoked.
  std::function<void()> abandon;
};

struct OrderDeskSettings
{
  double load_window_s = 5; ///< Window of the rate limit on loads from the weight store.
};

/// Plans and sends the orders of the lease holder and tracks their outcomes. Each order contains
/// the sequence it expects, so at most one of several orders with the same sequence takes effect,
/// however late it arrives. The memory that unanswered orders may still claim therefore does not
/// add up.
class OrderDesk
{
public:
  OrderDesk(Gateway::ServerDirectory& servers, OrderChannel channel, OrderDeskSettings settings);

  void Configure(const OrderDeskSettings& settings) { m_settings = settings; }
  void SetConfiguration(std::shared_ptr<const Gateway::Configuration> configuration);
  /// Sets the callback that is queried before each order.
  void SetPermission(std::function<std::optional<OrderPermit>()> permit)
  {
    m_permit = std::move(permit);
  }
  /// Sets the callback for placement changes that must be announced to the daemons.
  void OnPlacementChange(std::function<void()> callback) { m_on_placement = std::move(callback); }

  void TakeReport(const DaemonReport& report, Common::TimePoint now);
  /// Plans for the current demand and sends the resulting orders.
  void Plan(Common::TimePoint now);
  /// Schedules one plan within a few ms; calls until then are coalesced.
  void PlanSoon();
  /// Discards the state of all servers, because another daemon may have held the lease meanwhile.
  void Forget();
  /// Called when the lease is lost: a pending order must not arrive while the next holder acts.
  void Abandon() { m_channel.abandon(); }

  /// Per server, what daemons need to know beyond its entry: usable adapters, models about to be
  /// unloaded, and loads from the weight store.
  std::vector<PlacementLine> Placements() const;
  /// Open requests of all daemons per server.
  const FlightBook& Flights() const { return m_flights; }

  /// Counts of orders by outcome, loads by weight source, passed-over models by obstacle, and
  /// reports with demand for unknown models.
  const std::map<std::string, std::int64_t>& Counters() const { return m_counters; }

private:
  /// Time from the acceptance of an adapter load until the adapter is usable. The server rejects
  /// requests that arrive earlier.
  static constexpr Common::Milliseconds ADAPTER_LOAD_TIME{90};
  /// Interval at which a server whose state is unclear is queried.
  static constexpr Common::Milliseconds CHECK_PAUSE{350};
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
    bool in_exchange = false; ///< A call or a report query is pending.
    NextOrders next;
    Decisions::WeightSource source = Decisions::WeightSource::WeightStore;
    std::uint64_t id = 0;
  };
  /// A load that was never answered. It may still take effect, even after a restart of the server
  /// once the restarted server has accepted as many orders as the load expects.
  struct LateLoad
  {
    Gateway::ModelId model;
    std::int64_t expected_sequence = 0;
    Common::TimePoint until;
  };
  struct AdapterBook
  {
    Common::TimePoint usable_from;
  };
  struct ServerBook
  {
    std::int64_t sequence = 0;
    /// Whether the server's sequence and state are known. If not, its report is needed before an
    /// order: after the lease was acquired and after any order with an unexpected outcome.
    bool state_known = false;
    bool report_asked = false;
    Common::TimePoint next_report;
    std::vector<Gateway::ModelId> reported_models;
    bool held_changed = true; ///< `PlanBook::SetHeld` must be called.
    std::optional<OpenOrder> open;
    std::vector<LateLoad> unanswered_loads; ///< Since the last restart; at most one takes effect.
    std::vector<LateLoad> late_loads;       ///< From before the last restart.
    bool adapter_in_exchange = false;
    Common::TimePoint unusable_until;
    Common::TimePoint last_adapter_order;
    std::map<Gateway::ModelId, Common::TimePoint> loaded_since;
    std::map<Gateway::Artifact, AdapterBook> adapters;
    std::set<Gateway::Artifact> dropped_adapters; ///< Unloaded, but the entry may still list them.
    std::set<Gateway::Artifact> leaving_adapters; ///< About to be unloaded; get no new requests.
  };
  struct DaemonBook
  {
    DaemonReport last;
    Common::TimePoint heard_at;
  };
  /// One server with references to its state, so that planning needs no lookups by name.
  struct Slot
  {
    Gateway::ServerPtr server;
    ServerBook* book = nullptr;
    PlanBook* plan = nullptr; ///< Of its pool; nullptr if the pool has no model engine.
    Decisions::ServerIndex index{};
    std::uint64_t entry_revision = 0; ///< Revision of the entry last processed.
  };

  void DropSilentDaemons(Common::TimePoint now);
  void SumBackoffs();
  /// Rebuilds the slots and the servers of all plans if the set of servers or the configuration has
  /// changed.
  void RefreshSlots();
  void RefreshSlot(Slot& slot, Common::TimePoint now);
  static LateLoad LateLoadOf(const OpenOrder& order);
  static bool IsLoadUnderWay(const OpenOrder& order);
  static void NoteUnanswered(ServerBook& book, const OpenOrder& order, Common::TimePoint now);
  /// Removes the state of servers that are gone or have restarted. Loads that may still take effect
  /// after a restart are carried over.
  void DropBooks();
  double LateLoadsMb(const Gateway::Pool& pool, const ServerBook& book,
                     Common::TimePoint now) const;
  /// Whether the report comes from the given instance, not from the server before or after a
  /// restart. A report from after a restart marks the instance as replaced: it gets nothing more
  /// until the new entry arrives.
  bool IsOfThisLife(const Gateway::InstanceId& instance, const ServerReport& report);
  static void RefreshBook(const Gateway::Server& server, ServerBook& book, Common::TimePoint now);
  static std::vector<HeldModel> HeldModels(const ServerBook& book, Common::TimePoint now);
  /// Whether models of servers with a request limit should be loaded on other servers too. False if
  /// more than half of the servers are limited, since too few others are left.
  bool MayPlanAround(const PlanBook& plan, Common::TimePoint now) const;
  /// Whether at least half of the daemons report a long backoff from the server.
  bool IsBackedOffFrom(const Gateway::Server& server) const;
  ServerState StateOf(const Gateway::Pool& pool, const Slot& slot, bool plan_around_limits,
                      Common::TimePoint now) const;
  void CheckOpen(const Gateway::ServerPtr& server, ServerBook& book, Common::TimePoint now);
  void PlanPool(const Gateway::Pool& pool, PlanBook& plan, Common::TimePoint now);
  void LogPassedOver(const PlanBook& plan, const Decisions::ReplicaPlanInput& input,
                     const std::vector<Decisions::SkippedModel>& passed_over);
  void PlanAdapters(const Gateway::Pool& pool, Common::TimePoint now);
  void LoadAdapter(const Gateway::Pool& pool, const Gateway::Artifact& artifact,
                   const std::vector<const Slot*>& holders, Common::TimePoint now);
  std::optional<Gateway::Artifact>
  AdapterVictim(const Gateway::Server& server, const ServerBook& book, Common::TimePoint now) const;
  int StoreLoadsAllowed(const Gateway::Pool& pool, Common::TimePoint now) const;

  void Give(const Gateway::ServerPtr& server, OrderCall::Operation operation,
            const Gateway::ModelId& model, NextOrders next, Decisions::WeightSource source,
            const std::string& reason);
  /// Sends the order that follows a completed one, if any.
  void GiveNext(const Gateway::ServerPtr& server, const OpenOrder& done);
  void SendOpen(const Gateway::ServerPtr& server, ServerBook& book);
  void TakeAnswer(const Gateway::InstanceId& instance, std::uint64_t id,
                  Common::Result<OrderAnswer> answer);
  void LearnState(const Gateway::ServerPtr& server, ServerBook& book, Common::TimePoint now);
  void TakeState(const Gateway::InstanceId& instance, const Common::Result<ServerReport>& report);
  void AskReport(const Gateway::ServerPtr& server, ServerBook& book);
  void TakeServerReport(const Gateway::InstanceId& instance, std::uint64_t id,
                        Common::Result<ServerReport> report);
  void CloseOrder(const Gateway::InstanceId& instance, ServerBook& book, const char* outcome);
  void GiveAdapter(const Gateway::ServerPtr& server, OrderCall::Operation operation,
                   const Gateway::Artifact& artifact);
  void TakeAdapterAnswer(const Gateway::InstanceId& instance, OrderCall call,
                         Common::Result<OrderAnswer> answer);

  /// Announces loaded adapters to the daemons once they are usable.
  void AnnounceAdapters();
  /// Adapters for which requests are waiting.
  std::set<Gateway::Artifact> WaitingAdapters(const Gateway::PoolId& pool) const;
  /// The pool's servers on which the model is loaded.
  std::vector<const Slot*> Holders(const Gateway::PoolId& pool,
                                   const Gateway::ModelId& model) const;
  std::vector<Gateway::Artifact> AdaptersOn(const Gateway::Server& server,
                                            const ServerBook& book) const;

  Gateway::ServerDirectory& m_servers;
  OrderChannel m_channel;
  OrderDeskSettings m_settings;
  std::shared_ptr<const Gateway::Configuration> m_configuration;
  std::function<std::optional<OrderPermit>()> m_permit;
  std::function<void()> m_on_placement;
  std::map<Gateway::InstanceId, ServerBook> m_books;
  std::map<Common::VmId, DaemonBook> m_daemons;
  FlightBook m_flights;
  std::map<ServerHash, int> m_backing_off; ///< Number of daemons backing off from each server.
  std::map<Gateway::PoolId, PlanBook> m_plans;
  std::vector<Slot> m_slots;
  std::uint64_t m_slots_revision = 0; ///< Server directory revision of `m_slots`; 0 if none.
  std::map<Gateway::Artifact, Common::TimePoint> m_adapter_wanted;
  bool m_unknown_logged = false; ///< Demand for an unconfigured model was logged.
  /// When each passed-over model was last logged.
  std::map<Gateway::ModelId, Common::TimePoint> m_passed_over_logged;
  std::deque<Common::TimePoint> m_store_loads;
  std::uint64_t m_next_order = 1;
  std::map<std::string, std::int64_t> m_counters;
  Common::OwnedTimer m_plan_timer;
  Common::OwnedTimer m_adapter_timer;
};
} // namespace Orders

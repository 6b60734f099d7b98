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
/// One order to a backend server.
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
  std::int64_t expected_sequence = 0; ///< Orders that the server must have taken before.
  std::int64_t fence = 0;
  Common::TimePoint send_before; ///< The holder may not act from then on: nothing goes out.
};

/// What the lease allows at this moment.
struct OrderPermit
{
  std::int64_t fence = 0;
  Common::TimePoint until; ///< Without another renewal.
};

enum class OrderAnswer
{
  Accepted,    ///< It is being done.
  AlreadySo,   ///< It holds already.
  Busy,        ///< Another order is under way, or the sequence differs.
  Fenced,      ///< The server has seen a higher fence.
  OtherServer, ///< Another instance has the address.
  Malformed,
};
const char* ToString(OrderAnswer answer);

/// What a backend server reports of itself, some hundred ms old.
struct ServerReport
{
  std::int64_t order_sequence = 0;
  bool busy = false; ///< An order is being carried out.
  std::vector<Gateway::LoadedModel> models;
  std::vector<Gateway::Artifact> coming; ///< Adapters that are on their way.
  Gateway::ServerStart started{};        ///< Of the life that reports; 0 where it does not tell.
};

/// How orders reach backend servers; the platform's part.
struct OrderChannel
{
  std::function<void(const OrderCall&, std::function<void(Common::Result<OrderAnswer>)>)> send;
  std::function<void(const Gateway::InstanceId&, const Http::Endpoint&,
                     std::function<void(Common::Result<ServerReport>)>)>
      read_report;
  /// Resets all calls on their way; their callbacks are not called any more.
  std::function<void()> abandon;
};

struct OrderDeskSettings
{
  double load_window_s = 5; ///< Over which loads from the weight store are bounded.
};

/// Plans and gives the orders of the lease's holder, and keeps account of what became of them. Each
/// order names the sequence that it expects, so of several orders for one sequence at most one
/// takes effect, however late it arrives: what an unanswered order may still load never adds up.
class OrderDesk
{
public:
  OrderDesk(Gateway::ServerDirectory& servers, OrderChannel channel, OrderDeskSettings settings);

  void Configure(const OrderDeskSettings& settings) { m_settings = settings; }
  void SetConfiguration(std::shared_ptr<const Gateway::Configuration> configuration);
  /// Asked before each order.
  void SetPermission(std::function<std::optional<OrderPermit>()> permit)
  {
    m_permit = std::move(permit);
  }
  /// Called when daemons should hear of a change in placement.
  void OnPlacementChange(std::function<void()> callback) { m_on_placement = std::move(callback); }

  void TakeReport(const DaemonReport& report, Common::TimePoint now);
  /// Looks at the demand and gives orders.
  void Plan(Common::TimePoint now);
  /// Plans within some ms, however often it is asked for.
  void PlanSoon();
  /// Starts anew: another daemon held the lease meanwhile.
  void Forget();
  /// The lease is lost: an order on its way must not arrive while the next holder acts.
  void Abandon() { m_channel.abandon(); }

  /// What daemons should know of the servers beyond their entries.
  std::vector<PlacementLine> Placements() const;
  /// Open requests of all daemons.
  const FlightBook& Flights() const { return m_flights; }

  /// Orders by what became of them, and loads by where the weights came from.
  const std::map<std::string, std::int64_t>& Counters() const { return m_counters; }

private:
  /// Accepted adapters are usable after some ms; requests that come too early are rejected.
  static constexpr Common::Milliseconds ADAPTER_LOAD_TIME{90};
  /// A server whose state is not clear is asked so often.
  static constexpr Common::Milliseconds CHECK_PAUSE{350};
  /// What follows an unload on its server: more unloads, then the load that they make room for.
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
    bool in_exchange = false; ///< A call or a report is on its way.
    NextOrders next;
    Decisions::WeightSource source = Decisions::WeightSource::WeightStore;
    std::uint64_t id = 0;
  };
  /// A load that was never answered. It may still take effect, and in a later life of its server
  /// too, once that has taken as many orders as it expects.
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
    /// The server's own word on its sequence and state is needed before an order: at the beginning
    /// of a tenure, and after anything that did not go as expected.
    bool state_known = false;
    bool report_asked = false;
    Common::TimePoint next_report;
    std::vector<Gateway::ModelId> reported_models;
    bool held_changed = true; ///< What it holds is to be told to the plan's book.
    std::optional<OpenOrder> open;
    std::vector<LateLoad> unanswered_loads; ///< Of this life, where at most one takes effect.
    std::vector<LateLoad> late_loads;       ///< Of earlier lives.
    bool adapter_in_exchange = false;
    Common::TimePoint unusable_until;
    Common::TimePoint last_adapter_order;
    std::map<Gateway::ModelId, Common::TimePoint> loaded_since;
    std::map<Gateway::Artifact, AdapterBook> adapters;
    std::set<Gateway::Artifact>
        dropped_adapters; ///< Unloaded, though the entry may still name them.
    std::set<Gateway::Artifact> leaving_adapters; ///< About to be unloaded: no new requests.
  };
  struct DaemonBook
  {
    DaemonReport last;
    Common::TimePoint heard_at;
  };
  /// One server with all that is kept of it, so that a plan looks nothing up by name.
  struct Slot
  {
    Gateway::ServerPtr server;
    ServerBook* book = nullptr;
    PlanBook* plan = nullptr; ///< Of its pool; nullptr where that has no model engines.
    Decisions::ServerIndex index{};
    std::uint64_t entry_revision = 0; ///< Of the entry that was last looked at.
  };

  void DropSilentDaemons(Common::TimePoint now);
  void SumBackoffs();
  /// Makes the slots and the plans' books anew where servers or the configuration have changed.
  void RefreshSlots();
  void RefreshSlot(Slot& slot, Common::TimePoint now);
  static LateLoad LateLoadOf(const OpenOrder& order);
  static bool IsLoadUnderWay(const OpenOrder& order);
  static void NoteUnanswered(ServerBook& book, const OpenOrder& order, Common::TimePoint now);
  /// Drops the books of servers that are gone or live anew.
  void DropBooks();
  double LateLoadsMb(const Gateway::Pool& pool, const ServerBook& book,
                     Common::TimePoint now) const;
  /// True where a report is the word of the life that is meant. One of a later life ends this one:
  /// nothing goes there until its entry tells what it is.
  bool IsOfThisLife(const Gateway::InstanceId& instance, const ServerReport& report);
  static void RefreshBook(const Gateway::Server& server, ServerBook& book, Common::TimePoint now);
  static std::vector<HeldModel> HeldModels(const ServerBook& book, Common::TimePoint now);
  /// Models of servers with a limit are held elsewhere too, unless most servers have one: then
  /// there is no elsewhere.
  bool MayPlanAround(const PlanBook& plan, Common::TimePoint now) const;
  /// True where at least half of the daemons back off from the server for long.
  bool IsBackedOffFrom(const Gateway::Server& server) const;
  ServerState StateOf(const Gateway::Pool& pool, const Slot& slot, bool plan_around_limits,
                      Common::TimePoint now) const;
  void CheckOpen(const Gateway::ServerPtr& server, ServerBook& book, Common::TimePoint now);
  void PlanPool(const Gateway::Pool& pool, PlanBook& plan, Common::TimePoint now);
  void LogPassedOver(const PlanBook& plan, const Decisions::ReplicaPlanInput& input,
                     const std::vector<Decisions::PassedOver>& passed_over);
  void PlanAdapters(const Gateway::Pool& pool, Common::TimePoint now);
  void LoadAdapter(const Gateway::Pool& pool, const Gateway::Artifact& artifact,
                   const std::vector<const Slot*>& holders, Common::TimePoint now);
  std::optional<Gateway::Artifact>
  AdapterVictim(const Gateway::Server& server, const ServerBook& book, Common::TimePoint now) const;
  int StoreLoadsAllowed(const Gateway::Pool& pool, Common::TimePoint now) const;

  void Give(const Gateway::ServerPtr& server, OrderCall::Operation operation,
            const Gateway::ModelId& model, NextOrders next, Decisions::WeightSource source,
            const std::string& reason);
  /// The order that follows one that is done.
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

  /// Tells the daemons of adapters once they are usable.
  void AnnounceAdapters();
  /// Adapters that requests wait for.
  std::set<Gateway::Artifact> WaitingAdapters(const Gateway::PoolId& pool) const;
  /// The pool's servers that hold the model.
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
  std::map<ServerHash, int> m_backing_off; ///< Daemons that tell it of a server.
  std::map<Gateway::PoolId, PlanBook> m_plans;
  std::vector<Slot> m_slots;
  std::uint64_t m_slots_revision = 0; ///< Of the servers that the slots were made from; 0: none.
  std::map<Gateway::Artifact, Common::TimePoint> m_adapter_wanted;
  bool m_unknown_logged = false; ///< Demand for a model that the configuration lacks.
  /// When each model that is passed over was last logged.
  std::map<Gateway::ModelId, Common::TimePoint> m_passed_over_logged;
  std::deque<Common::TimePoint> m_store_loads;
  std::uint64_t m_next_order = 1;
  std::map<std::string, std::int64_t> m_counters;
  Common::OwnedTimer m_plan_timer;
  Common::OwnedTimer m_adapter_timer;
};
} // namespace Orders

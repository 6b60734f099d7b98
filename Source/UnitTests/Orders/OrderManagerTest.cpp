// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Orders/OrderManager.h"

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/Loopback.h"

namespace
{
using namespace Orders;
using namespace Gateway;
using Common::Milliseconds;
using UnitTests::RunFor;
using UnitTests::RunUntil;
using OrderOutcome = Common::Result<OrderResult>;

constexpr double MODEL_MB = 70;
constexpr double SERVER_MB = 150;
/// Size of the model "large". Loading it requires unloading both other models.
constexpr double LARGE_MB = 140;

/// An OrderManager with one backend server that has memory for two models and whose results are set
/// by the test.
class OrderFixture
{
public:
  OrderFixture()
      : order_manager(servers,
                      {[this](const OrderCall& call, auto done) {
                         calls.push_back(call);
                         Later([done, result = next_result] {
                           done(result);
                         });
                       },
                       [this](const InstanceId&, const Http::Endpoint&, auto done) {
                         ++reports;
                         Later([done, result = report] {
                           done(result);
                         });
                       },
                       [this] {
                         ++cancelled;
                       }},
                      {})
  {
    auto configuration = std::make_shared<Configuration>();
    Pool pool;
    pool.id = PoolId("p");
    ModelServerSpec engine;
    engine.batch = 8;
    engine.memory_mb = SERVER_MB;
    engine.adapter_slots = 2;
    engine.loads_per_second = 3;
    for (const char* name : {"a", "b", "c", "d"})
      engine.models[ModelId(name)] = {
          ModelId(name), MODEL_MB, Milliseconds(6000), Milliseconds(500), Milliseconds(300), 3, 1};
    engine.models[ModelId("large")] = {
        ModelId("large"), LARGE_MB, Milliseconds(6000), Milliseconds(500), Milliseconds(300), 0, 1};
    pool.model_server = engine;
    configuration->pools[pool.id] = pool;
    order_manager.SetConfiguration(configuration);
    order_manager.SetPermission([this]() -> std::optional<OrderPermit> {
      if (!fence)
        return std::nullopt;
      return OrderPermit{*fence, permitted_until};
    });
    SetModels({"a", "b"});
  }

  void Later(std::function<void()> callback) const { m_soon.Call(std::move(callback)); }

  /// Sets the models in the server's entry, as the platform publishes it.
  void SetModels(std::vector<const char*> names,
                 std::optional<HeartbeatNumber> heartbeat = std::nullopt)
  {
    ServerEntry entry;
    entry.heartbeat = heartbeat;
    entry.instance = InstanceId("i-1");
    entry.pool = PoolId("p");
    entry.slots = 8;
    for (const char* name : names)
      entry.models.push_back({ModelId(name), {}});
    entry.on_disk = {ModelId("a"), ModelId("b"), ModelId("c"), ModelId("d"), ModelId("large")};
    servers.Put(entry);
  }

  void Demand(const char* model, const char* adapter = "") { Demand({{model, adapter}}); }
  /// One request waits for each of these models and adapters.
  void Demand(const std::vector<std::pair<const char*, const char*>>& artifacts)
  {
    DaemonReport daemon;
    daemon.vm = Common::VmId("vm");
    daemon.run = Common::Incarnation("run");
    daemon.sequence = ++m_sequence;
    for (const auto& [model, adapter] : artifacts)
      daemon.demand.push_back({PoolId("p"), {ModelId(model), AdapterId(adapter)}, 1, 0, 10, 1});
    order_manager.OnDaemonReport(daemon, Common::Now());
  }

  /// Plans repeatedly until `done` returns true, as the lease holder does.
  bool PlanUntil(const std::function<bool()>& done)
  {
    return RunUntil([&] {
      order_manager.Plan(Common::Now());
      return done();
    });
  }

  ServerDirectory servers;
  std::vector<OrderCall> calls;
  int reports = 0;
  int cancelled = 0;
  Common::TimePoint permitted_until = Common::Now() + std::chrono::hours(1);
  OrderOutcome next_result{OrderResult::Accepted};
  Common::Result<ServerReport> report{ServerReport{4, false, {}, {}}};
  std::optional<std::int64_t> fence = 9;
  OrderManager order_manager;

private:
  UnitTests::DeferredCaller m_soon;
  std::uint64_t m_sequence = 0;
};

class OrderManagerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OrderManagerTest);
  CPPUNIT_TEST(QueriesTheServerStateBeforeTheFirstOrder);
  CPPUNIT_TEST(UnloadsThenLoadsWithIncreasingSequences);
  CPPUNIT_TEST(LargeLoadFollowsSeveralUnloads);
  CPPUNIT_TEST(NoOrdersWithoutTheLease);
  CPPUNIT_TEST(OrdersCarryTheEndOfThePermission);
  CPPUNIT_TEST(BusyServerGetsNoOrders);
  CPPUNIT_TEST(RejectedOrderIsReplannedAfterANewReport);
  CPPUNIT_TEST(UnansweredOrderIsResentWithTheSameSequence);
  CPPUNIT_TEST(UnansweredOrderThatWasAcceptedIsNotResent);
  CPPUNIT_TEST(ModelListedOnlyInTheReportOccupiesMemory);
  CPPUNIT_TEST(EntryWrittenLateMakesRoomForALoad);
  CPPUNIT_TEST(UnansweredLoadIsResentIntoRoomThatALateOrderHasTaken);
  CPPUNIT_TEST(UnloadedModelFromAReportIsNotHeld);
  CPPUNIT_TEST(PoolWithoutEngineGetsNoOrders);
  CPPUNIT_TEST(AdapterKeepsItsSlotUntilItsUnloadIsConfirmed);
  CPPUNIT_TEST(AdapterIsOrderedBeforeTheNextModel);
  CPPUNIT_TEST(AdapterWaitsForTheOpenOrderOfItsServer);
  CPPUNIT_TEST(UnloadIsAnnouncedBeforeTheOrder);
  CPPUNIT_TEST(ServerInBackoffGetsNoOrdersOrQueries);
  CPPUNIT_TEST(UnansweredLoadIsNotResentToADrainingServer);
  CPPUNIT_TEST(ModelIsLoadedElsewhereIfHalfOfTheDaemonsBackOff);
  CPPUNIT_TEST_SUITE_END();

  void ServerInBackoffGetsNoOrdersOrQueries()
  {
    OrderFixture fixture;
    Backoff& backoff = fixture.servers.Find(InstanceId("i-1"))->GetBackoff();
    const auto begin = Common::Now();
    backoff.NoteRetryAfter(Milliseconds(300), begin);
    fixture.Demand("c");
    // The last plan starts well before the backoff ends.
    fixture.PlanUntil([&] {
      return Common::Now() >= begin + Milliseconds(250);
    });
    CPPUNIT_ASSERT_EQUAL(0, fixture.reports);
    CPPUNIT_ASSERT(fixture.calls.empty());
    CPPUNIT_ASSERT(fixture.PlanUntil([&] {
      return !fixture.calls.empty();
    }));
  }

  void UnansweredLoadIsNotResentToADrainingServer()
  {
    OrderFixture fixture;
    fixture.SetModels({"a"});
    fixture.next_result = Common::Failure{Common::FailureKind::Timeout, "lost"};
    fixture.Demand("c");
    CPPUNIT_ASSERT(fixture.PlanUntil([&] {
      return fixture.calls.size() == 1;
    }));
    fixture.servers.Find(InstanceId("i-1"))->Drain().NoteAnnounced(Common::Now());
    const auto end = Common::Now() + Milliseconds(900);
    fixture.PlanUntil([&] {
      return Common::Now() > end;
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.calls.size());
  }

  void ModelIsLoadedElsewhereIfHalfOfTheDaemonsBackOff()
  {
    OrderFixture fixture;
    ServerEntry other;
    other.instance = InstanceId("i-2");
    other.pool = PoolId("p");
    other.slots = 8;
    other.on_disk = {ModelId("a")};
    fixture.servers.Put(other);
    ServerEntry third = other;
    third.instance = InstanceId("i-3");
    third.on_disk.clear();
    fixture.servers.Put(third);
    // One request waits for "a". No order is needed while i-1, which holds it, can serve it.
    const auto report = [&](std::vector<ServerHash> backing_off, std::uint64_t sequence) {
      DaemonReport daemon;
      daemon.vm = Common::VmId("vm");
      daemon.run = Common::Incarnation("run");
      daemon.sequence = sequence;
      daemon.demand = {{PoolId("p"), {ModelId("a"), AdapterId("")}, 1, 0, 10, 1}};
      daemon.backing_off = std::move(backing_off);
      fixture.order_manager.OnDaemonReport(daemon, Common::Now());
    };
    report({}, 1);
    const auto calm_until = Common::Now() + Milliseconds(100);
    fixture.PlanUntil([&] {
      return Common::Now() > calm_until;
    });
    CPPUNIT_ASSERT(fixture.calls.empty());
    report({HashOf(InstanceId("i-1"))}, 2);
    CPPUNIT_ASSERT(fixture.PlanUntil([&] {
      return !fixture.calls.empty();
    }));
    CPPUNIT_ASSERT_EQUAL(std::string("i-2"), fixture.calls[0].instance.Get());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), fixture.calls[0].artifact.model.Get());
  }

  void QueriesTheServerStateBeforeTheFirstOrder()
  {
    OrderFixture fixture;
    fixture.Demand("c");
    fixture.order_manager.Plan(Common::Now());
    CPPUNIT_ASSERT(fixture.calls.empty());
    CPPUNIT_ASSERT_EQUAL(1, fixture.reports);
    CPPUNIT_ASSERT(fixture.PlanUntil([&] {
      return !fixture.calls.empty();
    }));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(4), fixture.calls[0].expected_sequence);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(9), fixture.calls[0].fence);
  }

  void UnloadsThenLoadsWithIncreasingSequences()
  {
    OrderFixture fixture;
    fixture.Demand("c");
    CPPUNIT_ASSERT(fixture.PlanUntil([&] {
      return fixture.calls.size() == 1;
    }));
    CPPUNIT_ASSERT(fixture.calls[0].operation == OrderCall::Operation::Unload);
    const std::string victim = fixture.calls[0].artifact.model.Get();
    RunFor(Milliseconds(20));
    fixture.SetModels({victim == "a" ? "b" : "a"});
    CPPUNIT_ASSERT(fixture.PlanUntil([&] {
      return fixture.calls.size() == 2;
    }));
    CPPUNIT_ASSERT(fixture.calls[1].operation == OrderCall::Operation::Load);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), fixture.calls[1].artifact.model.Get());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(5), fixture.calls[1].expected_sequence);
  }

  /// A large model was never loaded on a server full of smaller ones: an order unloaded only one
  /// model, and no single one freed enough memory.
  void LargeLoadFollowsSeveralUnloads()
  {
    OrderFixture fixture;
    fixture.Demand("large");
    const auto next_call = [&](std::size_t count) {
      return fixture.PlanUntil([&] {
        return fixture.calls.size() == count;
      });
    };
    CPPUNIT_ASSERT(next_call(1));
    CPPUNIT_ASSERT(fixture.calls[0].operation == OrderCall::Operation::Unload);
    const std::string first = fixture.calls[0].artifact.model.Get();
    RunFor(Milliseconds(20));
    fixture.SetModels({first == "a" ? "b" : "a"});
    CPPUNIT_ASSERT(next_call(2));
    CPPUNIT_ASSERT(fixture.calls[1].operation == OrderCall::Operation::Unload);
    CPPUNIT_ASSERT_EQUAL(std::string(first == "a" ? "b" : "a"),
                         fixture.calls[1].artifact.model.Get());
    RunFor(Milliseconds(20));
    fixture.SetModels({});
    CPPUNIT_ASSERT(next_call(3));
    CPPUNIT_ASSERT(fixture.calls[2].operation == OrderCall::Operation::Load);
    CPPUNIT_ASSERT_EQUAL(std::string("large"), fixture.calls[2].artifact.model.Get());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(6), fixture.calls[2].expected_sequence);
  }

  void NoOrdersWithoutTheLease()
  {
    OrderFixture fixture;
    fixture.fence.reset();
    fixture.Demand("c");
    RunFor(Milliseconds(20));
    fixture.order_manager.Plan(Common::Now());
    RunFor(Milliseconds(20));
    CPPUNIT_ASSERT(fixture.calls.empty());
  }

  void OrdersCarryTheEndOfThePermission()
  {
    OrderFixture fixture;
    fixture.Demand("c");
    CPPUNIT_ASSERT(fixture.PlanUntil([&] {
      return !fixture.calls.empty();
    }));
    CPPUNIT_ASSERT(fixture.permitted_until == fixture.calls[0].send_before);
    CPPUNIT_ASSERT_EQUAL(0, fixture.cancelled);
    fixture.order_manager.CancelPending();
    CPPUNIT_ASSERT_EQUAL(1, fixture.cancelled);
  }

  void BusyServerGetsNoOrders()
  {
    OrderFixture fixture;
    fixture.report = ServerReport{4, true, {}, {}};
    fixture.Demand("c");
    for (int i = 0; i < 10; ++i)
    {
      fixture.order_manager.Plan(Common::Now());
      RunFor(Milliseconds(10));
    }
    CPPUNIT_ASSERT(fixture.calls.empty());
  }

  void RejectedOrderIsReplannedAfterANewReport()
  {
    OrderFixture fixture;
    fixture.next_result = OrderResult::Busy;
    fixture.Demand("c");
    CPPUNIT_ASSERT(fixture.PlanUntil([&] {
      return fixture.calls.size() == 1;
    }));
    RunFor(Milliseconds(20));
    const int reports = fixture.reports;
    fixture.report = ServerReport{7, false, {}, {}};
    fixture.next_result = OrderResult::Accepted;
    CPPUNIT_ASSERT(fixture.PlanUntil([&] {
      fixture.Demand("c");
      return fixture.calls.size() == 2;
    }));
    CPPUNIT_ASSERT(fixture.reports > reports);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(7), fixture.calls[1].expected_sequence);
  }

  void UnansweredOrderIsResentWithTheSameSequence()
  {
    OrderFixture fixture;
    fixture.next_result = Common::Failure{Common::FailureKind::Timeout, "lost"};
    fixture.Demand("c");
    CPPUNIT_ASSERT(fixture.PlanUntil([&] {
      return fixture.calls.size() == 2;
    }));
    CPPUNIT_ASSERT_EQUAL(fixture.calls[0].expected_sequence, fixture.calls[1].expected_sequence);
    CPPUNIT_ASSERT(fixture.calls[0].artifact == fixture.calls[1].artifact);
  }

  void UnansweredOrderThatWasAcceptedIsNotResent()
  {
    OrderFixture fixture;
    fixture.next_result = Common::Failure{Common::FailureKind::Timeout, "lost"};
    fixture.Demand("c");
    CPPUNIT_ASSERT(fixture.PlanUntil([&] {
      return fixture.calls.size() == 1;
    }));
    fixture.report = ServerReport{5, true, {}, {}};
    const auto end = Common::Now() + Milliseconds(900);
    fixture.PlanUntil([&] {
      return Common::Now() > end;
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.calls.size());
  }

  void ModelListedOnlyInTheReportOccupiesMemory()
  {
    OrderFixture fixture;
    fixture.SetModels({"a"});
    // The previous holder has loaded "b", which the entry does not list yet.
    fixture.report = ServerReport{6, false, {{ModelId("a"), {}}, {ModelId("b"), {}}}, {}};
    fixture.Demand("c");
    CPPUNIT_ASSERT(fixture.PlanUntil([&] {
      return fixture.calls.size() == 1;
    }) || fixture.calls.empty());
    for (const OrderCall& call : fixture.calls)
      CPPUNIT_ASSERT(call.operation == OrderCall::Operation::Unload);
  }

  /// The server holds two models; an entry from before the second one is written late.
  void EntryWrittenLateMakesRoomForALoad()
  {
    OrderFixture fixture;
    fixture.SetModels({"a", "b"}, HeartbeatNumber(7));
    fixture.report = ServerReport{4, false, {{ModelId("a"), {}}, {ModelId("b"), {}}}, {}};
    CPPUNIT_ASSERT(fixture.PlanUntil([&] {
      return fixture.reports == 1;
    }));
    RunFor(Milliseconds(20));
    fixture.order_manager.Plan(Common::Now());
    fixture.SetModels({"a"}, HeartbeatNumber(6));
    fixture.Demand("c");
    CPPUNIT_ASSERT(fixture.PlanUntil([&] {
      return !fixture.calls.empty();
    }));
    CPPUNIT_ASSERT(fixture.calls.front().operation == OrderCall::Operation::Unload);
  }

  /// A late order of the previous holder, which loads "b", is carried out before the unanswered
  /// one.
  void UnansweredLoadIsResentIntoRoomThatALateOrderHasTaken()
  {
    OrderFixture fixture;
    fixture.SetModels({"a"});
    fixture.report = ServerReport{4, false, {{ModelId("a"), {}}}, {}};
    fixture.next_result = Common::Failure{Common::FailureKind::Timeout, "no answer"};
    fixture.Demand("c");
    CPPUNIT_ASSERT(fixture.PlanUntil([&] {
      return fixture.calls.size() == 1;
    }));
    CPPUNIT_ASSERT(fixture.calls[0].operation == OrderCall::Operation::Load);
    RunFor(Milliseconds(20));
    fixture.report = ServerReport{5, false, {{ModelId("a"), {}}, {ModelId("b"), {}}}, {}};
    CPPUNIT_ASSERT(fixture.PlanUntil([&] {
      fixture.Demand("c");
      return fixture.calls.size() == 2;
    }));
    CPPUNIT_ASSERT(fixture.calls[1].operation == OrderCall::Operation::Unload);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(5), fixture.calls[1].expected_sequence);
  }

  void PoolWithoutEngineGetsNoOrders()
  {
    OrderFixture fixture;
    fixture.Demand("c");
    auto changed = std::make_shared<Configuration>();
    changed->pools[PoolId("p")].id = PoolId("p");
    fixture.order_manager.SetConfiguration(changed);
    fixture.Demand("c");
    fixture.order_manager.Plan(Common::Now());
    RunFor(Milliseconds(20));
    CPPUNIT_ASSERT(fixture.calls.empty());
  }

  /// After a change of the lease holder only 45 of 256 servers got orders, and requests for models
  /// that no server held were refused for the rest of the day (683 of 5,740). The new holder had
  /// read a server's report, which lists the same models as its entry. After one of them was
  /// unloaded, the entry no longer listed it, but the model from the report still counted as held.
  void UnloadedModelFromAReportIsNotHeld()
  {
    OrderFixture fixture;
    fixture.report = ServerReport{4, false, {{ModelId("a"), {}}, {ModelId("b"), {}}}, {}};
    fixture.Demand("c");
    CPPUNIT_ASSERT(fixture.PlanUntil([&] {
      return fixture.calls.size() == 1;
    }));
    CPPUNIT_ASSERT(fixture.calls[0].operation == OrderCall::Operation::Unload);
    const std::string victim = fixture.calls[0].artifact.model.Get();
    RunFor(Milliseconds(20));
    fixture.SetModels({victim == "a" ? "b" : "a", "c"});
    // The unloaded model is requested again and must be loaded, since no server holds it.
    fixture.next_result = OrderResult::AlreadyInState;
    CPPUNIT_ASSERT(fixture.PlanUntil([&] {
      fixture.Demand(victim.c_str());
      return !fixture.calls.empty() &&
             fixture.calls.back().operation == OrderCall::Operation::Unload &&
             fixture.calls.back().artifact.model.Get() != victim;
    }));
  }

  void AdapterKeepsItsSlotUntilItsUnloadIsConfirmed()
  {
    OrderFixture fixture;
    fixture.report = ServerReport{
        4, false, {{ModelId("a"), {AdapterId("a1"), AdapterId("a2")}}, {ModelId("b"), {}}}, {}};
    fixture.next_result = OrderResult::Busy;
    fixture.Demand("a", "a3");
    CPPUNIT_ASSERT(fixture.PlanUntil([&] {
      return fixture.calls.size() == 1;
    }));
    CPPUNIT_ASSERT(fixture.calls[0].operation == OrderCall::Operation::Unload);
    const auto end = Common::Now() + Milliseconds(600);
    fixture.PlanUntil([&] {
      fixture.Demand("a", "a3");
      return Common::Now() > end;
    });
    for (const OrderCall& call : fixture.calls)
      CPPUNIT_ASSERT(call.operation == OrderCall::Operation::Unload);
    fixture.next_result = OrderResult::AlreadyInState;
    CPPUNIT_ASSERT(fixture.PlanUntil([&] {
      fixture.Demand("a", "a3");
      return fixture.calls.back().operation == OrderCall::Operation::Load;
    }));
  }

  /// Adapters of a loaded model were never loaded: each time the server became idle, an order for a
  /// model came first, and the server rejected the adapter's as busy.
  void AdapterIsOrderedBeforeTheNextModel()
  {
    OrderFixture fixture;
    fixture.report = ServerReport{4, false, {{ModelId("a"), {}}, {ModelId("b"), {}}}, {}};
    // Until then, the planner keeps the models that it has just seen as loaded.
    const auto evictable_at = Common::Now() + Milliseconds(1000);
    fixture.PlanUntil([&] {
      return Common::Now() > evictable_at;
    });
    fixture.Demand({{"c", ""}, {"a", "a1"}});
    CPPUNIT_ASSERT(fixture.PlanUntil([&] {
      return fixture.calls.size() >= 2;
    }));
    CPPUNIT_ASSERT(fixture.calls[0].artifact == (Artifact{ModelId("a"), AdapterId("a1")}));
    CPPUNIT_ASSERT(fixture.calls[0].operation == OrderCall::Operation::Load);
    CPPUNIT_ASSERT(fixture.calls[1].operation == OrderCall::Operation::Unload);
    CPPUNIT_ASSERT_EQUAL(fixture.calls[0].expected_sequence + 1,
                         fixture.calls[1].expected_sequence);
  }

  /// An order that the server rejects as busy makes it known anew only after a query.
  void AdapterWaitsForTheOpenOrderOfItsServer()
  {
    OrderFixture fixture;
    fixture.report = ServerReport{4, false, {{ModelId("a"), {}}, {ModelId("b"), {}}}, {}};
    fixture.Demand("c");
    CPPUNIT_ASSERT(fixture.PlanUntil([&] {
      return fixture.calls.size() == 1;
    }));
    const auto end = Common::Now() + Milliseconds(100);
    fixture.PlanUntil([&] {
      fixture.Demand({{"c", ""}, {"a", "a1"}, {"b", "b1"}});
      return Common::Now() > end;
    });
    for (const OrderCall& call : fixture.calls)
      CPPUNIT_ASSERT(!call.artifact.IsAdapter());
  }

  void UnloadIsAnnouncedBeforeTheOrder()
  {
    OrderFixture fixture;
    bool announced = false;
    fixture.order_manager.OnPlacementChange([&] {
      for (const PlacementLine& line : fixture.order_manager.Placements())
        announced = announced || (!line.unloading.empty() && fixture.calls.empty());
    });
    fixture.Demand("c");
    CPPUNIT_ASSERT(fixture.PlanUntil([&] {
      return fixture.calls.size() == 1;
    }));
    CPPUNIT_ASSERT(announced);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderManagerTest);
} // namespace

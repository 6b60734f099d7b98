// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Orders/OrderDesk.h"

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/Loopback.h"

namespace
{
using namespace Orders;
using namespace Gateway;
using Common::Milliseconds;
using UnitTests::RunFor;
using UnitTests::RunUntil;
using Answer = Common::Result<OrderAnswer>;

constexpr double MODEL_MB = 70;
constexpr double SERVER_MB = 150;
/// Size of the model "large". Loading it requires unloading both other models.
constexpr double LARGE_MB = 140;

/// An OrderDesk with one backend server that has memory for two models and whose answers are set by
/// the test.
class World
{
public:
  World()
      : desk(servers,
             {[this](const OrderCall& call, auto done) {
                calls.push_back(call);
                Later([done, answer = next_answer] {
                  done(answer);
                });
              },
              [this](const InstanceId&, const Http::Endpoint&, auto done) {
                ++reports;
                Later([done, answer = report] {
                  done(answer);
                });
              },
              [this] {
                ++abandoned;
              }},
             {})
  {
    auto configuration = std::make_shared<Configuration>();
    Pool pool;
    pool.id = PoolId("p");
    EngineSpec engine;
    engine.batch = 8;
    engine.memory_mb = SERVER_MB;
    engine.adapter_slots = 2;
    engine.loads_per_second = 3;
    for (const char* name : {"a", "b", "c", "d"})
      engine.models[ModelId(name)] = {
          ModelId(name), MODEL_MB, Milliseconds(6000), Milliseconds(500), Milliseconds(300), 3, 1};
    engine.models[ModelId("large")] = {
        ModelId("large"), LARGE_MB, Milliseconds(6000), Milliseconds(500), Milliseconds(300), 0, 1};
    pool.engine = engine;
    configuration->pools[pool.id] = pool;
    desk.SetConfiguration(configuration);
    desk.SetPermission([this]() -> std::optional<OrderPermit> {
      if (!fence)
        return std::nullopt;
      return OrderPermit{*fence, permitted_until};
    });
    SetModels({"a", "b"});
  }

  void Later(std::function<void()> callback) const { m_soon.Call(std::move(callback)); }

  /// Sets the models in the server's entry, as the platform publishes it.
  void SetModels(std::vector<const char*> names)
  {
    ServerEntry entry;
    entry.instance = InstanceId("i-1");
    entry.pool = PoolId("p");
    entry.slots = 8;
    for (const char* name : names)
      entry.models.push_back({ModelId(name), {}});
    entry.on_disk = {ModelId("a"), ModelId("b"), ModelId("c"), ModelId("d"), ModelId("large")};
    servers.Put(entry);
  }

  void Demand(const char* model, const char* adapter = "")
  {
    DaemonReport daemon;
    daemon.vm = Common::VmId("vm");
    daemon.run = Common::Incarnation("run");
    daemon.sequence = ++m_sequence;
    daemon.demand = {{PoolId("p"), {ModelId(model), AdapterId(adapter)}, 1, 0, 10, 1}};
    desk.TakeReport(daemon, Common::Now());
  }

  /// Plans repeatedly until `done` returns true, as the lease holder does.
  bool PlanUntil(const std::function<bool()>& done)
  {
    return RunUntil([&] {
      desk.Plan(Common::Now());
      return done();
    });
  }

  ServerDirectory servers;
  std::vector<OrderCall> calls;
  int reports = 0;
  int abandoned = 0;
  Common::TimePoint permitted_until = Common::Now() + std::chrono::hours(1);
  Answer next_answer{OrderAnswer::Accepted};
  Common::Result<ServerReport> report{ServerReport{4, false, {}, {}}};
  std::optional<std::int64_t> fence = 9;
  OrderDesk desk;

private:
  UnitTests::SoonCaller m_soon;
  std::uint64_t m_sequence = 0;
};

class OrderDeskTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OrderDeskTest);
  CPPUNIT_TEST(AsksTheServersStateBeforeTheFirstOrder);
  CPPUNIT_TEST(UnloadsThenLoadsWithRisingSequences);
  CPPUNIT_TEST(SeveralUnloadsGoBeforeALargeLoad);
  CPPUNIT_TEST(OrdersNothingWithoutTheLease);
  CPPUNIT_TEST(OrdersNameTheMomentFromWhichTheyMayNotLeave);
  CPPUNIT_TEST(ABusyServerGetsNoOrder);
  CPPUNIT_TEST(ARefusedOrderIsPlannedAnewAfterANewReport);
  CPPUNIT_TEST(AnUnansweredOrderIsRepeatedOnlyWithItsSequence);
  CPPUNIT_TEST(AnUnansweredOrderThatWasTakenIsNotRepeated);
  CPPUNIT_TEST(AModelOnlyTheReportNamesTakesItsRoom);
  CPPUNIT_TEST(AModelThatIsUnloadedLeavesTheReportBehind);
  CPPUNIT_TEST(APoolThatLosesItsEngineIsPlannedNoMore);
  CPPUNIT_TEST(AnAdapterKeepsItsSlotUntilItsUnloadIsConfirmed);
  CPPUNIT_TEST(ALeavingModelIsAnnouncedBeforeItsUnload);
  CPPUNIT_TEST(AServerThatWantsNoRequestsIsNotOrderedNorAsked);
  CPPUNIT_TEST(AnUnansweredLoadIsNotRepeatedAtADrainingServer);
  CPPUNIT_TEST(WhatHalfOfTheDaemonsMayNotAskIsHeldElsewhere);
  CPPUNIT_TEST_SUITE_END();

  void AServerThatWantsNoRequestsIsNotOrderedNorAsked()
  {
    World world;
    Backoff& backoff = world.servers.Find(InstanceId("i-1"))->GetBackoff();
    const auto begin = Common::Now();
    backoff.NoteRetryAfter(Milliseconds(300), begin);
    world.Demand("c");
    // The last plan starts well before the backoff ends.
    world.PlanUntil([&] {
      return Common::Now() >= begin + Milliseconds(250);
    });
    CPPUNIT_ASSERT_EQUAL(0, world.reports);
    CPPUNIT_ASSERT(world.calls.empty());
    CPPUNIT_ASSERT(world.PlanUntil([&] {
      return !world.calls.empty();
    }));
  }

  void AnUnansweredLoadIsNotRepeatedAtADrainingServer()
  {
    World world;
    world.SetModels({"a"});
    world.next_answer = Common::Failure{Common::FailureKind::Timeout, "lost"};
    world.Demand("c");
    CPPUNIT_ASSERT(world.PlanUntil([&] {
      return world.calls.size() == 1;
    }));
    world.servers.Find(InstanceId("i-1"))->Drain().NoteAnnounced(Common::Now());
    const auto end = Common::Now() + Milliseconds(900);
    world.PlanUntil([&] {
      return Common::Now() > end;
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.calls.size());
  }

  void WhatHalfOfTheDaemonsMayNotAskIsHeldElsewhere()
  {
    World world;
    ServerEntry other;
    other.instance = InstanceId("i-2");
    other.pool = PoolId("p");
    other.slots = 8;
    other.on_disk = {ModelId("a")};
    world.servers.Put(other);
    ServerEntry third = other;
    third.instance = InstanceId("i-3");
    third.on_disk.clear();
    world.servers.Put(third);
    // One request waits for "a". No order is needed while i-1, which holds it, can serve it.
    const auto report = [&](std::vector<ServerHash> backing_off, std::uint64_t sequence) {
      DaemonReport daemon;
      daemon.vm = Common::VmId("vm");
      daemon.run = Common::Incarnation("run");
      daemon.sequence = sequence;
      daemon.demand = {{PoolId("p"), {ModelId("a"), AdapterId("")}, 1, 0, 10, 1}};
      daemon.backing_off = std::move(backing_off);
      world.desk.TakeReport(daemon, Common::Now());
    };
    report({}, 1);
    const auto calm_until = Common::Now() + Milliseconds(100);
    world.PlanUntil([&] {
      return Common::Now() > calm_until;
    });
    CPPUNIT_ASSERT(world.calls.empty());
    report({HashOf(InstanceId("i-1"))}, 2);
    CPPUNIT_ASSERT(world.PlanUntil([&] {
      return !world.calls.empty();
    }));
    CPPUNIT_ASSERT_EQUAL(std::string("i-2"), world.calls[0].instance.Get());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), world.calls[0].artifact.model.Get());
  }

  void AsksTheServersStateBeforeTheFirstOrder()
  {
    World world;
    world.Demand("c");
    world.desk.Plan(Common::Now());
    CPPUNIT_ASSERT(world.calls.empty());
    CPPUNIT_ASSERT_EQUAL(1, world.reports);
    CPPUNIT_ASSERT(world.PlanUntil([&] {
      return !world.calls.empty();
    }));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(4), world.calls[0].expected_sequence);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(9), world.calls[0].fence);
  }

  void UnloadsThenLoadsWithRisingSequences()
  {
    World world;
    world.Demand("c");
    CPPUNIT_ASSERT(world.PlanUntil([&] {
      return world.calls.size() == 1;
    }));
    CPPUNIT_ASSERT(world.calls[0].operation == OrderCall::Operation::Unload);
    const std::string victim = world.calls[0].artifact.model.Get();
    RunFor(Milliseconds(20));
    world.SetModels({victim == "a" ? "b" : "a"});
    CPPUNIT_ASSERT(world.PlanUntil([&] {
      return world.calls.size() == 2;
    }));
    CPPUNIT_ASSERT(world.calls[1].operation == OrderCall::Operation::Load);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), world.calls[1].artifact.model.Get());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(5), world.calls[1].expected_sequence);
  }

  /// A large model was never loaded on a server full of smaller ones: an order unloaded only one
  /// model, and no single one freed enough memory.
  void SeveralUnloadsGoBeforeALargeLoad()
  {
    World world;
    world.Demand("large");
    const auto next_call = [&](std::size_t count) {
      return world.PlanUntil([&] {
        return world.calls.size() == count;
      });
    };
    CPPUNIT_ASSERT(next_call(1));
    CPPUNIT_ASSERT(world.calls[0].operation == OrderCall::Operation::Unload);
    const std::string first = world.calls[0].artifact.model.Get();
    RunFor(Milliseconds(20));
    world.SetModels({first == "a" ? "b" : "a"});
    CPPUNIT_ASSERT(next_call(2));
    CPPUNIT_ASSERT(world.calls[1].operation == OrderCall::Operation::Unload);
    CPPUNIT_ASSERT_EQUAL(std::string(first == "a" ? "b" : "a"),
                         world.calls[1].artifact.model.Get());
    RunFor(Milliseconds(20));
    world.SetModels({});
    CPPUNIT_ASSERT(next_call(3));
    CPPUNIT_ASSERT(world.calls[2].operation == OrderCall::Operation::Load);
    CPPUNIT_ASSERT_EQUAL(std::string("large"), world.calls[2].artifact.model.Get());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(6), world.calls[2].expected_sequence);
  }

  void OrdersNothingWithoutTheLease()
  {
    World world;
    world.fence.reset();
    world.Demand("c");
    RunFor(Milliseconds(20));
    world.desk.Plan(Common::Now());
    RunFor(Milliseconds(20));
    CPPUNIT_ASSERT(world.calls.empty());
  }

  void OrdersNameTheMomentFromWhichTheyMayNotLeave()
  {
    World world;
    world.Demand("c");
    CPPUNIT_ASSERT(world.PlanUntil([&] {
      return !world.calls.empty();
    }));
    CPPUNIT_ASSERT(world.permitted_until == world.calls[0].send_before);
    CPPUNIT_ASSERT_EQUAL(0, world.abandoned);
    world.desk.Abandon();
    CPPUNIT_ASSERT_EQUAL(1, world.abandoned);
  }

  void ABusyServerGetsNoOrder()
  {
    World world;
    world.report = ServerReport{4, true, {}, {}};
    world.Demand("c");
    for (int i = 0; i < 10; ++i)
    {
      world.desk.Plan(Common::Now());
      RunFor(Milliseconds(10));
    }
    CPPUNIT_ASSERT(world.calls.empty());
  }

  void ARefusedOrderIsPlannedAnewAfterANewReport()
  {
    World world;
    world.next_answer = OrderAnswer::Busy;
    world.Demand("c");
    CPPUNIT_ASSERT(world.PlanUntil([&] {
      return world.calls.size() == 1;
    }));
    RunFor(Milliseconds(20));
    const int reports = world.reports;
    world.report = ServerReport{7, false, {}, {}};
    world.next_answer = OrderAnswer::Accepted;
    CPPUNIT_ASSERT(world.PlanUntil([&] {
      world.Demand("c");
      return world.calls.size() == 2;
    }));
    CPPUNIT_ASSERT(world.reports > reports);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(7), world.calls[1].expected_sequence);
  }

  void AnUnansweredOrderIsRepeatedOnlyWithItsSequence()
  {
    World world;
    world.next_answer = Common::Failure{Common::FailureKind::Timeout, "lost"};
    world.Demand("c");
    CPPUNIT_ASSERT(world.PlanUntil([&] {
      return world.calls.size() == 2;
    }));
    CPPUNIT_ASSERT_EQUAL(world.calls[0].expected_sequence, world.calls[1].expected_sequence);
    CPPUNIT_ASSERT(world.calls[0].artifact == world.calls[1].artifact);
  }

  void AnUnansweredOrderThatWasTakenIsNotRepeated()
  {
    World world;
    world.next_answer = Common::Failure{Common::FailureKind::Timeout, "lost"};
    world.Demand("c");
    CPPUNIT_ASSERT(world.PlanUntil([&] {
      return world.calls.size() == 1;
    }));
    world.report = ServerReport{5, true, {}, {}};
    const auto end = Common::Now() + Milliseconds(900);
    world.PlanUntil([&] {
      return Common::Now() > end;
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.calls.size());
  }

  void AModelOnlyTheReportNamesTakesItsRoom()
  {
    World world;
    world.SetModels({"a"});
    // The previous holder has loaded "b", which the entry does not list yet.
    world.report = ServerReport{6, false, {{ModelId("a"), {}}, {ModelId("b"), {}}}, {}};
    world.Demand("c");
    CPPUNIT_ASSERT(world.PlanUntil([&] {
      return world.calls.size() == 1;
    }) || world.calls.empty());
    for (const OrderCall& call : world.calls)
      CPPUNIT_ASSERT(call.operation == OrderCall::Operation::Unload);
  }

  void APoolThatLosesItsEngineIsPlannedNoMore()
  {
    World world;
    world.Demand("c");
    auto changed = std::make_shared<Configuration>();
    changed->pools[PoolId("p")].id = PoolId("p");
    world.desk.SetConfiguration(changed);
    world.Demand("c");
    world.desk.Plan(Common::Now());
    RunFor(Milliseconds(20));
    CPPUNIT_ASSERT(world.calls.empty());
  }

  /// After a change of the lease holder only 45 of 256 servers got orders, and requests for models
  /// that no server held were refused for the rest of the day (683 of 5,740). The new holder had
  /// read a server's report, which lists the same models as its entry. After one of them was
  /// unloaded, the entry no longer listed it, but the model from the report still counted as held.
  void AModelThatIsUnloadedLeavesTheReportBehind()
  {
    World world;
    world.report = ServerReport{4, false, {{ModelId("a"), {}}, {ModelId("b"), {}}}, {}};
    world.Demand("c");
    CPPUNIT_ASSERT(world.PlanUntil([&] {
      return world.calls.size() == 1;
    }));
    CPPUNIT_ASSERT(world.calls[0].operation == OrderCall::Operation::Unload);
    const std::string victim = world.calls[0].artifact.model.Get();
    RunFor(Milliseconds(20));
    world.SetModels({victim == "a" ? "b" : "a", "c"});
    // The unloaded model is requested again and must be loaded, since no server holds it.
    world.next_answer = OrderAnswer::AlreadySo;
    CPPUNIT_ASSERT(world.PlanUntil([&] {
      world.Demand(victim.c_str());
      return !world.calls.empty() && world.calls.back().operation == OrderCall::Operation::Unload &&
             world.calls.back().artifact.model.Get() != victim;
    }));
  }

  void AnAdapterKeepsItsSlotUntilItsUnloadIsConfirmed()
  {
    World world;
    world.report = ServerReport{
        4, false, {{ModelId("a"), {AdapterId("a1"), AdapterId("a2")}}, {ModelId("b"), {}}}, {}};
    world.next_answer = OrderAnswer::Busy;
    world.Demand("a", "a3");
    CPPUNIT_ASSERT(world.PlanUntil([&] {
      return world.calls.size() == 1;
    }));
    CPPUNIT_ASSERT(world.calls[0].operation == OrderCall::Operation::Unload);
    const auto end = Common::Now() + Milliseconds(600);
    world.PlanUntil([&] {
      world.Demand("a", "a3");
      return Common::Now() > end;
    });
    for (const OrderCall& call : world.calls)
      CPPUNIT_ASSERT(call.operation == OrderCall::Operation::Unload);
    world.next_answer = OrderAnswer::AlreadySo;
    CPPUNIT_ASSERT(world.PlanUntil([&] {
      world.Demand("a", "a3");
      return world.calls.back().operation == OrderCall::Operation::Load;
    }));
  }

  void ALeavingModelIsAnnouncedBeforeItsUnload()
  {
    World world;
    bool announced = false;
    world.desk.OnPlacementChange([&] {
      for (const PlacementLine& line : world.desk.Placements())
        announced = announced || (!line.unloading.empty() && world.calls.empty());
    });
    world.Demand("c");
    CPPUNIT_ASSERT(world.PlanUntil([&] {
      return world.calls.size() == 1;
    }));
    CPPUNIT_ASSERT(announced);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderDeskTest);
} // namespace

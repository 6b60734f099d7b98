// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Orders to a backend server that restarts under the same id: it has lost its models and state, and
// its order sequence starts again at 0.

#include "Orders/OrderDesk.h"

#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/Loopback.h"
#include "platform/Decode.h"

namespace
{
using namespace Orders;
using namespace Gateway;
using Common::Milliseconds;
using UnitTests::RunFor;
using UnitTests::RunUntil;

/// An OrderDesk with one server that has memory for two of four models.
class World
{
public:
  World()
      : desk(servers,
             {[this](const OrderCall& call, auto done) {
                calls.push_back(call);
                m_soon.Call([done, answer = next_answer] {
                  done(answer);
                });
              },
              [this](const InstanceId&, const Http::Endpoint&, auto done) {
                ++reports;
                m_soon.Call([done, answer = PlatformFace::DecodeReport(report)] {
                  done(answer);
                });
              },
              [] {}},
             {})
  {
    auto configuration = std::make_shared<Configuration>();
    Pool pool;
    pool.id = PoolId("s");
    EngineSpec engine;
    engine.batch = 8;
    engine.memory_mb = 150;
    engine.loads_per_second = 3;
    for (const char* name : {"a", "b", "c", "d"})
      engine.models[ModelId(name)] = {
          ModelId(name), 70, Milliseconds(6000), Milliseconds(500), Milliseconds(300), 0, 1};
    pool.engine = engine;
    configuration->pools[pool.id] = pool;
    desk.SetConfiguration(configuration);
    desk.SetPermission([this]() -> std::optional<OrderPermit> {
      return OrderPermit{9, Common::Now() + std::chrono::hours(1)};
    });
  }

  void Enter(std::int64_t born, const std::string& models = "")
  {
    const auto entry = PlatformFace::DecodeServerEntry(
        "i-1",
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":8,"state":"ready","born":)" +
            std::to_string(born) + R"(,"models":[)" + models +
            R"(],"atHand":{"inMemory":[],"onDisk":["a","b","c","d"]},"seq":1})");
    CPPUNIT_ASSERT(static_cast<bool>(entry));
    servers.Put(*entry);
  }

  void SetReport(std::int64_t born, int sequence)
  {
    report = R"({"stage":"combined","models":[],"busy":false,"seq":)" + std::to_string(sequence) +
             R"(,"born":)" + std::to_string(born) + "}";
  }

  void Demand(std::vector<const char*> models)
  {
    DaemonReport daemon;
    daemon.vm = Common::VmId("vm");
    daemon.run = Common::Incarnation("run");
    daemon.sequence = ++m_sequence;
    for (const char* model : models)
      daemon.demand.push_back({PoolId("s"), {ModelId(model), AdapterId()}, 1, 0, 10, 1});
    desk.TakeReport(daemon, Common::Now());
  }

  bool PlanUntil(const std::function<bool()>& done)
  {
    return RunUntil([&] {
      desk.Plan(Common::Now());
      return done();
    });
  }
  void PlanFor(Milliseconds span)
  {
    const auto until = Common::Now() + span;
    PlanUntil([&] {
      return Common::Now() >= until;
    });
  }
  bool OrderGiven(std::size_t count)
  {
    return PlanUntil([&] {
      return calls.size() >= count;
    });
  }

  ServerDirectory servers;
  std::vector<OrderCall> calls;
  int reports = 0;
  std::string report;
  Common::Result<OrderAnswer> next_answer{OrderAnswer::Accepted};
  OrderDesk desk;

private:
  UnitTests::DeferredCaller m_soon;
  std::uint64_t m_sequence = 0;
};

class ServerLivesOrdersTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ServerLivesOrdersTest);
  CPPUNIT_TEST(ALoadUnderWayWhenItDiedIsGivenAnewWithTheNewSequence);
  CPPUNIT_TEST(AHolderThatTakesOverAfterTheRestartGoesByTheNewLife);
  CPPUNIT_TEST(AReportOfTheLifeBeforeIsPassedOver);
  CPPUNIT_TEST(AReportOfALaterLifeStopsOrdersUntilItsEntry);
  CPPUNIT_TEST(ALateOrderOfTheLifeBeforeKeepsItsRoom);
  CPPUNIT_TEST(AnOrderThatWasClosedUnansweredKeepsItsRoomInALaterLife);
  CPPUNIT_TEST_SUITE_END();

  /// The server accepts an order and restarts within one heartbeat.
  void ALoadUnderWayWhenItDiedIsGivenAnewWithTheNewSequence()
  {
    World world;
    world.Enter(1000);
    world.SetReport(1000, 4);
    world.Demand({"a"});
    CPPUNIT_ASSERT(world.OrderGiven(1));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(4), world.calls[0].expected_sequence);
    RunFor(Milliseconds(20));
    world.Enter(2000);
    world.SetReport(2000, 0);
    CPPUNIT_ASSERT(world.OrderGiven(2));
    CPPUNIT_ASSERT(world.calls[1].operation == OrderCall::Operation::Load);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), world.calls[1].expected_sequence);
  }

  /// The lease holder changes after an order was accepted, and the server restarts meanwhile. The
  /// first report that the new holder gets is from before the restart.
  void AHolderThatTakesOverAfterTheRestartGoesByTheNewLife()
  {
    World world;
    world.Enter(1000);
    world.SetReport(1000, 4);
    world.Demand({"a"});
    CPPUNIT_ASSERT(world.OrderGiven(1));
    RunFor(Milliseconds(20));
    world.desk.Forget();
    world.Enter(2000);
    world.PlanFor(Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.calls.size());
    world.SetReport(2000, 0);
    CPPUNIT_ASSERT(world.OrderGiven(2));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), world.calls[1].expected_sequence);
  }

  /// A report from before the restart arrives after the entry of the restarted server.
  void AReportOfTheLifeBeforeIsPassedOver()
  {
    World world;
    world.Enter(2000);
    world.SetReport(1000, 4);
    world.Demand({"a"});
    world.PlanFor(Milliseconds(100));
    CPPUNIT_ASSERT(world.reports > 0);
    CPPUNIT_ASSERT(world.calls.empty());
    world.SetReport(2000, 0);
    CPPUNIT_ASSERT(world.OrderGiven(1));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), world.calls[0].expected_sequence);
  }

  /// The server's report shows the restart before its entry does. The models listed in the entry
  /// are gone, so no order may be planned from it.
  void AReportOfALaterLifeStopsOrdersUntilItsEntry()
  {
    World world;
    world.Enter(1000);
    world.SetReport(2000, 0);
    world.Demand({"a"});
    world.PlanFor(Milliseconds(100));
    CPPUNIT_ASSERT(world.calls.empty());
    CPPUNIT_ASSERT(!world.servers.All().begin()->second->IsAvailable(Common::Now()));
    world.Enter(2000);
    CPPUNIT_ASSERT(world.OrderGiven(1));
  }

  /// An unanswered load from before the restart may still take effect after it, if the restarted
  /// server happens to have accepted as many orders. Memory is reserved for it meanwhile.
  void ALateOrderOfTheLifeBeforeKeepsItsRoom()
  {
    World world;
    world.Enter(1000);
    world.SetReport(1000, 1);
    world.next_answer = Common::Failure{Common::FailureKind::Timeout, "no answer"};
    world.Demand({"a"});
    CPPUNIT_ASSERT(world.OrderGiven(1));
    RunFor(Milliseconds(20));
    world.next_answer = OrderAnswer::Accepted;
    world.Enter(2000, R"({"name":"b","version":1,"adapters":[]})");
    world.SetReport(2000, 1);
    world.Demand({"c"});
    // 150 MB fit "b" and one more model: the late "a". "c" fits only once "b" is unloaded.
    world.PlanFor(Milliseconds(100));
    for (std::size_t i = 1; i < world.calls.size(); ++i)
      CPPUNIT_ASSERT(world.calls[i].operation == OrderCall::Operation::Unload);
  }

  /// The sequence had moved past an unanswered load, which therefore could not take effect any more
  /// and was forgotten. After a restart the sequence started again at 0, so the load could take
  /// effect after all. Found by the formal model of server restarts.
  void AnOrderThatWasClosedUnansweredKeepsItsRoomInALaterLife()
  {
    World world;
    world.Enter(1000);
    world.SetReport(1000, 1);
    world.next_answer = Common::Failure{Common::FailureKind::Timeout, "no answer"};
    world.Demand({"a"});
    CPPUNIT_ASSERT(world.OrderGiven(1));
    RunFor(Milliseconds(20));
    // The order is sent again with the server's current sequence and is refused.
    world.SetReport(1000, 3);
    world.next_answer = OrderAnswer::Busy;
    CPPUNIT_ASSERT(world.OrderGiven(2));
    RunFor(Milliseconds(20));
    world.next_answer = OrderAnswer::Accepted;
    world.Enter(2000, R"({"name":"b","version":1,"adapters":[]})");
    world.SetReport(2000, 1);
    world.Demand({"c"});
    const std::size_t before = world.calls.size();
    world.PlanFor(Milliseconds(100));
    for (std::size_t i = before; i < world.calls.size(); ++i)
      CPPUNIT_ASSERT(world.calls[i].operation == OrderCall::Operation::Unload);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerLivesOrdersTest);
} // namespace

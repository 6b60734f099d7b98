// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Orders to a backend server that restarts under the same id: it has lost its models and state, and
// its order sequence starts again at 0.

#include "Orders/OrderManager.h"

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

/// An OrderManager with one server that has memory for two of four models.
class RestartFixture
{
public:
  RestartFixture()
      : order_manager(servers,
                      {[this](const OrderCall& call, auto done) {
                         calls.push_back(call);
                         m_soon.Call([done, result = next_result] {
                           done(result);
                         });
                       },
                       [this](const InstanceId&, const Http::Endpoint&, auto done) {
                         ++reports;
                         m_soon.Call([done, result = PlatformAdapter::DecodeReport(report)] {
                           done(result);
                         });
                       },
                       [] {}},
                      {})
  {
    auto configuration = std::make_shared<Configuration>();
    Pool pool;
    pool.id = PoolId("s");
    ModelServerSpec engine;
    engine.batch = 8;
    engine.memory_mb = 150;
    engine.loads_per_second = 3;
    for (const char* name : {"a", "b", "c", "d"})
      engine.models[ModelId(name)] = {
          ModelId(name), 70, Milliseconds(6000), Milliseconds(500), Milliseconds(300), 0, 1};
    pool.model_server = engine;
    configuration->pools[pool.id] = pool;
    order_manager.SetConfiguration(configuration);
    order_manager.SetPermission([this]() -> std::optional<OrderPermit> {
      return OrderPermit{9, Common::Now() + std::chrono::hours(1)};
    });
  }

  void SetEntry(std::int64_t born, const std::string& models = "")
  {
    const auto entry = PlatformAdapter::DecodeServerEntry(
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
    order_manager.OnDaemonReport(daemon, Common::Now());
  }

  bool PlanUntil(const std::function<bool()>& done)
  {
    return RunUntil([&] {
      order_manager.Plan(Common::Now());
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
  bool PlanUntilOrders(std::size_t count)
  {
    return PlanUntil([&] {
      return calls.size() >= count;
    });
  }

  ServerDirectory servers;
  std::vector<OrderCall> calls;
  int reports = 0;
  std::string report;
  Common::Result<OrderResult> next_result{OrderResult::Accepted};
  OrderManager order_manager;

private:
  UnitTests::DeferredCaller m_soon;
  std::uint64_t m_sequence = 0;
};

class ServerRestartOrdersTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ServerRestartOrdersTest);
  CPPUNIT_TEST(LoadIsSentAgainWithTheNewSequenceAfterARestart);
  CPPUNIT_TEST(NewHolderUsesTheSequenceAfterTheRestart);
  CPPUNIT_TEST(ReportFromBeforeTheRestartIsIgnored);
  CPPUNIT_TEST(ReportFromAfterTheRestartStopsOrdersUntilTheNewEntry);
  CPPUNIT_TEST(UnansweredLoadReservesMemoryAfterARestart);
  CPPUNIT_TEST(SupersededUnansweredLoadReservesMemoryAfterARestart);
  CPPUNIT_TEST_SUITE_END();

  /// The server accepts an order and restarts within one heartbeat.
  void LoadIsSentAgainWithTheNewSequenceAfterARestart()
  {
    RestartFixture fixture;
    fixture.SetEntry(1000);
    fixture.SetReport(1000, 4);
    fixture.Demand({"a"});
    CPPUNIT_ASSERT(fixture.PlanUntilOrders(1));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(4), fixture.calls[0].expected_sequence);
    RunFor(Milliseconds(20));
    fixture.SetEntry(2000);
    fixture.SetReport(2000, 0);
    CPPUNIT_ASSERT(fixture.PlanUntilOrders(2));
    CPPUNIT_ASSERT(fixture.calls[1].operation == OrderCall::Operation::Load);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), fixture.calls[1].expected_sequence);
  }

  /// The lease holder changes after an order was accepted, and the server restarts meanwhile. The
  /// first report that the new holder gets is from before the restart.
  void NewHolderUsesTheSequenceAfterTheRestart()
  {
    RestartFixture fixture;
    fixture.SetEntry(1000);
    fixture.SetReport(1000, 4);
    fixture.Demand({"a"});
    CPPUNIT_ASSERT(fixture.PlanUntilOrders(1));
    RunFor(Milliseconds(20));
    fixture.order_manager.Reset();
    fixture.SetEntry(2000);
    fixture.PlanFor(Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.calls.size());
    fixture.SetReport(2000, 0);
    CPPUNIT_ASSERT(fixture.PlanUntilOrders(2));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), fixture.calls[1].expected_sequence);
  }

  /// A report from before the restart arrives after the entry of the restarted server.
  void ReportFromBeforeTheRestartIsIgnored()
  {
    RestartFixture fixture;
    fixture.SetEntry(2000);
    fixture.SetReport(1000, 4);
    fixture.Demand({"a"});
    fixture.PlanFor(Milliseconds(100));
    CPPUNIT_ASSERT(fixture.reports > 0);
    CPPUNIT_ASSERT(fixture.calls.empty());
    fixture.SetReport(2000, 0);
    CPPUNIT_ASSERT(fixture.PlanUntilOrders(1));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), fixture.calls[0].expected_sequence);
  }

  /// The server's report shows the restart before its entry does. The models listed in the entry
  /// are gone, so no order may be planned from it.
  void ReportFromAfterTheRestartStopsOrdersUntilTheNewEntry()
  {
    RestartFixture fixture;
    fixture.SetEntry(1000);
    fixture.SetReport(2000, 0);
    fixture.Demand({"a"});
    fixture.PlanFor(Milliseconds(100));
    CPPUNIT_ASSERT(fixture.calls.empty());
    CPPUNIT_ASSERT(!fixture.servers.All().begin()->second->IsAvailable(Common::Now()));
    fixture.SetEntry(2000);
    CPPUNIT_ASSERT(fixture.PlanUntilOrders(1));
  }

  /// An unanswered load from before the restart may still take effect after it, if the restarted
  /// server happens to have accepted as many orders. Memory is reserved for it meanwhile.
  void UnansweredLoadReservesMemoryAfterARestart()
  {
    RestartFixture fixture;
    fixture.SetEntry(1000);
    fixture.SetReport(1000, 1);
    fixture.next_result = Common::Failure{Common::FailureKind::Timeout, "no answer"};
    fixture.Demand({"a"});
    CPPUNIT_ASSERT(fixture.PlanUntilOrders(1));
    RunFor(Milliseconds(20));
    fixture.next_result = OrderResult::Accepted;
    fixture.SetEntry(2000, R"({"name":"b","version":1,"adapters":[]})");
    fixture.SetReport(2000, 1);
    fixture.Demand({"c"});
    // 150 MB fit "b" and one more model: the late "a". "c" fits only once "b" is unloaded.
    fixture.PlanFor(Milliseconds(100));
    for (std::size_t i = 1; i < fixture.calls.size(); ++i)
      CPPUNIT_ASSERT(fixture.calls[i].operation == OrderCall::Operation::Unload);
  }

  /// The sequence had advanced beyond an unanswered load, which therefore could not take effect any
  /// more and was dropped. After a restart the sequence started again at 0, so the load could take
  /// effect after all. Found by the formal model of server restarts.
  void SupersededUnansweredLoadReservesMemoryAfterARestart()
  {
    RestartFixture fixture;
    fixture.SetEntry(1000);
    fixture.SetReport(1000, 1);
    fixture.next_result = Common::Failure{Common::FailureKind::Timeout, "no answer"};
    fixture.Demand({"a"});
    CPPUNIT_ASSERT(fixture.PlanUntilOrders(1));
    RunFor(Milliseconds(20));
    // The order is sent again with the server's current sequence and is rejected.
    fixture.SetReport(1000, 3);
    fixture.next_result = OrderResult::Busy;
    CPPUNIT_ASSERT(fixture.PlanUntilOrders(2));
    RunFor(Milliseconds(20));
    fixture.next_result = OrderResult::Accepted;
    fixture.SetEntry(2000, R"({"name":"b","version":1,"adapters":[]})");
    fixture.SetReport(2000, 1);
    fixture.Demand({"c"});
    const std::size_t before = fixture.calls.size();
    fixture.PlanFor(Milliseconds(100));
    for (std::size_t i = before; i < fixture.calls.size(); ++i)
      CPPUNIT_ASSERT(fixture.calls[i].operation == OrderCall::Operation::Unload);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerRestartOrdersTest);
} // namespace

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Orders/PlanInputBuilder.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Common/Loop.h"

namespace
{
using namespace Orders;
using Common::Milliseconds;
using Gateway::ModelId;

const auto START = Common::TimePoint() + std::chrono::hours(1);
constexpr Milliseconds FROM_STORE{6000};
constexpr Milliseconds FROM_DISK{500};

/// Planner input for a pool with two servers: the first always has an order in progress and has the
/// weights of "wanted" on disk, the second is idle.
class PlanFixture
{
public:
  explicit PlanFixture(std::optional<Milliseconds> late_after = std::nullopt)
  {
    Gateway::Pool pool;
    pool.id = Gateway::PoolId("p");
    Gateway::ModelServerSpec engine;
    engine.batch = 8;
    engine.memory_mb = 200;
    for (const char* name : {"wanted", "other"})
      engine.models[ModelId(name)] = {ModelId(name), 70, FROM_STORE, FROM_DISK, FROM_DISK, 0, 1};
    pool.model_server = engine;
    builder.Configure(pool, late_after);
    builder.SetServers({MakeServer("busy", true), MakeServer("idle", false)}, m_in_flight_totals);
    for (const auto server : {BUSY, IDLE})
      builder.SetHeld(server, {});
    builder.SetState(BUSY, {true, true, std::nullopt});
  }

  /// Reports one request that has waited for `waited`, from a different daemon each time.
  void ReportWaiting(Milliseconds waited, Common::TimePoint now, const char* adapter = "")
  {
    const Common::VmId daemon("vm-" + std::to_string(m_daemons++));
    builder.ApplyDemand(daemon,
                        {{Gateway::PoolId("p"),
                          {ModelId("wanted"), Gateway::AdapterId(adapter)},
                          1,
                          0,
                          waited.count(),
                          1}},
                        now);
    if (m_daemons > 1)
      builder.DropDaemon(Common::VmId("vm-" + std::to_string(m_daemons - 2)));
  }

  Decisions::ReplicaPlan Plan(Common::TimePoint now)
  {
    return Decisions::PlanReplicas(builder.Input(now, 1));
  }

  static constexpr Decisions::ServerIndex BUSY{0};
  static constexpr Decisions::ServerIndex IDLE{1};
  PlanInputBuilder builder;

private:
  static Gateway::ServerPtr MakeServer(const char* name, bool has_copy)
  {
    Gateway::ServerEntry entry;
    entry.instance = Gateway::InstanceId(name);
    entry.pool = Gateway::PoolId("p");
    if (has_copy)
      entry.on_disk = {ModelId("wanted")};
    return std::make_shared<Gateway::Server>(entry);
  }

  InFlightTotals m_in_flight_totals;
  int m_daemons = 0;
};

class PlanInputBuilderTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PlanInputBuilderTest);
  CPPUNIT_TEST(UnservedTimeSpansSuccessiveRequests);
  CPPUNIT_TEST(UnservedTimeRestartsAfterAGapInDemand);
  CPPUNIT_TEST(LateReplicaGetsAnotherFromTheWeightStore);
  CPPUNIT_TEST(WaitingForAnAdapterIsNoLateReplica);
  CPPUNIT_TEST(ReplicaIsNotReplacedOutsideTheCondition);
  CPPUNIT_TEST(NewReplicaIsNotLateAtOnce);
  CPPUNIT_TEST_SUITE_END();

  /// A model was never served although 30 to 72 requests were waiting for it at any time. The only
  /// server with a copy of its weights was always busy with other orders, and clients gave up after
  /// 1.7 s while others arrived at other daemons. The load from the weight store was triggered by
  /// the age of the oldest request, which never exceeded 1.7 of the required 5.5 s.
  void UnservedTimeSpansSuccessiveRequests()
  {
    PlanFixture fixture;
    const Milliseconds limit = FROM_STORE - FROM_DISK;
    for (Milliseconds at(0); at < limit; at += Milliseconds(250))
    {
      fixture.ReportWaiting(Milliseconds(at.count() % 1700), START + at);
      CPPUNIT_ASSERT(fixture.Plan(START + at).orders.empty());
    }
    fixture.ReportWaiting(Milliseconds(100), START + limit);
    const auto orders = fixture.Plan(START + limit).orders;
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), orders.size());
    CPPUNIT_ASSERT(orders[0].server == PlanFixture::IDLE);
    CPPUNIT_ASSERT(orders[0].source == Decisions::WeightSource::WeightStore);
  }

  void UnservedTimeRestartsAfterAGapInDemand()
  {
    PlanFixture fixture;
    fixture.ReportWaiting(Milliseconds(100), START);
    fixture.Plan(START);
    const auto later = START + std::chrono::minutes(1);
    fixture.ReportWaiting(Milliseconds(100), later);
    CPPUNIT_ASSERT(fixture.Plan(later).orders.empty());
  }

  /// The orders while the busy server has held the model for `held_for` and a request waits.
  static std::vector<Decisions::PlannedOrder>
  OrdersBesideAReplica(std::optional<Milliseconds> late_after, Milliseconds held_for,
                       const char* adapter = "")
  {
    PlanFixture fixture(late_after);
    fixture.builder.SetHeld(PlanFixture::BUSY, {{ModelId("wanted"), START - held_for}});
    fixture.ReportWaiting(Milliseconds(900), START, adapter);
    return fixture.Plan(START).orders;
  }

  /// 36 requests were lost at the only replica of a model, which served none in time. Additional
  /// replicas were loaded only from disk, and no other server had a copy.
  void LateReplicaGetsAnotherFromTheWeightStore()
  {
    const auto orders = OrdersBesideAReplica(Milliseconds(700), std::chrono::minutes(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), orders.size());
    CPPUNIT_ASSERT(orders[0].server == PlanFixture::IDLE);
    CPPUNIT_ASSERT(orders[0].source == Decisions::WeightSource::WeightStore);
    CPPUNIT_ASSERT(OrdersBesideAReplica(Milliseconds(900), std::chrono::minutes(1)).empty());
  }

  void WaitingForAnAdapterIsNoLateReplica()
  {
    CPPUNIT_ASSERT(
        OrdersBesideAReplica(Milliseconds(700), std::chrono::minutes(1), "adapter").empty());
  }

  void ReplicaIsNotReplacedOutsideTheCondition()
  {
    CPPUNIT_ASSERT(OrdersBesideAReplica(std::nullopt, std::chrono::minutes(1)).empty());
  }

  /// Requests that waited at the replica before it would cause one load after the other.
  void NewReplicaIsNotLateAtOnce()
  {
    CPPUNIT_ASSERT(OrdersBesideAReplica(Milliseconds(700), Milliseconds(2500)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         OrdersBesideAReplica(Milliseconds(700), Milliseconds(3000)).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlanInputBuilderTest);
} // namespace

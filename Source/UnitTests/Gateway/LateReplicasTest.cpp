// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Requests for a model whose replicas serve none in time. Servers with large batches accepted all
// of them, so that none counted as demand: 36 requests ended at their deadline within 8 s.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/RelayWorld.h"
#include "UnitTests/Support/SuspendedVm.h"

namespace
{
using namespace Gateway;
using Common::Milliseconds;
using UnitTests::Chunk;
using UnitTests::Event;
using UnitTests::HeaderOf;
using UnitTests::ONE_STREAM_PATH;
using UnitTests::RunFor;
using UnitTests::RunUntil;
using UnitTests::StreamHead;
using UnitTests::TestPeer;
using UnitTests::TestServer;

const ModelId MODEL("m");
constexpr Milliseconds TARGET{100};
constexpr Milliseconds TIMEOUT{1200};
constexpr Milliseconds FROM_STORE{6000};
constexpr int LARGE_BATCH = 64;
/// A rejection that is known to be necessary follows within this time.
constexpr Milliseconds AT_ONCE{50};

void StaySilent(TestPeer&, const std::string&) {}

void Serve(TestPeer& peer, const std::string& head)
{
  peer.stream->Write(StreamHead(head) + Chunk(Event(1)) + "0\r\n\r\n");
}

/// A relay whose streams to ONE_STREAM_PATH use model "m". By default the pool is one in which late
/// replicas are observed.
class World : public UnitTests::RelayWorld
{
public:
  explicit World(int batch = LARGE_BATCH, Milliseconds from_store = FROM_STORE)
  {
    ServeModel(from_store);
    auto configuration = std::make_shared<Configuration>(*dispatcher.CurrentConfiguration());
    ++configuration->version;
    for (Route& route : configuration->routes)
    {
      route.timeout = TIMEOUT;
      route.latency_target = TARGET;
    }
    configuration->pools[PoolId("pool")].model_server->batch = batch;
    dispatcher.SetConfiguration(configuration);
  }

  void Put(const std::string& instance, const TestServer& server, bool holds_model,
           int slots = LARGE_BATCH, std::int64_t started = 0)
  {
    ServerEntry entry;
    entry.instance = InstanceId(instance, ServerStart(started));
    entry.pool = PoolId("pool");
    entry.endpoint = server.Address();
    entry.data_centre = Common::DataCentreId("here");
    entry.slots = slots;
    if (holds_model)
      entry.models.push_back({MODEL, {}});
    dispatcher.Servers().Put(entry);
  }

  TestPeer& AskAnew(const std::string& id)
  {
    callers.push_back(NewCaller());
    callers.back()->stream->Write(std::string("POST ") + ONE_STREAM_PATH +
                                  " HTTP/1.1\r\nHost: shop.example\r\nReq-Id: " + id +
                                  "\r\nModel: m\r\n\r\n");
    return *callers.back();
  }

  /// Sends a request to the only replica and lets it wait for `span`.
  TestPeer& AskAndWait(Milliseconds span)
  {
    TestPeer& peer = AskAnew("first-" + std::to_string(callers.size()));
    CPPUNIT_ASSERT(RunUntil([this] {
      return dispatcher.Late().CountDelayed(Common::Now()) > 0;
    }));
    RunFor(span - TARGET);
    return peer;
  }

  int Waiting()
  {
    int waiting = 0;
    for (const ArtifactDemand& demand : dispatcher.TakeDemand())
      waiting += demand.waiting;
    return waiting;
  }

  std::vector<std::unique_ptr<TestPeer>> callers;
};

bool HasHead(const TestPeer& peer)
{
  return peer.received.find("\r\n\r\n") != std::string::npos;
}

class LateReplicasTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LateReplicasTest);
  CPPUNIT_TEST(ConditionOfAPool);
  CPPUNIT_TEST(DelayedRequestCountsAsDemand);
  CPPUNIT_TEST(RequestServedInTimeIsNoDemand);
  CPPUNIT_TEST(RejectedAtOnceIfAllReplicasAreLate);
  CPPUNIT_TEST(RetryAfterEndsWithTheLoad);
  CPPUNIT_TEST(RequestThatWasSentIsNotRejected);
  CPPUNIT_TEST(BegunStreamIsNotEnded);
  CPPUNIT_TEST(LateReplicaGetsOneProbeAtATime);
  CPPUNIT_TEST(NothingIsRejectedWhileAnotherReplicaIsInTime);
  CPPUNIT_TEST(WaitingRequestIsRejectedOnceAllReplicasAreLate);
  CPPUNIT_TEST(RecoveredReplicaGetsRequestsAgain);
  CPPUNIT_TEST(NextInstanceIsNotLate);
  CPPUNIT_TEST(SuspensionDiscardsLateness);
  CPPUNIT_TEST(OtherDeploymentsAreServedAsBefore);
  CPPUNIT_TEST_SUITE_END();

  void ConditionOfAPool()
  {
    const auto observes = [](int batch, Milliseconds from_store) {
      return World(batch, from_store).dispatcher.Late().Observes(PoolId("pool"));
    };
    CPPUNIT_ASSERT(observes(32, TIMEOUT * 2 + Milliseconds(1)));
    CPPUNIT_ASSERT(!observes(31, TIMEOUT * 2 + Milliseconds(1)));
    CPPUNIT_ASSERT(!observes(32, TIMEOUT * 2));
    UnitTests::RelayWorld plain;
    CPPUNIT_ASSERT(!plain.dispatcher.Late().Observes(PoolId("pool")));
  }

  void DelayedRequestCountsAsDemand()
  {
    World world;
    TestServer silent(StaySilent);
    world.Put("i-1", silent, true);
    world.AskAnew("id-1");
    CPPUNIT_ASSERT(RunUntil([&] {
      return silent.requests.size() == 1;
    }));
    CPPUNIT_ASSERT_EQUAL(0, world.Waiting());
    bool reported = false;
    world.dispatcher.OnDemand([&] {
      reported = true;
    });
    CPPUNIT_ASSERT(RunUntil([&] {
      return reported;
    }));
    CPPUNIT_ASSERT_EQUAL(1, world.Waiting());
  }

  void RequestServedInTimeIsNoDemand()
  {
    World world;
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(StreamHead(head) + Chunk(Event(1)));
    });
    world.Put("i-1", server, true);
    world.AskAnew("id-1");
    RunFor(TARGET * 3);
    CPPUNIT_ASSERT_EQUAL(0, world.Waiting());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.dispatcher.Late().CountLate());
  }

  void RejectedAtOnceIfAllReplicasAreLate()
  {
    World world;
    TestServer silent(StaySilent);
    world.Put("i-1", silent, true);
    TestServer idle(Serve);
    world.Put("i-2", idle, false);
    world.AskAndWait(TIMEOUT / 2 + Milliseconds(50));
    TestPeer& next = world.AskAnew("id-2");
    CPPUNIT_ASSERT(RunUntil(
        [&] {
          return HasHead(next);
        },
        AT_ONCE));
    CPPUNIT_ASSERT(next.received.starts_with("HTTP/1.1 503 "));
    const double seconds = std::stod(HeaderOf(next.received, "Retry-After"));
    CPPUNIT_ASSERT(seconds >= 6.0 && seconds <= 6.7);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), silent.requests.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), world.dispatcher.Late().GetCounters().rejected);
    // The rejected request stays demand until its caller retries.
    CPPUNIT_ASSERT_EQUAL(2, world.Waiting());
  }

  /// Callers that are rejected later are told the same moment, at which the replica is there.
  void RetryAfterEndsWithTheLoad()
  {
    World world;
    TestServer silent(StaySilent);
    world.Put("i-1", silent, true);
    world.AskAndWait(TIMEOUT / 2 + Milliseconds(50));
    TestPeer& second = world.AskAnew("id-2");
    CPPUNIT_ASSERT(RunUntil([&] {
      return HasHead(second);
    }));
    RunFor(Milliseconds(400));
    TestPeer& third = world.AskAnew("id-3");
    CPPUNIT_ASSERT(RunUntil([&] {
      return HasHead(third);
    }));
    CPPUNIT_ASSERT(third.received.starts_with("HTTP/1.1 503 "));
    CPPUNIT_ASSERT(std::stod(HeaderOf(third.received, "Retry-After")) <= 5.6 * 1.1 + 0.1);
  }

  void RequestThatWasSentIsNotRejected()
  {
    World world;
    TestServer silent(StaySilent);
    world.Put("i-1", silent, true);
    const auto begin = Common::Now();
    TestPeer& first = world.AskAndWait(TIMEOUT / 2);
    CPPUNIT_ASSERT(RunUntil([&] {
      return HasHead(first);
    }));
    CPPUNIT_ASSERT(first.received.starts_with("HTTP/1.1 504 "));
    CPPUNIT_ASSERT(Common::Now() - begin >= TIMEOUT - Milliseconds(20));
  }

  void BegunStreamIsNotEnded()
  {
    World world;
    int count = 0;
    TestPeer* writer = nullptr;
    TestServer server([&](TestPeer& peer, const std::string& head) {
      if (++count > 1)
        return;
      peer.stream->Write(StreamHead(head) + Chunk(Event(1)));
      writer = &peer;
    });
    world.Put("i-1", server, true);
    TestPeer& first = world.AskAnew("id-1");
    CPPUNIT_ASSERT(RunUntil([&] {
      return first.received.find("id: 1") != std::string::npos;
    }));
    world.AskAndWait(TIMEOUT / 2 + Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.dispatcher.Late().CountLate());
    writer->stream->Write(Chunk(Event(2)) + "0\r\n\r\n");
    CPPUNIT_ASSERT(RunUntil([&] {
      return first.received.find("id: 2") != std::string::npos;
    }));
    CPPUNIT_ASSERT(!first.ended);
  }

  /// Only a request shows that the replica has recovered.
  void LateReplicaGetsOneProbeAtATime()
  {
    World world;
    TestServer silent(StaySilent);
    world.Put("i-1", silent, true);
    TestPeer& first = world.AskAndWait(TARGET);
    CPPUNIT_ASSERT(RunUntil([&] {
      return HasHead(first);
    }));
    world.AskAnew("probe");
    CPPUNIT_ASSERT(RunUntil([&] {
      return silent.requests.size() == 2;
    }));
    TestPeer& next = world.AskAnew("id-3");
    CPPUNIT_ASSERT(RunUntil(
        [&] {
          return HasHead(next);
        },
        AT_ONCE));
    CPPUNIT_ASSERT(next.received.starts_with("HTTP/1.1 503 "));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), silent.requests.size());
  }

  void NothingIsRejectedWhileAnotherReplicaIsInTime()
  {
    World world;
    TestServer silent(StaySilent);
    TestServer good(Serve);
    world.Put("i-1", silent, true);
    world.AskAndWait(TIMEOUT / 2 + Milliseconds(50));
    world.Put("i-2", good, true);
    for (int i = 0; i < 8; ++i)
    {
      TestPeer& next = world.AskAnew("next-" + std::to_string(i));
      CPPUNIT_ASSERT(RunUntil([&] {
        return HasHead(next);
      }));
      CPPUNIT_ASSERT(next.received.starts_with("HTTP/1.1 200 "));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), silent.requests.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), good.requests.size());
  }

  /// The only replica is full. The longer it sends nothing, the longer the expected time: twice the
  /// wait of its request exceeds what the caller of the second one still waits after 467 ms.
  void WaitingRequestIsRejectedOnceAllReplicasAreLate()
  {
    World world;
    TestServer silent(StaySilent);
    world.Put("i-1", silent, true, 1);
    world.AskAnew("id-1");
    CPPUNIT_ASSERT(RunUntil([&] {
      return silent.requests.size() == 1;
    }));
    RunFor(TARGET * 2);
    TestPeer& waiting = world.AskAnew("id-2");
    RunFor(TARGET);
    CPPUNIT_ASSERT(!HasHead(waiting));
    const Milliseconds known_in(467 - 300);
    CPPUNIT_ASSERT(RunUntil(
        [&] {
          return HasHead(waiting);
        },
        known_in + AT_ONCE));
    CPPUNIT_ASSERT(waiting.received.starts_with("HTTP/1.1 503 "));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), world.dispatcher.Late().GetCounters().rejected);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), silent.requests.size());
  }

  void RecoveredReplicaGetsRequestsAgain()
  {
    World world;
    TestPeer* held = nullptr;
    std::string head;
    TestServer server([&](TestPeer& peer, const std::string& request) {
      if (held != nullptr)
      {
        Serve(peer, request);
        return;
      }
      held = &peer;
      head = request;
    });
    world.Put("i-1", server, true);
    world.AskAndWait(TIMEOUT / 2 + Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.dispatcher.Late().CountLate());
    held->stream->Write(StreamHead(head) + Chunk(Event(1)));
    CPPUNIT_ASSERT(RunUntil([&] {
      return world.dispatcher.Late().CountLate() == 0;
    }));
    TestPeer& next = world.AskAnew("id-2");
    CPPUNIT_ASSERT(RunUntil([&] {
      return HasHead(next);
    }));
    CPPUNIT_ASSERT(next.received.starts_with("HTTP/1.1 200 "));
  }

  void NextInstanceIsNotLate()
  {
    World world;
    TestServer silent(StaySilent);
    TestServer good(Serve);
    world.Put("i-1", silent, true, LARGE_BATCH, 1);
    world.AskAndWait(TIMEOUT / 2 + Milliseconds(50));
    world.Put("i-1", good, true, LARGE_BATCH, 2);
    for (const char* id : {"id-2", "id-3"})
    {
      TestPeer& next = world.AskAnew(id);
      CPPUNIT_ASSERT(RunUntil([&] {
        return HasHead(next);
      }));
      CPPUNIT_ASSERT(next.received.starts_with("HTTP/1.1 200 "));
    }
  }

  /// The events that have arrived meanwhile are not read yet when the VM runs again.
  void SuspensionDiscardsLateness()
  {
    World world;
    auto configuration = std::make_shared<Configuration>(*world.dispatcher.CurrentConfiguration());
    ++configuration->version;
    for (Route& route : configuration->routes)
      route.timeout = Milliseconds(20000);
    configuration->pools[PoolId("pool")].model_server->models[MODEL].load_from_store =
        Milliseconds(60000);
    world.dispatcher.SetConfiguration(configuration);
    TestServer silent(StaySilent);
    world.Put("i-1", silent, true);
    world.AskAndWait(TARGET);
    CPPUNIT_ASSERT_EQUAL(1, world.Waiting());
    UnitTests::SuspendVm(Milliseconds(1500));
    RunFor(Milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(0, world.Waiting());
  }

  /// Neither counted nor rejected.
  void OtherDeploymentsAreServedAsBefore()
  {
    World world(LARGE_BATCH / 4);
    TestServer silent(StaySilent);
    world.Put("i-1", silent, true);
    world.AskAnew("id-1");
    RunFor(TIMEOUT / 2 + Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(0, world.Waiting());
    TestPeer& next = world.AskAnew("id-2");
    CPPUNIT_ASSERT(RunUntil([&] {
      return silent.requests.size() == 2;
    }));
    CPPUNIT_ASSERT(!HasHead(next));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.dispatcher.Late().CountLate());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateReplicasTest);
} // namespace

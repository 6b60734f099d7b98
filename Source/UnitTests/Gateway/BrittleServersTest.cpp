// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/BrittleServers.h"

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/RelayWorld.h"

namespace
{
using Common::Milliseconds;
using Common::TimePoint;
using Gateway::BrittleServers;
using Gateway::InstanceId;
using UnitTests::HeaderOf;
using UnitTests::RunFor;
using UnitTests::RunUntil;
using UnitTests::TestPeer;
using UnitTests::TestServer;

constexpr double BOUND = 4;

class BrittleServersTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BrittleServersTest);
  CPPUNIT_TEST(OtherServersOfThePoolAreNotSpared);
  CPPUNIT_TEST(ServersThatComeBackTogetherAreNotSpared);
  CPPUNIT_TEST(PoolStaysBrittleAfterTheLastServerStatedOtherwise);
  CPPUNIT_TEST(CrashAfterRejectionsIsEvidenceAgainstRequests);
  CPPUNIT_TEST(CrashOfAServerThatRejectedNothingIsNoEvidence);
  CPPUNIT_TEST(RequestThatCannotBePlacedWaitsUntilItsDeadline);
  CPPUNIT_TEST(RetriesOfRefusedCallersComeTogether);
  CPPUNIT_TEST_SUITE_END();

  struct World
  {
    World()
    {
      for (const char* instance : {"i-1", "i-2", "i-3"})
        Add(instance);
    }
    void Add(const std::string& instance)
    {
      Gateway::ServerEntry entry;
      entry.instance = InstanceId(instance);
      entry.pool = Gateway::PoolId("pool");
      entry.slots = 3;
      servers.Put(entry);
      brittle.Refresh();
    }
    void Respond(const std::string& instance, std::optional<double> bound)
    {
      brittle.NoteResponse(*servers.Find(InstanceId(instance)), bound, Common::Now());
    }
    bool IsBrittle(const std::string& instance)
    {
      return servers.Find(InstanceId(instance))->RejectionBound().has_value();
    }

    Gateway::ServerDirectory servers;
    BrittleServers brittle{servers};
  };

  void OtherServersOfThePoolAreNotSpared()
  {
    World world;
    world.Respond("i-2", std::nullopt);
    RunFor(Milliseconds(2));
    world.Respond("i-1", BOUND);
    CPPUNIT_ASSERT(world.IsBrittle("i-1") && world.IsBrittle("i-2") && world.IsBrittle("i-3"));
    RunFor(Milliseconds(2));
    world.Respond("i-2", std::nullopt);
    CPPUNIT_ASSERT(world.IsBrittle("i-1") && !world.IsBrittle("i-2") && world.IsBrittle("i-3"));
  }

  void ServersThatComeBackTogetherAreNotSpared()
  {
    World world;
    for (const char* instance : {"i-1", "i-2", "i-3"})
      world.Respond(instance, BOUND);
    for (const char* instance : {"i-1", "i-2", "i-3"})
      world.servers.Remove(InstanceId(instance));
    world.brittle.Refresh();
    world.Add("i-4");
    CPPUNIT_ASSERT(world.IsBrittle("i-4"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.brittle.KnownServers().size());
  }

  void PoolStaysBrittleAfterTheLastServerStatedOtherwise()
  {
    World world;
    world.Respond("i-1", BOUND);
    RunFor(Milliseconds(2));
    for (const char* instance : {"i-1", "i-2", "i-3"})
      world.Respond(instance, std::nullopt);
    CPPUNIT_ASSERT(world.brittle.All().empty());
    world.Add("i-4");
    CPPUNIT_ASSERT(!world.IsBrittle("i-4"));
    CPPUNIT_ASSERT(world.brittle.KnownServers().empty());
  }

  void CrashAfterRejectionsIsEvidenceAgainstRequests()
  {
    World world;
    world.Respond("i-1", BOUND);
    const auto now = Common::Now();
    world.brittle.NoteRejected(*world.servers.Find(InstanceId("i-2")), now);
    const Gateway::Server& neighbour = *world.servers.Find(InstanceId("i-1"));
    CPPUNIT_ASSERT(world.brittle.MayFallForRejections(neighbour, now + Milliseconds(500)));
    CPPUNIT_ASSERT(!world.brittle.MayFallForRejections(neighbour, now + Milliseconds(5000)));
  }

  void CrashOfAServerThatRejectedNothingIsNoEvidence()
  {
    World world;
    world.Respond("i-1", BOUND);
    const Gateway::Server& server = *world.servers.Find(InstanceId("i-1"));
    CPPUNIT_ASSERT(!world.brittle.MayFallForRejections(server, Common::Now()));
  }

  /// The server runs ten requests at a time, and a request waits for some 0.7 s at most.
  void RequestThatCannotBePlacedWaitsUntilItsDeadline()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      Common::Reactor::Get().After(Milliseconds(150), [&peer, id = HeaderOf(head, "Req-Id")] {
        peer.stream->Write("HTTP/1.1 200 OK\r\nReq-Id: " + id +
                           "\r\nSigned: yes\r\nBrittle: 4\r\nContent-Length: 0\r\n\r\n");
      });
    });
    UnitTests::RelayWorld world;
    world.AddServer("i-1", server.Address());
    world.dispatcher.SetDaemons(10);
    std::vector<std::unique_ptr<TestPeer>> callers;
    const auto ask = [&](int number) {
      callers.push_back(world.NewCaller());
      callers.back()->stream->Write("GET /plain/ HTTP/1.1\r\nHost: shop.example\r\nReq-Id: id-" +
                                    std::to_string(number) + "\r\n\r\n");
    };
    ask(0);
    CPPUNIT_ASSERT(RunUntil([&] {
      return callers[0]->received.find(" 200 ") != std::string::npos;
    }));
    for (int i = 1; i <= 60; ++i)
      ask(i);
    RunFor(Milliseconds(100));
    const auto refused = std::ranges::count_if(callers, [](const auto& caller) {
      return caller->received.find(" 503 ") != std::string::npos &&
             caller->received.find("Retry-After: ") != std::string::npos;
    });
    CPPUNIT_ASSERT(refused >= 5);
  }

  void RetriesOfRefusedCallersComeTogether()
  {
    World world;
    world.Respond("i-1", BOUND);
    world.brittle.NoteServiceTime(Gateway::PoolId("pool"), Milliseconds(300));
    const RateLimits::PlaceGroup group(1);
    const auto now = Common::Now();
    const auto wait = world.brittle.ExpectedWait(group, world.brittle.All(), 20, now);
    CPPUNIT_ASSERT(wait >= Milliseconds(699) && wait <= Milliseconds(701));
    Milliseconds last{0};
    for (int i = 0; i < 10; ++i)
    {
      const auto delay = world.brittle.RetryDelay(group, world.brittle.All(), 20, now);
      CPPUNIT_ASSERT(delay > last);
      last = delay;
    }
    CPPUNIT_ASSERT(last <= wait + Milliseconds(350));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BrittleServersTest);
} // namespace

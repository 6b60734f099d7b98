// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Streams of servers with different software, whose events do not fit together.

#include "Gateway/Dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/RelayWorld.h"

namespace
{
using Common::Milliseconds;
using UnitTests::Chunk;
using UnitTests::Event;
using UnitTests::HeaderOf;
using UnitTests::RunUntil;
using UnitTests::STREAM_PATH;
using UnitTests::StreamHead;
using UnitTests::TestPeer;
using UnitTests::TestServer;

/// Breaks off each stream that begins at its first event, and completes those that are resumed.
void BreakOffThenComplete(TestPeer& peer, const std::string& head)
{
  if (HeaderOf(head, "Last-Event-Id").empty())
  {
    peer.stream->Write(StreamHead(head) + Chunk(Event(1)));
    Common::Reactor::Get().After(Milliseconds(10), [&peer] {
      peer.stream->Close();
    });
    return;
  }
  peer.stream->Write(StreamHead(head) + Chunk(Event(2)) + "0\r\n\r\n");
}

class World : public UnitTests::RelayWorld
{
public:
  void AddServer(const std::string& instance, const TestServer& server, const std::string& version)
  {
    RelayWorld::AddServer(instance, server.Address(), {}, version);
  }
};

class SoftwareVersionsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SoftwareVersionsTest);
  CPPUNIT_TEST(StreamGoesOnAtAnotherVersion);
  CPPUNIT_TEST(StreamDoesNotGoOnAtItsVersion);
  CPPUNIT_TEST(CallerResumesAtAnotherVersion);
  CPPUNIT_TEST(CallerCannotResumeAtItsVersion);
  CPPUNIT_TEST(StreamOfUnknownOriginGoesOn);
  CPPUNIT_TEST(StreamThatBeganAtAnotherDaemonIsRefused);
  CPPUNIT_TEST(StreamOfUnknownOriginIsRefusedWithOneVersion);
  CPPUNIT_TEST(StreamOfAReplacedVersionGoesOnAtTheNewOne);
  CPPUNIT_TEST_SUITE_END();

  void StreamGoesOnAtAnotherVersion()
  {
    TestServer first(BreakOffThenComplete);
    TestServer second(BreakOffThenComplete);
    World world;
    world.AddServer("i-1", first, "a");
    world.AddServer("i-2", second, "b");
    world.Ask(STREAM_PATH, "id-1");
    CPPUNIT_ASSERT(RunUntil([&] {
      return world.caller.ended;
    }));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), first.requests.size() + second.requests.size());
    CPPUNIT_ASSERT(world.caller.received.find("id: 2") == std::string::npos);
  }

  void StreamDoesNotGoOnAtItsVersion()
  {
    TestServer first(BreakOffThenComplete);
    TestServer second(BreakOffThenComplete);
    World world;
    world.AddServer("i-1", first, "a");
    world.AddServer("i-2", second, "a");
    world.Ask(STREAM_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("\r\n0\r\n\r\n"));
  }

  /// The stream begins at version "a"; its caller takes it up again when only "b" is left.
  void CallerResumesAtAnotherVersion()
  {
    TestServer first(BreakOffThenComplete);
    TestServer second(BreakOffThenComplete);
    World world;
    world.AddServer("i-1", first, "a");
    world.Ask(STREAM_PATH, "id-1");
    CPPUNIT_ASSERT(RunUntil([&] {
      return world.caller.ended;
    }));
    world.dispatcher.Servers().Remove(Gateway::InstanceId("i-1"));
    world.AddServer("i-2", second, "b");
    const auto caller = Resume(world, "id-1");
    CPPUNIT_ASSERT(Gets(*caller, "HTTP/1.1 503 "));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), second.requests.size());
  }

  void CallerCannotResumeAtItsVersion()
  {
    TestServer first(BreakOffThenComplete);
    TestServer second(BreakOffThenComplete);
    TestServer third(BreakOffThenComplete);
    World world;
    world.AddServer("i-1", first, "a");
    world.Ask(STREAM_PATH, "id-1");
    CPPUNIT_ASSERT(RunUntil([&] {
      return world.caller.ended;
    }));
    world.AddServer("i-2", second, "b");
    world.AddServer("i-3", third, "a");
    const auto caller = Resume(world, "id-1");
    CPPUNIT_ASSERT(Gets(*caller, Event(2)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), second.requests.size());
  }

  void StreamOfUnknownOriginGoesOn()
  {
    TestServer first(BreakOffThenComplete);
    TestServer second(BreakOffThenComplete);
    World world;
    world.AddServer("i-1", first, "a");
    world.AddServer("i-2", second, "b");
    const auto caller = Resume(world, "id-elsewhere");
    CPPUNIT_ASSERT(Gets(*caller, "HTTP/1.1 503 "));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), first.requests.size() + second.requests.size());
  }

  void StreamThatBeganAtAnotherDaemonIsRefused()
  {
    TestServer first(BreakOffThenComplete);
    TestServer second(BreakOffThenComplete);
    World world;
    world.AddServer("i-1", first, "a");
    world.AddServer("i-2", second, "b");
    world.dispatcher.OnOriginQuery([&](Gateway::StreamKey stream, const Gateway::PoolId& pool) {
      Common::Reactor::Get().After(Milliseconds(5), [&world, stream, pool] {
        const auto version = Gateway::KeyOf(pool, Gateway::SoftwareVersion("b"));
        world.dispatcher.LearnOrigin(stream, {{version, {}, 0}, Common::Now(), true}, {});
      });
    });
    const auto caller = Resume(world, "id-elsewhere");
    CPPUNIT_ASSERT(Gets(*caller, Event(2)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), second.requests.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), first.requests.size());
  }

  void StreamOfUnknownOriginIsRefusedWithOneVersion()
  {
    TestServer server(BreakOffThenComplete);
    World world;
    world.AddServer("i-1", server, "a");
    const auto caller = Resume(world, "id-elsewhere");
    CPPUNIT_ASSERT(Gets(*caller, Event(2)));
  }

  /// Streams began at version "a" through this VM, which is gone.
  void StreamOfAReplacedVersionGoesOnAtTheNewOne()
  {
    TestServer first(BreakOffThenComplete);
    TestServer second(BreakOffThenComplete);
    World world;
    world.AddServer("i-1", first, "a");
    world.Ask(STREAM_PATH, "id-1");
    CPPUNIT_ASSERT(RunUntil([&] {
      return world.caller.ended;
    }));
    world.dispatcher.Servers().Remove(Gateway::InstanceId("i-1"));
    world.AddServer("i-2", second, "b");
    const auto caller = Resume(world, "id-elsewhere");
    CPPUNIT_ASSERT(Gets(*caller, "HTTP/1.1 503 "));
  }

  static std::unique_ptr<TestPeer> Resume(const World& world, const std::string& first_attempt)
  {
    auto caller = world.NewCaller();
    caller->stream->Write("POST /stream/ HTTP/1.1\r\nHost: shop.example\r\nReq-Id: id-next\r\n"
                          "Last-Event-Id: 1\r\nResumes: " +
                          first_attempt + "\r\n\r\n");
    return caller;
  }

  static bool Gets(const TestPeer& caller, const std::string& text)
  {
    return RunUntil([&] {
      return caller.received.find(text) != std::string::npos;
    });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SoftwareVersionsTest);
} // namespace

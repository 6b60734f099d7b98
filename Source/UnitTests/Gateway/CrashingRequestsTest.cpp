// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// A request that crashes every backend server that runs it, and that its caller retries with a new
// id. When crashes were recorded only per attempt of the caller, each retry crashed two more
// servers: 15 by one request and 16 by another within a minute. The log then has one
// "attempt-failed" event with the same fingerprint for each crashed server.

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/RelayWorld.h"

namespace
{
using Common::Milliseconds;
using UnitTests::Answer;
using UnitTests::HeaderOf;
using UnitTests::RelayWorld;
using UnitTests::RunFor;
using UnitTests::RunUntil;
using UnitTests::TestPeer;
using UnitTests::TestServer;

constexpr const char* CRASHING_PATH = "/plain/crash";
/// On a route that is not repeatable: each attempt reaches only one server.
constexpr const char* UNREPEATABLE_CRASHING_PATH = "/once/crash";
constexpr const char* HONEST = "/plain/honest";

/// Servers that crash as soon as they run the crashing request, and then refuse connections.
class CrashingServers
{
public:
  explicit CrashingServers(RelayWorld& world, int servers)
  {
    for (int i = 0; i < servers; ++i)
    {
      m_servers.push_back(nullptr);
      m_servers.back() = std::make_unique<TestServer>([this, i](TestPeer& peer, const auto& head) {
        Serve(i, peer, head);
      });
      world.AddServer("i-" + std::to_string(i), m_servers.back()->Address());
    }
  }

  int crasher_arrivals = 0;
  int crashed = 0;

private:
  void Serve(int index, TestPeer& peer, const std::string& head)
  {
    if (head.find("/crash ") == std::string::npos)
    {
      peer.stream->Write(Answer(head, "whole"));
      return;
    }
    ++crasher_arrivals;
    m_deferred.Call([this, index] {
      crashed += m_servers[index] ? 1 : 0;
      m_servers[index].reset();
    });
  }

  std::deque<std::unique_ptr<TestServer>> m_servers;
  UnitTests::DeferredCaller m_deferred;
};

/// Sends a request, waits for the response and returns its head.
std::string SendAndWait(RelayWorld& world, const char* path, const std::string& id)
{
  world.caller.received.clear();
  world.Ask(path, id);
  CPPUNIT_ASSERT(world.CallerGot("\r\n\r\n"));
  RunFor(Milliseconds(10));
  return world.caller.received;
}

class CrashingRequestsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CrashingRequestsTest);
  CPPUNIT_TEST(RetriedRequestCrashesThreeServersAtMost);
  CPPUNIT_TEST(OneAttemptCrashesTwoServersAtMost);
  CPPUNIT_TEST(StatusTellsWhetherTheRequestMayHaveRun);
  CPPUNIT_TEST(RequestWithAnotherBodyIsNotBlocked);
  CPPUNIT_TEST(ReportOfAnotherDaemonEndsAWaitingRequest);
  CPPUNIT_TEST(BrokenConnectionsOfRunningServersDoNotBlock);
  CPPUNIT_TEST_SUITE_END();

  /// Blocks a request by a report of another daemon.
  static void Block(RelayWorld& world, const char* path, const std::string& body = "")
  {
    Crashes::CaseLine line;
    line.request = Crashes::FingerprintOf({"", "POST", "shop.example", path, body});
    line.blocks = 1;
    line.blocked_for_ms = 600000;
    world.dispatcher.MergeCrashCases({line});
  }

  /// One attempt of a caller went on from two crashed servers to a third, and other requests went
  /// along to the same servers.
  void OneAttemptCrashesTwoServersAtMost()
  {
    RelayWorld world;
    CrashingServers crashing_servers(world, 10);
    CPPUNIT_ASSERT_EQUAL(std::string("502"),
                         SendAndWait(world, CRASHING_PATH, "crash-1").substr(9, 3));
    RunFor(Milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(2, crashing_servers.crashed);
  }

  /// A request that may have run gets a 502; once it is blocked, it is refused at once with a long
  /// Retry-After.
  void StatusTellsWhetherTheRequestMayHaveRun()
  {
    RelayWorld world;
    CrashingServers crashing_servers(world, 10);
    for (int i = 0; i < 3; ++i)
      CPPUNIT_ASSERT_EQUAL(std::string("502"), SendAndWait(world, UNREPEATABLE_CRASHING_PATH,
                                                           "crash-" + std::to_string(i))
                                                   .substr(9, 3));
    CPPUNIT_ASSERT(RunUntil([&] {
      return world.dispatcher.CrashCases().Blocked(Common::Now()) == 1;
    }));
    const auto begin = Common::Now();
    const std::string response = SendAndWait(world, UNREPEATABLE_CRASHING_PATH, "crash-4");
    CPPUNIT_ASSERT_EQUAL(std::string("503"), response.substr(9, 3));
    CPPUNIT_ASSERT(Common::Now() - begin < Milliseconds(200));
    CPPUNIT_ASSERT(std::stod(HeaderOf(response, "Retry-After")) > 500);
  }

  void RequestWithAnotherBodyIsNotBlocked()
  {
    RelayWorld world;
    CrashingServers crashing_servers(world, 1);
    Block(world, HONEST, "blocked");
    world.Ask(HONEST, "id-1", "", "blocked");
    CPPUNIT_ASSERT(world.CallerGot("503"));
    world.caller.received.clear();
    world.Ask(HONEST, "id-2", "", "another");
    CPPUNIT_ASSERT(world.CallerGot("whole"));
  }

  void ReportOfAnotherDaemonEndsAWaitingRequest()
  {
    RelayWorld world;
    world.Ask(HONEST, "id-1");
    RunFor(Milliseconds(50));
    CPPUNIT_ASSERT(world.caller.received.empty());
    Block(world, HONEST);
    CPPUNIT_ASSERT(world.CallerGot("503"));
  }

  /// Servers that repeatedly reset connections but keep running do not get the request blocked.
  void BrokenConnectionsOfRunningServersDoNotBlock()
  {
    RelayWorld world;
    bool breaks = true;
    std::deque<TestServer> servers;
    for (int i = 0; i < 8; ++i)
    {
      servers.emplace_back([&](TestPeer& peer, const std::string& head) {
        if (breaks)
          peer.stream->Reset();
        else
          peer.stream->Write(Answer(head, "whole"));
      });
      world.AddServer("i-" + std::to_string(i), servers.back().Address());
    }
    for (int i = 0; i < 4; ++i)
      SendAndWait(world, HONEST, "id-" + std::to_string(i));
    RunFor(Milliseconds(1500));
    breaks = false;
    CPPUNIT_ASSERT(SendAndWait(world, HONEST, "last").find("whole") != std::string::npos);
  }

  void RetriedRequestCrashesThreeServersAtMost()
  {
    RelayWorld world;
    CrashingServers crashing_servers(world, 10);
    for (int i = 0; i < 6; ++i)
      SendAndWait(world, CRASHING_PATH, "crash-" + std::to_string(i));
    CPPUNIT_ASSERT_EQUAL(3, crashing_servers.crashed);
    CPPUNIT_ASSERT_EQUAL(3, crashing_servers.crasher_arrivals);
    CPPUNIT_ASSERT(SendAndWait(world, HONEST, "honest").find("whole") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingRequestsTest);
} // namespace

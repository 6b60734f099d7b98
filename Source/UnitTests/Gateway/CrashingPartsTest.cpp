// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Prompts with a part that crashes each backend server that begins to write on it. No two requests
// are alike, and sound requests share the caller and all other parts with them.

#include <algorithm>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/RelayWorld.h"

namespace
{
using Common::Milliseconds;
using UnitTests::Chunk;
using UnitTests::Event;
using UnitTests::HeaderOf;
using UnitTests::ONE_STREAM_PATH;
using UnitTests::RelayWorld;
using UnitTests::RunFor;
using UnitTests::RunUntil;
using UnitTests::StreamHead;
using UnitTests::TestPeer;
using UnitTests::TestServer;

constexpr std::size_t SERVERS = 16;
/// Crashes after which requests with the part may be sent three times more.
constexpr std::size_t ALLOWED_CRASHES = 5;
constexpr std::size_t ALLOWED_LATE_SENDS = 3;
constexpr Milliseconds CONTACT_BOUND{3000};
constexpr Milliseconds RUN_TIME{20};

/// Servers that crash when a prompt has the part "bad" before its last one, and stream two events
/// for other prompts.
class Servers
{
public:
  explicit Servers(RelayWorld& world)
  {
    for (std::size_t i = 0; i < SERVERS; ++i)
    {
      m_servers.push_back(std::make_unique<TestServer>([this, i](TestPeer& peer, const auto& head) {
        Serve(i, peer, head);
      }));
      world.AddServer("i-" + std::to_string(i), m_servers.back()->Address());
    }
  }

  std::vector<Common::TimePoint> bad_arrivals;
  std::vector<Common::TimePoint> crashes;

private:
  void Serve(std::size_t index, TestPeer& peer, const std::string& head)
  {
    const std::string parts = HeaderOf(head, "Parts");
    const auto bad = parts.find("bad:");
    if (bad != std::string::npos && bad < parts.rfind(','))
    {
      bad_arrivals.push_back(Common::Now());
      Common::Reactor::Get().After(RUN_TIME, [this, index] {
        if (m_servers[index])
          crashes.push_back(Common::Now());
        m_servers[index].reset();
      });
      return;
    }
    peer.stream->Write(StreamHead(head) + Chunk(Event(1)) + Chunk(Event(2)) + "0\r\n\r\n");
  }

  std::deque<std::unique_ptr<TestServer>> m_servers;
};

class CrashingPartsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CrashingPartsTest);
  CPPUNIT_TEST(PartThatCrashesServersIsSentOnAndOn);
  CPPUNIT_TEST(BlockedPartWaitsForItsDeadline);
  CPPUNIT_TEST(BlockOfAnotherDaemonDoesNotEndASentRequest);
  CPPUNIT_TEST(RefusedConnectionThatBlocksItsOwnRequest);
  CPPUNIT_TEST_SUITE_END();

  /// Sends a request whose last part is its own.
  static std::string Send(RelayWorld& world, const std::string& shared_parts)
  {
    static int s_number = 0;
    const std::string number = std::to_string(++s_number);
    world.caller.received.clear();
    world.Ask(ONE_STREAM_PATH, "id-" + number,
              "Parts: " + shared_parts + ",own" + number + ":5\r\n", "body " + number);
    CPPUNIT_ASSERT(world.CallerGot("\r\n\r\n"));
    std::string status = world.caller.received.substr(9, 3);
    if (status == "200")
      CPPUNIT_ASSERT(world.CallerGot("0\r\n\r\n"));
    RunFor(Milliseconds(5));
    return status;
  }

  void PartThatCrashesServersIsSentOnAndOn()
  {
    RelayWorld world;
    Servers servers(world);
    for (int i = 0; i < 40; ++i)
    {
      const std::string theme = "theme" + std::to_string(i % 4) + ":10";
      Send(world, "first:20,bad:7," + theme);
      CPPUNIT_ASSERT_EQUAL(std::string("200"), Send(world, "first:20," + theme));
    }
    CPPUNIT_ASSERT(servers.crashes.size() <= ALLOWED_CRASHES + ALLOWED_LATE_SENDS);
    if (servers.crashes.size() < ALLOWED_CRASHES)
      return;
    const auto bound = servers.crashes[ALLOWED_CRASHES - 1] + CONTACT_BOUND;
    const auto late = std::ranges::count_if(servers.bad_arrivals, [&](Common::TimePoint at) {
      return at > bound;
    });
    CPPUNIT_ASSERT(static_cast<std::size_t>(late) <= ALLOWED_LATE_SENDS);
  }

  /// Blocks the part "bad" by a report of another daemon.
  static void Block(RelayWorld& world)
  {
    Crashes::CaseLine line;
    line.request = Crashes::FingerprintOf(Crashes::PromptPartIdentity{"", "bad", ""});
    line.blocks = 1;
    line.blocked_for_ms = 600000;
    world.dispatcher.MergeCrashCases({line});
  }

  void BlockedPartWaitsForItsDeadline()
  {
    RelayWorld world;
    Servers servers(world);
    Block(world);
    const auto begin = Common::Now();
    CPPUNIT_ASSERT_EQUAL(std::string("503"), Send(world, "first:20,bad:7"));
    CPPUNIT_ASSERT(Common::Now() - begin < Milliseconds(200));
    CPPUNIT_ASSERT(std::stod(HeaderOf(world.caller.received, "Retry-After")) > 0);
    CPPUNIT_ASSERT(servers.bad_arrivals.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("200"), Send(world, "first:20"));
  }

  /// The request is queued at its server, and has not begun there.
  void BlockOfAnotherDaemonDoesNotEndASentRequest()
  {
    TestServer server([](TestPeer&, const std::string&) {});
    RelayWorld world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONE_STREAM_PATH, "id-1", "Parts: first:20,bad:7,own:5\r\n");
    CPPUNIT_ASSERT(RunUntil([&] {
      return !server.requests.empty();
    }));
    Block(world);
    CPPUNIT_ASSERT(world.CallerGot("502"));
    CPPUNIT_ASSERT(RunUntil([&] {
      return server.peers.front()->ended;
    }));
  }

  /// The daemon crashed. The refused connection is the third crash under the request's part, so
  /// that the request ends while its failed connection is being handled.
  void RefusedConnectionThatBlocksItsOwnRequest()
  {
    RelayWorld world;
    auto gone = std::make_unique<TestServer>([](TestPeer&, const std::string&) {});
    world.AddServer("i-1", gone->Address());
    gone.reset();
    Crashes::CaseLine line;
    line.request = Crashes::FingerprintOf(Crashes::PromptPartIdentity{"", "bad", ""});
    line.server_crashes = {{Crashes::ServerInstance("s-1"), 900, 950, {}, false, false},
                           {Crashes::ServerInstance("s-2"), 500, 550, {}, false, false}};
    world.dispatcher.MergeCrashCases({line});
    const auto server = world.dispatcher.Servers().Find(Gateway::InstanceId("i-1"));
    world.Ask(ONE_STREAM_PATH, "id-1", "Parts: first:20,bad:7,own:5\r\n");
    while (server->InFlight() == 0)
      g_main_context_iteration(nullptr, FALSE);
    // Another request with the part broke at the same server.
    world.dispatcher.GetCrashDetector().NoteConnectionEnded(
        server, {{}, Common::Now(), std::nullopt, std::nullopt, {line.request}});
    CPPUNIT_ASSERT(world.CallerGot("503"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingPartsTest);
} // namespace

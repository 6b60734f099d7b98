// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// A request ends every backend server that begins to run it, and comes again under a fresh id. What
// was known of a request belonged to one attempt of its caller, so each attempt ended two more
// servers: 15 under one request and 16 under another within a minute. "attempt-failed ...
// fingerprint=F instance=I why=broken answer" stood there once for each of them, with one F.

#include <deque>
#include <memory>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/RelayWorld.h"

namespace
{
using Common::Milliseconds;
using UnitTests::Answer;
using UnitTests::HeaderOf;
using UnitTests::PLAIN_PATH;
using UnitTests::RelayWorld;
using UnitTests::RunFor;
using UnitTests::RunUntil;
using UnitTests::TestPeer;
using UnitTests::TestServer;

constexpr const char* CRASHER = "/plain/crash";
constexpr const char* HONEST = "/plain/honest";

/// Servers that end as soon as they run the crashing request. A process that has ended refuses
/// connections.
class Fleet
{
public:
  explicit Fleet(RelayWorld& world, int servers)
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
  int ended = 0;

private:
  void Serve(int index, TestPeer& peer, const std::string& head)
  {
    if (head.find(CRASHER) == std::string::npos)
    {
      peer.stream->Write(Answer(head, "whole"));
      return;
    }
    ++crasher_arrivals;
    m_soon.Call([this, index] {
      ended += m_servers[index] ? 1 : 0;
      m_servers[index].reset();
    });
  }

  std::deque<std::unique_ptr<TestServer>> m_servers;
  UnitTests::SoonCaller m_soon;
};

/// Asks, and waits for the answer; gives its head.
std::string AskAndWait(RelayWorld& world, const char* path, const std::string& id)
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
  CPPUNIT_TEST(ComesAgainAndEndsThreeServersAtMost);
  CPPUNIT_TEST_SUITE_END();

  void ComesAgainAndEndsThreeServersAtMost()
  {
    RelayWorld world;
    Fleet fleet(world, 10);
    for (int i = 0; i < 6; ++i)
      AskAndWait(world, CRASHER, "crash-" + std::to_string(i));
    CPPUNIT_ASSERT_EQUAL(3, fleet.ended);
    CPPUNIT_ASSERT_EQUAL(3, fleet.crasher_arrivals);
    CPPUNIT_ASSERT(AskAndWait(world, HONEST, "honest").find("whole") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingRequestsTest);
} // namespace

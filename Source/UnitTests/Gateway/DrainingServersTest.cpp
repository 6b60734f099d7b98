// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Tests how the relay handles backend servers that announce draining in their responses.

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/RelayWorld.h"

namespace
{
using namespace Gateway;
using Common::Milliseconds;
using UnitTests::Answer;
using UnitTests::Chunk;
using UnitTests::Event;
using UnitTests::HeaderOf;
using UnitTests::PLAIN_PATH;
using UnitTests::RunFor;
using UnitTests::STREAM_PATH;
using UnitTests::StreamHead;
using UnitTests::TestPeer;
using UnitTests::TestServer;
using World = UnitTests::RelayWorld;

const InstanceId FIRST("i-1");

std::string WithHeader(const std::string& header, std::string response)
{
  return response.insert(response.find("\r\n") + 2, header + "\r\n");
}

class DrainingServersTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DrainingServersTest);
  CPPUNIT_TEST(AnnouncementInTheHeadOfAStreamApplies);
  CPPUNIT_TEST(AnnouncementInARejectionApplies);
  CPPUNIT_TEST(AnnouncementInATruncatedResponseApplies);
  CPPUNIT_TEST(AnnouncementInAnInterimResponseApplies);
  CPPUNIT_TEST(AnnouncementOfAnotherProcessIsIgnored);
  CPPUNIT_TEST(OnlyServerServesUntilTheGracePeriodEnds);
  CPPUNIT_TEST(EntryDoesNotOverrideTheAnnouncement);
  CPPUNIT_TEST(FalseReportOfAnotherVmIsOverridden);
  CPPUNIT_TEST_SUITE_END();

  static bool BecomesDraining(const World& world)
  {
    return UnitTests::RunUntil(
        [&] {
          return world.dispatcher.Servers().Find(FIRST)->IsDraining();
        },
        Milliseconds(500));
  }

  void AnnouncementInTheHeadOfAStreamApplies()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(WithHeader("Leaving: 1", StreamHead(head)) + Chunk(Event(1)));
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(STREAM_PATH, "id-1");
    CPPUNIT_ASSERT(BecomesDraining(world));
  }

  void AnnouncementInARejectionApplies()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write("HTTP/1.1 503 x\r\nReq-Id: " + HeaderOf(head, "Req-Id") +
                         "\r\nLeaving: 1\r\nDid-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(PLAIN_PATH, "id-1");
    CPPUNIT_ASSERT(BecomesDraining(world));
  }

  void AnnouncementInATruncatedResponseApplies()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      const std::string response = WithHeader("Leaving: 1", Answer(head, "whole"));
      peer.stream->Write(response.substr(0, response.size() - 2));
      peer.stream->Close();
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(PLAIN_PATH, "id-1");
    CPPUNIT_ASSERT(BecomesDraining(world));
  }

  void AnnouncementInAnInterimResponseApplies()
  {
    TestServer server([](TestPeer& peer, const std::string&) {
      peer.stream->Write("HTTP/1.1 103 Early Hints\r\nLeaving: 1\r\n\r\n");
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(PLAIN_PATH, "id-1");
    CPPUNIT_ASSERT(BecomesDraining(world));
  }

  void AnnouncementOfAnotherProcessIsIgnored()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(WithHeader("Leaving: 1\r\nInstance: i-9", Answer(head, "ok")));
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(PLAIN_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("200 OK"));
    CPPUNIT_ASSERT(!world.dispatcher.Servers().Find(FIRST)->IsDraining());
  }

  /// Until the server shuts down, it still serves requests that no other server can take.
  void OnlyServerServesUntilTheGracePeriodEnds()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(WithHeader("Leaving: 1", Answer(head, HeaderOf(head, "Req-Id"))));
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(PLAIN_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("\r\n\r\nid-1"));
    world.Ask(PLAIN_PATH, "id-2");
    CPPUNIT_ASSERT(world.CallerGot("\r\n\r\nid-2"));
    RunFor(world.dispatcher.Settings().drain_grace);
    world.Ask(PLAIN_PATH, "id-3");
    CPPUNIT_ASSERT(world.CallerGot("503"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), server.requests.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), world.dispatcher.Counters().sent_to_draining);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), world.dispatcher.Counters().sent_after_drain);
  }

  void EntryDoesNotOverrideTheAnnouncement()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(WithHeader("Leaving: 1", Answer(head, "ok")));
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(PLAIN_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("200 OK"));
    world.AddServer("i-1", server.Address());
    CPPUNIT_ASSERT(BecomesDraining(world));
    world.dispatcher.Servers().Remove(FIRST);
    world.AddServer("i-1", server.Address());
    CPPUNIT_ASSERT(BecomesDraining(world));
  }

  void FalseReportOfAnotherVmIsOverridden()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(Answer(head, "ok"));
    });
    World world;
    world.AddServer("i-1", server.Address());
    const RateLimits::ServerKey key = world.dispatcher.Servers().Find(FIRST)->Key();
    world.dispatcher.ApplyDrainUpdate(1, std::vector{key});
    CPPUNIT_ASSERT(world.dispatcher.Servers().Find(FIRST)->IsDraining());
    world.Ask(PLAIN_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("200 OK"));
    CPPUNIT_ASSERT(!world.dispatcher.Servers().Find(FIRST)->IsDraining());
    world.dispatcher.ApplyDrainUpdate(1, std::vector{key});
    CPPUNIT_ASSERT(!world.dispatcher.Servers().Find(FIRST)->IsDraining());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainingServersTest);
} // namespace

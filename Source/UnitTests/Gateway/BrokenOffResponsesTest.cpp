// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Responses that end with their server's connection, which may have been cut off by a crash.

#include "Gateway/Dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/RelayWorld.h"

namespace
{
using Common::Milliseconds;
using UnitTests::Chunk;
using UnitTests::Event;
using UnitTests::HeaderOf;
using UnitTests::ONCE_PATH;
using UnitTests::ONE_STREAM_PATH;
using UnitTests::PLAIN_PATH;
using UnitTests::RunUntil;
using UnitTests::STREAM_PATH;
using UnitTests::StreamHead;
using UnitTests::TestPeer;
using UnitTests::TestServer;
using World = UnitTests::RelayWorld;

constexpr const char* LAST_CHUNK = "\r\n0\r\n\r\n";

/// The head of a response that has neither a length nor chunks.
std::string UnframedHead(const std::string& request, const std::string& type = "text/event-stream")
{
  return "HTTP/1.1 200 OK\r\nReq-Id: " + HeaderOf(request, "Req-Id") +
         "\r\nSigned: yes\r\nContent-Type: " + type + "\r\n\r\n";
}

void CloseSoon(TestPeer& peer)
{
  Common::Reactor::Get().After(Milliseconds(10), [&peer] {
    peer.stream->Close();
  });
}

void ResetSoon(TestPeer& peer)
{
  Common::Reactor::Get().After(Milliseconds(10), [&peer] {
    peer.stream->Reset();
  });
}

/// Ends the server's connections in an orderly way and stops listening, like the exit of a process.
void CrashSoon(std::unique_ptr<TestServer>& server)
{
  Common::Reactor::Get().After(Milliseconds(10), [&server] {
    server.reset();
  });
}

std::size_t CountOf(const std::string& text, const std::string& part)
{
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
    ++count;
  return count;
}

bool CallerConnectionEnds(World& world)
{
  return RunUntil([&] {
    return world.caller.ended;
  });
}

class BrokenOffResponsesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BrokenOffResponsesTest);
  CPPUNIT_TEST(StreamCutInsideAnEventLooksComplete);
  CPPUNIT_TEST(ChunkedStreamThatEndsInsideAnEventLooksComplete);
  CPPUNIT_TEST(ResumableStreamCutInsideAnEventIsNotContinued);
  CPPUNIT_TEST(UnframedStreamGetsALastChunk);
  CPPUNIT_TEST(UnframedStreamThatIsResetLooksComplete);
  CPPUNIT_TEST(UnframedStreamPastItsDeadlineLooksComplete);
  CPPUNIT_TEST(UnframedStreamWithoutEventsLooksComplete);
  CPPUNIT_TEST(UnframedStreamOfACrashedServerLooksComplete);
  CPPUNIT_TEST(UnframedStreamOfACrashedServerIsNotContinued);
  CPPUNIT_TEST(UnframedEndOfAResumedStreamLooksComplete);
  CPPUNIT_TEST(UnframedEndOfAResumedStreamIsResumedForever);
  CPPUNIT_TEST(UnframedPlainResponseGetsALength);
  CPPUNIT_TEST(UnframedPlainResponseThatIsResetIsForwarded);
  CPPUNIT_TEST(UnframedResponseResetDuringAnUploadLooksComplete);
  CPPUNIT_TEST(UnframedSuccessDoesNotUnblockItsRequest);
  CPPUNIT_TEST(UnframedStreamOfAnEndingProcessLooksComplete);
  CPPUNIT_TEST_SUITE_END();

  /// The server's connection closes in an orderly way after each byte of the second event.
  void StreamCutInsideAnEventLooksComplete()
  {
    const std::string event = Event(2);
    for (std::size_t size = 1; size < event.size(); ++size)
    {
      TestServer server([&](TestPeer& peer, const std::string& head) {
        peer.stream->Write(UnframedHead(head) + Event(1) + event.substr(0, size));
        CloseSoon(peer);
      });
      World world;
      world.AddServer("i-1", server.Address());
      world.Ask(ONE_STREAM_PATH, "id-1");
      CPPUNIT_ASSERT(CallerConnectionEnds(world));
      CPPUNIT_ASSERT(world.caller.end == Http::StreamEnd::Reset);
      CPPUNIT_ASSERT(world.caller.received.find(LAST_CHUNK) == std::string::npos);
      CPPUNIT_ASSERT(world.caller.received.ends_with(Event(1)));
    }
  }

  void ChunkedStreamThatEndsInsideAnEventLooksComplete()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(StreamHead(head) + Chunk(Event(1) + "id: 2\ndata: to") + "0\r\n\r\n");
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONE_STREAM_PATH, "id-1");
    CPPUNIT_ASSERT(CallerConnectionEnds(world));
    CPPUNIT_ASSERT(world.caller.received.find("id: 1") != std::string::npos);
    CPPUNIT_ASSERT(world.caller.received.find("id: 2") == std::string::npos);
    CPPUNIT_ASSERT(world.caller.received.find(LAST_CHUNK) == std::string::npos);
  }

  /// Each event reaches the caller once, whatever had arrived of the one that was cut.
  void ResumableStreamCutInsideAnEventIsNotContinued()
  {
    std::string resumed_after;
    int requests = 0;
    const auto respond = [&](TestPeer& peer, const std::string& head) {
      if (++requests == 1)
      {
        peer.stream->Write(UnframedHead(head) + Event(1) + Event(2).substr(0, 9));
        CloseSoon(peer);
        return;
      }
      resumed_after = HeaderOf(head, "Last-Event-Id");
      peer.stream->Write(StreamHead(head) + Chunk(Event(2) + Event(3)) + "0\r\n\r\n");
    };
    TestServer first(respond);
    TestServer second(respond);
    World world;
    world.AddServer("i-1", first.Address());
    world.AddServer("i-2", second.Address());
    world.Ask(STREAM_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot(Event(2) + Event(3)));
    CPPUNIT_ASSERT(CallerConnectionEnds(world));
    CPPUNIT_ASSERT(world.caller.end == Http::StreamEnd::Closed);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), resumed_after);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), CountOf(world.caller.received, "id: 2\n"));
  }

  /// The daemon does not know whether the last event has come, so it must not state that.
  void UnframedStreamGetsALastChunk()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(UnframedHead(head) + Event(1) + Event(2));
      CloseSoon(peer);
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONE_STREAM_PATH, "id-1");
    CPPUNIT_ASSERT(CallerConnectionEnds(world));
    CPPUNIT_ASSERT(world.caller.end == Http::StreamEnd::Closed);
    CPPUNIT_ASSERT(world.caller.received.ends_with("\r\n\r\n" + Event(1) + Event(2)));
    CPPUNIT_ASSERT_EQUAL(std::string(""), HeaderOf(world.caller.received, "Transfer-Encoding"));
    CPPUNIT_ASSERT_EQUAL(std::string("close"), HeaderOf(world.caller.received, "Connection"));
  }

  void UnframedStreamThatIsResetLooksComplete()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(UnframedHead(head) + Event(1));
      ResetSoon(peer);
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONE_STREAM_PATH, "id-1");
    CPPUNIT_ASSERT(CallerConnectionEnds(world));
    CPPUNIT_ASSERT(world.caller.end == Http::StreamEnd::Reset);
    CPPUNIT_ASSERT(world.caller.received.find(LAST_CHUNK) == std::string::npos);
  }

  void UnframedStreamPastItsDeadlineLooksComplete()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(UnframedHead(head) + Event(1));
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONE_STREAM_PATH, "id-1", "Left-Ms: 200\r\n");
    CPPUNIT_ASSERT(CallerConnectionEnds(world));
    CPPUNIT_ASSERT(world.caller.end == Http::StreamEnd::Reset);
    CPPUNIT_ASSERT(world.caller.received.find(LAST_CHUNK) == std::string::npos);
  }

  void UnframedStreamWithoutEventsLooksComplete()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(UnframedHead(head));
      CloseSoon(peer);
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONE_STREAM_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 502 "));
  }

  /// The crash cuts the stream between two events.
  void UnframedStreamOfACrashedServerLooksComplete()
  {
    std::unique_ptr<TestServer> server;
    server = std::make_unique<TestServer>([&](TestPeer& peer, const std::string& head) {
      peer.stream->Write(UnframedHead(head) + Event(1));
      CrashSoon(server);
    });
    World world;
    world.AddServer("i-1", server->Address());
    world.Ask(ONE_STREAM_PATH, "id-1");
    CPPUNIT_ASSERT(CallerConnectionEnds(world));
    CPPUNIT_ASSERT(world.caller.end == Http::StreamEnd::Reset);
    CPPUNIT_ASSERT(world.caller.received.ends_with(Event(1)));
  }

  void UnframedStreamOfACrashedServerIsNotContinued()
  {
    std::unique_ptr<TestServer> first;
    std::unique_ptr<TestServer> second;
    int requests = 0;
    const auto respond = [&](std::unique_ptr<TestServer>& self) {
      return [&](TestPeer& peer, const std::string& head) {
        if (++requests == 1)
        {
          peer.stream->Write(UnframedHead(head) + Event(1));
          CrashSoon(self);
          return;
        }
        peer.stream->Write(StreamHead(head) + Chunk(Event(2)) + "0\r\n\r\n");
      };
    };
    first = std::make_unique<TestServer>(respond(first));
    second = std::make_unique<TestServer>(respond(second));
    World world;
    world.AddServer("i-1", first->Address());
    world.AddServer("i-2", second->Address());
    world.Ask(STREAM_PATH, "id-1");
    CPPUNIT_ASSERT(CallerConnectionEnds(world));
    CPPUNIT_ASSERT(world.caller.end == Http::StreamEnd::Closed);
    CPPUNIT_ASSERT(world.caller.received.ends_with(Event(1) + Event(2)));
  }

  /// The caller's response has chunks already, so that only a stated end may be passed on.
  void UnframedEndOfAResumedStreamLooksComplete()
  {
    int requests = 0;
    const auto respond = [&](TestPeer& peer, const std::string& head) {
      ++requests;
      if (requests == 1)
        peer.stream->Write(StreamHead(head) + Chunk(Event(1)));
      else if (requests == 2)
        peer.stream->Write(UnframedHead(head) + Event(2));
      else
        peer.stream->Write(StreamHead(head) + Chunk(Event(3)) + "0\r\n\r\n");
      if (requests < 3)
        CloseSoon(peer);
    };
    TestServer first(respond);
    TestServer second(respond);
    World world;
    world.AddServer("i-1", first.Address());
    world.AddServer("i-2", second.Address());
    world.Ask(STREAM_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot(LAST_CHUNK));
    CPPUNIT_ASSERT_EQUAL(3, requests);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), CountOf(world.caller.received, Event(2)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), CountOf(world.caller.received, Event(3)));
  }

  /// Servers that never state an end have nothing left to send after the last event.
  void UnframedEndOfAResumedStreamIsResumedForever()
  {
    int requests = 0;
    const auto respond = [&](TestPeer& peer, const std::string& head) {
      ++requests;
      if (requests == 1)
        peer.stream->Write(StreamHead(head) + Chunk(Event(1)));
      else
        peer.stream->Write(UnframedHead(head) + (requests == 2 ? Event(2) : ""));
      CloseSoon(peer);
    };
    TestServer first(respond);
    TestServer second(respond);
    World world;
    world.AddServer("i-1", first.Address());
    world.AddServer("i-2", second.Address());
    world.Ask(STREAM_PATH, "id-1");
    CPPUNIT_ASSERT(CallerConnectionEnds(world));
    CPPUNIT_ASSERT(world.caller.received.find(LAST_CHUNK) == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(3, requests);
  }

  void UnframedPlainResponseGetsALength()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(UnframedHead(head, "text/plain") + "body");
      CloseSoon(peer);
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONCE_PATH, "id-1");
    CPPUNIT_ASSERT(CallerConnectionEnds(world));
    CPPUNIT_ASSERT(world.caller.end == Http::StreamEnd::Closed);
    CPPUNIT_ASSERT(world.caller.received.ends_with("\r\n\r\nbody"));
    CPPUNIT_ASSERT_EQUAL(std::string(""), HeaderOf(world.caller.received, "Content-Length"));
    CPPUNIT_ASSERT_EQUAL(std::string("close"), HeaderOf(world.caller.received, "Connection"));
  }

  void UnframedPlainResponseThatIsResetIsForwarded()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(UnframedHead(head, "text/plain") + "bo");
      ResetSoon(peer);
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONCE_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 502 "));
    world.caller.received.clear();
    world.Ask(PLAIN_PATH, "id-2");
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 502 "));
    CPPUNIT_ASSERT(world.caller.received.find("\r\n\r\nbo") == std::string::npos);
  }

  /// A response without a length is passed on as whole although its server reset the connection in
  /// the middle of the upload.
  void UnframedResponseResetDuringAnUploadLooksComplete()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->SetReading(false);
      peer.stream->Write(UnframedHead(head, "text/plain") + "part");
      ResetSoon(peer);
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONCE_PATH, "id-1", "", std::string(4000000, 'x'));
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 "));
    CPPUNIT_ASSERT(world.caller.received.starts_with("HTTP/1.1 502 "));
    CPPUNIT_ASSERT(world.caller.received.find("part") == std::string::npos);
  }

  /// The request was blocked while its server was responding, and the server has not crashed.
  void UnframedSuccessDoesNotUnblockItsRequest()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(UnframedHead(head, "text/plain") + "bo");
      Common::Reactor::Get().After(Milliseconds(60), [&peer] {
        peer.stream->Write("dy");
        peer.stream->Close();
      });
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(PLAIN_PATH, "id-1");
    UnitTests::RunFor(Milliseconds(30));
    Crashes::CaseLine line;
    line.request = Crashes::FingerprintOf({"", "POST", "shop.example", PLAIN_PATH, ""});
    line.blocks = 1;
    line.blocked_for_ms = 600000;
    world.dispatcher.MergeCrashCases({line});
    CPPUNIT_ASSERT(world.CallerGot("body"));
    CPPUNIT_ASSERT(RunUntil([&] {
      return world.dispatcher.CrashCases().Blocked(Common::Now()) == 0;
    }));
  }

  /// The kernel closes the connections of a process that is killed.
  void UnframedStreamOfAnEndingProcessLooksComplete()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(UnframedHead(head) + Event(1));
    });
    auto world = std::make_unique<World>();
    world->AddServer("i-1", server.Address());
    const auto caller = world->NewCaller();
    caller->stream->Write("GET /one/ HTTP/1.1\r\nHost: shop.example\r\nReq-Id: id-1\r\n\r\n");
    CPPUNIT_ASSERT(RunUntil([&] {
      return caller->received.ends_with(Event(1));
    }));
    world.reset();
    CPPUNIT_ASSERT(RunUntil([&] {
      return caller->ended;
    }));
    CPPUNIT_ASSERT(caller->end == Http::StreamEnd::Reset);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BrokenOffResponsesTest);
} // namespace

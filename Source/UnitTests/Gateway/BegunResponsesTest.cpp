// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// What callers get of a response that has begun when the request's last attempt ends.

#include "Gateway/Dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/RelayWorld.h"

namespace
{
using Common::Milliseconds;
using UnitTests::Chunk;
using UnitTests::Event;
using UnitTests::HeaderOf;
using UnitTests::RunFor;
using UnitTests::RunUntil;
using UnitTests::STREAM_PATH;
using UnitTests::StreamHead;
using UnitTests::TestPeer;
using UnitTests::TestServer;
using World = UnitTests::RelayWorld;

std::string UnframedStreamHead(const std::string& request)
{
  return "HTTP/1.1 200 OK\r\nReq-Id: " + HeaderOf(request, "Req-Id") +
         "\r\nSigned: yes\r\nContent-Type: text/event-stream\r\n\r\n";
}

std::string ServerFailure(const std::string& request)
{
  return "HTTP/1.1 500 Bad\r\nReq-Id: " + HeaderOf(request, "Req-Id") +
         "\r\nSigned: no\r\nContent-Length: 6\r\n\r\nfailed";
}

enum class Framing
{
  Chunked,
  UntilClose,
};

/// How the stream's server ends its connection.
enum class ServerEnd
{
  Resets,
  Falls, ///< It also accepts no further connection.
  Stalls,
};

std::size_t CountOf(const std::string& text, const std::string& part)
{
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
    ++count;
  return count;
}

/// Checks that the caller got one head, the events so far, and no end.
void AssertBrokenOff(World& world)
{
  CPPUNIT_ASSERT(RunUntil([&] {
    return world.caller.ended;
  }));
  CPPUNIT_ASSERT_EQUAL(std::size_t(1), CountOf(world.caller.received, "HTTP/1.1 "));
  CPPUNIT_ASSERT(world.caller.received.starts_with("HTTP/1.1 200 "));
  CPPUNIT_ASSERT(world.caller.received.find("failed") == std::string::npos);
  CPPUNIT_ASSERT(!world.caller.received.ends_with("0\r\n\r\n"));
  const bool chunked = HeaderOf(world.caller.received, "Transfer-Encoding") == "chunked";
  CPPUNIT_ASSERT(chunked || world.caller.end == Http::StreamEnd::Reset);
}

class BegunResponsesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BegunResponsesTest);
  CPPUNIT_TEST(SavedFailureIsWrittenIntoAStreamThatIsReset);
  CPPUNIT_TEST(SavedFailureIsWrittenIntoAStreamOfACrashedServer);
  CPPUNIT_TEST(SavedFailureIsWrittenIntoAStreamThatNoServerContinues);
  CPPUNIT_TEST(SavedFailureIsWrittenIntoAStreamPastItsDeadline);
  CPPUNIT_TEST(SavedFailureIsWrittenIntoAStreamOfAStoppingDaemon);
  CPPUNIT_TEST(SavedFailureIsWrittenIntoAStreamAfterCrashes);
  CPPUNIT_TEST(RejectionOfAResumedStreamIsWrittenIntoIt);
  CPPUNIT_TEST(HeadOfAStreamIsFollowedByABody);
  CPPUNIT_TEST(SavedFailureIsReplacedAtTheDeadline);
  CPPUNIT_TEST_SUITE_END();

  /// The first server fails, the next one begins the stream and breaks off. Servers are drawn at
  /// random, so the first one to be asked fails.
  struct Servers
  {
    Servers(Framing framing, ServerEnd server_end)
    {
      const auto respond = [this, framing, server_end](std::unique_ptr<TestServer>& self) {
        return [this, framing, server_end, &self](TestPeer& peer, const std::string& head) {
          if (++requests == 1)
          {
            peer.stream->Write(ServerFailure(head));
            return;
          }
          if (requests > 2)
          {
            peer.stream->Write(later.empty() ? ServerFailure(head) : later);
            return;
          }
          peer.stream->Write(framing == Framing::Chunked ? StreamHead(head) + Chunk(Event(1))
                                                         : UnframedStreamHead(head) + Event(1));
          if (server_end == ServerEnd::Stalls)
            return;
          Common::Reactor::Get().After(Milliseconds(10), [&peer, &self, server_end] {
            peer.stream->Reset();
            if (server_end == ServerEnd::Falls)
              self.reset();
          });
        };
      };
      first = std::make_unique<TestServer>(respond(first));
      second = std::make_unique<TestServer>(respond(second));
    }

    void AddTo(World& world) const
    {
      world.AddServer("i-1", first->Address());
      world.AddServer("i-2", second->Address());
    }

    int requests = 0;
    std::string later; ///< What a third request gets, if not a failure.
    std::unique_ptr<TestServer> first;
    std::unique_ptr<TestServer> second;
  };

  void BreakOff(ServerEnd server_end, const std::function<void(World&)>& then = {})
  {
    for (const Framing framing : {Framing::Chunked, Framing::UntilClose})
    {
      Servers servers(framing, server_end);
      World world;
      servers.AddTo(world);
      world.Ask(STREAM_PATH, "id-1");
      CPPUNIT_ASSERT(world.CallerGot(Event(1)));
      if (then)
        then(world);
      AssertBrokenOff(world);
    }
  }

  void SavedFailureIsWrittenIntoAStreamThatIsReset() { BreakOff(ServerEnd::Resets); }

  void SavedFailureIsWrittenIntoAStreamOfACrashedServer() { BreakOff(ServerEnd::Falls); }

  /// A third server is listed, but takes no requests.
  void SavedFailureIsWrittenIntoAStreamThatNoServerContinues()
  {
    for (const Framing framing : {Framing::Chunked, Framing::UntilClose})
    {
      Servers servers(framing, ServerEnd::Falls);
      World world;
      auto configuration =
          std::make_shared<Gateway::Configuration>(*world.dispatcher.CurrentConfiguration());
      ++configuration->version;
      for (Gateway::Route& route : configuration->routes)
        route.max_servers = 3;
      world.dispatcher.SetConfiguration(configuration);
      servers.AddTo(world);
      world.Ask(STREAM_PATH, "id-1");
      AssertBrokenOff(world);
    }
  }

  void SavedFailureIsWrittenIntoAStreamPastItsDeadline() { BreakOff(ServerEnd::Stalls); }

  void SavedFailureIsWrittenIntoAStreamOfAStoppingDaemon()
  {
    BreakOff(ServerEnd::Stalls, [](World& world) {
      world.dispatcher.CancelAll();
    });
  }

  /// Two servers have crashed under the request before the stream's one does.
  void SavedFailureIsWrittenIntoAStreamAfterCrashes()
  {
    BreakOff(ServerEnd::Stalls, [](World& world) {
      Crashes::CaseLine line;
      line.request = Crashes::FingerprintOf({"", "POST", "shop.example", STREAM_PATH, ""});
      line.blocks = 1;
      line.blocked_for_ms = 600000;
      world.dispatcher.MergeCrashCases({line});
    });
  }

  void RejectionOfAResumedStreamIsWrittenIntoIt()
  {
    for (const Framing framing : {Framing::Chunked, Framing::UntilClose})
    {
      Servers servers(framing, ServerEnd::Resets);
      servers.later = "HTTP/1.1 503 Full\r\nReq-Id: id-1\r\nDid-Not-Run: 1\r\nContent-Length: "
                      "0\r\n\r\n";
      World world;
      servers.AddTo(world);
      world.Ask(STREAM_PATH, "id-1");
      AssertBrokenOff(world);
    }
  }

  void HeadOfAStreamIsFollowedByABody()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(StreamHead(head));
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.caller.stream->Write(
        "HEAD /stream/ HTTP/1.1\r\nHost: shop.example\r\nReq-Id: id-1\r\n\r\n");
    CPPUNIT_ASSERT(world.CallerGot("\r\n\r\n"));
    RunFor(Milliseconds(50));
    CPPUNIT_ASSERT(world.caller.received.starts_with("HTTP/1.1 200 "));
    CPPUNIT_ASSERT_EQUAL(world.caller.received.size(), world.caller.received.find("\r\n\r\n") + 4);
  }

  /// A server has failed, the next one does not respond: the caller gets the failure.
  void SavedFailureIsReplacedAtTheDeadline()
  {
    int requests = 0;
    const auto respond = [&](TestPeer& peer, const std::string& head) {
      if (++requests == 1)
        peer.stream->Write(ServerFailure(head));
    };
    TestServer first(respond);
    TestServer second(respond);
    World world;
    world.AddServer("i-1", first.Address());
    world.AddServer("i-2", second.Address());
    world.Ask(STREAM_PATH, "id-1", "Left-Ms: 300\r\n");
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 500 "));
    CPPUNIT_ASSERT(world.CallerGot("failed"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BegunResponsesTest);
} // namespace

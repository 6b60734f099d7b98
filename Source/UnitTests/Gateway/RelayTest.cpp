// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// The relay between a caller and backend servers whose responses are scripted byte by byte. Each
// test reproduces a fault that backend servers showed on the users' platform.

#include "Gateway/Dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/RelayWorld.h"

namespace
{
using namespace Gateway;
using Common::Milliseconds;
using UnitTests::HeaderOf;
using UnitTests::RunFor;
using UnitTests::RunUntil;
using UnitTests::TestPeer;
using UnitTests::TestServer;

using World = UnitTests::RelayWorld;
using UnitTests::Answer;
using UnitTests::Chunk;
using UnitTests::Event;
using UnitTests::Names;
using UnitTests::ONCE_PATH;
using UnitTests::ONE_STREAM_PATH;
using UnitTests::PLAIN_PATH;
using UnitTests::STREAM_PATH;
using UnitTests::StreamHead;

class RelayTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RelayTest);
  CPPUNIT_TEST(PassesRequestAndResponseUnchanged);
  CPPUNIT_TEST(UnknownPathIs404);
  CPPUNIT_TEST(RefusesWithoutConfiguration);
  CPPUNIT_TEST(SkipsAResponseToAnotherRequest);
  CPPUNIT_TEST(BytesAfterAResponseAreDiscarded);
  CPPUNIT_TEST(RepeatableRequestIsRetriedAfterABrokenResponse);
  CPPUNIT_TEST(UnrepeatableRequestIsNotRetriedAfterABrokenResponse);
  CPPUNIT_TEST(RejectedUnrepeatableRequestIsAnsweredWith503);
  CPPUNIT_TEST(UnsignedSuccessIsNotForwarded);
  CPPUNIT_TEST(Unconfirmed503IsAnsweredWith502);
  CPPUNIT_TEST(EarlyResponseClosesTheServerConnection);
  CPPUNIT_TEST(StreamIsResumedAtAnotherServer);
  CPPUNIT_TEST(BrokenUnresumableStreamClosesTheCallerConnection);
  CPPUNIT_TEST(IncompleteEventIsNotForwarded);
  CPPUNIT_TEST(StalledStreamOfAnUnlistedServerEnds);
  CPPUNIT_TEST(StreamOfARestartedServerEndsAndIsNotRetried);
  CPPUNIT_TEST(StalledStreamOfAListedServerContinues);
  CPPUNIT_TEST(CallerDisconnectCancelsTheRequest);
  CPPUNIT_TEST(ForwardsTheRemainingTime);
  CPPUNIT_TEST(RespondsAtTheDeadline);
  CPPUNIT_TEST(ServerIsNotUsedAfterAnotherProcessResponds);
  CPPUNIT_TEST(UnreachableServerDoesNotCountAsAnAttempt);
  CPPUNIT_TEST(RequestIsRefusedAtOnceIfTheLoadWouldBeTooLate);
  CPPUNIT_TEST(RequestWaitsForALoadFromDisk);
  CPPUNIT_TEST(NonStreamingRequestWaitsForASlowLoad);
  CPPUNIT_TEST(ResponsesAnnounceTheCloseDuringShutdown);
  CPPUNIT_TEST(RequestWithoutASocketIsTriedWithoutEnd);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a long wait before a refusal: 352 of 438 bulk requests were refused after 5.6
  /// s, and again when they were retried. They waited for models whose weights are only in the
  /// weight store; a load takes 13.2 s, but callers disconnect after 2 to 8 s without data.
  /// Immediate refusal raised the share of the service due to callers that they received by
  /// 0.096 +- 0.010 (twelve pairs of runs, 22 servers, 1,375 models).
  void RequestIsRefusedAtOnceIfTheLoadWouldBeTooLate()
  {
    World world;
    world.ServeModel(Milliseconds(13200));
    world.AddServer("i-1", TestServer({}).Address(), {ModelId("other")});
    const auto begin = Common::Now();
    world.Ask(ONE_STREAM_PATH, "id-1", "Model: m\r\n");
    CPPUNIT_ASSERT(world.CallerGot("503"));
    CPPUNIT_ASSERT(Common::Now() - begin < Milliseconds(250));
    const double seconds = std::stod(HeaderOf(world.caller.received, "Retry-After"));
    CPPUNIT_ASSERT(seconds >= 13.2 && seconds < 14.7);
    // The caller is expected to retry, so the reported demand includes the model.
    const auto demand = world.dispatcher.TakeDemand();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), demand.size());
    CPPUNIT_ASSERT_EQUAL(1, demand[0].waiting);
    CPPUNIT_ASSERT_EQUAL(1, world.dispatcher.TakeDemand().at(0).waiting);
  }

  void RequestWaitsForALoadFromDisk()
  {
    World world;
    world.ServeModel(Milliseconds(13200));
    world.AddServer("i-1", TestServer({}).Address(), {ModelId("m")});
    world.Ask(ONE_STREAM_PATH, "id-1", "Model: m\r\n");
    RunFor(Milliseconds(100));
    CPPUNIT_ASSERT(world.caller.received.empty());
    CPPUNIT_ASSERT_EQUAL(1, world.dispatcher.TakeDemand().at(0).waiting);
  }

  /// A caller disconnects from a stream without data, but waits for a complete response until its
  /// deadline. A load of 5 s fits into a deadline of 8 s, but not into the 2 s of a stream.
  void NonStreamingRequestWaitsForASlowLoad()
  {
    World world;
    world.ServeModel(Milliseconds(5000));
    world.AddServer("i-1", TestServer({}).Address(), {ModelId("other")});
    world.Ask(ONCE_PATH, "id-1", "Model: m\r\n");
    RunFor(Milliseconds(100));
    CPPUNIT_ASSERT(world.caller.received.empty());
  }

  void PassesRequestAndResponseUnchanged()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write("HTTP/1.1 201 Fine\r\nReq-Id: " + HeaderOf(head, "Req-Id") +
                         "\r\nSigned: s\r\nX-Own: a, b\r\nConnection: close\r\nContent-Length: "
                         "4\r\n\r\n\x01\x02\x03\x04");
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask("/once/%2E%2e/x?q=%20&r", "id-1",
              "X-Mine: 1\r\nSecret: no\r\nWant-Instance: i-9\r\nConnection: X-Hop\r\nX-Hop: "
              "1\r\nLeft-Ms: 900\r\n");
    CPPUNIT_ASSERT(world.CallerGot("\x01\x02\x03\x04"));
    const std::string& head = server.requests.at(0);
    CPPUNIT_ASSERT(head.starts_with("POST /once/%2E%2e/x?q=%20&r HTTP/1.1\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), HeaderOf(head, "X-Mine"));
    CPPUNIT_ASSERT_EQUAL(std::string("id-1"), HeaderOf(head, "Req-Id"));
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), HeaderOf(head, "Want-Instance"));
    CPPUNIT_ASSERT_EQUAL(std::string(""), HeaderOf(head, "Secret"));
    CPPUNIT_ASSERT_EQUAL(std::string(""), HeaderOf(head, "X-Hop"));
    CPPUNIT_ASSERT(world.caller.received.starts_with("HTTP/1.1 201 Fine\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("a, b"), HeaderOf(world.caller.received, "X-Own"));
    CPPUNIT_ASSERT_EQUAL(std::string(""), HeaderOf(world.caller.received, "Connection"));
  }

  void UnknownPathIs404()
  {
    World world;
    world.Ask("/elsewhere/", "id-1");
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 404 "));
  }

  void RefusesWithoutConfiguration()
  {
    Dispatcher dispatcher(DispatcherSettings{Common::DataCentreId("here"), Names(), {}});
    Http::TcpListener listener;
    CPPUNIT_ASSERT(static_cast<bool>(listener.Listen(Http::Endpoint{htonl(INADDR_LOOPBACK), 0},
                                                     [&](int fd, const Http::Endpoint&) {
                                                       dispatcher.AcceptConnection(fd);
                                                     })));
    TestPeer caller;
    caller.stream = Http::TcpStream::Connect(listener.Local(), &caller);
    caller.stream->Write("GET /plain/ HTTP/1.1\r\nHost: shop.example\r\n\r\n");
    CPPUNIT_ASSERT(RunUntil([&] {
      return caller.received.find("HTTP/1.1 503 ") == 0;
    }));
    CPPUNIT_ASSERT(!HeaderOf(caller.received, "Retry-After").empty());
  }

  void SkipsAResponseToAnotherRequest()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(
          "HTTP/1.1 200 OK\r\nReq-Id: other\r\nSigned: s\r\nContent-Length: 5\r\n\r\nwrong");
      peer.stream->Write(Answer(head, "right"));
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONCE_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("right"));
    CPPUNIT_ASSERT(world.caller.received.find("wrong") == std::string::npos);
  }

  void BytesAfterAResponseAreDiscarded()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(Answer(head, "one") + Answer(head, "two"));
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONCE_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("one"));
    world.caller.received.clear();
    world.Ask(ONCE_PATH, "id-2");
    CPPUNIT_ASSERT(world.CallerGot("Req-Id: id-2"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), server.peers.size());
  }

  void RepeatableRequestIsRetriedAfterABrokenResponse()
  {
    TestServer broken([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(Answer(head, "whole").substr(0, 60));
      peer.stream->Close();
    });
    TestServer sound([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(Answer(head, "whole"));
    });
    World world;
    world.AddServer("i-1", broken.Address());
    world.AddServer("i-2", sound.Address());
    // Equal servers are chosen at random: sends at least six requests, then more until the broken
    // server has got one. All of 60 requests miss it once in 10^18 runs.
    constexpr int MIN_REQUESTS = 6;
    constexpr int MAX_REQUESTS = 60;
    for (int i = 0; i < MIN_REQUESTS || (broken.requests.empty() && i < MAX_REQUESTS); ++i)
    {
      world.caller.received.clear();
      world.Ask(PLAIN_PATH, "id-" + std::to_string(i));
      CPPUNIT_ASSERT(world.CallerGot("whole"));
    }
    CPPUNIT_ASSERT(!broken.requests.empty());
  }

  void UnrepeatableRequestIsNotRetriedAfterABrokenResponse()
  {
    const auto cut = [](TestPeer& peer, const std::string&) {
      peer.stream->Reset();
    };
    TestServer first(cut);
    TestServer second(cut);
    World world;
    world.AddServer("i-1", first.Address());
    world.AddServer("i-2", second.Address());
    world.Ask(ONCE_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 502 "));
    RunFor(Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), first.requests.size() + second.requests.size());
  }

  void RejectedUnrepeatableRequestIsAnsweredWith503()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write("HTTP/1.1 503 Busy\r\nReq-Id: " + HeaderOf(head, "Req-Id") +
                         "\r\nDid-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONCE_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 503 "));
    CPPUNIT_ASSERT(!HeaderOf(world.caller.received, "Retry-After").empty());
  }

  void UnsignedSuccessIsNotForwarded()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write("HTTP/1.1 200 OK\r\nReq-Id: " + HeaderOf(head, "Req-Id") +
                         "\r\nContent-Length: 4\r\n\r\nfake");
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONCE_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 502 "));
    CPPUNIT_ASSERT(world.caller.received.find("fake") == std::string::npos);
  }

  void Unconfirmed503IsAnsweredWith502()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write("HTTP/1.1 503 Oops\r\nReq-Id: " + HeaderOf(head, "Req-Id") +
                         "\r\nSigned: s\r\nContent-Length: 0\r\n\r\n");
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONCE_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 502 "));
    CPPUNIT_ASSERT_EQUAL(std::string(""), HeaderOf(world.caller.received, "Signed"));
  }

  void EarlyResponseClosesTheServerConnection()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->SetReading(false);
      peer.stream->Write("HTTP/1.1 413 Long\r\nReq-Id: " + HeaderOf(head, "Req-Id") +
                         "\r\nSigned: s\r\nContent-Length: 0\r\n\r\n");
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONCE_PATH, "id-1", "", std::string(4000000, 'x'));
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 413 "));
    world.caller.received.clear();
    world.Ask(ONCE_PATH, "id-2");
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 413 "));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), server.peers.size());
  }

  void StreamIsResumedAtAnotherServer()
  {
    int calls = 0;
    const auto serve = [&](TestPeer& peer, const std::string& head) {
      if (calls++ == 0)
      {
        peer.stream->Write(StreamHead(head) + Chunk(Event(1) + Event(2) + "id: 3\nda"));
        Common::Reactor::Get().After(Milliseconds(20), [&peer] {
          peer.stream->Reset();
        });
        return;
      }
      CPPUNIT_ASSERT_EQUAL(std::string("2"), HeaderOf(head, "Last-Event-Id"));
      peer.stream->Write(StreamHead(head) + Chunk(Event(3)) + Chunk(Event(4)) + "0\r\n\r\n");
    };
    TestServer first(serve);
    TestServer second(serve);
    World world;
    world.AddServer("i-1", first.Address());
    world.AddServer("i-2", second.Address());
    world.Ask(STREAM_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("0\r\n\r\n"));
    std::string ids;
    for (auto at = world.caller.received.find("id: "); at != std::string::npos;
         at = world.caller.received.find("id: ", at + 1))
      ids += world.caller.received[at + 4];
    CPPUNIT_ASSERT_EQUAL(std::string("1234"), ids);
    CPPUNIT_ASSERT_EQUAL(2, calls);
  }

  void BrokenUnresumableStreamClosesTheCallerConnection()
  {
    const auto serve = [](TestPeer& peer, const std::string& head) {
      peer.stream->Write(StreamHead(head) + Chunk(Event(1)));
      Common::Reactor::Get().After(Milliseconds(20), [&peer] {
        peer.stream->Close();
      });
    };
    TestServer first(serve);
    TestServer second(serve);
    World world;
    world.AddServer("i-1", first.Address());
    world.AddServer("i-2", second.Address());
    world.Ask(ONE_STREAM_PATH, "id-1");
    CPPUNIT_ASSERT(RunUntil([&] {
      return world.caller.ended;
    }));
    CPPUNIT_ASSERT(world.caller.received.find("\r\n0\r\n\r\n") == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), first.requests.size() + second.requests.size());
  }

  void IncompleteEventIsNotForwarded()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(StreamHead(head) + Chunk(Event(1) + "id: 2\ndata: ha"));
      Common::Reactor::Get().After(Milliseconds(20), [&peer] {
        peer.stream->Close();
      });
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONE_STREAM_PATH, "id-1");
    CPPUNIT_ASSERT(RunUntil([&] {
      return world.caller.ended;
    }));
    CPPUNIT_ASSERT(world.caller.received.find("id: 1") != std::string::npos);
    CPPUNIT_ASSERT(world.caller.received.find("id: 2") == std::string::npos);
  }

  void StalledStreamOfAnUnlistedServerEnds()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(StreamHead(head) + Chunk(Event(1)));
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONE_STREAM_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("id: 1"));
    world.dispatcher.Servers().Remove(InstanceId("i-1"));
    const auto begun = Common::Now();
    CPPUNIT_ASSERT(RunUntil(
        [&] {
          return world.caller.ended;
        },
        Milliseconds(3500)));
    CPPUNIT_ASSERT(Common::Now() - begun < Milliseconds(3200));
  }

  /// The server restarts under its id during a network partition, so that the stream's connection
  /// hangs.
  void StreamOfARestartedServerEndsAndIsNotRetried()
  {
    int requests = 0;
    TestServer server([&](TestPeer& peer, const std::string& head) {
      ++requests;
      peer.stream->Write(StreamHead(head) + Chunk(Event(1)));
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONE_STREAM_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("id: 1"));
    ServerEntry entry = world.dispatcher.Servers().All().begin()->second->Entry();
    entry.instance = InstanceId("i-1", ServerStart(2000));
    world.dispatcher.Servers().Put(entry);
    const auto begun = Common::Now();
    CPPUNIT_ASSERT(RunUntil(
        [&] {
          return world.caller.ended;
        },
        Milliseconds(3500)));
    CPPUNIT_ASSERT(Common::Now() - begun < Milliseconds(3200));
    CPPUNIT_ASSERT_EQUAL(1, requests);
  }

  void StalledStreamOfAListedServerContinues()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(StreamHead(head) + Chunk(Event(1)));
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONE_STREAM_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("id: 1"));
    RunFor(Milliseconds(3200));
    CPPUNIT_ASSERT(!world.caller.ended);
  }

  void CallerDisconnectCancelsTheRequest()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(StreamHead(head) + Chunk(Event(1)));
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(STREAM_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("id: 1"));
    world.caller.stream->Close();
    CPPUNIT_ASSERT(RunUntil(
        [&] {
          return server.peers.at(0)->ended;
        },
        Milliseconds(400)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.dispatcher.OpenRequests());
  }

  void ForwardsTheRemainingTime()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(Answer(head, "x"));
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONCE_PATH, "id-1", "Left-Ms: 400\r\n");
    CPPUNIT_ASSERT(world.CallerGot("\r\n\r\nx"));
    world.caller.received.clear();
    world.Ask(ONCE_PATH, "id-2", "Left-Ms: 99000\r\n");
    CPPUNIT_ASSERT(world.CallerGot("\r\n\r\nx"));
    CPPUNIT_ASSERT(std::stoi(HeaderOf(server.requests.at(0), "Left-Ms")) <= 400);
    CPPUNIT_ASSERT(std::stoi(HeaderOf(server.requests.at(1), "Left-Ms")) <= 1500);
  }

  void RespondsAtTheDeadline()
  {
    TestServer server([](TestPeer&, const std::string&) {});
    World world;
    world.AddServer("i-1", server.Address());
    const auto begun = Common::Now();
    world.Ask(ONCE_PATH, "id-1", "Left-Ms: 200\r\n");
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 504 "));
    CPPUNIT_ASSERT(Common::Now() - begun < Milliseconds(600));
  }

  void ServerIsNotUsedAfterAnotherProcessResponds()
  {
    TestServer other_process([](TestPeer& peer, const std::string& head) {
      peer.stream->Write("HTTP/1.1 421 No\r\nReq-Id: " + HeaderOf(head, "Req-Id") +
                         "\r\nInstance: i-7\r\nContent-Length: 0\r\n\r\n");
    });
    World world;
    world.AddServer("i-1", other_process.Address());
    world.Ask(ONCE_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 503 "));
    world.caller.received.clear();
    world.Ask(ONCE_PATH, "id-2", "Left-Ms: 300\r\n");
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 503 "));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), other_process.requests.size());
  }

  void UnreachableServerDoesNotCountAsAnAttempt()
  {
    TestServer sound([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(Answer(head, "whole"));
    });
    Http::Endpoint unreachable;
    {
      TestServer closed([](TestPeer&, const std::string&) {});
      unreachable = closed.Address();
    }
    World world;
    world.AddServer("i-1", unreachable);
    world.AddServer("i-2", sound.Address());
    for (int i = 0; i < 4; ++i)
    {
      world.caller.received.clear();
      world.Ask(ONCE_PATH, "id-" + std::to_string(i));
      CPPUNIT_ASSERT(world.CallerGot("whole"));
    }
  }

  void ResponsesAnnounceTheCloseDuringShutdown()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(Answer(head, "x"));
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.dispatcher.BeginStop(Common::TimePoint::max());
    world.Ask(ONCE_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("\r\n\r\nx"));
    CPPUNIT_ASSERT_EQUAL(std::string("close"), HeaderOf(world.caller.received, "Connection"));
    CPPUNIT_ASSERT(RunUntil([&] {
      return world.caller.ended;
    }));
  }

  /// Attempts for which no socket can be opened followed each other until the stack overflowed.
  void RequestWithoutASocketIsTriedWithoutEnd()
  {
    World world;
    world.AddServer("i-1", Http::Endpoint{INADDR_BROADCAST, 9});
    const auto left = world.dispatcher.Budget().Left(PoolId("pool"), Common::Now());
    world.Ask(ONCE_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 503 "));
    CPPUNIT_ASSERT_EQUAL(0, world.dispatcher.Servers().Find(InstanceId("i-1"))->InFlight());
    CPPUNIT_ASSERT(world.dispatcher.Budget().Left(PoolId("pool"), Common::Now()) >= left);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);
} // namespace

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Responses of servers in trouble that are not well-formed.

#include "Gateway/Dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/CutResponses.h"
#include "UnitTests/Support/RelayWorld.h"

namespace
{
using Common::Milliseconds;
using UnitTests::Answer;
using UnitTests::HeaderOf;
using UnitTests::ONCE_PATH;
using UnitTests::ONE_STREAM_PATH;
using UnitTests::PLAIN_PATH;
using UnitTests::RunUntil;
using UnitTests::TestPeer;
using UnitTests::TestServer;
using World = UnitTests::RelayWorld;

/// Well below the timeout of the routes, so that the caller does not wait for its deadline.
constexpr Milliseconds SOON{500};

/// A response with status 200 whose last line after the id is `line`.
std::string WithLine(const std::string& head, const std::string& line)
{
  return "HTTP/1.1 200 OK\r\nSigned: yes\r\nContent-Length: 4\r\nReq-Id: " +
         HeaderOf(head, "Req-Id") + "\r\n" + line + "\r\n\r\nbody";
}

std::string WithStatus(const std::string& head, const std::string& status)
{
  return "HTTP/1.1 " + status + " Odd\r\nReq-Id: " + HeaderOf(head, "Req-Id") +
         "\r\nSigned: yes\r\nContent-Length: 4\r\n\r\nbody";
}

std::string WithChunks(const std::string& head, const std::string& chunks)
{
  return "HTTP/1.1 200 OK\r\nReq-Id: " + HeaderOf(head, "Req-Id") +
         "\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks;
}

class MalformedResponsesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MalformedResponsesTest);
  CPPUNIT_TEST(OddStatusReachesTheCaller);
  CPPUNIT_TEST(OddHeaderNameReachesTheCaller);
  CPPUNIT_TEST(ContinuedHeaderLineDelaysTheCallerUntilItsDeadline);
  CPPUNIT_TEST(BodyOfWrongChunksReachesTheCaller);
  CPPUNIT_TEST(RepeatableRequestIsNotSentAgain);
  CPPUNIT_TEST(StreamWithABadChunkEndsAsComplete);
  CPPUNIT_TEST_SUITE_END();

  using ResponseMaker = std::function<std::string(const std::string& head)>;

  /// Checks that the caller of a request that may run once gets 502 soon, and nothing of the
  /// response, that the server counts as failing, and that its connection is not used again.
  static void CheckRejected(const std::string& what, const ResponseMaker& response)
  {
    TestServer server([&](TestPeer& peer, const std::string& head) {
      peer.stream->Write(response(head));
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONCE_PATH, "id-1");
    CPPUNIT_ASSERT_MESSAGE(what, RunUntil(
                                     [&] {
                                       return !world.caller.received.empty();
                                     },
                                     SOON));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::string("HTTP/1.1 502"),
                                 world.caller.received.substr(0, 12));
    CPPUNIT_ASSERT_MESSAGE(what, world.caller.received.find("body") == std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(what, RunUntil([&] {
                             return server.peers.at(0)->ended;
                           }));
    const auto entry = world.dispatcher.Servers().Find(Gateway::InstanceId("i-1"));
    CPPUNIT_ASSERT_MESSAGE(what, entry->Health().FailureShare() > 0);
  }

  /// 600 was passed on; 000 counted as an interim response, after which the caller waited for
  /// another one.
  void OddStatusReachesTheCaller()
  {
    for (const char* status : {"000", "0", "099", "20", "600", "999", "1000", "0200", "2 0"})
      CheckRejected(status, [&](const std::string& head) {
        return WithStatus(head, status);
      });
  }

  void OddHeaderNameReachesTheCaller()
  {
    using namespace std::string_literals;
    for (const std::string& line : {"X y: 1"s, "X\x01y: 1"s, "X\0y: 1"s, "Server : 1"s, ": 1"s})
      CheckRejected(line, [&](const std::string& head) {
        return WithLine(head, line);
      });
  }

  /// It was read as a part of the id in the line before, and the response as one to another
  /// request.
  void ContinuedHeaderLineDelaysTheCallerUntilItsDeadline()
  {
    for (const char* line : {" X: 5", "\tX: 5"})
      CheckRejected(line, [&](const std::string& head) {
        return WithLine(head, line);
      });
  }

  void BodyOfWrongChunksReachesTheCaller()
  {
    for (const char* chunks :
         {"4\r\nbodyXX0\r\n\r\n", "2\r\nbody\r\n\r\n0\r\n\r\n", "4\r\nbody\r\n0\r\nX y: 1\r\n\r\n"})
      CheckRejected(chunks, [&](const std::string& head) {
        return WithChunks(head, chunks);
      });
  }

  void RepeatableRequestIsNotSentAgain()
  {
    TestServer odd([](TestPeer& peer, const std::string& head) {
      UnitTests::WriteSoon(peer, WithLine(head, "X y: 1"));
    });
    TestServer sound([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(Answer(head, "sound"));
    });
    World world;
    world.AddServer("i-1", odd.Address());
    world.Ask(PLAIN_PATH, "id-1");
    CPPUNIT_ASSERT(RunUntil([&] {
      return !odd.requests.empty();
    }));
    world.AddServer("i-2", sound.Address());
    CPPUNIT_ASSERT(world.CallerGot("sound"));
  }

  void StreamWithABadChunkEndsAsComplete()
  {
    TestServer server([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(UnitTests::StreamHead(head) + UnitTests::Chunk(UnitTests::Event(1)) +
                         "3\r\nabcXX0\r\n\r\n");
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONE_STREAM_PATH, "id-1");
    CPPUNIT_ASSERT(RunUntil([&] {
      return world.caller.ended;
    }));
    CPPUNIT_ASSERT(world.caller.received.find("\r\n0\r\n\r\n") == std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MalformedResponsesTest);
} // namespace

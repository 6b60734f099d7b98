// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Responses that do not end are given up before they need too much memory.

#include "Gateway/ResponseMemory.h"

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/RelayWorld.h"

namespace
{
using Common::Milliseconds;
using Gateway::ResponseMemory;
using UnitTests::Answer;
using UnitTests::HeaderOf;
using UnitTests::PLAIN_PATH;
using UnitTests::RunUntil;
using UnitTests::STREAM_PATH;
using UnitTests::TestPeer;
using UnitTests::TestServer;

/// Sends pieces of a body as fast as they are read, until the connection ends.
void SendWithoutEnd(const std::weak_ptr<Http::TcpStream>& connection,
                    const std::string& piece = std::string(1U << 20U, 'x'),
                    std::size_t* sent = nullptr)
{
  const auto stream = connection.lock();
  if (!stream || !stream->IsOpen())
    return;
  if (stream->Unsent() == 0)
  {
    stream->Write(piece);
    if (sent != nullptr)
      *sent += piece.size();
  }
  Common::Reactor::Get().After(Milliseconds(1), [connection, piece, sent] {
    SendWithoutEnd(connection, piece, sent);
  });
}

std::string HeadWithoutLength(const std::string& head, const std::string& more)
{
  return "HTTP/1.1 200 OK\r\nReq-Id: " + HeaderOf(head, "Req-Id") + "\r\nSigned: yes\r\n" + more +
         "\r\n";
}

class EndlessResponsesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EndlessResponsesTest);
  CPPUNIT_TEST(EndlessBodyIsNotSentAgainToAnotherServer);
  CPPUNIT_TEST(EndlessEventIsKeptInMemory);
  CPPUNIT_TEST(EndlessInterimResponsesAreReadUntilTheDeadline);
  CPPUNIT_TEST(EndlessResponseToAnotherRequestIsReadUntilTheDeadline);
  CPPUNIT_TEST(EndlessResponsesToOtherRequestsAreReadUntilTheDeadline);
  CPPUNIT_TEST(ManyEndlessBodiesExhaustMemoryTogether);
  CPPUNIT_TEST(LongBodyIsTakenForAnEndlessOne);
  CPPUNIT_TEST_SUITE_END();

  /// A server that answers without end, and one that is sound.
  struct World : public UnitTests::RelayWorld
  {
    explicit World(const std::string& more)
        : endless([more](TestPeer& peer, const std::string& head) {
            peer.stream->Write(HeadWithoutLength(head, more));
            SendWithoutEnd(peer.stream);
          }),
          sound([](TestPeer& peer, const std::string& head) {
            peer.stream->Write(Answer(head, "sound"));
          })
    {
    }
    TestServer endless;
    TestServer sound;
  };

  void EndlessBodyIsNotSentAgainToAnotherServer()
  {
    World world("");
    world.AddServer("i-1", world.endless.Address());
    world.Ask(PLAIN_PATH, "id-1");
    CPPUNIT_ASSERT(RunUntil([&] {
      return !world.endless.requests.empty();
    }));
    world.AddServer("i-2", world.sound.Address());
    CPPUNIT_ASSERT(world.CallerGot("sound"));
    CPPUNIT_ASSERT(world.endless.peers.at(0)->ended);
  }

  void EndlessEventIsKeptInMemory()
  {
    World world("Content-Type: text/event-stream\r\n");
    world.AddServer("i-1", world.endless.Address());
    world.Ask(STREAM_PATH, "id-1");
    CPPUNIT_ASSERT(RunUntil([&] {
      return !world.endless.peers.empty() && world.endless.peers.at(0)->ended;
    }));
  }

  void EndlessInterimResponsesAreReadUntilTheDeadline()
  {
    std::string piece;
    while (piece.size() < 65536)
      piece += "HTTP/1.1 100 Continue\r\n\r\n";
    std::size_t sent = 0;
    TestServer endless([&](TestPeer& peer, const std::string&) {
      SendWithoutEnd(peer.stream, piece, &sent);
    });
    TestServer sound([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(Answer(head, "sound"));
    });
    UnitTests::RelayWorld world;
    world.AddServer("i-1", endless.Address());
    world.Ask(PLAIN_PATH, "id-1");
    CPPUNIT_ASSERT(RunUntil([&] {
      return !endless.requests.empty();
    }));
    world.AddServer("i-2", sound.Address());
    CPPUNIT_ASSERT(world.CallerGot("sound"));
    CPPUNIT_ASSERT(endless.peers.at(0)->ended);
    // Of one connection at most 20 MB may be read; far less is, as a header may have 64 KB.
    CPPUNIT_ASSERT(sent < 20000000);
  }

  /// Checks that the caller gets a response before its deadline when the server sends `beginning`
  /// and then `piece` without end.
  static void CheckGivenUp(const std::string& beginning, const std::string& piece)
  {
    TestServer endless([&](TestPeer& peer, const std::string&) {
      peer.stream->Write(beginning);
      SendWithoutEnd(peer.stream, piece);
    });
    UnitTests::RelayWorld world;
    world.AddServer("i-1", endless.Address());
    world.Ask(UnitTests::ONCE_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 502 "));
    CPPUNIT_ASSERT(RunUntil([&] {
      return endless.peers.at(0)->ended;
    }));
  }

  /// A response without the request's id is skipped, as the expected one may follow.
  void EndlessResponseToAnotherRequestIsReadUntilTheDeadline()
  {
    CheckGivenUp("HTTP/1.1 200 OK\r\nSigned: yes\r\n\r\n", std::string(1U << 20U, 'x'));
  }

  void EndlessResponsesToOtherRequestsAreReadUntilTheDeadline()
  {
    std::string piece;
    while (piece.size() < 1U << 20U)
      piece +=
          "HTTP/1.1 200 OK\r\nSigned: yes\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'x');
    CheckGivenUp("", piece);
  }

  void ManyEndlessBodiesExhaustMemoryTogether()
  {
    ResponseMemory memory;
    const auto relay = [](std::uintptr_t number) {
      return reinterpret_cast<Gateway::Relay*>(number);
    };
    for (std::uintptr_t i = 1; i <= 4; ++i)
      memory.Set(relay(i), ResponseMemory::MAX_TOTAL_BYTES / 4 - 4 + i);
    CPPUNIT_ASSERT(!memory.IsExceeded());
    memory.Set(relay(2), ResponseMemory::MAX_TOTAL_BYTES / 4 + 100);
    CPPUNIT_ASSERT(memory.IsExceeded());
    CPPUNIT_ASSERT(memory.Largest() == relay(2));
    memory.Set(relay(2), 0);
    CPPUNIT_ASSERT(!memory.IsExceeded());
    for (std::uintptr_t i = 1; i <= 4; ++i)
      memory.Set(relay(i), 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), memory.Total());
    CPPUNIT_ASSERT(memory.Largest() == nullptr);
  }

  void LongBodyIsTakenForAnEndlessOne()
  {
    const std::string body(ResponseMemory::MAX_RESPONSE_BYTES - 1000, 'x');
    TestServer server([&](TestPeer& peer, const std::string& head) {
      peer.stream->Write(Answer(head, body));
    });
    UnitTests::RelayWorld world;
    world.AddServer("i-1", server.Address());
    world.Ask(PLAIN_PATH, "id-1");
    CPPUNIT_ASSERT(RunUntil([&] {
      return world.caller.received.size() > body.size();
    }));
    CPPUNIT_ASSERT(world.caller.received.starts_with("HTTP/1.1 200 "));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EndlessResponsesTest);
} // namespace

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Servers that send a response a second time, late, where the response to the next request on the
// connection is due.

#include "Gateway/Dispatcher.h"

#include <map>

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/RelayWorld.h"

namespace
{
using Common::Milliseconds;
using UnitTests::Answer;
using UnitTests::Chunk;
using UnitTests::Event;
using UnitTests::HeaderOf;
using UnitTests::ONCE_PATH;
using UnitTests::ONE_STREAM_PATH;
using UnitTests::PLAIN_PATH;
using UnitTests::RunFor;
using UnitTests::StreamHead;
using UnitTests::TestPeer;
using UnitTests::TestServer;
using World = UnitTests::RelayWorld;

std::string Rejection(const std::string& head, const std::string& status = "503 Full")
{
  return "HTTP/1.1 " + status + "\r\nReq-Id: " + HeaderOf(head, "Req-Id") +
         "\r\nDid-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

/// Sends each response again, `copies` times, just before the next response on its connection.
class RepeatingServer
{
public:
  using Responder = std::function<std::string(const std::string& head)>;

  explicit RepeatingServer(Responder respond, int copies = 1)
      : m_respond(std::move(respond)),
        m_copies(copies),
        m_server([this](TestPeer& peer, const std::string& head) {
          OnRequest(peer, head);
        })
  {
  }

  Http::Endpoint Address() const { return m_server.Address(); }
  std::size_t Requests() const { return m_server.requests.size(); }
  std::size_t Connections() const { return m_server.peers.size(); }
  std::string LastId() const { return HeaderOf(m_server.requests.back(), "Req-Id"); }

private:
  /// How long the server works on a request: the copy arrives well before the response.
  static constexpr Milliseconds WORK_TIME{30};

  void OnRequest(TestPeer& peer, const std::string& head)
  {
    std::string& owed = m_owed[&peer];
    peer.stream->Write(owed);
    owed.clear();
    const std::string response = m_respond(head);
    for (int i = 0; i < m_copies; ++i)
      owed += response;
    m_defer.push_back(std::make_unique<Common::OwnedTimer>());
    m_defer.back()->Start(WORK_TIME, [&peer, response] {
      if (!peer.ended)
        peer.stream->Write(response);
    });
  }

  Responder m_respond;
  int m_copies;
  std::map<const TestPeer*, std::string> m_owed;
  std::vector<std::unique_ptr<Common::OwnedTimer>> m_defer;
  TestServer m_server;
};

std::string Body(const std::string& text, const std::string& received)
{
  const auto at = received.find("\r\n\r\n");
  CPPUNIT_ASSERT(at != std::string::npos);
  return received.substr(at + 4, text.size());
}

class SurplusResponsesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SurplusResponsesTest);
  CPPUNIT_TEST(SecondCopyOfARejectionRefusesARequestThatRuns);
  CPPUNIT_TEST(SecondCopyOfAMisdirectionRefusesARequestThatRuns);
  CPPUNIT_TEST(SecondCopyOfARejectionMakesARequestRunTwice);
  CPPUNIT_TEST(SecondCopyOfAFailureEndsARequestThatRuns);
  CPPUNIT_TEST(SecondCopyOfASuccessAnswersTheSameRequestSentAgain);
  CPPUNIT_TEST(SecondCopyAnswersARequestWithoutAnId);
  CPPUNIT_TEST(SecondCopyOfAHeadResponseSwallowsTheNextResponse);
  CPPUNIT_TEST(SecondCopyBeforeAHeadResponseIsReadWithoutItsBody);
  CPPUNIT_TEST(BodyOfASecondCopyAnswersAHead);
  CPPUNIT_TEST(SeveralCopiesAreSkipped);
  CPPUNIT_TEST(SecondCopyOfAStreamIsSkipped);
  CPPUNIT_TEST(ConnectionWithASurplusResponseIsUsedAgain);
  CPPUNIT_TEST(ResponseToAnIdWithATrailingBlankIsSkipped);
  CPPUNIT_TEST(ResponseWithATrailingBlankAfterItsIdIsSkipped);
  CPPUNIT_TEST_SUITE_END();

  /// Sends a request that may not be repeated to a server that rejects it once. It must run once
  /// and its caller must get the response.
  void RejectOnce(const std::string& status, int copies)
  {
    int runs = 0;
    bool rejected = false;
    RepeatingServer server(
        [&](const std::string& head) {
          if (!std::exchange(rejected, true))
            return Rejection(head, status);
          ++runs;
          return Answer(head, "done");
        },
        copies);
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONCE_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 "));
    RunFor(Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(1, runs);
    CPPUNIT_ASSERT(world.caller.received.starts_with("HTTP/1.1 200 "));
    CPPUNIT_ASSERT(world.caller.received.ends_with("done"));
  }

  void SecondCopyOfARejectionRefusesARequestThatRuns() { RejectOnce("503 Full", 1); }

  void SecondCopyOfAMisdirectionRefusesARequestThatRuns() { RejectOnce("429 Busy", 3); }

  void SecondCopyOfARejectionMakesARequestRunTwice()
  {
    int runs = 0;
    int rejections = 0;
    const auto respond = [&](const std::string& head) {
      if (++rejections <= 2)
        return Rejection(head);
      ++runs;
      return Answer(head, "done");
    };
    RepeatingServer first(respond);
    RepeatingServer second(respond);
    World world;
    world.AddServer("i-1", first.Address());
    world.AddServer("i-2", second.Address());
    for (int i = 0; i < 8; ++i)
    {
      rejections = 0;
      runs = 0;
      world.caller.received.clear();
      world.Ask(ONCE_PATH, "id-" + std::to_string(i));
      CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 "));
      RunFor(Milliseconds(250));
      CPPUNIT_ASSERT(runs <= 1);
      CPPUNIT_ASSERT_EQUAL(runs == 1, world.caller.received.starts_with("HTTP/1.1 200 "));
    }
  }

  /// The caller sends a request again under the same id after a failure of its server.
  void SecondCopyOfAFailureEndsARequestThatRuns()
  {
    int requests = 0;
    RepeatingServer server([&](const std::string& head) {
      if (++requests == 1)
        return "HTTP/1.1 500 Bad\r\nReq-Id: " + HeaderOf(head, "Req-Id") +
               "\r\nContent-Length: 0\r\n\r\n";
      return Answer(head, "done");
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONCE_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 500 "));
    world.caller.received.clear();
    world.Ask(ONCE_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 "));
    CPPUNIT_ASSERT(world.caller.received.starts_with("HTTP/1.1 200 "));
  }

  void SecondCopyOfASuccessAnswersTheSameRequestSentAgain()
  {
    int requests = 0;
    RepeatingServer server([&](const std::string& head) {
      return Answer(head, ++requests == 1 ? "first" : "other");
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(PLAIN_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("first"));
    world.caller.received.clear();
    world.Ask(PLAIN_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 200 "));
    RunFor(Milliseconds(60));
    CPPUNIT_ASSERT_EQUAL(std::string("other"), Body("other", world.caller.received));
  }

  void SecondCopyAnswersARequestWithoutAnId()
  {
    RepeatingServer server([](const std::string& head) {
      const bool has_id = !HeaderOf(head, "Req-Id").empty();
      return Answer(head, has_id ? "first" : "other");
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(PLAIN_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("first"));
    world.caller.received.clear();
    world.caller.stream->Write("POST /plain/ HTTP/1.1\r\nHost: shop.example\r\n\r\n");
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 200 "));
    RunFor(Milliseconds(60));
    CPPUNIT_ASSERT_EQUAL(std::string("other"), Body("other", world.caller.received));
  }

  /// The response to a HEAD states a length and has no body.
  void SecondCopyOfAHeadResponseSwallowsTheNextResponse()
  {
    RepeatingServer server([](const std::string& head) {
      const std::string response = Answer(head, "first");
      return head.starts_with("HEAD ") ? response.substr(0, response.size() - 5) : response;
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.caller.stream->Write(
        "HEAD /once/ HTTP/1.1\r\nHost: shop.example\r\nReq-Id: id-1\r\n\r\n");
    CPPUNIT_ASSERT(world.CallerGot("\r\n\r\n"));
    world.caller.received.clear();
    world.Ask(ONCE_PATH, "id-2");
    CPPUNIT_ASSERT(world.CallerGot("first"));
    CPPUNIT_ASSERT(world.caller.received.starts_with("HTTP/1.1 200 "));
  }

  /// Sends a request whose response has this body, and then a HEAD, whose response has none.
  void AskAndSendHead(const std::string& body)
  {
    RepeatingServer server([&](const std::string& head) {
      const std::string response = Answer(head, body);
      return head.starts_with("HEAD ") ? response.substr(0, response.size() - body.size())
                                       : response;
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONCE_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot(body));
    world.caller.received.clear();
    world.caller.stream->Write(
        "HEAD /once/ HTTP/1.1\r\nHost: shop.example\r\nReq-Id: id-2\r\n\r\n");
    CPPUNIT_ASSERT(world.CallerGot("\r\n\r\n"));
    CPPUNIT_ASSERT(world.caller.received.starts_with("HTTP/1.1 200 "));
  }

  void SecondCopyBeforeAHeadResponseIsReadWithoutItsBody() { AskAndSendHead("first"); }

  void BodyOfASecondCopyAnswersAHead() { AskAndSendHead(Rejection("\r\nReq-Id: id-2\r\n")); }

  void SeveralCopiesAreSkipped()
  {
    RepeatingServer server(
        [](const std::string& head) {
          return Answer(head, "for " + HeaderOf(head, "Req-Id"));
        },
        3);
    World world;
    world.AddServer("i-1", server.Address());
    for (const std::string id : {"id-1", "id-2", "id-3"})
    {
      world.caller.received.clear();
      world.Ask(ONCE_PATH, id);
      CPPUNIT_ASSERT(world.CallerGot("for " + id));
      CPPUNIT_ASSERT(world.caller.received.starts_with("HTTP/1.1 200 "));
    }
  }

  void SecondCopyOfAStreamIsSkipped()
  {
    RepeatingServer server([](const std::string& head) {
      const int event = HeaderOf(head, "Req-Id") == "id-1" ? 1 : 7;
      return StreamHead(head) + Chunk(Event(event)) + "0\r\n\r\n";
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONE_STREAM_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("0\r\n\r\n"));
    world.caller.received.clear();
    world.Ask(ONE_STREAM_PATH, "id-2");
    CPPUNIT_ASSERT(world.CallerGot("0\r\n\r\n"));
    CPPUNIT_ASSERT(world.caller.received.find(Event(7)) != std::string::npos);
    CPPUNIT_ASSERT(world.caller.received.find(Event(1)) == std::string::npos);
  }

  /// Further copies may follow on it.
  void ConnectionWithASurplusResponseIsUsedAgain()
  {
    RepeatingServer server([](const std::string& head) {
      return Answer(head, "done");
    });
    World world;
    world.AddServer("i-1", server.Address());
    for (const std::string id : {"id-1", "id-2", "id-3"})
    {
      world.caller.received.clear();
      world.Ask(ONCE_PATH, id);
      CPPUNIT_ASSERT(world.CallerGot("done"));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), server.Connections());
  }

  /// Blanks after a header's value are no part of it (RFC 9110, 5.5): servers strip them.
  void ResponseToAnIdWithATrailingBlankIsSkipped()
  {
    TestServer server([](TestPeer& peer, const std::string&) {
      peer.stream->Write(Answer("\r\nReq-Id: id-1\r\n", "done"));
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONCE_PATH, "id-1 ", "Left-Ms: 400\r\n");
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 "));
    CPPUNIT_ASSERT(world.caller.received.starts_with("HTTP/1.1 200 "));
  }

  /// The same in the response.
  void ResponseWithATrailingBlankAfterItsIdIsSkipped()
  {
    TestServer server([](TestPeer& peer, const std::string&) {
      peer.stream->Write(Answer("\r\nReq-Id: id-1 \t\r\n", "done"));
    });
    World world;
    world.AddServer("i-1", server.Address());
    world.Ask(ONCE_PATH, "id-1", "Left-Ms: 400\r\n");
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 "));
    CPPUNIT_ASSERT(world.caller.received.starts_with("HTTP/1.1 200 "));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SurplusResponsesTest);
} // namespace

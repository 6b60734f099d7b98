// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Http/Client.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Common/Task.h"
#include "UnitTests/Support/CutResponses.h"
#include "UnitTests/Support/Loopback.h"

namespace
{
using Common::Milliseconds;
using UnitTests::Ending;
using UnitTests::FramedResponse;
using UnitTests::Framing;
using UnitTests::RunUntil;
using UnitTests::TestPeer;
using UnitTests::TestServer;
using UnitTests::ThrottledServer;
using Outcome = std::optional<Common::Result<Http::Response>>;

Common::Task<void> Fetch(Http::Client& client, Http::Request request, Outcome& outcome)
{
  outcome = co_await client.Send(std::move(request));
}

using Opened = std::optional<Common::Result<std::unique_ptr<Http::ResponseStream>>>;

Common::Task<void> Open(Http::Client& client, Http::Request request, Opened& opened)
{
  opened.emplace(co_await client.Open(std::move(request)));
}

/// Whether the response was received up to its end.
Common::Task<void> ReadStream(Http::Client& client, Http::Request request,
                              std::optional<bool>& complete)
{
  auto opened = co_await client.Open(std::move(request));
  while (opened && !complete)
  {
    const auto bytes = co_await (*opened)->Read(Milliseconds(1000));
    if (!bytes || bytes->empty())
      complete = static_cast<bool>(bytes);
  }
  complete = complete.value_or(false);
}

class ClientTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ClientTest);
  CPPUNIT_TEST(ReadsLongResponseOverSlowLink);
  CPPUNIT_TEST(TimesOutWhenResponseStalls);
  CPPUNIT_TEST(CutResponseIsComplete);
  CPPUNIT_TEST(CutStreamIsComplete);
  CPPUNIT_TEST(CutChunksAreACompleteResponse);
  CPPUNIT_TEST(CutChunksAreACompleteStream);
  CPPUNIT_TEST(MalformedResponseIsComplete);
  CPPUNIT_TEST(SlowReaderHoldsTheWholeResponseInMemory);
  CPPUNIT_TEST_SUITE_END();

  static Http::Request RequestTo(const ThrottledServer& server)
  {
    Http::Request request;
    request.url = "http://" + server.Address().ToString() + "/v1/list?prefix=claims";
    request.timeout = Milliseconds(300);
    return request;
  }

  /// A daemon could never read the platform's table if the transfer of the list took longer than
  /// the timeout of a call, which covered the complete response: 800 KB at 10 Mbit/s take 0.64 s,
  /// the timeout was 0.3 s, and each retry started from the beginning.
  void ReadsLongResponseOverSlowLink()
  {
    ThrottledServer server(std::string(800'000, 'x'));
    Http::Client client;
    Outcome outcome;
    Common::Spawn(Fetch(client, RequestTo(server), outcome));
    CPPUNIT_ASSERT(RunUntil([&] {
      return outcome.has_value();
    }));
    CPPUNIT_ASSERT(*outcome);
    CPPUNIT_ASSERT_EQUAL(std::size_t(800'000), (*outcome)->body.size());
  }

  using CutCheck = std::function<void(const std::string& cut, const TestServer& server)>;

  /// Calls `check` with each beginning of a response after which a server may stop, and that
  /// server.
  static void ForEachCut(Framing framing, const CutCheck& check)
  {
    const std::string response = FramedResponse(framing, "Content-Type: x\r\n", "body");
    for (const Ending ending : {Ending::Close, Ending::Reset})
      for (std::size_t size = 0; size < response.size(); ++size)
      {
        const std::string cut = response.substr(0, size);
        TestServer server([&](TestPeer& peer, const std::string&) {
          peer.stream->Write(cut);
          UnitTests::EndSoon(peer, ending);
        });
        check(cut, server);
      }
  }

  static Http::Request OnceTo(const TestServer& server)
  {
    Http::Request request;
    request.method = "POST";
    request.body = "{}";
    request.url = "http://" + server.Address().ToString() + "/v1/engine/orders";
    request.timeout = Milliseconds(1000);
    return request;
  }

  static void CheckCutResponses(Framing framing)
  {
    ForEachCut(framing, [](const std::string& cut, const TestServer& server) {
      Http::Client client;
      Outcome outcome;
      Common::Spawn(Fetch(client, OnceTo(server), outcome));
      CPPUNIT_ASSERT(RunUntil([&] {
        return outcome.has_value();
      }));
      CPPUNIT_ASSERT_MESSAGE(cut, !*outcome);
      CPPUNIT_ASSERT_MESSAGE(cut, outcome->Reason().kind != Common::FailureKind::NotSent);
    });
  }

  static void CheckCutStreams(Framing framing)
  {
    ForEachCut(framing, [](const std::string& cut, const TestServer& server) {
      Http::Client client;
      std::optional<bool> complete;
      Common::Spawn(ReadStream(client, OnceTo(server), complete));
      CPPUNIT_ASSERT(RunUntil([&] {
        return complete.has_value();
      }));
      CPPUNIT_ASSERT_MESSAGE(cut, !*complete);
    });
  }

  void CutResponseIsComplete() { CheckCutResponses(Framing::Length); }
  void CutStreamIsComplete() { CheckCutStreams(Framing::Length); }
  void CutChunksAreACompleteResponse() { CheckCutResponses(Framing::Chunks); }
  void CutChunksAreACompleteStream() { CheckCutStreams(Framing::Chunks); }

  /// libsoup took any number for a status, and dropped malformed lines of a head.
  void MalformedResponseIsComplete()
  {
    for (const char* beginning : {"HTTP/1.1 600 Odd\r\n", "HTTP/1.1 200 OK\r\nX y: 1\r\n",
                                  "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n"})
    {
      TestServer server([&](TestPeer& peer, const std::string&) {
        peer.stream->Write(beginning + std::string("Content-Length: 0\r\n\r\n"));
      });
      Http::Client client;
      Outcome outcome;
      Common::Spawn(Fetch(client, OnceTo(server), outcome));
      CPPUNIT_ASSERT(RunUntil([&] {
        return outcome.has_value();
      }));
      CPPUNIT_ASSERT_MESSAGE(beginning, !*outcome);
      CPPUNIT_ASSERT(outcome->Reason().kind == Common::FailureKind::OutcomeUnknown);
    }
  }

  /// A caller that reads nothing makes the server wait.
  void SlowReaderHoldsTheWholeResponseInMemory()
  {
    const std::string response = FramedResponse(Framing::Length, "", std::string(32U << 20U, 'x'));
    TestServer server([&](TestPeer& peer, const std::string&) {
      peer.stream->Write(response);
    });
    Http::Client client;
    Opened opened;
    Common::Spawn(Open(client, OnceTo(server), opened));
    CPPUNIT_ASSERT(RunUntil([&] {
      return opened.has_value();
    }));
    UnitTests::RunFor(Milliseconds(200));
    CPPUNIT_ASSERT(server.peers.at(0)->stream->Unsent() > 0);
  }

  void TimesOutWhenResponseStalls()
  {
    ThrottledServer server(std::string(800'000, 'x'));
    server.StopSendingAfter(100'000);
    Http::Client client;
    Outcome outcome;
    Common::Spawn(Fetch(client, RequestTo(server), outcome));
    CPPUNIT_ASSERT(RunUntil(
        [&] {
          return outcome.has_value();
        },
        Milliseconds(1000)));
    CPPUNIT_ASSERT(!*outcome);
    CPPUNIT_ASSERT(outcome->Reason().kind == Common::FailureKind::Timeout);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientTest);
} // namespace

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Http/Channel.h"

#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/CutResponses.h"
#include "UnitTests/Support/Loopback.h"

namespace
{
using Common::Milliseconds;
using UnitTests::RunUntil;
using UnitTests::TestPeer;
using UnitTests::TestServer;

class ChannelTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ChannelTest);
  CPPUNIT_TEST(TimedOutCallResetsItsConnection);
  CPPUNIT_TEST(ReusesConnections);
  CPPUNIT_TEST(ReadsArrivedResponseBeforeTimingOut);
  CPPUNIT_TEST(SendsNothingAfterSuspensionPastSendDeadline);
  CPPUNIT_TEST(SendsNothingPastSendDeadlineOnReusedConnection);
  CPPUNIT_TEST(AbandonResetsConnections);
  CPPUNIT_TEST(EndlessBodyIsKeptInMemory);
  CPPUNIT_TEST(CutResponseIsComplete);
  CPPUNIT_TEST_SUITE_END();

  /// After a plain close, the kernel could deliver the request later, once a network partition has
  /// healed.
  void TimedOutCallResetsItsConnection()
  {
    TestServer server([](TestPeer&, const std::string&) {});
    Http::Channel channel(server.Address());
    std::optional<Common::FailureKind> failed;
    channel.Call({"POST", "/order", {}, ""}, {Milliseconds(50), Milliseconds(50)},
                 [&](Common::Result<Http::CompleteResponse> response) {
                   failed = response.Reason().kind;
                 });
    CPPUNIT_ASSERT(RunUntil([&] {
      return failed.has_value();
    }));
    CPPUNIT_ASSERT(*failed == Common::FailureKind::Timeout);
    CPPUNIT_ASSERT(RunUntil([&] {
      return server.peers.at(0)->ended;
    }));
    CPPUNIT_ASSERT(server.peers.at(0)->end == Http::StreamEnd::Reset);
  }

  void EndlessBodyIsKeptInMemory()
  {
    TestServer server([](TestPeer& peer, const std::string&) {
      peer.stream->Write("HTTP/1.1 200 OK\r\n\r\n" + std::string(100000, 'x'));
    });
    Http::Channel channel(server.Address());
    std::optional<Common::FailureKind> failed;
    channel.Call({"GET", "/report", {}, ""}, {Milliseconds(5000), Milliseconds(5000), 50000},
                 [&](Common::Result<Http::CompleteResponse> response) {
                   failed = response.Reason().kind;
                 });
    CPPUNIT_ASSERT(RunUntil([&] {
      return failed.has_value();
    }));
    CPPUNIT_ASSERT(*failed == Common::FailureKind::Protocol);
    CPPUNIT_ASSERT(RunUntil([&] {
      return server.peers.at(0)->ended;
    }));
  }

  /// The server stops after any byte of its response and ends the connection.
  void CutResponseIsComplete()
  {
    using UnitTests::Ending;
    using UnitTests::Framing;
    const std::string before = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    for (const Framing framing : {Framing::Length, Framing::Chunks, Framing::None})
      for (const Ending ending : {Ending::Close, Ending::Reset})
      {
        const std::string response =
            UnitTests::FramedResponse(framing, "Content-Type: x\r\n", "body");
        CheckCuts("", response, framing, ending);
        CheckCuts(before, response, framing, ending);
        CheckCuts("", UnitTests::WithBareLineFeeds(response), framing, ending);
      }
  }

  static void CheckCuts(const std::string& before, const std::string& response,
                        UnitTests::Framing framing, UnitTests::Ending ending)
  {
    const bool has_crlf = response.find('\r') != std::string::npos;
    const std::string end_of_head = has_crlf ? "\r\n\r\n" : "\n\n";
    const std::size_t head = response.find(end_of_head) + end_of_head.size();
    const bool states_end = framing != UnitTests::Framing::None;
    std::vector<std::unique_ptr<TestServer>> servers;
    std::vector<std::unique_ptr<Http::Channel>> channels;
    std::vector<std::optional<bool>> complete(response.size());
    for (std::size_t size = 0; size < response.size(); ++size)
    {
      servers.push_back(std::make_unique<TestServer>([=](TestPeer& peer, const std::string&) {
        peer.stream->Write(before + response.substr(0, size));
        UnitTests::EndSoon(peer, ending);
      }));
      channels.push_back(std::make_unique<Http::Channel>(servers.back()->Address()));
      channels.back()->Call({"GET", "/x", {}, ""}, {Milliseconds(2000), Milliseconds(2000)},
                            [&complete, size](const Common::Result<Http::CompleteResponse>& got) {
                              complete[size] = static_cast<bool>(got);
                            });
    }
    CPPUNIT_ASSERT(RunUntil([&] {
      return std::ranges::all_of(complete, [](const auto& result) {
        return result.has_value();
      });
    }));
    for (std::size_t size = 0; size < response.size(); ++size)
    {
      const bool is_whole = !states_end && ending == UnitTests::Ending::Close && size >= head;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(response.substr(0, size), is_whole, *complete[size]);
    }
  }

  void ReusesConnections()
  {
    TestServer server([](TestPeer& peer, const std::string&) {
      peer.stream->Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
    });
    Http::Channel channel(server.Address());
    int responses = 0;
    for (int call = 1; call <= 3; ++call)
    {
      channel.Call({"GET", "/x", {}, ""}, {Milliseconds(500), Milliseconds(500)},
                   [&](Common::Result<Http::CompleteResponse> response) {
                     responses += response && response->body == "hi";
                   });
      CPPUNIT_ASSERT(RunUntil([&] {
        return responses == call;
      }));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.peers.size());
  }

  /// A call on a VM with 0.12 cores timed out although its response was in the socket buffer: the
  /// daemon was busy with a new configuration for longer than the call's timeout, the response
  /// arrived meanwhile, and the next loop iteration ran the timer before it read the socket.
  void ReadsArrivedResponseBeforeTimingOut()
  {
    TestServer server([](TestPeer& peer, const std::string&) {
      peer.stream->Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
      std::this_thread::sleep_for(Milliseconds(100));
    });
    Http::Channel channel(server.Address());
    std::optional<bool> succeeded;
    channel.Call({"GET", "/x", {}, ""}, {Milliseconds(50), Milliseconds(50)},
                 [&](Common::Result<Http::CompleteResponse> response) {
                   succeeded = static_cast<bool>(response);
                 });
    CPPUNIT_ASSERT(RunUntil([&] {
      return succeeded.has_value();
    }));
    CPPUNIT_ASSERT(*succeeded);
  }

  /// A backend server accepted an order of a lease holder 7 s after the last time at which that
  /// holder was allowed to act, and 10 ms after an order of the next holder (fences 4608, then 1).
  /// The order was waiting for a new connection when the process was suspended. The kernel
  /// completed the connection meanwhile, and on resumption the loop sent the order before it ran
  /// any timer, because the lease was checked when the call was made and not when its bytes were
  /// sent. In a replay of that day, eight orders logged before the suspension had no result yet.
  void SendsNothingAfterSuspensionPastSendDeadline()
  {
    TestServer server([](TestPeer&, const std::string&) {});
    Http::Channel channel(server.Address());
    std::optional<Common::FailureKind> failed;
    channel.Call(
        {"POST", "/order", {}, ""}, {Milliseconds(500), Milliseconds(500)},
        [&](Common::Result<Http::CompleteResponse> response) {
          failed = response.Reason().kind;
        },
        Common::Now() + Milliseconds(30));
    std::this_thread::sleep_for(Milliseconds(60));
    CPPUNIT_ASSERT(RunUntil([&] {
      return failed.has_value();
    }));
    CPPUNIT_ASSERT(*failed == Common::FailureKind::NotSent);
    UnitTests::RunFor(Milliseconds(20));
    CPPUNIT_ASSERT(server.requests.empty());
  }

  void SendsNothingPastSendDeadlineOnReusedConnection()
  {
    TestServer server([](TestPeer& peer, const std::string&) {
      peer.stream->Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
    });
    Http::Channel channel(server.Address());
    std::vector<Common::Result<Http::CompleteResponse>> responses;
    const auto call = [&](Common::TimePoint send_deadline) {
      channel.Call(
          {"POST", "/order", {}, ""}, {Milliseconds(500), Milliseconds(500)},
          [&](Common::Result<Http::CompleteResponse> response) {
            responses.push_back(std::move(response));
          },
          send_deadline);
      const std::size_t expected = responses.size() + 1;
      return RunUntil([&] {
        return responses.size() == expected;
      });
    };
    CPPUNIT_ASSERT(call(Common::Now() + Milliseconds(1000)));
    CPPUNIT_ASSERT(call(Common::Now()));
    CPPUNIT_ASSERT(responses[0]);
    CPPUNIT_ASSERT(!responses[1]);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.requests.size());
  }

  /// A holder that loses the order lease abandons its orders that have no result yet.
  void AbandonResetsConnections()
  {
    TestServer server([](TestPeer&, const std::string&) {});
    Http::Channel channel(server.Address());
    bool called_back = false;
    channel.Call({"POST", "/order", {}, ""}, {Milliseconds(500), Milliseconds(500)},
                 [&](const Common::Result<Http::CompleteResponse>&) {
                   called_back = true;
                 });
    CPPUNIT_ASSERT(RunUntil([&] {
      return !server.requests.empty();
    }));
    channel.Abandon();
    CPPUNIT_ASSERT(RunUntil([&] {
      return server.peers.at(0)->ended;
    }));
    CPPUNIT_ASSERT(server.peers.at(0)->end == Http::StreamEnd::Reset);
    CPPUNIT_ASSERT(!called_back);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChannelTest);
} // namespace

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Http/Channel.h"

#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

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
  CPPUNIT_TEST(ACallThatTimesOutIsReset);
  CPPUNIT_TEST(AConnectionIsUsedAgain);
  CPPUNIT_TEST(AnAnswerThatHasArrivedIsReadBeforeTheCallIsGivenUp);
  CPPUNIT_TEST(NothingGoesOutAfterAFreezeThatOutlastsItsTime);
  CPPUNIT_TEST(NothingGoesOutTooLateOnAKeptConnection);
  CPPUNIT_TEST(AbandonedCallsAreReset);
  CPPUNIT_TEST_SUITE_END();

  /// A plain close would let the kernel deliver the call's bytes later, behind a cut that has
  /// healed.
  void ACallThatTimesOutIsReset()
  {
    TestServer server([](TestPeer&, const std::string&) {});
    Http::Channel channel(server.Address());
    std::optional<Common::FailureKind> failed;
    channel.Call({"POST", "/order", {}, ""}, {Milliseconds(50), Milliseconds(50)},
                 [&](Common::Result<Http::WholeAnswer> answer) {
                   failed = answer.Reason().kind;
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

  void AConnectionIsUsedAgain()
  {
    TestServer server([](TestPeer& peer, const std::string&) {
      peer.stream->Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
    });
    Http::Channel channel(server.Address());
    int answers = 0;
    for (int call = 1; call <= 3; ++call)
    {
      channel.Call({"GET", "/x", {}, ""}, {Milliseconds(500), Milliseconds(500)},
                   [&](Common::Result<Http::WholeAnswer> answer) {
                     answers += answer && answer->body == "hi";
                   });
      CPPUNIT_ASSERT(RunUntil([&] {
        return answers == call;
      }));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.peers.size());
  }

  /// Symptom: a VM with 0.12 cores gives a call up whose answer lies in its kernel.
  /// Sequence: the daemon is busy with a new configuration for longer than the call's patience;
  /// the answer comes meanwhile; in the next turn of the loop the timer is looked at first.
  void AnAnswerThatHasArrivedIsReadBeforeTheCallIsGivenUp()
  {
    TestServer server([](TestPeer& peer, const std::string&) {
      peer.stream->Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
      std::this_thread::sleep_for(Milliseconds(100));
    });
    Http::Channel channel(server.Address());
    std::optional<bool> answered;
    channel.Call({"GET", "/x", {}, ""}, {Milliseconds(50), Milliseconds(50)},
                 [&](Common::Result<Http::WholeAnswer> answer) {
                   answered = static_cast<bool>(answer);
                 });
    CPPUNIT_ASSERT(RunUntil([&] {
      return answered.has_value();
    }));
    CPPUNIT_ASSERT(*answered);
  }

  /// Symptom: a backend server took an order of a holder of the lease 7 s after the holder could
  /// act last, 10 ms after an order of the next one (fences 4608, then 1).
  /// Sequence: an order waits for its new connection; the process is frozen; the kernel completes
  /// the connection; thawed, the loop finds it writable and sends, before any timer is looked at.
  /// Cause: the lease was looked at when the call was made, not when its bytes left. Of the orders
  /// that a replay of the day logged before the freeze, eight had no answer yet.
  void NothingGoesOutAfterAFreezeThatOutlastsItsTime()
  {
    TestServer server([](TestPeer&, const std::string&) {});
    Http::Channel channel(server.Address());
    std::optional<Common::FailureKind> failed;
    channel.Call(
        {"POST", "/order", {}, ""}, {Milliseconds(500), Milliseconds(500)},
        [&](Common::Result<Http::WholeAnswer> answer) {
          failed = answer.Reason().kind;
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

  void NothingGoesOutTooLateOnAKeptConnection()
  {
    TestServer server([](TestPeer& peer, const std::string&) {
      peer.stream->Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
    });
    Http::Channel channel(server.Address());
    std::vector<Common::Result<Http::WholeAnswer>> answers;
    const auto call = [&](Common::TimePoint before) {
      channel.Call(
          {"POST", "/order", {}, ""}, {Milliseconds(500), Milliseconds(500)},
          [&](Common::Result<Http::WholeAnswer> answer) {
            answers.push_back(std::move(answer));
          },
          before);
      const std::size_t expected = answers.size() + 1;
      return RunUntil([&] {
        return answers.size() == expected;
      });
    };
    CPPUNIT_ASSERT(call(Common::Now() + Milliseconds(1000)));
    CPPUNIT_ASSERT(call(Common::Now()));
    CPPUNIT_ASSERT(answers[0]);
    CPPUNIT_ASSERT(!answers[1]);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.requests.size());
  }

  /// A holder that loses the lease takes back what it has sent and nobody has answered.
  void AbandonedCallsAreReset()
  {
    TestServer server([](TestPeer&, const std::string&) {});
    Http::Channel channel(server.Address());
    bool told = false;
    channel.Call({"POST", "/order", {}, ""}, {Milliseconds(500), Milliseconds(500)},
                 [&](const Common::Result<Http::WholeAnswer>&) {
                   told = true;
                 });
    CPPUNIT_ASSERT(RunUntil([&] {
      return !server.requests.empty();
    }));
    channel.Abandon();
    CPPUNIT_ASSERT(RunUntil([&] {
      return server.peers.at(0)->ended;
    }));
    CPPUNIT_ASSERT(server.peers.at(0)->end == Http::StreamEnd::Reset);
    CPPUNIT_ASSERT(!told);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChannelTest);
} // namespace

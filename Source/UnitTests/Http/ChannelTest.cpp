// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Http/Channel.h"

#include <thread>

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
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChannelTest);
} // namespace

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Routes whose configuration says that they are resumable although they are not streams.

#include "Gateway/Dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/CutResponses.h"
#include "UnitTests/Support/RelayWorld.h"

namespace
{
using Gateway::Repeatability;
using UnitTests::Answer;
using UnitTests::HeaderOf;
using UnitTests::ONCE_PATH;
using UnitTests::TestPeer;
using UnitTests::TestServer;

/// One server that fails in the way that a test scripts, and a sound one to which a request that is
/// sent again would go.
class World : public UnitTests::RelayWorld
{
public:
  explicit World(TestServer::RequestHandler fail) : failing(std::move(fail))
  {
    auto configuration =
        std::make_shared<Gateway::Configuration>(*dispatcher.CurrentConfiguration());
    ++configuration->version;
    configuration->routes = {
        UnitTests::MakeRoute(ONCE_PATH, Repeatability::NonIdempotent, 2, true)};
    dispatcher.SetConfiguration(configuration);
    AddServer("i-1", failing.Address());
    Ask(ONCE_PATH, "id-1");
    CPPUNIT_ASSERT(UnitTests::RunUntil([this] {
      return !failing.requests.empty();
    }));
    AddServer("i-2", sound.Address());
  }

  /// Checks that the request ran once and that its caller does not get a promise that it did not.
  void CheckRanOnce(const std::string& status)
  {
    CPPUNIT_ASSERT(CallerGot("HTTP/1.1 "));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 ") + status, caller.received.substr(0, 12));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), failing.requests.size());
    CPPUNIT_ASSERT(sound.requests.empty());
  }

  TestServer failing;
  TestServer sound{[](TestPeer& peer, const std::string& head) {
    peer.stream->Write(Answer(head, "sound"));
  }};
};

class ResumableRoutesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ResumableRoutesTest);
  CPPUNIT_TEST(OrderRunsTwiceAfterItsResponseWasLost);
  CPPUNIT_TEST(OrderRunsTwiceWhileItsServerIsSilent);
  CPPUNIT_TEST(OrderRunsTwiceAfterItsServerFailed);
  CPPUNIT_TEST(OrderRunsTwiceAfterAMalformedResponse);
  CPPUNIT_TEST(OnlyResumableStreamsAndIdempotentRequestsAreRepeatable);
  CPPUNIT_TEST(OperatorIsNotToldOfAFlagWithoutEffect);
  CPPUNIT_TEST_SUITE_END();

  /// The server resets the connection after it ran the request.
  void OrderRunsTwiceAfterItsResponseWasLost()
  {
    World world([](TestPeer& peer, const std::string&) {
      UnitTests::EndSoon(peer, UnitTests::Ending::Reset);
    });
    world.CheckRanOnce("502");
  }

  /// The server sends nothing for several times the latency target.
  void OrderRunsTwiceWhileItsServerIsSilent()
  {
    World world([](TestPeer&, const std::string&) {});
    world.CheckRanOnce("504");
  }

  void OrderRunsTwiceAfterItsServerFailed()
  {
    World world([](TestPeer& peer, const std::string& head) {
      UnitTests::WriteSoon(peer, "HTTP/1.1 500 Failed\r\nReq-Id: " + HeaderOf(head, "Req-Id") +
                                     "\r\nSigned: yes\r\nContent-Length: 0\r\n\r\n");
    });
    world.CheckRanOnce("500");
  }

  void OrderRunsTwiceAfterAMalformedResponse()
  {
    World world([](TestPeer& peer, const std::string&) {
      UnitTests::WriteSoon(peer, "no response\r\n\r\n");
    });
    world.CheckRanOnce("502");
  }

  /// The flag made requests of any kind repeatable.
  void OnlyResumableStreamsAndIdempotentRequestsAreRepeatable()
  {
    const auto is_repeatable = [](Repeatability kind, bool resumable) {
      return UnitTests::MakeRoute("/", kind, 2, resumable).IsRepeatable();
    };
    CPPUNIT_ASSERT(is_repeatable(Repeatability::Idempotent, false));
    CPPUNIT_ASSERT(is_repeatable(Repeatability::Idempotent, true));
    CPPUNIT_ASSERT(is_repeatable(Repeatability::Streaming, true));
    CPPUNIT_ASSERT(!is_repeatable(Repeatability::Streaming, false));
    CPPUNIT_ASSERT(!is_repeatable(Repeatability::NonIdempotent, false));
    CPPUNIT_ASSERT(!is_repeatable(Repeatability::NonIdempotent, true));
  }

  void OperatorIsNotToldOfAFlagWithoutEffect()
  {
    Gateway::Configuration configuration;
    configuration.routes = {UnitTests::MakeRoute("/a/", Repeatability::NonIdempotent, 2, true),
                            UnitTests::MakeRoute("/b/", Repeatability::Idempotent, 2, true),
                            UnitTests::MakeRoute("/c/", Repeatability::Streaming, 2, true),
                            UnitTests::MakeRoute("/d/", Repeatability::NonIdempotent, 2, false)};
    const std::vector<std::string> warnings = configuration.Warnings();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), warnings.size());
    CPPUNIT_ASSERT(warnings[0].find("/a/") != std::string::npos);
    CPPUNIT_ASSERT(warnings[1].find("/b/") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResumableRoutesTest);
} // namespace

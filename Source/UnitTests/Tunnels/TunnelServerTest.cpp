// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Tunnels/TunnelServer.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Http/OriginConnection.h"
#include "UnitTests/Support/CutResponses.h"
#include "UnitTests/Support/ExchangeRecorder.h"

namespace
{
using Common::Milliseconds;
using Http::ExchangeError;
using Http::OriginConnection;
using UnitTests::ExchangeRecorder;
using UnitTests::RunFor;
using UnitTests::RunUntil;
using UnitTests::TestPeer;
using UnitTests::TestServer;

const Tunnels::TunnelTarget TARGET{"i-1", 0};
constexpr const char* REQUEST = "GET / HTTP/1.1\r\n\r\n";

/// A helper that knows one server, and a connection through it.
class World
{
public:
  explicit World(const Http::Endpoint& server)
      : helper(
            std::make_unique<Tunnels::TunnelServer>([server](const Tunnels::TunnelTarget& target) {
              return target == TARGET ? std::optional(server) : std::nullopt;
            }))
  {
    CPPUNIT_ASSERT(static_cast<bool>(helper->Listen(Http::Endpoint{htonl(INADDR_LOOPBACK), 0})));
  }

  void Request(const Tunnels::TunnelTarget& target = TARGET, const std::string& request = REQUEST)
  {
    connection = OriginConnection::ConnectThrough(helper->Local(), Tunnels::EncodeOpen(target));
    connection->Send(request, &recorder);
  }

  bool Ends()
  {
    return RunUntil([this] {
      return recorder.ended || recorder.error;
    });
  }

  std::unique_ptr<Tunnels::TunnelServer> helper;
  ExchangeRecorder recorder;
  std::shared_ptr<OriginConnection> connection;
};

class TunnelServerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TunnelServerTest);
  CPPUNIT_TEST(ResponseIsLostInATunnel);
  CPPUNIT_TEST(TunnelIsNotUsedAgain);
  CPPUNIT_TEST(LongResponseStallsOnASlowReader);
  CPPUNIT_TEST(RefusalOfTheServerLooksLikeAFailureOfTheHelper);
  CPPUNIT_TEST(UnknownServerLooksLikeAFailedServer);
  CPPUNIT_TEST(FailedHelperLooksLikeAFailedServer);
  CPPUNIT_TEST(AbandonedRequestStillRuns);
  CPPUNIT_TEST(ResetOfTheServerLooksLikeTheEndOfAResponse);
  CPPUNIT_TEST(ResetDuringAnUploadLooksLikeTheEndOfAResponse);
  CPPUNIT_TEST(ExitOfTheHelperLooksLikeTheEndOfAResponse);
  CPPUNIT_TEST(BytesBeforeTheTunnelIsOpenAreAccepted);
  CPPUNIT_TEST(TunnelsOutliveTheirConnections);
  CPPUNIT_TEST_SUITE_END();

  static TestServer Responding(const std::string& response)
  {
    return TestServer([response](TestPeer& peer, const std::string&) {
      peer.stream->Write(response);
    });
  }

  void ResponseIsLostInATunnel()
  {
    auto server = Responding("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
    World world(server.Address());
    world.Request();
    CPPUNIT_ASSERT(world.Ends());
    CPPUNIT_ASSERT_EQUAL(std::string("body"), world.recorder.body);
    CPPUNIT_ASSERT_EQUAL(std::string(REQUEST), server.requests.at(0));
  }

  void TunnelIsNotUsedAgain()
  {
    auto server = Responding("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
    World world(server.Address());
    world.Request();
    CPPUNIT_ASSERT(world.Ends());
    CPPUNIT_ASSERT(world.connection->IsReusable(Common::Now()));
    world.recorder = {};
    world.connection->Send(REQUEST, &world.recorder);
    CPPUNIT_ASSERT(world.Ends());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.peers.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), server.requests.size());
  }

  void LongResponseStallsOnASlowReader()
  {
    const std::string body(4000000, 'x');
    auto server = Responding("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                             "\r\n\r\n" + body);
    World world(server.Address());
    world.Request();
    world.connection->SetReading(false);
    RunFor(Milliseconds(100));
    world.connection->SetReading(true);
    CPPUNIT_ASSERT(world.Ends());
    CPPUNIT_ASSERT(world.recorder.body == body);
  }

  void RefusalOfTheServerLooksLikeAFailureOfTheHelper()
  {
    World world(UnitTests::FreeEndpoint());
    world.Request();
    CPPUNIT_ASSERT(world.Ends());
    CPPUNIT_ASSERT(world.recorder.error == ExchangeError::ConnectFailed);
  }

  void UnknownServerLooksLikeAFailedServer()
  {
    World world(UnitTests::FreeEndpoint());
    world.Request({"i-2", 0});
    CPPUNIT_ASSERT(world.Ends());
    CPPUNIT_ASSERT(world.recorder.error == ExchangeError::TunnelFailed);
  }

  void FailedHelperLooksLikeAFailedServer()
  {
    ExchangeRecorder recorder;
    const auto connection =
        OriginConnection::ConnectThrough(UnitTests::FreeEndpoint(), Tunnels::EncodeOpen(TARGET));
    connection->Send(REQUEST, &recorder);
    CPPUNIT_ASSERT(RunUntil([&] {
      return recorder.error.has_value();
    }));
    CPPUNIT_ASSERT(recorder.error == ExchangeError::TunnelFailed);
    CPPUNIT_ASSERT(!connection->HasSent());
  }

  void AbandonedRequestStillRuns()
  {
    TestServer server([](TestPeer&, const std::string&) {});
    World world(server.Address());
    world.Request();
    CPPUNIT_ASSERT(RunUntil([&] {
      return !server.requests.empty();
    }));
    world.connection->Abandon();
    CPPUNIT_ASSERT(RunUntil([&] {
      return server.peers.at(0)->ended;
    }));
    CPPUNIT_ASSERT(server.peers.at(0)->end == Http::StreamEnd::Reset);
  }

  void ResetOfTheServerLooksLikeTheEndOfAResponse()
  {
    TestServer server([](TestPeer& peer, const std::string&) {
      peer.stream->Write("HTTP/1.1 200 OK\r\n\r\nbo");
      Common::Reactor::Get().After(Milliseconds(10), [&peer] {
        peer.stream->Reset();
      });
    });
    World world(server.Address());
    world.Request();
    CPPUNIT_ASSERT(world.Ends());
    CPPUNIT_ASSERT(!world.recorder.ended);
  }

  /// The helper's write of the upload took the error of the reset, after which its read found an
  /// orderly end.
  void ResetDuringAnUploadLooksLikeTheEndOfAResponse()
  {
    TestServer server([](TestPeer& peer, const std::string&) {
      peer.stream->SetReading(false);
      peer.stream->Write("HTTP/1.1 200 OK\r\n\r\npart");
      UnitTests::EndSoon(peer, UnitTests::Ending::Reset);
    });
    World world(server.Address());
    world.Request(TARGET, UnitTests::LongUpload());
    CPPUNIT_ASSERT(world.Ends());
    CPPUNIT_ASSERT(!world.recorder.ended);
    CPPUNIT_ASSERT(world.recorder.error == ExchangeError::Reset);
  }

  void ExitOfTheHelperLooksLikeTheEndOfAResponse()
  {
    TestServer server([](TestPeer& peer, const std::string&) {
      peer.stream->Write("HTTP/1.1 200 OK\r\n\r\nbo");
    });
    World world(server.Address());
    world.Request();
    CPPUNIT_ASSERT(RunUntil([&] {
      return world.recorder.body == "bo";
    }));
    world.helper.reset();
    CPPUNIT_ASSERT(world.Ends());
    CPPUNIT_ASSERT(!world.recorder.ended);
    CPPUNIT_ASSERT(RunUntil([&] {
      return server.peers.at(0)->ended;
    }));
    CPPUNIT_ASSERT(server.peers.at(0)->end == Http::StreamEnd::Reset);
  }

  void BytesBeforeTheTunnelIsOpenAreAccepted()
  {
    TestServer server([](TestPeer&, const std::string&) {});
    World world(server.Address());
    TestPeer daemon;
    daemon.stream = Http::TcpStream::Connect(world.helper->Local(), &daemon);
    daemon.stream->Write(Tunnels::EncodeOpen(TARGET) + REQUEST);
    CPPUNIT_ASSERT(RunUntil([&] {
      return daemon.ended;
    }));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), server.requests.size());
  }

  void TunnelsOutliveTheirConnections()
  {
    auto server = Responding("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
    World world(server.Address());
    world.Request();
    CPPUNIT_ASSERT(world.Ends());
    world.connection->Abandon();
    CPPUNIT_ASSERT(RunUntil([&] {
      return world.helper->OpenTunnels() == 0;
    }));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(TunnelServerTest);
} // namespace

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// The planned stop of a process whose callers still read their responses.

#include "Gateway/EntryPoint.h"

#include <memory>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Tunnels/Messages.h"
#include "UnitTests/Support/ExchangeRecorder.h"
#include "UnitTests/Support/RelayWorld.h"

namespace
{
using Common::Milliseconds;
using UnitTests::ExchangeRecorder;
using UnitTests::HeaderOf;
using UnitTests::RunUntil;
using UnitTests::TestPeer;

/// Without requests in progress, the process stops after half of the grace period.
constexpr Milliseconds GRACE{1600};
constexpr Milliseconds AFTER_HALF{1000};
/// More than the kernel buffers of a connection hold.
constexpr std::size_t BODY_BYTES = std::size_t{7} << 20U;

Gateway::EntryPointSettings MakeSettings()
{
  Gateway::EntryPointSettings settings;
  settings.callers = UnitTests::FreeEndpoint();
  settings.readiness = UnitTests::FreeEndpoint();
  settings.metrics = UnitTests::FreeEndpoint();
  settings.stop_grace = GRACE;
  settings.dispatcher = {
      Common::DataCentreId("here"), UnitTests::Names(), {0.2, 100, Milliseconds(10000)}};
  return settings;
}

std::shared_ptr<Gateway::Configuration> MakeConfiguration()
{
  auto configuration = std::make_shared<Gateway::Configuration>();
  const Gateway::PoolId pool("pool");
  configuration->version = 1;
  configuration->routes = {
      UnitTests::MakeRoute(UnitTests::ONCE_PATH, Gateway::Repeatability::NonIdempotent, 1, false)};
  configuration->pools[pool] = Gateway::Pool{pool, "/health", 100, std::nullopt};
  return configuration;
}

/// An entry point that stops while its caller has read nothing of a long response.
class World
{
public:
  World()
  {
    CPPUNIT_ASSERT(static_cast<bool>(entry_point.Start()));
    Gateway::Dispatcher& dispatcher = entry_point.GetDispatcher();
    dispatcher.SetConfiguration(MakeConfiguration());
    Gateway::ServerEntry entry;
    entry.instance = Gateway::InstanceId("i-1");
    entry.pool = Gateway::PoolId("pool");
    entry.endpoint = m_server.Address();
    entry.data_centre = Common::DataCentreId("here");
    entry.slots = 10;
    dispatcher.Servers().Put(entry);
    caller.stream = Http::TcpStream::Connect(m_settings.callers, &caller);
    caller.stream->Write("POST /once/ HTTP/1.1\r\nHost: shop.example\r\nReq-Id: id-1\r\n\r\n");
    CPPUNIT_ASSERT(RunUntil([this] {
      caller.stream->SetReading(false);
      return !m_server.requests.empty() && entry_point.GetDispatcher().OpenRequests() == 0;
    }));
    entry_point.BeginStop();
  }

  bool StopsWithin(Milliseconds limit)
  {
    return RunUntil(
        [this] {
          return entry_point.HasStopped();
        },
        limit);
  }

private:
  UnitTests::TestServer m_server{[](TestPeer& peer, const std::string& head) {
    peer.stream->Write(UnitTests::Answer(head, std::string(BODY_BYTES, 'x')));
  }};
  Gateway::EntryPointSettings m_settings = MakeSettings();

public:
  Gateway::EntryPoint entry_point{m_settings};
  TestPeer caller;
};

/// An entry point to which requests come while it stops.
class LateWorld
{
public:
  /// `timeout` is that of all routes.
  explicit LateWorld(Milliseconds timeout)
  {
    CPPUNIT_ASSERT(static_cast<bool>(entry_point.Start()));
    const auto configuration = MakeConfiguration();
    configuration->routes.push_back(
        UnitTests::MakeRoute(UnitTests::PLAIN_PATH, Gateway::Repeatability::Idempotent, 1, false));
    for (Gateway::Route& route : configuration->routes)
      route.timeout = timeout;
    entry_point.GetDispatcher().SetConfiguration(configuration);
    caller.stream = Http::TcpStream::Connect(m_settings.callers, &caller);
    UnitTests::RunFor(Milliseconds(20));
  }

  void AddServer()
  {
    Gateway::ServerEntry entry;
    entry.instance = Gateway::InstanceId("i-1");
    entry.pool = Gateway::PoolId("pool");
    entry.endpoint = server.Address();
    entry.data_centre = Common::DataCentreId("here");
    entry.slots = 10;
    entry_point.GetDispatcher().Servers().Put(entry);
  }

  void Ask(const std::string& path)
  {
    caller.stream->Write("POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nReq-Id: id-" +
                         std::to_string(++m_asked) + "\r\n\r\n");
  }

  bool CallerGot(const std::string& text)
  {
    return RunUntil([&] {
      return caller.received.find(text) != std::string::npos;
    });
  }

  /// Sends a request as another daemon would, which has no path to the server of its own.
  std::shared_ptr<Http::OriginConnection> SendThroughTunnel(ExchangeRecorder& recorder) const
  {
    auto connection = Http::OriginConnection::ConnectThrough(*m_settings.tunnels,
                                                             Tunnels::EncodeOpen({"i-1", 0}));
    connection->Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n", &recorder);
    return connection;
  }

  Milliseconds delay{0}; ///< Until the server responds.

  UnitTests::TestServer server{[this](TestPeer& peer, const std::string& head) {
    // The test may end, and this peer with it, before the server responds.
    Common::Reactor::Get().After(delay, [stream = std::weak_ptr(peer.stream), head] {
      if (const auto open = stream.lock())
        open->Write(UnitTests::Answer(head, "done"));
    });
  }};

private:
  Gateway::EntryPointSettings m_settings = [] {
    Gateway::EntryPointSettings settings = MakeSettings();
    settings.tunnels = UnitTests::FreeEndpoint();
    return settings;
  }();
  int m_asked = 0;

public:
  Gateway::EntryPoint entry_point{m_settings};
  TestPeer caller;
};

class PlannedStopTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PlannedStopTest);
  CPPUNIT_TEST(ResponseOfASlowCallerIsCutOff);
  CPPUNIT_TEST(CallerThatReadsNothingDelaysTheStopBeyondTheGrace);
  CPPUNIT_TEST(OrderThatMayOutlastTheGraceIsCutOff);
  CPPUNIT_TEST(OrderThatWaitedIsSentTooLateInTheGrace);
  CPPUNIT_TEST(OrderThatEndsWithinTheGraceIsRefused);
  CPPUNIT_TEST(RepeatableRequestIsRefusedAtTheBeginningOfTheGrace);
  CPPUNIT_TEST(ArrivedRequestIsClosedUnread);
  CPPUNIT_TEST(RequestOfAnotherDaemonIsCutOff);
  CPPUNIT_TEST(TunnelIsOpenedInTheGrace);
  CPPUNIT_TEST_SUITE_END();

  /// The process ended as soon as no request was in progress at a server.
  void ResponseOfASlowCallerIsCutOff()
  {
    World world;
    CPPUNIT_ASSERT(!world.StopsWithin(AFTER_HALF));
    world.caller.stream->SetReading(true);
    CPPUNIT_ASSERT(world.StopsWithin(GRACE - AFTER_HALF));
    CPPUNIT_ASSERT(RunUntil([&] {
      return world.caller.ended;
    }));
    CPPUNIT_ASSERT(world.caller.received.size() > BODY_BYTES);
  }

  void CallerThatReadsNothingDelaysTheStopBeyondTheGrace()
  {
    World world;
    CPPUNIT_ASSERT(world.StopsWithin(GRACE));
  }

  /// Its timeout is longer than the grace period. It ran, and its caller got a response without a
  /// promise at the end of the grace period.
  void OrderThatMayOutlastTheGraceIsCutOff()
  {
    LateWorld world(GRACE * 2);
    world.AddServer();
    world.entry_point.BeginStop();
    world.Ask(UnitTests::ONCE_PATH);
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 503 "));
    CPPUNIT_ASSERT(!HeaderOf(world.caller.received, "Retry-After").empty());
    CPPUNIT_ASSERT_EQUAL(std::string("close"), HeaderOf(world.caller.received, "Connection"));
    CPPUNIT_ASSERT(world.server.requests.empty());
  }

  void OrderThatWaitedIsSentTooLateInTheGrace()
  {
    LateWorld world(GRACE * 2);
    world.Ask(UnitTests::ONCE_PATH);
    CPPUNIT_ASSERT(RunUntil([&] {
      return world.entry_point.GetDispatcher().OpenRequests() == 1;
    }));
    world.entry_point.BeginStop();
    world.AddServer();
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 503 "));
    CPPUNIT_ASSERT(world.server.requests.empty());
  }

  void OrderThatEndsWithinTheGraceIsRefused()
  {
    LateWorld world(GRACE / 2);
    world.AddServer();
    world.entry_point.BeginStop();
    world.Ask(UnitTests::ONCE_PATH);
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 200 "));
  }

  void RepeatableRequestIsRefusedAtTheBeginningOfTheGrace()
  {
    LateWorld world(GRACE * 2);
    world.AddServer();
    world.entry_point.BeginStop();
    world.Ask(UnitTests::PLAIN_PATH);
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 200 "));
  }

  /// A request that lies in the kernel's buffer when its kept connection is to be closed got a
  /// reset instead of a refusal.
  void ArrivedRequestIsClosedUnread()
  {
    LateWorld world(GRACE / 2);
    world.AddServer();
    world.Ask(UnitTests::PLAIN_PATH);
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 200 "));
    world.caller.received.clear();
    world.Ask(UnitTests::PLAIN_PATH);
    world.entry_point.GetDispatcher().CloseIdleConnections();
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 503 "));
  }

  /// The process ended while it carried a request of another daemon to a server.
  void RequestOfAnotherDaemonIsCutOff()
  {
    LateWorld world(GRACE / 2);
    world.AddServer();
    world.delay = AFTER_HALF;
    ExchangeRecorder response;
    const auto connection = world.SendThroughTunnel(response);
    CPPUNIT_ASSERT(RunUntil([&] {
      return !world.server.requests.empty();
    }));
    world.entry_point.BeginStop();
    CPPUNIT_ASSERT(RunUntil([&] {
      return response.ended || response.error || world.entry_point.HasStopped();
    }));
    CPPUNIT_ASSERT(response.ended);
  }

  /// The request would have been cut at the end of the grace period, and another daemon could carry
  /// it.
  void TunnelIsOpenedInTheGrace()
  {
    LateWorld world(GRACE / 2);
    world.AddServer();
    world.entry_point.BeginStop();
    ExchangeRecorder response;
    const auto connection = world.SendThroughTunnel(response);
    CPPUNIT_ASSERT(RunUntil([&] {
      return response.ended || response.error;
    }));
    CPPUNIT_ASSERT(response.error == Http::ExchangeError::TunnelFailed);
    CPPUNIT_ASSERT(world.server.requests.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannedStopTest);
} // namespace

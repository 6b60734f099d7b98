// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// A VM that cannot connect to backend servers, while other VMs can.

#include "Gateway/Dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Tunnels/TunnelServer.h"
#include "UnitTests/Support/RelayWorld.h"

namespace
{
using Common::Milliseconds;
using UnitTests::Answer;
using UnitTests::Chunk;
using UnitTests::Event;
using UnitTests::HeaderOf;
using UnitTests::ONCE_PATH;
using UnitTests::PLAIN_PATH;
using UnitTests::RunFor;
using UnitTests::RunUntil;
using UnitTests::STREAM_PATH;
using UnitTests::StreamHead;
using UnitTests::TestPeer;
using UnitTests::TestServer;

/// An address that neither accepts nor refuses connections, as behind a partition: the backlog of
/// its listener is full.
class SilentAddress
{
public:
  SilentAddress()
  {
    m_fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = Http::Endpoint{htonl(INADDR_LOOPBACK), 0}.ToSockaddr();
    socklen_t size = sizeof(address);
    CPPUNIT_ASSERT_EQUAL(0, bind(m_fd, reinterpret_cast<const sockaddr*>(&address), size));
    CPPUNIT_ASSERT_EQUAL(0, listen(m_fd, 0));
    getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &size);
    m_endpoint = Http::Endpoint::FromSockaddr(address);
    for (auto& stream : m_fillers)
      stream = Http::TcpStream::Connect(m_endpoint, &m_peer);
    RunFor(Milliseconds(20));
  }
  ~SilentAddress() { close(m_fd); }
  SilentAddress(const SilentAddress&) = delete;
  SilentAddress& operator=(const SilentAddress&) = delete;

  const Http::Endpoint& Address() const { return m_endpoint; }

private:
  int m_fd = -1;
  Http::Endpoint m_endpoint;
  TestPeer m_peer;
  std::array<std::shared_ptr<Http::TcpStream>, 3> m_fillers;
};

/// An address that accepts connections and resets them at once, as a firewall does.
class ResettingAddress
{
public:
  ResettingAddress()
  {
    const auto listening = m_listener.Listen(Http::Endpoint{htonl(INADDR_LOOPBACK), 0},
                                             [this](int fd, const Http::Endpoint&) {
                                               Http::TcpStream::Adopt(fd, &m_peer)->Reset();
                                             });
    CPPUNIT_ASSERT(static_cast<bool>(listening));
  }

  Http::Endpoint Address() const { return m_listener.Local(); }

private:
  TestPeer m_peer;
  Http::TcpListener m_listener;
};

/// Two servers behind a partition from the VM under test, and a helper that reaches both.
class World : public UnitTests::RelayWorld
{
public:
  explicit World(const TestServer::RequestHandler& respond)
      : first(respond),
        second(respond),
        helper([this](const Tunnels::TunnelTarget& target) -> std::optional<Http::Endpoint> {
          if (!helper_reaches_servers)
            return std::nullopt;
          return target.server == "i-1" ? first.Address() : second.Address();
        })
  {
    CPPUNIT_ASSERT(static_cast<bool>(helper.Listen(Http::Endpoint{htonl(INADDR_LOOPBACK), 0})));
    dispatcher.Paths().SetHelpers({helper.Local()});
  }

  void AddServers(const Http::Endpoint& seen_first, const Http::Endpoint& seen_second)
  {
    AddServer("i-1", seen_first);
    AddServer("i-2", seen_second);
  }

  std::size_t Requests() const { return first.requests.size() + second.requests.size(); }

  bool IsServed(const std::string& path, const std::string& id)
  {
    caller.received.clear();
    Ask(path, id);
    return CallerGot("Req-Id: " + id) && CallerGot("HTTP/1.1 200 ");
  }

  bool helper_reaches_servers = true;
  TestServer first;
  TestServer second;
  Tunnels::TunnelServer helper;
};

void RespondAtOnce(TestPeer& peer, const std::string& head)
{
  peer.stream->Write(Answer(head, "x"));
}

class IsolatedVmTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(IsolatedVmTest);
  CPPUNIT_TEST(RequestsFailWhileConnectionsAreRefused);
  CPPUNIT_TEST(RequestsFailWhileConnectionsHang);
  CPPUNIT_TEST(RequestsFailWhileConnectionsAreResetOnceMade);
  CPPUNIT_TEST(BrokenHelperPathIsTakenForAFailedServer);
  CPPUNIT_TEST(VmThatReachesNoServerIsAHelper);
  CPPUNIT_TEST(IdleVmThatReachesNoServerIsAHelper);
  CPPUNIT_TEST(UnrepeatableRequestFailsBeforeItWasSent);
  CPPUNIT_TEST(StreamOnAHangingConnectionIsNotResumed);
  CPPUNIT_TEST(IsolationIsTakenForCrashes);
  CPPUNIT_TEST(FailedServerIsTakenForIsolation);
  CPPUNIT_TEST(SilentServerIsTakenForAPartition);
  CPPUNIT_TEST(HelpersAreUsedAfterThePartition);
  CPPUNIT_TEST(VmStaysIsolatedAfterItsServersWereReplaced);
  CPPUNIT_TEST(RequestsWaitWhileNoServerCanBeReached);
  CPPUNIT_TEST(CutOffVmKeepsItsCallers);
  CPPUNIT_TEST(DisconnectOfACallerDoesNotReachTheServer);
  CPPUNIT_TEST(RequestOnAHangingConnectionMayHaveRunAtTheStop);
  CPPUNIT_TEST_SUITE_END();

  void RequestsFailWhileConnectionsAreRefused()
  {
    World world(RespondAtOnce);
    world.AddServers(UnitTests::FreeEndpoint(), UnitTests::FreeEndpoint());
    for (int i = 1; i <= 5; ++i)
      CPPUNIT_ASSERT(world.IsServed(PLAIN_PATH, "id-" + std::to_string(i)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), world.Requests());
    CPPUNIT_ASSERT(world.dispatcher.Paths().IsIsolated());
  }

  void RequestsFailWhileConnectionsHang()
  {
    const SilentAddress address;
    World world(RespondAtOnce);
    world.AddServers(address.Address(), address.Address());
    for (int i = 1; i <= 5; ++i)
      CPPUNIT_ASSERT(world.IsServed(PLAIN_PATH, "id-" + std::to_string(i)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), world.Requests());
  }

  void RequestsFailWhileConnectionsAreResetOnceMade()
  {
    const ResettingAddress address;
    World world(RespondAtOnce);
    world.AddServers(address.Address(), address.Address());
    for (int i = 1; i <= 3; ++i)
    {
      world.Ask(PLAIN_PATH, "first-" + std::to_string(i));
      RunFor(Milliseconds(300));
    }
    CPPUNIT_ASSERT(world.dispatcher.Paths().IsIsolated());
    // Longer than the interval of the direct probes, which are accepted and reset, too.
    for (int i = 1; i <= 10; ++i)
    {
      CPPUNIT_ASSERT(world.IsServed(PLAIN_PATH, "id-" + std::to_string(i)));
      RunFor(Milliseconds(100));
    }
    CPPUNIT_ASSERT(world.dispatcher.Paths().IsIsolated());
  }

  /// The connections of the first helper are reset, too.
  void BrokenHelperPathIsTakenForAFailedServer()
  {
    const ResettingAddress address;
    World world(RespondAtOnce);
    Tunnels::TunnelServer cut_helper([&](const Tunnels::TunnelTarget&) {
      return std::optional(address.Address());
    });
    CPPUNIT_ASSERT(static_cast<bool>(cut_helper.Listen(Http::Endpoint{htonl(INADDR_LOOPBACK), 0})));
    world.dispatcher.Paths().SetHelpers({cut_helper.Local(), world.helper.Local()});
    world.AddServers(address.Address(), address.Address());
    for (int i = 1; i <= 8; ++i)
    {
      world.Ask(PLAIN_PATH, "first-" + std::to_string(i));
      RunFor(Milliseconds(300));
    }
    CPPUNIT_ASSERT(world.dispatcher.Paths().IsIsolated());
  }

  /// Its helper is cut off, too, so that it is not isolated.
  void VmThatReachesNoServerIsAHelper()
  {
    const SilentAddress address;
    World world(RespondAtOnce);
    Tunnels::TunnelServer cut_helper([&](const Tunnels::TunnelTarget&) {
      return std::optional(address.Address());
    });
    CPPUNIT_ASSERT(static_cast<bool>(cut_helper.Listen(Http::Endpoint{htonl(INADDR_LOOPBACK), 0})));
    Gateway::ServerPaths& paths = world.dispatcher.Paths();
    paths.SetHelpers({cut_helper.Local()});
    world.AddServers(address.Address(), address.Address());
    world.Ask(PLAIN_PATH, "id-1");
    CPPUNIT_ASSERT(RunUntil([&] {
      return paths.ReachesNoServer();
    }));
    CPPUNIT_ASSERT(!paths.IsIsolated());
    RunFor(Milliseconds(3500));
    CPPUNIT_ASSERT(paths.ReachesNoServer());
    // Without any further request it finds the helper that is sound, and then the direct path.
    paths.SetHelpers({world.helper.Local()});
    CPPUNIT_ASSERT(RunUntil([&] {
      return paths.IsIsolated();
    }));
    world.AddServers(world.first.Address(), world.second.Address());
    CPPUNIT_ASSERT(RunUntil([&] {
      return !paths.ReachesNoServer();
    }));
  }

  /// It learns from the tunnels that it cannot open for others.
  void IdleVmThatReachesNoServerIsAHelper()
  {
    World world(RespondAtOnce);
    world.AddServers(UnitTests::FreeEndpoint(), UnitTests::FreeEndpoint());
    Gateway::ServerPaths& paths = world.dispatcher.Paths();
    Tunnels::TunnelServer idle([&](const Tunnels::TunnelTarget& target) {
      return std::optional(
          world.dispatcher.Servers().Find(Gateway::InstanceId(target.server))->Entry().endpoint);
    });
    idle.OnConnectFailure([&](const Tunnels::TunnelTarget& target) {
      paths.NoteTunnelFailure(world.dispatcher.Servers().Find(Gateway::InstanceId(target.server)));
    });
    CPPUNIT_ASSERT(static_cast<bool>(idle.Listen(Http::Endpoint{htonl(INADDR_LOOPBACK), 0})));
    for (const char* server : {"i-1", "i-2"})
    {
      CPPUNIT_ASSERT(!paths.ReachesNoServer());
      TestPeer daemon;
      daemon.stream = Http::TcpStream::Connect(idle.Local(), &daemon);
      daemon.stream->Write(Tunnels::EncodeOpen({server}));
      CPPUNIT_ASSERT(RunUntil([&] {
        return daemon.ended;
      }));
    }
    CPPUNIT_ASSERT(paths.ReachesNoServer());
  }

  void UnrepeatableRequestFailsBeforeItWasSent()
  {
    World world(RespondAtOnce);
    world.AddServers(UnitTests::FreeEndpoint(), UnitTests::FreeEndpoint());
    CPPUNIT_ASSERT(world.IsServed(ONCE_PATH, "id-1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.Requests());
  }

  /// The connection was made before the partition and hangs since then.
  void StreamOnAHangingConnectionIsNotResumed()
  {
    TestServer before([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(StreamHead(head) + Chunk(Event(1)));
    });
    World world([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(StreamHead(head) + Chunk(Event(2)) + "0\r\n\r\n");
    });
    world.AddServer("i-1", before.Address());
    world.Ask(STREAM_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot(Event(1)));
    const SilentAddress address;
    world.AddServers(address.Address(), address.Address());
    CPPUNIT_ASSERT(world.CallerGot("\r\n0\r\n\r\n"));
    CPPUNIT_ASSERT(world.caller.received.find(Event(2)) != std::string::npos);
  }

  void RequestOnAHangingConnectionMayHaveRunAtTheStop()
  {
    const SilentAddress address;
    UnitTests::RelayWorld world;
    world.AddServer("i-1", address.Address());
    world.Ask(ONCE_PATH, "id-1");
    RunFor(Milliseconds(50));
    world.dispatcher.CancelAll();
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 503 "));
  }

  void IsolationIsTakenForCrashes()
  {
    World world(RespondAtOnce);
    int crashes = 0;
    TestServer before([](TestPeer& peer, const std::string&) {
      peer.stream->Reset();
    });
    world.AddServer("i-1", before.Address());
    world.Ask(ONCE_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 502 "));
    world.AddServer("i-1", UnitTests::FreeEndpoint());
    RunFor(Milliseconds(500));
    crashes = static_cast<int>(world.dispatcher.CrashCases().Cases());
    CPPUNIT_ASSERT_EQUAL(0, crashes);
  }

  /// The helper cannot connect to the servers either.
  void FailedServerIsTakenForIsolation()
  {
    World world(RespondAtOnce);
    const Http::Endpoint first = UnitTests::FreeEndpoint();
    Tunnels::TunnelServer helper([first](const Tunnels::TunnelTarget&) {
      return std::optional(first);
    });
    CPPUNIT_ASSERT(static_cast<bool>(helper.Listen(Http::Endpoint{htonl(INADDR_LOOPBACK), 0})));
    world.dispatcher.Paths().SetHelpers({helper.Local()});
    world.AddServers(first, first);
    world.Ask(PLAIN_PATH, "id-1", "Left-Ms: 300\r\n");
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 503 "));
    CPPUNIT_ASSERT(!world.dispatcher.Paths().IsIsolated());
    CPPUNIT_ASSERT(!world.dispatcher.IsCutOff());
  }

  /// It accepts connections and responds after a pause.
  void SilentServerIsTakenForAPartition()
  {
    World world(RespondAtOnce);
    TestServer silent([](TestPeer& peer, const std::string& head) {
      Common::Reactor::Get().After(Milliseconds(1200), [&peer, response = Answer(head, "late")] {
        peer.stream->Write(response);
      });
    });
    world.AddServer("i-1", silent.Address());
    world.Ask(ONCE_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("late"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), silent.requests.size());
    CPPUNIT_ASSERT(!world.dispatcher.Paths().IsIsolated());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.Requests());
  }

  void HelpersAreUsedAfterThePartition()
  {
    World world(RespondAtOnce);
    world.AddServers(UnitTests::FreeEndpoint(), UnitTests::FreeEndpoint());
    CPPUNIT_ASSERT(world.IsServed(PLAIN_PATH, "id-1"));
    CPPUNIT_ASSERT(world.IsServed(PLAIN_PATH, "id-2"));
    world.AddServers(world.first.Address(), world.second.Address());
    CPPUNIT_ASSERT(RunUntil([&] {
      return std::ranges::none_of(world.dispatcher.Servers().All(), [&](const auto& entry) {
        return world.dispatcher.Paths().NeedsHelper(*entry.second);
      });
    }));
    const std::int64_t before = world.dispatcher.Counters().through_helpers;
    CPPUNIT_ASSERT(world.IsServed(PLAIN_PATH, "id-3"));
    CPPUNIT_ASSERT_EQUAL(before, world.dispatcher.Counters().through_helpers);
  }

  /// For a while there is no server to probe.
  void VmStaysIsolatedAfterItsServersWereReplaced()
  {
    World world(RespondAtOnce);
    world.AddServers(UnitTests::FreeEndpoint(), UnitTests::FreeEndpoint());
    CPPUNIT_ASSERT(world.IsServed(PLAIN_PATH, "id-1"));
    CPPUNIT_ASSERT(world.IsServed(PLAIN_PATH, "id-2"));
    CPPUNIT_ASSERT(world.dispatcher.Paths().IsIsolated());
    for (const char* instance : {"i-1", "i-2"})
      world.dispatcher.Servers().Remove(Gateway::InstanceId(instance));
    RunFor(Milliseconds(600));
    world.AddServers(world.first.Address(), world.second.Address());
    CPPUNIT_ASSERT(RunUntil([&] {
      return !world.dispatcher.Paths().IsIsolated();
    }));
  }

  void RequestsWaitWhileNoServerCanBeReached()
  {
    World world(RespondAtOnce);
    world.helper_reaches_servers = false;
    world.AddServers(UnitTests::FreeEndpoint(), UnitTests::FreeEndpoint());
    world.Ask(PLAIN_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 503 "));
    const auto begun = Common::Now();
    const auto caller = world.NewCaller();
    caller->stream->Write("GET /plain/ HTTP/1.1\r\nHost: shop.example\r\nReq-Id: id-2\r\n\r\n");
    CPPUNIT_ASSERT(RunUntil([&] {
      return caller->received.find("HTTP/1.1 503 ") != std::string::npos;
    }));
    CPPUNIT_ASSERT(Common::Now() - begun < Milliseconds(200));
  }

  void CutOffVmKeepsItsCallers()
  {
    World world(RespondAtOnce);
    world.helper_reaches_servers = false;
    world.AddServers(UnitTests::FreeEndpoint(), UnitTests::FreeEndpoint());
    world.Ask(PLAIN_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 503 "));
    CPPUNIT_ASSERT(world.dispatcher.IsCutOff());
    CPPUNIT_ASSERT_EQUAL(std::string("close"), HeaderOf(world.caller.received, "Connection"));
    CPPUNIT_ASSERT(RunUntil([&] {
      return world.caller.ended;
    }));
  }

  void DisconnectOfACallerDoesNotReachTheServer()
  {
    World world([](TestPeer& peer, const std::string& head) {
      peer.stream->Write(StreamHead(head) + Chunk(Event(1)));
    });
    world.AddServers(UnitTests::FreeEndpoint(), UnitTests::FreeEndpoint());
    world.Ask(STREAM_PATH, "id-1");
    CPPUNIT_ASSERT(world.CallerGot(Event(1)));
    world.caller.stream->Close();
    TestServer& server = world.first.requests.empty() ? world.second : world.first;
    CPPUNIT_ASSERT(RunUntil(
        [&] {
          return std::ranges::all_of(server.peers, [](const auto& peer) {
            return peer->ended;
          });
        },
        Milliseconds(400)));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(IsolatedVmTest);
} // namespace

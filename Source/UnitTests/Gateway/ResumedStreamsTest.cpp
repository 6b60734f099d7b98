// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Streams that callers take up again at the VM through which they began: only servers of the
// software version that began a stream may continue it.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Tunnels/TunnelServer.h"
#include "UnitTests/Support/RelayWorld.h"

namespace
{
using namespace Gateway;
using Common::DataCentreId;
using Common::Milliseconds;
using Common::RegionId;
using UnitTests::Chunk;
using UnitTests::Event;
using UnitTests::HeaderOf;
using UnitTests::ONE_STREAM_PATH;
using UnitTests::RunFor;
using UnitTests::RunUntil;
using UnitTests::STREAM_PATH;
using UnitTests::StreamHead;
using UnitTests::TestPeer;
using UnitTests::TestServer;

const DataCentreId HERE("here");
const DataCentreId THERE("there");
const PoolId POOL("pool");
const PoolId OTHER_POOL("other");
/// A refusal that is known at once arrives within this time.
constexpr Milliseconds AT_ONCE{150};
/// Longer than a request of STREAM_PATH may wait for a server.
constexpr Milliseconds LONGEST_WAIT{800};
/// Longer than the check of whether a server crashed.
constexpr Milliseconds CRASH_CHECK{300};

using Callers = std::vector<std::unique_ptr<TestPeer>>;

/// Begins streams with their first event, and sends events without ids on them until their callers
/// leave; completes those that are resumed.
class StreamServer
{
public:
  StreamServer()
      : m_server([this](TestPeer& peer, const std::string& head) {
          Serve(peer, head);
        })
  {
    Tick();
  }

  Http::Endpoint Address() const { return m_server.Address(); }
  const std::vector<std::string>& Requests() const { return m_server.requests; }

  /// Ends the connections of all streams that are open.
  void BreakOffStreams()
  {
    for (const TestPeer* peer : m_open)
      peer->stream->Close();
    m_open.clear();
  }

  /// A line that is added to the head of each response.
  std::string header;

private:
  static constexpr Milliseconds TICK{40};

  void Serve(TestPeer& peer, const std::string& head)
  {
    std::string response = StreamHead(head);
    response.insert(response.find("\r\n") + 2, header);
    const bool is_resumed = !HeaderOf(head, "Last-Event-Id").empty();
    peer.stream->Write(response + Chunk(Event(is_resumed ? 2 : 1)) +
                       (is_resumed ? "0\r\n\r\n" : ""));
    if (!is_resumed)
      m_open.push_back(&peer);
  }

  void Tick()
  {
    std::erase_if(m_open, [](const TestPeer* peer) {
      return peer->ended;
    });
    for (const TestPeer* peer : m_open)
      peer->stream->Write(Chunk("data: token\n\n"));
    m_timer.Start(TICK, [this] {
      Tick();
    });
  }

  std::vector<TestPeer*> m_open;
  Common::OwnedTimer m_timer;
  TestServer m_server;
};

/// Sends the next event of each stream and breaks it off.
void BreakOff(TestPeer& peer, const std::string& head)
{
  const std::string last = HeaderOf(head, "Last-Event-Id");
  peer.stream->Write(StreamHead(head) + Chunk(Event(last.empty() ? 1 : std::stoi(last) + 1)));
  Common::Reactor::Get().After(Milliseconds(10), [&peer] {
    peer.stream->Close();
  });
}

/// Two servers of version "a", at which the streams begin, and two of version "b", which are listed
/// later.
class World : public UnitTests::RelayWorld
{
public:
  World()
  {
    List("a-1", a1, "a");
    List("a-2", a2, "a");
  }

  template <typename Listener>
  ServerPtr List(const std::string& instance, const Listener& server, const std::string& version,
                 const std::function<void(ServerEntry&)>& change = {})
  {
    ServerEntry entry;
    entry.version = SoftwareVersion(version);
    entry.instance = InstanceId(instance);
    entry.pool = POOL;
    entry.endpoint = server.Address();
    entry.data_centre = HERE;
    entry.slots = 10;
    if (change)
      change(entry);
    dispatcher.Servers().Put(entry);
    return Find(instance);
  }

  void ListOtherVersion()
  {
    List("b-1", b1, "b");
    List("b-2", b2, "b");
  }

  ServerPtr Find(const std::string& instance)
  {
    return dispatcher.Servers().Find(InstanceId(instance));
  }

  std::vector<ServerPtr> ServersOfItsVersion() { return {Find("a-1"), Find("a-2")}; }

  template <typename Change>
  void ChangeConfiguration(Change change)
  {
    auto configuration = std::make_shared<Configuration>(*dispatcher.CurrentConfiguration());
    ++configuration->version;
    change(*configuration);
    dispatcher.SetConfiguration(configuration);
  }

  std::unique_ptr<TestPeer> Call(const char* path, const std::string& id,
                                 const std::string& more = "") const
  {
    auto peer = NewCaller();
    peer->stream->Write(std::string("POST ") + path +
                        " HTTP/1.1\r\nHost: shop.example\r\nReq-Id: " + id + "\r\n" + more +
                        "\r\n");
    return peer;
  }

  /// Begins a stream, whose caller leaves after the first event.
  void Begin(const std::string& id, const char* path = STREAM_PATH, const std::string& more = "")
  {
    const auto peer = Call(path, id, more);
    CPPUNIT_ASSERT(Gets(*peer, Event(1)));
    peer->stream->Close();
    CPPUNIT_ASSERT(RunUntil([&] {
      return dispatcher.OpenRequests() == 0;
    }));
  }

  std::unique_ptr<TestPeer> TakeUp(const std::string& first, const std::string& id,
                                   const char* path = STREAM_PATH, const std::string& more = "",
                                   int last_event = 1) const
  {
    return Call(path, id,
                "Last-Event-Id: " + std::to_string(last_event) + "\r\nResumes: " + first + "\r\n" +
                    more);
  }

  /// Opens streams whose callers stay.
  Callers Occupy(int count) const
  {
    Callers callers;
    for (int i = 0; i < count; ++i)
      callers.push_back(Call(ONE_STREAM_PATH, "held-" + std::to_string(i)));
    RunFor(Milliseconds(100));
    return callers;
  }

  static bool Gets(const TestPeer& peer, const std::string& text,
                   Milliseconds limit = Milliseconds(3000))
  {
    return RunUntil(
        [&] {
          return peer.received.find(text) != std::string::npos;
        },
        limit);
  }

  static double RetryAfter(const TestPeer& peer)
  {
    const std::string value = HeaderOf(peer.received, "Retry-After");
    return value.empty() ? 0 : std::stod(value);
  }

  std::size_t RequestsAtOtherVersion() const { return b1.Requests().size() + b2.Requests().size(); }

  StreamServer a1;
  StreamServer a2;
  StreamServer b1;
  StreamServer b2;
};

class ResumedStreamsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ResumedStreamsTest);
  CPPUNIT_TEST(FullServersRefuseAStreamThatCouldWait);
  CPPUNIT_TEST(NewRequestsBlockAWaitingStream);
  CPPUNIT_TEST(WaitingStreamBlocksNewRequests);
  CPPUNIT_TEST(WaitingStreamBlocksNewRequestsInSlowStart);
  CPPUNIT_TEST(EjectedServersContinueNoStream);
  CPPUNIT_TEST(UnreachableServersAreTriedOnAndOn);
  CPPUNIT_TEST(EjectedServersUseUpTheRetryBudget);
  CPPUNIT_TEST(DrainingServersContinueNoStream);
  CPPUNIT_TEST(StreamWaitsForDrainedServers);
  CPPUNIT_TEST(WaitingStreamOutlastsTheLastServerOfItsVersion);
  CPPUNIT_TEST(ReplacedVersionKeepsACallerWaiting);
  CPPUNIT_TEST(StreamThatRanForLongDoesNotWait);
  CPPUNIT_TEST(BrokenStreamWaitsForAVersionThatIsGone);
  CPPUNIT_TEST(MissingEntriesEndStreams);
  CPPUNIT_TEST(NewRequestsTakeThePermitsOfAWaitingStream);
  CPPUNIT_TEST(ShortBackoffRefusesAStream);
  CPPUNIT_TEST(LongBackoffKeepsACallerWaiting);
  CPPUNIT_TEST(EvacuatedVersionKeepsACallerWaiting);
  CPPUNIT_TEST(VersionInAnotherRegionKeepsACallerWaiting);
  CPPUNIT_TEST(StreamIsNotContinuedThroughAHelper);
  CPPUNIT_TEST(PartBlockedForOneVersionHasAWrongReason);
  CPPUNIT_TEST(PartBlockedForAnotherVersionRefusesAStream);
  CPPUNIT_TEST(TakingUpAStreamNeedsTheRetryBudget);
  CPPUNIT_TEST(BrokenConnectionsOfRunningServersBlockAStream);
  CPPUNIT_TEST(ServersThatDrainedBlockAStream);
  CPPUNIT_TEST(LateReportOfADrainBlocksAStream);
  CPPUNIT_TEST(TwoCrashesBlockAStream);
  CPPUNIT_TEST(CrashCheckRefusesAStream);
  CPPUNIT_TEST(StreamBreaksOnItsThirdServer);
  CPPUNIT_TEST(RefusedStreamIsCharged);
  CPPUNIT_TEST(StreamContinuesInAPoolWithoutItsVersion);
  CPPUNIT_TEST(StreamOfAnotherPoolGoesOnAtItsOnlyVersion);
  CPPUNIT_TEST(AnotherAccountMovesAStream);
  CPPUNIT_TEST(BeginningThatNamesAnotherAttemptIsForgotten);
  CPPUNIT_TEST(BeginningThatNamesAnotherAttemptMovesItsStream);
  CPPUNIT_TEST(ReusedIdGoesOnAtTheEarlierVersion);
  CPPUNIT_TEST(StreamThatNamesNoAttemptGoesOn);
  CPPUNIT_TEST(StreamThatNamesItselfIsRefused);
  CPPUNIT_TEST(SecondTakeUpBeforeAnEventIsRefused);
  CPPUNIT_TEST(OneOfTwoTakeUpsAtOnceIsRefused);
  CPPUNIT_TEST_SUITE_END();

  static void AssertGoesOn(const TestPeer& peer)
  {
    World::Gets(peer, "\r\n\r\n");
    CPPUNIT_ASSERT_MESSAGE(peer.received, World::Gets(peer, Event(2)));
  }

  /// The response is a refusal that arrives at once.
  static void AssertRefusedAtOnce(const TestPeer& peer)
  {
    World::Gets(peer, "HTTP/1.1 ", AT_ONCE);
    CPPUNIT_ASSERT_MESSAGE(peer.received, peer.received.starts_with("HTTP/1.1 503 "));
  }

  // Servers of the version that have no capacity.

  void FullServersRefuseAStreamThatCouldWait()
  {
    World world;
    world.Begin("id-1");
    const auto held = world.Occupy(40);
    world.ListOtherVersion();
    const auto peer = world.TakeUp("id-1", "id-2");
    RunFor(Milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(std::string(), peer->received);
    held.front()->stream->Close();
    AssertGoesOn(*peer);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.RequestsAtOtherVersion());
  }

  /// All servers are full, and requests that no version binds arrive all the time.
  void NewRequestsBlockAWaitingStream()
  {
    World world;
    world.Begin("id-1");
    world.ListOtherVersion();
    auto held = world.Occupy(80);
    const auto peer = world.TakeUp("id-1", "id-2");
    RunFor(Milliseconds(20));
    const auto later = world.Occupy(20);
    for (const auto& caller : held)
      if (!caller->ended)
        caller->stream->Close();
    AssertGoesOn(*peer);
  }

  void WaitingStreamBlocksNewRequests()
  {
    World world;
    world.Begin("id-1");
    const auto held = world.Occupy(40);
    world.ListOtherVersion();
    const auto peer = world.TakeUp("id-1", "id-2");
    RunFor(Milliseconds(20));
    const auto fresh = world.Call(STREAM_PATH, "id-3");
    CPPUNIT_ASSERT(World::Gets(*fresh, Event(1), Milliseconds(100)));
  }

  void WaitingStreamBlocksNewRequestsInSlowStart()
  {
    World world;
    world.Begin("id-1");
    const auto held = world.Occupy(40);
    world.List("b-1", world.b1, "b")->GetBackoff().NoteRetryAfter(Milliseconds(20), Common::Now());
    RunFor(Milliseconds(30));
    const auto peer = world.TakeUp("id-1", "id-2");
    RunFor(Milliseconds(20));
    const auto fresh = world.Call(STREAM_PATH, "id-3");
    CPPUNIT_ASSERT(World::Gets(*fresh, Event(1), Milliseconds(100)));
  }

  // Servers of the version that this VM avoids.

  void EjectedServersContinueNoStream()
  {
    World world;
    world.Begin("id-1");
    world.ListOtherVersion();
    for (const ServerPtr& server : world.ServersOfItsVersion())
      for (int i = 0; i < 3; ++i)
        server->Health().NoteFailure(Common::Now());
    AssertGoesOn(*world.TakeUp("id-1", "id-2"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.RequestsAtOtherVersion());
  }

  void UnreachableServersAreTriedOnAndOn()
  {
    World world;
    world.Begin("id-1");
    world.ListOtherVersion();
    for (const ServerPtr& server : world.ServersOfItsVersion())
      server->Health().NoteUnreachable(Common::Now());
    const std::size_t before = world.a1.Requests().size() + world.a2.Requests().size();
    const auto peer = world.TakeUp("id-1", "id-2");
    RunFor(Milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(before, world.a1.Requests().size() + world.a2.Requests().size());
  }

  /// The servers break off each stream after one event.
  void EjectedServersUseUpTheRetryBudget()
  {
    TestServer first(BreakOff);
    TestServer second(BreakOff);
    World world;
    world.Begin("id-1");
    world.ListOtherVersion();
    world.dispatcher.Servers().Remove(InstanceId("a-1"));
    world.dispatcher.Servers().Remove(InstanceId("a-2"));
    world.List("c-1", first, "a");
    world.List("c-2", second, "a");
    for (const char* instance : {"c-1", "c-2"})
      for (int i = 0; i < 3; ++i)
        world.Find(instance)->Health().NoteFailure(Common::Now());
    const auto peer = world.TakeUp("id-1", "id-2");
    AssertGoesOn(*peer);
    RunFor(Milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), first.requests.size() + second.requests.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), world.dispatcher.Counters().retries);
  }

  void DrainingServersContinueNoStream()
  {
    World world;
    world.Begin("id-1");
    world.ListOtherVersion();
    for (const ServerPtr& server : world.ServersOfItsVersion())
      server->Drain().NoteAnnounced(Common::Now());
    AssertGoesOn(*world.TakeUp("id-1", "id-2"));
  }

  /// The drain grace of all servers of the version has ended.
  void StreamWaitsForDrainedServers()
  {
    World world;
    world.Begin("id-1");
    world.ListOtherVersion();
    world.List("a-1", world.a1, "a", [](ServerEntry& entry) {
      entry.draining = true;
    });
    world.List("a-2", world.a2, "a", [](ServerEntry& entry) {
      entry.draining = true;
    });
    const auto peer = world.TakeUp("id-1", "id-2");
    AssertRefusedAtOnce(*peer);
    CPPUNIT_ASSERT(World::RetryAfter(*peer) >= 1);
  }

  void WaitingStreamOutlastsTheLastServerOfItsVersion()
  {
    World world;
    world.Begin("id-1");
    const auto held = world.Occupy(40);
    world.ListOtherVersion();
    const auto peer = world.TakeUp("id-1", "id-2");
    RunFor(Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::string(), peer->received);
    world.dispatcher.Servers().Remove(InstanceId("a-1"));
    world.dispatcher.Servers().Remove(InstanceId("a-2"));
    AssertRefusedAtOnce(*peer);
  }

  void ReplacedVersionKeepsACallerWaiting()
  {
    World world;
    world.Begin("id-1");
    world.ListOtherVersion();
    world.dispatcher.Servers().Remove(InstanceId("a-1"));
    world.dispatcher.Servers().Remove(InstanceId("a-2"));
    const auto peer = world.TakeUp("id-1", "id-2");
    AssertRefusedAtOnce(*peer);
    CPPUNIT_ASSERT(World::RetryAfter(*peer) >= 1);
  }

  /// Runs a stream at "a-1" for longer than a request may wait for a server.
  static std::unique_ptr<TestPeer> RunForLong(World& world)
  {
    world.dispatcher.Servers().Remove(InstanceId("a-2"));
    auto peer = world.Call(STREAM_PATH, "id-1");
    CPPUNIT_ASSERT(World::Gets(*peer, Event(1)));
    RunFor(LONGEST_WAIT);
    world.ListOtherVersion();
    return peer;
  }

  /// The stream breaks while the other server of its version takes no requests for 100 ms.
  void StreamThatRanForLongDoesNotWait()
  {
    World world;
    const auto peer = RunForLong(world);
    world.List("a-2", world.a2, "a")->GetBackoff().NoteRetryAfter(Milliseconds(100), Common::Now());
    world.a1.BreakOffStreams();
    AssertGoesOn(*peer);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.RequestsAtOtherVersion());
  }

  void BrokenStreamWaitsForAVersionThatIsGone()
  {
    World world;
    const auto peer = RunForLong(world);
    world.dispatcher.Servers().Remove(InstanceId("a-1"));
    world.a1.BreakOffStreams();
    CPPUNIT_ASSERT(RunUntil(
        [&] {
          return peer->ended;
        },
        AT_ONCE));
  }

  /// The store is away: the entries of the version's servers have lapsed.
  void MissingEntriesEndStreams()
  {
    World world;
    world.Begin("id-1");
    world.ListOtherVersion();
    for (const ServerPtr& server : world.ServersOfItsVersion())
      server->SetEntryMissing();
    AssertGoesOn(*world.TakeUp("id-1", "id-2"));
  }

  // Limits of the servers.

  /// Servers of the other version are free, and nothing ends meanwhile. No lease holder grants
  /// permits.
  void NewRequestsTakeThePermitsOfAWaitingStream()
  {
    World world;
    world.Begin("id-1");
    const auto set_many_slots = [](ServerEntry& entry) {
      entry.slots = 1000;
    };
    world.List("b-1", world.b1, "b", set_many_slots);
    world.List("b-2", world.b2, "b", set_many_slots);
    world.a1.header = world.a2.header = "Limit: 6\r\n";
    for (const ServerPtr& server : world.ServersOfItsVersion())
      world.dispatcher.Limited().NoteResponse(
          *server, {true, RateLimits::RequestRate(6 * RateLimits::THOUSANDTHS), ""}, Common::Now());
    Callers callers;
    int went_on = 0;
    constexpr int TAKE_UPS = 4;
    for (int i = 0; i < TAKE_UPS; ++i)
    {
      const auto peer = world.TakeUp("id-1", "next-" + std::to_string(i));
      const auto end = Common::Now() + LONGEST_WAIT;
      while (peer->received.empty() && Common::Now() < end)
      {
        callers.push_back(world.Call(STREAM_PATH, "many-" + std::to_string(callers.size())));
        RunFor(Milliseconds(3));
      }
      went_on += peer->received.starts_with("HTTP/1.1 200 ") ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(TAKE_UPS, went_on);
  }

  void ShortBackoffRefusesAStream()
  {
    World world;
    world.Begin("id-1");
    world.ListOtherVersion();
    for (const ServerPtr& server : world.ServersOfItsVersion())
      server->GetBackoff().NoteRetryAfter(Milliseconds(300), Common::Now());
    AssertGoesOn(*world.TakeUp("id-1", "id-2"));
  }

  void LongBackoffKeepsACallerWaiting()
  {
    World world;
    world.Begin("id-1");
    world.ListOtherVersion();
    for (const ServerPtr& server : world.ServersOfItsVersion())
      server->GetBackoff().NoteRetryAfter(Milliseconds(5000), Common::Now());
    const auto peer = world.TakeUp("id-1", "id-2");
    AssertRefusedAtOnce(*peer);
    CPPUNIT_ASSERT(World::RetryAfter(*peer) >= 4.5 && World::RetryAfter(*peer) < 7);
  }

  // Places.

  void EvacuatedVersionKeepsACallerWaiting()
  {
    World world;
    world.Begin("id-1");
    world.List("b-1", world.b1, "b", [](ServerEntry& entry) {
      entry.data_centre = THERE;
    });
    world.dispatcher.BeginEvacuation(HERE);
    AssertRefusedAtOnce(*world.TakeUp("id-1", "id-2"));
    world.dispatcher.EndEvacuation(HERE);
    AssertGoesOn(*world.TakeUp("id-1", "id-3"));
  }

  void VersionInAnotherRegionKeepsACallerWaiting()
  {
    World world;
    world.Begin("id-1");
    DispatcherSettings settings = world.dispatcher.Settings();
    settings.regions = {{HERE, RegionId("north")}, {THERE, RegionId("south")}};
    world.dispatcher.Configure(settings);
    world.ChangeConfiguration([](Configuration& configuration) {
      for (Route& route : configuration.routes)
        route.allowed_regions = {RegionId("south")};
    });
    world.List("b-1", world.b1, "b", [](ServerEntry& entry) {
      entry.data_centre = THERE;
    });
    AssertRefusedAtOnce(*world.TakeUp("id-1", "id-2"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.RequestsAtOtherVersion());
  }

  /// This VM loses its path to the servers of the version; a helper reaches them.
  void StreamIsNotContinuedThroughAHelper()
  {
    World world;
    Tunnels::TunnelServer helper(
        [&](const Tunnels::TunnelTarget& target) -> std::optional<Http::Endpoint> {
          return target.server == "a-1" ? world.a1.Address() : world.a2.Address();
        });
    CPPUNIT_ASSERT(static_cast<bool>(helper.Listen(Http::Endpoint{htonl(INADDR_LOOPBACK), 0})));
    world.dispatcher.Paths().SetHelpers({helper.Local()});
    world.Begin("id-1");
    world.ListOtherVersion();
    for (const char* instance : {"a-1", "a-2"})
    {
      world.List(instance, world.a1, "a", [](ServerEntry& entry) {
        entry.endpoint = UnitTests::FreeEndpoint();
      });
      world.Find(instance)->DropIdleConnections();
    }
    AssertGoesOn(*world.TakeUp("id-1", "id-2"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.RequestsAtOtherVersion());
  }

  // Crash evidence and the retry budget.

  static void BlockPart(World& world, const std::string& version)
  {
    Crashes::CaseLine line;
    line.request = Crashes::FingerprintOf(Crashes::PromptPartIdentity{"", "bad", version});
    line.blocks = 1;
    line.blocked_for_ms = 600000;
    world.dispatcher.MergeCrashCases({line});
  }

  void PartBlockedForOneVersionHasAWrongReason()
  {
    World world;
    world.Begin("id-1", STREAM_PATH, "Parts: first:20,bad:7,own:5\r\n");
    world.ListOtherVersion();
    BlockPart(world, "a");
    const auto peer = world.TakeUp("id-1", "id-2", STREAM_PATH, "Parts: first:20,bad:7,own:5\r\n");
    AssertRefusedAtOnce(*peer);
    const auto status = world.dispatcher.Parts().StatusOf(
        Crashes::ReadSharedParts("first:20,bad:7,own:5", ""), "a", Common::Now());
    CPPUNIT_ASSERT(status.blocked);
    const double expected_s = std::chrono::duration<double>(status.retry_after).count();
    CPPUNIT_ASSERT_MESSAGE(peer->received, World::RetryAfter(*peer) >= expected_s &&
                                               World::RetryAfter(*peer) <= expected_s * 1.2);
  }

  void PartBlockedForAnotherVersionRefusesAStream()
  {
    World world;
    world.Begin("id-1", STREAM_PATH, "Parts: first:20,bad:7,own:5\r\n");
    world.ListOtherVersion();
    BlockPart(world, "b");
    AssertGoesOn(*world.TakeUp("id-1", "id-2", STREAM_PATH, "Parts: first:20,bad:7,own:5\r\n"));
  }

  void TakingUpAStreamNeedsTheRetryBudget()
  {
    World world;
    DispatcherSettings settings = world.dispatcher.Settings();
    settings.budget = {0, 0, Milliseconds(10000)};
    world.dispatcher.Configure(settings);
    world.dispatcher.Budget().SetRounding(0);
    world.Begin("id-1");
    world.ListOtherVersion();
    for (int i = 2; i < 6; ++i)
      AssertGoesOn(*world.TakeUp("id-1", "id-" + std::to_string(i)));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), world.dispatcher.Counters().retries);
  }

  /// Each connection breaks after one event, while its server keeps running.
  void BrokenConnectionsOfRunningServersBlockAStream()
  {
    World world;
    std::vector<std::unique_ptr<TestServer>> servers;
    for (int i = 0; i < 6; ++i)
    {
      servers.push_back(std::make_unique<TestServer>(BreakOff));
      world.List("c-" + std::to_string(i), *servers.back(), "c");
    }
    world.dispatcher.Servers().Remove(InstanceId("a-1"));
    world.dispatcher.Servers().Remove(InstanceId("a-2"));
    const auto first = world.Call(ONE_STREAM_PATH, "id-1");
    CPPUNIT_ASSERT(World::Gets(*first, Event(1)));
    world.ListOtherVersion();
    for (int event = 2; event < 8; ++event)
    {
      RunFor(Milliseconds(30));
      const auto peer =
          world.TakeUp("id-1", "id-" + std::to_string(event), ONE_STREAM_PATH, "", event - 1);
      CPPUNIT_ASSERT(World::Gets(*peer, Event(event), LONGEST_WAIT));
    }
    RunFor(CRASH_CHECK);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.dispatcher.CrashCases().Cases());
  }

  /// Ends servers with a stream open, one after the other, as in a rollout; `announce` makes known
  /// that the server drains.
  static void EndServers(World& world, int count,
                         const std::function<void(const ServerPtr&, bool ended)>& announce)
  {
    world.dispatcher.Servers().Remove(InstanceId("a-1"));
    world.dispatcher.Servers().Remove(InstanceId("a-2"));
    for (int i = 1; i <= count; ++i)
    {
      auto server = std::make_unique<TestServer>([](TestPeer& peer, const std::string& head) {
        peer.stream->Write(StreamHead(head) + Chunk(Event(1)));
      });
      const std::string instance = "a-old-" + std::to_string(i);
      const ServerPtr listed = world.List(instance, *server, "a");
      const auto peer = world.Call(ONE_STREAM_PATH, "id-" + std::to_string(i));
      CPPUNIT_ASSERT_MESSAGE(peer->received, World::Gets(*peer, Event(1)));
      announce(listed, false);
      server.reset();
      RunFor(Milliseconds(40));
      announce(listed, true);
      RunFor(CRASH_CHECK);
      world.dispatcher.Servers().Remove(InstanceId(instance));
    }
    world.List("a-1", world.a1, "a");
    world.ListOtherVersion();
  }

  void ServersThatDrainedBlockAStream()
  {
    World world;
    EndServers(world, 4, [](const ServerPtr& server, bool ended) {
      if (!ended)
        server->Drain().NoteReported(Common::Now());
    });
    AssertGoesOn(*world.TakeUp("id-1", "id-9", ONE_STREAM_PATH));
  }

  /// The report that the server drains arrives while it is checked whether the server crashed.
  void LateReportOfADrainBlocksAStream()
  {
    World world;
    EndServers(world, 4, [](const ServerPtr& server, bool ended) {
      if (ended)
        server->Drain().NoteReported(Common::Now());
    });
    AssertGoesOn(*world.TakeUp("id-1", "id-9", ONE_STREAM_PATH));
  }

  void TwoCrashesBlockAStream()
  {
    World world;
    EndServers(world, 2, [](const ServerPtr&, bool) {});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.dispatcher.CrashCases().Cases());
    AssertGoesOn(*world.TakeUp("id-1", "id-9", ONE_STREAM_PATH));
  }

  /// One crash short of a block, the connection to a server breaks that keeps running.
  void CrashCheckRefusesAStream()
  {
    World world;
    EndServers(world, 2, [](const ServerPtr&, bool) {});
    for (const char* instance : {"a-1", "b-1", "b-2"})
      world.dispatcher.Servers().Remove(InstanceId(instance));
    TestServer server(BreakOff);
    world.List("c-1", server, "a");
    const auto peer = world.Call(ONE_STREAM_PATH, "id-5");
    CPPUNIT_ASSERT(RunUntil([&] {
      return peer->ended;
    }));
    world.List("a-1", world.a1, "a");
    world.ListOtherVersion();
    world.dispatcher.Servers().Remove(InstanceId("c-1"));
    CPPUNIT_ASSERT(world.dispatcher.GetCrashDetector().HasPendingChecks());
    AssertGoesOn(*world.TakeUp("id-5", "id-9", ONE_STREAM_PATH));
  }

  /// The route allows a request one server.
  void StreamBreaksOnItsThirdServer()
  {
    World world;
    world.Begin("id-1", ONE_STREAM_PATH);
    world.ListOtherVersion();
    AssertGoesOn(*world.TakeUp("id-1", "id-2", ONE_STREAM_PATH));
    AssertGoesOn(*world.TakeUp("id-1", "id-3", ONE_STREAM_PATH));
    AssertGoesOn(*world.TakeUp("id-1", "id-4", ONE_STREAM_PATH));
  }

  // Accounts.

  static void SetAccounts(World& world, double rate)
  {
    world.ChangeConfiguration([&](Configuration& configuration) {
      std::vector<Accounts::AccountSpec> specs;
      for (const char* name : {"one", "two"})
      {
        Accounts::AccountSpec spec;
        spec.account.name = Accounts::AccountName(name);
        spec.account.limit.rate = rate;
        spec.account.limit.burst = rate;
        spec.keys = {std::string("key-") + name};
        specs.push_back(spec);
      }
      configuration.accounts = *Accounts::Directory::Build(specs);
    });
  }

  /// The units of an account after a number of refusals suffice for a stream that goes on.
  void RefusedStreamIsCharged()
  {
    World world;
    SetAccounts(world, 4);
    RunFor(Milliseconds(600));
    const std::string key = "Api-Key: key-one\r\n";
    world.Begin("id-1", STREAM_PATH, key);
    world.ListOtherVersion();
    world.dispatcher.BeginEvacuation(HERE);
    for (int i = 2; i < 12; ++i)
    {
      const auto peer = world.TakeUp("id-1", "id-" + std::to_string(i), STREAM_PATH, key);
      CPPUNIT_ASSERT(World::Gets(*peer, "\r\n\r\n"));
      CPPUNIT_ASSERT_MESSAGE(peer->received, peer->received.starts_with("HTTP/1.1 503 "));
    }
    world.dispatcher.EndEvacuation(HERE);
    AssertGoesOn(*world.TakeUp("id-1", "id-20", STREAM_PATH, key));
  }

  // Routes with several pools.

  static void AddPool(World& world)
  {
    world.ChangeConfiguration([](Configuration& configuration) {
      configuration.pools[OTHER_POOL] = Pool{OTHER_POOL, "/health", 100, std::nullopt};
      for (Route& route : configuration.routes)
        route.pools = {{POOL, 1}, {OTHER_POOL, 3}};
    });
  }

  void StreamContinuesInAPoolWithoutItsVersion()
  {
    World world;
    world.Begin("id-1");
    AddPool(world);
    world.List("b-1", world.b1, "b", [](ServerEntry& entry) {
      entry.pool = OTHER_POOL;
    });
    for (int i = 2; i < 12; ++i)
      AssertGoesOn(*world.TakeUp("id-1", "id-" + std::to_string(i)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.RequestsAtOtherVersion());
  }

  /// The stream began at another VM, in the pool with version "a".
  void StreamOfAnotherPoolGoesOnAtItsOnlyVersion()
  {
    World world;
    AddPool(world);
    world.List("b-1", world.b1, "b", [](ServerEntry& entry) {
      entry.pool = OTHER_POOL;
    });
    for (int i = 2; i < 12; ++i)
    {
      const auto peer = world.TakeUp("id-elsewhere", "id-" + std::to_string(i));
      CPPUNIT_ASSERT(World::Gets(*peer, "\r\n\r\n"));
      CPPUNIT_ASSERT_MESSAGE(peer->received, peer->received.starts_with("HTTP/1.1 503 "));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.RequestsAtOtherVersion());
  }

  // Ids.

  /// The servers of version "a" are not listed while streams begin at version "b".
  static void BeginAtOtherVersion(World& world, const std::string& id, const std::string& more)
  {
    world.dispatcher.Servers().Remove(InstanceId("a-1"));
    world.dispatcher.Servers().Remove(InstanceId("a-2"));
    world.ListOtherVersion();
    world.Begin(id, STREAM_PATH, more);
    world.List("a-1", world.a1, "a");
    world.List("a-2", world.a2, "a");
  }

  void AnotherAccountMovesAStream()
  {
    World world;
    SetAccounts(world, 0);
    world.Begin("id-1", STREAM_PATH, "Api-Key: key-one\r\n");
    BeginAtOtherVersion(world, "id-1", "Api-Key: key-two\r\n");
    const std::size_t before = world.RequestsAtOtherVersion();
    AssertGoesOn(*world.TakeUp("id-1", "id-2", STREAM_PATH, "Api-Key: key-one\r\n"));
    CPPUNIT_ASSERT_EQUAL(before, world.RequestsAtOtherVersion());
  }

  /// An attempt without an event was repeated by its caller, who names it.
  void BeginningThatNamesAnotherAttemptIsForgotten()
  {
    World world;
    world.Begin("id-1", STREAM_PATH, "Resumes: id-0\r\n");
    world.ListOtherVersion();
    AssertGoesOn(*world.TakeUp("id-1", "id-2"));
  }

  void BeginningThatNamesAnotherAttemptMovesItsStream()
  {
    World world;
    world.Begin("id-1");
    BeginAtOtherVersion(world, "id-2", "Resumes: id-1\r\n");
    const std::size_t before = world.RequestsAtOtherVersion();
    AssertGoesOn(*world.TakeUp("id-1", "id-3"));
    CPPUNIT_ASSERT_EQUAL(before, world.RequestsAtOtherVersion());
  }

  void ReusedIdGoesOnAtTheEarlierVersion()
  {
    World world;
    world.Begin("id-1");
    BeginAtOtherVersion(world, "id-1", "");
    const std::size_t before = world.a1.Requests().size() + world.a2.Requests().size();
    AssertGoesOn(*world.TakeUp("id-1", "id-2"));
    CPPUNIT_ASSERT_EQUAL(before, world.a1.Requests().size() + world.a2.Requests().size());
  }

  void StreamThatNamesNoAttemptGoesOn()
  {
    World world;
    world.Begin("id-1");
    world.ListOtherVersion();
    AssertRefusedAtOnce(*world.Call(STREAM_PATH, "id-2", "Last-Event-Id: 1\r\n"));
  }

  void StreamThatNamesItselfIsRefused()
  {
    World world;
    world.Begin("id-1");
    world.ListOtherVersion();
    AssertGoesOn(*world.TakeUp("id-1", "id-1"));
  }

  void SecondTakeUpBeforeAnEventIsRefused()
  {
    World world;
    world.Begin("id-1");
    auto held = world.Occupy(40);
    world.ListOtherVersion();
    const auto second = world.TakeUp("id-1", "id-2");
    RunFor(Milliseconds(30));
    second->stream->Close();
    held.clear();
    AssertGoesOn(*world.TakeUp("id-1", "id-3"));
  }

  void OneOfTwoTakeUpsAtOnceIsRefused()
  {
    World world;
    world.Begin("id-1");
    world.ListOtherVersion();
    const auto second = world.TakeUp("id-1", "id-2");
    const auto third = world.TakeUp("id-1", "id-3");
    AssertGoesOn(*second);
    AssertGoesOn(*third);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.RequestsAtOtherVersion());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ResumedStreamsTest);
} // namespace

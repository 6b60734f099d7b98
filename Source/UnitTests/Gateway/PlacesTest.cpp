// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Where requests run: evacuated data centres, regions of routes and accounts, cold servers.

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/RelayWorld.h"

namespace
{
using namespace Gateway;
using Common::DataCentreId;
using Common::Milliseconds;
using Common::RegionId;
using UnitTests::Answer;
using UnitTests::ONCE_PATH;
using UnitTests::PLAIN_PATH;
using UnitTests::RunFor;
using UnitTests::RunUntil;
using UnitTests::TestPeer;
using UnitTests::TestServer;

const DataCentreId HERE("here");
const DataCentreId THERE("there");
const RegionId NORTH("north");
const RegionId SOUTH("south");
/// A refusal that is known at once arrives within this time.
constexpr Milliseconds AT_ONCE{50};

/// A relay with one server in each of two data centres.
class World : public UnitTests::RelayWorld
{
public:
  World()
  {
    dispatcher.Configure({HERE,
                          UnitTests::Names(),
                          {0.2, 100, Milliseconds(10000)},
                          std::nullopt,
                          {},
                          {},
                          Milliseconds(1000),
                          {{HERE, NORTH}, {THERE, SOUTH}}});
    Put("i-here", here.Address(), HERE);
    Put("i-there", there.Address(), THERE);
  }

  void Put(const std::string& instance, const Http::Endpoint& endpoint,
           const DataCentreId& data_centre, Milliseconds cold_for = Milliseconds(0))
  {
    ServerEntry entry;
    entry.instance = InstanceId(instance);
    entry.pool = PoolId("pool");
    entry.endpoint = endpoint;
    entry.data_centre = data_centre;
    entry.slots = 100;
    entry.warming_up = cold_for;
    dispatcher.Servers().Put(entry);
  }

  template <typename Change>
  void ChangeConfiguration(Change change)
  {
    auto configuration = std::make_shared<Configuration>(*dispatcher.CurrentConfiguration());
    ++configuration->version;
    change(*configuration);
    dispatcher.SetConfiguration(configuration);
  }

  void MakeServersColdAfterStart(std::int64_t requests_per_second, Milliseconds period)
  {
    ChangeConfiguration([&](Configuration& configuration) {
      Pool& pool = configuration.pools[PoolId("pool")];
      pool.cold_rate = RateLimits::RequestRate(requests_per_second * RateLimits::THOUSANDTHS);
      pool.cold_period = period;
    });
  }

  /// Sends requests on connections of their own, and waits until all have a response.
  void AskMany(int count, const char* path = PLAIN_PATH, const std::string& more = "")
  {
    const std::size_t before = callers.size();
    for (int i = 0; i < count; ++i)
    {
      callers.push_back(NewCaller());
      callers.back()->stream->Write(std::string("POST ") + path +
                                    " HTTP/1.1\r\nHost: shop.example\r\nReq-Id: many-" +
                                    std::to_string(callers.size()) + "\r\n" + more + "\r\n");
    }
    RunUntil([&] {
      return std::all_of(callers.begin() + static_cast<std::ptrdiff_t>(before), callers.end(),
                         [](const auto& peer) {
                           return !peer->received.empty();
                         });
    });
  }

  static void Respond(TestPeer& peer, const std::string& head)
  {
    peer.stream->Write(Answer(head, "done"));
  }

  TestServer here{&Respond};
  TestServer there{&Respond};
  std::vector<std::unique_ptr<TestPeer>> callers;
};

class PlacesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PlacesTest);
  CPPUNIT_TEST(EvacuatedDataCentreGetsNoRequests);
  CPPUNIT_TEST(ServerAddedDuringAnEvacuationGetsNoRequests);
  CPPUNIT_TEST(NewerEntryDoesNotEndAnEvacuation);
  CPPUNIT_TEST(SnapshotReplacesEarlierEvacuations);
  CPPUNIT_TEST(RunningRequestEndsDuringAnEvacuation);
  CPPUNIT_TEST(RequestThatWasNotSentMovesToAnotherServer);
  CPPUNIT_TEST(EvacuationOfAllServersRefusesAtOnce);
  CPPUNIT_TEST(WaitingRequestIsRefusedWhenNoServerIsLeft);
  CPPUNIT_TEST(EvacuationOfAnUnknownDataCentreChangesNothing);
  CPPUNIT_TEST(ColdServerGetsNoFlood);
  CPPUNIT_TEST(WarmServerTakesWhatAColdOneCannot);
  CPPUNIT_TEST(ServersAreColdWhenAnEvacuationEnds);
  CPPUNIT_TEST(LimitOfAColdServerEnds);
  CPPUNIT_TEST(ColdTimeInAResponseCounts);
  CPPUNIT_TEST(AnnouncedLimitReturnsWhenAServerIsWarm);
  CPPUNIT_TEST(RestrictedRouteNeverUsesAnotherRegion);
  CPPUNIT_TEST(RouteAndAccountBothRestrictRegions);
  CPPUNIT_TEST(RetryStaysInTheAllowedRegions);
  CPPUNIT_TEST_SUITE_END();

  void EvacuatedDataCentreGetsNoRequests()
  {
    World world;
    world.dispatcher.BeginEvacuation(HERE);
    world.AskMany(20);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.here.requests.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, world.there.requests.size());
    world.dispatcher.EndEvacuation(HERE);
    world.dispatcher.BeginEvacuation(THERE);
    world.AskMany(5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, world.here.requests.size());
  }

  void ServerAddedDuringAnEvacuationGetsNoRequests()
  {
    World world;
    world.dispatcher.BeginEvacuation(HERE);
    TestServer added(&World::Respond);
    world.Put("i-added", added.Address(), HERE);
    world.AskMany(20);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, added.requests.size());
  }

  void NewerEntryDoesNotEndAnEvacuation()
  {
    World world;
    world.dispatcher.BeginEvacuation(HERE);
    world.Put("i-here", world.here.Address(), HERE);
    world.AskMany(5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.here.requests.size());
  }

  void SnapshotReplacesEarlierEvacuations()
  {
    World world;
    world.dispatcher.SetEvacuations({HERE});
    world.dispatcher.SetEvacuations({THERE});
    world.AskMany(5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, world.here.requests.size());
  }

  void RunningRequestEndsDuringAnEvacuation()
  {
    TestPeer* running = nullptr;
    std::string head;
    TestServer slow([&](TestPeer& peer, const std::string& request) {
      running = &peer;
      head = request;
    });
    World world;
    world.dispatcher.SetEvacuations({HERE, THERE});
    world.Put("i-slow", slow.Address(), DataCentreId("third"));
    world.Ask(ONCE_PATH, "id-1");
    CPPUNIT_ASSERT(RunUntil([&] {
      return running != nullptr;
    }));
    world.dispatcher.BeginEvacuation(DataCentreId("third"));
    RunFor(Milliseconds(50));
    World::Respond(*running, head);
    CPPUNIT_ASSERT(world.CallerGot("200 OK"));
  }

  void RequestThatWasNotSentMovesToAnotherServer()
  {
    World world;
    world.dispatcher.BeginEvacuation(THERE);
    world.Ask(ONCE_PATH, "id-1");
    // The connection to the server is not established yet when the evacuation changes.
    RunUntil(
        [&] {
          return world.dispatcher.OpenRequests() > 0;
        },
        Milliseconds(500));
    world.dispatcher.SetEvacuations({HERE});
    CPPUNIT_ASSERT(world.CallerGot("200 OK"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.here.requests.size() + world.there.requests.size());
  }

  void EvacuationOfAllServersRefusesAtOnce()
  {
    World world;
    world.dispatcher.SetEvacuations({HERE, THERE});
    world.Ask(PLAIN_PATH, "id-1");
    const auto asked_at = Common::Now();
    CPPUNIT_ASSERT(world.CallerGot("503 Service"));
    CPPUNIT_ASSERT(Common::Now() - asked_at < AT_ONCE);
    CPPUNIT_ASSERT(world.CallerGot("Retry-After: "));
  }

  void WaitingRequestIsRefusedWhenNoServerIsLeft()
  {
    World world;
    world.ServeModel(Milliseconds(100));
    world.Ask(ONCE_PATH, "id-1", "Model: m\r\n");
    RunFor(Milliseconds(50));
    CPPUNIT_ASSERT(world.caller.received.empty());
    world.dispatcher.SetEvacuations({HERE, THERE});
    const auto evacuated_at = Common::Now();
    CPPUNIT_ASSERT(world.CallerGot("503 Service"));
    CPPUNIT_ASSERT(Common::Now() - evacuated_at < AT_ONCE);
  }

  void EvacuationOfAnUnknownDataCentreChangesNothing()
  {
    World world;
    world.dispatcher.BeginEvacuation(DataCentreId("nowhere"));
    world.AskMany(10);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, world.here.requests.size() + world.there.requests.size());
  }

  void ColdServerGetsNoFlood()
  {
    constexpr std::int64_t COLD_RATE = 5;
    World world;
    world.MakeServersColdAfterStart(COLD_RATE, Milliseconds(3000));
    world.dispatcher.BeginEvacuation(THERE);
    world.Put("i-here", world.here.Address(), HERE, Milliseconds(900));
    for (int i = 0; i < 40; ++i)
      world.callers.push_back(world.NewCaller());
    for (const auto& peer : world.callers)
      peer->stream->Write(std::string("POST ") + PLAIN_PATH +
                          " HTTP/1.1\r\nHost: shop.example\r\nReq-Id: flood\r\n\r\n");
    RunFor(Milliseconds(800));
    CPPUNIT_ASSERT(world.here.requests.size() <= static_cast<std::size_t>(COLD_RATE));
  }

  void WarmServerTakesWhatAColdOneCannot()
  {
    World world;
    world.MakeServersColdAfterStart(1, Milliseconds(3000));
    world.Put("i-here", world.here.Address(), HERE, Milliseconds(3000));
    world.AskMany(20);
    CPPUNIT_ASSERT(world.here.requests.size() <= 1);
    CPPUNIT_ASSERT(world.there.requests.size() >= 19);
  }

  void ServersAreColdWhenAnEvacuationEnds()
  {
    World world;
    world.MakeServersColdAfterStart(1, Milliseconds(3000));
    world.dispatcher.BeginEvacuation(HERE);
    world.dispatcher.EndEvacuation(HERE);
    world.AskMany(20);
    CPPUNIT_ASSERT(world.here.requests.size() <= 1);
    CPPUNIT_ASSERT(world.there.requests.size() >= 19);
  }

  void LimitOfAColdServerEnds()
  {
    World world;
    world.MakeServersColdAfterStart(1, Milliseconds(3000));
    world.dispatcher.BeginEvacuation(THERE);
    world.Put("i-here", world.here.Address(), HERE, Milliseconds(300));
    CPPUNIT_ASSERT(!world.dispatcher.Limited().All().empty());
    // Waits until the server is warm, and not for a permit.
    world.AskMany(20);
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, world.here.requests.size());
    CPPUNIT_ASSERT(world.dispatcher.Limited().All().empty());
  }

  void ColdTimeInAResponseCounts()
  {
    World world;
    world.MakeServersColdAfterStart(1, Milliseconds(3000));
    const ServerPtr server = world.dispatcher.Servers().Find(InstanceId("i-here"));
    ServerSignals signals;
    signals.cold_left = Milliseconds(2000);
    world.dispatcher.ApplySignals(server, signals, {"report", Common::Now(), false});
    CPPUNIT_ASSERT(server->Limit().has_value());
  }

  /// Guards against a lease holder that keeps granting permits at the cold rate.
  void AnnouncedLimitReturnsWhenAServerIsWarm()
  {
    World world;
    world.MakeServersColdAfterStart(1, Milliseconds(3000));
    const ServerPtr server = world.dispatcher.Servers().Find(InstanceId("i-here"));
    LimitedServers& limited = world.dispatcher.Limited();
    RateLimits::LimitReading reading;
    reading.rate = RateLimits::RequestRate(7 * RateLimits::THOUSANDTHS);
    limited.NoteResponse(*server, reading, Common::Now());
    world.Put("i-here", world.here.Address(), HERE, Milliseconds(100));
    CPPUNIT_ASSERT(server->Limit()->cold_until.has_value());
    const std::uint64_t cold_revision = limited.Revision();
    CPPUNIT_ASSERT(RunUntil([&] {
      return !server->Limit()->cold_until;
    }));
    CPPUNIT_ASSERT(server->Limit()->rate == *reading.rate);
    CPPUNIT_ASSERT(limited.Revision() > cold_revision);
  }

  static void Restrict(Configuration& configuration, const std::set<RegionId>& regions)
  {
    for (Route& route : configuration.routes)
      route.allowed_regions = regions;
  }

  void RestrictedRouteNeverUsesAnotherRegion()
  {
    World world;
    world.ChangeConfiguration([](Configuration& configuration) {
      Restrict(configuration, {SOUTH});
    });
    world.AskMany(20);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.here.requests.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, world.there.requests.size());
    world.dispatcher.BeginEvacuation(THERE);
    world.Ask(PLAIN_PATH, "id-1");
    const auto asked_at = Common::Now();
    CPPUNIT_ASSERT(world.CallerGot("503 Service"));
    CPPUNIT_ASSERT(Common::Now() - asked_at < AT_ONCE);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.here.requests.size());
  }

  void RouteAndAccountBothRestrictRegions()
  {
    World world;
    world.ChangeConfiguration([](Configuration& configuration) {
      Restrict(configuration, {NORTH, SOUTH});
      Accounts::AccountSpec spec;
      spec.account.name = Accounts::AccountName("one");
      spec.account.allowed_regions = {SOUTH};
      spec.keys = {"secret-1"};
      configuration.accounts = *Accounts::Directory::Build({spec});
    });
    world.AskMany(10, PLAIN_PATH, "Api-Key: secret-1\r\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.here.requests.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, world.there.requests.size());
    world.ChangeConfiguration([](Configuration& configuration) {
      Restrict(configuration, {NORTH});
    });
    world.Ask(PLAIN_PATH, "id-1", "Api-Key: secret-1\r\n");
    CPPUNIT_ASSERT(world.CallerGot("503 Service"));
  }

  void RetryStaysInTheAllowedRegions()
  {
    TestServer failing([](TestPeer& peer, const std::string&) {
      peer.stream->Reset();
    });
    World world;
    world.ChangeConfiguration([](Configuration& configuration) {
      Restrict(configuration, {SOUTH});
    });
    world.Put("i-there", failing.Address(), THERE);
    world.AskMany(5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.here.requests.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacesTest);
} // namespace

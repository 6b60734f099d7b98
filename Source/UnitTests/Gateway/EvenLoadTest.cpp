// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// The choice of servers by place shares, where many daemons use the same servers.

#include "Gateway/EvenLoad.h"

#include <algorithm>
#include <map>
#include <set>

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/RelayWorld.h"

namespace
{
using namespace Gateway;
using Common::Milliseconds;
using UnitTests::Answer;
using UnitTests::PLAIN_PATH;
using UnitTests::RunFor;
using UnitTests::RunUntil;
using UnitTests::TestPeer;
using UnitTests::TestServer;

constexpr int SLOTS = 3;
constexpr std::size_t SERVERS = 4;
constexpr std::size_t MANY_DAEMONS = 6;
const PoolId POOL("pool");

/// A relay before servers that respond only when the test says so.
class World : public UnitTests::RelayWorld
{
public:
  World()
  {
    for (std::size_t i = 0; i < SERVERS; ++i)
    {
      servers.push_back(
          std::make_unique<TestServer>([this](TestPeer& peer, const std::string& head) {
            if (responds)
              peer.stream->Write(Answer(head, "done"));
          }));
      Put(i);
    }
  }

  static std::string Name(std::size_t index) { return "s" + std::to_string(index); }

  void Put(std::size_t index, int slots = SLOTS)
  {
    ServerEntry entry;
    entry.instance = InstanceId(Name(index));
    entry.pool = POOL;
    entry.endpoint = servers[index]->Address();
    entry.data_centre = Common::DataCentreId("here");
    entry.slots = slots;
    dispatcher.Servers().Put(entry);
  }

  ServerPtr Find(std::size_t index) { return dispatcher.Servers().Find(InstanceId(Name(index))); }

  void Send(const std::string& more = "")
  {
    callers.push_back(NewCaller());
    callers.back()->stream->Write(std::string("POST ") + PLAIN_PATH +
                                  " HTTP/1.1\r\nHost: shop.example\r\nReq-Id: e" +
                                  std::to_string(callers.size()) + "\r\n" + more + "\r\n");
  }

  std::size_t Received() const
  {
    std::size_t count = 0;
    for (const auto& server : servers)
      count += server->requests.size();
    return count;
  }

  /// Sends requests in turn, and waits for each until it has arrived at a server.
  void SendInTurn(std::size_t count, const std::string& more = "")
  {
    for (std::size_t i = 0; i < count; ++i)
    {
      const std::size_t before = Received();
      Send(more);
      CPPUNIT_ASSERT(RunUntil([&] {
        return Received() > before;
      }));
    }
  }

  /// The number of requests that have arrived at each server.
  std::vector<std::size_t> ByServer() const
  {
    std::vector<std::size_t> counts;
    for (const auto& server : servers)
      counts.push_back(server->requests.size());
    return counts;
  }

  double Gauge(const std::string& name)
  {
    dispatcher.RefreshGauges();
    const std::string text = dispatcher.GetMetrics().Render();
    const std::string label = "drumpond_state{name=\"" + name + "\"} ";
    const auto at = text.find(label);
    CPPUNIT_ASSERT_MESSAGE(name, at != std::string::npos);
    return std::stod(text.substr(at + label.size()));
  }

  bool responds = false;
  std::vector<std::unique_ptr<TestServer>> servers;
  std::vector<std::unique_ptr<TestPeer>> callers;
};

class EvenLoadTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EvenLoadTest);
  CPPUNIT_TEST(ManyDaemonsUsePlaceShares);
  CPPUNIT_TEST(FewDaemonsUseTheTotals);
  CPPUNIT_TEST(ConditionFollowsTheLargestServer);
  CPPUNIT_TEST(ServersThatRunModelsUseTheTotals);
  CPPUNIT_TEST(AffinityUsesTheCachedPrefix);
  CPPUNIT_TEST(StaleTotalsDoNotKeepRequestsWaiting);
  CPPUNIT_TEST(TotalsLimitRequestsOfFewDaemons);
  CPPUNIT_TEST(NumberOfDaemonsAppliesWithoutAList);
  CPPUNIT_TEST(DaemonsWithoutAListHaveDifferentRanks);
  CPPUNIT_TEST(LastListAppliesAfterItIsLost);
  CPPUNIT_TEST(ChangedListMovesTheShare);
  CPPUNIT_TEST(RequestOverflowsWhenOwnSlotsAreBusy);
  CPPUNIT_TEST(OverflowIsBoundedByTheLimit);
  CPPUNIT_TEST(EjectedServerGetsNoRequestsAndKeepsItsSlots);
  CPPUNIT_TEST(DrainingServerGetsNoRequestsAndLeavesTheShares);
  CPPUNIT_TEST(RejectionBoundStillLimitsRequests);
  CPPUNIT_TEST(SlowServerGetsLessOverflow);
  CPPUNIT_TEST(WaitsAtEqualServersDoNotDirectTheOverflow);
  CPPUNIT_TEST(RemoteServersShareTheOverflow);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against totals that are up to 0.5 s old deciding where many daemons send.
  void ManyDaemonsUsePlaceShares()
  {
    World world;
    world.dispatcher.SetDaemonRank(1, MANY_DAEMONS);
    // Twelve slots and six daemons: rank 1 owns slot 0 of the third and the fourth server.
    world.Find(2)->SetRemoteInFlight(SLOTS);
    world.Find(3)->SetRemoteInFlight(SLOTS);
    world.SendInTurn(2);
    CPPUNIT_ASSERT((world.ByServer() == std::vector<std::size_t>{0, 0, 1, 1}));
    CPPUNIT_ASSERT(world.dispatcher.GetEvenLoad().IsActive(POOL));
    CPPUNIT_ASSERT_EQUAL(1.0, world.Gauge("place_share_pools"));
    CPPUNIT_ASSERT_EQUAL(2.0, world.Gauge("place_share_own_slot"));
    CPPUNIT_ASSERT_EQUAL(0.0, world.Gauge("place_share_overflow"));
    CPPUNIT_ASSERT_EQUAL(0.0, world.Gauge("place_share_largest_excess"));
  }

  // Guards against a changed choice where the condition does not hold.
  void FewDaemonsUseTheTotals()
  {
    World world;
    world.dispatcher.SetDaemonRank(1, MANY_DAEMONS - 1);
    for (const std::size_t busy : {0, 2, 3})
      world.Find(busy)->SetRemoteInFlight(SLOTS);
    world.SendInTurn(2);
    CPPUNIT_ASSERT((world.ByServer() == std::vector<std::size_t>{0, 2, 0, 0}));
    CPPUNIT_ASSERT(!world.dispatcher.GetEvenLoad().IsActive(POOL));
    CPPUNIT_ASSERT_EQUAL(0.0, world.Gauge("place_share_pools"));
    CPPUNIT_ASSERT_EQUAL(2.0, world.Gauge("place_share_other_routing"));
  }

  // Guards against a decision by one of several kinds of servers.
  void ConditionFollowsTheLargestServer()
  {
    World world;
    world.dispatcher.SetDaemonRank(0, MANY_DAEMONS);
    world.Put(3, SLOTS + 1);
    world.SendInTurn(1);
    CPPUNIT_ASSERT(!world.dispatcher.GetEvenLoad().IsActive(POOL));
    world.Put(3, SLOTS);
    world.SendInTurn(1);
    CPPUNIT_ASSERT(world.dispatcher.GetEvenLoad().IsActive(POOL));
  }

  // Guards against place shares for model servers, whose replicas are placed by demand.
  void ServersThatRunModelsUseTheTotals()
  {
    World world;
    world.ServeModel(Milliseconds(1000));
    world.dispatcher.SetDaemonRank(1, MANY_DAEMONS);
    for (const std::size_t busy : {0, 2, 3})
      world.Find(busy)->SetRemoteInFlight(SLOTS - 1);
    world.SendInTurn(2);
    CPPUNIT_ASSERT((world.ByServer() == std::vector<std::size_t>{0, 2, 0, 0}));
    CPPUNIT_ASSERT(!world.dispatcher.GetEvenLoad().IsActive(POOL));
  }

  // Guards against the loss of cached prefixes to place shares.
  void AffinityUsesTheCachedPrefix()
  {
    const std::string parts = "Parts: " + std::string(32, 'a') + ":2000\r\n";
    World few;
    few.SendInTurn(3, parts);
    World many;
    many.dispatcher.SetDaemonRank(1, MANY_DAEMONS);
    many.SendInTurn(3, parts);
    CPPUNIT_ASSERT(std::ranges::count(few.ByServer(), 3U) == 1);
    CPPUNIT_ASSERT(few.ByServer() == many.ByServer());
    CPPUNIT_ASSERT(many.dispatcher.GetEvenLoad().IsActive(POOL));
    CPPUNIT_ASSERT_EQUAL(3.0, many.Gauge("place_share_other_routing"));
  }

  // Guards against requests that wait at the VM because of totals that no longer hold.
  void StaleTotalsDoNotKeepRequestsWaiting()
  {
    World world;
    world.dispatcher.SetDaemonRank(1, MANY_DAEMONS);
    for (std::size_t i = 0; i < SERVERS; ++i)
      world.Find(i)->SetRemoteInFlight(2 * SLOTS);
    world.SendInTurn(1);
  }

  // The counterpart of the above: a deployment of few daemons keeps its limits.
  void TotalsLimitRequestsOfFewDaemons()
  {
    World world;
    world.dispatcher.SetDaemonRank(1, MANY_DAEMONS - 1);
    for (std::size_t i = 0; i < SERVERS; ++i)
      world.Find(i)->SetRemoteInFlight(2 * SLOTS);
    world.Send();
    RunFor(Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.Received());
  }

  // Guards against a daemon that uses the totals while it has no list, as after its start.
  void NumberOfDaemonsAppliesWithoutAList()
  {
    World world;
    world.dispatcher.SetDaemonRank(std::nullopt, 0);
    world.dispatcher.SetDaemons(MANY_DAEMONS);
    world.SendInTurn(1);
    CPPUNIT_ASSERT(world.dispatcher.GetEvenLoad().IsActive(POOL));
    CPPUNIT_ASSERT_EQUAL(1.0, world.Gauge("place_share_own_slot"));
  }

  // Guards against all daemons that start together owning the same slots.
  void DaemonsWithoutAListHaveDifferentRanks()
  {
    std::set<std::vector<std::size_t>> used;
    for (const char* self : {"vm-a", "vm-b", "vm-c", "vm-d", "vm-e", "vm-f"})
    {
      World world;
      DispatcherSettings settings = world.dispatcher.Settings();
      settings.self = Common::VmId(self);
      world.dispatcher.Configure(settings);
      world.dispatcher.SetDaemons(MANY_DAEMONS);
      world.SendInTurn(2);
      used.insert(world.ByServer());
    }
    CPPUNIT_ASSERT(used.size() > 1);
  }

  // Guards against a share of one daemon, and so against the old routing, when the list is lost.
  void LastListAppliesAfterItIsLost()
  {
    World world;
    world.dispatcher.SetDaemonRank(1, MANY_DAEMONS);
    world.SendInTurn(1);
    world.dispatcher.SetDaemonRank(std::nullopt, 0);
    world.dispatcher.SetDaemons(1);
    world.SendInTurn(1);
    CPPUNIT_ASSERT(world.dispatcher.GetEvenLoad().IsActive(POOL));
  }

  // Guards against a share that outlives the list that it was derived from.
  void ChangedListMovesTheShare()
  {
    World world;
    world.dispatcher.SetDaemonRank(1, MANY_DAEMONS);
    world.SendInTurn(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.ByServer()[2]);
    world.dispatcher.SetDaemonRank(0, MANY_DAEMONS);
    world.SendInTurn(2);
    CPPUNIT_ASSERT((world.ByServer() == std::vector<std::size_t>{1, 1, 1, 0}));
    // Twelve daemons: one slot each, rank 3 owns the first one of the fourth server.
    world.dispatcher.SetDaemonRank(3, 2 * MANY_DAEMONS);
    world.SendInTurn(1);
    CPPUNIT_ASSERT((world.ByServer() == std::vector<std::size_t>{1, 1, 1, 1}));
    // Fewer daemons than the condition requires.
    world.dispatcher.SetDaemonRank(0, 2);
    world.SendInTurn(1);
    CPPUNIT_ASSERT(!world.dispatcher.GetEvenLoad().IsActive(POOL));
  }

  // Guards against requests that wait while only this daemon's own slots are busy.
  void RequestOverflowsWhenOwnSlotsAreBusy()
  {
    World world;
    world.dispatcher.SetDaemonRank(1, MANY_DAEMONS);
    world.SendInTurn(SERVERS);
    CPPUNIT_ASSERT((world.ByServer() == std::vector<std::size_t>{1, 1, 1, 1}));
    CPPUNIT_ASSERT_EQUAL(2.0, world.Gauge("place_share_own_slot"));
    CPPUNIT_ASSERT_EQUAL(2.0, world.Gauge("place_share_overflow"));
    CPPUNIT_ASSERT_EQUAL(1.0, world.Gauge("place_share_largest_excess"));
  }

  // Guards against a daemon that fills the queues of servers without bound.
  void OverflowIsBoundedByTheLimit()
  {
    World world;
    world.dispatcher.SetDaemonRank(1, MANY_DAEMONS);
    world.SendInTurn(SERVERS * SLOTS * 2);
    world.Send();
    RunFor(Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(SERVERS * SLOTS * 2, world.Received());
    for (const std::size_t count : world.ByServer())
      CPPUNIT_ASSERT_EQUAL(std::size_t{SLOTS * 2}, count);
  }

  // Guards against requests to a failing server, and against shares that overlap with those of
  // daemons that have not ejected it.
  void EjectedServerGetsNoRequestsAndKeepsItsSlots()
  {
    World world;
    world.dispatcher.SetDaemonRank(1, MANY_DAEMONS);
    constexpr int FAILURES = 50;
    for (int i = 0; i < FAILURES; ++i)
      world.Find(2)->Health().NoteFailure(Common::Now());
    CPPUNIT_ASSERT(world.Find(2)->Health().IsEjected(Common::Now()));
    world.SendInTurn(1);
    CPPUNIT_ASSERT((world.ByServer() == std::vector<std::size_t>{0, 0, 0, 1}));
    world.SendInTurn(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.ByServer()[2]);
    CPPUNIT_ASSERT_EQUAL(1.0, world.Gauge("place_share_own_slot"));
    CPPUNIT_ASSERT_EQUAL(1.0, world.Gauge("place_share_overflow"));
  }

  // Guards against requests to a draining server, and against slots of it that nobody uses.
  void DrainingServerGetsNoRequestsAndLeavesTheShares()
  {
    World world;
    world.dispatcher.SetDaemonRank(0, MANY_DAEMONS);
    world.Find(0)->Drain().NoteAnnounced(Common::Now());
    // Nine slots and six daemons: rank 0 owns the first slot of the second server.
    world.SendInTurn(1);
    CPPUNIT_ASSERT((world.ByServer() == std::vector<std::size_t>{0, 1, 0, 0}));
    CPPUNIT_ASSERT_EQUAL(1.0, world.Gauge("place_share_own_slot"));
    world.SendInTurn(2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.ByServer()[0]);
  }

  // Guards against rejections by servers that crash if they reject too much.
  void RejectionBoundStillLimitsRequests()
  {
    World world;
    world.dispatcher.SetDaemonRank(1, MANY_DAEMONS);
    world.dispatcher.SetDaemons(MANY_DAEMONS);
    for (std::size_t i = 0; i < SERVERS; ++i)
      world.Find(i)->SetRejectionBound(1.0);
    for (std::size_t i = 0; i < SERVERS * SLOTS * 2; ++i)
      world.Send();
    RunFor(Milliseconds(200));
    for (const std::size_t count : world.ByServer())
      CPPUNIT_ASSERT(count <= SLOTS);
  }

  // Guards against overflow to servers whose responses take long.
  void SlowServerGetsLessOverflow()
  {
    Directory directory(1, "here");
    directory.Respond("fast", Milliseconds(100));
    directory.Respond("slow", Milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::string("own"), directory.Choose());
    constexpr int OVERFLOW_REQUESTS = 12;
    std::map<std::string, int> chosen;
    for (int i = 0; i < OVERFLOW_REQUESTS; ++i)
    {
      const std::string name = directory.Choose();
      ++chosen[name];
      directory.directory.Find(InstanceId(name))->NoteEnd({}, directory.now, directory.now);
    }
    CPPUNIT_ASSERT(chosen["slow"] <= OVERFLOW_REQUESTS / 4);
    CPPUNIT_ASSERT(chosen["fast"] > chosen["slow"]);
  }

  // Guards against a clump that piles up where requests happened to wait less: in a run with real
  // daemons, twelve requests at a time took 1.36 times as long as in one queue.
  void WaitsAtEqualServersDoNotDirectTheOverflow()
  {
    Directory directory(10, "here");
    directory.Respond("fast", Milliseconds(100));
    directory.Respond("slow", Milliseconds(115));
    directory.CheckOverflowAlternates();
  }

  // Guards against a distance that all servers have in common, next to which the requests at them
  // count for less than the estimated speeds.
  void RemoteServersShareTheOverflow()
  {
    Directory directory(SLOTS, "there");
    directory.Respond("fast", Milliseconds(100));
    directory.Respond("slow", Milliseconds(128));
    directory.CheckOverflowAlternates();
  }

private:
  /// Three servers; this daemon owns one slot of "own" and none of the others.
  struct Directory
  {
    Directory(int slots, const char* data_centre)
    {
      even_load.SetSelf(Common::VmId("vm"), Common::DataCentreId("here"));
      for (const char* name : {"fast", "own", "slow"})
      {
        ServerEntry entry;
        entry.instance = InstanceId(name);
        entry.pool = POOL;
        entry.slots = slots;
        entry.data_centre = Common::DataCentreId(data_centre);
        directory.Put(entry);
        servers.push_back(directory.Find(entry.instance));
      }
      Pool pool;
      pool.id = POOL;
      // Three daemons for each slot, so that each owns one slot.
      even_load.SetRank(1, 3 * static_cast<std::size_t>(slots));
      even_load.Refresh(pool);
      CPPUNIT_ASSERT(even_load.IsActive(POOL));
    }

    void Respond(const char* name, Milliseconds took)
    {
      constexpr int RESPONSES = 10;
      for (int i = 0; i < RESPONSES; ++i)
        even_load.NoteServed(*directory.Find(InstanceId(name)), took, now);
    }

    std::string Choose()
    {
      const ServerPtr chosen = even_load.Choose(
          POOL, servers,
          [](const Server& server) {
            return 2 * server.Entry().slots;
          },
          now);
      CPPUNIT_ASSERT(chosen != nullptr);
      chosen->NoteStart({}, now);
      return chosen->Entry().instance.Get();
    }

    void CheckOverflowAlternates()
    {
      CPPUNIT_ASSERT_EQUAL(std::string("own"), Choose());
      std::set<std::string> overflow;
      for (int i = 0; i < 3; ++i)
        overflow.insert(Choose());
      CPPUNIT_ASSERT((overflow == std::set<std::string>{"fast", "own", "slow"}));
    }

    ServerDirectory directory;
    EvenLoad even_load{directory};
    std::vector<ServerPtr> servers;
    Common::TimePoint now = Common::Now();
  };
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvenLoadTest);
} // namespace

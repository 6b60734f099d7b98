// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Tests the hubs of a lease holder and of other daemons, connected over the loopback interface.

#include "Orders/Hub.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Tunnels/Messages.h"
#include "UnitTests/Support/Loopback.h"

namespace
{
using namespace Orders;
using namespace Gateway;
using Common::Milliseconds;
using UnitTests::RunFor;
using UnitTests::RunUntil;

constexpr int ADAPTERS = 8;
const PoolId POOL("p");

InstanceId InstanceOf(int server)
{
  return InstanceId(std::to_string(1000000000 + server));
}

Artifact AdapterOf(int server, int adapter)
{
  return {ModelId(std::to_string(server) + "-model"), AdapterId(std::to_string(adapter) + "a")};
}

/// The hub of one daemon with one shared table, whose contents the test sets.
class Daemon
{
public:
  explicit Daemon(const char* name)
      : endpoint(UnitTests::FreeEndpoint()),
        order_manager(dispatcher.Servers(), {}, {}),
        hub({Common::VmId(name), Common::Incarnation("run"), endpoint}, dispatcher, order_manager)
  {
    order_manager.SetPermission([] {
      return std::optional(OrderPermit{1, Common::TimePoint::max()});
    });
    Fleet::TableAccess table;
    table.version = [this] {
      return version;
    };
    table.changes_since = [this](std::int64_t since) {
      changes_asked_since.push_back(since);
      return changes;
    };
    table.response_age = [] {
      return Milliseconds(0);
    };
    table.proven_at = [this] {
      return proven_at;
    };
    table.apply_relayed_proof = [this](Common::TimePoint moment) {
      proven_at = std::max(proven_at.value_or(moment), moment);
    };
    table.apply_relayed = [this](std::int64_t from, std::int64_t to, const auto&) {
      if (version < from)
        return false;
      version = std::max(version, to);
      return true;
    };
    table.set_relayed = [this](bool now, Fleet::DirectReadReason why) {
      relayed = now;
      reason = why;
    };
    table.set_wait = [](Milliseconds) {};
    table.set_batch_delay = [](Milliseconds) {};
    table.snapshot = [this] {
      return Fleet::TableSnapshot{version, {}};
    };
    table.apply_snapshot = [](const Fleet::TableSnapshot&) {};
    table.is_settled = [] {
      return true;
    };
    hub.SetTables({table});
    CPPUNIT_ASSERT(hub.Start());
  }

  /// Adds servers with one model each. With `with_adapters` the adapters are known as loaded.
  void AddServers(int count, bool with_adapters)
  {
    for (int server = 0; server < count; ++server)
    {
      ServerEntry entry;
      entry.instance = InstanceOf(server);
      entry.pool = PoolId("p");
      LoadedModel model{AdapterOf(server, 0).model, {}};
      for (int adapter = 0; with_adapters && adapter < ADAPTERS; ++adapter)
        model.adapters.push_back(AdapterOf(server, adapter).adapter);
      entry.models.push_back(std::move(model));
      dispatcher.Servers().Put(entry);
    }
    auto configuration = std::make_shared<Configuration>();
    order_manager.SetConfiguration(configuration);
    order_manager.Plan(Common::Now());
  }

  Http::Endpoint endpoint;
  std::int64_t version = 5;
  std::optional<Common::TimePoint> proven_at;
  std::optional<Fleet::RowChanges> changes = Fleet::RowChanges{5, {}};
  std::vector<std::int64_t> changes_asked_since;
  bool relayed = false;
  Fleet::DirectReadReason reason = Fleet::DirectReadReason::NoHolder;
  Dispatcher dispatcher{DispatcherSettings{}};
  OrderManager order_manager;
  Hub hub;
};

class HubTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HubTest);
  CPPUNIT_TEST(PlacementsOfManyServersArrive);
  CPPUNIT_TEST(OmittedRowIsReadFromThePlatformAtOnce);
  CPPUNIT_TEST(DaemonWithRequestsAtManyServersCanReport);
  CPPUNIT_TEST(DaemonWithoutACopyIsSentNoChanges);
  CPPUNIT_TEST(FollowerProofIsNoNewerThanTheHolders);
  CPPUNIT_TEST(QueuedAnnouncementProvesOnlyItsWriteTime);
  CPPUNIT_TEST(NewHolderReadsTheTablesDespiteALateAnnouncement);
  CPPUNIT_TEST(NewHolderGrantsUnits);
  CPPUNIT_TEST(HolderGrantsUnitsUpToTheBound);
  CPPUNIT_TEST(DaemonsKnowNoHelpers);
  CPPUNIT_TEST(HelpersAreForgottenWithTheHolder);
  CPPUNIT_TEST(OriginOfAStreamIsUnknownToOtherDaemons);
  CPPUNIT_TEST(OriginIsLostWithTheDaemonThroughWhichTheStreamBegan);
  CPPUNIT_TEST(OriginIsUnknownWhileTheHolderIsSilent);
  CPPUNIT_TEST(OriginIsUnknownWithoutAHolder);
  CPPUNIT_TEST(CrashesReportedByTwoDaemonsBlockARequestEverywhere);
  CPPUNIT_TEST(NewHolderReceivesCrashesFromAllDaemons);
  CPPUNIT_TEST(HubBehindAnAddressTranslationListensElsewhere);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a proof that is newer at a follower than at the holder: the follower uses the
  /// time at which the holder's copy was proven, never a later one, although the datagram takes
  /// time.
  void FollowerProofIsNoNewerThanTheHolders()
  {
    Daemon holder("a");
    Daemon other("b");
    AssignHolder(holder, other);
    const auto proven = Common::Now() - Milliseconds(700);
    holder.proven_at = proven;
    CPPUNIT_ASSERT(RunUntil([&] {
      return other.proven_at.has_value();
    }));
    CPPUNIT_ASSERT(*other.proven_at <= proven);
    CPPUNIT_ASSERT(RunUntil([&] {
      return *other.proven_at > proven - Milliseconds(100);
    }));
  }

  /// A daemon that had been suspended treated old announcements as new ones and therefore accepted
  /// keys that had been revoked. While the daemon does not run for a second, the holder's datagrams
  /// wait in its socket, each with a proof that was fresh when it was written. Its age was counted
  /// from the arrival; it has to be counted from the write time, for which the echo of the daemon's
  /// own report gives a lower bound.
  /// Guards against a holder whose link is filled by the entries of a starting fleet, sent to
  /// daemons that have no copy to apply them to.
  void DaemonWithoutACopyIsSentNoChanges()
  {
    Daemon holder("a");
    Daemon other("b");
    other.version = 0;
    AssignHolder(holder, other);
    RunFor(Milliseconds(50));
    for (int i = 0; i < 3; ++i)
    {
      ++holder.version;
      holder.hub.ScheduleAnnouncement();
      RunFor(Milliseconds(30));
    }
    CPPUNIT_ASSERT(holder.changes_asked_since.size() >= 3);
    CPPUNIT_ASSERT(std::ranges::all_of(holder.changes_asked_since, [](std::int64_t since) {
      return since == 0;
    }));
  }

  void QueuedAnnouncementProvesOnlyItsWriteTime()
  {
    Daemon holder("a");
    Daemon other("b");
    AssignHolder(holder, other);
    CPPUNIT_ASSERT(RunUntil([&] {
      return other.relayed;
    }));
    holder.proven_at = Common::Now();
    holder.hub.ScheduleAnnouncement();
    // Both hubs share this thread: after the announcement is written neither runs, then only the
    // reader.
    RunFor(Milliseconds(10));
    const auto written = Common::Now();
    other.proven_at.reset();
    holder.changes = Fleet::RowChanges{5, {{"k", 6, false, 0, "x"}}};
    holder.version = 6;
    holder.hub.ScheduleAnnouncement();
    CPPUNIT_ASSERT(RunUntil([&] {
      return other.version == 6;
    }));
    CPPUNIT_ASSERT(other.proven_at.has_value());
    CPPUNIT_ASSERT(*other.proven_at <= written);
  }

  /// A daemon that had acquired the lease learned of it while it handled the last announcement of
  /// the former holder. It took its tables for relayed and never read them again: no orders, and
  /// outdated tables for all daemons, until the lease changed hands.
  void NewHolderReadsTheTablesDespiteALateAnnouncement()
  {
    Daemon former("a");
    Daemon next("b");
    AssignHolder(former, next);
    CPPUNIT_ASSERT(RunUntil([&] {
      return next.relayed;
    }));
    bool holds = false;
    next.hub.OnLeaseAnnouncement([&](const auto&, const auto&, const auto&) {
      next.hub.SetHolder(std::nullopt, LeaseAnnouncement{2, 2, Milliseconds(60000)});
      holds = true;
    });
    former.hub.ScheduleAnnouncement();
    CPPUNIT_ASSERT(RunUntil([&] {
      return holds;
    }));
    RunFor(Milliseconds(100));
    CPPUNIT_ASSERT(!next.relayed);
    CPPUNIT_ASSERT(next.reason == Fleet::DirectReadReason::IsHolder);
  }

  static void SetAccounts(Daemon& daemon)
  {
    Accounts::AccountSpec spec;
    spec.account.name = Accounts::AccountName("a");
    spec.account.limit = {10000, 10000, Accounts::UsageUnit::Tokens, 200};
    auto configuration = std::make_shared<Configuration>();
    configuration->version = 1;
    configuration->accounts = *Accounts::Directory::Build({spec});
    daemon.dispatcher.SetConfiguration(configuration);
  }

  /// Requests units until some are granted, as a client request does.
  static bool GetsUnits(Daemon& daemon, double cost)
  {
    const Accounts::Account& account =
        daemon.dispatcher.CurrentConfiguration()->accounts->All().front();
    auto& allowances = daemon.dispatcher.Allowances();
    if (allowances.Take(account, cost, Common::Now(), true) == Accounts::UsageVerdict::Granted)
      return true;
    allowances.BeginWait(account.name, cost);
    daemon.hub.ScheduleReport();
    bool got = false;
    RunUntil(
        [&] {
          got = got || allowances.Take(account, cost, Common::Now(), false) ==
                           Accounts::UsageVerdict::Granted;
          return got;
        },
        Milliseconds(1500));
    allowances.EndWait(account.name, cost);
    return got;
  }

  /// After a change of the lease holder, 100 to 200 requests per second of all accounts, mostly
  /// small ones, were refused for their limits. A new holder's buckets start below zero and fill up
  /// to the stock. The hub did not pass the usage bound to the allowance allocator, so that a stock
  /// was one second of the rate: two requests for a small account, where the bound allows twenty.
  void HolderGrantsUnitsUpToTheBound()
  {
    Daemon holder("a");
    Daemon other("b");
    for (Daemon* daemon : {&holder, &other})
    {
      SetAccounts(*daemon);
      DispatcherSettings settings;
      settings.usage_bound = {Milliseconds(8000), 0.1, 17000};
      daemon->dispatcher.Configure(settings);
    }
    AssignHolder(holder, other);
    RunFor(Milliseconds(2500));
    CPPUNIT_ASSERT(GetsUnits(other, 15000));
  }

  void NewHolderGrantsUnits()
  {
    Daemon first("a");
    Daemon second("b");
    Daemon other("c");
    for (Daemon* daemon : {&first, &second, &other})
      SetAccounts(*daemon);
    first.hub.SetHolder(std::nullopt, LeaseAnnouncement{1, 1, Milliseconds(60000)});
    second.hub.SetHolder(first.endpoint, std::nullopt);
    other.hub.SetHolder(first.endpoint, std::nullopt);
    RunFor(Milliseconds(1500));
    for (int i = 0; i < 5; ++i)
      CPPUNIT_ASSERT(GetsUnits(other, 1000));
    first.hub.SetHolder(second.endpoint, std::nullopt);
    second.hub.SetHolder(std::nullopt, LeaseAnnouncement{3352, 2, Milliseconds(60000)});
    other.hub.SetHolder(second.endpoint, std::nullopt);
    RunFor(Milliseconds(1500));
    for (int i = 0; i < 8; ++i)
      CPPUNIT_ASSERT(GetsUnits(other, 1000));
  }

  /// Each of the three daemons, also the holder, knows the two others.
  void DaemonsKnowNoHelpers()
  {
    Daemon holder("a");
    Daemon second("b");
    Daemon third("c");
    AssignHolder(holder, second);
    third.hub.SetHolder(holder.endpoint, std::nullopt);
    const auto knows = [](Daemon& daemon, const Daemon& other) {
      return std::ranges::count(daemon.dispatcher.Paths().Helpers(),
                                Tunnels::TunnelEndpoint(other.endpoint)) == 1;
    };
    CPPUNIT_ASSERT(RunUntil(
        [&] {
          return knows(holder, second) && knows(holder, third) && knows(second, holder) &&
                 knows(second, third) && knows(third, holder) && knows(third, second);
        },
        Milliseconds(6000)));
    CPPUNIT_ASSERT(!knows(second, second));
  }

  void HelpersAreForgottenWithTheHolder()
  {
    Daemon holder("a");
    Daemon second("b");
    AssignHolder(holder, second);
    CPPUNIT_ASSERT(RunUntil(
        [&] {
          return !second.dispatcher.Paths().Helpers().empty();
        },
        Milliseconds(6000)));
    second.hub.SetHolder(std::nullopt, std::nullopt);
    RunFor(Milliseconds(200));
    CPPUNIT_ASSERT(!second.dispatcher.Paths().Helpers().empty());
  }

  /// Every daemon, also the holder, learns the origin from the one through which the stream began.
  void OriginOfAStreamIsUnknownToOtherDaemons()
  {
    Daemon holder("a");
    Daemon second("b");
    Daemon third("c");
    AssignHolder(holder, second);
    third.hub.SetHolder(holder.endpoint, std::nullopt);
    RunFor(Milliseconds(600));
    const SoftwareVersion version("v");
    const StreamKey stream = KeyOf(Accounts::AccountName(), "id-1");
    second.dispatcher.NoteStream(stream, POOL, version, std::nullopt);
    for (Daemon* daemon : {&third, &holder})
    {
      daemon->dispatcher.QueryOrigin(stream, POOL);
      CPPUNIT_ASSERT(RunUntil([&] {
        const auto known = daemon->dispatcher.Origins().Find(stream, Common::Now());
        return known && known->origin.version == KeyOf(POOL, version);
      }));
    }
    const StreamKey unknown = KeyOf(Accounts::AccountName(), "id-2");
    third.dispatcher.QueryOrigin(unknown, POOL);
    RunFor(Milliseconds(100));
    CPPUNIT_ASSERT(!third.dispatcher.Origins().Find(unknown, Common::Now()));
  }

  /// Records that a stream has begun at a server with this software version.
  static void BeginStream(Daemon& daemon, const char* request, const SoftwareVersion& version)
  {
    daemon.dispatcher.NoteStream(KeyOf(Accounts::AccountName(), request), POOL, version,
                                 std::nullopt);
  }

  /// Returns whether the daemon finds out the version within the time that a request waits for it.
  static bool FindsOrigin(Daemon& daemon, const char* request, const SoftwareVersion& version)
  {
    const StreamKey stream = KeyOf(Accounts::AccountName(), request);
    daemon.dispatcher.QueryOrigin(stream, POOL);
    return RunUntil(
        [&] {
          const auto known = daemon.dispatcher.Origins().Find(stream, Common::Now());
          return known && known->origin.version == KeyOf(POOL, version);
        },
        Milliseconds(1000));
  }

  void OriginIsLostWithTheDaemonThroughWhichTheStreamBegan()
  {
    Daemon holder("a");
    auto second = std::make_unique<Daemon>("b");
    Daemon third("c");
    Daemon fourth("d");
    AssignHolder(holder, *second);
    third.hub.SetHolder(holder.endpoint, std::nullopt);
    fourth.hub.SetHolder(holder.endpoint, std::nullopt);
    RunFor(Milliseconds(1500));
    const SoftwareVersion version("v");
    BeginStream(*second, "id-1", version);
    RunFor(Milliseconds(100));
    second.reset();
    for (Daemon* daemon : {&third, &fourth, &holder})
      CPPUNIT_ASSERT(FindsOrigin(*daemon, "id-1", version));
  }

  /// The holder is suspended, so that datagrams to it are not answered.
  void OriginIsUnknownWhileTheHolderIsSilent()
  {
    auto holder = std::make_unique<Daemon>("a");
    Daemon second("b");
    Daemon third("c");
    AssignHolder(*holder, second);
    third.hub.SetHolder(holder->endpoint, std::nullopt);
    RunFor(Milliseconds(1500));
    holder.reset();
    const SoftwareVersion version("v");
    BeginStream(second, "id-1", version);
    CPPUNIT_ASSERT(FindsOrigin(third, "id-1", version));
  }

  void OriginIsUnknownWithoutAHolder()
  {
    Daemon holder("a");
    Daemon second("b");
    Daemon third("c");
    AssignHolder(holder, second);
    third.hub.SetHolder(holder.endpoint, std::nullopt);
    RunFor(Milliseconds(1500));
    for (Daemon* daemon : {&holder, &second, &third})
      daemon->hub.SetHolder(std::nullopt, std::nullopt);
    const SoftwareVersion version("v");
    BeginStream(second, "id-1", version);
    CPPUNIT_ASSERT(FindsOrigin(third, "id-1", version));
  }

  static constexpr Crashes::Fingerprint CRASHING_REQUEST{7, 7, 7};

  /// A server that the daemon knows crashes right after it got the crashing request.
  static void CrashServer(Daemon& daemon, int server)
  {
    daemon.AddServers(server + 1, false);
    const auto found = daemon.dispatcher.Servers().Find(InstanceOf(server));
    daemon.dispatcher.GetCrashDetector().NoteConnectionEnded(
        found, {CRASHING_REQUEST, Common::Now(), std::nullopt, std::nullopt});
    daemon.dispatcher.GetCrashDetector().NoteConnectionRefused(found);
    RunFor(Milliseconds(5));
  }
  static bool IsBlocked(Daemon& daemon)
  {
    return daemon.dispatcher.CrashCases().BlockStatusOf(CRASHING_REQUEST, Common::Now()).blocked;
  }

  /// A request crashed servers at several VMs and was still forwarded, because each VM saw at most
  /// two of the crashes.
  void CrashesReportedByTwoDaemonsBlockARequestEverywhere()
  {
    Daemon holder("a");
    Daemon first("b");
    Daemon second("c");
    AssignHolder(holder, first);
    second.hub.SetHolder(holder.endpoint, std::nullopt);
    CrashServer(first, 0);
    CrashServer(second, 1);
    CrashServer(first, 2);
    CPPUNIT_ASSERT(RunUntil([&] {
      return IsBlocked(holder) && IsBlocked(first) && IsBlocked(second);
    }));
  }

  /// The holder is lost before it announced the crashes; each daemon reports to the next holder
  /// what it observed itself.
  void NewHolderReceivesCrashesFromAllDaemons()
  {
    Daemon first("a");
    Daemon second("b");
    Daemon other("c");
    first.hub.SetHolder(std::nullopt, LeaseAnnouncement{1, 1, Milliseconds(60000)});
    second.hub.SetHolder(first.endpoint, std::nullopt);
    other.hub.SetHolder(first.endpoint, std::nullopt);
    CrashServer(other, 0);
    CrashServer(second, 1);
    RunFor(Milliseconds(600));
    first.hub.SetHolder(second.endpoint, std::nullopt);
    second.hub.SetHolder(std::nullopt, LeaseAnnouncement{3352, 2, Milliseconds(60000)});
    other.hub.SetHolder(second.endpoint, std::nullopt);
    CrashServer(other, 2);
    CPPUNIT_ASSERT(RunUntil([&] {
      return IsBlocked(second) && IsBlocked(other) && IsBlocked(first);
    }));
  }

  static void AssignHolder(Daemon& holder, Daemon& other)
  {
    holder.hub.SetHolder(std::nullopt, LeaseAnnouncement{1, 1, Milliseconds(3000)});
    other.hub.SetHolder(holder.endpoint, std::nullopt);
  }

  /// Daemons never learned which adapters are loaded. With 900 servers of eight adapters each, the
  /// placements in one announcement took some 110 KB, which exceeds a datagram and was not sent,
  /// while the smaller announcements between its repeats arrived. The size of an announcement's
  /// placements has to be limited.
  void PlacementsOfManyServersArrive()
  {
    constexpr int SERVERS = 900;
    Daemon holder("a");
    Daemon other("b");
    holder.AddServers(SERVERS, true);
    other.AddServers(SERVERS, false);
    AssignHolder(holder, other);
    CPPUNIT_ASSERT(RunUntil([&] {
      return other.hub.HasHolderContact();
    }));
    const auto knows_all = [&] {
      const auto now = Common::Now();
      for (int server = 0; server < SERVERS; ++server)
        for (int adapter = 0; adapter < ADAPTERS; ++adapter)
          if (!other.dispatcher.Servers()
                   .Find(InstanceOf(server))
                   ->Holds(AdapterOf(server, adapter), now))
            return false;
      return true;
    };
    CPPUNIT_ASSERT(RunUntil(knows_all, Milliseconds(5000)));
  }

  /// A large configuration was applied 0.7 s later than possible. The holder's announcement leaves
  /// the row out, and the daemon waited for a repeat, as after a lost datagram, before it read the
  /// row from the platform. `table-asked` was logged 0.7 s after the write of each large
  /// configuration.
  void OmittedRowIsReadFromThePlatformAtOnce()
  {
    Daemon holder("a");
    Daemon other("b");
    AssignHolder(holder, other);
    CPPUNIT_ASSERT(RunUntil([&] {
      return other.relayed;
    }));
    holder.version = 6;
    holder.changes = Fleet::RowChanges{5, {{"c", 6, false, 0, std::string(1 << 20, 'x')}}};
    holder.hub.ScheduleAnnouncement();
    CPPUNIT_ASSERT(RunUntil(
        [&] {
          return !other.relayed;
        },
        Milliseconds(200)));
    CPPUNIT_ASSERT(other.reason == Fleet::DirectReadReason::RowsLeftOut);
  }

  /// The holder did not know a daemon, whose requests for models then waited without effect. With a
  /// request open at each of 3,000 servers, the daemon's reports took some 120 KB, which exceeds a
  /// datagram, so that none was sent. The size of a report has to be limited.
  void DaemonWithRequestsAtManyServersCanReport()
  {
    constexpr int SERVERS = 3000;
    Daemon holder("a");
    Daemon other("b");
    other.AddServers(SERVERS, false);
    const auto now = Common::Now();
    for (int server = 0; server < SERVERS; ++server)
      other.dispatcher.Servers().Find(InstanceOf(server))->NoteStart(AdapterOf(server, 0), now);
    const auto busiest = other.dispatcher.Servers().Find(InstanceOf(SERVERS - 1));
    busiest->NoteStart(AdapterOf(SERVERS - 1, 0), now);
    AssignHolder(holder, other);
    CPPUNIT_ASSERT(RunUntil([&] {
      return holder.hub.Daemons() == 2;
    }));
    // The least important lines are dropped.
    const auto& loads = holder.order_manager.InFlightByServer().All();
    CPPUNIT_ASSERT(loads.size() > 500);
    CPPUNIT_ASSERT_EQUAL(2, loads.at(InstanceOf(SERVERS - 1)).in_flight);
  }

  void HubBehindAnAddressTranslationListensElsewhere()
  {
    Dispatcher dispatcher{DispatcherSettings{}};
    OrderManager order_manager(dispatcher.Servers(), {}, {});
    HubSettings settings{Common::VmId("a"), Common::Incarnation("run"), UnitTests::FreeEndpoint()};
    settings.listen = UnitTests::FreeEndpoint();
    Hub hub(settings, dispatcher, order_manager);
    CPPUNIT_ASSERT(hub.Start());
    CPPUNIT_ASSERT(IsTaken(*settings.listen));
    CPPUNIT_ASSERT(!IsTaken(settings.local));
    CPPUNIT_ASSERT(hub.Handover().Local() == *settings.listen);
  }

  /// True if a socket is bound to this UDP endpoint.
  static bool IsTaken(const Http::Endpoint& endpoint)
  {
    const int fd = socket(AF_INET, SOCK_DGRAM, 0);
    const sockaddr_in address = endpoint.ToSockaddr();
    const bool is_bound =
        bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    close(fd);
    return !is_bound;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HubTest);
} // namespace

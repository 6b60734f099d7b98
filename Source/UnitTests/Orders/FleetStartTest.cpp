// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Many daemons that start together, connected over the loopback interface: the calls to the
// platform's store, counted against the number of daemons and backend servers.

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Orders/Coordination.h"
#include "UnitTests/Support/Loopback.h"

namespace
{
using namespace Orders;
using Common::Milliseconds;
using UnitTests::RunFor;
using UnitTests::RunUntil;

constexpr const char* OPERATOR_TABLE = "operator";
constexpr const char* SERVERS_TABLE = "servers";
constexpr const char* LEASE_TABLE = "lease";
constexpr std::size_t PAGE_ROWS = 100;

/// The platform's store, which counts the calls.
class CountingStore
{
public:
  using Done = std::function<void(Common::Result<Fleet::TableRows>)>;

  explicit CountingStore(std::size_t servers)
  {
    m_tables[OPERATOR_TABLE].push_back({"config", "a configuration", ++m_version, false});
    AddServers(servers);
  }

  void AddServers(std::size_t count)
  {
    auto& rows = m_tables[SERVERS_TABLE];
    for (std::size_t i = 0; i < count; ++i)
      rows.push_back({"server-" + std::to_string(100000 + rows.size()),
                      "entry of server " + std::to_string(rows.size()), ++m_version, false});
    NotifyWaiting();
  }

  void Read(const std::string& table, const std::string& first_key, Done done)
  {
    ++reads[table];
    Fleet::TableRows page;
    page.version = m_version;
    for (const Fleet::TableRow& row : m_tables[table])
      if (row.key >= first_key && page.rows.size() <= PAGE_ROWS)
        page.rows.push_back(row);
    page.more = page.rows.size() > PAGE_ROWS;
    if (page.more)
      page.rows.pop_back();
    Answer(std::move(done), page);
  }

  void Follow(const std::string& table, std::int64_t after, Milliseconds wait, Done done)
  {
    ++follows[table];
    if (AnswerOtherEra(after, done))
      return;
    if (AnswerChanges(table, after, done))
      return;
    const std::size_t number = ++m_calls;
    m_waiting[number] = {table, after, done};
    const std::weak_ptr<bool> alive = m_alive;
    Common::Reactor::Get().After(wait, [this, alive, number] {
      if (alive.expired())
        return;
      const auto found = m_waiting.find(number);
      if (found == m_waiting.end())
        return;
      const Waiting call = found->second;
      m_waiting.erase(found);
      Answer(call.done, Fleet::TableRows{{}, m_version, false});
    });
  }

  void ReplaceLease(std::int64_t version, const LeaseRecord& record,
                    std::function<void(Common::Result<std::int64_t>)> done)
  {
    ++writes;
    auto& rows = m_tables[LEASE_TABLE];
    const std::int64_t current = rows.empty() ? 0 : rows.front().version;
    if (current != version)
    {
      m_soon.Call([done] {
        done(Common::Failure{Common::FailureKind::Conflict, "another version"});
      });
      return;
    }
    lease = record;
    rows = {{"lease", record.holder.Get(), ++m_version, false}};
    m_soon.Call([done, version = m_version] {
      done(version);
    });
    NotifyWaiting();
  }

  /// Comes back from a copy that is some versions older, with a lease row that names nobody. The
  /// calls that wait for changes fail.
  void Restore()
  {
    const std::int64_t era = Fleet::EraOf(m_version) + 1;
    m_version = Fleet::VersionIn(era, Fleet::StoreNumber(m_version) - 1);
    for (auto& [table, rows] : m_tables)
      for (Fleet::TableRow& row : rows)
        row.version = Fleet::VersionIn(era, Fleet::StoreNumber(row.version));
    lease = LeaseRecord{};
    NotifyWaiting();
  }

  int ReadsOfServers() { return reads[SERVERS_TABLE]; }
  int AllCalls() const
  {
    int calls = writes;
    for (const auto& [table, count] : reads)
      calls += count;
    for (const auto& [table, count] : follows)
      calls += count;
    return calls;
  }

  std::map<std::string, int> reads;
  std::map<std::string, int> follows;
  int writes = 0;
  LeaseRecord lease;

private:
  struct Waiting
  {
    std::string table;
    std::int64_t after = 0;
    Done done;
  };

  void NotifyWaiting()
  {
    const auto waiting = std::exchange(m_waiting, {});
    for (const auto& [number, call] : waiting)
      if (!AnswerOtherEra(call.after, call.done) &&
          !AnswerChanges(call.table, call.after, call.done))
        m_waiting.emplace(number, call);
  }

  bool AnswerOtherEra(std::int64_t after, const Done& done) const
  {
    if (Fleet::EraOf(after) == Fleet::EraOf(m_version))
      return false;
    Answer(done, Common::Failure{Common::FailureKind::NotFound, "another era"});
    return true;
  }

  bool AnswerChanges(const std::string& table, std::int64_t after, const Done& done)
  {
    Fleet::TableRows changes;
    changes.version = m_version;
    for (const Fleet::TableRow& row : m_tables[table])
      if (row.version > after)
        changes.rows.push_back(row);
    if (changes.rows.empty())
      return false;
    Answer(done, changes);
    return true;
  }

  void Answer(Done done, const Common::Result<Fleet::TableRows>& answer) const
  {
    m_soon.Call([done = std::move(done), answer] {
      done(answer);
    });
  }

  std::map<std::string, std::vector<Fleet::TableRow>> m_tables;
  std::int64_t m_version = 0;
  std::size_t m_calls = 0;
  std::map<std::size_t, Waiting> m_waiting;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
  UnitTests::DeferredCaller m_soon;
};

/// One daemon with followers of all tables.
class Daemon
{
public:
  Daemon(CountingStore& store, int number, int daemons)
      : m_store(store),
        m_operator_rows(store, OPERATOR_TABLE, Events(operator_rows)),
        m_server_rows(store, SERVERS_TABLE, Events(server_rows)),
        m_lease_rows(store, LEASE_TABLE,
                     {[this](const auto& rows) {
                        ApplyLease(rows.empty() ? Fleet::TableRow{} : rows.front());
                      },
                      [this](const Fleet::TableRow& row) {
                        ApplyLease(row);
                      },
                      [] {}, [] {}}),
        m_coordination(Settings(number, daemons), m_dispatcher, store, SilentChannel(),
                       Archives{EmptyArchive(), {}}, {&m_operator_rows, &m_server_rows},
                       m_lease_rows)
  {
    CPPUNIT_ASSERT(m_coordination.Start());
  }

  bool IsComplete() const { return m_operator_rows.HasSnapshot() && m_server_rows.HasSnapshot(); }

  std::size_t operator_rows = 0;
  std::size_t server_rows = 0;

private:
  using Follower = Fleet::TableFollower<CountingStore>;

  static CoordinationSettings Settings(int number, int daemons)
  {
    CoordinationSettings settings;
    settings.vm = Common::VmId("vm-" + std::to_string(number));
    settings.local = UnitTests::FreeEndpoint();
    settings.data_centre = Common::DataCentreId(number < daemons / 2 ? "here" : "there");
    return settings;
  }

  static OrderChannel SilentChannel()
  {
    OrderChannel channel;
    channel.cancel_pending = [] {};
    return channel;
  }

  static ArchiveAccess EmptyArchive()
  {
    ArchiveAccess access;
    access.read = [](auto done) {
      done(ArchiveRow{});
    };
    access.replace = [](std::int64_t, const std::string&, auto done) {
      done(Common::Failure{Common::FailureKind::Conflict, "no archive"});
    };
    return access;
  }

  static Fleet::TableEvents Events(std::size_t& rows)
  {
    return {[&rows](const std::vector<Fleet::TableRow>& all) {
              rows = all.size();
            },
            [&rows](const Fleet::TableRow&) {
              ++rows;
            },
            [] {}, [] {}};
  }

  void ApplyLease(const Fleet::TableRow& row)
  {
    m_coordination.OnLeaseRow(row.version,
                              row.version == 0 ? std::nullopt : std::optional(m_store.lease));
  }

  CountingStore& m_store;
  Gateway::Dispatcher m_dispatcher{Gateway::DispatcherSettings{}};
  Follower m_operator_rows;
  Follower m_server_rows;
  Follower m_lease_rows;
  Coordination<CountingStore, CountingStore> m_coordination;
};

class StartingFleet
{
public:
  StartingFleet(int daemons, std::size_t servers) : store(servers)
  {
    for (int i = 0; i < daemons; ++i)
      m_daemons.push_back(std::make_unique<Daemon>(store, i, daemons));
  }

  bool Completes()
  {
    return RunUntil(
        [this] {
          return std::ranges::all_of(m_daemons, [](const auto& daemon) {
            return daemon->IsComplete();
          });
        },
        Milliseconds(8000));
  }

  bool AllHaveServers(std::size_t servers) const
  {
    return std::ranges::all_of(m_daemons, [&](const auto& daemon) {
      return daemon->server_rows == servers && daemon->operator_rows == 1;
    });
  }

  CountingStore store;

private:
  std::vector<std::unique_ptr<Daemon>> m_daemons;
};

class FleetStartTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetStartTest);
  CPPUNIT_TEST(ServersAreReadOnceHoweverManyDaemonsStart);
  CPPUNIT_TEST(CallsPerDaemonDoNotGrowWithTheServers);
  CPPUNIT_TEST(EntriesWrittenDuringTheStartAreNotReadByEachDaemon);
  CPPUNIT_TEST(SingleDaemonStartsByItself);
  CPPUNIT_TEST(HolderReadsARestoredLeaseRowOnlyWhenItsLeaseIsOver);
  CPPUNIT_TEST(DaemonsDoNotGetTheTablesOfARestoredStore);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t SERVERS = 950;
  static constexpr int PAGES = 10;

  void ServersAreReadOnceHoweverManyDaemonsStart()
  {
    for (const int daemons : {10, 40})
    {
      StartingFleet fleet(daemons, SERVERS);
      CPPUNIT_ASSERT(fleet.Completes());
      CPPUNIT_ASSERT(fleet.AllHaveServers(SERVERS));
      CPPUNIT_ASSERT_EQUAL(PAGES, fleet.store.ReadsOfServers());
    }
  }

  void CallsPerDaemonDoNotGrowWithTheServers()
  {
    constexpr int DAEMONS = 40;
    StartingFleet fleet(DAEMONS, SERVERS);
    CPPUNIT_ASSERT(fleet.Completes());
    RunFor(Milliseconds(3000));
    // The lease's row is read, its first change awaited, and one call may be open when the holder
    // begins to relay. The holder's own calls come on top.
    CPPUNIT_ASSERT(fleet.store.AllCalls() <= 4 * DAEMONS + 3 * PAGES + 40);
  }

  /// The backend servers write their entries while the daemons start.
  void EntriesWrittenDuringTheStartAreNotReadByEachDaemon()
  {
    constexpr int DAEMONS = 40;
    constexpr std::size_t BATCH = 40;
    StartingFleet fleet(DAEMONS, 0);
    Common::OwnedTimer timer;
    std::size_t written = 0;
    const std::function<void()> write = [&] {
      fleet.store.AddServers(BATCH);
      written += BATCH;
      if (written < SERVERS)
        timer.Start(Milliseconds(60), write);
    };
    timer.Start(Milliseconds(600), write);
    RunFor(Milliseconds(3500));
    CPPUNIT_ASSERT(fleet.AllHaveServers(written));
    // Without the holder's calls, of which there are some for each batch.
    const int batches = static_cast<int>(written / BATCH);
    CPPUNIT_ASSERT(fleet.store.AllCalls() <= 4 * DAEMONS + 4 * batches + 40);
  }

  void SingleDaemonStartsByItself()
  {
    StartingFleet fleet(1, 50);
    const auto began = Common::Now();
    CPPUNIT_ASSERT(fleet.Completes());
    CPPUNIT_ASSERT(Common::Now() - began < Milliseconds(1500));
  }

  // It could not renew its lease, nobody else could acquire it, and nothing was ordered for
  // seconds.
  void HolderReadsARestoredLeaseRowOnlyWhenItsLeaseIsOver()
  {
    StartingFleet fleet(4, 50);
    CPPUNIT_ASSERT(fleet.Completes());
    RunFor(Milliseconds(1000));
    const auto holder = fleet.store.lease.holder;
    CPPUNIT_ASSERT(!holder.Empty());
    fleet.store.Restore();
    CPPUNIT_ASSERT(RunUntil(
        [&] {
          return fleet.store.lease.holder == holder;
        },
        Milliseconds(1000)));
    // The rows' versions have the era.
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), fleet.store.lease.era);
  }

  // The versions of later changes are lower than those known from before, but for the era.
  void DaemonsDoNotGetTheTablesOfARestoredStore()
  {
    constexpr std::size_t ADDED = 5;
    StartingFleet fleet(4, 50);
    CPPUNIT_ASSERT(fleet.Completes());
    RunFor(Milliseconds(1000));
    fleet.store.Restore();
    RunFor(Milliseconds(300));
    fleet.store.AddServers(ADDED);
    CPPUNIT_ASSERT(RunUntil(
        [&] {
          return fleet.AllHaveServers(50 + ADDED);
        },
        Milliseconds(2000)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetStartTest);
} // namespace

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// What the platform's store keeps of the origins of streams when all daemons are lost.

#include "Orders/OriginArchive.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <ranges>

#include <cereal/types/vector.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include "Daemons/Codec.h"
#include "UnitTests/Support/Loopback.h"
#include "UnitTests/Support/OriginFleet.h"

namespace
{
using namespace Orders;
using Common::Milliseconds;
using Gateway::PoolId;
using Gateway::SoftwareVersion;
using Gateway::StreamKey;
using UnitTests::RunFor;

const PoolId POOL{"pool"};
const SoftwareVersion FIRST{"a"};
const SoftwareVersion SECOND{"b"};
const Http::Endpoint SELF{0x0100007f, 1000};
constexpr int STREAMS = 50;

StreamKey StreamOf(int number)
{
  return Gateway::KeyOf(Accounts::AccountName(), "request-" + std::to_string(number));
}

/// A table of the store; responds after a millisecond.
class TestTable
{
public:
  OriginArchiveAccess Access()
  {
    OriginArchiveAccess access;
    access.read = [this](const std::string& first, const std::string& end, auto callback) {
      Respond([this, first, end, callback] {
        callback(unavailable ? Failure() : Common::Result<Fleet::TableRows>(Range(first, end)));
      });
    };
    access.replace_versions = [this](std::int64_t version, const std::string& value,
                                     auto callback) {
      if (write_late)
      {
        const std::weak_ptr<bool> alive = m_alive;
        Common::Reactor::Get().After(*write_late, [this, alive, version, value] {
          if (!alive.expired())
            static_cast<void>(Replace(version, value));
        });
        Respond([callback] {
          callback(Failure());
        });
        return;
      }
      Respond([this, version, value, callback] {
        callback(Replace(version, value));
      });
    };
    access.write = [this](const auto& written, const auto& removed, auto callback) {
      ++writes;
      Respond([this, written, removed, callback] {
        callback(Write(written, removed));
      });
    };
    return access;
  }

  void PutVersions(const std::vector<ArchivedVersion>& versions)
  {
    Put(OriginArchive::VERSIONS_KEY, Daemons::Encode(ArchivedVersions{versions}));
  }

  std::map<std::string, Fleet::TableRow> rows;
  bool unavailable = false;
  bool refuses_versions = false;
  /// Writes of the versions get no answer, and are carried out after this time.
  std::optional<Milliseconds> write_late;
  std::size_t page_rows = 500;
  Milliseconds delay{1};
  int writes = 0;

private:
  static Common::Failure Failure() { return {Common::FailureKind::Overloaded, "unavailable"}; }

  /// Responds unless the test has ended by then.
  void Respond(std::function<void()> respond)
  {
    const std::weak_ptr<bool> alive = m_alive;
    Common::Reactor::Get().After(delay, [alive, respond = std::move(respond)] {
      if (!alive.expired())
        respond();
    });
  }

  Fleet::TableRows Range(const std::string& first, const std::string& end)
  {
    Fleet::TableRows result;
    for (auto row = rows.lower_bound(first); row != rows.lower_bound(end); ++row)
    {
      if (result.rows.size() == page_rows)
      {
        result.more = true;
        break;
      }
      result.rows.push_back(row->second);
    }
    return result;
  }

  Common::Result<std::int64_t> Replace(std::int64_t version, const std::string& value)
  {
    if (unavailable || refuses_versions)
      return Failure();
    Fleet::TableRow& row = rows[OriginArchive::VERSIONS_KEY];
    if (row.version != version)
      return Common::Failure{Common::FailureKind::Conflict, "another version"};
    Put(OriginArchive::VERSIONS_KEY, value);
    return row.version;
  }

  Common::Result<Common::Done> Write(const std::vector<ArchiveWrite>& written,
                                     const std::vector<std::string>& removed)
  {
    if (unavailable)
      return Failure();
    for (const ArchiveWrite& row : written)
      Put(row.key, row.value);
    for (const std::string& key : removed)
      rows.erase(key);
    return Common::Done{};
  }

  void Put(const std::string& key, const std::string& value)
  {
    Fleet::TableRow row;
    row.key = key;
    row.value = value;
    row.version = ++m_version;
    rows[key] = row;
  }

  std::int64_t m_version = 0;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// A daemon with the archive, and no others to ask.
struct TestDaemon
{
  explicit TestDaemon(TestTable& table, const std::string& run = "run-1")
      : archive({SELF, 1, run}, dispatcher, table.Access())
  {
    dispatcher.SetLocalOrigin(SELF, 1);
    dispatcher.OnStreamNoted([this](StreamKey stream) {
      archive.NoteStream(stream);
    });
  }

  void See(const SoftwareVersion& version)
  {
    dispatcher.Versions().Note(POOL, version, Common::Now());
  }
  void Tick(bool is_holder, std::size_t daemons = 1)
  {
    dispatcher.Servers().RecordProof(Common::Now());
    archive.Tick(is_holder, daemons, Common::Now());
    RunFor(Milliseconds(20));
  }
  void Begin(int stream, const SoftwareVersion& version)
  {
    dispatcher.NoteStream(StreamOf(stream), POOL, version, std::nullopt);
  }
  /// Reads the shards that must be read; returns how many these are.
  int RestoreAll(const std::function<void()>& on_done)
  {
    int count = 0;
    for (std::size_t shard = 0; shard < ORIGIN_SHARDS; ++shard)
      if (archive.MustRestore(OriginShard(shard), Common::Now()))
      {
        archive.Restore(OriginShard(shard), on_done);
        ++count;
      }
    return count;
  }
  /// Reads all shards; returns how many streams are known with the version that began them.
  int CountRestored(const std::function<SoftwareVersion(int)>& version_of)
  {
    RestoreAll([] {});
    RunFor(Milliseconds(100));
    return static_cast<int>(std::ranges::count_if(std::views::iota(0, STREAMS), [&](int stream) {
      const auto entry = dispatcher.Origins().Find(StreamOf(stream), Common::Now());
      return entry && entry->origin.version == Gateway::KeyOf(POOL, version_of(stream));
    }));
  }

  Gateway::Dispatcher dispatcher{Gateway::DispatcherSettings{}};
  OriginArchive archive;
};

SoftwareVersion AlternatingVersion(int stream)
{
  return stream % 2 == 0 ? FIRST : SECOND;
}

/// Two daemons that exchange origins. Streams began at the first one while there were several
/// versions, then both were lost and have started again.
class RestartedFleet
{
public:
  RestartedFleet()
  {
    Use(0, "run-1");
    Tick(0, true);
    RunFor(Milliseconds(20));
    Tick(0, true);
    for (int stream = 0; stream < STREAMS; ++stream)
      fleet.Begin(0, stream);
    RunFor(Milliseconds(100));
    m_archives.clear();
    fleet.know_both_versions = false;
    for (const UnitTests::DaemonIndex daemon : {0U, 1U})
      fleet.Kill(daemon);
    for (const UnitTests::DaemonIndex daemon : {0U, 1U})
      fleet.Restart(daemon);
    fleet.Settle();
  }

  void Use(UnitTests::DaemonIndex daemon, const std::string& run)
  {
    auto& archive = m_archives[daemon];
    archive = std::make_unique<OriginArchive>(
        OriginArchive::Settings{UnitTests::OriginFleet::EndpointOf(daemon), 1, run},
        fleet.At(daemon).dispatcher, table.Access());
    fleet.At(daemon).origins.UseArchive(*archive);
  }
  /// Lets the archive read the versions, or write them.
  void Tick(UnitTests::DaemonIndex daemon, bool is_holder)
  {
    fleet.At(daemon).dispatcher.Servers().RecordProof(Common::Now());
    m_archives.at(daemon)->Tick(is_holder, fleet.Size(), Common::Now());
  }
  void TickAfter(Milliseconds delay, UnitTests::DaemonIndex daemon)
  {
    m_timer.Start(delay, [this, daemon] {
      Tick(daemon, false);
    });
  }

  TestTable table;
  UnitTests::OriginFleet fleet{2, 1};

private:
  std::map<UnitTests::DaemonIndex, std::unique_ptr<OriginArchive>> m_archives;
  Common::OwnedTimer m_timer;
};

class OriginArchiveTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OriginArchiveTest);
  CPPUNIT_TEST(VersionThatWentIsForgottenWithAllDaemons);
  CPPUNIT_TEST(OriginsAreForgottenWithAllDaemons);
  CPPUNIT_TEST(OriginsOnFurtherPagesAreForgotten);
  CPPUNIT_TEST(StreamsBeforeTheSecondVersionAreForgotten);
  CPPUNIT_TEST(StreamsBeforeTheSecondVersionAwaitATick);
  CPPUNIT_TEST(StreamsAreForgottenWhileTheStoreIsAway);
  CPPUNIT_TEST(StoreIsReadWhileThereIsOneVersion);
  CPPUNIT_TEST(StoreIsTakenForEmptyBeforeTheVersionsAreRead);
  CPPUNIT_TEST(StreamsAreReadThoughThereIsOneVersion);
  CPPUNIT_TEST(QueryBeforeTheVersionsAreReadSkipsTheStore);
  CPPUNIT_TEST(DaemonRepliesBeforeItHasReadTheVersions);
  CPPUNIT_TEST(VersionsBeforeALossOfTouchAreTakenForAll);
  CPPUNIT_TEST(UnreadableVersionsAreTakenForNone);
  CPPUNIT_TEST(NewHolderTakesItsOldCopyOfTheRowForTheRow);
  CPPUNIT_TEST(LateWriteOfTheVersionsGoesUnnoticed);
  CPPUNIT_TEST(AbsentRowIsTakenForOneVersion);
  CPPUNIT_TEST(UnreadableStoreIsTakenForEmpty);
  CPPUNIT_TEST(ManyDaemonsWriteMoreThanTheirShare);
  CPPUNIT_TEST(RowsGrowWhileStreamsBeginDuringEachWrite);
  CPPUNIT_TEST_SUITE_END();

  void VersionThatWentIsForgottenWithAllDaemons()
  {
    TestTable table;
    TestDaemon before(table);
    before.See(FIRST);
    before.See(SECOND);
    before.Tick(true);
    before.Tick(true);
    TestDaemon after(table, "run-2");
    after.See(SECOND);
    CPPUNIT_ASSERT(!after.dispatcher.Versions().IsComplete(Common::Now()));
    after.Tick(false);
    CPPUNIT_ASSERT(after.dispatcher.Versions().IsComplete(Common::Now()));
    CPPUNIT_ASSERT(after.dispatcher.Versions().HasSeveralVersions(Common::Now()));
  }

  /// A second version appeared while this daemon was out of touch with the entries.
  void VersionsBeforeALossOfTouchAreTakenForAll()
  {
    TestTable table;
    TestDaemon holder(table);
    holder.See(FIRST);
    holder.Tick(true);
    holder.Tick(true);
    TestDaemon late(table, "run-2");
    late.See(FIRST);
    late.Tick(false);
    CPPUNIT_ASSERT(!late.archive.MustRestore(OriginShard(0), Common::Now()));
    for (int i = 0; i < 8; ++i)
    {
      RunFor(Milliseconds(200));
      holder.Tick(true);
    }
    holder.See(SECOND);
    holder.Tick(true);
    for (int stream = 0; stream < STREAMS; ++stream)
      holder.Begin(stream, AlternatingVersion(stream));
    RunFor(Milliseconds(100));
    late.dispatcher.Versions().Observe(Common::Now());
    late.dispatcher.Servers().RecordProof(Common::Now());
    CPPUNIT_ASSERT(late.archive.MustRestore(OriginShard(0), Common::Now()));
    late.Tick(false);
    CPPUNIT_ASSERT_EQUAL(STREAMS, late.CountRestored(AlternatingVersion));
  }

  void OriginsAreForgottenWithAllDaemons()
  {
    TestTable table;
    LoseAllDaemons(table);
    TestDaemon after(table, "run-2");
    after.See(SECOND);
    after.Tick(false);
    CPPUNIT_ASSERT_EQUAL(STREAMS, after.CountRestored(AlternatingVersion));
  }

  void OriginsOnFurtherPagesAreForgotten()
  {
    TestTable table;
    LoseAllDaemons(table);
    LoseAllDaemons(table, "run-2");
    table.page_rows = 2;
    TestDaemon after(table, "run-3");
    after.Tick(false);
    CPPUNIT_ASSERT_EQUAL(STREAMS, after.CountRestored(AlternatingVersion));
  }

  void StreamsBeforeTheSecondVersionAreForgotten()
  {
    TestTable table;
    TestDaemon before(table);
    before.See(FIRST);
    for (int stream = 0; stream < STREAMS; ++stream)
      before.Begin(stream, FIRST);
    before.Tick(true);
    CPPUNIT_ASSERT_EQUAL(0, table.writes);
    before.See(SECOND);
    before.Tick(true);
    before.Tick(true);
    RunFor(Milliseconds(50));
    TestDaemon after(table, "run-2");
    after.Tick(false);
    CPPUNIT_ASSERT_EQUAL(STREAMS, after.CountRestored([](int) {
      return FIRST;
    }));
  }

  /// The daemon is lost soon after it has seen the second version and begun one more stream.
  void StreamsBeforeTheSecondVersionAwaitATick()
  {
    TestTable table;
    TestDaemon before(table);
    before.See(FIRST);
    for (int stream = 0; stream < STREAMS - 1; ++stream)
      before.Begin(stream, FIRST);
    before.Tick(true);
    before.See(SECOND);
    before.Begin(STREAMS - 1, FIRST);
    RunFor(Milliseconds(50));
    TestDaemon after(table, "run-2");
    after.See(FIRST);
    after.See(SECOND);
    CPPUNIT_ASSERT_EQUAL(STREAMS, after.CountRestored([](int) {
      return FIRST;
    }));
    std::size_t archived = 0;
    for (const auto& [key, row] : table.rows)
      if (key != OriginArchive::VERSIONS_KEY)
        archived += Daemons::Decode<ArchivedOrigins>(row.value)->origins.size();
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(STREAMS), archived);
  }

  void StreamsAreForgottenWhileTheStoreIsAway()
  {
    TestTable table;
    TestDaemon before(table);
    before.See(FIRST);
    before.See(SECOND);
    before.Tick(true);
    before.Tick(true);
    table.unavailable = true;
    for (int stream = 0; stream < STREAMS; ++stream)
      before.Begin(stream, AlternatingVersion(stream));
    RunFor(Milliseconds(100));
    table.unavailable = false;
    RunFor(Milliseconds(500));
    TestDaemon after(table, "run-2");
    after.Tick(false);
    CPPUNIT_ASSERT_EQUAL(STREAMS, after.CountRestored(AlternatingVersion));
  }

  void StoreIsReadWhileThereIsOneVersion()
  {
    TestTable table;
    TestDaemon daemon(table);
    daemon.See(FIRST);
    daemon.Tick(true);
    daemon.Tick(true);
    for (std::size_t shard = 0; shard < ORIGIN_SHARDS; ++shard)
      CPPUNIT_ASSERT(!daemon.archive.MustRestore(OriginShard(shard), Common::Now()));
  }

  void StoreIsTakenForEmptyBeforeTheVersionsAreRead()
  {
    TestTable table;
    LoseAllDaemons(table);
    TestDaemon after(table, "run-2");
    after.See(SECOND);
    int restored = 0;
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(ORIGIN_SHARDS), after.RestoreAll([&] {
      ++restored;
    }));
    RunFor(Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(0, restored);
    after.Tick(false);
    RunFor(Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(ORIGIN_SHARDS), restored);
    CPPUNIT_ASSERT_EQUAL(STREAMS, after.CountRestored(AlternatingVersion));
  }

  void StreamsAreReadThoughThereIsOneVersion()
  {
    TestTable table;
    {
      TestDaemon before(table);
      before.See(FIRST);
      before.Tick(true);
      before.Tick(true);
    }
    TestDaemon after(table, "run-2");
    after.See(FIRST);
    int restored = 0;
    const int shards = after.RestoreAll([&] {
      ++restored;
    });
    after.Tick(false);
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(ORIGIN_SHARDS), shards);
    CPPUNIT_ASSERT_EQUAL(shards, restored);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, after.archive.GetCounters().shards_read);
    CPPUNIT_ASSERT_EQUAL(0, after.RestoreAll([] {}));
  }

  /// The daemon that asks reads the versions 100 ms later.
  void QueryBeforeTheVersionsAreReadSkipsTheStore()
  {
    RestartedFleet restarted;
    restarted.Use(0, "run-2");
    restarted.TickAfter(Milliseconds(100), 0);
    CPPUNIT_ASSERT_EQUAL(STREAMS, restarted.fleet.CountFound(0, STREAMS, Milliseconds(600)));
  }

  /// The daemon that asks knows both versions, the other one reads them 100 ms later.
  void DaemonRepliesBeforeItHasReadTheVersions()
  {
    RestartedFleet restarted;
    restarted.fleet.At(0).KnowBothVersions();
    restarted.Use(1, "run-2");
    restarted.TickAfter(Milliseconds(100), 1);
    CPPUNIT_ASSERT_EQUAL(STREAMS, restarted.fleet.CountFound(0, STREAMS, Milliseconds(600)));
  }

  void UnreadableVersionsAreTakenForNone()
  {
    TestTable table;
    Fleet::TableRow& row = table.rows[OriginArchive::VERSIONS_KEY];
    row.key = OriginArchive::VERSIONS_KEY;
    row.version = 7;
    row.value = "no archive";
    TestDaemon daemon(table);
    daemon.See(FIRST);
    daemon.Tick(false);
    CPPUNIT_ASSERT(!daemon.dispatcher.Versions().IsComplete(Common::Now()));
  }

  /// The holder before wrote the row after this daemon had read it.
  void NewHolderTakesItsOldCopyOfTheRowForTheRow()
  {
    TestTable table;
    TestDaemon before(table);
    before.See(FIRST);
    before.See(SECOND);
    before.Tick(true);
    before.Tick(true);
    TestDaemon next(table, "run-2");
    next.See(FIRST);
    next.Tick(false);
    table.PutVersions({{POOL, FIRST}});
    next.See(SECOND);
    for (int tick = 0; tick < 3; ++tick)
      next.Tick(true);
    TestDaemon after(table, "run-3");
    after.See(FIRST);
    after.Tick(false);
    CPPUNIT_ASSERT(after.dispatcher.Versions().HasSeveralVersions(Common::Now()));
  }

  /// The store carries out a call without an answer after the row has been read again.
  void LateWriteOfTheVersionsGoesUnnoticed()
  {
    TestTable table;
    TestDaemon holder(table);
    holder.See(FIRST);
    holder.See(SECOND);
    holder.Tick(true);
    holder.Tick(true);
    holder.dispatcher.Versions().Observe(Common::Now() + Gateway::StreamOrigins::RETENTION);
    holder.See(FIRST);
    table.write_late = Milliseconds(450);
    holder.Tick(true);
    table.write_late.reset();
    RunFor(Milliseconds(350));
    holder.Tick(true);
    holder.Tick(true);
    RunFor(Milliseconds(150));
    holder.See(SECOND);
    holder.Tick(true);
    holder.Tick(true);
    TestDaemon after(table, "run-2");
    after.See(FIRST);
    after.Tick(false);
    CPPUNIT_ASSERT(after.dispatcher.Versions().HasSeveralVersions(Common::Now()));
  }

  /// The store never took the row. Of two versions one went, then all daemons were lost.
  void AbsentRowIsTakenForOneVersion()
  {
    TestTable table;
    {
      TestDaemon before(table);
      before.See(FIRST);
      before.See(SECOND);
      table.refuses_versions = true;
      before.Tick(true);
      before.Tick(true);
    }
    table.refuses_versions = false;
    TestDaemon after(table, "run-2");
    after.See(SECOND);
    after.Tick(true);
    after.Tick(true);
    CPPUNIT_ASSERT(!after.dispatcher.Versions().IsComplete(Common::Now()));
  }

  void UnreadableStoreIsTakenForEmpty()
  {
    TestTable table;
    LoseAllDaemons(table);
    table.unavailable = true;
    TestDaemon after(table, "run-2");
    after.See(SECOND);
    after.Tick(false);
    CPPUNIT_ASSERT(!after.dispatcher.Versions().IsComplete(Common::Now()));
    table.unavailable = false;
    RunFor(Milliseconds(400));
    after.Tick(false);
    CPPUNIT_ASSERT(after.dispatcher.Versions().IsComplete(Common::Now()));
  }

  void ManyDaemonsWriteMoreThanTheirShare()
  {
    constexpr std::size_t DAEMONS = 400;
    constexpr int MAX_WRITES_AT_ONCE = 5;
    TestTable table;
    TestDaemon daemon(table);
    daemon.See(FIRST);
    daemon.See(SECOND);
    daemon.Tick(false, DAEMONS);
    for (int stream = 0; stream < STREAMS; ++stream)
    {
      daemon.Begin(stream, AlternatingVersion(stream));
      RunFor(Milliseconds(20));
    }
    CPPUNIT_ASSERT(table.writes <= MAX_WRITES_AT_ONCE + 1);
  }

  /// A daemon sees two versions and begins streams, before it ends.
  static void LoseAllDaemons(TestTable& table, const std::string& run = "run-1")
  {
    TestDaemon daemon(table, run);
    daemon.See(FIRST);
    daemon.See(SECOND);
    daemon.Tick(true);
    daemon.Tick(true);
    for (int stream = 0; stream < STREAMS; ++stream)
      daemon.Begin(stream, AlternatingVersion(stream));
    RunFor(Milliseconds(100));
  }

  /// Streams that begin within 5 s share a row of each shard. The store takes 30 ms for a write.
  void RowsGrowWhileStreamsBeginDuringEachWrite()
  {
    TestTable table;
    table.delay = Milliseconds(30);
    TestDaemon daemon(table);
    daemon.See(FIRST);
    daemon.See(SECOND);
    daemon.Tick(true);
    const auto end = Common::Now() + Milliseconds(11000);
    for (int stream = 0; Common::Now() < end; ++stream)
    {
      daemon.Begin(stream, FIRST);
      RunFor(Milliseconds(5));
    }
    std::set<std::string> windows;
    for (const auto& [key, row] : table.rows)
      if (key.starts_with("stream/"))
        windows.insert(key.substr(key.rfind('/')));
    CPPUNIT_ASSERT(windows.size() >= 2);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OriginArchiveTest);
} // namespace

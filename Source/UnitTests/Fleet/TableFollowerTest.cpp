// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Fleet/TableFollower.h"

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/Loopback.h"

namespace
{
using namespace Fleet;
using Common::Milliseconds;
using UnitTests::RunFor;
using UnitTests::RunUntil;

TableRow Row(const char* key, std::int64_t version, bool removed = false)
{
  return {key, "v" + std::to_string(version), version, removed};
}

/// A row as relayed by a daemon that had no previous version of it.
RowChange Change(const char* key, std::int64_t version)
{
  return KnownRows().Pack(Row(key, version));
}

/// A table source whose pages, changes and failures the test sets.
class FakeSource
{
public:
  using Done = std::function<void(Common::Result<TableRows>)>;

  void Read(const std::string&, const std::string& first_key, Done done)
  {
    ++reads;
    if (down)
    {
      Answer(done, Common::Failure{Common::FailureKind::Overloaded, "down"});
      return;
    }
    TableRows page;
    page.version = version;
    for (const TableRow& row : rows)
      if (row.key >= first_key)
        page.rows.push_back(row);
    if (page.rows.size() > page_size)
    {
      page.rows.resize(page_size);
      page.more = true;
    }
    Answer(done, page);
  }

  void Follow(const std::string&, std::int64_t after, Milliseconds wait, Done done)
  {
    ++follows;
    last_wait = wait;
    if (down)
      Answer(done, Common::Failure{Common::FailureKind::Overloaded, "down"});
    else if (after < floor)
      Answer(done, Common::Failure{Common::FailureKind::NotFound, "history"});
    else if (wait == Milliseconds(0))
      Answer(done, TableRows{{}, version, false});
    else
      waiting = std::move(done);
  }

  /// Completes the waiting call with changes.
  void Change(std::vector<TableRow> changed)
  {
    version = std::max(version, changed.back().version);
    TableRows answer;
    answer.rows = std::move(changed);
    answer.version = version;
    Answer(std::exchange(waiting, nullptr), answer);
  }

  void Answer(Done done, Common::Result<TableRows> answer) const
  {
    m_soon.Call([done, answer] {
      done(answer);
    });
  }

  std::vector<TableRow> rows;
  std::int64_t version = 0;
  std::int64_t floor = 0;
  std::size_t page_size = 100;
  bool down = false;
  Done waiting;
  Milliseconds last_wait{0};
  int reads = 0;
  int follows = 0;

private:
  UnitTests::DeferredCaller m_soon;
};

class TableFollowerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TableFollowerTest);
  CPPUNIT_TEST(ReadsPagesWithoutDuplicates);
  CPPUNIT_TEST(ReadsPagesThatHoldOneRowEach);
  CPPUNIT_TEST(ReadsSnapshotAgainWithoutHistory);
  CPPUNIT_TEST(ReportsLossAndReturnOfTheSource);
  CPPUNIT_TEST(LostSourceIsCalledWithoutWait);
  CPPUNIT_TEST(MakesNoCallsWhileRelayed);
  CPPUNIT_TEST(FirstCallAfterRelayingEndsDoesNotWait);
  CPPUNIT_TEST(HandedOverCopyReplacesAnOlderOne);
  CPPUNIT_TEST(LateReadDoesNotReplaceANewerCopy);
  CPPUNIT_TEST(HandedOverCopyFromBeforeTheAppliedChangesIsIgnored);
  CPPUNIT_TEST(TableIsSettledWhileItsRowsChangeOften);
  CPPUNIT_TEST(RejectsRelayedChangesWithAGap);
  CPPUNIT_TEST(DuplicateChangeIsAppliedOnce);
  CPPUNIT_TEST(RelaysChangesInTheLog);
  CPPUNIT_TEST(AVersionWithoutChangesIsNoGap);
  CPPUNIT_TEST(ChangesAreBatchedBetweenCalls);
  CPPUNIT_TEST_SUITE_END();

  struct FollowerFixture
  {
    explicit FollowerFixture(FakeSource& source)
        : follower(source, "t",
                   {[this](const std::vector<TableRow>& rows) {
                      ++snapshots;
                      snapshot = rows;
                    },
                    [this](const TableRow& row) {
                      changes.push_back(row.key);
                    },
                    [this] {
                      ++lost;
                    },
                    [this] {
                      ++back;
                    }})
    {
      follower.Start();
    }

    std::vector<TableRow> snapshot;
    std::vector<std::string> changes;
    int snapshots = 0;
    int lost = 0;
    int back = 0;
    TableFollower<FakeSource> follower;
  };

  void ReadsPagesWithoutDuplicates()
  {
    FakeSource source;
    source.rows = {Row("a", 1), Row("b", 2), Row("c", 3), Row("d", 4), Row("e", 5)};
    source.version = 5;
    source.page_size = 2;
    FollowerFixture fixture(source);
    CPPUNIT_ASSERT(RunUntil([&] {
      return fixture.snapshots == 1;
    }));
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), fixture.snapshot.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(5), fixture.follower.Version());
  }

  /// A starting daemon read the same page forever and never got the table. If a row is as long as a
  /// page, the page that starts with it has no other row, and the next page started with the same
  /// row again.
  void ReadsPagesThatHoldOneRowEach()
  {
    FakeSource source;
    source.rows = {Row("a", 1), Row("b", 2), Row("c", 3)};
    source.version = 3;
    source.page_size = 1;
    FollowerFixture fixture(source);
    CPPUNIT_ASSERT(RunUntil(
        [&] {
          return fixture.snapshots == 1;
        },
        Milliseconds(500)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), fixture.snapshot.size());
  }

  /// While this daemon had no copy, because the source had dropped its history, an older copy of
  /// another daemon returned rows that had been removed.
  void HandedOverCopyFromBeforeTheAppliedChangesIsIgnored()
  {
    FakeSource source;
    source.rows = {Row("a", 5)};
    source.version = 8;
    FollowerFixture fixture(source);
    CPPUNIT_ASSERT(RunUntil([&] {
      return source.waiting != nullptr;
    }));
    source.Answer(std::exchange(source.waiting, nullptr),
                  Common::Failure{Common::FailureKind::NotFound, "history"});
    CPPUNIT_ASSERT(RunUntil([&] {
      return !fixture.follower.HasSnapshot();
    }));
    fixture.follower.ApplySnapshot({6, {Row("a", 5), Row("removed", 6)}});
    CPPUNIT_ASSERT(!fixture.follower.HasSnapshot());
    CPPUNIT_ASSERT_EQUAL(1, fixture.snapshots);
    CPPUNIT_ASSERT(RunUntil([&] {
      return fixture.snapshots == 2;
    }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.snapshot.size());
  }

  void ChangesAreBatchedBetweenCalls()
  {
    FakeSource source;
    source.version = 5;
    FollowerFixture fixture(source);
    fixture.follower.SetBatchDelay(Milliseconds(100));
    CPPUNIT_ASSERT(RunUntil([&] {
      return source.waiting != nullptr;
    }));
    TableRows one;
    one.version = 6;
    one.rows = {Row("a", 6)};
    source.Answer(std::exchange(source.waiting, nullptr), one);
    const int follows = source.follows;
    CPPUNIT_ASSERT(RunUntil([&] {
      return fixture.changes.size() == 1;
    }));
    RunFor(Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(follows, source.follows);
    CPPUNIT_ASSERT(RunUntil([&] {
      return source.follows == follows + 1;
    }));
  }

  void ReadsSnapshotAgainWithoutHistory()
  {
    FakeSource source;
    source.version = 5;
    FollowerFixture fixture(source);
    CPPUNIT_ASSERT(RunUntil([&] {
      return source.waiting != nullptr;
    }));
    source.floor = 50;
    source.version = 60;
    source.rows = {Row("a", 55)};
    source.Answer(std::exchange(source.waiting, nullptr),
                  Common::Failure{Common::FailureKind::NotFound, "history"});
    CPPUNIT_ASSERT(RunUntil([&] {
      return fixture.snapshots == 2;
    }));
    CPPUNIT_ASSERT_EQUAL(0, fixture.lost);
  }

  void ReportsLossAndReturnOfTheSource()
  {
    FakeSource source;
    source.down = true;
    FollowerFixture fixture(source);
    CPPUNIT_ASSERT(RunUntil([&] {
      return fixture.lost == 1;
    }));
    RunFor(Milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(1, fixture.lost);
    source.down = false;
    CPPUNIT_ASSERT(RunUntil([&] {
      return fixture.snapshots == 1;
    }));
    CPPUNIT_ASSERT_EQUAL(1, fixture.back);
  }

  void LostSourceIsCalledWithoutWait()
  {
    // Without changes in the table, a call that waits for some would show the return of the source
    // only when it times out.
    FakeSource source;
    source.version = 5;
    FollowerFixture fixture(source);
    CPPUNIT_ASSERT(RunUntil([&] {
      return source.waiting != nullptr;
    }));
    source.down = true;
    source.Answer(std::exchange(source.waiting, nullptr),
                  Common::Failure{Common::FailureKind::Overloaded, "down"});
    CPPUNIT_ASSERT(RunUntil([&] {
      return fixture.lost == 1;
    }));
    RunFor(Milliseconds(200));
    source.down = false;
    CPPUNIT_ASSERT(RunUntil([&] {
      return fixture.back == 1;
    }));
    CPPUNIT_ASSERT(RunUntil([&] {
      return source.waiting != nullptr;
    }));
    CPPUNIT_ASSERT(source.last_wait > Milliseconds(0));
  }

  void MakesNoCallsWhileRelayed()
  {
    FakeSource source;
    source.version = 5;
    FollowerFixture fixture(source);
    CPPUNIT_ASSERT(RunUntil([&] {
      return source.waiting != nullptr;
    }));
    fixture.follower.SetRelayed(true);
    CPPUNIT_ASSERT(fixture.follower.ApplyRelayed(5, 7, {Change("a", 6), Change("b", 7)}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.changes.size());
    source.Change({Row("a", 6), Row("b", 7)});
    RunFor(Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.changes.size());
    CPPUNIT_ASSERT_EQUAL(1, source.follows);
    fixture.follower.SetRelayed(false);
    CPPUNIT_ASSERT(RunUntil([&] {
      return source.follows == 2;
    }));
  }

  /// Guards against daemons that lose the holder and the store at once: a call that waits would
  /// show only after its wait that the store is down, and that it is back.
  void FirstCallAfterRelayingEndsDoesNotWait()
  {
    FakeSource source;
    source.version = 5;
    FollowerFixture fixture(source);
    fixture.follower.SetRelayed(true);
    CPPUNIT_ASSERT(RunUntil([&] {
      return fixture.snapshots == 1;
    }));
    fixture.follower.SetRelayed(false);
    CPPUNIT_ASSERT(RunUntil([&] {
      return source.follows > 0;
    }));
    CPPUNIT_ASSERT(source.last_wait == Milliseconds(0));
  }

  void HandedOverCopyReplacesAnOlderOne()
  {
    FakeSource source;
    FollowerFixture fixture(source);
    fixture.follower.ApplySnapshot({7, {Row("a", 6), Row("b", 7)}});
    CPPUNIT_ASSERT_EQUAL(std::int64_t(7), fixture.follower.Version());
    fixture.follower.ApplySnapshot({6, {Row("a", 6)}});
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.snapshot.size());
    fixture.follower.SetRelayed(true);
    CPPUNIT_ASSERT(fixture.follower.ApplyRelayed(7, 8, {Change("c", 8)}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.changes.size());
  }

  /// A read that began before another daemon handed over a newer copy.
  void LateReadDoesNotReplaceANewerCopy()
  {
    FakeSource source;
    source.rows = {Row("a", 1), Row("b", 2), Row("c", 3)};
    source.version = 3;
    source.page_size = 1;
    FollowerFixture fixture(source);
    CPPUNIT_ASSERT(RunUntil([&] {
      return source.reads == 2;
    }));
    fixture.follower.ApplySnapshot({9, {Row("a", 1), Row("d", 9)}});
    RunFor(Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(9), fixture.follower.Version());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.snapshot.size());
  }

  /// Guards against a holder that hands over no copies for seconds, because the servers' entries
  /// change all the time.
  void TableIsSettledWhileItsRowsChangeOften()
  {
    FakeSource source;
    FollowerFixture fixture(source);
    const auto settled = [&] {
      return fixture.follower.IsSettled(Common::Now());
    };
    CPPUNIT_ASSERT(!settled());
    fixture.follower.ApplySnapshot({2, {Row("a", 1), Row("b", 2)}});
    CPPUNIT_ASSERT(settled());
    CPPUNIT_ASSERT(fixture.follower.ApplyRelayed(2, 4, {Change("a", 3), Change("b", 4)}));
    CPPUNIT_ASSERT(settled());
    CPPUNIT_ASSERT(fixture.follower.ApplyRelayed(4, 6, {Change("c", 5), Change("d", 6)}));
    CPPUNIT_ASSERT(!settled());
    RunFor(Milliseconds(700));
    CPPUNIT_ASSERT(settled());
  }

  void RejectsRelayedChangesWithAGap()
  {
    FakeSource source;
    source.version = 5;
    FollowerFixture fixture(source);
    CPPUNIT_ASSERT(!fixture.follower.ApplyRelayed(0, 6, {Change("a", 6)}));
    CPPUNIT_ASSERT(RunUntil([&] {
      return fixture.snapshots == 1;
    }));
    CPPUNIT_ASSERT(!fixture.follower.ApplyRelayed(8, 9, {Change("a", 9)}));
    CPPUNIT_ASSERT(fixture.changes.empty());
  }

  void DuplicateChangeIsAppliedOnce()
  {
    FakeSource source;
    source.version = 5;
    FollowerFixture fixture(source);
    CPPUNIT_ASSERT(RunUntil([&] {
      return fixture.snapshots == 1;
    }));
    CPPUNIT_ASSERT(fixture.follower.ApplyRelayed(5, 7, {Change("a", 6), Change("b", 7)}));
    CPPUNIT_ASSERT(
        fixture.follower.ApplyRelayed(5, 8, {Change("a", 6), Change("b", 7), Change("c", 8)}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), fixture.changes.size());
  }

  void RelaysChangesInTheLog()
  {
    FakeSource source;
    source.version = 5;
    FollowerFixture fixture(source);
    CPPUNIT_ASSERT(RunUntil([&] {
      return fixture.snapshots == 1;
    }));
    CPPUNIT_ASSERT(fixture.follower.ApplyRelayed(5, 7, {Change("a", 6), Change("b", 7)}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.follower.ChangesSince(6)->rows.size());
    CPPUNIT_ASSERT(!fixture.follower.ChangesSince(4));
  }

  void AVersionWithoutChangesIsNoGap()
  {
    FakeSource source;
    source.version = 5;
    FollowerFixture fixture(source);
    CPPUNIT_ASSERT(RunUntil([&] {
      return fixture.snapshots == 1;
    }));
    CPPUNIT_ASSERT(fixture.follower.ApplyRelayed(5, 6, {Change("a", 6)}));
    CPPUNIT_ASSERT(fixture.follower.ApplyRelayed(6, 90, {}));
    // A daemon at version 6 has all changes.
    CPPUNIT_ASSERT_EQUAL(std::int64_t(6), fixture.follower.ChangesSince(90)->from);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(5), fixture.follower.ChangesSince(5)->from);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableFollowerTest);
} // namespace

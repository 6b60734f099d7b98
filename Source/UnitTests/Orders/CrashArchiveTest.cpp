// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Records of requests that crash backend servers survive the loss of all daemons in one row of the
// store, through which daemons also exchange them while there is no lease holder.

#include "Orders/CrashArchive.h"

#include <limits>

#include <cppunit/extensions/HelperMacros.h>

#include "Common/Loop.h"
#include "Daemons/Codec.h"
#include "UnitTests/Support/Loopback.h"

namespace
{
using namespace Orders;
using Common::Milliseconds;
using Crashes::Fingerprint;

constexpr Fingerprint CRASHER{7, 7, 7};

/// The archive row shared by the daemons of a test.
struct FakeRow
{
  ArchiveAccess Access()
  {
    return {[this](auto callback) {
              callback(row);
            },
            [this](std::int64_t expected, const std::string& value, auto callback) {
              ++writes;
              if (is_down)
                callback(Common::Failure{Common::FailureKind::Timeout, "down"});
              else if (expected != row.version)
                callback(Common::Failure{Common::FailureKind::Conflict, "moved"});
              else
              {
                row = {row.version + 1, value};
                callback(row.version);
              }
            }};
  }

  ArchiveRow row;
  int writes = 0;
  bool is_down = false;
};

struct Daemon
{
  explicit Daemon(FakeRow& row) : archive(dispatcher, row.Access()) {}

  void CrashServer(int server)
  {
    Crashes::CaseLine line;
    line.request = CRASHER;
    line.server_crashes = {{Crashes::ServerInstance("i-" + std::to_string(server)),
                            (9 - server) * 1000,
                            (9 - server) * 1000 + 300,
                            {Common::VmId("vm")}}};
    dispatcher.MergeCrashCases({line});
  }
  bool IsBlocked() { return dispatcher.CrashCases().BlockStatusOf(CRASHER, Common::Now()).blocked; }

  Gateway::Dispatcher dispatcher{Gateway::DispatcherSettings{}};
  CrashArchive archive;
};

/// As many crashes as lead to a block.
Crashes::CaseLine ThreeCrashes()
{
  Crashes::CaseLine line;
  line.request = CRASHER;
  for (const char* server : {"i-1", "i-2", "i-3"})
    line.server_crashes.push_back({Crashes::ServerInstance(server), 0, 0, {Common::VmId("vm")}});
  return line;
}

class CrashArchiveTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CrashArchiveTest);
  CPPUNIT_TEST(StartedDaemonReadsBlockedRequests);
  CPPUNIT_TEST(HolderWritesOnlyWhenBlockedRequestsChange);
  CPPUNIT_TEST(WithoutAHolderCrashesAddUpThroughTheRow);
  CPPUNIT_TEST(RetriesTheWriteAfterAStoreFailure);
  CPPUNIT_TEST(MalformedRowIsIgnored);
  CPPUNIT_TEST(ForgottenCasesBlockAgain);
  CPPUNIT_TEST(ForgottenCaseInANewRowBlocksAgain);
  CPPUNIT_TEST_SUITE_END();

  /// All daemons are killed at once, and the same request is sent to the new ones.
  void StartedDaemonReadsBlockedRequests()
  {
    FakeRow row;
    Daemon holder(row);
    for (int server = 1; server <= 3; ++server)
      holder.CrashServer(server);
    holder.archive.Tick(ArchiveRole::Holder, Common::Now());
    Daemon started(row);
    started.archive.OnRow(row.row);
    CPPUNIT_ASSERT(started.IsBlocked());
  }

  void HolderWritesOnlyWhenBlockedRequestsChange()
  {
    FakeRow row;
    Daemon holder(row);
    holder.CrashServer(1);
    holder.CrashServer(2);
    holder.archive.Tick(ArchiveRole::Holder, Common::Now());
    CPPUNIT_ASSERT_EQUAL(0, row.writes);
    holder.CrashServer(3);
    for (int i = 0; i < 3; ++i)
      holder.archive.Tick(ArchiveRole::Holder, Common::Now());
    CPPUNIT_ASSERT_EQUAL(1, row.writes);
    holder.archive.Tick(ArchiveRole::Reader, Common::Now());
    CPPUNIT_ASSERT_EQUAL(1, row.writes);
  }

  void WithoutAHolderCrashesAddUpThroughTheRow()
  {
    FakeRow row;
    Daemon first(row);
    Daemon second(row);
    first.CrashServer(1);
    first.CrashServer(2);
    second.CrashServer(3);
    first.archive.Tick(ArchiveRole::WithoutHolder, Common::Now());
    // `second` has not read the row yet: its write conflicts, which makes it read the row.
    second.archive.Tick(ArchiveRole::WithoutHolder, Common::Now());
    CPPUNIT_ASSERT(second.IsBlocked());
    UnitTests::RunFor(Milliseconds(400));
    second.archive.Tick(ArchiveRole::WithoutHolder, Common::Now());
    first.archive.OnRow(row.row);
    CPPUNIT_ASSERT(first.IsBlocked());
  }

  void RetriesTheWriteAfterAStoreFailure()
  {
    FakeRow row;
    Daemon holder(row);
    for (int server = 1; server <= 3; ++server)
      holder.CrashServer(server);
    row.is_down = true;
    holder.archive.Tick(ArchiveRole::Holder, Common::Now());
    holder.archive.Tick(ArchiveRole::Holder, Common::Now());
    CPPUNIT_ASSERT_EQUAL(1, row.writes);
    row.is_down = false;
    UnitTests::RunFor(Milliseconds(400));
    holder.archive.Tick(ArchiveRole::Holder, Common::Now());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), row.row.version);
  }

  void MalformedRowIsIgnored()
  {
    FakeRow row;
    Daemon daemon(row);
    daemon.archive.OnRow({4, "\xff\xff\xff\xff\xff"});
    CPPUNIT_ASSERT(daemon.dispatcher.CrashCases().Empty());
  }

  /// All daemons have been away for longer than a daemon remembers crashes.
  void ForgottenCasesBlockAgain()
  {
    const auto long_ago = Common::UnixTime() - 2 * Crashes::CrashLedger::RETENTION;
    for (const std::int64_t written_at :
         {std::int64_t(long_ago.count()), std::numeric_limits<std::int64_t>::min()})
    {
      FakeRow row;
      Daemon daemon(row);
      daemon.archive.OnRow({4, Daemons::Encode(ArchivedCases{written_at, {ThreeCrashes()}})});
      CPPUNIT_ASSERT(!daemon.IsBlocked());
    }
  }

  /// Another case has caused the row to be written.
  void ForgottenCaseInANewRowBlocksAgain()
  {
    FakeRow row;
    Daemon daemon(row);
    Crashes::CaseLine line = ThreeCrashes();
    for (Crashes::CrashLine& crash : line.server_crashes)
      crash.age_ms = Milliseconds(Crashes::CrashLedger::RETENTION).count() - 1000;
    const auto written_at = Common::UnixTime() - Milliseconds(2000);
    daemon.archive.OnRow({4, Daemons::Encode(ArchivedCases{written_at.count(), {line}})});
    CPPUNIT_ASSERT(!daemon.IsBlocked());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashArchiveTest);
} // namespace

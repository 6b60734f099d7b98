// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Changes that the holder relays stay within the size limits; whatever does not fit is marked as
// left out or sent later, so that nothing is repeated forever without effect.

#include "Orders/UpdateWriter.h"

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

#include "Common/Loop.h"

#include "Orders/PlacementLog.h"

namespace
{
using namespace Orders;

Fleet::RowChange Change(std::int64_t version, std::size_t bytes)
{
  return {"k", version, false, 0, std::string(bytes, 'x')};
}

/// A table that changed from version 5 to the version of the last row.
Fleet::TableAccess Table(std::vector<Fleet::RowChange> rows)
{
  Fleet::TableAccess table;
  table.version = [last = rows.back().version] {
    return last;
  };
  table.response_age = [] {
    return Common::Milliseconds(0);
  };
  table.proven_at = [] {
    return std::optional(Common::Now());
  };
  table.changes_since = [rows](std::int64_t since) {
    Fleet::RowChanges changes{since, {}};
    std::ranges::copy_if(rows, std::back_inserter(changes.rows), [&](const Fleet::RowChange& row) {
      return row.version > since;
    });
    return changes;
  };
  return table;
}

class UpdateWriterTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(UpdateWriterTest);
  CPPUNIT_TEST(RemainingRowsAreSentLater);
  CPPUNIT_TEST(TooLongRowsOfOneVersionAreOmitted);
  CPPUNIT_TEST(UnusedSizeIsAvailableToTheNextTable);
  CPPUNIT_TEST(SlowLinkRelaysOnlyShortChanges);
  CPPUNIT_TEST(PlacementsAreSplit);
  CPPUNIT_TEST(RemovedPlacementIsSentOnce);
  CPPUNIT_TEST_SUITE_END();

  void RemainingRowsAreSentLater()
  {
    const Fleet::TableAccess table = Table({Change(6, 400), Change(7, 400), Change(8, 400)});
    const TableUpdate first = WriteUpdate(table, 5, {1000, 1000});
    CPPUNIT_ASSERT_EQUAL(std::int64_t(7), first.to);
    // The newest version is not included, so that this is no proof of the newest version.
    CPPUNIT_ASSERT_EQUAL(std::int64_t(-1), first.proof_age_ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), first.rows.size());
    const TableUpdate second = WriteUpdate(table, first.to, {1000, 1000});
    CPPUNIT_ASSERT_EQUAL(std::int64_t(8), second.to);
    CPPUNIT_ASSERT(second.proof_age_ms >= 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), second.rows.size());
  }

  /// Two rows of the same version that fit separately but not together were never relayed, and the
  /// daemon considered its copy current.
  void TooLongRowsOfOneVersionAreOmitted()
  {
    const Fleet::TableAccess table = Table({Change(6, 700), Change(6, 700)});
    const TableUpdate update = WriteUpdate(table, 5, {1000, 1000});
    CPPUNIT_ASSERT(update.omitted);
    CPPUNIT_ASSERT(update.rows.empty());
    // The gap shows the receiver that changes are missing.
    CPPUNIT_ASSERT_EQUAL(std::int64_t(6), update.from);
  }

  void UnusedSizeIsAvailableToTheNextTable()
  {
    const auto update =
        WriteUpdate({Table({Change(6, 600)}), Table({Change(6, 600)})}, {5, 5}, {1000, 1000});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), update[0].rows.size());
    CPPUNIT_ASSERT(!update[1].omitted);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(5), update[1].to);
  }

  void SlowLinkRelaysOnlyShortChanges()
  {
    // 21 KB are 1,400 new routes.
    CPPUNIT_ASSERT(MaxRelayedChangeBytes(200, 68) > 60000);
    CPPUNIT_ASSERT(MaxRelayedChangeBytes(10, 68) < 5000);
    CPPUNIT_ASSERT(MaxRelayedChangeBytes(10, 300) >= 4000);
  }

  void PlacementsAreSplit()
  {
    PlacementLog log;
    std::vector<PlacementLine> lines;
    lines.reserve(100);
    for (int i = 0; i < 100; ++i)
      lines.push_back({Gateway::InstanceId("server-" + std::to_string(i)),
                       {{Gateway::ModelId("m"), Gateway::AdapterId("a")}},
                       {}});
    log.Update(lines);
    std::size_t told = 0;
    std::uint64_t version = 0;
    for (int piece = 0; piece < 20; ++piece)
    {
      const PlacementUpdate update = log.Since(version, 400);
      CPPUNIT_ASSERT_EQUAL(version, update.from);
      told += update.lines.size();
      version = update.to;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(100), told);
    log.Update(lines);
    CPPUNIT_ASSERT(log.Since(version).lines.empty());
  }

  void RemovedPlacementIsSentOnce()
  {
    PlacementLog log;
    log.Update(
        {{Gateway::InstanceId("s"), {{Gateway::ModelId("m"), Gateway::AdapterId("a")}}, {}}});
    const std::uint64_t before = log.Since(0).to;
    log.Update({});
    const PlacementUpdate update = log.Since(before);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), update.lines.size());
    CPPUNIT_ASSERT(update.lines[0].adapters.empty());
    log.Update({});
    CPPUNIT_ASSERT(log.Since(update.to).lines.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpdateWriterTest);
} // namespace

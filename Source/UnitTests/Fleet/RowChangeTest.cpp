// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Fleet/RowChange.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Common/Compression.h"

namespace
{
using namespace Fleet;

/// Similar in size and structure to a backend server's entry. The ids have little in common, so
/// that it compresses badly without a dictionary.
std::string Entry(int model)
{
  std::string text = R"({"state":"ready","on_disk":[)";
  for (unsigned i = 0; i < 40; ++i)
    text += "\"m" + std::to_string(i * 2654435761U) + "\",";
  return text + R"("x"],"models":["m)" + std::to_string(model) + "\"]}";
}

/// A configuration with routes with unique names, some 200 bytes each.
std::string Configuration(unsigned routes)
{
  std::string text = R"({"routes":[)";
  for (unsigned i = 0; i < routes; ++i)
  {
    const std::string name = std::to_string(i * 2654435761U);
    text.append(R"({"name":"r-)").append(name);
    text.append(R"(","host":"shop.example","pathPrefix":"/)").append(name);
    text.append(R"(/","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":150,"priority":2,)");
    text.append(R"("maxAttempts":2,"trafficSplit":[{"service":"stock","weight":1}]},)");
  }
  return text + "{}]}";
}

class RowChangeTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RowChangeTest);
  CPPUNIT_TEST(AChangedRowTakesFewBytes);
  CPPUNIT_TEST(AChangeOfALargeRowTakesFewBytes);
  CPPUNIT_TEST(RowOfSeveralMegabytesIsRelayed);
  CPPUNIT_TEST(ChangesOfOneRowBuildOnEachOther);
  CPPUNIT_TEST(RecreatedRowNeedsNoBase);
  CPPUNIT_TEST(UnknownBaseIsRejected);
  CPPUNIT_TEST(MalformedBytesAreRejected);
  CPPUNIT_TEST(TooLongDecompressedTextIsRejected);
  CPPUNIT_TEST_SUITE_END();

  void AChangedRowTakesFewBytes()
  {
    KnownRows known;
    known.Put({"s", Entry(1), 5, false});
    const RowChange change = known.Pack({"s", Entry(2), 6, false});
    CPPUNIT_ASSERT(Entry(2).size() > 400);
    CPPUNIT_ASSERT(change.packed.size() < 40);
    const auto rows = known.UnpackAll({change});
    CPPUNIT_ASSERT(rows);
    CPPUNIT_ASSERT_EQUAL(Entry(2), (*rows)[0].value);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(6), (*rows)[0].version);
  }

  /// With 2,850 routes or more, each change of one route made every daemon read the whole
  /// configuration, 744 KB or more, from the platform over links of 10 Mbit/s. The compression
  /// window was only 32 KB, so that the change of one route took 75 KB, more than the 30 KB that
  /// are relayed.
  void AChangeOfALargeRowTakesFewBytes()
  {
    KnownRows known;
    known.Put({"c", Configuration(2850), 5, false});
    const RowChange one_more = known.Pack({"c", Configuration(2851), 6, false});
    CPPUNIT_ASSERT(one_more.packed.size() < 500);
    const RowChange many_more = known.Pack({"c", Configuration(4250), 6, false});
    CPPUNIT_ASSERT(many_more.packed.size() < 30000);
    const auto rows = known.UnpackAll({many_more});
    CPPUNIT_ASSERT(rows);
    CPPUNIT_ASSERT((*rows)[0].value == Configuration(4250));
  }

  /// A row of more than 1 MB was rejected by every daemon that it was relayed to.
  void RowOfSeveralMegabytesIsRelayed()
  {
    const TableRow row{"c", Configuration(20000), 5, false};
    CPPUNIT_ASSERT(row.value.size() > 3'000'000);
    const auto rows = KnownRows().UnpackAll({KnownRows().Pack(row)});
    CPPUNIT_ASSERT(rows);
    CPPUNIT_ASSERT((*rows)[0].value == row.value);
  }

  void ChangesOfOneRowBuildOnEachOther()
  {
    KnownRows holder;
    KnownRows other;
    holder.Put({"s", Entry(1), 5, false});
    other = holder;
    std::vector<RowChange> changes;
    for (int version = 6; version < 9; ++version)
    {
      const TableRow row{"s", Entry(version), version, false};
      changes.push_back(holder.Pack(row));
      holder.Put(row);
    }
    const auto rows = other.UnpackAll(changes);
    CPPUNIT_ASSERT(rows);
    CPPUNIT_ASSERT_EQUAL(Entry(8), rows->back().value);
  }

  void RecreatedRowNeedsNoBase()
  {
    KnownRows holder;
    holder.Put({"s", Entry(1), 5, false});
    const KnownRows other = holder;
    const RowChange removal = holder.Pack({"s", "", 6, true});
    holder.Put({"s", "", 6, true});
    const RowChange back = holder.Pack({"s", Entry(2), 7, false});
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), back.base_version);
    const auto rows = other.UnpackAll({removal, back});
    CPPUNIT_ASSERT(rows);
    CPPUNIT_ASSERT((*rows)[0].removed);
    CPPUNIT_ASSERT_EQUAL(Entry(2), (*rows)[1].value);
  }

  void UnknownBaseIsRejected()
  {
    KnownRows holder;
    holder.Put({"s", Entry(1), 5, false});
    KnownRows other;
    other.Put({"s", Entry(1), 4, false});
    const RowChange change = holder.Pack({"s", Entry(2), 6, false});
    CPPUNIT_ASSERT(!other.UnpackAll({change}));
    CPPUNIT_ASSERT(!KnownRows().UnpackAll({change}));
  }

  void MalformedBytesAreRejected()
  {
    RowChange change = KnownRows().Pack({"s", Entry(1), 5, false});
    const std::string packed = change.packed;
    for (std::size_t size = 0; size < packed.size(); ++size)
    {
      change.packed = packed.substr(0, size);
      CPPUNIT_ASSERT(!KnownRows().UnpackAll({change}));
    }
    change.packed = packed + "x";
    CPPUNIT_ASSERT(!KnownRows().UnpackAll({change}));
  }

  void TooLongDecompressedTextIsRejected()
  {
    const std::string packed = Common::Compress(std::string(100000, 'x'), "");
    CPPUNIT_ASSERT(packed.size() < 1000);
    CPPUNIT_ASSERT(!Common::Decompress(packed, "", 99999));
    CPPUNIT_ASSERT(Common::Decompress(packed, "", 100000));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RowChangeTest);
} // namespace

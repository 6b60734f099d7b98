// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Table/CsvFile.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Table/Catalog.h"
#include "Table/Change.h"

namespace
{
class CsvFileTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CsvFileTest);
  CPPUNIT_TEST(AllErrorsAreReportedWithTheirPositions);
  CPPUNIT_TEST(WrittenRowsAreReadBack);
  CPPUNIT_TEST(DifferenceTransformsOneTableIntoTheOther);
  CPPUNIT_TEST(VersionsAreSelectedByWeight);
  CPPUNIT_TEST_SUITE_END();

  static std::string Text(const std::string& lines) { return Table::CsvHeading() + "\n" + lines; }

  void AllErrorsAreReportedWithTheirPositions()
  {
    const auto content = Table::ReadCsv(Text("pool,p\n"
                                             "model,m1,nowhere,,,10,1\n"
                                             "model,m2,p,,,ten,1\n"
                                             "modell,m3,p,,,10,1\n"
                                             "model,m4,p,,,10,1\nmodel,m4,p,,,10,1\n"));
    std::vector<std::pair<int, int>> positions;
    for (const auto& error : content.errors)
      positions.emplace_back(error.line, error.column);
    const std::vector<std::pair<int, int>> expected{{3, 3}, {4, 6},  {4, 6},
                                                    {5, 1}, {5, 13}, {7, 2}};
    CPPUNIT_ASSERT(positions == expected);
    CPPUNIT_ASSERT(!Table::ReadCsv("kind,name\n").errors.empty());
    CPPUNIT_ASSERT(!Table::ReadCsv(Text("pool,\"p\n")).errors.empty());
  }

  void WrittenRowsAreReadBack()
  {
    const auto first = Table::ReadCsv(
        Text("# a note\npool,p\nmodel,m,p,,,10,2,3,4,5\nsetting,s,,,,,,,,,,,\"a \"\"b\"\", c\"\n"));
    CPPUNIT_ASSERT(first.errors.empty());
    const auto second = Table::ReadCsv(Table::WriteCsv(first.rows));
    CPPUNIT_ASSERT(second.rows == first.rows);
    CPPUNIT_ASSERT_EQUAL(std::string("a \"b\", c"), first.rows.back().value);
  }

  void DifferenceTransformsOneTableIntoTheOther()
  {
    const auto old_rows = Table::ReadCsv(Text("pool,p\npool,q\nmodel,m,p,,,10,2\n")).rows;
    const auto new_rows = Table::ReadCsv(Text("pool,p\nmodel,m,p,,,10,3\npool,r\n")).rows;
    Table::RowMap rows;
    Table::ApplyChange(rows, Table::Difference(rows, old_rows));
    const Table::Change change = Table::Difference(rows, new_rows);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), change.put.size());
    const auto decoded = Table::ChangeFromJson(Table::ToJson(change));
    CPPUNIT_ASSERT(decoded && decoded->put == change.put && decoded->removed == change.removed);
    Table::ApplyChange(rows, change);
    CPPUNIT_ASSERT(Table::Difference(rows, new_rows).Empty());
  }

  void VersionsAreSelectedByWeight()
  {
    const auto rows = Table::ReadCsv(Text("pool,p\nmodel,m,p,,,10,2\nversion,m.v1,m,,,,1,90\n"
                                          "version,m.v2,m,,,,1,10\n"))
                          .rows;
    const Table::Catalog catalog(rows);
    Common::Random random(3);
    int first = 0;
    for (int draw = 0; draw < 1000; ++draw)
      first += catalog.Resolve("m", random)->id.Get() == "m.v1" ? 1 : 0;
    CPPUNIT_ASSERT(first > 850 && first < 950);
    CPPUNIT_ASSERT(catalog.Resolve("m.v2", random)->id.Get() == "m.v2");
    CPPUNIT_ASSERT(!catalog.Resolve("other", random));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CsvFileTest);
} // namespace

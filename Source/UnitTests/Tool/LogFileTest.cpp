// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Tool/LogFile.h"

#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>
#include <glib.h>
#include <unistd.h>

namespace
{
using Tool::LogLine;

constexpr const char* LINE =
    "2026-03-13T02:34:17.834Z warning drumpondd event=request id=a why=\"no=one said \\\"b\\\"\"";

class LogFileTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LogFileTest);
  CPPUNIT_TEST(PrefixesOfLogCollectorsAreRemoved);
  CPPUNIT_TEST(LinesWithoutEventAreSkippedButCounted);
  CPPUNIT_TEST(ALineWithoutItsEndIsIncomplete);
  CPPUNIT_TEST(UnreadableFilesAreNamed);
  CPPUNIT_TEST(ReadingEndsAtTheFirstFailure);
  CPPUNIT_TEST(QuotedValuesMayContainFields);
  CPPUNIT_TEST(UnendedQuotesFail);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    char* path = nullptr;
    const int fd = g_file_open_tmp("log-file-test-XXXXXX", &path, nullptr);
    CPPUNIT_ASSERT(fd >= 0);
    close(fd);
    m_path = path;
    g_free(path);
  }

  void tearDown() override { std::remove(m_path.c_str()); }

private:
  std::vector<LogLine> Read(const std::string& content)
  {
    std::ofstream(m_path) << content;
    std::vector<LogLine> lines;
    const auto read = Tool::ReadLogFile(m_path, [&lines](LogLine line) {
      lines.push_back(std::move(line));
      return std::optional<Common::Failure>();
    });
    CPPUNIT_ASSERT(read);
    return lines;
  }

  // A prefix that is left in place becomes the time of the line, so that lines of several files are
  // sorted wrongly.
  void PrefixesOfLogCollectorsAreRemoved()
  {
    for (const char* prefix : {"", "front-a-3 12.345 ", "2026-03-13 [x] "})
    {
      const auto lines = Read(prefix + std::string(LINE) + "\n");
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), lines.size());
      CPPUNIT_ASSERT_EQUAL(std::string(LINE), lines[0].text);
      CPPUNIT_ASSERT_EQUAL(std::string("2026-03-13T02:34:17.834"), lines[0].Timestamp());
    }
  }

  // Line numbers that count only events would point to another line of the file.
  void LinesWithoutEventAreSkippedButCounted()
  {
    const auto lines = Read("some program started\n\n" + std::string(LINE) + "\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), lines.size());
    CPPUNIT_ASSERT_EQUAL(m_path + ":3", lines[0].Position());
  }

  // The log of a killed daemon ends within a line, whose last number may be cut.
  void ALineWithoutItsEndIsIncomplete()
  {
    const auto lines = Read(std::string(LINE) + "\n" + LINE);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), lines.size());
    CPPUNIT_ASSERT(lines[0].complete);
    CPPUNIT_ASSERT(!lines[1].complete);
  }

  void UnreadableFilesAreNamed()
  {
    const auto ignore = [](const LogLine&) {
      return std::optional<Common::Failure>();
    };
    for (const std::string file : {"/nonexistent/a.log", "/"})
    {
      const auto read = Tool::ReadLogFile(file, ignore);
      CPPUNIT_ASSERT(!read);
      CPPUNIT_ASSERT(read.Reason().kind == Common::FailureKind::InvalidInput);
      CPPUNIT_ASSERT(read.Reason().detail.find("cannot read " + file) == 0);
    }
  }

  void ReadingEndsAtTheFirstFailure()
  {
    std::ofstream(m_path) << LINE << "\n" << LINE << "\n";
    int visits = 0;
    const auto read = Tool::ReadLogFile(m_path, [&visits](const LogLine& line) {
      ++visits;
      return std::optional(Common::Failure{Common::FailureKind::InvalidInput, line.Position()});
    });
    CPPUNIT_ASSERT(!read);
    CPPUNIT_ASSERT_EQUAL(m_path + ":1", read.Reason().detail);
    CPPUNIT_ASSERT_EQUAL(1, visits);
  }

  // A reason that quotes another field must not be read as that field.
  void QuotedValuesMayContainFields()
  {
    const auto fields =
        Tool::ParseFields("event=request why=\"a \\\"b\\\" id=wrong\" id=right x=\"\"");
    CPPUNIT_ASSERT(fields);
    CPPUNIT_ASSERT_EQUAL(std::string("a \"b\" id=wrong"), fields->at("why"));
    CPPUNIT_ASSERT_EQUAL(std::string("right"), fields->at("id"));
    CPPUNIT_ASSERT_EQUAL(std::string(), fields->at("x"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), fields->size());
  }

  void UnendedQuotesFail()
  {
    const auto fields = Tool::ParseFields("event=request why=\"a b");
    CPPUNIT_ASSERT(!fields);
    CPPUNIT_ASSERT_EQUAL(std::string("the value of why has no closing quote"),
                         fields.Reason().detail);
  }

  std::string m_path;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogFileTest);
} // namespace

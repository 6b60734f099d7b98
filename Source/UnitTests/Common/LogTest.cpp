// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Common/Log.h"

#include <thread>

#include <cppunit/extensions/HelperMacros.h>
#include <glib.h>

#include "UnitTests/Support/Loopback.h"

namespace
{
class LogTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LogTest);
  CPPUNIT_TEST(MessagesFromOtherThreadsAreWrittenOnTheMainLoop);
  CPPUNIT_TEST(LibraryDebugMessagesAreNotLogged);
  CPPUNIT_TEST(SuppressedLinesAreCounted);
  CPPUNIT_TEST_SUITE_END();

  void MessagesFromOtherThreadsAreWrittenOnTheMainLoop()
  {
    const auto before = Common::GetLogCounters().written;
    std::thread other([] {
      g_warning("from another thread");
    });
    other.join();
    CPPUNIT_ASSERT_EQUAL(before, Common::GetLogCounters().written);
    CPPUNIT_ASSERT(UnitTests::RunUntil([&] {
      return Common::GetLogCounters().written == before + 1;
    }));
  }

  void LibraryDebugMessagesAreNotLogged()
  {
    const auto before = Common::GetLogCounters().written;
    g_debug("chatter");
    UnitTests::RunFor(Common::Milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(before, Common::GetLogCounters().written);
  }

  void SuppressedLinesAreCounted()
  {
    const auto before = Common::GetLogCounters();
    for (int i = 0; i < 500; ++i)
      Common::LogEvent(Common::LogLevel::Info, "budget-test", {{"i", i}});
    const auto& after = Common::GetLogCounters();
    CPPUNIT_ASSERT(after.written - before.written <= 80);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(500),
                         (after.written - before.written) + (after.suppressed - before.suppressed));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);
} // namespace

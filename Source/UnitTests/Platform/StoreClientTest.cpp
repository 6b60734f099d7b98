// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Regression: 63 of 69 VMs used the old configuration for more than 20 s after the store had
// acknowledged a new one of 4,249 routes. The response with the row, 1,073 KB, takes 0.86 s over a
// link of 10 Mbit/s, but the timeout of 0.70 s covered the complete response, whose size has no
// bound. Each slow VM timed out and started over, 14 times (`store_calls_follow_timeout`). The
// previous row, 744 KB in 0.60 s, had arrived in time, and the six VMs with 200 Mbit/s received the
// large row at once.

#include "platform/StoreClient.h"

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/Loopback.h"

namespace
{
using Common::Milliseconds;
using UnitTests::RunUntil;
using UnitTests::ThrottledServer;

/// A response of the store with one row whose value has `value_bytes` bytes.
std::string OneRowResponse(std::size_t value_bytes)
{
  const std::string row =
      R"({"key":"config","ver":7,"value":")" + std::string(value_bytes, 'A') + R"("})";
  return R"({"ver":7,"nowMs":1,"rows":[)" + row + "]}";
}

class StoreClientTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StoreClientTest);
  CPPUNIT_TEST(ReceivesLargeChangeOverSlowLink);
  CPPUNIT_TEST(ReceivesLargeTableOverSlowLink);
  CPPUNIT_TEST(TimesOutIfTheStoreStopsWithinAResponse);
  CPPUNIT_TEST_SUITE_END();

  void ReceivesLargeChangeOverSlowLink()
  {
    ThrottledServer store(OneRowResponse(1073'000));
    PlatformAdapter::StoreClient client(store.Address());
    std::optional<Common::Result<Fleet::TableRows>> changes;
    client.Follow("op", 6, Milliseconds(0), [&](Common::Result<Fleet::TableRows> answer) {
      changes = std::move(answer);
    });
    CPPUNIT_ASSERT(RunUntil([&] {
      return changes.has_value();
    }));
    CPPUNIT_ASSERT_MESSAGE(*changes ? "" : changes->Reason().detail, static_cast<bool>(*changes));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), (*changes)->rows.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), store.Calls());
  }

  void ReceivesLargeTableOverSlowLink()
  {
    ThrottledServer store(OneRowResponse(2400'000));
    PlatformAdapter::StoreClient client(store.Address());
    std::optional<Common::Result<Fleet::TableRows>> rows;
    client.Read("op", "", [&](Common::Result<Fleet::TableRows> answer) {
      rows = std::move(answer);
    });
    CPPUNIT_ASSERT(RunUntil([&] {
      return rows.has_value();
    }));
    CPPUNIT_ASSERT_MESSAGE(*rows ? "" : rows->Reason().detail, static_cast<bool>(*rows));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(7), (*rows)->version);
  }

  /// An interrupted response must be detected early enough for the daemon's view to be current
  /// again within its 3 s.
  void TimesOutIfTheStoreStopsWithinAResponse()
  {
    ThrottledServer store(OneRowResponse(1073'000));
    store.StopSendingAfter(100'000);
    PlatformAdapter::StoreClient client(store.Address());
    std::optional<Common::Result<Fleet::TableRows>> changes;
    client.Follow("op", 6, Milliseconds(2500), [&](Common::Result<Fleet::TableRows> answer) {
      changes = std::move(answer);
    });
    CPPUNIT_ASSERT(RunUntil(
        [&] {
          return changes.has_value();
        },
        Milliseconds(1500)));
    CPPUNIT_ASSERT(!*changes);
    CPPUNIT_ASSERT(changes->Reason().kind == Common::FailureKind::Timeout);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreClientTest);
} // namespace

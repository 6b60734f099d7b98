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
using UnitTests::TestPeer;
using UnitTests::TestServer;
using UnitTests::ThrottledServer;

/// A response of the store with one row whose value has `value_bytes` bytes.
std::string OneRowResponse(std::size_t value_bytes)
{
  const std::string row =
      R"({"key":"config","ver":7,"value":")" + std::string(value_bytes, 'A') + R"("})";
  return R"({"ver":7,"nowMs":1,"rows":[)" + row + "]}";
}

/// A store without rows, whose era and newest version the test sets.
class RestoredStore
{
public:
  RestoredStore()
      : m_server([this](TestPeer& peer, const std::string&) {
          const std::string body = R"({"ver":)" + std::to_string(version) + R"(,"rows":[]})";
          const std::string header = era.empty() ? "" : "\r\nStore-Era: " + era;
          peer.stream->Write("HTTP/1.1 200 OK" + header + "\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body);
        }),
        m_client(m_server.Address())
  {
  }

  std::size_t Calls() const { return m_server.requests.size(); }
  Common::Result<Fleet::TableRows> Read()
  {
    return Await<Fleet::TableRows>([this](auto done) {
      m_client.Read("op", "", done);
    });
  }
  Common::Result<Fleet::TableRows> Follow(std::int64_t after)
  {
    return Await<Fleet::TableRows>([this, after](auto done) {
      m_client.Follow("op", after, Milliseconds(0), done);
    });
  }
  Common::Result<std::int64_t> Replace(std::int64_t expected)
  {
    return Await<std::int64_t>([this, expected](auto done) {
      m_client.Replace("drumpond", "row", expected, "value", done);
    });
  }

  std::string era; ///< As in the header; empty to leave it out.
  std::int64_t version = 0;

private:
  template <typename T, typename Call>
  static Common::Result<T> Await(Call call)
  {
    std::optional<Common::Result<T>> result;
    call([&](Common::Result<T> answer) {
      result = std::move(answer);
    });
    CPPUNIT_ASSERT(RunUntil([&] {
      return result.has_value();
    }));
    return *result;
  }

  TestServer m_server;
  PlatformAdapter::StoreClient m_client;
};

class StoreClientTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StoreClientTest);
  CPPUNIT_TEST(ReceivesLargeChangeOverSlowLink);
  CPPUNIT_TEST(ReceivesLargeTableOverSlowLink);
  CPPUNIT_TEST(TimesOutIfTheStoreStopsWithinAResponse);
  CPPUNIT_TEST(VersionsFallWhenTheStoreIsRestored);
  CPPUNIT_TEST(ChangesAreMissedAfterARestore);
  CPPUNIT_TEST(WriteMatchesAVersionThatWasGivenOutAgain);
  CPPUNIT_TEST(AbsentRowIsNotWrittenAfterARestore);
  CPPUNIT_TEST(LateResponseOfTheEraBeforeIsTaken);
  CPPUNIT_TEST(MalformedEraIsTaken);
  CPPUNIT_TEST(VersionsDifferFromTheStoresWithoutAnEra);
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

  void VersionsFallWhenTheStoreIsRestored()
  {
    RestoredStore store;
    store.era = "3";
    store.version = 450;
    const auto before = store.Read();
    store.era = "4";
    store.version = 400;
    const auto after = store.Read();
    CPPUNIT_ASSERT(before && after);
    CPPUNIT_ASSERT(after->version > before->version);
  }

  // The store has passed the follower's version again: no 410 shows that changes are missing.
  void ChangesAreMissedAfterARestore()
  {
    RestoredStore store;
    store.era = "3";
    store.version = 450;
    const auto before = store.Read();
    store.era = "4";
    store.version = 460;
    const auto changes = store.Follow(before->version);
    CPPUNIT_ASSERT(!changes);
    CPPUNIT_ASSERT(changes.Reason().kind == Common::FailureKind::NotFound);
  }

  // The row has the expected number, but another daemon wrote it after the restore.
  void WriteMatchesAVersionThatWasGivenOutAgain()
  {
    RestoredStore store;
    store.era = "3";
    store.version = 450;
    const auto version = store.Replace(0);
    CPPUNIT_ASSERT(static_cast<bool>(version));
    store.era = "4";
    const auto written = store.Replace(*version);
    CPPUNIT_ASSERT(!written);
    CPPUNIT_ASSERT(written.Reason().kind == Common::FailureKind::Conflict);
    const auto calls = store.Calls();
    CPPUNIT_ASSERT(!store.Replace(*version));
    CPPUNIT_ASSERT_EQUAL(calls, store.Calls());
  }

  // No version of the era is known for a row that was never there.
  void AbsentRowIsNotWrittenAfterARestore()
  {
    RestoredStore store;
    store.era = "4";
    store.version = 450;
    CPPUNIT_ASSERT(static_cast<bool>(store.Read()));
    CPPUNIT_ASSERT(static_cast<bool>(store.Replace(0)));
  }

  // It was on its way while the store came back, and says nothing about the rows of now.
  void LateResponseOfTheEraBeforeIsTaken()
  {
    RestoredStore store;
    store.era = "4";
    store.version = 450;
    const auto before = store.Read();
    store.era = "3";
    CPPUNIT_ASSERT(!store.Read());
    CPPUNIT_ASSERT(!store.Follow(before->version));
    store.era = "4";
    CPPUNIT_ASSERT(static_cast<bool>(store.Read()));
  }

  // Such a response counts as of the era that is known.
  void MalformedEraIsTaken()
  {
    RestoredStore store;
    store.era = "4";
    store.version = 450;
    const auto before = store.Read();
    for (const char* const era : {"", "x", "4x", "-1", "99999999999999999999", "1000000"})
    {
      store.era = era;
      const auto after = store.Read();
      CPPUNIT_ASSERT_MESSAGE(era, static_cast<bool>(after));
      CPPUNIT_ASSERT_EQUAL(before->version, after->version);
    }
  }

  void VersionsDifferFromTheStoresWithoutAnEra()
  {
    RestoredStore store;
    store.version = 450;
    const auto rows = store.Read();
    CPPUNIT_ASSERT_EQUAL(std::int64_t(450), rows->version);
    CPPUNIT_ASSERT(static_cast<bool>(store.Follow(rows->version)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreClientTest);
} // namespace

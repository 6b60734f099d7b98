// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Small classes of the gateway: EventSplitter, RetryBudget, ServerHealth, ServerDiscovery, and the
// route lookup.

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/EventSplitter.h"
#include "Gateway/RetryBudget.h"
#include "Gateway/ServerDiscovery.h"
#include "Gateway/ServerHealth.h"
#include "UnitTests/Support/Loopback.h"

namespace
{
using namespace Gateway;
using Common::Milliseconds;

class GatewayPartsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GatewayPartsTest);
  CPPUNIT_TEST(EventsAreSplitOnlyAtTheirEnd);
  CPPUNIT_TEST(AlreadySentEventsAreSkipped);
  CPPUNIT_TEST(BudgetCountsOwnRequestsAndAShareOfTheSlack);
  CPPUNIT_TEST(BudgetIsUsableWithMoreDaemonsThanRetries);
  CPPUNIT_TEST(FailingServerIsEjectedAndThenProbedWithOneRequest);
  CPPUNIT_TEST(TheLongestPrefixOfTheHostWins);
  CPPUNIT_TEST(ExpiredEntryIsRemovedAfterTheGracePeriod);
  CPPUNIT_TEST(RemovalIsImmediateWhileTheSourceIsConnected);
  CPPUNIT_TEST(DrainingServerIsRemovedWithoutGracePeriod);
  CPPUNIT_TEST_SUITE_END();

  void EventsAreSplitOnlyAtTheirEnd()
  {
    EventSplitter splitter;
    CPPUNIT_ASSERT_EQUAL(std::string(""), splitter.Feed("id: 1\ndata: a\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"), splitter.Feed("\nid: 2\n"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), *splitter.LastId());
    CPPUNIT_ASSERT_EQUAL(std::string("id: 2\n"), splitter.Partial());
    CPPUNIT_ASSERT_EQUAL(std::string("id: 2\nx\r\n\r\n"), splitter.Feed("x\r\n\r\n"));
  }

  void AlreadySentEventsAreSkipped()
  {
    EventSplitter splitter;
    splitter.StartAfter(5);
    CPPUNIT_ASSERT_EQUAL(std::string("id: 6\n\n"), splitter.Feed("id: 5\n\nid: 6\n\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("data: x\n\n"), splitter.Feed("data: x\n\n"));
  }

  /// Each daemon sees one request and tries to send it again as often as it may.
  void BudgetIsUsableWithMoreDaemonsThanRetries()
  {
    constexpr double SLACK = 1040;
    constexpr double RATIO = 0.2;
    const PoolId pool("p");
    const Common::TimePoint now{std::chrono::hours(1)};
    for (const int daemons : {984, 2000, 4000})
    {
      int retries = 0;
      for (int i = 0; i < daemons; ++i)
      {
        RetryBudget budget;
        budget.Configure({RATIO, SLACK, Milliseconds(10000)});
        budget.SetDaemons(daemons);
        budget.SetRounding((i + 0.5) / daemons);
        budget.NoteRequest(pool, now);
        while (budget.Take(pool, now))
          ++retries;
      }
      const double bound = RATIO * daemons + SLACK;
      CPPUNIT_ASSERT(retries <= bound);
      CPPUNIT_ASSERT(retries >= bound / 2);
    }
  }

  void BudgetCountsOwnRequestsAndAShareOfTheSlack()
  {
    RetryBudget budget;
    budget.Configure({0.2, 40, Milliseconds(10000)});
    budget.SetDaemons(4);
    const PoolId pool("p");
    const auto now = Common::Now();
    int taken = 0;
    while (budget.Take(pool, now))
      ++taken;
    // 0.7 of this daemon's quarter of the slack.
    CPPUNIT_ASSERT_EQUAL(7, taken);
    for (int i = 0; i < 100; ++i)
      budget.NoteRequest(pool, now);
    while (budget.Take(pool, now))
      ++taken;
    CPPUNIT_ASSERT_EQUAL(21, taken);
    CPPUNIT_ASSERT(budget.Take(pool, now + Milliseconds(10001)));
  }

  void FailingServerIsEjectedAndThenProbedWithOneRequest()
  {
    ServerHealth health;
    auto now = Common::Now();
    health.NoteFailure(now);
    health.NoteFailure(now);
    CPPUNIT_ASSERT(!health.IsEjected(now));
    health.NoteFailure(now);
    CPPUNIT_ASSERT(health.IsEjected(now));
    now += Milliseconds(800);
    CPPUNIT_ASSERT(!health.IsEjected(now));
    CPPUNIT_ASSERT(health.IsRecovering());
    health.NoteFailure(now);
    now += Milliseconds(800);
    CPPUNIT_ASSERT(health.IsEjected(now));
    now += Milliseconds(800);
    health.NoteSuccess(now);
    CPPUNIT_ASSERT(!health.IsRecovering());
  }

  void TheLongestPrefixOfTheHostWins()
  {
    Configuration configuration;
    const auto add = [&](const char* name, const char* host, const char* prefix) {
      Route route;
      route.name = name;
      route.host = host;
      route.path_prefix = prefix;
      configuration.routes.push_back(route);
    };
    add("short", "h", "/a/");
    add("long", "h", "/a/b/");
    add("other", "g", "/a/b/c/");
    CPPUNIT_ASSERT_EQUAL(std::string("long"), configuration.FindRoute("H", "/a/b/c/")->name);
    CPPUNIT_ASSERT_EQUAL(std::string("short"), configuration.FindRoute("h", "/a/x")->name);
    CPPUNIT_ASSERT(configuration.FindRoute("h", "/b/") == nullptr);
  }

  static ServerEntry Entry(const char* instance, bool draining = false)
  {
    ServerEntry entry;
    entry.instance = InstanceId(instance);
    entry.draining = draining;
    return entry;
  }

  void ExpiredEntryIsRemovedAfterTheGracePeriod()
  {
    ServerDirectory directory;
    ServerDiscovery discovery(directory);
    const auto now = Common::Now();
    discovery.ApplyEntry(Entry("i-1"));
    discovery.ApplyEntry(Entry("i-2"));
    discovery.NoteStoreLost();
    discovery.NoteStoreRestored(now);
    discovery.ApplySnapshot({}, now);
    CPPUNIT_ASSERT(directory.Find(InstanceId("i-1")) != nullptr);
    discovery.ApplyEntry(Entry("i-1"));
    CPPUNIT_ASSERT(UnitTests::RunUntil([&] {
      return directory.Find(InstanceId("i-2")) == nullptr;
    }));
    CPPUNIT_ASSERT(directory.Find(InstanceId("i-1")) != nullptr);
  }

  void RemovalIsImmediateWhileTheSourceIsConnected()
  {
    ServerDirectory directory;
    ServerDiscovery discovery(directory);
    discovery.ApplyEntry(Entry("i-1"));
    discovery.ApplyRemoval(InstanceId("i-1"), Common::Now());
    CPPUNIT_ASSERT(directory.Empty());
  }

  void DrainingServerIsRemovedWithoutGracePeriod()
  {
    ServerDirectory directory;
    ServerDiscovery discovery(directory);
    const auto now = Common::Now();
    discovery.ApplyEntry(Entry("i-1", true));
    discovery.NoteStoreLost();
    discovery.NoteStoreRestored(now);
    discovery.ApplyRemoval(InstanceId("i-1"), now);
    CPPUNIT_ASSERT(directory.Empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayPartsTest);
} // namespace

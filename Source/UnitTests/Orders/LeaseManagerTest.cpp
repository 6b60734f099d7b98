// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Orders/LeaseManager.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Fleet/StoreVersion.h"
#include "UnitTests/Support/Loopback.h"

namespace
{
using namespace Orders;
using Common::Milliseconds;
using UnitTests::RunFor;
using UnitTests::RunUntil;

/// A store with a single row. Tests can make it drop or delay its responses.
class FakeStore
{
public:
  using Done = std::function<void(Common::Result<std::int64_t>)>;

  void ReplaceLease(std::int64_t expected, const LeaseRecord& next, Done done)
  {
    ++calls;
    if (down)
    {
      Later([done] {
        done(Common::Failure{Common::FailureKind::Timeout, "down"});
      });
      return;
    }
    if (expected != (is_removed ? Fleet::ABSENT_ROW : version))
    {
      Later([done] {
        done(Common::Failure{Common::FailureKind::Conflict, "moved"});
      });
      return;
    }
    record = next;
    is_removed = false;
    ++version;
    if (lose_responses)
      Later([done] {
        done(Common::Failure{Common::FailureKind::OutcomeUnknown, "lost"});
      });
    else
      Later([done, now = version] {
        done(now);
      });
  }

  void Later(std::function<void()> callback)
  {
    if (hold_responses)
      held.push_back(std::move(callback));
    else
      m_soon.Call(std::move(callback));
  }

  LeaseRecord record;
  std::int64_t version = 0;
  bool is_removed = false; ///< At `version`, by another writer.
  bool down = false;
  bool lose_responses = false;
  bool hold_responses = false; ///< Responses are queued in `held`.
  std::vector<std::function<void()>> held;
  int calls = 0;

private:
  UnitTests::DeferredCaller m_soon;
};

using Manager = LeaseManager<FakeStore>;

LeaseSettings Settings(const char* vm)
{
  LeaseSettings settings;
  settings.self = Common::VmId(vm);
  settings.run = Common::Incarnation(std::string("run-") + vm);
  settings.address = "127.0.0.1:1";
  settings.duration = Milliseconds(900);
  settings.holder_pause = Milliseconds(300);
  return settings;
}

bool Holds(const Manager& manager)
{
  return manager.Holds(Common::Now());
}

class LeaseManagerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LeaseManagerTest);
  CPPUNIT_TEST(AcquiresAndRenewsAFreeLease);
  CPPUNIT_TEST(OnlyOneOfTwoContendersHoldsTheLease);
  CPPUNIT_TEST(HolderStopsBeforeItsLeaseExpires);
  CPPUNIT_TEST(NextHolderWaitsForExpiryAndPause);
  CPPUNIT_TEST(LostResponseDoesNotAcquireTheLease);
  CPPUNIT_TEST(PauseIsObservedAfterALostResponse);
  CPPUNIT_TEST(ReleasedLeaseIsAcquiredAtOnceButOrdersWait);
  CPPUNIT_TEST(ReleaseIsWrittenAfterAPendingRenewal);
  CPPUNIT_TEST(AnnouncementShortensTheWaitNoFurtherThanTheRemainingTime);
  CPPUNIT_TEST(AbdicationFreesTheLeaseAtOnceButThePauseIsObserved);
  CPPUNIT_TEST(AnnouncementOlderThanTheRowIsIgnored);
  CPPUNIT_TEST(NoOrdersAfterAbdication);
  CPPUNIT_TEST(WritesBackOffWhileTheStoreIsDown);
  CPPUNIT_TEST(RestartedHolderReacquiresItsLeaseAtOnce);
  CPPUNIT_TEST(NoWritesWhileTheStoreIsUnreachable);
  CPPUNIT_TEST(HandicapStartsWhenTheStoreReturns);
  CPPUNIT_TEST(HandicapAppliesToAWeakVmThatLosesItsLease);
  CPPUNIT_TEST(NoHandicapIfAllVmsAreEquallyWeak);
  CPPUNIT_TEST(LastHolderGoesFirstAfterAnOutage);
  CPPUNIT_TEST(DeferredHolderTakesItsLeaseBack);
  CPPUNIT_TEST(NextHolderWaitsThoughTheLeaseWasResigned);
  CPPUNIT_TEST(ResignationDuringARenewalIsLost);
  CPPUNIT_TEST(DelayThatHasBegunIgnoresADeferral);
  CPPUNIT_TEST(LateResponseIsTakenForTheLatestRow);
  CPPUNIT_TEST(SpoiltRowIsTakenForAFreeLease);
  CPPUNIT_TEST(SpoiltRowIsTakenForAFreeLeaseAtTheStart);
  CPPUNIT_TEST(LeaseIsNeverAcquiredOnceTheRowWasRemoved);
  CPPUNIT_TEST(RestartedHolderTakesARestoredRowForItsOwn);
  CPPUNIT_TEST(RestoredReleaseIsTakenForAFreeLease);
  CPPUNIT_TEST(AbsentRowIsTakenForTheFirstStartAfterARestore);
  CPPUNIT_TEST(AbsentRowIsTakenForAFreeLeaseAfterARestore);
  CPPUNIT_TEST(HolderStopsOverARestore);
  CPPUNIT_TEST(HolderGoesOnThoughAnotherOneAcquiredAfterARestore);
  CPPUNIT_TEST(HolderWhoseLeaseHasExpiredGoesOnAfterARestore);
  CPPUNIT_TEST_SUITE_END();

  void AcquiresAndRenewsAFreeLease()
  {
    FakeStore store;
    Manager manager(store, Settings("a"));
    manager.OnRow(0, std::nullopt);
    manager.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(manager);
    }));
    CPPUNIT_ASSERT(manager.MaySendOrders(Common::Now()));
    const auto fence = manager.Fence();
    RunFor(Milliseconds(1500));
    CPPUNIT_ASSERT(Holds(manager));
    CPPUNIT_ASSERT_EQUAL(fence, manager.Fence());
    CPPUNIT_ASSERT(store.version >= 3);
  }

  void OnlyOneOfTwoContendersHoldsTheLease()
  {
    FakeStore store;
    Manager first(store, Settings("a"));
    Manager second(store, Settings("b"));
    first.OnRow(0, std::nullopt);
    second.OnRow(0, std::nullopt);
    first.Start();
    second.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(first) || Holds(second);
    }));
    for (int i = 0; i < 20; ++i)
    {
      RunFor(Milliseconds(50));
      first.OnRow(store.version, store.record);
      second.OnRow(store.version, store.record);
      CPPUNIT_ASSERT(!(Holds(first) && Holds(second)));
    }
  }

  void HolderStopsBeforeItsLeaseExpires()
  {
    FakeStore store;
    Manager manager(store, Settings("a"));
    manager.OnRow(0, std::nullopt);
    manager.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(manager);
    }));
    store.down = true;
    const auto begun = Common::Now();
    CPPUNIT_ASSERT(RunUntil([&] {
      return !Holds(manager);
    }));
    CPPUNIT_ASSERT(Common::Now() - begun <= Milliseconds(900));
  }

  void NextHolderWaitsForExpiryAndPause()
  {
    FakeStore store;
    store.version = 5;
    store.record = {Common::VmId("dead"), Common::Incarnation("r"), "127.0.0.1:2"};
    Manager manager(store, Settings("a"));
    const auto begun = Common::Now();
    manager.OnRow(5, store.record);
    manager.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(manager);
    }));
    CPPUNIT_ASSERT(Common::Now() - begun >= Milliseconds(900));
    CPPUNIT_ASSERT(!manager.MaySendOrders(Common::Now()));
    const auto held = Common::Now();
    CPPUNIT_ASSERT(RunUntil([&] {
      return manager.MaySendOrders(Common::Now());
    }));
    CPPUNIT_ASSERT(Common::Now() - held >= Milliseconds(250));
  }

  void LostResponseDoesNotAcquireTheLease()
  {
    FakeStore store;
    store.lose_responses = true;
    Manager manager(store, Settings("a"));
    manager.OnRow(0, std::nullopt);
    manager.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return store.version == 1;
    }));
    RunFor(Milliseconds(100));
    CPPUNIT_ASSERT(!Holds(manager));
    store.lose_responses = false;
    manager.OnRow(store.version, store.record);
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(manager);
    }));
  }

  void PauseIsObservedAfterALostResponse()
  {
    // The previous holder has just released the lease. The write takes effect, but its response is
    // lost.
    FakeStore store;
    store.version = 5;
    store.record = {};
    store.lose_responses = true;
    Manager manager(store, Settings("a"));
    manager.OnRow(5, store.record);
    manager.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return store.version == 6;
    }));
    RunFor(Milliseconds(20));
    store.lose_responses = false;
    manager.OnRow(store.version, store.record);
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(manager);
    }));
    CPPUNIT_ASSERT(!manager.MaySendOrders(Common::Now()));
    CPPUNIT_ASSERT(RunUntil([&] {
      return manager.MaySendOrders(Common::Now());
    }));
  }

  void ReleasedLeaseIsAcquiredAtOnceButOrdersWait()
  {
    FakeStore store;
    Manager first(store, Settings("a"));
    first.OnRow(0, std::nullopt);
    first.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(first);
    }));
    first.Release();
    CPPUNIT_ASSERT(!Holds(first));
    CPPUNIT_ASSERT(RunUntil([&] {
      return store.record.holder.Empty();
    }));
    Manager second(store, Settings("b"));
    const auto begun = Common::Now();
    second.OnRow(store.version, store.record);
    second.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(second);
    }));
    CPPUNIT_ASSERT(Common::Now() - begun < Milliseconds(700));
    CPPUNIT_ASSERT(!second.MaySendOrders(Common::Now()));
  }

  void ReleaseIsWrittenAfterAPendingRenewal()
  {
    FakeStore store;
    Manager manager(store, Settings("a"));
    manager.OnRow(0, std::nullopt);
    manager.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(manager);
    }));
    store.hold_responses = true;
    CPPUNIT_ASSERT(RunUntil([&] {
      return store.held.size() == 1;
    }));
    manager.Release();
    CPPUNIT_ASSERT(!Holds(manager));
    store.hold_responses = false;
    store.held.front()();
    CPPUNIT_ASSERT(RunUntil([&] {
      return store.record.holder.Empty();
    }));
  }

  void AnnouncementShortensTheWaitNoFurtherThanTheRemainingTime()
  {
    FakeStore store;
    store.version = 5;
    store.record = {Common::VmId("dead"), Common::Incarnation("r"), "127.0.0.1:2"};
    Manager manager(store, Settings("a"));
    manager.OnRow(5, store.record);
    const auto begun = Common::Now();
    manager.OnHolderAnnouncement(5, store.record, Milliseconds(300));
    manager.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(manager);
    }));
    CPPUNIT_ASSERT(Common::Now() - begun >= Milliseconds(300));
    CPPUNIT_ASSERT(Common::Now() - begun < Milliseconds(1100));
  }

  void AbdicationFreesTheLeaseAtOnceButThePauseIsObserved()
  {
    FakeStore store;
    store.version = 5;
    store.record = {Common::VmId("cut"), Common::Incarnation("r"), "127.0.0.1:2"};
    LeaseSettings settings = Settings("a");
    settings.duration = Milliseconds(5000);
    Manager manager(store, settings);
    manager.OnRow(5, store.record);
    const auto begun = Common::Now();
    manager.OnHolderAnnouncement(5, store.record, Milliseconds(0));
    manager.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(manager);
    }));
    CPPUNIT_ASSERT(Common::Now() - begun < Milliseconds(1000));
    CPPUNIT_ASSERT(!manager.MaySendOrders(Common::Now()));
    const auto held = Common::Now();
    CPPUNIT_ASSERT(RunUntil([&] {
      return manager.MaySendOrders(Common::Now());
    }));
    CPPUNIT_ASSERT(Common::Now() - held >= Milliseconds(250));
  }

  void AnnouncementOlderThanTheRowIsIgnored()
  {
    FakeStore store;
    store.version = 6;
    store.record = {Common::VmId("other"), Common::Incarnation("r"), "127.0.0.1:2"};
    LeaseSettings settings = Settings("a");
    settings.duration = Milliseconds(5000);
    Manager manager(store, settings);
    manager.OnRow(6, store.record);
    manager.OnHolderAnnouncement(5, store.record, Milliseconds(0));
    manager.Start();
    RunFor(Milliseconds(900));
    CPPUNIT_ASSERT(!Holds(manager));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(6), store.version);
  }

  void NoOrdersAfterAbdication()
  {
    FakeStore store;
    Manager manager(store, Settings("a"));
    manager.OnRow(0, std::nullopt);
    manager.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return manager.MaySendOrders(Common::Now());
    }));
    const auto fence = manager.Fence();
    store.down = true;
    manager.Abdicate();
    RunFor(Milliseconds(300));
    CPPUNIT_ASSERT(!manager.MaySendOrders(Common::Now()));
    store.down = false;
    CPPUNIT_ASSERT(RunUntil([&] {
      return manager.MaySendOrders(Common::Now());
    }));
    CPPUNIT_ASSERT(manager.Fence() > fence);
  }

  void WritesBackOffWhileTheStoreIsDown()
  {
    FakeStore store;
    store.down = true;
    Manager manager(store, Settings("a"));
    manager.OnRow(0, std::nullopt);
    manager.Start();
    RunFor(Milliseconds(3000));
    CPPUNIT_ASSERT(store.calls >= 2);
    CPPUNIT_ASSERT(store.calls <= 6);
    store.down = false;
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(manager);
    }));
  }

  void RestartedHolderReacquiresItsLeaseAtOnce()
  {
    FakeStore store;
    store.version = 5;
    store.record = {Common::VmId("a"), Common::Incarnation("before"), "127.0.0.1:2", true};
    Manager manager(store, Settings("a"));
    manager.OnRow(5, store.record);
    const auto begun = Common::Now();
    manager.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return manager.MaySendOrders(Common::Now());
    }));
    CPPUNIT_ASSERT(Common::Now() - begun < Milliseconds(500));
    CPPUNIT_ASSERT(manager.Fence() > 5);
  }

  void NoWritesWhileTheStoreIsUnreachable()
  {
    FakeStore store;
    store.down = true;
    Manager manager(store, Settings("a"));
    manager.OnRow(0, std::nullopt);
    manager.OnStoreLost();
    manager.Start();
    RunFor(Milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(0, store.calls);
    store.down = false;
    manager.OnStoreBack();
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(manager);
    }));
    CPPUNIT_ASSERT_EQUAL(1, store.calls);
  }

  void HandicapStartsWhenTheStoreReturns()
  {
    // The lease has been free for longer than the handicap when the store returns.
    FakeStore store;
    LeaseSettings settings = Settings("weak");
    settings.handicap = Milliseconds(800);
    Manager manager(store, settings);
    manager.OnRow(0, std::nullopt);
    manager.OnStoreLost();
    manager.Start();
    RunFor(Milliseconds(1500));
    manager.OnStoreBack();
    RunFor(Milliseconds(700));
    CPPUNIT_ASSERT_EQUAL(0, store.calls);
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(manager);
    }));
  }

  void LastHolderGoesFirstAfterAnOutage()
  {
    // The row names "a", whose lease expired long ago. "b" detects the store's return before "a".
    FakeStore store;
    Manager last(store, Settings("a"));
    Manager other(store, Settings("b"));
    for (Manager* manager : {&last, &other})
    {
      manager->OnRow(7,
                     LeaseRecord{Common::VmId("a"), Common::Incarnation("r"), "10.0.0.1:1", true});
      manager->OnStoreLost();
    }
    store.version = 7;
    RunFor(Settings("a").duration + Milliseconds(500));
    other.Start();
    other.OnStoreBack();
    RunFor(Milliseconds(900));
    CPPUNIT_ASSERT(!Holds(other));
    last.Start();
    last.OnStoreBack();
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(last);
    }));
    CPPUNIT_ASSERT(last.MaySendOrders(Common::Now()));
    CPPUNIT_ASSERT(!Holds(other));
  }

  // The store lost the span in which "b" acquired the lease that "a" had released; "b" may act
  // until its lease expires, and the pause follows.
  void RestartedHolderTakesARestoredRowForItsOwn()
  {
    FakeStore store;
    store.version = Fleet::VersionIn(2, 440);
    store.record = {Common::VmId("a"), Common::Incarnation("before"), "127.0.0.1:2", true, 1};
    Manager manager(store, Settings("a"));
    OrdersOnlyAfterTheUnknownHolder(manager, [&] {
      manager.OnRow(store.version, store.record);
    });
    CPPUNIT_ASSERT_EQUAL(std::int64_t(2), store.record.era);
  }

  void RestoredReleaseIsTakenForAFreeLease()
  {
    FakeStore store;
    store.version = Fleet::VersionIn(2, 440);
    store.record.era = 1;
    Manager manager(store, Settings("a"));
    OrdersOnlyAfterTheUnknownHolder(manager, [&] {
      manager.OnRow(store.version, store.record);
    });
  }

  void AbsentRowIsTakenForAFreeLeaseAfterARestore()
  {
    FakeStore store;
    store.version = Fleet::VersionIn(2, Fleet::ABSENT_ROW);
    Manager manager(store, Settings("a"));
    manager.OnRow(Fleet::VersionIn(1, 450),
                  LeaseRecord{Common::VmId("b"), Common::Incarnation("r"), "127.0.0.1:2", true, 1});
    OrdersOnlyAfterTheUnknownHolder(manager, [&] {
      manager.OnRow(store.version, std::nullopt);
    });
  }

  /// A daemon starts after the store has come back from a copy that is older than the lease row.
  void AbsentRowIsTakenForTheFirstStartAfterARestore()
  {
    FakeStore store;
    store.version = Fleet::VersionIn(1, Fleet::ABSENT_ROW);
    Manager manager(store, Settings("a"));
    OrdersOnlyAfterTheUnknownHolder(manager, [&] {
      manager.OnRow(store.version, std::nullopt);
    });
  }

  /// The daemon was suspended between the store's response and its arrival, and another daemon has
  /// acquired the lease since.
  void LateResponseIsTakenForTheLatestRow()
  {
    FakeStore store;
    Manager manager(store, Settings("a"));
    HoldLease(store, manager);
    store.hold_responses = true;
    CPPUNIT_ASSERT(RunUntil([&] {
      return store.held.size() == 1;
    }));
    store.record = {Common::VmId("b"), Common::Incarnation("r"), "127.0.0.1:2", true};
    manager.OnRow(++store.version, store.record);
    store.hold_responses = false;
    store.held.front()();
    CPPUNIT_ASSERT(!Holds(manager));
  }

  /// Another writer has removed the row of a holder that may still order, or made it unreadable.
  void SpoiltRowIsTakenForAFreeLease()
  {
    FakeStore store;
    store.version = 8;
    Manager manager(store, Settings("a"));
    manager.OnRow(7, LeaseRecord{Common::VmId("b"), Common::Incarnation("r"), "127.0.0.1:2", true});
    OrdersOnlyAfterTheUnknownHolder(manager, [&] {
      manager.OnRow(store.version, std::nullopt);
    });
  }

  void SpoiltRowIsTakenForAFreeLeaseAtTheStart()
  {
    FakeStore store;
    store.version = 8;
    Manager manager(store, Settings("a"));
    OrdersOnlyAfterTheUnknownHolder(manager, [&] {
      manager.OnRow(store.version, std::nullopt);
    });
  }

  /// The store expects an absent row then, and not the version of the removal.
  void LeaseIsNeverAcquiredOnceTheRowWasRemoved()
  {
    FakeStore store;
    store.version = 8;
    store.is_removed = true;
    Manager manager(store, Settings("a"));
    manager.OnRow(7, LeaseRecord{Common::VmId("b"), Common::Incarnation("r"), "127.0.0.1:2", true});
    OrdersOnlyAfterTheUnknownHolder(manager, [&] {
      manager.OnRow(store.version, std::nullopt);
    });
  }

  // Nobody else can have acquired the lease while that of the holder is valid.
  void HolderStopsOverARestore()
  {
    FakeStore store;
    store.version = Fleet::VersionIn(1, 450);
    Manager manager(store, Settings("a"));
    const auto fence = HoldLease(store, manager);
    store.version = Fleet::VersionIn(2, 440);
    store.record = {Common::VmId("b"), Common::Incarnation("r"), "127.0.0.1:2", true, 1};
    manager.OnRow(store.version, store.record);
    CPPUNIT_ASSERT(RunUntil(
        [&] {
          return manager.MaySendOrders(Common::Now()) && manager.Fence() > fence;
        },
        Milliseconds(150)));
    CPPUNIT_ASSERT(store.record.holder == Common::VmId("a"));
  }

  void HolderGoesOnThoughAnotherOneAcquiredAfterARestore()
  {
    FakeStore store;
    store.version = Fleet::VersionIn(1, 450);
    Manager manager(store, Settings("a"));
    HoldLease(store, manager);
    store.version = Fleet::VersionIn(2, 441);
    store.record = {Common::VmId("b"), Common::Incarnation("r"), "127.0.0.1:2", true, 2};
    manager.OnRow(store.version, store.record);
    CPPUNIT_ASSERT(!Holds(manager));
    RunFor(Milliseconds(600));
    CPPUNIT_ASSERT(!Holds(manager));
  }

  void HolderWhoseLeaseHasExpiredGoesOnAfterARestore()
  {
    FakeStore store;
    store.version = Fleet::VersionIn(1, 450);
    Manager manager(store, Settings("a"));
    HoldLease(store, manager);
    store.down = true;
    CPPUNIT_ASSERT(RunUntil([&] {
      return !Holds(manager);
    }));
    store.down = false;
    store.version = Fleet::VersionIn(2, 440);
    store.record.era = 1;
    OrdersOnlyAfterTheUnknownHolder(manager, [&] {
      manager.OnRow(store.version, store.record);
    });
  }

  /// Returns the fence.
  static std::int64_t HoldLease(FakeStore& store, Manager& manager)
  {
    store.record.era = Fleet::EraOf(store.version);
    manager.OnRow(store.version, store.record);
    manager.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return manager.MaySendOrders(Common::Now());
    }));
    return manager.Fence();
  }

  /// A holder of which the row says nothing may act for the lease's duration.
  static void OrdersOnlyAfterTheUnknownHolder(Manager& manager, const std::function<void()>& see)
  {
    const auto seen_at = Common::Now();
    see();
    manager.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return manager.MaySendOrders(Common::Now());
    }));
    const auto settings = Settings("a");
    CPPUNIT_ASSERT(Common::Now() - seen_at >= settings.duration + settings.holder_pause);
  }

  void HandicapAppliesToAWeakVmThatLosesItsLease()
  {
    FakeStore store;
    LeaseSettings settings = Settings("weak");
    settings.handicap = Milliseconds(600);
    Manager manager(store, settings);
    manager.OnRow(0, std::nullopt);
    manager.Start();
    const auto lose = [&] {
      CPPUNIT_ASSERT(RunUntil([&] {
        return Holds(manager);
      }));
      manager.Abdicate();
      return store.calls;
    };
    const int calls = lose();
    RunFor(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(calls, store.calls);
    const int calls_after_second = lose();
    RunFor(Milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(calls_after_second, store.calls);
  }

  void NoHandicapIfAllVmsAreEquallyWeak()
  {
    FakeStore store;
    LeaseSettings settings = Settings("weak");
    settings.handicap = Milliseconds(2000);
    Manager manager(store, settings);
    manager.SetContenders(5, Milliseconds(2000));
    manager.OnRow(0, std::nullopt);
    const auto begun = Common::Now();
    manager.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(manager);
    }));
    CPPUNIT_ASSERT(Common::Now() - begun < Milliseconds(1000));
  }

  static void Acquire(Manager& manager)
  {
    manager.OnRow(0, std::nullopt);
    manager.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(manager);
    }));
  }

  /// The others wait until the lease expires, as the row does not show that it was abdicated.
  void DeferredHolderTakesItsLeaseBack()
  {
    FakeStore store;
    Manager first(store, Settings("a"));
    Manager second(store, Settings("b"));
    Acquire(first);
    first.SetDeferral(Milliseconds(500));
    first.Abdicate();
    second.OnRow(store.version, store.record);
    second.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(first) || Holds(second);
    }));
    CPPUNIT_ASSERT(Holds(second));
  }

  void NextHolderWaitsThoughTheLeaseWasResigned()
  {
    FakeStore store;
    Manager first(store, Settings("a"));
    Manager second(store, Settings("b"));
    Acquire(first);
    first.SetDeferral(Milliseconds(3000));
    const auto begun = Common::Now();
    first.Resign();
    CPPUNIT_ASSERT(!Holds(first));
    second.OnRow(store.version, store.record);
    second.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(second);
    }));
    CPPUNIT_ASSERT(Common::Now() - begun < Settings("b").duration);
    CPPUNIT_ASSERT(!second.MaySendOrders(Common::Now()));
    CPPUNIT_ASSERT(!Holds(first));
  }

  void ResignationDuringARenewalIsLost()
  {
    FakeStore store;
    Manager manager(store, Settings("a"));
    Acquire(manager);
    store.hold_responses = true;
    CPPUNIT_ASSERT(RunUntil([&] {
      return !store.held.empty();
    }));
    manager.SetDeferral(Milliseconds(3000));
    manager.Resign();
    store.hold_responses = false;
    store.held.front()();
    CPPUNIT_ASSERT(store.record.holder.Empty());
    RunFor(Milliseconds(300));
    CPPUNIT_ASSERT(!Holds(manager));
  }

  void DelayThatHasBegunIgnoresADeferral()
  {
    FakeStore store;
    LeaseSettings settings = Settings("a");
    settings.handicap = Milliseconds(500);
    Manager manager(store, settings);
    manager.OnRow(0, std::nullopt);
    manager.Start();
    RunFor(Milliseconds(250));
    manager.SetDeferral(Milliseconds(2000));
    RunFor(Milliseconds(1000));
    CPPUNIT_ASSERT(!Holds(manager));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseManagerTest);
} // namespace

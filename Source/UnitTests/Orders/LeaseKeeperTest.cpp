// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Orders/LeaseKeeper.h"

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/Loopback.h"

namespace
{
using namespace Orders;
using Common::Milliseconds;
using UnitTests::RunFor;
using UnitTests::RunUntil;

/// A store with a single row. Tests can make it drop or delay its answers.
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
    if (expected != version)
    {
      Later([done] {
        done(Common::Failure{Common::FailureKind::Conflict, "moved"});
      });
      return;
    }
    record = next;
    ++version;
    if (lose_answers)
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
    if (hold_answers)
      held.push_back(std::move(callback));
    else
      m_soon.Call(std::move(callback));
  }

  LeaseRecord record;
  std::int64_t version = 0;
  bool down = false;
  bool lose_answers = false;
  bool hold_answers = false; ///< Answers are queued in `held`.
  std::vector<std::function<void()>> held;
  int calls = 0;

private:
  UnitTests::DeferredCaller m_soon;
};

using Keeper = LeaseKeeper<FakeStore>;

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

bool Holds(const Keeper& keeper)
{
  return keeper.Holds(Common::Now());
}

class LeaseKeeperTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LeaseKeeperTest);
  CPPUNIT_TEST(TakesAFreeLeaseAndRenewsIt);
  CPPUNIT_TEST(OnlyOneOfTwoHolds);
  CPPUNIT_TEST(StopsBeforeItsTimeIsOver);
  CPPUNIT_TEST(TheNextWaitsOutTheTimeAndThePause);
  CPPUNIT_TEST(ALostAnswerIsNotAnAcquisition);
  CPPUNIT_TEST(AfterALostAnswerThePauseIsStillOwed);
  CPPUNIT_TEST(AReleasedLeaseIsTakenAtOnceButOrdersWait);
  CPPUNIT_TEST(ALeaseIsGivenBackBehindARenewalOnItsWay);
  CPPUNIT_TEST(TheHoldersWordShortensTheWaitNeverBelowItsTime);
  CPPUNIT_TEST(AnAbdicationFreesTheLeaseAtOnceButThePauseIsOwed);
  CPPUNIT_TEST(AnOlderWordThanTheRowIsIgnored);
  CPPUNIT_TEST(AnAbdicatedHolderOrdersNoMore);
  CPPUNIT_TEST(AStoreThatIsOutIsAskedLessAndLess);
  CPPUNIT_TEST(ARestartedHolderTakesItsOwnLeaseAtOnce);
  CPPUNIT_TEST(AStoreThatIsLostIsNotWrittenTo);
  CPPUNIT_TEST(AWeakVmWaitsFromTheReturnOfTheStoreOn);
  CPPUNIT_TEST(AWeakVmThatLosesItsLeaseLeavesItToOthers);
  CPPUNIT_TEST(WhereAllVmsAreWeakNobodyWaits);
  CPPUNIT_TEST(AfterAnOutageTheLastHolderGoesFirst);
  CPPUNIT_TEST_SUITE_END();

  void TakesAFreeLeaseAndRenewsIt()
  {
    FakeStore store;
    Keeper keeper(store, Settings("a"));
    keeper.OnRow(0, std::nullopt);
    keeper.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(keeper);
    }));
    CPPUNIT_ASSERT(keeper.MayOrder(Common::Now()));
    const auto fence = keeper.Fence();
    RunFor(Milliseconds(1500));
    CPPUNIT_ASSERT(Holds(keeper));
    CPPUNIT_ASSERT_EQUAL(fence, keeper.Fence());
    CPPUNIT_ASSERT(store.version >= 3);
  }

  void OnlyOneOfTwoHolds()
  {
    FakeStore store;
    Keeper first(store, Settings("a"));
    Keeper second(store, Settings("b"));
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

  void StopsBeforeItsTimeIsOver()
  {
    FakeStore store;
    Keeper keeper(store, Settings("a"));
    keeper.OnRow(0, std::nullopt);
    keeper.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(keeper);
    }));
    store.down = true;
    const auto begun = Common::Now();
    CPPUNIT_ASSERT(RunUntil([&] {
      return !Holds(keeper);
    }));
    CPPUNIT_ASSERT(Common::Now() - begun <= Milliseconds(900));
  }

  void TheNextWaitsOutTheTimeAndThePause()
  {
    FakeStore store;
    store.version = 5;
    store.record = {Common::VmId("dead"), Common::Incarnation("r"), "127.0.0.1:2"};
    Keeper keeper(store, Settings("a"));
    const auto begun = Common::Now();
    keeper.OnRow(5, store.record);
    keeper.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(keeper);
    }));
    CPPUNIT_ASSERT(Common::Now() - begun >= Milliseconds(900));
    CPPUNIT_ASSERT(!keeper.MayOrder(Common::Now()));
    const auto held = Common::Now();
    CPPUNIT_ASSERT(RunUntil([&] {
      return keeper.MayOrder(Common::Now());
    }));
    CPPUNIT_ASSERT(Common::Now() - held >= Milliseconds(250));
  }

  void ALostAnswerIsNotAnAcquisition()
  {
    FakeStore store;
    store.lose_answers = true;
    Keeper keeper(store, Settings("a"));
    keeper.OnRow(0, std::nullopt);
    keeper.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return store.version == 1;
    }));
    RunFor(Milliseconds(100));
    CPPUNIT_ASSERT(!Holds(keeper));
    store.lose_answers = false;
    keeper.OnRow(store.version, store.record);
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(keeper);
    }));
  }

  void AfterALostAnswerThePauseIsStillOwed()
  {
    // The previous holder has just released the lease. The write takes effect, but its answer is
    // lost.
    FakeStore store;
    store.version = 5;
    store.record = {};
    store.lose_answers = true;
    Keeper keeper(store, Settings("a"));
    keeper.OnRow(5, store.record);
    keeper.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return store.version == 6;
    }));
    RunFor(Milliseconds(20));
    store.lose_answers = false;
    keeper.OnRow(store.version, store.record);
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(keeper);
    }));
    CPPUNIT_ASSERT(!keeper.MayOrder(Common::Now()));
    CPPUNIT_ASSERT(RunUntil([&] {
      return keeper.MayOrder(Common::Now());
    }));
  }

  void AReleasedLeaseIsTakenAtOnceButOrdersWait()
  {
    FakeStore store;
    Keeper first(store, Settings("a"));
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
    Keeper second(store, Settings("b"));
    const auto begun = Common::Now();
    second.OnRow(store.version, store.record);
    second.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(second);
    }));
    CPPUNIT_ASSERT(Common::Now() - begun < Milliseconds(700));
    CPPUNIT_ASSERT(!second.MayOrder(Common::Now()));
  }

  void ALeaseIsGivenBackBehindARenewalOnItsWay()
  {
    FakeStore store;
    Keeper keeper(store, Settings("a"));
    keeper.OnRow(0, std::nullopt);
    keeper.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(keeper);
    }));
    store.hold_answers = true;
    CPPUNIT_ASSERT(RunUntil([&] {
      return store.held.size() == 1;
    }));
    keeper.Release();
    CPPUNIT_ASSERT(!Holds(keeper));
    store.hold_answers = false;
    store.held.front()();
    CPPUNIT_ASSERT(RunUntil([&] {
      return store.record.holder.Empty();
    }));
  }

  void TheHoldersWordShortensTheWaitNeverBelowItsTime()
  {
    FakeStore store;
    store.version = 5;
    store.record = {Common::VmId("dead"), Common::Incarnation("r"), "127.0.0.1:2"};
    Keeper keeper(store, Settings("a"));
    keeper.OnRow(5, store.record);
    const auto begun = Common::Now();
    keeper.OnHolderWord(5, store.record, Milliseconds(300));
    keeper.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(keeper);
    }));
    CPPUNIT_ASSERT(Common::Now() - begun >= Milliseconds(300));
    CPPUNIT_ASSERT(Common::Now() - begun < Milliseconds(1100));
  }

  void AnAbdicationFreesTheLeaseAtOnceButThePauseIsOwed()
  {
    FakeStore store;
    store.version = 5;
    store.record = {Common::VmId("cut"), Common::Incarnation("r"), "127.0.0.1:2"};
    LeaseSettings settings = Settings("a");
    settings.duration = Milliseconds(5000);
    Keeper keeper(store, settings);
    keeper.OnRow(5, store.record);
    const auto begun = Common::Now();
    keeper.OnHolderWord(5, store.record, Milliseconds(0));
    keeper.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(keeper);
    }));
    CPPUNIT_ASSERT(Common::Now() - begun < Milliseconds(1000));
    CPPUNIT_ASSERT(!keeper.MayOrder(Common::Now()));
    const auto held = Common::Now();
    CPPUNIT_ASSERT(RunUntil([&] {
      return keeper.MayOrder(Common::Now());
    }));
    CPPUNIT_ASSERT(Common::Now() - held >= Milliseconds(250));
  }

  void AnOlderWordThanTheRowIsIgnored()
  {
    FakeStore store;
    store.version = 6;
    store.record = {Common::VmId("other"), Common::Incarnation("r"), "127.0.0.1:2"};
    LeaseSettings settings = Settings("a");
    settings.duration = Milliseconds(5000);
    Keeper keeper(store, settings);
    keeper.OnRow(6, store.record);
    keeper.OnHolderWord(5, store.record, Milliseconds(0));
    keeper.Start();
    RunFor(Milliseconds(900));
    CPPUNIT_ASSERT(!Holds(keeper));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(6), store.version);
  }

  void AnAbdicatedHolderOrdersNoMore()
  {
    FakeStore store;
    Keeper keeper(store, Settings("a"));
    keeper.OnRow(0, std::nullopt);
    keeper.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return keeper.MayOrder(Common::Now());
    }));
    const auto fence = keeper.Fence();
    store.down = true;
    keeper.Abdicate();
    RunFor(Milliseconds(300));
    CPPUNIT_ASSERT(!keeper.MayOrder(Common::Now()));
    store.down = false;
    CPPUNIT_ASSERT(RunUntil([&] {
      return keeper.MayOrder(Common::Now());
    }));
    CPPUNIT_ASSERT(keeper.Fence() > fence);
  }

  void AStoreThatIsOutIsAskedLessAndLess()
  {
    FakeStore store;
    store.down = true;
    Keeper keeper(store, Settings("a"));
    keeper.OnRow(0, std::nullopt);
    keeper.Start();
    RunFor(Milliseconds(3000));
    CPPUNIT_ASSERT(store.calls >= 2);
    CPPUNIT_ASSERT(store.calls <= 6);
    store.down = false;
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(keeper);
    }));
  }

  void ARestartedHolderTakesItsOwnLeaseAtOnce()
  {
    FakeStore store;
    store.version = 5;
    store.record = {Common::VmId("a"), Common::Incarnation("before"), "127.0.0.1:2", true};
    Keeper keeper(store, Settings("a"));
    keeper.OnRow(5, store.record);
    const auto begun = Common::Now();
    keeper.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return keeper.MayOrder(Common::Now());
    }));
    CPPUNIT_ASSERT(Common::Now() - begun < Milliseconds(500));
    CPPUNIT_ASSERT(keeper.Fence() > 5);
  }

  void AStoreThatIsLostIsNotWrittenTo()
  {
    FakeStore store;
    store.down = true;
    Keeper keeper(store, Settings("a"));
    keeper.OnRow(0, std::nullopt);
    keeper.OnStoreLost();
    keeper.Start();
    RunFor(Milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(0, store.calls);
    store.down = false;
    keeper.OnStoreBack();
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(keeper);
    }));
    CPPUNIT_ASSERT_EQUAL(1, store.calls);
  }

  void AWeakVmWaitsFromTheReturnOfTheStoreOn()
  {
    // The lease has been free for longer than the handicap when the store returns.
    FakeStore store;
    LeaseSettings settings = Settings("weak");
    settings.handicap = Milliseconds(800);
    Keeper keeper(store, settings);
    keeper.OnRow(0, std::nullopt);
    keeper.OnStoreLost();
    keeper.Start();
    RunFor(Milliseconds(1500));
    keeper.OnStoreBack();
    RunFor(Milliseconds(700));
    CPPUNIT_ASSERT_EQUAL(0, store.calls);
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(keeper);
    }));
  }

  void AfterAnOutageTheLastHolderGoesFirst()
  {
    // The row names "a", whose lease expired long ago. "b" detects the store's return before "a".
    FakeStore store;
    Keeper last(store, Settings("a"));
    Keeper other(store, Settings("b"));
    for (Keeper* keeper : {&last, &other})
    {
      keeper->OnRow(7,
                    LeaseRecord{Common::VmId("a"), Common::Incarnation("r"), "10.0.0.1:1", true});
      keeper->OnStoreLost();
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
    CPPUNIT_ASSERT(last.MayOrder(Common::Now()));
    CPPUNIT_ASSERT(!Holds(other));
  }

  void AWeakVmThatLosesItsLeaseLeavesItToOthers()
  {
    FakeStore store;
    LeaseSettings settings = Settings("weak");
    settings.handicap = Milliseconds(600);
    Keeper keeper(store, settings);
    keeper.OnRow(0, std::nullopt);
    keeper.Start();
    const auto lose = [&] {
      CPPUNIT_ASSERT(RunUntil([&] {
        return Holds(keeper);
      }));
      keeper.Abdicate();
      return store.calls;
    };
    const int calls = lose();
    RunFor(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(calls, store.calls);
    const int calls_after_second = lose();
    RunFor(Milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(calls_after_second, store.calls);
  }

  void WhereAllVmsAreWeakNobodyWaits()
  {
    FakeStore store;
    LeaseSettings settings = Settings("weak");
    settings.handicap = Milliseconds(2000);
    Keeper keeper(store, settings);
    keeper.SetContenders(5, Milliseconds(2000));
    keeper.OnRow(0, std::nullopt);
    const auto begun = Common::Now();
    keeper.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return Holds(keeper);
    }));
    CPPUNIT_ASSERT(Common::Now() - begun < Milliseconds(1000));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseKeeperTest);
} // namespace

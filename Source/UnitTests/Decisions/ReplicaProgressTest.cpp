// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Which replicas serve no request in time, as one daemon observes it.

#include "Decisions/ReplicaProgress.h"

#include <cppunit/extensions/HelperMacros.h>

namespace
{
using Common::Milliseconds;
using Common::VmId;
using Decisions::ReplicaProgress;

const auto START = Common::TimePoint() + std::chrono::hours(1);
const ReplicaProgress::ReplicaId REPLICA{VmId("i-1"), "m"};
const ReplicaProgress::ReplicaId OTHER_MODEL{VmId("i-1"), "n"};
const ReplicaProgress::ReplicaId OTHER_SERVER{VmId("i-2"), "m"};
constexpr Milliseconds TARGET{700};

Common::TimePoint At(int ms)
{
  return START + Milliseconds(ms);
}

class ReplicaProgressTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ReplicaProgressTest);
  CPPUNIT_TEST(NothingIsKnownAtTheStart);
  CPPUNIT_TEST(LateAfterTheTargetWithoutAFirstEvent);
  CPPUNIT_TEST(FirstEventsOfOtherRequestsShowProgress);
  CPPUNIT_TEST(OtherReplicasAreNotAffected);
  CPPUNIT_TEST(StaysLateAfterARequestWasGivenUp);
  CPPUNIT_TEST(EndOfAPunctualRequestIsNoLateness);
  CPPUNIT_TEST(ExpectsTheLastTimeWhileEventsArrive);
  CPPUNIT_TEST(ExpectsMoreTheLongerNothingComes);
  CPPUNIT_TEST(PauseOfTheProcessDiscardsLateness);
  CPPUNIT_TEST(ReplacedServerIsForgotten);
  CPPUNIT_TEST(OldObservationsAreForgotten);
  CPPUNIT_TEST_SUITE_END();

  void NothingIsKnownAtTheStart()
  {
    ReplicaProgress progress;
    CPPUNIT_ASSERT(!progress.IsLate(REPLICA, TARGET, At(0)));
    CPPUNIT_ASSERT(!progress.ExpectedFirstEvent(REPLICA, At(0)));
    progress.NoteFirstEvent(REPLICA, 1, At(0));
    progress.NoteEnded(REPLICA, 1);
    progress.NoteGivenUp(REPLICA, 1, At(0));
    CPPUNIT_ASSERT(!progress.ExpectedFirstEvent(REPLICA, At(0)));
  }

  void LateAfterTheTargetWithoutAFirstEvent()
  {
    ReplicaProgress progress;
    progress.NoteSent(REPLICA, 1, At(0));
    progress.NoteSent(REPLICA, 2, At(600));
    CPPUNIT_ASSERT(!progress.IsLate(REPLICA, TARGET, At(700)));
    CPPUNIT_ASSERT(progress.IsLate(REPLICA, TARGET, At(701)));
    CPPUNIT_ASSERT(!progress.IsLate(REPLICA, Milliseconds(2000), At(701)));
    progress.NoteFirstEvent(REPLICA, 1, At(800));
    CPPUNIT_ASSERT(!progress.IsLate(REPLICA, TARGET, At(801)));
  }

  /// A request with a long prompt waits behind others that are served in time.
  void FirstEventsOfOtherRequestsShowProgress()
  {
    ReplicaProgress progress;
    progress.NoteSent(REPLICA, 1, At(0));
    progress.NoteSent(REPLICA, 2, At(1000));
    progress.NoteFirstEvent(REPLICA, 2, At(1400));
    CPPUNIT_ASSERT(!progress.IsLate(REPLICA, TARGET, At(2100)));
    CPPUNIT_ASSERT(progress.IsLate(REPLICA, TARGET, At(2101)));
  }

  void OtherReplicasAreNotAffected()
  {
    ReplicaProgress progress;
    progress.NoteSent(REPLICA, 1, At(0));
    progress.NoteSent(OTHER_MODEL, 2, At(4900));
    CPPUNIT_ASSERT(progress.IsLate(REPLICA, TARGET, At(5000)));
    CPPUNIT_ASSERT(!progress.IsLate(OTHER_MODEL, TARGET, At(5000)));
    CPPUNIT_ASSERT(!progress.IsLate(OTHER_SERVER, TARGET, At(5000)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), progress.CountOpen(OTHER_MODEL));
  }

  /// Without it, the requests of another latency target would be lost whenever the last open one
  /// reached its deadline.
  void StaysLateAfterARequestWasGivenUp()
  {
    ReplicaProgress progress;
    progress.NoteSent(REPLICA, 1, At(0));
    progress.NoteGivenUp(REPLICA, 1, At(5000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), progress.CountOpen(REPLICA));
    CPPUNIT_ASSERT(progress.IsLate(REPLICA, TARGET, At(5001)));
    CPPUNIT_ASSERT(Milliseconds(10000) == progress.ExpectedFirstEvent(REPLICA, At(5001)));
    progress.NoteSent(REPLICA, 2, At(5100));
    progress.NoteFirstEvent(REPLICA, 2, At(5200));
    CPPUNIT_ASSERT(!progress.IsLate(REPLICA, TARGET, At(9000)));
    CPPUNIT_ASSERT(Milliseconds(100) == progress.ExpectedFirstEvent(REPLICA, At(9000)));
  }

  void EndOfAPunctualRequestIsNoLateness()
  {
    ReplicaProgress progress;
    progress.NoteSent(REPLICA, 1, At(0));
    progress.NoteEnded(REPLICA, 1);
    CPPUNIT_ASSERT(!progress.IsLate(REPLICA, TARGET, At(5000)));
    CPPUNIT_ASSERT(!progress.HasOpen());
  }

  void ExpectsTheLastTimeWhileEventsArrive()
  {
    ReplicaProgress progress;
    progress.NoteSent(REPLICA, 1, At(0));
    progress.NoteSent(REPLICA, 2, At(1000));
    progress.NoteFirstEvent(REPLICA, 2, At(1300));
    CPPUNIT_ASSERT(Milliseconds(300) == progress.ExpectedFirstEvent(REPLICA, At(1400)));
  }

  void ExpectsMoreTheLongerNothingComes()
  {
    ReplicaProgress progress;
    progress.NoteSent(REPLICA, 1, At(0));
    progress.NoteFirstEvent(REPLICA, 1, At(500));
    progress.NoteSent(REPLICA, 2, At(1000));
    CPPUNIT_ASSERT(Milliseconds(500) == progress.ExpectedFirstEvent(REPLICA, At(1100)));
    CPPUNIT_ASSERT(Milliseconds(4000) == progress.ExpectedFirstEvent(REPLICA, At(3000)));
  }

  /// After a suspension of the VM the events that have arrived are not read yet.
  void PauseOfTheProcessDiscardsLateness()
  {
    ReplicaProgress progress;
    progress.NoteTick(At(0));
    progress.NoteSent(REPLICA, 1, At(0));
    progress.NoteSent(OTHER_SERVER, 2, At(0));
    for (int ms = 250; ms <= 1000; ms += 250)
      progress.NoteTick(At(ms));
    progress.NoteGivenUp(OTHER_SERVER, 2, At(1000));
    CPPUNIT_ASSERT(progress.IsLate(REPLICA, TARGET, At(1000)));
    CPPUNIT_ASSERT(progress.IsLate(OTHER_SERVER, TARGET, At(1000)));
    progress.NoteTick(At(9000));
    CPPUNIT_ASSERT(!progress.IsLate(REPLICA, TARGET, At(9000)));
    CPPUNIT_ASSERT(!progress.IsLate(OTHER_SERVER, TARGET, At(9000)));
    CPPUNIT_ASSERT(progress.IsLate(REPLICA, TARGET, At(9701)));
  }

  void ReplacedServerIsForgotten()
  {
    ReplicaProgress progress;
    progress.NoteSent(REPLICA, 1, At(0));
    progress.NoteSent(OTHER_SERVER, 2, At(0));
    progress.Forget(REPLICA.first);
    CPPUNIT_ASSERT(!progress.IsLate(REPLICA, TARGET, At(1000)));
    CPPUNIT_ASSERT(progress.IsLate(OTHER_SERVER, TARGET, At(1000)));
  }

  void OldObservationsAreForgotten()
  {
    ReplicaProgress progress;
    progress.NoteSent(REPLICA, 1, At(0));
    progress.NoteGivenUp(REPLICA, 1, At(1000));
    const auto later = At(1000) + ReplicaProgress::MEMORY;
    CPPUNIT_ASSERT(!progress.IsLate(REPLICA, TARGET, later));
    CPPUNIT_ASSERT(!progress.ExpectedFirstEvent(REPLICA, later));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaProgressTest);
} // namespace

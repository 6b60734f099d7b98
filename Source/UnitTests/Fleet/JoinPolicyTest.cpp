// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// When a daemon without tables reads them from the store itself.

#include "Fleet/JoinPolicy.h"

#include <cppunit/extensions/HelperMacros.h>

namespace
{
using namespace Fleet;
using Common::Milliseconds;

class JoinPolicyTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(JoinPolicyTest);
  CPPUNIT_TEST(HolderReadsAtOnce);
  CPPUNIT_TEST(DaemonThatHearsTheHolderWaitsForACopy);
  CPPUNIT_TEST(DaemonWithoutACopyReadsInTheEnd);
  CPPUNIT_TEST(SilentHolderDelaysTheReadBriefly);
  CPPUNIT_TEST(GapInTheAnnouncementsIsNoReasonToRead);
  CPPUNIT_TEST(DaemonsThatStartTogetherReadAtDifferentTimes);
  CPPUNIT_TEST(CopyOnItsWayIsNotReadTwice);
  CPPUNIT_TEST_SUITE_END();

  /// The state some time after the lease row named another daemon.
  static JoinState After(Milliseconds since_start)
  {
    JoinState state;
    state.since_start = since_start;
    state.holder_named_for = since_start;
    return state;
  }

  void HolderReadsAtOnce()
  {
    JoinState state;
    state.holds_lease = true;
    CPPUNIT_ASSERT(ShouldReadStore(state));
  }

  void DaemonThatHearsTheHolderWaitsForACopy()
  {
    JoinState state = After(Milliseconds(3000));
    state.holder_contact_for = Milliseconds(2900);
    CPPUNIT_ASSERT(!ShouldReadStore(state));
    state.holder_contact_for = Milliseconds(7000);
    CPPUNIT_ASSERT(ShouldReadStore(state));
    state.copies_pending = true;
    CPPUNIT_ASSERT(!ShouldReadStore(state));
  }

  void DaemonWithoutACopyReadsInTheEnd()
  {
    JoinState state = After(Milliseconds(20000));
    state.holder_contact_for = Milliseconds(19000);
    state.spread = MAX_JOIN_SPREAD;
    CPPUNIT_ASSERT(ShouldReadStore(state));
    JoinState without_store;
    without_store.since_start = Milliseconds(20000);
    CPPUNIT_ASSERT(ShouldReadStore(without_store));
  }

  void SilentHolderDelaysTheReadBriefly()
  {
    CPPUNIT_ASSERT(!ShouldReadStore(After(Milliseconds(100))));
    CPPUNIT_ASSERT(ShouldReadStore(After(Milliseconds(700))));
    JoinState just_named = After(Milliseconds(5000));
    just_named.holder_named_for = Milliseconds(100);
    CPPUNIT_ASSERT(!ShouldReadStore(just_named));
  }

  void GapInTheAnnouncementsIsNoReasonToRead()
  {
    JoinState state = After(Milliseconds(4000));
    state.holder_contact_lost_for = Milliseconds(2000);
    CPPUNIT_ASSERT(!ShouldReadStore(state));
    state.holder_contact_lost_for = Milliseconds(3100);
    CPPUNIT_ASSERT(ShouldReadStore(state));
    state.copies_pending = true;
    CPPUNIT_ASSERT(!ShouldReadStore(state));
  }

  void DaemonsThatStartTogetherReadAtDifferentTimes()
  {
    JoinState early = After(Milliseconds(700));
    JoinState late = early;
    late.spread = MAX_JOIN_SPREAD;
    CPPUNIT_ASSERT(ShouldReadStore(early));
    CPPUNIT_ASSERT(!ShouldReadStore(late));
  }

  void CopyOnItsWayIsNotReadTwice()
  {
    JoinState state = After(Milliseconds(20000));
    state.is_receiving = true;
    CPPUNIT_ASSERT(!ShouldReadStore(state));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JoinPolicyTest);
} // namespace

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Accounts/KeyFreshness.h"

#include <cppunit/extensions/HelperMacros.h>

namespace
{
using Accounts::KeyFreshness;
using Common::Milliseconds;

constexpr Milliseconds LIMIT{5000};
const Common::TimePoint BEGIN = Common::TimePoint() + Milliseconds(1000000);

class KeyFreshnessTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(KeyFreshnessTest);
  CPPUNIT_TEST(WithoutABoundKeysAreAlwaysAccepted);
  CPPUNIT_TEST(WithoutAProofNoKeyIsAccepted);
  CPPUNIT_TEST(AProofEndsBeforeTheBound);
  CPPUNIT_TEST(OlderProofDoesNotReplaceANewerOne);
  CPPUNIT_TEST(TwoWaitingCallsKeepTheProof);
  CPPUNIT_TEST_SUITE_END();

  void WithoutABoundKeysAreAlwaysAccepted()
  {
    CPPUNIT_ASSERT(KeyFreshness().IsFresh(BEGIN));
    CPPUNIT_ASSERT(KeyFreshness().MaxWait(Milliseconds(2500)) == Milliseconds(2500));
  }

  void WithoutAProofNoKeyIsAccepted()
  {
    KeyFreshness freshness;
    freshness.Configure(LIMIT);
    CPPUNIT_ASSERT(!freshness.IsFresh(BEGIN));
    CPPUNIT_ASSERT(!freshness.Age(BEGIN));
  }

  void AProofEndsBeforeTheBound()
  {
    KeyFreshness freshness;
    freshness.Configure(LIMIT);
    freshness.RecordProof(BEGIN);
    CPPUNIT_ASSERT(freshness.IsFresh(BEGIN + Milliseconds(4700)));
    CPPUNIT_ASSERT(!freshness.IsFresh(BEGIN + Milliseconds(4900)));
    CPPUNIT_ASSERT(freshness.Age(BEGIN + Milliseconds(4900)) == Milliseconds(4900));
  }

  /// The holder's proof may be older than one that this daemon got from its own call.
  void OlderProofDoesNotReplaceANewerOne()
  {
    KeyFreshness freshness;
    freshness.Configure(LIMIT);
    freshness.RecordProof(BEGIN);
    freshness.RecordProof(BEGIN - Milliseconds(3000));
    CPPUNIT_ASSERT(freshness.IsFresh(BEGIN + Milliseconds(4700)));
  }

  /// A response proves only the time at which its call was sent, so that the proof is two waits old
  /// when the next response is due.
  void TwoWaitingCallsKeepTheProof()
  {
    KeyFreshness freshness;
    freshness.Configure(LIMIT);
    freshness.RecordProof(BEGIN);
    const auto wait = freshness.MaxWait(Milliseconds(2500));
    CPPUNIT_ASSERT(wait < Milliseconds(2500));
    CPPUNIT_ASSERT(freshness.IsFresh(BEGIN + 2 * wait + Milliseconds(500)));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(KeyFreshnessTest);
} // namespace

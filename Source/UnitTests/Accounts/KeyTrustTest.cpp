// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Accounts/KeyTrust.h"

#include <cppunit/extensions/HelperMacros.h>

namespace
{
using Accounts::KeyTrust;
using Common::Milliseconds;

constexpr Milliseconds LIMIT{5000};
const Common::TimePoint BEGIN = Common::TimePoint() + Milliseconds(1000000);

class KeyTrustTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(KeyTrustTest);
  CPPUNIT_TEST(WithoutABoundKeysAreAlwaysTrusted);
  CPPUNIT_TEST(WithoutAProofNoKeyIsTrusted);
  CPPUNIT_TEST(AProofEndsBeforeTheBound);
  CPPUNIT_TEST(AnOlderProofTakesNothingBack);
  CPPUNIT_TEST(TwoWaitingCallsKeepTheProof);
  CPPUNIT_TEST_SUITE_END();

  void WithoutABoundKeysAreAlwaysTrusted()
  {
    CPPUNIT_ASSERT(KeyTrust().Stands(BEGIN));
    CPPUNIT_ASSERT(KeyTrust().LongestWait(Milliseconds(2500)) == Milliseconds(2500));
  }

  void WithoutAProofNoKeyIsTrusted()
  {
    KeyTrust trust;
    trust.Configure(LIMIT);
    CPPUNIT_ASSERT(!trust.Stands(BEGIN));
    CPPUNIT_ASSERT(!trust.Age(BEGIN));
  }

  void AProofEndsBeforeTheBound()
  {
    KeyTrust trust;
    trust.Configure(LIMIT);
    trust.Prove(BEGIN);
    CPPUNIT_ASSERT(trust.Stands(BEGIN + Milliseconds(4700)));
    CPPUNIT_ASSERT(!trust.Stands(BEGIN + Milliseconds(4900)));
    CPPUNIT_ASSERT(trust.Age(BEGIN + Milliseconds(4900)) == Milliseconds(4900));
  }

  /// The holder's proof may be older than one that this daemon got from its own call.
  void AnOlderProofTakesNothingBack()
  {
    KeyTrust trust;
    trust.Configure(LIMIT);
    trust.Prove(BEGIN);
    trust.Prove(BEGIN - Milliseconds(3000));
    CPPUNIT_ASSERT(trust.Stands(BEGIN + Milliseconds(4700)));
  }

  /// An answer proves only the time at which its call was sent, so that the proof is two waits old
  /// when the next answer is due.
  void TwoWaitingCallsKeepTheProof()
  {
    KeyTrust trust;
    trust.Configure(LIMIT);
    trust.Prove(BEGIN);
    const auto wait = trust.LongestWait(Milliseconds(2500));
    CPPUNIT_ASSERT(wait < Milliseconds(2500));
    CPPUNIT_ASSERT(trust.Stands(BEGIN + 2 * wait + Milliseconds(500)));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(KeyTrustTest);
} // namespace

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// A VM may be suspended for seconds. The steady clock does not count that time, so that a lease, a
// proof, a deadline or a timer of before is believed for as long again: a holder whose lease had
// run out for the others went on ordering, and a request was handed on with time that its caller no
// longer had.

#include <cppunit/extensions/HelperMacros.h>

#include "Accounts/KeyTrust.h"
#include "Common/Loop.h"
#include "UnitTests/Support/Loopback.h"
#include "UnitTests/Support/SuspendedVm.h"

namespace
{
using Common::Milliseconds;
using UnitTests::RunFor;
using UnitTests::SuspendVm;

constexpr Milliseconds SUSPENDED{5000};

class SuspendedVmTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SuspendedVmTest);
  CPPUNIT_TEST(AgesAndTimersCountTheTime);
  CPPUNIT_TEST_SUITE_END();

  void AgesAndTimersCountTheTime()
  {
    Accounts::KeyTrust keys;
    keys.Configure(SUSPENDED);
    keys.Prove(Common::Now());
    bool fired = false;
    Common::OwnedTimer timer;
    timer.Start(Milliseconds(2000), [&] {
      fired = true;
    });
    const auto begin = Common::Now();
    SuspendVm(SUSPENDED);
    CPPUNIT_ASSERT(Common::Now() - begin >= SUSPENDED);
    CPPUNIT_ASSERT(!keys.Stands(Common::Now()));
    RunFor(Milliseconds(50));
    CPPUNIT_ASSERT(fired);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspendedVmTest);
} // namespace

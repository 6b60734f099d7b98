// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Decisions/WaitForLoad.h"

#include <cppunit/extensions/HelperMacros.h>

namespace
{
using namespace Decisions;
using Common::Milliseconds;

WaitForLoadInput InStoreOnly()
{
  WaitForLoadInput input;
  input.until_deadline = Milliseconds(20000);
  input.idle_timeout = Milliseconds(8000);
  input.nearest = WeightSource::WeightStore;
  input.from_store = Milliseconds(13200);
  return input;
}

class WaitForLoadTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(WaitForLoadTest);
  CPPUNIT_TEST(RefusesLoadsLongerThanCallerWaits);
  CPPUNIT_TEST(WaitsForLoadsInTime);
  CPPUNIT_TEST(WaitsIfCopiesAreUnknown);
  CPPUNIT_TEST_SUITE_END();

  void RefusesLoadsLongerThanCallerWaits()
  {
    WaitForLoadInput input = InStoreOnly();
    CPPUNIT_ASSERT(RetryAfterIfRefused(input) == Milliseconds(13200));
    input.idle_timeout = Milliseconds(60000);
    CPPUNIT_ASSERT(!RetryAfterIfRefused(input));
    input.until_deadline = Milliseconds(3000);
    CPPUNIT_ASSERT(RetryAfterIfRefused(input) == Milliseconds(13200));
  }

  void WaitsForLoadsInTime()
  {
    WaitForLoadInput input = InStoreOnly();
    input.from_store = Milliseconds(6000);
    CPPUNIT_ASSERT(!RetryAfterIfRefused(input));
    input = InStoreOnly();
    input.load_in_progress = true;
    CPPUNIT_ASSERT(!RetryAfterIfRefused(input));
    input = InStoreOnly();
    for (const WeightSource near : {WeightSource::Disk, WeightSource::HostMemory})
    {
      input.nearest = near;
      CPPUNIT_ASSERT(!RetryAfterIfRefused(input));
    }
  }

  void WaitsIfCopiesAreUnknown()
  {
    WaitForLoadInput input = InStoreOnly();
    input.nearest.reset();
    CPPUNIT_ASSERT(!RetryAfterIfRefused(input));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitForLoadTest);
} // namespace

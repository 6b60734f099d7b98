// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "RateLimits/RequestRate.h"

#include <vector>

#include <cppunit/extensions/HelperMacros.h>

namespace
{
using namespace RateLimits;

class RequestRateTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestRateTest);
  CPPUNIT_TEST(ParsesDecimalNumbers);
  CPPUNIT_TEST(RejectsOtherValues);
  CPPUNIT_TEST(LowestOfSeveralValuesApplies);
  CPPUNIT_TEST(HugeRatesAreNoLimit);
  CPPUNIT_TEST_SUITE_END();

  static LimitReading Read(std::vector<std::string_view> values) { return ReadLimit(values); }

  void ParsesDecimalNumbers()
  {
    CPPUNIT_ASSERT(!Read({}).rate);
    CPPUNIT_ASSERT(Read({}).readable);
    CPPUNIT_ASSERT(Read({"1"}).rate == RequestRate(1000));
    CPPUNIT_ASSERT(Read({"1.1"}).rate == RequestRate(1100));
    CPPUNIT_ASSERT(Read({"0.5 "}).rate == RequestRate(500));
    CPPUNIT_ASSERT(Read({".25"}).rate == RequestRate(250));
    CPPUNIT_ASSERT(Read({"0"}).rate == RequestRate(0));
    CPPUNIT_ASSERT(Read({"0.0009"}).rate == RequestRate(0));
  }

  void RejectsOtherValues()
  {
    for (const char* const value :
         {"", " ", "-1", "+1", "1e3", "nan", "inf", "0x1", "1,1", "1.1.1", "1 2", "two", "."})
    {
      CPPUNIT_ASSERT_MESSAGE(value, !Read({value}).readable);
      CPPUNIT_ASSERT_MESSAGE(value, !Read({value}).rate);
    }
  }

  void LowestOfSeveralValuesApplies()
  {
    CPPUNIT_ASSERT(Read({"3", "1.5"}).rate == RequestRate(1500));
    CPPUNIT_ASSERT(Read({"3", "much"}).rate == RequestRate(3000));
    CPPUNIT_ASSERT(!Read({"3", "much"}).readable);
  }

  void HugeRatesAreNoLimit()
  {
    CPPUNIT_ASSERT(!Read({"1000000"}).rate);
    CPPUNIT_ASSERT(!Read({std::string_view("9999999999999999999999999999999999999")}).rate);
    CPPUNIT_ASSERT(Read({std::string_view("9999999999999999999999999999999999999")}).readable);
    CPPUNIT_ASSERT(Read({"9", "1000000"}).rate == RequestRate(9000));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestRateTest);
} // namespace

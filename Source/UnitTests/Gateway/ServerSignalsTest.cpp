// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/ServerSignals.h"
#include "UnitTests/Support/RelayWorld.h"

namespace
{
using namespace Gateway;
using Common::Milliseconds;

/// 2026-10-03 08:32:00 UTC.
constexpr std::chrono::system_clock::time_point NOW{std::chrono::seconds(1791016320)};

class ServerSignalsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ServerSignalsTest);
  CPPUNIT_TEST(ResponseWithoutHeadersHasNoSignals);
  CPPUNIT_TEST(DrainingRequiresTheValueOne);
  CPPUNIT_TEST(RetryAfterIsSecondsOrADate);
  CPPUNIT_TEST(StrictestOfSeveralValuesApplies);
  CPPUNIT_TEST(OnlyOverloadRejectionsHaveABackoff);
  CPPUNIT_TEST(RejectionsMarkTheRequestAsNotRun);
  CPPUNIT_TEST_SUITE_END();

  static ServerSignals Read(int status, const std::vector<Http::HeaderField>& headers)
  {
    return ReadSignals(status, headers, UnitTests::Names(), NOW);
  }
  static std::optional<Milliseconds> Backoff(const std::string& value)
  {
    return Read(503, {{"Retry-After", value}}).backoff;
  }

  void ResponseWithoutHeadersHasNoSignals()
  {
    const ServerSignals signals = Read(200, {{"Content-Length", "2"}});
    CPPUNIT_ASSERT(!signals.instance && !signals.not_run && !signals.draining);
    CPPUNIT_ASSERT(!signals.backoff && !signals.limit.rate && signals.limit.readable);
    CPPUNIT_ASSERT(signals.invalid.empty());
  }

  void DrainingRequiresTheValueOne()
  {
    CPPUNIT_ASSERT(Read(200, {{"leaving", "1 "}}).draining);
    CPPUNIT_ASSERT(!Read(200, {{"Leaving", "0"}}).draining);
    CPPUNIT_ASSERT(Read(200, {{"Leaving", "0"}}).invalid.empty());
    for (const char* value : {"", "yes", "-1", "2", "1.0", "01"})
    {
      const ServerSignals signals = Read(200, {{"Leaving", value}});
      CPPUNIT_ASSERT_MESSAGE(value, !signals.draining);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(value, std::size_t{1}, signals.invalid.size());
    }
  }

  void RetryAfterIsSecondsOrADate()
  {
    CPPUNIT_ASSERT(Backoff("3") == Milliseconds(3000));
    CPPUNIT_ASSERT(Backoff("1.5") == Milliseconds(1500));
    CPPUNIT_ASSERT(Backoff("0.0001") == Milliseconds(1));
    CPPUNIT_ASSERT(Backoff("0") == Milliseconds(0));
    CPPUNIT_ASSERT(Backoff("3600") == std::chrono::hours(1));
    CPPUNIT_ASSERT(Backoff("99999999999999999999") == MAX_BACKOFF);
    CPPUNIT_ASSERT(Backoff("Sat, 03 Oct 2026 08:32:07 GMT") == Milliseconds(7000));
    CPPUNIT_ASSERT(Backoff("Sat, 03 Oct 2026 08:31:00 GMT") == Milliseconds(0));
    for (const char* value : {"", "-3", "soon", "1e3", "3 s", "nan"})
    {
      CPPUNIT_ASSERT_MESSAGE(value, !Backoff(value));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(value, std::size_t{1},
                                   Read(503, {{"Retry-After", value}}).invalid.size());
    }
  }

  void StrictestOfSeveralValuesApplies()
  {
    CPPUNIT_ASSERT(Read(200, {{"Leaving", "0"}, {"Leaving", "1"}}).draining);
    CPPUNIT_ASSERT(
        Read(503, {{"Retry-After", "3"}, {"Retry-After", "x"}, {"Retry-After", "2"}}).backoff ==
        Milliseconds(3000));
    CPPUNIT_ASSERT(Read(200, {{"Limit", "5"}, {"Limit", "2"}}).limit.rate ==
                   RateLimits::RequestRate(2000));
  }

  void OnlyOverloadRejectionsHaveABackoff()
  {
    CPPUNIT_ASSERT(Read(429, {{"Retry-After", "1"}}).backoff);
    for (const int status : {200, 301, 421, 500, 504})
      CPPUNIT_ASSERT(!Read(status, {{"Retry-After", "1"}}).backoff);
  }

  void RejectionsMarkTheRequestAsNotRun()
  {
    CPPUNIT_ASSERT(Read(503, {{"Did-Not-Run", "1"}}).not_run);
    CPPUNIT_ASSERT(Read(421, {}).not_run);
    CPPUNIT_ASSERT(!Read(503, {}).not_run);
    CPPUNIT_ASSERT(Read(200, {{"Instance", "i-1"}}).instance == "i-1");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerSignalsTest);
} // namespace

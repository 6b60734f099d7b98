// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Daemons on the loopback interface with backend servers that reject requests and tell the daemon
// in Retry-After how long to send none.

#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/LimitedFleet.h"

namespace
{
using Common::Milliseconds;
using UnitTests::LimitedFleet;
using UnitTests::RunFor;

constexpr std::size_t VMS = 5;
/// Requests already in transit may still arrive for this long after the rejection.
constexpr Milliseconds TRANSIT_TIME{500};
constexpr std::size_t MAX_VIOLATIONS = 2;
constexpr std::size_t SERVERS = 4;

class ServerBackoffTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ServerBackoffTest);
  CPPUNIT_TEST(ServerGetsNoRequestsUntilRetryAfterHasPassed);
  CPPUNIT_TEST(RequestIsRefusedAtOnceIfTheOnlyServerBacksOffTooLong);
  CPPUNIT_TEST_SUITE_END();

  void ServerGetsNoRequestsUntilRetryAfterHasPassed()
  {
    LimitedFleet fleet(VMS, SERVERS);
    fleet.SetHolder(0, 1);
    fleet.StartLoad(80);
    RunFor(Milliseconds(500));
    fleet.servers[0]->Reject("2");
    fleet.servers[1]->Reject("1.5");
    RunFor(Milliseconds(5000));
    const auto worst =
        std::max(fleet.servers[0]->MaxSentDuringBackoff(VMS, Milliseconds(2000), TRANSIT_TIME),
                 fleet.servers[1]->MaxSentDuringBackoff(VMS, Milliseconds(1500), TRANSIT_TIME));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(worst), worst <= MAX_VIOLATIONS);
    // The other servers have enough capacity, and both servers get requests again soon afterwards.
    fleet.servers[0]->Accept();
    fleet.servers[1]->Accept();
    RunFor(Milliseconds(2200));
    // Servers that are equally busy are chosen at random, so it takes many requests to tell a small
    // share from chance.
    const auto back = Common::Now();
    const int asked_before = fleet.asked;
    fleet.StartLoad(320);
    RunFor(Milliseconds(1000));
    const auto asked = static_cast<std::size_t>(fleet.asked - asked_before);
    const std::size_t least = asked / SERVERS / 2;
    for (const std::size_t server : {0, 1})
    {
      const std::size_t arrivals = fleet.servers[server]->ArrivalsSince(back);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(arrivals) + " of " + std::to_string(asked),
                             arrivals >= least);
    }
    fleet.StopLoad();
    RunFor(Milliseconds(100));
    // The many requests of the last second do not allow for more that are not served.
    CPPUNIT_ASSERT(fleet.asked - fleet.served <= asked_before * 2 / 100);
  }

  void RequestIsRefusedAtOnceIfTheOnlyServerBacksOffTooLong()
  {
    LimitedFleet fleet(VMS, 1);
    fleet.SetHolder(0, 1);
    fleet.servers[0]->Reject("30");
    fleet.StartLoad(20);
    RunFor(Milliseconds(2000));
    fleet.StopLoad();
    RunFor(Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(fleet.asked, fleet.refused);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.refused_late), fleet.refused_late == 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerBackoffTest);
} // namespace

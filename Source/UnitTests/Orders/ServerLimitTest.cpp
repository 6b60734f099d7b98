// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Daemons on the loopback before backend servers that name the requests a second that they take
// from all of them together.

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/LimitedFleet.h"

namespace
{
using Common::Milliseconds;
using UnitTests::LimitedFleet;
using UnitTests::RunFor;

/// By then all daemons that are in touch keep a limit.
constexpr Milliseconds CONTACT_TIME{3000};
constexpr Milliseconds WINDOW{4000};
/// One and a half times what the limit allows in a window, and this.
constexpr std::size_t SLACK = 5;

constexpr std::size_t Allowed(double per_second)
{
  return static_cast<std::size_t>(1.5 * 4 * per_second) + SLACK;
}

class ServerLimitTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ServerLimitTest);
  CPPUNIT_TEST(AllDaemonsTogetherKeepAServersLimit);
  CPPUNIT_TEST_SUITE_END();

  /// Each daemon sent to a limited server as before: 5 to 6 times its limit.
  void AllDaemonsTogetherKeepAServersLimit()
  {
    LimitedFleet fleet(5, 8);
    for (int server = 0; server < 5; ++server)
      fleet.servers[server]->SetLimit("1");
    fleet.SetHolder(0, 1);
    fleet.StartLoad(52);
    RunFor(CONTACT_TIME);
    const auto known = Common::Now();
    RunFor(WINDOW + Milliseconds(500));
    for (int server = 0; server < 5; ++server)
    {
      const auto worst = fleet.servers[server]->WorstWindow(WINDOW, known);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(worst) + " requests", worst <= Allowed(1));
    }
    fleet.StopLoad();
    RunFor(Milliseconds(100));
    // The others have room for all.
    CPPUNIT_ASSERT(fleet.served >= fleet.asked * 95 / 100);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerLimitTest);
} // namespace

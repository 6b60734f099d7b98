// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Daemons on the loopback interface with backend servers that announce their shutdown in their
// responses, while the platform's entries still list them as ready.

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/LimitedFleet.h"

namespace
{
using Common::Milliseconds;
using UnitTests::LimitedFleet;
using UnitTests::RunFor;

constexpr std::size_t VMS = 5;
/// A daemon must send its last request within this time after a response that announced the
/// shutdown.
constexpr Milliseconds MAX_SEND_DELAY{2000};

class ServerDrainTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ServerDrainTest);
  CPPUNIT_TEST(DrainingServerGetsNoRequestsAfterTheMaximumDelay);
  CPPUNIT_TEST(WithoutAHolderEachDaemonUsesItsOwnResponses);
  CPPUNIT_TEST(DrainIsSharedWithAllDaemons);
  CPPUNIT_TEST_SUITE_END();

  static std::size_t LateArrivals(const LimitedFleet& fleet, std::size_t server)
  {
    std::size_t late = 0;
    for (std::size_t vm = 0; vm < VMS; ++vm)
      if (const auto notified_at = fleet.servers[server]->AnnouncedTo(vm, VMS))
        late += fleet.servers[server]->ArrivalsOf(vm, VMS, *notified_at + MAX_SEND_DELAY);
    return late;
  }

  void DrainingServerGetsNoRequestsAfterTheMaximumDelay()
  {
    LimitedFleet fleet(VMS, 4);
    fleet.SetHolder(0, 1);
    fleet.StartLoad(80);
    RunFor(Milliseconds(500));
    fleet.servers[0]->SetDraining("1");
    fleet.servers[1]->SetDraining("1");
    RunFor(Milliseconds(5000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, LateArrivals(fleet, 0) + LateArrivals(fleet, 1));
    // The other servers have enough capacity for all requests.
    fleet.StopLoad();
    RunFor(Milliseconds(100));
    CPPUNIT_ASSERT(fleet.served >= fleet.asked * 98 / 100);
  }

  void WithoutAHolderEachDaemonUsesItsOwnResponses()
  {
    LimitedFleet fleet(VMS, 4);
    fleet.StartLoad(80);
    RunFor(Milliseconds(500));
    fleet.servers[0]->SetDraining("1");
    RunFor(Milliseconds(4000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, LateArrivals(fleet, 0));
  }

  void DrainIsSharedWithAllDaemons()
  {
    LimitedFleet fleet(VMS, 4);
    fleet.SetHolder(0, 1);
    fleet.servers[0]->SetDraining("1");
    constexpr std::size_t INFORMED_VM = 3;
    for (std::size_t number = INFORMED_VM; !fleet.servers[0]->AnnouncedTo(INFORMED_VM, VMS);
         number += VMS)
    {
      fleet.vms[INFORMED_VM]->Ask("r" + std::to_string(number), [](int) {});
      RunFor(Milliseconds(20));
    }
    RunFor(Milliseconds(700));
    const auto notified_at = Common::Now();
    fleet.StartLoad(80);
    RunFor(Milliseconds(1500));
    fleet.StopLoad();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.servers[0]->ArrivalsSince(notified_at));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerDrainTest);
} // namespace

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Tests daemons on the loopback interface with backend servers that announce a limit on the
// requests per second from all daemons together.

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/LimitedFleet.h"

namespace
{
using Common::Milliseconds;
using UnitTests::LimitedFleet;
using UnitTests::RunFor;
using UnitTests::RunUntil;

/// Within this time all connected daemons enforce a limit.
constexpr Milliseconds CONTACT_TIME{3000};
constexpr Milliseconds WINDOW{4000};
/// Tolerance on top of 1.5 times the number of requests that the limit allows in a window.
constexpr std::size_t SLACK = 5;

constexpr std::size_t Allowed(double per_second)
{
  return static_cast<std::size_t>(1.5 * 4 * per_second) + SLACK;
}

class ServerLimitTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ServerLimitTest);
  CPPUNIT_TEST(DaemonsTogetherStayWithinAServerLimit);
  CPPUNIT_TEST(RemovedLimitIsKnownEverywhereWithinTwoSeconds);
  CPPUNIT_TEST(LimitedServersAreUsedUpToTheirLimits);
  CPPUNIT_TEST(ManyDaemonsUseASmallLimit);
  CPPUNIT_TEST(OneVmWithAllConnectionsUsesOnlyItsShareOfTheLimits);
  CPPUNIT_TEST(PermitIsUsedThoughTheNextOneIsFarAway);
  CPPUNIT_TEST(ServersWithLimitZeroAreProbedAndUsedAgain);
  CPPUNIT_TEST(EachOfManyServersWithLimitZeroIsProbed);
  CPPUNIT_TEST(LimitIsKeptWhenTheHolderChanges);
  CPPUNIT_TEST(WithoutAHolderTheLimitIsKept);
  CPPUNIT_TEST(MalformedLimitIsIgnored);
  CPPUNIT_TEST(ARestartedServerBeginsWithoutALimit);
  CPPUNIT_TEST(LimitOfAnotherProcessAtTheAddressIsIgnored);
  CPPUNIT_TEST_SUITE_END();

  void RemovedLimitIsKnownEverywhereWithinTwoSeconds()
  {
    LimitedFleet fleet(3, 2);
    fleet.servers[0]->SetLimit("0.5");
    fleet.SetHolder(0, 1);
    fleet.StartLoad(40);
    RunFor(Milliseconds(2500));
    fleet.servers[0]->SetLimit("");
    RunFor(Milliseconds(2300));
    const auto known = Common::Now();
    RunFor(Milliseconds(1000));
    // Half of the load, minus a margin for random variation.
    CPPUNIT_ASSERT(fleet.servers[0]->ArrivalsSince(known) >= 10);
    for (const auto& vm : fleet.vms)
      CPPUNIT_ASSERT(vm->dispatcher.Limited().All().empty());
  }

  /// The platform may hand most new connections to one VM. Within the contact time its requests are
  /// served three quarters as often as before, or more.
  void OneVmWithAllConnectionsUsesOnlyItsShareOfTheLimits()
  {
    LimitedFleet fleet(5, 4);
    fleet.SetLimits("8");
    fleet.SetHolder(0, 1);
    fleet.StartLoad(40);
    RunFor(CONTACT_TIME);
    const auto share_in = [&](Milliseconds span) {
      const int asked = fleet.asked;
      const int served = fleet.served;
      RunFor(span);
      return static_cast<double>(fleet.served - served) / (fleet.asked - asked);
    };
    const double before = share_in(CONTACT_TIME);
    fleet.SendAllTo(2);
    RunFor(CONTACT_TIME);
    const double after = share_in(CONTACT_TIME);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(before) + " " + std::to_string(after),
                           after >= before * 3 / 4);
  }

  void LimitedServersAreUsedUpToTheirLimits()
  {
    LimitedFleet fleet(4, 3);
    fleet.SetLimits("3");
    fleet.SetHolder(0, 1);
    fleet.StartLoad(60);
    RunFor(CONTACT_TIME);
    const auto known = Common::Now();
    const int refused_before = fleet.refused;
    const int late_before = fleet.refused_late;
    RunFor(WINDOW);
    const auto arrivals = fleet.ArrivalsSince(known);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(arrivals), arrivals >= 3 * 3 * 4 * 80 / 100);
    for (const auto& server : fleet.servers)
      CPPUNIT_ASSERT(server->WorstWindow(WINDOW, known) <= Allowed(3));
    // Requests that cannot be served are refused on arrival.
    const int refused = fleet.refused - refused_before;
    const int late = fleet.refused_late - late_before;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(late) + " of " + std::to_string(refused),
                           late * 10 <= refused);
    CPPUNIT_ASSERT_EQUAL(0, fleet.failed);
  }

  void ManyDaemonsUseASmallLimit()
  {
    LimitedFleet fleet(12, 2);
    fleet.SetLimits("0.5");
    fleet.SetHolder(0, 1);
    fleet.StartLoad(4);
    RunFor(CONTACT_TIME);
    const auto known = Common::Now();
    RunFor(Milliseconds(20000));
    const auto arrivals = fleet.ArrivalsSince(known);
    // 80 % of one request in two seconds at each of two servers. The same target applies to any
    // demand.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(arrivals), arrivals >= 2 * 10 * 80 / 100);
    for (const auto& server : fleet.servers)
      CPPUNIT_ASSERT(server->WorstWindow(WINDOW, known) <= Allowed(0.5));
  }

  /// A waiting request was refused in the moment in which its permit arrived, since the next permit
  /// was too far away for it.
  void PermitIsUsedThoughTheNextOneIsFarAway()
  {
    LimitedFleet fleet(1, 1);
    fleet.SetLimits("0.5");
    auto& vm = *fleet.vms.front();
    int status = 0;
    const auto ask = [&](const char* id) {
      status = 0;
      vm.Ask(id, [&](int answer) {
        status = answer;
      });
    };
    ask("r1");
    CPPUNIT_ASSERT(RunUntil([&] {
      return status == 200;
    }));
    const auto& server = vm.dispatcher.Servers().All().begin()->second;
    CPPUNIT_ASSERT(server->Limit().has_value());
    auto& permits = vm.dispatcher.Limited().Permits();
    permits.NoteHolderContact(Common::Now());
    vm.dispatcher.ApplyQueuePositions({{server->Key(), 0, 300}});
    ask("r2");
    RunFor(Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(0, status);
    permits.Add(server->Key(), 1, Common::Now() + Milliseconds(500));
    vm.dispatcher.ApplyQueuePositions({{server->Key(), 0, 2000}});
    CPPUNIT_ASSERT(RunUntil([&] {
      return status != 0;
    }));
    CPPUNIT_ASSERT_EQUAL(200, status);
  }

  void ServersWithLimitZeroAreProbedAndUsedAgain()
  {
    LimitedFleet fleet(3, 2);
    fleet.SetLimits("0");
    fleet.SetHolder(0, 1);
    fleet.StartLoad(40);
    RunFor(CONTACT_TIME);
    const auto known = Common::Now();
    RunFor(WINDOW);
    for (const auto& server : fleet.servers)
    {
      const auto probes = server->ArrivalsSince(known);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(probes), probes >= 1 && probes <= Allowed(0));
    }
    fleet.SetLimits("");
    RunFor(Milliseconds(2500));
    const auto back = Common::Now();
    RunFor(Milliseconds(1000));
    CPPUNIT_ASSERT(fleet.ArrivalsSince(back) >= 35);
  }

  void EachOfManyServersWithLimitZeroIsProbed()
  {
    LimitedFleet fleet(2, 14);
    fleet.SetLimits("0");
    fleet.SetHolder(0, 1);
    fleet.StartLoad(80);
    RunFor(Milliseconds(1500));
    const auto known = Common::Now();
    RunFor(Milliseconds(8000));
    for (const auto& server : fleet.servers)
      CPPUNIT_ASSERT(server->ArrivalsSince(known) >= 1);
  }

  void LimitIsKeptWhenTheHolderChanges()
  {
    LimitedFleet fleet(4, 3);
    fleet.servers[0]->SetLimit("2");
    fleet.servers[1]->SetLimit("2");
    fleet.SetHolder(0, 1);
    fleet.StartLoad(50);
    RunFor(CONTACT_TIME);
    const auto known = Common::Now();
    fleet.SetHolder(1, 2);
    RunFor(Milliseconds(1500));
    fleet.SetHolder(2, 3);
    RunFor(WINDOW);
    for (int server = 0; server < 2; ++server)
      CPPUNIT_ASSERT(fleet.servers[server]->WorstWindow(WINDOW, known) <= Allowed(2));
  }

  /// Without a holder each daemon enforces the limits that it knows.
  void WithoutAHolderTheLimitIsKept()
  {
    LimitedFleet fleet(4, 3);
    fleet.SetLimits("4");
    fleet.SetHolder(0, 1);
    fleet.StartLoad(50);
    RunFor(CONTACT_TIME);
    const auto known = Common::Now();
    for (const auto& vm : fleet.vms)
      vm->hub.SetHolder(std::nullopt, std::nullopt);
    RunFor(WINDOW + Milliseconds(1000));
    for (const auto& server : fleet.servers)
      CPPUNIT_ASSERT(server->WorstWindow(WINDOW, known) <= Allowed(4));
    // The standby daemons still send requests.
    CPPUNIT_ASSERT(fleet.ArrivalsSince(known + Milliseconds(1500)) >= 3);
  }

  void MalformedLimitIsIgnored()
  {
    LimitedFleet fleet(2, 1);
    fleet.SetLimits("-1");
    fleet.SetHolder(0, 1);
    fleet.StartLoad(40);
    RunFor(Milliseconds(1000));
    CPPUNIT_ASSERT(fleet.vms[0]->dispatcher.Limited().All().empty());
    CPPUNIT_ASSERT(fleet.vms[0]->dispatcher.Limited().UnreadableLimits() > 0);
    CPPUNIT_ASSERT(fleet.served >= 30);
    // The lower of two limits applies, as neither exceeds what the server accepts.
    fleet.SetLimits("2\r\nLimit: 1");
    RunFor(Milliseconds(1000));
    const auto limit = fleet.vms[1]->dispatcher.Servers().All().begin()->second->Limit();
    CPPUNIT_ASSERT(limit && limit->rate == RateLimits::RequestRate(1000));
  }

  void LimitOfAnotherProcessAtTheAddressIsIgnored()
  {
    LimitedFleet fleet(1, 1);
    fleet.SetLimits("1\r\nInstance: another");
    fleet.SetHolder(0, 1);
    fleet.StartLoad(40);
    RunFor(Milliseconds(300));
    CPPUNIT_ASSERT(fleet.vms[0]->dispatcher.Limited().All().empty());
  }

  void ARestartedServerBeginsWithoutALimit()
  {
    LimitedFleet fleet(2, 1);
    fleet.SetLimits("1");
    fleet.SetHolder(0, 1);
    fleet.StartLoad(40);
    RunFor(Milliseconds(1000));
    fleet.SetLimits("");
    for (const auto& vm : fleet.vms)
    {
      vm->dispatcher.Servers().Remove(Gateway::InstanceId("i-0"));
      vm->AddServer("i-0-again", fleet.servers[0]->Address());
    }
    const auto restarted = Common::Now();
    RunFor(Milliseconds(1000));
    CPPUNIT_ASSERT(fleet.ArrivalsSince(restarted) >= 30);
  }

  /// Each daemon used to send to a limited server as to any other.
  void DaemonsTogetherStayWithinAServerLimit()
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
    // The other servers have capacity for all requests.
    CPPUNIT_ASSERT(fleet.served >= fleet.asked * 95 / 100);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerLimitTest);
} // namespace

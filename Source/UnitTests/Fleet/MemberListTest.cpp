// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Lists of daemons at daemons that miss changes.

#include "Fleet/MemberList.h"

#include <chrono>
#include <cstdio>
#include <random>

#include <cppunit/extensions/HelperMacros.h>

#include "Orders/OriginMessages.h"
#include "UnitTests/Support/OriginFleet.h"

namespace
{
using namespace Fleet;
using Common::Milliseconds;
using UnitTests::DaemonIndex;
using UnitTests::OriginFleet;
using UnitTests::SimulatedDatagram;

constexpr std::size_t DAEMONS = 24;
constexpr std::size_t PLACES = 3;
/// Time in which all lists have to be the same again: that in which an edit is in force.
constexpr Milliseconds CONVERGENCE{20000};

ListedDaemon Daemon(std::uint16_t port, std::uint32_t run = 1)
{
  return {{0x0100007f, port}, 1, run};
}

bool IsAboutMembers(const SimulatedDatagram& datagram)
{
  return datagram.bytes.starts_with(static_cast<char>(Orders::MemberMessage::MARKER));
}

class MemberListTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MemberListTest);
  CPPUNIT_TEST(ChecksumsOfDifferentListsAreTheSame);
  CPPUNIT_TEST(RestartOfADaemonIsNotAChange);
  CPPUNIT_TEST(ChangeThatArrivesTwiceIsAppliedTwice);
  CPPUNIT_TEST(ListsStayDifferentAfterLostUpdates);
  CPPUNIT_TEST(ListsStayDifferentWithLossyLinks);
  CPPUNIT_TEST(ListsStayDifferentUnderANewHolder);
  CPPUNIT_TEST(ListsStayDifferentAfterAllHaveStarted);
  CPPUNIT_TEST(UpdateOfAFormerHolderIsApplied);
  CPPUNIT_TEST_SUITE_END();

  void ChecksumsOfDifferentListsAreTheSame()
  {
    MemberList list;
    list.Assign({Daemon(1), Daemon(2)});
    const std::uint64_t checksum = list.Checksum();
    list.Assign({Daemon(2), Daemon(1)});
    CPPUNIT_ASSERT_EQUAL(checksum, list.Checksum());
    list.Assign({Daemon(1), Daemon(3)});
    CPPUNIT_ASSERT(checksum != list.Checksum());
    list.Assign({Daemon(1), Daemon(2, 2)});
    CPPUNIT_ASSERT(checksum != list.Checksum());
  }

  void RestartOfADaemonIsNotAChange()
  {
    MemberList list;
    list.Assign({Daemon(1), Daemon(2)});
    const MemberList::Change change = list.Assign({Daemon(1), Daemon(2, 2)});
    CPPUNIT_ASSERT(change.added == std::vector{Daemon(2, 2)});
    CPPUNIT_ASSERT(change.removed == std::vector{Daemon(2)});
    CPPUNIT_ASSERT(list.Contains(Daemon(2).messages));
    CPPUNIT_ASSERT(!list.Contains(Daemon(3).messages));
  }

  void ChangeThatArrivesTwiceIsAppliedTwice()
  {
    MemberList list;
    list.Assign({Daemon(1), Daemon(2)});
    const MemberList::Change change{{Daemon(3)}, {Daemon(1)}};
    list.Apply(change);
    const std::uint64_t checksum = list.Checksum();
    list.Apply(change);
    CPPUNIT_ASSERT_EQUAL(checksum, list.Checksum());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), list.All().size());
  }

  /// All daemons but the holder miss the update.
  void ListsStayDifferentAfterLostUpdates()
  {
    OriginFleet fleet(DAEMONS, PLACES);
    fleet.SetLoss(IsAboutMembers);
    fleet.Kill(5);
    fleet.Restart(DAEMONS);
    fleet.RunFor(Milliseconds(100));
    CPPUNIT_ASSERT(!fleet.HaveSameList());
    fleet.SetLoss({});
    AssertConvergence(fleet, "lost updates");
  }

  void ListsStayDifferentWithLossyLinks()
  {
    OriginFleet fleet(DAEMONS, PLACES);
    std::mt19937 random(1);
    std::bernoulli_distribution is_lost(0.2);
    fleet.SetLoss([&](const SimulatedDatagram&) {
      return is_lost(random);
    });
    for (const DaemonIndex daemon : {5U, 6U, 7U, 8U})
    {
      fleet.Restart(daemon);
      fleet.RunFor(Milliseconds(60));
    }
    AssertConvergence(fleet, "restarts, a fifth of all datagrams lost");
  }

  /// The new holder has missed a change that all others know, and holders change again.
  void ListsStayDifferentUnderANewHolder()
  {
    OriginFleet fleet(DAEMONS, PLACES);
    fleet.SetLoss([](const SimulatedDatagram& datagram) {
      return IsAboutMembers(datagram) && datagram.to == 7;
    });
    fleet.Kill(5);
    fleet.RunFor(Milliseconds(100));
    fleet.SetLoss({});
    fleet.Kill(0);
    fleet.SetHolder(7);
    fleet.Restart(DAEMONS);
    fleet.RunFor(Milliseconds(100));
    fleet.SetHolder(9);
    AssertConvergence(fleet, "new holder");
  }

  void ListsStayDifferentAfterAllHaveStarted()
  {
    OriginFleet fleet(DAEMONS, PLACES);
    for (DaemonIndex daemon = 0; daemon < fleet.Size(); ++daemon)
      fleet.Restart(daemon);
    fleet.SetHolder(3);
    AssertConvergence(fleet, "all started");
  }

  void UpdateOfAFormerHolderIsApplied()
  {
    OriginFleet fleet(DAEMONS, PLACES);
    fleet.SetHolder(1);
    fleet.RunFor(Milliseconds(2500));
    const std::uint64_t checksum = fleet.At(7).members.Members().Checksum();
    fleet.At(0).members.Announce({fleet.At(0).self}, 1, Common::Now());
    fleet.RunFor(Milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(checksum, fleet.At(7).members.Members().Checksum());
  }

  static void AssertConvergence(OriginFleet& fleet, const char* after)
  {
    const auto begin = Common::Now();
    fleet.RunFor(Milliseconds(100)); // The holder has announced its list.
    while (!fleet.HaveSameList() && Common::Now() - begin < CONVERGENCE)
      fleet.RunFor(Milliseconds(10));
    std::printf(
        "lists of %zu daemons are the same %lld ms after: %s\n", fleet.Size(),
        static_cast<long long>(std::chrono::floor<Milliseconds>(Common::Now() - begin).count()),
        after);
    CPPUNIT_ASSERT(fleet.HaveSameList());
    std::size_t running = 0;
    for (DaemonIndex daemon = 0; daemon < fleet.Size(); ++daemon)
      running += fleet.IsRunning(daemon) ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(running, fleet.At(9).members.Members().All().size());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(MemberListTest);
} // namespace

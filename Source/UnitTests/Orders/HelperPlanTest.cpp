// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Orders/HelperPlan.h"

#include <algorithm>
#include <set>

#include <cppunit/extensions/HelperMacros.h>

namespace
{
using namespace Orders;
using Http::Endpoint;

Endpoint DaemonAt(Fleet::PlaceHash place, std::uint16_t number)
{
  return {place, number};
}

DaemonsByPlace MakeDaemons(Fleet::PlaceHash places, std::uint16_t members)
{
  DaemonsByPlace daemons;
  for (Fleet::PlaceHash place = 1; place <= places; ++place)
    for (std::uint16_t number = 1; number <= members; ++number)
      daemons[place].push_back(DaemonAt(place, number));
  return daemons;
}

class HelperPlanTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HelperPlanTest);
  CPPUNIT_TEST(DaemonHelpsItself);
  CPPUNIT_TEST(SomeDaemonsHelpMoreThanOthers);
  CPPUNIT_TEST(OnlyDaemonHasAHelper);
  CPPUNIT_TEST(DaemonAloneInItsDataCentreHasNoHelpers);
  CPPUNIT_TEST(IsolatedDaemonIsAHelper);
  CPPUNIT_TEST(IsolatedDaemonsHaveNoHelperThoughOneDaemonIsSound);
  CPPUNIT_TEST(NobodyHelpsWhereNobodyReachesAServer);
  CPPUNIT_TEST_SUITE_END();

  /// Helpers are distinct others, those of the daemon's data centre first.
  void DaemonHelpsItself()
  {
    for (const auto& [daemon, helpers] : PlanHelpers(MakeDaemons(3, 20)))
    {
      CPPUNIT_ASSERT_EQUAL(MAX_HELPERS, helpers.size());
      CPPUNIT_ASSERT_EQUAL(MAX_HELPERS, std::set(helpers.begin(), helpers.end()).size());
      CPPUNIT_ASSERT(std::ranges::find(helpers, daemon) == helpers.end());
      for (std::size_t i = 0; i < helpers.size(); ++i)
        CPPUNIT_ASSERT_EQUAL(i < NEAR_HELPERS, helpers[i].address == daemon.address);
    }
  }

  void SomeDaemonsHelpMoreThanOthers()
  {
    std::map<Endpoint, std::size_t> near_counts;
    for (const auto& [daemon, helpers] : PlanHelpers(MakeDaemons(1, 1000)))
      for (const Endpoint& helper : helpers)
        ++near_counts[helper];
    CPPUNIT_ASSERT_EQUAL(std::size_t(1000), near_counts.size());
    CPPUNIT_ASSERT(std::ranges::all_of(near_counts, [](const auto& entry) {
      return entry.second == NEAR_HELPERS;
    }));
  }

  void OnlyDaemonHasAHelper()
  {
    const auto plan = PlanHelpers(MakeDaemons(1, 1));
    CPPUNIT_ASSERT(plan.at(DaemonAt(1, 1)).empty());
  }

  void DaemonAloneInItsDataCentreHasNoHelpers()
  {
    const auto plan = PlanHelpers(MakeDaemons(4, 1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), plan.at(DaemonAt(2, 1)).size());
  }

  void IsolatedDaemonIsAHelper()
  {
    const std::set<Endpoint> isolated{DaemonAt(1, 1), DaemonAt(1, 2), DaemonAt(2, 5)};
    for (const auto& [daemon, helpers] : PlanHelpers(MakeDaemons(3, 6), isolated))
    {
      CPPUNIT_ASSERT_EQUAL(MAX_HELPERS, helpers.size());
      for (const Endpoint& helper : helpers)
        CPPUNIT_ASSERT(!isolated.contains(helper) && helper != daemon);
    }
  }

  void IsolatedDaemonsHaveNoHelperThoughOneDaemonIsSound()
  {
    auto daemons = MakeDaemons(3, 4);
    std::set<Endpoint> isolated;
    for (const auto& [place, members] : daemons)
      isolated.insert(members.begin(), members.end());
    const Endpoint sound = DaemonAt(2, 3);
    isolated.erase(sound);
    for (const auto& [daemon, helpers] : PlanHelpers(std::move(daemons), isolated))
      CPPUNIT_ASSERT(daemon == sound ? helpers.empty() : helpers == std::vector{sound});
  }

  void NobodyHelpsWhereNobodyReachesAServer()
  {
    auto daemons = MakeDaemons(3, 4);
    std::set<Endpoint> unfit;
    for (const auto& [place, members] : daemons)
      unfit.insert(members.begin(), members.end());
    for (const auto& [daemon, helpers] : PlanHelpers(std::move(daemons), unfit))
      CPPUNIT_ASSERT_EQUAL(MAX_HELPERS, helpers.size());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HelperPlanTest);
} // namespace

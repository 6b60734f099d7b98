// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Tests which blocked requests count as bystanders of server crashes. Honest requests, identical
// each time, stayed blocked for ten minutes because three servers that ran them beside crashing
// requests had crashed before one of them had completed.

#include "Crashes/CrashAttribution.h"

#include <cstdlib>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

namespace
{
using namespace Crashes;

Fingerprint RequestOf(std::uint64_t number)
{
  return {number, number, number};
}

/// Requests are numbered from 1 in the order of the list. A negative number is that of a server
/// that had begun to respond.
CrashesByRequest CrashesOf(const std::vector<std::vector<int>>& servers)
{
  CrashesByRequest crashes;
  for (const auto& list : servers)
  {
    auto& of_request = crashes[RequestOf(crashes.size() + 1)];
    for (const int server : list)
      of_request.emplace(ServerInstance("s-" + std::to_string(std::abs(server))),
                         server < 0 ? Progress::Responding : Progress::NotBegun);
  }
  return crashes;
}

class CrashAttributionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CrashAttributionTest);
  CPPUNIT_TEST(BystanderOfSeveralCrashingRequestsIsFound);
  CPPUNIT_TEST(BystanderIsFoundThoughNoCrashHasAnOnlySuspect);
  CPPUNIT_TEST(RequestsWithTheSameCrashesAreNotToldApart);
  CPPUNIT_TEST(RespondingRequestIsTheBystanderOfTwo);
  CPPUNIT_TEST(RespondingRequestIsKeptWhereItIsTheOnlySuspect);
  CPPUNIT_TEST(OnlySuspectOfACrashIsNoBystander);
  CPPUNIT_TEST(CrashingRequestsThatShareACrashAreKept);
  CPPUNIT_TEST(GroupThatNeedsTooManyCulpritsIsKept);
  CPPUNIT_TEST_SUITE_END();

  void BystanderOfSeveralCrashingRequestsIsFound()
  {
    CPPUNIT_ASSERT(FindBystanders(CrashesOf({{1, 2, 3}, {4, 5, 6}, {7, 8, 9}, {1, 4, 7}})) ==
                   std::set{RequestOf(4)});
  }

  /// Two honest requests ran beside one crashing request at its crashes, and beside another at one.
  void BystanderIsFoundThoughNoCrashHasAnOnlySuspect()
  {
    CPPUNIT_ASSERT(FindBystanders(CrashesOf({{1, 2, 3}, {4, 5, 6}, {1, 2, 4}, {1, 3, 4}})) ==
                   (std::set{RequestOf(3), RequestOf(4)}));
  }

  void RequestsWithTheSameCrashesAreNotToldApart()
  {
    CPPUNIT_ASSERT(FindBystanders(CrashesOf({{1, 2, 3}, {1, 2, 3}})).empty());
  }

  /// An honest stream ran beside a crashing request at all of its crashes.
  void RespondingRequestIsTheBystanderOfTwo()
  {
    CPPUNIT_ASSERT(FindBystanders(CrashesOf({{1, 2, 3}, {-1, -2, -3}})) == std::set{RequestOf(2)});
    CPPUNIT_ASSERT(FindBystanders(CrashesOf({{-1, -2, -3}, {-1, -2, -3}})).empty());
    CPPUNIT_ASSERT(FindBystanders(CrashesOf({{1, 2, 3}, {-1, -2, 3}})) == std::set{RequestOf(2)});
  }

  void RespondingRequestIsKeptWhereItIsTheOnlySuspect()
  {
    CPPUNIT_ASSERT(FindBystanders(CrashesOf({{1, 2, 3}, {-2, -3, -4}})).empty());
  }

  void OnlySuspectOfACrashIsNoBystander()
  {
    CPPUNIT_ASSERT(FindBystanders(CrashesOf({{1, 2, 3}, {2, 3, 4}})).empty());
    CPPUNIT_ASSERT(FindBystanders(CrashesOf({{1, 2, 3}})).empty());
    CPPUNIT_ASSERT(FindBystanders({}).empty());
  }

  void CrashingRequestsThatShareACrashAreKept()
  {
    CPPUNIT_ASSERT(FindBystanders(CrashesOf({{1, 2, 3}, {3, 4, 5}, {5, 6, 1}})).empty());
  }

  /// Four pairs with the same crashes; the fifth request shares one crash with each pair. At least
  /// four culprits are needed, which is more than the search tries.
  void GroupThatNeedsTooManyCulpritsIsKept()
  {
    CPPUNIT_ASSERT(FindBystanders(CrashesOf({{1, 2, 3},
                                             {1, 2, 3},
                                             {4, 5, 6},
                                             {4, 5, 6},
                                             {7, 8, 9},
                                             {7, 8, 9},
                                             {10, 11, 12},
                                             {10, 11, 12},
                                             {1, 4, 7, 10}}))
                       .empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashAttributionTest);
} // namespace

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Crashes/Fingerprint.h"

#include <set>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

namespace
{
using namespace Crashes;

const RequestIdentity IDENTITY{"shop", "POST", "h", "/a/b?c=1", "body"};

class FingerprintTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FingerprintTest);
  CPPUNIT_TEST(EachPartCounts);
  CPPUNIT_TEST(NoPartRunsIntoTheNext);
  CPPUNIT_TEST(ReadsItsOwnText);
  CPPUNIT_TEST_SUITE_END();

  void EachPartCounts()
  {
    std::set<Fingerprint> seen{FingerprintOf(IDENTITY)};
    for (std::string_view RequestIdentity::*part :
         {&RequestIdentity::account, &RequestIdentity::method, &RequestIdentity::host,
          &RequestIdentity::target, &RequestIdentity::body})
    {
      RequestIdentity other = IDENTITY;
      other.*part = "other";
      CPPUNIT_ASSERT(seen.insert(FingerprintOf(other)).second);
    }
    CPPUNIT_ASSERT(FingerprintOf(IDENTITY) == FingerprintOf(IDENTITY));
  }

  /// One caller must not be able to make its request look like another's.
  void NoPartRunsIntoTheNext()
  {
    CPPUNIT_ASSERT(FingerprintOf({"ab", "", "", "", ""}) != FingerprintOf({"a", "b", "", "", ""}));
  }

  void ReadsItsOwnText()
  {
    const Fingerprint fingerprint = FingerprintOf(IDENTITY);
    const auto read = Fingerprint::Parse(fingerprint.ToString());
    CPPUNIT_ASSERT(read && *read == fingerprint);
    CPPUNIT_ASSERT(!Fingerprint::Parse("12"));
    CPPUNIT_ASSERT(!Fingerprint::Parse(std::string(32, 'x')));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FingerprintTest);
} // namespace

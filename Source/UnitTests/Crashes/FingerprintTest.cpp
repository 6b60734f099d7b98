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
  CPPUNIT_TEST(EachPartAffectsTheFingerprint);
  CPPUNIT_TEST(PartsAreDelimited);
  CPPUNIT_TEST(TextKeepsLeadingZeros);
  CPPUNIT_TEST(PromptPartIsTakenForARequest);
  CPPUNIT_TEST_SUITE_END();

  void EachPartAffectsTheFingerprint()
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

  /// No caller may be able to construct a request with the fingerprint of another caller's request.
  void PartsAreDelimited()
  {
    CPPUNIT_ASSERT(FingerprintOf({"ab", "", "", "", ""}) != FingerprintOf({"a", "b", "", "", ""}));
  }

  void TextKeepsLeadingZeros()
  {
    CPPUNIT_ASSERT_EQUAL(std::string("000000000000000f0000000000000001"),
                         (Fingerprint{15, 1, 7}.ToString()));
  }

  /// Daemons of different versions exchange fingerprints, and pass on those that they do not know.
  void PromptPartIsTakenForARequest()
  {
    const Fingerprint part = FingerprintOf(PromptPartIdentity{"account", "5c1e", "v1"});
    CPPUNIT_ASSERT(part.GetAttribute() == Attribute::PromptPart);
    CPPUNIT_ASSERT(part != FingerprintOf(PromptPartIdentity{"account", "5c1e", "v2"}));
    CPPUNIT_ASSERT(part != FingerprintOf(PromptPartIdentity{"other", "5c1e", "v1"}));
    constexpr int MANY = 200000;
    for (int i = 0; i < MANY; ++i)
    {
      const std::string body = std::to_string(i);
      const Fingerprint request = FingerprintOf(RequestIdentity{"", "POST", "host", "/", body});
      CPPUNIT_ASSERT(request.GetAttribute() == Attribute::WholeRequest);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FingerprintTest);
} // namespace

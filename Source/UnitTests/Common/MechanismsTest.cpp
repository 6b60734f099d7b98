// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Common/Mechanisms.h"

#include <string>

#include <cppunit/extensions/HelperMacros.h>

namespace
{
using Common::DisableMechanisms;
using Common::IsOn;
using Common::Mechanism;

class MechanismsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MechanismsTest);
  CPPUNIT_TEST(MechanismsAreEnabledUnlessListed);
  CPPUNIT_TEST(UnknownNameChangesNothingAndListsKnownNames);
  CPPUNIT_TEST_SUITE_END();

public:
  void tearDown() override { CPPUNIT_ASSERT(DisableMechanisms("")); }

private:
  void MechanismsAreEnabledUnlessListed()
  {
    CPPUNIT_ASSERT(IsOn(Mechanism::Affinity));
    CPPUNIT_ASSERT(DisableMechanisms("affinity,gathered-changes"));
    CPPUNIT_ASSERT(!IsOn(Mechanism::Affinity));
    CPPUNIT_ASSERT(!IsOn(Mechanism::GatheredChanges));
    CPPUNIT_ASSERT(IsOn(Mechanism::Ejection));
  }

  void UnknownNameChangesNothingAndListsKnownNames()
  {
    CPPUNIT_ASSERT(DisableMechanisms("turns"));
    const auto refused = DisableMechanisms("ejection,turn");
    CPPUNIT_ASSERT(!refused);
    CPPUNIT_ASSERT(refused.Reason().detail.find("\"turn\"") != std::string::npos);
    CPPUNIT_ASSERT(refused.Reason().detail.find("spare-replicas") != std::string::npos);
    CPPUNIT_ASSERT(IsOn(Mechanism::Ejection));
    CPPUNIT_ASSERT(!IsOn(Mechanism::Turns));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MechanismsTest);
} // namespace

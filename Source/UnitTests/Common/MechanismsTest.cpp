// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Common/Mechanisms.h"

#include <string>

#include <cppunit/extensions/HelperMacros.h>

namespace
{
using Common::IsOn;
using Common::Mechanism;
using Common::SwitchOff;

class MechanismsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MechanismsTest);
  CPPUNIT_TEST(AllAreOnUnlessNamed);
  CPPUNIT_TEST(AnUnknownNameChangesNothingAndNamesTheKnown);
  CPPUNIT_TEST_SUITE_END();

public:
  void tearDown() override { CPPUNIT_ASSERT(SwitchOff("")); }

private:
  void AllAreOnUnlessNamed()
  {
    CPPUNIT_ASSERT(IsOn(Mechanism::Affinity));
    CPPUNIT_ASSERT(SwitchOff("affinity,gathered-changes"));
    CPPUNIT_ASSERT(!IsOn(Mechanism::Affinity));
    CPPUNIT_ASSERT(!IsOn(Mechanism::GatheredChanges));
    CPPUNIT_ASSERT(IsOn(Mechanism::Ejection));
  }

  void AnUnknownNameChangesNothingAndNamesTheKnown()
  {
    CPPUNIT_ASSERT(SwitchOff("turns"));
    const auto refused = SwitchOff("ejection,turn");
    CPPUNIT_ASSERT(!refused);
    CPPUNIT_ASSERT(refused.Reason().detail.find("\"turn\"") != std::string::npos);
    CPPUNIT_ASSERT(refused.Reason().detail.find("spare-replicas") != std::string::npos);
    CPPUNIT_ASSERT(IsOn(Mechanism::Ejection));
    CPPUNIT_ASSERT(!IsOn(Mechanism::Turns));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MechanismsTest);
} // namespace

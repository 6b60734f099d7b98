// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Decisions/Reconcile.h"

#include <cppunit/extensions/HelperMacros.h>

namespace
{
using Decisions::ClaimState;
using Decisions::OrderKnowledge;
using Decisions::Reconcile;
using Decisions::ReconcileAction;
using Decisions::ReconcileInput;
using Decisions::ReportedState;

class ReconcileTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ReconcileTest);
  CPPUNIT_TEST(NothingIsDecidedWithoutAReport);
  CPPUNIT_TEST(AnOrderThatArrivedIsDefinite);
  CPPUNIT_TEST(ASilentHolderKeepsItsClaimOnAnEngineThatIgnores);
  CPPUNIT_TEST(ASilentHolderIsFencedOffOnAnEngineThatChecks);
  CPPUNIT_TEST(AGoneHolderSettlesOnlyAfterTheSettlingTime);
  CPPUNIT_TEST(AnUnsentOrderIsFreedAtOnce);
  CPPUNIT_TEST(NoStateIsEverFreedWhileTheArtifactIsThere);
  CPPUNIT_TEST_SUITE_END();

  static ReconcileInput Ordered(ReportedState reported, OrderKnowledge order)
  {
    ReconcileInput input;
    input.claim = ClaimState::Ordered;
    input.reported = reported;
    input.order = order;
    return input;
  }

  void NothingIsDecidedWithoutAReport()
  {
    for (const auto order : {OrderKnowledge::NotSent, OrderKnowledge::Unknown,
                             OrderKnowledge::HolderGone, OrderKnowledge::HolderSilent})
      CPPUNIT_ASSERT(Reconcile(Ordered(ReportedState::Unknown, order)) == ReconcileAction::Keep);
  }

  void AnOrderThatArrivedIsDefinite()
  {
    for (const auto order : {OrderKnowledge::Unknown, OrderKnowledge::HolderGone,
                             OrderKnowledge::HolderSilent, OrderKnowledge::HolderAlive})
      CPPUNIT_ASSERT(Reconcile(Ordered(ReportedState::Loaded, order)) ==
                     ReconcileAction::MarkLoaded);
  }

  void ASilentHolderKeepsItsClaimOnAnEngineThatIgnores()
  {
    ReconcileInput input = Ordered(ReportedState::Absent, OrderKnowledge::HolderSilent);
    input.settled = true;
    input.fence_raised = true;
    CPPUNIT_ASSERT(Reconcile(input) == ReconcileAction::Keep);
    input.same_incarnation = false;
    CPPUNIT_ASSERT(Reconcile(input) == ReconcileAction::Keep);
  }

  void ASilentHolderIsFencedOffOnAnEngineThatChecks()
  {
    ReconcileInput input = Ordered(ReportedState::Absent, OrderKnowledge::HolderSilent);
    input.engine_checks_fencing = true;
    CPPUNIT_ASSERT(Reconcile(input) == ReconcileAction::RaiseFence);
    input.fence_raised = true;
    CPPUNIT_ASSERT(Reconcile(input) == ReconcileAction::Free);
  }

  void AGoneHolderSettlesOnlyAfterTheSettlingTime()
  {
    ReconcileInput input = Ordered(ReportedState::Absent, OrderKnowledge::HolderGone);
    CPPUNIT_ASSERT(Reconcile(input) == ReconcileAction::Keep);
    input.settled = true;
    CPPUNIT_ASSERT(Reconcile(input) == ReconcileAction::Free);
  }

  void AnUnsentOrderIsFreedAtOnce()
  {
    CPPUNIT_ASSERT(Reconcile(Ordered(ReportedState::Absent, OrderKnowledge::NotSent)) ==
                   ReconcileAction::Free);
  }

  /// Exhaustive over all inputs: a claim is never freed while the engine reports its artifact and
  /// its order may have been sent.
  void NoStateIsEverFreedWhileTheArtifactIsThere()
  {
    for (int bits = 0; bits < 16; ++bits)
      for (const auto claim : {ClaimState::Ordered, ClaimState::Loaded, ClaimState::Unloading})
        for (const auto reported :
             {ReportedState::Loading, ReportedState::Loaded, ReportedState::Unloading})
          for (const auto order :
               {OrderKnowledge::InProgress, OrderKnowledge::Unknown, OrderKnowledge::HolderAlive,
                OrderKnowledge::HolderSilent, OrderKnowledge::HolderGone})
          {
            const ReconcileInput input{claim,           reported,        order,
                                       (bits & 1) != 0, (bits & 2) != 0, (bits & 4) != 0,
                                       (bits & 8) != 0};
            CPPUNIT_ASSERT(Reconcile(input) != ReconcileAction::Free);
          }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReconcileTest);
} // namespace

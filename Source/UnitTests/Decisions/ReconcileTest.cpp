// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Decisions/Reconcile.h"

#include <cppunit/extensions/HelperMacros.h>

namespace
{
using Decisions::ClaimState;
using Decisions::OrderStatus;
using Decisions::Reconcile;
using Decisions::ReconcileAction;
using Decisions::ReconcileInput;
using Decisions::ReportedState;

class ReconcileTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ReconcileTest);
  CPPUNIT_TEST(KeepsClaimWithoutReport);
  CPPUNIT_TEST(LoadedArtifactMarksClaimLoaded);
  CPPUNIT_TEST(KeepsClaimOfUnresponsiveHolderWithoutFencing);
  CPPUNIT_TEST(FencesUnresponsiveHolder);
  CPPUNIT_TEST(FreesClaimOfTerminatedHolderAfterSettlingTime);
  CPPUNIT_TEST(FreesClaimOfUnsentOrderImmediately);
  CPPUNIT_TEST(NeverFreesClaimOfReportedArtifact);
  CPPUNIT_TEST_SUITE_END();

  static ReconcileInput Ordered(ReportedState reported, OrderStatus order)
  {
    ReconcileInput input;
    input.claim = ClaimState::Ordered;
    input.reported = reported;
    input.order = order;
    return input;
  }

  void KeepsClaimWithoutReport()
  {
    for (const auto order : {OrderStatus::NotSent, OrderStatus::Unknown,
                             OrderStatus::HolderTerminated, OrderStatus::HolderUnresponsive})
      CPPUNIT_ASSERT(Reconcile(Ordered(ReportedState::Unknown, order)) == ReconcileAction::Keep);
  }

  void LoadedArtifactMarksClaimLoaded()
  {
    for (const auto order : {OrderStatus::Unknown, OrderStatus::HolderTerminated,
                             OrderStatus::HolderUnresponsive, OrderStatus::HolderAlive})
      CPPUNIT_ASSERT(Reconcile(Ordered(ReportedState::Loaded, order)) ==
                     ReconcileAction::MarkLoaded);
  }

  void KeepsClaimOfUnresponsiveHolderWithoutFencing()
  {
    ReconcileInput input = Ordered(ReportedState::Absent, OrderStatus::HolderUnresponsive);
    input.settled = true;
    input.fence_raised = true;
    CPPUNIT_ASSERT(Reconcile(input) == ReconcileAction::Keep);
    input.same_instance = false;
    CPPUNIT_ASSERT(Reconcile(input) == ReconcileAction::Keep);
  }

  void FencesUnresponsiveHolder()
  {
    ReconcileInput input = Ordered(ReportedState::Absent, OrderStatus::HolderUnresponsive);
    input.server_checks_fencing = true;
    CPPUNIT_ASSERT(Reconcile(input) == ReconcileAction::RaiseFence);
    input.fence_raised = true;
    CPPUNIT_ASSERT(Reconcile(input) == ReconcileAction::Free);
  }

  void FreesClaimOfTerminatedHolderAfterSettlingTime()
  {
    ReconcileInput input = Ordered(ReportedState::Absent, OrderStatus::HolderTerminated);
    CPPUNIT_ASSERT(Reconcile(input) == ReconcileAction::Keep);
    input.settled = true;
    CPPUNIT_ASSERT(Reconcile(input) == ReconcileAction::Free);
  }

  void FreesClaimOfUnsentOrderImmediately()
  {
    CPPUNIT_ASSERT(Reconcile(Ordered(ReportedState::Absent, OrderStatus::NotSent)) ==
                   ReconcileAction::Free);
  }

  /// Exhaustive over all inputs: a claim is never freed while the server reports its artifact and
  /// its order may have been sent.
  void NeverFreesClaimOfReportedArtifact()
  {
    for (int bits = 0; bits < 16; ++bits)
      for (const auto claim : {ClaimState::Ordered, ClaimState::Loaded, ClaimState::Unloading})
        for (const auto reported :
             {ReportedState::Loading, ReportedState::Loaded, ReportedState::Unloading})
          for (const auto order :
               {OrderStatus::InProgress, OrderStatus::Unknown, OrderStatus::HolderAlive,
                OrderStatus::HolderUnresponsive, OrderStatus::HolderTerminated})
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

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Tests which requests are blocked for server crashes, based on the observations of several
// daemons, whatever the order in which messages arrive and however often.

#include "Crashes/CrashLedger.h"

#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Common/Loop.h"

namespace
{
using namespace Crashes;
using Common::Milliseconds;
using Common::TimePoint;
using Common::VmId;

constexpr Fingerprint CRASHER{1, 1, 10};
constexpr Fingerprint BYSTANDER{2, 2, 20};
constexpr Fingerprint ANOTHER_CRASHER{3, 3, 30};
/// Time from sending the request to the crash of the server.
constexpr Milliseconds RUN_TIME{300};
constexpr std::size_t ALL_BYTES = 1 << 20;

class CrashLedgerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CrashLedgerTest);
  CPPUNIT_TEST(ThreeCrashesBlock);
  CPPUNIT_TEST(CrashSeenByManyVmsCountsOnce);
  CPPUNIT_TEST(CrashesSeenByTwoDaemonsAddUp);
  CPPUNIT_TEST(DuplicateOrLateMessagesChangeNothing);
  CPPUNIT_TEST(SuccessClearsARequest);
  CPPUNIT_TEST(SuccessClearsOldCrashesReportedLater);
  CPPUNIT_TEST(BystanderIsNotBlocked);
  CPPUNIT_TEST(EarlierSuccessLiftsTheBlock);
  CPPUNIT_TEST(SimultaneousCrashesCountOnce);
  CPPUNIT_TEST(TwoSimultaneousCrashingRequestsAreBothBlocked);
  CPPUNIT_TEST(BlockOfABystanderIsLiftedEverywhere);
  CPPUNIT_TEST(CallersOfABystanderAreAskedToReturnSoon);
  CPPUNIT_TEST(ExpiredBlockDoublesAfterOneMoreCrash);
  CPPUNIT_TEST(NumberOfCasesIsBounded);
  CPPUNIT_TEST(CrashesFromBeforeTheBootCount);
  CPPUNIT_TEST(ChangesAreSplitToFitMessages);
  CPPUNIT_TEST_SUITE_END();

  static ServerInstance InstanceOf(int number)
  {
    return ServerInstance("i-" + std::to_string(number));
  }
  void Crash(CrashLedger& ledger, const Fingerprint& request, int instance, const char* vm = "vm-1")
  {
    ledger.RecordCrash(request, InstanceOf(instance), VmId(vm), m_now - RUN_TIME, m_now);
    m_now += Milliseconds(1000);
  }
  bool IsBlocked(const CrashLedger& ledger, const Fingerprint& request) const
  {
    return ledger.BlockStatusOf(request, m_now).blocked;
  }
  /// Sends all cases that one daemon shares to another.
  void Send(const CrashLedger& from, CrashLedger& to) const
  {
    for (const CaseLine& line : from.OwnChangesSince(0, ALL_BYTES, m_now).lines)
      to.Merge(line, m_now);
    for (const CaseLine& line : from.SharedChangesSince(0, ALL_BYTES, m_now).lines)
      to.Merge(line, m_now);
  }

  void ThreeCrashesBlock()
  {
    CrashLedger ledger;
    Crash(ledger, CRASHER, 1);
    Crash(ledger, CRASHER, 2);
    CPPUNIT_ASSERT(!IsBlocked(ledger, CRASHER));
    Crash(ledger, CRASHER, 3);
    CPPUNIT_ASSERT(IsBlocked(ledger, CRASHER));
    CPPUNIT_ASSERT(ledger.TakeNewlyBlocked() == std::vector{CRASHER});
    CPPUNIT_ASSERT(ledger.TakeNewlyBlocked().empty());
  }

  void CrashSeenByManyVmsCountsOnce()
  {
    CrashLedger ledger;
    for (const char* vm : {"vm-1", "vm-2", "vm-3"})
      Crash(ledger, CRASHER, 1, vm);
    CPPUNIT_ASSERT_EQUAL(1, ledger.BlockStatusOf(CRASHER, m_now).server_crashes);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3),
                         ledger.Find(CRASHER, m_now)->server_crashes.front().seen_by.size());
  }

  void CrashesSeenByTwoDaemonsAddUp()
  {
    CrashLedger first;
    CrashLedger second;
    CrashLedger holder;
    Crash(first, CRASHER, 1, "vm-1");
    Crash(second, CRASHER, 2, "vm-2");
    Crash(first, CRASHER, 3, "vm-1");
    Send(second, holder);
    Send(first, holder);
    CPPUNIT_ASSERT(IsBlocked(holder, CRASHER));
    Send(holder, second);
    CPPUNIT_ASSERT(IsBlocked(second, CRASHER));
    CPPUNIT_ASSERT(second.TakeNewlyBlocked() == std::vector{CRASHER});
  }

  void DuplicateOrLateMessagesChangeNothing()
  {
    CrashLedger daemon;
    CrashLedger holder;
    Crash(daemon, CRASHER, 1);
    Crash(daemon, CRASHER, 2);
    const CaseLine late = daemon.OwnChangesSince(0, ALL_BYTES, m_now).lines.front();
    Send(daemon, holder);
    const std::uint64_t revision = holder.Revision();
    Send(daemon, holder);
    holder.Merge(late, m_now + Milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(revision, holder.Revision());
    CPPUNIT_ASSERT_EQUAL(2, holder.BlockStatusOf(CRASHER, m_now).server_crashes);
  }

  void SuccessClearsARequest()
  {
    CrashLedger ledger;
    for (int instance = 1; instance <= 3; ++instance)
      Crash(ledger, CRASHER, instance);
    ledger.NoteRequestSuccess(CRASHER, m_now);
    CPPUNIT_ASSERT(!IsBlocked(ledger, CRASHER));
    CPPUNIT_ASSERT_EQUAL(0, ledger.BlockStatusOf(CRASHER, m_now).server_crashes);
  }

  void SuccessClearsOldCrashesReportedLater()
  {
    CrashLedger holder;
    CrashLedger daemon;
    Crash(daemon, CRASHER, 1);
    Crash(holder, CRASHER, 2);
    Crash(holder, CRASHER, 3);
    holder.NoteRequestSuccess(CRASHER, m_now);
    m_now += Milliseconds(3000);
    Send(daemon, holder);
    CPPUNIT_ASSERT_EQUAL(0, holder.BlockStatusOf(CRASHER, m_now).server_crashes);
    Send(holder, daemon);
    CPPUNIT_ASSERT_EQUAL(0, daemon.BlockStatusOf(CRASHER, m_now).server_crashes);
  }

  /// A harmless request repeatedly runs on the same servers as a crashing one, and completes
  /// successfully in between.
  void BystanderIsNotBlocked()
  {
    CrashLedger ledger;
    for (int instance = 1; instance <= 8; ++instance)
    {
      Crash(ledger, CRASHER, instance);
      ledger.RecordCrash(BYSTANDER, InstanceOf(instance), VmId("vm-1"), m_now - RUN_TIME, m_now);
      if (instance % 2 == 0)
        ledger.NoteRequestSuccess(BYSTANDER, m_now);
      m_now += CrashLedger::SUCCESS_GRACE;
    }
    CPPUNIT_ASSERT(IsBlocked(ledger, CRASHER));
    CPPUNIT_ASSERT(!IsBlocked(ledger, BYSTANDER));
  }

  /// Another daemon knows of a successful completion and reports it when it receives the block.
  void EarlierSuccessLiftsTheBlock()
  {
    CrashLedger ledger;
    const TimePoint last_success = m_now;
    m_now += CrashLedger::SUCCESS_GRACE * 2;
    for (int instance = 1; instance <= 3; ++instance)
      Crash(ledger, BYSTANDER, instance);
    CPPUNIT_ASSERT(IsBlocked(ledger, BYSTANDER));
    CrashLedger other;
    Send(ledger, other);
    other.NoteEarlierSuccess(BYSTANDER, last_success, m_now);
    CPPUNIT_ASSERT(!IsBlocked(other, BYSTANDER));
    Send(other, ledger);
    CPPUNIT_ASSERT(!IsBlocked(ledger, BYSTANDER));
    // The request was cleared by a success, so five crashes are needed to block it.
    Crash(ledger, BYSTANDER, 4);
    CPPUNIT_ASSERT(!IsBlocked(ledger, BYSTANDER));
    Crash(ledger, BYSTANDER, 5);
    CPPUNIT_ASSERT(IsBlocked(ledger, BYSTANDER));
  }

  /// The servers of one rack crash within a few ms while each runs a request that many callers
  /// send.
  void SimultaneousCrashesCountOnce()
  {
    CrashLedger ledger;
    for (int instance = 1; instance <= 8; ++instance)
      ledger.RecordCrash(BYSTANDER, InstanceOf(instance), VmId("vm-1"), m_now - RUN_TIME,
                         m_now + Milliseconds(instance));
    CPPUNIT_ASSERT_EQUAL(1, ledger.BlockStatusOf(BYSTANDER, m_now).server_crashes);
    Crash(ledger, BYSTANDER, 9);
    CPPUNIT_ASSERT(!IsBlocked(ledger, BYSTANDER));
  }

  void TwoSimultaneousCrashingRequestsAreBothBlocked()
  {
    CrashLedger ledger;
    for (int instance = 1; instance <= 3; ++instance)
    {
      Crash(ledger, CRASHER, instance);
      Crash(ledger, BYSTANDER, instance);
    }
    CPPUNIT_ASSERT(IsBlocked(ledger, CRASHER));
    CPPUNIT_ASSERT(IsBlocked(ledger, BYSTANDER));
  }

  /// Blocks two crashing requests, and a bystander that was in progress on three of the servers.
  void BlockWithBystander(CrashLedger& ledger)
  {
    for (int instance = 1; instance <= 6; ++instance)
    {
      if (instance % 2 == 0)
        ledger.RecordCrash(BYSTANDER, InstanceOf(instance), VmId("vm-1"), m_now - RUN_TIME, m_now);
      Crash(ledger, instance <= 3 ? CRASHER : ANOTHER_CRASHER, instance);
    }
    CPPUNIT_ASSERT(IsBlocked(ledger, BYSTANDER));
  }

  /// Honest requests, identical each time, stayed blocked for ten minutes.
  void BlockOfABystanderIsLiftedEverywhere()
  {
    CrashLedger holder;
    BlockWithBystander(holder);
    CrashLedger daemon;
    Send(holder, daemon);
    const CrashLedger uninformed = daemon;
    CPPUNIT_ASSERT(IsBlocked(daemon, BYSTANDER));
    m_now += CrashLedger::COMPARISON_DELAY;
    CPPUNIT_ASSERT(holder.LiftBlocksOfBystanders(m_now) == std::vector{BYSTANDER});
    CPPUNIT_ASSERT(holder.LiftBlocksOfBystanders(m_now).empty());
    Send(holder, daemon);
    // A message from before the comparison does not block the request again.
    Send(uninformed, daemon);
    Send(uninformed, holder);
    for (const CrashLedger* ledger : {&holder, &daemon})
    {
      CPPUNIT_ASSERT(!IsBlocked(*ledger, BYSTANDER));
      CPPUNIT_ASSERT_EQUAL(0, ledger->BlockStatusOf(BYSTANDER, m_now).server_crashes);
      CPPUNIT_ASSERT(IsBlocked(*ledger, CRASHER));
      CPPUNIT_ASSERT(IsBlocked(*ledger, ANOTHER_CRASHER));
    }
    for (int instance = 7; instance <= 9; ++instance)
      Crash(daemon, BYSTANDER, instance);
    CPPUNIT_ASSERT(IsBlocked(daemon, BYSTANDER));
  }

  void CallersOfABystanderAreAskedToReturnSoon()
  {
    CrashLedger ledger;
    BlockWithBystander(ledger);
    CPPUNIT_ASSERT(ledger.BlockStatusOf(BYSTANDER, m_now).retry_after <=
                   CrashLedger::UNCERTAIN_RETRY_AFTER);
    m_now += CrashLedger::UNCERTAIN_SPAN;
    const BlockStatus later = ledger.BlockStatusOf(CRASHER, m_now);
    CPPUNIT_ASSERT(later.retry_after == later.blocked_for);
    CPPUNIT_ASSERT(later.blocked_for > CrashLedger::UNCERTAIN_SPAN);
  }

  void ExpiredBlockDoublesAfterOneMoreCrash()
  {
    CrashLedger ledger;
    for (int instance = 1; instance <= 4; ++instance)
      Crash(ledger, CRASHER, instance);
    m_now += CrashLedger::FIRST_BLOCK;
    CPPUNIT_ASSERT(!IsBlocked(ledger, CRASHER));
    // Messages about the old crashes do not block it again.
    CrashLedger other;
    Send(ledger, other);
    Send(other, ledger);
    CPPUNIT_ASSERT(!IsBlocked(ledger, CRASHER));
    CPPUNIT_ASSERT(!IsBlocked(other, CRASHER));
    Crash(ledger, CRASHER, 5);
    CPPUNIT_ASSERT(ledger.BlockStatusOf(CRASHER, m_now).blocked_for > CrashLedger::FIRST_BLOCK);
  }

  void NumberOfCasesIsBounded()
  {
    CrashLedger ledger;
    for (int instance = 1; instance <= 3; ++instance)
      Crash(ledger, CRASHER, instance);
    for (std::uint64_t i = 100; i < 10100; ++i)
      ledger.RecordCrash({i, i, i}, InstanceOf(static_cast<int>(i)), VmId("vm-1"), m_now - RUN_TIME,
                         m_now);
    CPPUNIT_ASSERT(ledger.Cases() <= CrashLedger::MAX_CASES);
    CPPUNIT_ASSERT(IsBlocked(ledger, CRASHER));
    CPPUNIT_ASSERT(!ledger.MayContain(100));
  }

  /// A VM's clock starts at its boot, so crashes that others observed before that have negative
  /// times.
  void CrashesFromBeforeTheBootCount()
  {
    CrashLedger others;
    Crash(others, CRASHER, 1);
    Crash(others, CRASHER, 2);
    m_now += Milliseconds(60000);
    const CaseLine line = others.OwnChangesSince(0, ALL_BYTES, m_now).lines.front();
    m_now = TimePoint(std::chrono::seconds(5));
    CrashLedger started;
    started.Merge(line, m_now);
    CPPUNIT_ASSERT_EQUAL(2, started.BlockStatusOf(CRASHER, m_now).server_crashes);
  }

  void ChangesAreSplitToFitMessages()
  {
    constexpr std::uint64_t CRASHERS = 200;
    CrashLedger ledger;
    for (std::uint64_t i = 0; i < CRASHERS; ++i)
      for (int instance = 0; instance < 2; ++instance)
        ledger.RecordCrash({i, i, i}, InstanceOf(instance), VmId("vm-1"), m_now - RUN_TIME, m_now);
    std::size_t received = 0;
    std::uint64_t position = 0;
    for (int part = 0; position < ledger.Revision(); ++part)
    {
      CPPUNIT_ASSERT(part < 20);
      const CaseUpdate update = ledger.SharedChangesSince(position, 4000, m_now);
      received += update.lines.size();
      position = update.to;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(CRASHERS), received);
  }

  TimePoint m_now = Common::Now();
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashLedgerTest);
} // namespace

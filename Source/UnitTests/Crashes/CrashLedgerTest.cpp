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
constexpr Fingerprint BESIDE{2, 2, 20};
/// Time from sending the request to the crash of the server.
constexpr Milliseconds RUN{300};
constexpr std::size_t ALL_BYTES = 1 << 20;

class CrashLedgerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CrashLedgerTest);
  CPPUNIT_TEST(ThreeLivesBlock);
  CPPUNIT_TEST(OneLifeCountsOnceWhoeverSawIt);
  CPPUNIT_TEST(WhatTwoDaemonsSawAddsUp);
  CPPUNIT_TEST(WhatIsToldTwiceOrLateChangesNothing);
  CPPUNIT_TEST(AGoodEndClears);
  CPPUNIT_TEST(AGoodEndClearsAlsoForLaterWordOfOldEndings);
  CPPUNIT_TEST(WhoWasOnlyBesideIsNotBlocked);
  CPPUNIT_TEST(AnEarlierGoodEndTakesTheBlockBack);
  CPPUNIT_TEST(ServersThatEndTogetherCountOnce);
  CPPUNIT_TEST(TwoCrashersAtOnceAreBothBlocked);
  CPPUNIT_TEST(ABlockEndsAndOneMoreEndingDoublesIt);
  CPPUNIT_TEST(ManyCrashersAreBounded);
  CPPUNIT_TEST(EndingsFromBeforeTheBootCount);
  CPPUNIT_TEST(NewsComesInPartsThatFit);
  CPPUNIT_TEST_SUITE_END();

  static ServerInstance Life(int number) { return ServerInstance("i-" + std::to_string(number)); }
  void End(CrashLedger& ledger, const Fingerprint& request, int life, const char* vm = "vm-1")
  {
    ledger.RecordCrash(request, Life(life), VmId(vm), m_now - RUN, m_now);
    m_now += Milliseconds(1000);
  }
  bool IsBlocked(const CrashLedger& ledger, const Fingerprint& request) const
  {
    return ledger.BlockStatusOf(request, m_now).blocked;
  }
  /// Sends all cases that one daemon shares to another.
  void Tell(const CrashLedger& from, CrashLedger& to) const
  {
    for (const CaseLine& line : from.OwnChangesSince(0, ALL_BYTES, m_now).lines)
      to.Merge(line, m_now);
    for (const CaseLine& line : from.SharedChangesSince(0, ALL_BYTES, m_now).lines)
      to.Merge(line, m_now);
  }

  void ThreeLivesBlock()
  {
    CrashLedger ledger;
    End(ledger, CRASHER, 1);
    End(ledger, CRASHER, 2);
    CPPUNIT_ASSERT(!IsBlocked(ledger, CRASHER));
    End(ledger, CRASHER, 3);
    CPPUNIT_ASSERT(IsBlocked(ledger, CRASHER));
    CPPUNIT_ASSERT(ledger.TakeNewlyBlocked() == std::vector{CRASHER});
    CPPUNIT_ASSERT(ledger.TakeNewlyBlocked().empty());
  }

  void OneLifeCountsOnceWhoeverSawIt()
  {
    CrashLedger ledger;
    for (const char* vm : {"vm-1", "vm-2", "vm-3"})
      End(ledger, CRASHER, 1, vm);
    CPPUNIT_ASSERT_EQUAL(1, ledger.BlockStatusOf(CRASHER, m_now).server_crashes);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3),
                         ledger.Find(CRASHER, m_now)->server_crashes.front().seen_by.size());
  }

  void WhatTwoDaemonsSawAddsUp()
  {
    CrashLedger first;
    CrashLedger second;
    CrashLedger holder;
    End(first, CRASHER, 1, "vm-1");
    End(second, CRASHER, 2, "vm-2");
    End(first, CRASHER, 3, "vm-1");
    Tell(second, holder);
    Tell(first, holder);
    CPPUNIT_ASSERT(IsBlocked(holder, CRASHER));
    Tell(holder, second);
    CPPUNIT_ASSERT(IsBlocked(second, CRASHER));
    CPPUNIT_ASSERT(second.TakeNewlyBlocked() == std::vector{CRASHER});
  }

  void WhatIsToldTwiceOrLateChangesNothing()
  {
    CrashLedger daemon;
    CrashLedger holder;
    End(daemon, CRASHER, 1);
    End(daemon, CRASHER, 2);
    const CaseLine late = daemon.OwnChangesSince(0, ALL_BYTES, m_now).lines.front();
    Tell(daemon, holder);
    const std::uint64_t revision = holder.Revision();
    Tell(daemon, holder);
    holder.Merge(late, m_now + Milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(revision, holder.Revision());
    CPPUNIT_ASSERT_EQUAL(2, holder.BlockStatusOf(CRASHER, m_now).server_crashes);
  }

  void AGoodEndClears()
  {
    CrashLedger ledger;
    for (int life = 1; life <= 3; ++life)
      End(ledger, CRASHER, life);
    ledger.NoteRequestSuccess(CRASHER, m_now);
    CPPUNIT_ASSERT(!IsBlocked(ledger, CRASHER));
    CPPUNIT_ASSERT_EQUAL(0, ledger.BlockStatusOf(CRASHER, m_now).server_crashes);
  }

  void AGoodEndClearsAlsoForLaterWordOfOldEndings()
  {
    CrashLedger holder;
    CrashLedger daemon;
    End(daemon, CRASHER, 1);
    End(holder, CRASHER, 2);
    End(holder, CRASHER, 3);
    holder.NoteRequestSuccess(CRASHER, m_now);
    m_now += Milliseconds(3000);
    Tell(daemon, holder);
    CPPUNIT_ASSERT_EQUAL(0, holder.BlockStatusOf(CRASHER, m_now).server_crashes);
    Tell(holder, daemon);
    CPPUNIT_ASSERT_EQUAL(0, daemon.BlockStatusOf(CRASHER, m_now).server_crashes);
  }

  /// A harmless request repeatedly runs on the same servers as a crashing one, and completes
  /// successfully in between.
  void WhoWasOnlyBesideIsNotBlocked()
  {
    CrashLedger ledger;
    for (int life = 1; life <= 8; ++life)
    {
      End(ledger, CRASHER, life);
      ledger.RecordCrash(BESIDE, Life(life), VmId("vm-1"), m_now - RUN, m_now);
      if (life % 2 == 0)
        ledger.NoteRequestSuccess(BESIDE, m_now);
      m_now += CrashLedger::SUCCESS_GRACE;
    }
    CPPUNIT_ASSERT(IsBlocked(ledger, CRASHER));
    CPPUNIT_ASSERT(!IsBlocked(ledger, BESIDE));
  }

  /// Another daemon knows of a successful completion and reports it when it receives the block.
  void AnEarlierGoodEndTakesTheBlockBack()
  {
    CrashLedger ledger;
    const TimePoint last_success = m_now;
    m_now += CrashLedger::SUCCESS_GRACE * 2;
    for (int life = 1; life <= 3; ++life)
      End(ledger, BESIDE, life);
    CPPUNIT_ASSERT(IsBlocked(ledger, BESIDE));
    CrashLedger other;
    Tell(ledger, other);
    other.NoteEarlierSuccess(BESIDE, last_success, m_now);
    CPPUNIT_ASSERT(!IsBlocked(other, BESIDE));
    Tell(other, ledger);
    CPPUNIT_ASSERT(!IsBlocked(ledger, BESIDE));
    // The request was cleared by a success, so five crashes are needed to block it.
    End(ledger, BESIDE, 4);
    CPPUNIT_ASSERT(!IsBlocked(ledger, BESIDE));
    End(ledger, BESIDE, 5);
    CPPUNIT_ASSERT(IsBlocked(ledger, BESIDE));
  }

  /// The servers of one rack crash within a few ms while each runs a request that many callers
  /// send.
  void ServersThatEndTogetherCountOnce()
  {
    CrashLedger ledger;
    for (int life = 1; life <= 8; ++life)
      ledger.RecordCrash(BESIDE, Life(life), VmId("vm-1"), m_now - RUN, m_now + Milliseconds(life));
    CPPUNIT_ASSERT_EQUAL(1, ledger.BlockStatusOf(BESIDE, m_now).server_crashes);
    End(ledger, BESIDE, 9);
    CPPUNIT_ASSERT(!IsBlocked(ledger, BESIDE));
  }

  void TwoCrashersAtOnceAreBothBlocked()
  {
    CrashLedger ledger;
    for (int life = 1; life <= 3; ++life)
    {
      End(ledger, CRASHER, life);
      End(ledger, BESIDE, life);
    }
    CPPUNIT_ASSERT(IsBlocked(ledger, CRASHER));
    CPPUNIT_ASSERT(IsBlocked(ledger, BESIDE));
  }

  void ABlockEndsAndOneMoreEndingDoublesIt()
  {
    CrashLedger ledger;
    for (int life = 1; life <= 4; ++life)
      End(ledger, CRASHER, life);
    m_now += CrashLedger::FIRST_BLOCK;
    CPPUNIT_ASSERT(!IsBlocked(ledger, CRASHER));
    // Messages about the old crashes do not block it again.
    CrashLedger other;
    Tell(ledger, other);
    Tell(other, ledger);
    CPPUNIT_ASSERT(!IsBlocked(ledger, CRASHER));
    CPPUNIT_ASSERT(!IsBlocked(other, CRASHER));
    End(ledger, CRASHER, 5);
    CPPUNIT_ASSERT(ledger.BlockStatusOf(CRASHER, m_now).blocked_for > CrashLedger::FIRST_BLOCK);
  }

  void ManyCrashersAreBounded()
  {
    CrashLedger ledger;
    for (int life = 1; life <= 3; ++life)
      End(ledger, CRASHER, life);
    for (std::uint64_t i = 100; i < 10100; ++i)
      ledger.RecordCrash({i, i, i}, Life(static_cast<int>(i)), VmId("vm-1"), m_now - RUN, m_now);
    CPPUNIT_ASSERT(ledger.Cases() <= CrashLedger::MAX_CASES);
    CPPUNIT_ASSERT(IsBlocked(ledger, CRASHER));
    CPPUNIT_ASSERT(!ledger.MayContain(100));
  }

  /// A VM's clock starts at its boot, so crashes that others observed before that have negative
  /// times.
  void EndingsFromBeforeTheBootCount()
  {
    CrashLedger others;
    End(others, CRASHER, 1);
    End(others, CRASHER, 2);
    m_now += Milliseconds(60000);
    const CaseLine line = others.OwnChangesSince(0, ALL_BYTES, m_now).lines.front();
    m_now = TimePoint(std::chrono::seconds(5));
    CrashLedger started;
    started.Merge(line, m_now);
    CPPUNIT_ASSERT_EQUAL(2, started.BlockStatusOf(CRASHER, m_now).server_crashes);
  }

  void NewsComesInPartsThatFit()
  {
    constexpr std::uint64_t CRASHERS = 200;
    CrashLedger ledger;
    for (std::uint64_t i = 0; i < CRASHERS; ++i)
      for (int life = 0; life < 2; ++life)
        ledger.RecordCrash({i, i, i}, Life(life), VmId("vm-1"), m_now - RUN, m_now);
    std::size_t told = 0;
    std::uint64_t position = 0;
    for (int part = 0; position < ledger.Revision(); ++part)
    {
      CPPUNIT_ASSERT(part < 20);
      const CaseUpdate news = ledger.SharedChangesSince(position, 4000, m_now);
      told += news.lines.size();
      position = news.to;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(CRASHERS), told);
  }

  TimePoint m_now = Common::Now();
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashLedgerTest);
} // namespace

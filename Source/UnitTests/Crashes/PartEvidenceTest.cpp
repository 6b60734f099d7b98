// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Crashes/PartEvidence.h"

#include <string>

#include <cppunit/extensions/HelperMacros.h>

namespace
{
using namespace Crashes;
using Common::Milliseconds;
using Common::TimePoint;

constexpr TimePoint START{std::chrono::hours(1)};
constexpr Milliseconds APART{100};
constexpr const char* SOFTWARE = "v1";

struct Daemon
{
  /// Records `count` crashes of servers that had a request with the parts.
  void Crash(const SharedParts& parts, int count, TimePoint first, const char* software = SOFTWARE)
  {
    for (int i = 0; i < count; ++i)
    {
      const TimePoint at = first + APART * i;
      for (const Fingerprint& part : evidence.Suspects(parts, software, at))
        ledger.RecordCrash(part, ServerInstance("s-" + std::to_string(++servers)),
                           Common::VmId("vm"), at - Milliseconds(10), at);
    }
  }
  bool IsBlocked(const SharedParts& parts, TimePoint now, const char* software = SOFTWARE) const
  {
    return evidence.StatusOf(parts, software, now).blocked;
  }

  CrashLedger ledger;
  PartEvidence evidence{ledger};
  int servers = 0;
};

class PartEvidenceTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PartEvidenceTest);
  CPPUNIT_TEST(LastPartIsNoSuspect);
  CPPUNIT_TEST(PartOfAnotherAccountIsBlocked);
  CPPUNIT_TEST(WrittenPartIsBlockedByManyCrashes);
  CPPUNIT_TEST(LateNewsOfWritingDoesNotUnblock);
  CPPUNIT_TEST(NewSoftwareIsNotTried);
  CPPUNIT_TEST(BlockIsLostOverARestart);
  CPPUNIT_TEST(EveryDaemonProbes);
  CPPUNIT_TEST(ProbesCrashServersWithoutEnd);
  CPPUNIT_TEST(ServersThatCrashTogetherCountSeparately);
  CPPUNIT_TEST_SUITE_END();

  void LastPartIsNoSuspect()
  {
    CPPUNIT_ASSERT(ReadSharedParts("5c1e:80", "").ids.empty());
    const SharedParts parts = ReadSharedParts("5C1e:80,91bd:41,e440:25", "");
    CPPUNIT_ASSERT((parts.ids == std::vector<std::string>{"5c1e", "91bd"}));
  }

  /// Callers choose the ids of parts.
  void PartOfAnotherAccountIsBlocked()
  {
    Daemon daemon;
    daemon.Crash({"one", {"a"}}, 3, START);
    CPPUNIT_ASSERT(daemon.IsBlocked({"one", {"a"}}, START + APART * 3));
    CPPUNIT_ASSERT(!daemon.IsBlocked({"other", {"a"}}, START + APART * 3));
  }

  void WrittenPartIsBlockedByManyCrashes()
  {
    Daemon daemon;
    daemon.evidence.NoteWritten({"", {"first"}}, SOFTWARE, START);
    daemon.Crash({"", {"first", "bad"}}, 40, START + APART);
    const auto now = START + APART * 50;
    CPPUNIT_ASSERT(!daemon.IsBlocked({"", {"first"}}, now));
    CPPUNIT_ASSERT(daemon.IsBlocked({"", {"first", "bad"}}, now));
  }

  /// Another daemon's server wrote on the part before the crashes were known there.
  void LateNewsOfWritingDoesNotUnblock()
  {
    Daemon daemon;
    Daemon other;
    other.evidence.NoteWritten({"", {"first"}}, SOFTWARE, START);
    daemon.Crash({"", {"first"}}, 4, START + APART);
    const auto now = START + APART * 10;
    CPPUNIT_ASSERT(daemon.IsBlocked({"", {"first"}}, now));
    const Fingerprint part = FingerprintOf(PromptPartIdentity{"", "first", SOFTWARE});
    daemon.ledger.NoteEarlierSuccess(part, *other.evidence.LastWritten(part.quick, now), now);
    CPPUNIT_ASSERT(!daemon.IsBlocked({"", {"first"}}, now));
    CPPUNIT_ASSERT_EQUAL(0, daemon.ledger.BlockStatusOf(part, now).server_crashes);
  }

  void NewSoftwareIsNotTried()
  {
    Daemon daemon;
    daemon.Crash({"", {"bad"}}, 3, START);
    CPPUNIT_ASSERT(daemon.IsBlocked({"", {"bad"}}, START + APART * 3));
    CPPUNIT_ASSERT(!daemon.IsBlocked({"", {"bad"}}, START + APART * 3, "v2"));
  }

  void BlockIsLostOverARestart()
  {
    Daemon before;
    before.Crash({"", {"bad"}}, 3, START);
    const auto now = START + APART * 3;
    Daemon after;
    for (const CaseLine& line : before.ledger.MostSevere(2, now))
      after.ledger.Merge(line, now);
    CPPUNIT_ASSERT(after.IsBlocked({"", {"bad"}}, now));
  }

  void EveryDaemonProbes()
  {
    Daemon daemon;
    daemon.Crash({"", {"a"}}, 3, START);
    CPPUNIT_ASSERT(daemon.IsBlocked({"", {"a"}}, START + APART * 3));
    daemon.evidence.SetMayProbe(true);
    // Servers crash until now.
    CPPUNIT_ASSERT(daemon.IsBlocked({"", {"a"}}, START + APART * 3));
    const auto now = START + APART * 20;
    CPPUNIT_ASSERT(!daemon.IsBlocked({"", {"a"}}, now));
    CPPUNIT_ASSERT(daemon.evidence.NoteSent({"", {"a"}}, SOFTWARE, now));
    // One at a time.
    CPPUNIT_ASSERT(daemon.IsBlocked({"", {"a"}}, now));
    daemon.evidence.NoteWritten({"", {"a"}}, SOFTWARE, now + APART);
    CPPUNIT_ASSERT(!daemon.IsBlocked({"", {"a"}}, now + APART));
  }

  void ProbesCrashServersWithoutEnd()
  {
    Daemon daemon;
    daemon.evidence.SetMayProbe(true);
    daemon.Crash({"", {"bad"}}, 3, START);
    int sent = 0;
    for (TimePoint now = START + APART * 3; now < START + std::chrono::minutes(5); now += APART)
      if (!daemon.IsBlocked({"", {"bad"}}, now))
      {
        ++sent;
        daemon.evidence.NoteSent({"", {"bad"}}, SOFTWARE, now);
        daemon.Crash({"", {"bad"}}, 1, now + APART);
      }
    CPPUNIT_ASSERT_EQUAL(2, sent);
  }

  /// The servers of a rack fail within a few milliseconds.
  void ServersThatCrashTogetherCountSeparately()
  {
    Daemon daemon;
    for (int i = 0; i < 5; ++i)
      daemon.Crash({"", {"a"}}, 1, START + Milliseconds(i * 5));
    CPPUNIT_ASSERT(!daemon.IsBlocked({"", {"a"}}, START + APART));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PartEvidenceTest);
} // namespace

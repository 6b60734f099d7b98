// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "RateLimits/LimitRegistry.h"

#include <cppunit/extensions/HelperMacros.h>

namespace
{
using namespace RateLimits;
using Common::Milliseconds;
using Common::TimePoint;

constexpr ServerKey SERVER{7};
constexpr std::size_t ALL_LINES = 100;

LimitReading Limited(double per_second)
{
  return {true, RequestRate(static_cast<std::int64_t>(per_second * THOUSANDTHS))};
}
const LimitReading NONE{true, std::nullopt};

class LimitRegistryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LimitRegistryTest);
  CPPUNIT_TEST(LowerLimitAppliesImmediately);
  CPPUNIT_TEST(ResponseInFlightDoesNotEndLimit);
  CPPUNIT_TEST(UnreadableLimitChangesNothing);
  CPPUNIT_TEST(HolderAnnouncesLimitReadByOneDaemon);
  CPPUNIT_TEST(IgnoresEndOlderThanLimit);
  CPPUNIT_TEST(IgnoresEndReadBySuspendedDaemon);
  CPPUNIT_TEST(NewHolderLearnsLimitsFromDaemons);
  CPPUNIT_TEST(LateOrDuplicateUpdatesChangeNothing);
  CPPUNIT_TEST(ManyLimitsAreAnnouncedInParts);
  CPPUNIT_TEST(LimitEndsAfterLostUpdates);
  CPPUNIT_TEST_SUITE_END();

  TimePoint m_now = TimePoint(std::chrono::hours(1));

  void Pass(Milliseconds span) { m_now += span; }

  /// Delivers all limits that the holder knows to the daemon.
  void Announce(LimitRegistry& holder, std::int64_t tenure, LimitRegistry& daemon)
  {
    daemon.ApplyUpdate(tenure, holder.NextUpdate(ALL_LINES, m_now), m_now);
  }
  void Report(const LimitRegistry& daemon, std::int64_t tenure, LimitRegistry& holder)
  {
    holder.ApplyObservations(tenure, daemon.Unconfirmed(m_now), m_now);
  }

  void LowerLimitAppliesImmediately()
  {
    LimitRegistry registry;
    const auto sent_before = m_now;
    Pass(Milliseconds(10));
    CPPUNIT_ASSERT(registry.NoteResponse(SERVER, Limited(3), sent_before, m_now));
    // Sent before the first limit was known, and lower.
    CPPUNIT_ASSERT(registry.NoteResponse(SERVER, Limited(1), sent_before, m_now));
    CPPUNIT_ASSERT(registry.CurrentLimit(SERVER) == RequestRate(1000));
    CPPUNIT_ASSERT(!registry.NoteResponse(SERVER, Limited(3), sent_before, m_now));
    CPPUNIT_ASSERT(registry.CurrentLimit(SERVER) == RequestRate(1000));
  }

  void ResponseInFlightDoesNotEndLimit()
  {
    LimitRegistry registry;
    const auto sent_before = m_now;
    Pass(Milliseconds(10));
    registry.NoteResponse(SERVER, Limited(1), sent_before, m_now);
    Pass(Milliseconds(500));
    CPPUNIT_ASSERT(!registry.NoteResponse(SERVER, NONE, sent_before, m_now));
    CPPUNIT_ASSERT(registry.CurrentLimit(SERVER));
    const auto sent_after = m_now;
    Pass(Milliseconds(10));
    CPPUNIT_ASSERT(registry.NoteResponse(SERVER, NONE, sent_after, m_now));
    CPPUNIT_ASSERT(!registry.CurrentLimit(SERVER));
  }

  void UnreadableLimitChangesNothing()
  {
    LimitRegistry registry;
    CPPUNIT_ASSERT(!registry.NoteResponse(SERVER, {false, std::nullopt}, m_now, m_now));
    registry.NoteResponse(SERVER, Limited(1), m_now, m_now);
    Pass(Milliseconds(100));
    CPPUNIT_ASSERT(!registry.NoteResponse(SERVER, {false, std::nullopt}, m_now, m_now));
    CPPUNIT_ASSERT(registry.CurrentLimit(SERVER) == RequestRate(1000));
  }

  void HolderAnnouncesLimitReadByOneDaemon()
  {
    LimitRegistry holder;
    LimitRegistry reader;
    LimitRegistry other;
    holder.BeginTenure(1);
    Announce(holder, 1, reader);
    reader.NoteResponse(SERVER, Limited(1), m_now, m_now);
    Report(reader, 1, holder);
    Announce(holder, 1, other);
    Announce(holder, 1, reader);
    CPPUNIT_ASSERT(other.CurrentLimit(SERVER) == RequestRate(1000));
    CPPUNIT_ASSERT(reader.Unconfirmed(m_now).empty());
    // The other daemon reads that the limit has ended.
    const auto sent = m_now + Milliseconds(1);
    Pass(Milliseconds(20));
    other.NoteResponse(SERVER, NONE, sent, m_now);
    Report(other, 1, holder);
    Announce(holder, 1, reader);
    CPPUNIT_ASSERT(!reader.CurrentLimit(SERVER));
  }

  /// Two responses are in flight; one states a limit and the other none.
  void IgnoresEndOlderThanLimit()
  {
    LimitRegistry holder;
    LimitRegistry first;
    LimitRegistry second;
    holder.BeginTenure(1);
    first.NoteResponse(SERVER, Limited(2), m_now, m_now);
    Report(first, 1, holder);
    Announce(holder, 1, first);
    Announce(holder, 1, second);
    Pass(Milliseconds(10));
    const auto sent = m_now;
    // The first daemon reads 1 per second, and the holder learns it. The second daemon read before
    // that there is no limit, but its message arrives later.
    Pass(Milliseconds(10));
    second.NoteResponse(SERVER, NONE, sent, m_now);
    const auto late = second.Unconfirmed(m_now);
    first.NoteResponse(SERVER, Limited(1), sent, m_now);
    Report(first, 1, holder);
    holder.ApplyObservations(1, late, m_now);
    CPPUNIT_ASSERT(holder.CurrentLimit(SERVER) == RequestRate(1000));
    Announce(holder, 1, second);
    CPPUNIT_ASSERT(second.CurrentLimit(SERVER) == RequestRate(1000));
  }

  void IgnoresEndReadBySuspendedDaemon()
  {
    LimitRegistry holder;
    LimitRegistry daemon;
    holder.BeginTenure(1);
    holder.NoteResponse(SERVER, Limited(1), m_now, m_now);
    Announce(holder, 1, daemon);
    Pass(Milliseconds(10));
    daemon.NoteResponse(SERVER, NONE, m_now, m_now + Milliseconds(1));
    Pass(Milliseconds(5000));
    Report(daemon, 1, holder);
    CPPUNIT_ASSERT(holder.CurrentLimit(SERVER));
    Announce(holder, 1, daemon);
    CPPUNIT_ASSERT(daemon.CurrentLimit(SERVER) == RequestRate(1000));
    CPPUNIT_ASSERT(daemon.Unconfirmed(m_now).empty());
  }

  void NewHolderLearnsLimitsFromDaemons()
  {
    LimitRegistry first;
    LimitRegistry second;
    LimitRegistry daemon;
    first.BeginTenure(1);
    first.NoteResponse(SERVER, Limited(1), m_now, m_now);
    Announce(first, 1, daemon);
    // The second has just started.
    second.BeginTenure(2);
    Announce(second, 2, daemon);
    CPPUNIT_ASSERT(daemon.CurrentLimit(SERVER) == RequestRate(1000));
    Report(daemon, 2, second);
    CPPUNIT_ASSERT(second.CurrentLimit(SERVER) == RequestRate(1000));
    Announce(second, 2, daemon);
    CPPUNIT_ASSERT(daemon.Unconfirmed(m_now).empty());
  }

  void LateOrDuplicateUpdatesChangeNothing()
  {
    LimitRegistry holder;
    LimitRegistry daemon;
    holder.BeginTenure(4);
    holder.NoteResponse(SERVER, Limited(1), m_now, m_now);
    const auto old_update = holder.NextUpdate(ALL_LINES, m_now);
    Pass(Milliseconds(10));
    holder.NoteResponse(SERVER, Limited(5), m_now, m_now + Milliseconds(1));
    const auto update = holder.NextUpdate(ALL_LINES, m_now);
    daemon.ApplyUpdate(4, update, m_now);
    daemon.ApplyUpdate(4, old_update, m_now);
    daemon.ApplyUpdate(4, update, m_now);
    daemon.ApplyUpdate(3, LimitUpdate{FIRST_KEY, LAST_KEY, {}}, m_now);
    CPPUNIT_ASSERT(daemon.CurrentLimit(SERVER) == RequestRate(5000));
  }

  void ManyLimitsAreAnnouncedInParts()
  {
    constexpr int SERVERS = 1000;
    constexpr std::size_t PART = 250;
    LimitRegistry holder;
    LimitRegistry daemon;
    holder.BeginTenure(1);
    for (int i = 0; i < SERVERS; ++i)
      holder.NoteResponse(ServerKey(i * 3), Limited(1), m_now, m_now);
    for (int part = 0; part < 4; ++part)
      daemon.ApplyUpdate(1, holder.NextUpdate(PART, m_now), m_now);
    for (int i = 0; i < SERVERS; ++i)
      CPPUNIT_ASSERT(daemon.CurrentLimit(ServerKey(i * 3)));
    // A part does not affect limits outside its range.
    for (int part = 0; part < 9; ++part)
    {
      CPPUNIT_ASSERT(daemon.ApplyUpdate(1, holder.NextUpdate(PART, m_now), m_now).empty());
      CPPUNIT_ASSERT(daemon.CurrentLimit(ServerKey(0)));
    }
  }

  /// A daemon received no updates for longer than the holder announces the end of a limit.
  void LimitEndsAfterLostUpdates()
  {
    LimitRegistry holder;
    LimitRegistry daemon;
    holder.BeginTenure(1);
    holder.NoteResponse(SERVER, Limited(1), m_now, m_now);
    Announce(holder, 1, daemon);
    Pass(Milliseconds(10));
    holder.NoteResponse(SERVER, NONE, m_now, m_now + Milliseconds(1));
    Pass(Milliseconds(20000));
    Announce(holder, 1, daemon);
    CPPUNIT_ASSERT(!daemon.CurrentLimit(SERVER));
    CPPUNIT_ASSERT(daemon.Empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitRegistryTest);
} // namespace

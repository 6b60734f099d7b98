// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "RateLimits/LimitBook.h"

#include <cppunit/extensions/HelperMacros.h>

namespace
{
using namespace RateLimits;
using Common::Milliseconds;
using Common::TimePoint;

constexpr ServerKey SERVER{7};
constexpr std::size_t ALL_LINES = 100;

LimitReading Named(double per_second)
{
  return {true, RequestRate(static_cast<std::int64_t>(per_second * THOUSANDTHS))};
}
const LimitReading NONE{true, std::nullopt};

class LimitBookTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LimitBookTest);
  CPPUNIT_TEST(ALowerLimitHoldsAtOnce);
  CPPUNIT_TEST(AnAnswerThatWasUnderWayEndsNoLimit);
  CPPUNIT_TEST(AnAnswerThatCannotBeReadChangesNothing);
  CPPUNIT_TEST(TheHolderTellsWhatOneDaemonRead);
  CPPUNIT_TEST(AnEndThatIsOlderThanTheLimitIsPassedOver);
  CPPUNIT_TEST(ALiftOfADaemonThatStoodStillIsPassedOver);
  CPPUNIT_TEST(ANewHolderLearnsWhatDaemonsKnow);
  CPPUNIT_TEST(NewsThatComesLateOrTwiceChangesNothing);
  CPPUNIT_TEST(ManyLimitsAreToldInParts);
  CPPUNIT_TEST(ALimitThatAnotherLineWasLostForEndsInTheEnd);
  CPPUNIT_TEST_SUITE_END();

  TimePoint m_now = TimePoint(std::chrono::hours(1));

  void Pass(Milliseconds span) { m_now += span; }

  /// Delivers all limits that the holder knows to the daemon.
  void Tell(LimitBook& holder, std::int64_t tenure, LimitBook& daemon)
  {
    daemon.TakeNews(tenure, holder.NextNews(ALL_LINES, m_now), m_now);
  }
  void Report(const LimitBook& daemon, std::int64_t tenure, LimitBook& holder)
  {
    holder.TakeObservations(tenure, daemon.Unconfirmed(m_now), m_now);
  }

  void ALowerLimitHoldsAtOnce()
  {
    LimitBook book;
    const auto sent_before = m_now;
    Pass(Milliseconds(10));
    CPPUNIT_ASSERT(book.NoteAnswer(SERVER, Named(3), sent_before, m_now));
    // Sent before the first limit was known, and lower.
    CPPUNIT_ASSERT(book.NoteAnswer(SERVER, Named(1), sent_before, m_now));
    CPPUNIT_ASSERT(book.InForce(SERVER) == RequestRate(1000));
    CPPUNIT_ASSERT(!book.NoteAnswer(SERVER, Named(3), sent_before, m_now));
    CPPUNIT_ASSERT(book.InForce(SERVER) == RequestRate(1000));
  }

  void AnAnswerThatWasUnderWayEndsNoLimit()
  {
    LimitBook book;
    const auto sent_before = m_now;
    Pass(Milliseconds(10));
    book.NoteAnswer(SERVER, Named(1), sent_before, m_now);
    Pass(Milliseconds(500));
    CPPUNIT_ASSERT(!book.NoteAnswer(SERVER, NONE, sent_before, m_now));
    CPPUNIT_ASSERT(book.InForce(SERVER));
    const auto sent_after = m_now;
    Pass(Milliseconds(10));
    CPPUNIT_ASSERT(book.NoteAnswer(SERVER, NONE, sent_after, m_now));
    CPPUNIT_ASSERT(!book.InForce(SERVER));
  }

  void AnAnswerThatCannotBeReadChangesNothing()
  {
    LimitBook book;
    CPPUNIT_ASSERT(!book.NoteAnswer(SERVER, {false, std::nullopt}, m_now, m_now));
    book.NoteAnswer(SERVER, Named(1), m_now, m_now);
    Pass(Milliseconds(100));
    CPPUNIT_ASSERT(!book.NoteAnswer(SERVER, {false, std::nullopt}, m_now, m_now));
    CPPUNIT_ASSERT(book.InForce(SERVER) == RequestRate(1000));
  }

  void TheHolderTellsWhatOneDaemonRead()
  {
    LimitBook holder;
    LimitBook reader;
    LimitBook other;
    holder.BeginTenure(1);
    Tell(holder, 1, reader);
    reader.NoteAnswer(SERVER, Named(1), m_now, m_now);
    Report(reader, 1, holder);
    Tell(holder, 1, other);
    Tell(holder, 1, reader);
    CPPUNIT_ASSERT(other.InForce(SERVER) == RequestRate(1000));
    CPPUNIT_ASSERT(reader.Unconfirmed(m_now).empty());
    // The other daemon reads that the limit has ended.
    const auto sent = m_now + Milliseconds(1);
    Pass(Milliseconds(20));
    other.NoteAnswer(SERVER, NONE, sent, m_now);
    Report(other, 1, holder);
    Tell(holder, 1, reader);
    CPPUNIT_ASSERT(!reader.InForce(SERVER));
  }

  /// Two responses are in flight; one states a limit and the other none.
  void AnEndThatIsOlderThanTheLimitIsPassedOver()
  {
    LimitBook holder;
    LimitBook first;
    LimitBook second;
    holder.BeginTenure(1);
    first.NoteAnswer(SERVER, Named(2), m_now, m_now);
    Report(first, 1, holder);
    Tell(holder, 1, first);
    Tell(holder, 1, second);
    Pass(Milliseconds(10));
    const auto sent = m_now;
    // The first daemon reads 1 per second, and the holder learns it. The second daemon read before
    // that there is no limit, but its message arrives later.
    Pass(Milliseconds(10));
    second.NoteAnswer(SERVER, NONE, sent, m_now);
    const auto late = second.Unconfirmed(m_now);
    first.NoteAnswer(SERVER, Named(1), sent, m_now);
    Report(first, 1, holder);
    holder.TakeObservations(1, late, m_now);
    CPPUNIT_ASSERT(holder.InForce(SERVER) == RequestRate(1000));
    Tell(holder, 1, second);
    CPPUNIT_ASSERT(second.InForce(SERVER) == RequestRate(1000));
  }

  void ALiftOfADaemonThatStoodStillIsPassedOver()
  {
    LimitBook holder;
    LimitBook daemon;
    holder.BeginTenure(1);
    holder.NoteAnswer(SERVER, Named(1), m_now, m_now);
    Tell(holder, 1, daemon);
    Pass(Milliseconds(10));
    daemon.NoteAnswer(SERVER, NONE, m_now, m_now + Milliseconds(1));
    Pass(Milliseconds(5000));
    Report(daemon, 1, holder);
    CPPUNIT_ASSERT(holder.InForce(SERVER));
    Tell(holder, 1, daemon);
    CPPUNIT_ASSERT(daemon.InForce(SERVER) == RequestRate(1000));
    CPPUNIT_ASSERT(daemon.Unconfirmed(m_now).empty());
  }

  void ANewHolderLearnsWhatDaemonsKnow()
  {
    LimitBook first;
    LimitBook second;
    LimitBook daemon;
    first.BeginTenure(1);
    first.NoteAnswer(SERVER, Named(1), m_now, m_now);
    Tell(first, 1, daemon);
    // The second has just started.
    second.BeginTenure(2);
    Tell(second, 2, daemon);
    CPPUNIT_ASSERT(daemon.InForce(SERVER) == RequestRate(1000));
    Report(daemon, 2, second);
    CPPUNIT_ASSERT(second.InForce(SERVER) == RequestRate(1000));
    Tell(second, 2, daemon);
    CPPUNIT_ASSERT(daemon.Unconfirmed(m_now).empty());
  }

  void NewsThatComesLateOrTwiceChangesNothing()
  {
    LimitBook holder;
    LimitBook daemon;
    holder.BeginTenure(4);
    holder.NoteAnswer(SERVER, Named(1), m_now, m_now);
    const auto old_news = holder.NextNews(ALL_LINES, m_now);
    Pass(Milliseconds(10));
    holder.NoteAnswer(SERVER, Named(5), m_now, m_now + Milliseconds(1));
    const auto news = holder.NextNews(ALL_LINES, m_now);
    daemon.TakeNews(4, news, m_now);
    daemon.TakeNews(4, old_news, m_now);
    daemon.TakeNews(4, news, m_now);
    daemon.TakeNews(3, LimitNews{FIRST_KEY, LAST_KEY, {}}, m_now);
    CPPUNIT_ASSERT(daemon.InForce(SERVER) == RequestRate(5000));
  }

  void ManyLimitsAreToldInParts()
  {
    constexpr int SERVERS = 1000;
    constexpr std::size_t PART = 250;
    LimitBook holder;
    LimitBook daemon;
    holder.BeginTenure(1);
    for (int i = 0; i < SERVERS; ++i)
      holder.NoteAnswer(ServerKey(i * 3), Named(1), m_now, m_now);
    for (int part = 0; part < 4; ++part)
      daemon.TakeNews(1, holder.NextNews(PART, m_now), m_now);
    for (int i = 0; i < SERVERS; ++i)
      CPPUNIT_ASSERT(daemon.InForce(ServerKey(i * 3)));
    // A part does not affect limits outside its range.
    for (int part = 0; part < 9; ++part)
    {
      CPPUNIT_ASSERT(daemon.TakeNews(1, holder.NextNews(PART, m_now), m_now).empty());
      CPPUNIT_ASSERT(daemon.InForce(ServerKey(0)));
    }
  }

  /// A daemon received no updates for longer than the holder announces the end of a limit.
  void ALimitThatAnotherLineWasLostForEndsInTheEnd()
  {
    LimitBook holder;
    LimitBook daemon;
    holder.BeginTenure(1);
    holder.NoteAnswer(SERVER, Named(1), m_now, m_now);
    Tell(holder, 1, daemon);
    Pass(Milliseconds(10));
    holder.NoteAnswer(SERVER, NONE, m_now, m_now + Milliseconds(1));
    Pass(Milliseconds(20000));
    Tell(holder, 1, daemon);
    CPPUNIT_ASSERT(!daemon.InForce(SERVER));
    CPPUNIT_ASSERT(daemon.Empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitBookTest);
} // namespace

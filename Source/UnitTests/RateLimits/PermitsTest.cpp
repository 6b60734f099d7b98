// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "RateLimits/LocalPermits.h"
#include "RateLimits/PermitAllocator.h"

namespace
{
using namespace RateLimits;
using Common::DataCentreId;
using Common::Milliseconds;
using Common::TimePoint;
using Common::VmId;

constexpr ServerKey SERVER{7};

RequestRate Rate(double per_second)
{
  return RequestRate(static_cast<std::int64_t>(per_second * THOUSANDTHS));
}

class PermitsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PermitsTest);
  CPPUNIT_TEST(GrantsAtServerRate);
  CPPUNIT_TEST(GrantsMostUrgentFirst);
  CPPUNIT_TEST(ProbesServerWithZeroLimit);
  CPPUNIT_TEST(ProbesOncePerSecondIfIdle);
  CPPUNIT_TEST(DemandExpiresUnlessRepeated);
  CPPUNIT_TEST(UnusedPermitsAreReassigned);
  CPPUNIT_TEST(SuspensionAddsNoPermits);
  CPPUNIT_TEST(PermitExpires);
  CPPUNIT_TEST(StandbySendsWithoutHolderContact);
  CPPUNIT_TEST(DaemonsWithoutHolderStayWithinShare);
  CPPUNIT_TEST(PrefersStandbyInServerDataCentre);
  CPPUNIT_TEST_SUITE_END();

  TimePoint m_now = TimePoint(std::chrono::hours(1));

  void Limit(PermitAllocator& allocator, double per_second)
  {
    const PermitAllocator::KnownLimit limit{SERVER, Rate(per_second), DataCentreId("a")};
    allocator.SetLimits(std::span(&limit, 1), m_now);
  }
  void SendDemand(PermitAllocator& allocator, const char* vm, PermitDemand demand,
                  const char* data_centre = "b")
  {
    demand.server = SERVER;
    allocator.UpdateDemand({VmId(vm), DataCentreId(data_centre)}, std::span(&demand, 1), m_now);
  }
  static PermitDemand Waiting(std::uint32_t count, int priority = 5)
  {
    PermitDemand demand;
    demand.count = count;
    demand.priority = priority;
    demand.expires_in_ms = 1000;
    return demand;
  }

  void GrantsAtServerRate()
  {
    for (const double rate : {0.5, 1.1, 20.0})
    {
      PermitAllocator allocator;
      allocator.Begin();
      Limit(allocator, rate);
      int granted = 0;
      for (int ms = 0; ms < 20000; ms += 10)
      {
        m_now += Milliseconds(10);
        SendDemand(allocator, "v", Waiting(50));
        for (const Grant& grant : allocator.GrantPermits(m_now))
          granted += static_cast<int>(grant.count);
      }
      CPPUNIT_ASSERT(granted <= 20 * rate + 1);
      CPPUNIT_ASSERT(granted >= 20 * rate * 0.95 - 1);
    }
  }

  void GrantsMostUrgentFirst()
  {
    PermitAllocator allocator;
    Limit(allocator, 1);
    m_now += Milliseconds(1000);
    SendDemand(allocator, "late", Waiting(3, 7));
    SendDemand(allocator, "urgent", Waiting(1, 0));
    CPPUNIT_ASSERT_EQUAL(0U, allocator.RequestsAhead(VmId("urgent"), SERVER, m_now));
    CPPUNIT_ASSERT_EQUAL(1U, allocator.RequestsAhead(VmId("late"), SERVER, m_now));
    auto grants = allocator.GrantPermits(m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), grants.size());
    CPPUNIT_ASSERT(grants[0].vm == VmId("urgent"));
    CPPUNIT_ASSERT_EQUAL(3U, allocator.Waiting(SERVER, m_now));
    m_now += Milliseconds(1000);
    SendDemand(allocator, "late", Waiting(3, 7));
    grants = allocator.GrantPermits(m_now);
    CPPUNIT_ASSERT(grants[0].vm == VmId("late"));
  }

  void ProbesServerWithZeroLimit()
  {
    PermitAllocator allocator;
    Limit(allocator, 0);
    int granted = 0;
    for (int ms = 0; ms < 20000; ms += 100)
    {
      m_now += Milliseconds(100);
      SendDemand(allocator, "v", Waiting(5));
      granted += static_cast<int>(allocator.GrantPermits(m_now).size());
    }
    // Five in any four seconds are allowed.
    CPPUNIT_ASSERT(granted >= 9 && granted <= 11);
  }

  void ProbesOncePerSecondIfIdle()
  {
    PermitAllocator allocator;
    Limit(allocator, 10);
    PermitDemand probe;
    probe.may_probe = true;
    int granted = 0;
    for (int ms = 0; ms < 10000; ms += 100)
    {
      m_now += Milliseconds(100);
      SendDemand(allocator, "v", probe);
      granted += static_cast<int>(allocator.GrantPermits(m_now).size());
    }
    CPPUNIT_ASSERT(granted >= 9 && granted <= 11);
  }

  void DemandExpiresUnlessRepeated()
  {
    PermitAllocator allocator;
    Limit(allocator, 1);
    SendDemand(allocator, "gone", Waiting(5));
    m_now += Milliseconds(5000);
    CPPUNIT_ASSERT(allocator.GrantPermits(m_now).empty());
    CPPUNIT_ASSERT_EQUAL(0U, allocator.Waiting(SERVER, m_now));
    CPPUNIT_ASSERT(!allocator.NextGrantAt(m_now));
  }

  void UnusedPermitsAreReassigned()
  {
    PermitAllocator allocator;
    Limit(allocator, 1);
    m_now += Milliseconds(1000);
    SendDemand(allocator, "first", Waiting(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), allocator.GrantPermits(m_now).size());
    PermitDemand back;
    back.unused = 1;
    SendDemand(allocator, "first", back);
    SendDemand(allocator, "second", Waiting(1));
    const auto grants = allocator.GrantPermits(m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), grants.size());
    CPPUNIT_ASSERT(grants[0].vm == VmId("second"));
  }

  void SuspensionAddsNoPermits()
  {
    PermitAllocator allocator;
    Limit(allocator, 2);
    m_now += Milliseconds(60000);
    SendDemand(allocator, "v", Waiting(50));
    std::uint32_t granted = 0;
    for (const Grant& grant : allocator.GrantPermits(m_now))
      granted += grant.count;
    CPPUNIT_ASSERT(granted <= 2);
  }

  void PermitExpires()
  {
    LocalPermits permits;
    permits.NoteHolderContact(m_now);
    permits.Add(SERVER, 1, m_now + PERMIT_VALID);
    CPPUNIT_ASSERT(permits.MaySend(SERVER, Rate(1), m_now));
    m_now += PERMIT_VALID;
    permits.NoteHolderContact(m_now);
    CPPUNIT_ASSERT(!permits.Take(SERVER, Rate(1), m_now));
    CPPUNIT_ASSERT_EQUAL(1U, permits.TakeUnused(SERVER, m_now));
    CPPUNIT_ASSERT_EQUAL(0U, permits.TakeUnused(SERVER, m_now));
  }

  /// Number of requests sent within `span` if one is always waiting.
  int SendFor(LocalPermits& permits, double rate, Milliseconds span)
  {
    int sent = 0;
    for (const auto end = m_now + span; m_now < end; m_now += Milliseconds(20))
      sent += permits.Take(SERVER, Rate(rate), m_now) ? 1 : 0;
    return sent;
  }

  void StandbySendsWithoutHolderContact()
  {
    LocalPermits standby;
    LocalPermits other;
    const StandbyLine line{SERVER, Rate(0.8)};
    standby.SetStandbys(std::span(&line, 1));
    for (LocalPermits* permits : {&standby, &other})
    {
      permits->SetDaemons(6);
      permits->NoteHolderContact(m_now);
    }
    const auto lost_at = m_now;
    const int sent = SendFor(standby, 2, Milliseconds(5900));
    CPPUNIT_ASSERT(sent >= 3 && sent <= 4);
    m_now = lost_at;
    CPPUNIT_ASSERT_EQUAL(0, SendFor(other, 2, Milliseconds(5900)));
    standby.NoteHolderContact(m_now);
    CPPUNIT_ASSERT_EQUAL(0, SendFor(standby, 2, Milliseconds(800)));
  }

  void DaemonsWithoutHolderStayWithinShare()
  {
    constexpr int DAEMONS = 330;
    const auto begin = m_now;
    int sent = 0;
    for (int i = 0; i < DAEMONS; ++i)
    {
      LocalPermits permits;
      permits.SetDaemons(DAEMONS);
      m_now = begin;
      sent += SendFor(permits, 20, Milliseconds(60000));
    }
    CPPUNIT_ASSERT(sent <= 20 * 60 * WITHOUT_HOLDER_SHARE + 1);
  }

  void PrefersStandbyInServerDataCentre()
  {
    PermitAllocator allocator;
    Limit(allocator, 1);
    SendDemand(allocator, "far", Waiting(1), "b");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), allocator.StandbysOf(VmId("far")).size());
    SendDemand(allocator, "near", Waiting(1), "a");
    CPPUNIT_ASSERT(allocator.StandbysOf(VmId("far")).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), allocator.StandbysOf(VmId("near")).size());
    // It remains a standby when other daemons ask.
    SendDemand(allocator, "also-near", Waiting(1), "a");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), allocator.StandbysOf(VmId("near")).size());
    CPPUNIT_ASSERT(allocator.StandbysOf(VmId("also-near")).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PermitsTest);
} // namespace

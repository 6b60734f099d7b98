// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "RateLimits/LocalPermits.h"
#include "RateLimits/PermitKeeper.h"

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
  CPPUNIT_TEST(PermitsComeAtTheRateOfTheServer);
  CPPUNIT_TEST(TheMostUrgentComeFirst);
  CPPUNIT_TEST(AServerThatTakesNothingIsProbed);
  CPPUNIT_TEST(OneRequestASecondProbesWhereNobodyWaits);
  CPPUNIT_TEST(WhatIsWantedIsForgottenUnlessItIsRepeated);
  CPPUNIT_TEST(UnusedPermitsGoToOthers);
  CPPUNIT_TEST(AKeeperThatDidNotRunGrantsNoMoreForIt);
  CPPUNIT_TEST(APermitIsVoidAfterItsTime);
  CPPUNIT_TEST(TheStandbyGoesOnWhileNoHolderIsHeard);
  CPPUNIT_TEST(WithoutAHolderAllTogetherStayWithinTheirPart);
  CPPUNIT_TEST(AStandbyOfTheServersDataCentreComesFirst);
  CPPUNIT_TEST_SUITE_END();

  TimePoint m_now = TimePoint(std::chrono::hours(1));

  void Limit(PermitKeeper& keeper, double per_second)
  {
    const PermitKeeper::KnownLimit limit{SERVER, Rate(per_second), DataCentreId("a")};
    keeper.SetLimits(std::span(&limit, 1), m_now);
  }
  void Want(PermitKeeper& keeper, const char* vm, PermitWant want, const char* data_centre = "b")
  {
    want.server = SERVER;
    keeper.TakeWants({VmId(vm), DataCentreId(data_centre)}, std::span(&want, 1), m_now);
  }
  static PermitWant Waiting(std::uint32_t count, int priority = 5)
  {
    PermitWant want;
    want.count = count;
    want.priority = priority;
    want.gives_up_ms = 1000;
    return want;
  }

  void PermitsComeAtTheRateOfTheServer()
  {
    for (const double rate : {0.5, 1.1, 20.0})
    {
      PermitKeeper keeper;
      keeper.Begin();
      Limit(keeper, rate);
      int granted = 0;
      for (int ms = 0; ms < 20000; ms += 10)
      {
        m_now += Milliseconds(10);
        Want(keeper, "v", Waiting(50));
        for (const Grant& grant : keeper.HandOut(m_now))
          granted += static_cast<int>(grant.count);
      }
      CPPUNIT_ASSERT(granted <= 20 * rate + 1);
      CPPUNIT_ASSERT(granted >= 20 * rate * 0.95 - 1);
    }
  }

  void TheMostUrgentComeFirst()
  {
    PermitKeeper keeper;
    Limit(keeper, 1);
    m_now += Milliseconds(1000);
    Want(keeper, "late", Waiting(3, 7));
    Want(keeper, "urgent", Waiting(1, 0));
    CPPUNIT_ASSERT_EQUAL(0U, keeper.Ahead(VmId("urgent"), SERVER, m_now));
    CPPUNIT_ASSERT_EQUAL(1U, keeper.Ahead(VmId("late"), SERVER, m_now));
    auto grants = keeper.HandOut(m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), grants.size());
    CPPUNIT_ASSERT(grants[0].vm == VmId("urgent"));
    CPPUNIT_ASSERT_EQUAL(3U, keeper.Waiting(SERVER, m_now));
    m_now += Milliseconds(1000);
    Want(keeper, "late", Waiting(3, 7));
    grants = keeper.HandOut(m_now);
    CPPUNIT_ASSERT(grants[0].vm == VmId("late"));
  }

  void AServerThatTakesNothingIsProbed()
  {
    PermitKeeper keeper;
    Limit(keeper, 0);
    int granted = 0;
    for (int ms = 0; ms < 20000; ms += 100)
    {
      m_now += Milliseconds(100);
      Want(keeper, "v", Waiting(5));
      granted += static_cast<int>(keeper.HandOut(m_now).size());
    }
    // Five in any four seconds are allowed.
    CPPUNIT_ASSERT(granted >= 9 && granted <= 11);
  }

  void OneRequestASecondProbesWhereNobodyWaits()
  {
    PermitKeeper keeper;
    Limit(keeper, 10);
    PermitWant probe;
    probe.may_probe = true;
    int granted = 0;
    for (int ms = 0; ms < 10000; ms += 100)
    {
      m_now += Milliseconds(100);
      Want(keeper, "v", probe);
      granted += static_cast<int>(keeper.HandOut(m_now).size());
    }
    CPPUNIT_ASSERT(granted >= 9 && granted <= 11);
  }

  void WhatIsWantedIsForgottenUnlessItIsRepeated()
  {
    PermitKeeper keeper;
    Limit(keeper, 1);
    Want(keeper, "gone", Waiting(5));
    m_now += Milliseconds(5000);
    CPPUNIT_ASSERT(keeper.HandOut(m_now).empty());
    CPPUNIT_ASSERT_EQUAL(0U, keeper.Waiting(SERVER, m_now));
    CPPUNIT_ASSERT(!keeper.NextAt(m_now));
  }

  void UnusedPermitsGoToOthers()
  {
    PermitKeeper keeper;
    Limit(keeper, 1);
    m_now += Milliseconds(1000);
    Want(keeper, "first", Waiting(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), keeper.HandOut(m_now).size());
    PermitWant back;
    back.unused = 1;
    Want(keeper, "first", back);
    Want(keeper, "second", Waiting(1));
    const auto grants = keeper.HandOut(m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), grants.size());
    CPPUNIT_ASSERT(grants[0].vm == VmId("second"));
  }

  void AKeeperThatDidNotRunGrantsNoMoreForIt()
  {
    PermitKeeper keeper;
    Limit(keeper, 2);
    m_now += Milliseconds(60000);
    Want(keeper, "v", Waiting(50));
    std::uint32_t granted = 0;
    for (const Grant& grant : keeper.HandOut(m_now))
      granted += grant.count;
    CPPUNIT_ASSERT(granted <= 2);
  }

  void APermitIsVoidAfterItsTime()
  {
    LocalPermits permits;
    permits.NoteHolderHeard(m_now);
    permits.Add(SERVER, 1, m_now + PERMIT_VALID);
    CPPUNIT_ASSERT(permits.MaySend(SERVER, Rate(1), m_now));
    m_now += PERMIT_VALID;
    permits.NoteHolderHeard(m_now);
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

  void TheStandbyGoesOnWhileNoHolderIsHeard()
  {
    LocalPermits standby;
    LocalPermits other;
    const StandbyLine line{SERVER, Rate(0.8)};
    standby.SetStandbys(std::span(&line, 1));
    for (LocalPermits* permits : {&standby, &other})
    {
      permits->SetDaemons(6);
      permits->NoteHolderHeard(m_now);
    }
    const auto lost_at = m_now;
    const int sent = SendFor(standby, 2, Milliseconds(5900));
    CPPUNIT_ASSERT(sent >= 3 && sent <= 4);
    m_now = lost_at;
    CPPUNIT_ASSERT_EQUAL(0, SendFor(other, 2, Milliseconds(5900)));
    standby.NoteHolderHeard(m_now);
    CPPUNIT_ASSERT_EQUAL(0, SendFor(standby, 2, Milliseconds(800)));
  }

  void WithoutAHolderAllTogetherStayWithinTheirPart()
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
    CPPUNIT_ASSERT(sent <= 20 * 60 * UNHEARD_SHARE + 1);
  }

  void AStandbyOfTheServersDataCentreComesFirst()
  {
    PermitKeeper keeper;
    Limit(keeper, 1);
    Want(keeper, "far", Waiting(1), "b");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), keeper.StandbysOf(VmId("far")).size());
    Want(keeper, "near", Waiting(1), "a");
    CPPUNIT_ASSERT(keeper.StandbysOf(VmId("far")).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), keeper.StandbysOf(VmId("near")).size());
    // It remains a standby when other daemons ask.
    Want(keeper, "also-near", Waiting(1), "a");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), keeper.StandbysOf(VmId("near")).size());
    CPPUNIT_ASSERT(keeper.StandbysOf(VmId("also-near")).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PermitsTest);
} // namespace

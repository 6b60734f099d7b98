// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/SilenceDetector.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/ServerDirectory.h"

namespace
{
using namespace Gateway;
using Common::Milliseconds;

const auto NOW = Common::TimePoint() + std::chrono::hours(1);

class SilenceDetectorTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SilenceDetectorTest);
  CPPUNIT_TEST(ServerWithoutPendingRequestsIsNotUnresponsive);
  CPPUNIT_TEST(SilenceStartsAtTheOldestPendingRequest);
  CPPUNIT_TEST(SinglePendingRequestIsNoSilence);
  CPPUNIT_TEST(AnyReceivedDataEndsTheSilence);
  CPPUNIT_TEST(LimitAdaptsToObservedPauses);
  CPPUNIT_TEST(UnresponsiveServerGetsNoNewRequests);
  CPPUNIT_TEST(ServerUnresponsiveToItsLastRequestIsEjected);
  CPPUNIT_TEST_SUITE_END();

  void ServerWithoutPendingRequestsIsNotUnresponsive()
  {
    SilenceDetector detector;
    CPPUNIT_ASSERT(!detector.IsUnresponsive(NOW));
    detector.NoteSent(NOW);
    detector.NoteEnded(0);
    CPPUNIT_ASSERT(!detector.IsUnresponsive(NOW + Milliseconds(10000)));
  }

  void SilenceStartsAtTheOldestPendingRequest()
  {
    SilenceDetector detector;
    detector.NoteSent(NOW);
    detector.NoteSent(NOW + Milliseconds(250));
    CPPUNIT_ASSERT(!detector.IsUnresponsive(NOW + Milliseconds(300)));
    CPPUNIT_ASSERT(detector.IsUnresponsive(NOW + Milliseconds(301)));
  }

  void SinglePendingRequestIsNoSilence()
  {
    SilenceDetector detector;
    detector.NoteSent(NOW);
    CPPUNIT_ASSERT(!detector.IsUnresponsive(NOW + Milliseconds(5000)));
    Server server(ServerEntry{});
    server.NoteStart({}, NOW);
    server.NoteEnd({}, NOW, NOW + Milliseconds(1100));
    CPPUNIT_ASSERT(server.IsAvailable(NOW + Milliseconds(1101)));
  }

  void AnyReceivedDataEndsTheSilence()
  {
    SilenceDetector detector;
    detector.NoteSent(NOW);
    detector.NoteSent(NOW);
    detector.NoteReceived(NOW + Milliseconds(400));
    CPPUNIT_ASSERT(!detector.IsUnresponsive(NOW + Milliseconds(500)));
  }

  void LimitAdaptsToObservedPauses()
  {
    SilenceDetector steady;
    SilenceDetector slow;
    steady.NoteSent(NOW);
    slow.NoteSent(NOW);
    for (int i = 1; i <= 40; ++i)
    {
      steady.NoteReceived(NOW + Milliseconds(30 * i));
      slow.NoteReceived(NOW + Milliseconds(700 * i));
    }
    CPPUNIT_ASSERT_EQUAL(Milliseconds(300).count(), steady.Limit().count());
    CPPUNIT_ASSERT(slow.Limit() >= Milliseconds(700));
    slow.NoteReceived(NOW + std::chrono::minutes(2));
    CPPUNIT_ASSERT_EQUAL(Milliseconds(1500).count(), slow.Limit().count());
  }

  void UnresponsiveServerGetsNoNewRequests()
  {
    Server server(ServerEntry{});
    server.NoteStart({}, NOW);
    server.NoteStart({}, NOW);
    CPPUNIT_ASSERT(server.IsAvailable(NOW + Milliseconds(100)));
    CPPUNIT_ASSERT(!server.IsAvailable(NOW + Milliseconds(400)));
    server.NoteReceived(NOW + Milliseconds(450));
    CPPUNIT_ASSERT(server.IsAvailable(NOW + Milliseconds(500)));
  }

  void ServerUnresponsiveToItsLastRequestIsEjected()
  {
    Server server(ServerEntry{});
    server.NoteStart({}, NOW);
    server.NoteStart({}, NOW);
    server.NoteEnd({}, NOW, NOW + Milliseconds(1900));
    server.NoteEnd({}, NOW, NOW + Milliseconds(2000));
    CPPUNIT_ASSERT(!server.IsAvailable(NOW + Milliseconds(2001)));
    CPPUNIT_ASSERT(server.Health().IsRecovering());
    Server responsive(ServerEntry{});
    responsive.NoteStart({}, NOW);
    responsive.NoteReceived(NOW + Milliseconds(50));
    responsive.NoteEnd({}, NOW, NOW + Milliseconds(60));
    CPPUNIT_ASSERT(responsive.IsAvailable(NOW + Milliseconds(61)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilenceDetectorTest);
} // namespace

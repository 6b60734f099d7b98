// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Daemons/Codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Daemons/Membership.h"
#include "Daemons/Messages.h"
#include "Daemons/Seal.h"

namespace
{
using Common::Milliseconds;
using Common::TimePoint;
using Common::VmId;
using Daemons::HolderStatus;

class CodecTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(EveryTruncationIsRejected);
  CPPUNIT_TEST(AHugeLengthDoesNotAllocate);
  CPPUNIT_TEST(DatagramsOfOthersAreRejected);
  CPPUNIT_TEST(ReplayedHeartbeatsAreRejected);
  CPPUNIT_TEST(ANewVmIsNotTakenForGone);
  CPPUNIT_TEST_SUITE_END();

  static Daemons::Heartbeat Beat(std::int64_t sequence, const char* incarnation = "d-1",
                                 std::int64_t started = 1)
  {
    Daemons::Heartbeat heartbeat;
    heartbeat.vm = VmId("entry-2");
    heartbeat.incarnation = Common::Incarnation(incarnation);
    heartbeat.started_ms = started;
    heartbeat.sequence = sequence;
    return heartbeat;
  }

  void EveryTruncationIsRejected()
  {
    Daemons::StatusReply reply;
    reply.servers.resize(2);
    reply.servers[0].replicas.resize(3);
    Daemons::Envelope envelope;
    envelope.body = Daemons::Reply(reply);
    const std::string bytes = Daemons::Encode(envelope);
    CPPUNIT_ASSERT(Daemons::Decode<Daemons::Envelope>(bytes));
    for (std::size_t size = 0; size < bytes.size(); ++size)
      CPPUNIT_ASSERT(!Daemons::Decode<Daemons::Envelope>(std::string_view(bytes).substr(0, size)));
    CPPUNIT_ASSERT(!Daemons::Decode<Daemons::Envelope>(bytes + "x"));
  }

  void AHugeLengthDoesNotAllocate()
  {
    std::string bytes = Daemons::Encode(Beat(1));
    const std::uint64_t huge = 1ULL << 60;
    bytes.replace(0, sizeof(huge), reinterpret_cast<const char*>(&huge), sizeof(huge));
    CPPUNIT_ASSERT(!Daemons::Decode<Daemons::Heartbeat>(bytes));
  }

  void DatagramsOfOthersAreRejected()
  {
    const std::string datagram = Daemons::SealDatagram("the shared key", "payload");
    CPPUNIT_ASSERT(Daemons::OpenDatagram("the shared key", datagram) == "payload");
    CPPUNIT_ASSERT(!Daemons::OpenDatagram("another key", datagram));
    CPPUNIT_ASSERT(!Daemons::OpenDatagram("the shared key", datagram.substr(0, 10)));
    std::string other_version = datagram;
    ++other_version[0];
    CPPUNIT_ASSERT(!Daemons::OpenDatagram("the shared key", other_version));
    std::string changed = datagram;
    ++changed.back();
    CPPUNIT_ASSERT(!Daemons::OpenDatagram("the shared key", changed));
  }

  void ReplayedHeartbeatsAreRejected()
  {
    Daemons::Membership membership(Beat(0), {});
    const TimePoint now = TimePoint() + std::chrono::hours(1);
    CPPUNIT_ASSERT(!membership.Accept(Beat(1), now));
    membership.AddSeed(VmId("entry-2"), "");
    Daemons::Heartbeat self;
    self.vm = VmId("entry-1");
    Daemons::Membership other(self, {});
    other.AddSeed(VmId("entry-2"), "127.0.0.1:1");
    CPPUNIT_ASSERT(other.Accept(Beat(5), now));
    CPPUNIT_ASSERT(!other.Accept(Beat(5), now));
    CPPUNIT_ASSERT(!other.Accept(Beat(4), now));
    CPPUNIT_ASSERT(other.Accept(Beat(1, "d-2", 2), now));
    CPPUNIT_ASSERT(!other.Accept(Beat(9, "d-1", 1), now));
    TimePoint since;
    CPPUNIT_ASSERT(other.StatusOf(VmId("entry-2"), Common::Incarnation("d-1"), now, &since) ==
                   HolderStatus::Gone);
  }

  void ANewVmIsNotTakenForGone()
  {
    Daemons::Heartbeat self;
    self.vm = VmId("entry-1");
    Daemons::Membership membership(self, {Milliseconds(1000), Milliseconds(5000)});
    const TimePoint start = TimePoint() + std::chrono::hours(1);
    TimePoint since;
    const auto status = [&](TimePoint now) {
      return membership.StatusOf(VmId("entry-9"), Common::Incarnation("d-9"), now, &since);
    };
    CPPUNIT_ASSERT(status(start + std::chrono::hours(9)) == HolderStatus::Silent);
    membership.SetListed({}, start);
    CPPUNIT_ASSERT(status(start + Milliseconds(4000)) == HolderStatus::Silent);
    CPPUNIT_ASSERT(status(start + Milliseconds(5000)) == HolderStatus::Gone);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);
} // namespace

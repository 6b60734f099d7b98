// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Daemons/Codec.h"

#include <limits>

#include <cppunit/extensions/HelperMacros.h>

#include "Daemons/Membership.h"
#include "Daemons/MessageAuthentication.h"
#include "Daemons/Messages.h"

namespace
{
using Common::Milliseconds;
using Common::TimePoint;
using Common::VmId;
using Daemons::HolderStatus;

class CodecTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(TruncatedMessageIsRejected);
  CPPUNIT_TEST(HugeLengthDoesNotAllocate);
  CPPUNIT_TEST(IntegersAreEncodedAsVarints);
  CPPUNIT_TEST(OutOfRangeIntegerIsRejected);
  CPPUNIT_TEST(UnauthenticDatagramsAreRejected);
  CPPUNIT_TEST(ReplayedHeartbeatsAreRejected);
  CPPUNIT_TEST(NewVmIsNotConsideredGone);
  CPPUNIT_TEST_SUITE_END();

  static Daemons::Heartbeat MakeHeartbeat(std::int64_t sequence, const char* incarnation = "d-1",
                                          std::int64_t started = 1)
  {
    Daemons::Heartbeat heartbeat;
    heartbeat.vm = VmId("entry-2");
    heartbeat.incarnation = Common::Incarnation(incarnation);
    heartbeat.started_ms = started;
    heartbeat.sequence = sequence;
    return heartbeat;
  }

  void TruncatedMessageIsRejected()
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

  void HugeLengthDoesNotAllocate()
  {
    std::string bytes = Daemons::Encode(MakeHeartbeat(1));
    CPPUNIT_ASSERT_EQUAL('\7', bytes[0]); // Length prefix of "entry-2".
    const std::string huge = Daemons::Encode(std::uint64_t(1) << 60);
    bytes.replace(0, 1, huge);
    CPPUNIT_ASSERT(!Daemons::Decode<Daemons::Heartbeat>(bytes));
  }

  void IntegersAreEncodedAsVarints()
  {
    const auto check = [](auto value, std::size_t size) {
      const std::string bytes = Daemons::Encode(value);
      CPPUNIT_ASSERT_EQUAL(size, bytes.size());
      CPPUNIT_ASSERT(*Daemons::Decode<decltype(value)>(bytes) == value);
    };
    check(std::int64_t(0), 1);
    check(std::int64_t(-1), 1);
    check(std::int32_t(63), 1);
    check(std::int32_t(64), 2);
    check(std::numeric_limits<std::int64_t>::min(), 10);
    check(std::numeric_limits<std::int64_t>::max(), 10);
    check(std::numeric_limits<std::uint64_t>::max(), 10);
    check(std::numeric_limits<std::int32_t>::min(), 5);
    check(true, 1);
    check(0.25, 8);
  }

  void OutOfRangeIntegerIsRejected()
  {
    const std::string wide = Daemons::Encode(std::int64_t(1) << 40);
    CPPUNIT_ASSERT(!Daemons::Decode<std::int32_t>(wide));
    CPPUNIT_ASSERT(!Daemons::Decode<std::uint64_t>(std::string(11, '\xff')));
  }

  void UnauthenticDatagramsAreRejected()
  {
    const std::string datagram = Daemons::SignDatagram("the shared key", "payload");
    CPPUNIT_ASSERT(Daemons::VerifyDatagram("the shared key", datagram) == "payload");
    CPPUNIT_ASSERT(!Daemons::VerifyDatagram("another key", datagram));
    CPPUNIT_ASSERT(!Daemons::VerifyDatagram("the shared key", datagram.substr(0, 10)));
    std::string other_version = datagram;
    ++other_version[0];
    CPPUNIT_ASSERT(!Daemons::VerifyDatagram("the shared key", other_version));
    std::string changed = datagram;
    ++changed.back();
    CPPUNIT_ASSERT(!Daemons::VerifyDatagram("the shared key", changed));
  }

  void ReplayedHeartbeatsAreRejected()
  {
    Daemons::Membership membership(MakeHeartbeat(0), {});
    const TimePoint now = TimePoint() + std::chrono::hours(1);
    CPPUNIT_ASSERT(!membership.Accept(MakeHeartbeat(1), now));
    membership.AddSeed(VmId("entry-2"), "");
    Daemons::Heartbeat self;
    self.vm = VmId("entry-1");
    Daemons::Membership other(self, {});
    other.AddSeed(VmId("entry-2"), "127.0.0.1:1");
    CPPUNIT_ASSERT(other.Accept(MakeHeartbeat(5), now));
    CPPUNIT_ASSERT(!other.Accept(MakeHeartbeat(5), now));
    CPPUNIT_ASSERT(!other.Accept(MakeHeartbeat(4), now));
    CPPUNIT_ASSERT(other.Accept(MakeHeartbeat(1, "d-2", 2), now));
    CPPUNIT_ASSERT(!other.Accept(MakeHeartbeat(9, "d-1", 1), now));
    TimePoint since;
    CPPUNIT_ASSERT(other.StatusOf(VmId("entry-2"), Common::Incarnation("d-1"), now, &since) ==
                   HolderStatus::Gone);
  }

  void NewVmIsNotConsideredGone()
  {
    Daemons::Heartbeat self;
    self.vm = VmId("entry-1");
    Daemons::Membership membership(self, {Milliseconds(1000), Milliseconds(5000)});
    const TimePoint start = TimePoint() + std::chrono::hours(1);
    TimePoint since;
    const auto status = [&](TimePoint now) {
      return membership.StatusOf(VmId("entry-9"), Common::Incarnation("d-9"), now, &since);
    };
    CPPUNIT_ASSERT(status(start + std::chrono::hours(9)) == HolderStatus::Unresponsive);
    membership.SetListed({}, start);
    CPPUNIT_ASSERT(status(start + Milliseconds(4000)) == HolderStatus::Unresponsive);
    CPPUNIT_ASSERT(status(start + Milliseconds(5000)) == HolderStatus::Gone);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);
} // namespace

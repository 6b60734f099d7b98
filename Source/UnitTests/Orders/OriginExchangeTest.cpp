// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Origins of streams at daemons that fail, restart, join, and lose each other's datagrams.

#include "Orders/OriginExchange.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>

#include <cppunit/extensions/HelperMacros.h>

#include "Daemons/Codec.h"
#include "Orders/OriginMessages.h"
#include "UnitTests/Support/OriginFleet.h"

namespace
{
using namespace Orders;
using Common::Milliseconds;
using UnitTests::DaemonIndex;
using UnitTests::OriginFleet;
using UnitTests::SimulatedDatagram;

constexpr int STREAMS = 100;
constexpr std::size_t DAEMONS = 12;
constexpr std::size_t PLACES = 3;
/// Time in which datagrams that are not lost arrive.
constexpr Milliseconds ARRIVAL{20};

std::optional<OriginMessage> OriginMessageIn(const SimulatedDatagram& datagram)
{
  if (!datagram.bytes.starts_with(static_cast<char>(OriginMessage::MARKER)))
    return std::nullopt;
  const auto message = Daemons::Decode<OriginMessage>(datagram.bytes);
  return message ? std::optional(*message) : std::nullopt;
}

void BeginStreams(OriginFleet& fleet, DaemonIndex daemon)
{
  for (int stream = 0; stream < STREAMS; ++stream)
    fleet.Begin(daemon, stream);
  fleet.RunFor(ARRIVAL);
}

class OriginExchangeTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OriginExchangeTest);
  CPPUNIT_TEST(OriginIsLostWithItsVm);
  CPPUNIT_TEST(OriginIsLostWithOneDatagram);
  CPPUNIT_TEST(OriginIsLostWithALostReply);
  CPPUNIT_TEST(OriginIsLostInAPartition);
  CPPUNIT_TEST(OriginBegunInAPartitionIsLostInTheNext);
  CPPUNIT_TEST(OriginIsLostWhileTheHolderIsSilent);
  CPPUNIT_TEST(OriginIsLostAfterAllRestartInTurn);
  CPPUNIT_TEST(OriginOfAResumedStreamIsLostAfterAllRestartInTurn);
  CPPUNIT_TEST(OriginIsLostAtAMemberThatJoined);
  CPPUNIT_TEST(OriginNotedBeforeTheListArrivedIsLost);
  CPPUNIT_TEST(OriginIsLostAtADaemonThatStartsWithoutAHolder);
  CPPUNIT_TEST(OriginOfADaemonThatWasSuspendedIsLost);
  CPPUNIT_TEST(OriginIsLostWhenAVersionAppears);
  CPPUNIT_TEST(OriginOfAStreamIsBentByAnotherAccount);
  CPPUNIT_TEST(ReplyNobodyAskedForIsApplied);
  CPPUNIT_TEST(CopiesOfAStrangerFillTheMemory);
  CPPUNIT_TEST_SUITE_END();

  void OriginIsLostWithItsVm()
  {
    OriginFleet fleet(DAEMONS, PLACES);
    BeginStreams(fleet, 5);
    fleet.Kill(5);
    for (const DaemonIndex asking : {6U, 7U, 8U})
      CPPUNIT_ASSERT_EQUAL(STREAMS, fleet.CountFound(asking, STREAMS));
  }

  void OriginIsLostWithOneDatagram()
  {
    for (const std::size_t lost_copy : {0U, 1U})
    {
      OriginFleet fleet(DAEMONS, PLACES);
      std::map<StreamKeyBytes, std::size_t> copies;
      fleet.SetLoss([&](const SimulatedDatagram& datagram) {
        const auto message = OriginMessageIn(datagram);
        return message && !message->copies.empty() &&
               copies[message->copies.front().stream]++ == lost_copy;
      });
      BeginStreams(fleet, 5);
      CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(STREAMS), copies.size());
      fleet.Kill(5);
      CPPUNIT_ASSERT_EQUAL(STREAMS, fleet.CountFound(7, STREAMS));
    }
  }

  /// The first query to each daemon is lost, then its first reply.
  void OriginIsLostWithALostReply()
  {
    OriginFleet fleet(DAEMONS, PLACES);
    BeginStreams(fleet, 5);
    fleet.Kill(5);
    std::set<std::tuple<DaemonIndex, DaemonIndex, std::uint64_t>> lost;
    fleet.SetLoss([&](const SimulatedDatagram& datagram) {
      const auto message = OriginMessageIn(datagram);
      if (!message || !message->copies.empty())
        return false;
      const std::uint64_t nonce = message->queries.empty() ? message->replies.front().nonce
                                                           : message->queries.front().nonce;
      return lost.insert({datagram.from, datagram.to, nonce}).second;
    });
    CPPUNIT_ASSERT_EQUAL(STREAMS, fleet.CountFound(7, STREAMS, Milliseconds(1000)));
  }

  /// The data centre in which the streams began is cut off from the others.
  void OriginIsLostInAPartition()
  {
    OriginFleet fleet(DAEMONS, PLACES);
    BeginStreams(fleet, 3);
    fleet.Partition([](DaemonIndex daemon) {
      return daemon % PLACES == 0 ? 1 : 0;
    });
    CPPUNIT_ASSERT_EQUAL(STREAMS, fleet.CountFound(7, STREAMS));
    fleet.Settle();
    CPPUNIT_ASSERT_EQUAL(STREAMS, fleet.CountFound(8, STREAMS));
    fleet.Kill(3);
    CPPUNIT_ASSERT_EQUAL(STREAMS, fleet.CountFound(6, STREAMS));
  }

  /// Streams begin in a data centre that is cut off. It is reconnected, then cut off again.
  void OriginBegunInAPartitionIsLostInTheNext()
  {
    const auto side = [](DaemonIndex daemon) {
      return daemon % PLACES == 0 ? 1 : 0;
    };
    OriginFleet fleet(DAEMONS, PLACES);
    fleet.SetHolder(1);
    fleet.Settle();
    fleet.Partition(side);
    fleet.Settle();
    BeginStreams(fleet, 3);
    fleet.Settle();
    fleet.Heal();
    fleet.RunFor(Milliseconds(3000));
    CPPUNIT_ASSERT(fleet.HaveSameList());
    fleet.Partition(side);
    CPPUNIT_ASSERT_EQUAL(STREAMS, fleet.CountFound(7, STREAMS));
  }

  void OriginIsLostWhileTheHolderIsSilent()
  {
    OriginFleet fleet(DAEMONS, PLACES);
    fleet.Partition([](DaemonIndex daemon) {
      return daemon == 0 ? 1 : 0;
    });
    fleet.SetHolder(std::nullopt);
    BeginStreams(fleet, 5);
    fleet.Kill(5);
    for (const DaemonIndex asking : {6U, 7U, 8U})
      CPPUNIT_ASSERT_EQUAL(STREAMS, fleet.CountFound(asking, STREAMS));
  }

  void OriginIsLostAfterAllRestartInTurn()
  {
    OriginFleet fleet(DAEMONS, PLACES);
    BeginStreams(fleet, 5);
    fleet.RestartAllInTurn();
    for (const DaemonIndex asking : {6U, 7U, 8U})
      CPPUNIT_ASSERT_EQUAL(STREAMS, fleet.CountFound(asking, STREAMS));
  }

  /// The streams began at daemon 3, whose copies have expired since, and go on at daemon 4 in
  /// another data centre.
  void OriginOfAResumedStreamIsLostAfterAllRestartInTurn()
  {
    OriginFleet fleet(DAEMONS, PLACES);
    const Gateway::StreamOrigin known{{}, OriginFleet::EndpointOf(3), fleet.PlaceOf(3)};
    for (int stream = 0; stream < STREAMS; ++stream)
      fleet.At(4).dispatcher.NoteStream(OriginFleet::StreamOf(stream), UnitTests::ORIGIN_POOL,
                                        UnitTests::ORIGIN_VERSION, known);
    fleet.RunFor(ARRIVAL);
    fleet.RestartAllInTurn();
    CPPUNIT_ASSERT_EQUAL(STREAMS, fleet.CountFound(6, STREAMS));
  }

  void OriginIsLostAtAMemberThatJoined()
  {
    OriginFleet fleet(DAEMONS, PLACES);
    BeginStreams(fleet, 5);
    fleet.Restart(DAEMONS);
    // The new daemon has no list yet.
    CPPUNIT_ASSERT_EQUAL(STREAMS, fleet.CountFound(DAEMONS, STREAMS, Milliseconds(1500)));
    fleet.Kill(5);
    fleet.Settle();
    fleet.Restart(DAEMONS + 1);
    fleet.Settle();
    CPPUNIT_ASSERT_EQUAL(STREAMS, fleet.CountFound(DAEMONS + 1, STREAMS));
  }

  /// A daemon without a list of daemons has nobody to send copies to until it gets one.
  void OriginNotedBeforeTheListArrivedIsLost()
  {
    OriginFleet fleet(DAEMONS, PLACES);
    fleet.SetLoss([](const SimulatedDatagram& datagram) {
      return datagram.to == 5;
    });
    fleet.Restart(5);
    for (int stream = 0; stream < STREAMS; ++stream)
      fleet.Begin(5, stream);
    fleet.RunFor(Milliseconds(1500));
    fleet.SetLoss({});
    fleet.RunFor(Milliseconds(3500));
    CPPUNIT_ASSERT(fleet.HaveSameList());
    fleet.Kill(5);
    CPPUNIT_ASSERT_EQUAL(STREAMS, fleet.CountFound(7, STREAMS));
  }

  /// The lease holder is silent, so no other daemon is informed of the start.
  void OriginIsLostAtADaemonThatStartsWithoutAHolder()
  {
    OriginFleet fleet(DAEMONS, PLACES);
    BeginStreams(fleet, 5);
    fleet.Partition([](DaemonIndex daemon) {
      return daemon == 0 ? 1 : 0;
    });
    fleet.Restart(7);
    CPPUNIT_ASSERT_EQUAL(STREAMS, fleet.CountFound(7, STREAMS, Milliseconds(1500)));
  }

  /// The daemon was suspended until the others had removed it from their lists. It has missed
  /// nothing that changes its own list.
  void OriginOfADaemonThatWasSuspendedIsLost()
  {
    OriginFleet fleet(DAEMONS, PLACES);
    fleet.suspended = 5;
    fleet.RunFor(Milliseconds(100));
    fleet.suspended.reset();
    BeginStreams(fleet, 5);
    fleet.RunFor(Milliseconds(1500));
    fleet.Kill(5);
    CPPUNIT_ASSERT_EQUAL(STREAMS, fleet.CountFound(7, STREAMS));
  }

  /// With one version few streams are copied; all are once a second one has appeared.
  void OriginIsLostWhenAVersionAppears()
  {
    OriginFleet fleet(DAEMONS, PLACES);
    fleet.know_both_versions = false;
    fleet.Restart(DAEMONS);
    fleet.RunFor(Milliseconds(3000));
    CPPUNIT_ASSERT(fleet.HaveSameList());
    UnitTests::SimulatedDaemon& first = fleet.At(DAEMONS);
    BeginStreams(fleet, DAEMONS);
    const std::int64_t copied_before = first.origins.GetCounters().copies_sent;
    CPPUNIT_ASSERT(copied_before < STREAMS * static_cast<std::int64_t>(Orders::ORIGIN_COPIES));
    first.KnowBothVersions();
    fleet.RunFor(Milliseconds(1200));
    fleet.Kill(DAEMONS);
    CPPUNIT_ASSERT_EQUAL(STREAMS, fleet.CountFound(7, STREAMS));
  }

  /// Two accounts use the same id; at the second one's daemon the stream began at another version.
  void OriginOfAStreamIsBentByAnotherAccount()
  {
    OriginFleet fleet(DAEMONS, PLACES);
    BeginStreams(fleet, 5);
    for (int stream = 0; stream < STREAMS; ++stream)
    {
      const auto other =
          Gateway::KeyOf(Accounts::AccountName("other"), "request-" + std::to_string(stream));
      fleet.At(4).dispatcher.NoteStream(other, UnitTests::ORIGIN_POOL, UnitTests::OTHER_VERSION,
                                        std::nullopt);
    }
    fleet.RunFor(ARRIVAL);
    CPPUNIT_ASSERT_EQUAL(STREAMS, fleet.CountFound(7, STREAMS));
    CPPUNIT_ASSERT(Gateway::KeyOf(Accounts::AccountName("ab"), "c") !=
                   Gateway::KeyOf(Accounts::AccountName("a"), "bc"));
  }

  /// Replies with a wrong number, from a daemon that was not asked, and after the query has ended.
  void ReplyNobodyAskedForIsApplied()
  {
    OriginFleet fleet(DAEMONS, PLACES);
    fleet.records_sent = true;
    fleet.SetLoss([](const SimulatedDatagram& datagram) {
      return OriginMessageIn(datagram).has_value();
    });
    fleet.Ask(7, 0);
    CPPUNIT_ASSERT(!fleet.sent.empty());
    const DaemonIndex asked = fleet.sent.front().to;
    const std::uint64_t nonce = OriginMessageIn(fleet.sent.front())->queries.front().nonce;
    OriginMessage forged;
    forged.replies.push_back({nonce + 1, {CopyOf(0)}, {}, true});
    Receive(fleet, 7, forged, asked);
    forged.replies.front().nonce = nonce;
    Receive(fleet, 7, forged, 7);
    Receive(fleet, 7, forged, DAEMONS);
    CPPUNIT_ASSERT(!fleet.OriginAt(7, 0));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(3), fleet.At(7).origins.GetCounters().replies_not_asked_for);
    // A reply names its query alone, so that it cannot set another stream's origin.
    forged.replies.front().origin = {CopyOf(1)};
    Receive(fleet, 7, forged, asked);
    CPPUNIT_ASSERT(!fleet.OriginAt(7, 1));
    Receive(fleet, 7, forged, asked);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(4), fleet.At(7).origins.GetCounters().replies_not_asked_for);
  }

  void CopiesOfAStrangerFillTheMemory()
  {
    OriginFleet fleet(DAEMONS, PLACES);
    constexpr int FLOOD = static_cast<int>(Gateway::StreamOrigins::MAX_STREAMS) + 1000;
    for (int stream = 0; stream < FLOOD; ++stream)
    {
      OriginMessage message;
      message.copies.push_back(CopyOf(stream));
      Receive(fleet, 7, message, DAEMONS + 1);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.At(7).dispatcher.Origins().Size());
    for (int stream = 0; stream < FLOOD; ++stream)
    {
      OriginMessage message;
      message.copies.push_back(CopyOf(stream));
      Receive(fleet, 7, message, 4);
    }
    CPPUNIT_ASSERT(fleet.At(7).dispatcher.Origins().Size() <=
                   Gateway::StreamOrigins::MAX_STREAMS + 1);
  }

  static OriginCopy CopyOf(int stream)
  {
    OriginCopy copy;
    copy.stream = ToBytes(OriginFleet::StreamOf(stream));
    copy.version = Gateway::KeyOf(UnitTests::ORIGIN_POOL, UnitTests::OTHER_VERSION);
    copy.place = 1;
    return copy;
  }

  static void Receive(OriginFleet& fleet, DaemonIndex daemon, const OriginMessage& message,
                      DaemonIndex from)
  {
    fleet.At(daemon).OnDatagram(Daemons::Encode(message), OriginFleet::EndpointOf(from));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OriginExchangeTest);
} // namespace

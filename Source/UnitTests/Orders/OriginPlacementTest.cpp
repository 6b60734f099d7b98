// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Which daemons keep and are asked for origins of streams, and what that costs in a large fleet.

#include "Orders/OriginPlacement.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <malloc.h>

#include <cppunit/extensions/HelperMacros.h>

#include "Daemons/Codec.h"
#include "Orders/OriginExchange.h"
#include "Orders/OriginMessages.h"
#include "UnitTests/Support/Loopback.h"
#include "UnitTests/Support/OriginFleet.h"

namespace
{
using namespace Orders;
using Common::Milliseconds;
using Fleet::ListedDaemon;
using UnitTests::OriginFleet;

constexpr std::size_t MANY_DAEMONS = 1000;
constexpr std::size_t MANY_PLACES = 5;
constexpr int MANY_ENTRIES = 30000;
/// The size to design for: 39,000 requests a second on 330 nodes.
constexpr double BEGINS_PER_SECOND = 118;
/// What a node may spend on control.
constexpr double BYTES_PER_SECOND = 14000;
constexpr double MAX_MEMORY = 256e6;
constexpr double CORE_SHARE = 0.015;
/// Time between two tokens of a stream, for 95 in 100.
constexpr double MAX_TURN_SECONDS = 0.045;
/// Headers of IPv4 and UDP.
constexpr std::size_t HEADER_BYTES = 28;

std::vector<ListedDaemon> Daemons(std::size_t count, std::size_t places)
{
  std::vector<ListedDaemon> result;
  for (std::size_t index = 0; index < count; ++index)
    result.push_back({OriginFleet::EndpointOf(index),
                      static_cast<Fleet::PlaceHash>(0x9e3779b1U * (index % places + 1)),
                      static_cast<std::uint32_t>(0x85ebca6bU * (index + 1))});
  return result;
}

/// Processor time of this thread.
double CpuSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

struct Traffic
{
  std::size_t datagrams = 0;
  std::size_t bytes = 0;

  std::size_t OnTheWire() const { return bytes + datagrams * HEADER_BYTES; }
};

void Print(const char* what, const Traffic& traffic)
{
  std::printf("origins: %s: %zu datagrams, %zu bytes, %zu with headers\n", what, traffic.datagrams,
              traffic.bytes, traffic.OnTheWire());
}

/// One daemon in a large fleet whose other daemons receive nothing.
class LoneDaemon
{
public:
  LoneDaemon()
      : daemons(Daemons(MANY_DAEMONS, MANY_PLACES)),
        daemon(daemons[1], [this](const Http::Endpoint&, const std::string& bytes) {
          const bool is_about_members = bytes.starts_with(static_cast<char>(MemberMessage::MARKER));
          Traffic& traffic = is_about_members ? members : origins;
          ++traffic.datagrams;
          traffic.bytes += bytes.size();
          last = bytes;
        })
  {
    daemon.KnowBothVersions();
    Announce();
    UnitTests::RunFor(Milliseconds(600));
  }

  void Announce() { daemon.members.Announce(daemons, 1, Common::Now()); }

  /// Streams that began here, and copies of streams that began elsewhere.
  void AddEntries(int count)
  {
    const auto now = Common::Now();
    for (int stream = 0; stream < count; ++stream)
    {
      const ListedDaemon& origin = daemons[1 + 7 * static_cast<std::size_t>(stream) % 900];
      daemon.dispatcher.Origins().Merge(
          OriginFleet::StreamOf(stream),
          {Gateway::KeyOf(UnitTests::ORIGIN_POOL, UnitTests::ORIGIN_VERSION), origin.messages,
           origin.place},
          now, now);
    }
  }

  /// Announces the list and runs until the copies have been moved; returns the processor time and
  /// sets `longest_turn` to the longest one of a turn of the loop.
  double Move(double& longest_turn)
  {
    members = origins = {};
    const double begin = CpuSeconds();
    Announce();
    const double announced = CpuSeconds() - begin;
    double total = announced;
    longest_turn = 0;
    const auto end = Common::Now() + Milliseconds(1500);
    UnitTests::RunUntil([&] {
      const double now = CpuSeconds();
      const double turn = now - m_turn_began;
      if (m_turn_began > 0)
      {
        longest_turn = std::max(longest_turn, turn);
        total += turn;
      }
      m_turn_began = CpuSeconds();
      return Common::Now() >= end;
    });
    m_turn_began = 0;
    return total;
  }

  std::vector<ListedDaemon> daemons;
  Traffic members;
  Traffic origins;
  std::string last;
  UnitTests::SimulatedDaemon daemon;

private:
  double m_turn_began = 0;
};

class OriginPlacementTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OriginPlacementTest);
  CPPUNIT_TEST(CopiesAreInOneDataCentre);
  CPPUNIT_TEST(CopyIsAtADaemonThatIsNotAsked);
  CPPUNIT_TEST(CopyMovesAlthoughItsDaemonStays);
  CPPUNIT_TEST(SomeDaemonsKeepMostCopies);
  CPPUNIT_TEST(BeginsExceedTheBandwidth);
  CPPUNIT_TEST(QueryExceedsTheBandwidth);
  CPPUNIT_TEST(JoinExceedsTheBudget);
  CPPUNIT_TEST(LeaveExceedsTheBudget);
  CPPUNIT_TEST(PlacementTakesTooLong);
  CPPUNIT_TEST(EntriesExceedTheMemory);
  CPPUNIT_TEST(VersionThatAppearsFillsTheLink);
  CPPUNIT_TEST_SUITE_END();

  void CopiesAreInOneDataCentre()
  {
    const auto daemons = Daemons(40, MANY_PLACES);
    for (std::size_t group = 0; group < ORIGIN_GROUPS; ++group)
    {
      const ListedDaemon& origin = daemons[group % daemons.size()];
      const auto keepers =
          DaemonsForCopies(daemons, OriginGroup(group), origin.messages, origin.place);
      CPPUNIT_ASSERT_EQUAL(ORIGIN_COPIES, keepers.size());
      int near = 0;
      for (const auto& keeper : keepers)
      {
        CPPUNIT_ASSERT(keeper != origin.messages);
        near += PlaceOf(daemons, keeper) == origin.place ? 1 : 0;
      }
      CPPUNIT_ASSERT_EQUAL(1, near);
    }
  }

  /// Also if the asking daemon, or the one at which the stream began, has restarted or is gone.
  void CopyIsAtADaemonThatIsNotAsked()
  {
    for (const std::size_t places : {1U, 2U, 5U})
      for (const std::size_t count : {2U, 3U, 4U, 16U, 50U})
        for (std::size_t group = 0; group < ORIGIN_GROUPS; ++group)
        {
          const auto daemons = Daemons(count, places);
          const ListedDaemon& origin = daemons[group % count];
          const ListedDaemon& asking = daemons[(group / count + 1 + group) % count];
          auto without_origin = daemons;
          std::erase(without_origin, origin);
          const auto asked = DaemonsToAsk(daemons, OriginGroup(group), asking.messages);
          const auto asked_without_origin =
              DaemonsToAsk(without_origin, OriginGroup(group), asking.messages);
          for (const auto& keeper :
               DaemonsForCopies(daemons, OriginGroup(group), origin.messages, origin.place))
            if (keeper != asking.messages)
            {
              CPPUNIT_ASSERT(std::ranges::find(asked, keeper) != asked.end());
              CPPUNIT_ASSERT(std::ranges::find(asked_without_origin, keeper) !=
                             asked_without_origin.end());
            }
        }
  }

  void CopyMovesAlthoughItsDaemonStays()
  {
    const auto daemons = Daemons(50, MANY_PLACES);
    const ListedDaemon& origin = daemons[3];
    const ListedDaemon& gone = daemons[8];
    auto later = daemons;
    std::erase(later, gone);
    for (std::size_t group = 0; group < ORIGIN_GROUPS; ++group)
    {
      const auto before =
          DaemonsForCopies(daemons, OriginGroup(group), origin.messages, origin.place);
      const auto after = DaemonsForCopies(later, OriginGroup(group), origin.messages, origin.place);
      for (const auto& keeper : before)
        CPPUNIT_ASSERT(keeper == gone.messages || std::ranges::find(after, keeper) != after.end());
    }
  }

  /// The median daemon keeps 2 copies for each stream that begins through one, the busiest one no
  /// more than four times as many.
  void SomeDaemonsKeepMostCopies()
  {
    const auto daemons = Daemons(330, 7);
    std::map<Http::Endpoint, int> copies;
    for (std::size_t group = 0; group < ORIGIN_GROUPS; ++group)
      for (const ListedDaemon& origin : daemons)
        for (const auto& keeper :
             DaemonsForCopies(daemons, OriginGroup(group), origin.messages, origin.place))
          ++copies[keeper];
    const double fair = static_cast<double>(ORIGIN_GROUPS) * ORIGIN_COPIES;
    int most = 0;
    for (const auto& [daemon, count] : copies)
      most = std::max(most, count);
    std::printf("origins: the busiest of 330 daemons keeps %.2f times its share of the copies\n",
                most / fair);
    CPPUNIT_ASSERT(most <= 4 * fair);
  }

  void BeginsExceedTheBandwidth()
  {
    LoneDaemon lone;
    constexpr int BEGINS = 1000;
    lone.origins = {};
    const double begin = CpuSeconds();
    for (int stream = 0; stream < BEGINS; ++stream)
      lone.daemon.dispatcher.NoteStream(OriginFleet::StreamOf(stream), UnitTests::ORIGIN_POOL,
                                        UnitTests::ORIGIN_VERSION, std::nullopt);
    const double seconds = (CpuSeconds() - begin) / BEGINS;
    Print("1,000 begins", lone.origins);
    const double rate = static_cast<double>(lone.origins.OnTheWire()) / BEGINS * BEGINS_PER_SECOND;
    std::printf("origins: begins: %.0f bytes a second with headers, %.1f us of a core each\n", rate,
                seconds * 1e6);
    CPPUNIT_ASSERT_EQUAL(std::size_t(ORIGIN_COPIES * BEGINS), lone.origins.datagrams);
    CPPUNIT_ASSERT(rate <= BYTES_PER_SECOND);
    CPPUNIT_ASSERT(seconds * BEGINS_PER_SECOND <= CORE_SHARE);
  }

  /// One stream in a hundred is resumed.
  void QueryExceedsTheBandwidth()
  {
    LoneDaemon lone;
    lone.origins = {};
    const double begin = CpuSeconds();
    lone.daemon.dispatcher.QueryOrigin(OriginFleet::StreamOf(1), UnitTests::ORIGIN_POOL);
    const double seconds = CpuSeconds() - begin;
    const Traffic query = lone.origins;
    Print("query", query);
    lone.origins = {};
    lone.daemon.OnDatagram(lone.last, OriginFleet::EndpointOf(5));
    Print("reply without an origin", lone.origins);
    lone.AddEntries(2);
    const std::size_t reply_bytes = lone.origins.OnTheWire();
    lone.origins = {};
    lone.daemon.OnDatagram(lone.last, OriginFleet::EndpointOf(5));
    std::printf("origins: query: %.1f us of a core\n", seconds * 1e6);
    CPPUNIT_ASSERT(query.datagrams >= MIN_ASKED);
    CPPUNIT_ASSERT(query.datagrams <= std::max(MIN_ASKED, ASKED_PER_PLACE * MANY_PLACES));
    const double rate = static_cast<double>(query.OnTheWire() + query.datagrams * reply_bytes) *
                        BEGINS_PER_SECOND / 100;
    std::printf("origins: queries for one stream in 100: %.0f bytes a second with headers\n", rate);
    CPPUNIT_ASSERT(rate <= BYTES_PER_SECOND);
  }

  void JoinExceedsTheBudget()
  {
    LoneDaemon lone;
    lone.AddEntries(MANY_ENTRIES);
    lone.daemons.push_back(Daemons(MANY_DAEMONS + 1, MANY_PLACES).back());
    AssertMove(lone, "join");
  }

  void LeaveExceedsTheBudget()
  {
    LoneDaemon lone;
    lone.AddEntries(MANY_ENTRIES);
    lone.daemons.erase(lone.daemons.begin() + 500);
    AssertMove(lone, "leave");
  }

  void PlacementTakesTooLong()
  {
    const auto daemons = Daemons(MANY_DAEMONS, MANY_PLACES);
    constexpr int CALLS = 1000;
    std::size_t found = 0;
    double begin = CpuSeconds();
    for (int call = 0; call < CALLS; ++call)
      found += DaemonsForCopies(daemons, OriginGroup(call), daemons[1].messages, daemons[1].place)
                   .size();
    const double copies = (CpuSeconds() - begin) / CALLS;
    begin = CpuSeconds();
    for (int call = 0; call < CALLS; ++call)
      found += DaemonsToAsk(daemons, OriginGroup(call), daemons[1].messages).size();
    const double ask = (CpuSeconds() - begin) / CALLS;
    std::printf("origins: 1,000 daemons: DaemonsForCopies %.1f us, DaemonsToAsk %.1f us\n",
                copies * 1e6, ask * 1e6);
    CPPUNIT_ASSERT(found > 0);
    // One stream in a hundred is resumed.
    CPPUNIT_ASSERT(BEGINS_PER_SECOND * (copies + ask / 100) <= CORE_SHARE);
  }

  void EntriesExceedTheMemory()
  {
    const auto now = Common::Now();
    const std::size_t before = mallinfo2().uordblks;
    auto origins = std::make_unique<Gateway::StreamOrigins>();
    for (int stream = 0; stream < MANY_ENTRIES; ++stream)
      origins->Merge(OriginFleet::StreamOf(stream), {{}, OriginFleet::EndpointOf(5), 1}, now, now);
    const double bytes = static_cast<double>(mallinfo2().uordblks - before) / MANY_ENTRIES;
    std::printf("origins: %.0f bytes of memory for each entry, %.1f MB for %zu entries\n", bytes,
                bytes * Gateway::StreamOrigins::MAX_STREAMS / 1e6,
                Gateway::StreamOrigins::MAX_STREAMS);
    // "Some 5 MB", as stated at MAX_STREAMS.
    CPPUNIT_ASSERT(bytes * Gateway::StreamOrigins::MAX_STREAMS <= 6e6);
    CPPUNIT_ASSERT(bytes * Gateway::StreamOrigins::MAX_STREAMS <= MAX_MEMORY);
  }

  /// All streams of the retention time are copied as a second version appears.
  void VersionThatAppearsFillsTheLink()
  {
    LoneDaemon lone;
    const auto now = Common::Now();
    constexpr int BEGINS = static_cast<int>(BEGINS_PER_SECOND) * 90;
    for (int stream = 0; stream < BEGINS; ++stream)
      lone.daemon.dispatcher.Origins().Note(OriginFleet::StreamOf(stream),
                                            {{}, lone.daemon.self.messages, lone.daemon.self.place},
                                            now);
    lone.origins = {};
    const double begin = CpuSeconds();
    lone.daemon.origins.SendUncopied();
    UnitTests::RunFor(Milliseconds(2500));
    Print("streams of 90 s as a version appears", lone.origins);
    std::printf("origins: streams of 90 s as a version appears: %.0f ms of a core\n",
                (CpuSeconds() - begin) * 1e3);
    CPPUNIT_ASSERT_EQUAL(std::size_t(ORIGIN_COPIES) * BEGINS,
                         static_cast<std::size_t>(lone.daemon.origins.GetCounters().copies_sent));
  }

  /// Every daemon restarts once a day: two changes of the list. A turn of the loop must not be
  /// longer than the time between two tokens.
  static void AssertMove(LoneDaemon& lone, const char* what)
  {
    double longest_turn = 0;
    const double seconds = lone.Move(longest_turn);
    Print((std::string(what) + ", list at the holder").c_str(), lone.members);
    Print((std::string(what) + ", moved copies").c_str(), lone.origins);
    std::printf(
        "origins: %s, 30,000 entries, %lld moved: %.0f ms of a core, longest turn %.1f ms\n", what,
        static_cast<long long>(lone.daemon.origins.GetCounters().copies_moved), seconds * 1e3,
        longest_turn * 1e3);
    constexpr double CHANGES_PER_SECOND = 2.0 * MANY_DAEMONS / 86400;
    CPPUNIT_ASSERT(static_cast<double>(lone.origins.OnTheWire()) * CHANGES_PER_SECOND <=
                   BYTES_PER_SECOND);
    CPPUNIT_ASSERT(seconds * CHANGES_PER_SECOND <= CORE_SHARE);
    CPPUNIT_ASSERT(longest_turn <= MAX_TURN_SECONDS);
  }

  static Fleet::PlaceHash PlaceOf(const std::vector<ListedDaemon>& daemons,
                                  const Http::Endpoint& endpoint)
  {
    return std::ranges::find(daemons, endpoint, &ListedDaemon::messages)->place;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OriginPlacementTest);
} // namespace

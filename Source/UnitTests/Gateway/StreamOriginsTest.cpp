// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// The origins of streams that one daemon remembers, and what it does with streams whose origin no
// daemon remembers.

#include "Gateway/StreamOrigins.h"

#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>

#include <malloc.h>

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/RelayWorld.h"

namespace
{
using namespace Gateway;
using Common::Milliseconds;
using std::chrono::seconds;
using UnitTests::RelayWorld;
using UnitTests::RunFor;
using UnitTests::TestPeer;
using UnitTests::TestServer;

constexpr VersionKey FIRST_VERSION{1};
constexpr VersionKey SECOND_VERSION{2};
const Http::Endpoint SELF{0x0100007f, 1000};
/// A header line that names the request which began the stream.
constexpr const char* REFERENCE = "Resumes: id-elsewhere\r\n";

StreamKey StreamOf(int number)
{
  return KeyOf(Accounts::AccountName("account"), std::to_string(number));
}

void Complete(TestPeer& peer, const std::string& head)
{
  peer.stream->Write(UnitTests::StreamHead(head) + UnitTests::Chunk(UnitTests::Event(2)) +
                     "0\r\n\r\n");
}

class StreamOriginsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StreamOriginsTest);
  CPPUNIT_TEST(OriginIsForgottenWhileItsStreamRuns);
  CPPUNIT_TEST(OriginIsForgottenBeforeItsCallerGivesUp);
  CPPUNIT_TEST(OriginIsRememberedForever);
  CPPUNIT_TEST(OlderCopyReplacesANewerOne);
  CPPUNIT_TEST(OriginOfARunningStreamIsDroppedForNewOnes);
  CPPUNIT_TEST(UncopiedStreamsAreForgotten);
  CPPUNIT_TEST(LongStreamFillsTheMemory);
  CPPUNIT_TEST(VersionBeforeTheStartOfTheDaemonIsMixedIn);
  CPPUNIT_TEST(VersionBeforeTheStartOfAllThatReplyIsMixedIn);
  CPPUNIT_TEST(VersionThatAppearedMeanwhileIsMixedIn);
  CPPUNIT_TEST(VersionThatAppearedDuringACutIsMixedIn);
  CPPUNIT_TEST(VersionThatAppearedDuringACutIsMixedInWithoutAReference);
  CPPUNIT_TEST(StreamOfTheOnlyVersionIsRefusedThoughThatCanBeProven);
  CPPUNIT_TEST(StreamIsRefusedWhileTheEntriesOfItsVersionAreOnTheWay);
  CPPUNIT_TEST(StreamOfAVersionThatHasGoneWaits);
  CPPUNIT_TEST(VersionThatOnlyOneOtherDaemonKnowsIsMixedIn);
  CPPUNIT_TEST(VersionThatAppearsWhileNoneIsKnownIsMixedIn);
  CPPUNIT_TEST(ReplyFromBeforeThisDaemonFollowedTheEntriesCounts);
  CPPUNIT_TEST(PoolThatTheRouteHadBeforeIsForgotten);
  CPPUNIT_TEST(PoolBeforeTheSplitOfARouteIsForgotten);
  CPPUNIT_TEST_SUITE_END();

  void OriginIsForgottenWhileItsStreamRuns()
  {
    StreamOrigins origins;
    const auto begin = Common::Now();
    auto copied_at = begin;
    for (auto now = begin; now < begin + seconds(600); now += seconds(1))
    {
      if (origins.Note(StreamOf(1), {FIRST_VERSION, SELF, 1}, now))
        copied_at = now;
      CPPUNIT_ASSERT(origins.Find(StreamOf(1), now).has_value());
      CPPUNIT_ASSERT(now - copied_at <= StreamOrigins::REFRESH_INTERVAL);
    }
  }

  /// A caller waits for up to 60 s after the last event, whenever that was.
  void OriginIsForgottenBeforeItsCallerGivesUp()
  {
    for (int running = 0; running < 70; ++running)
    {
      StreamOrigins origins;
      const auto begin = Common::Now();
      for (auto now = begin; now <= begin + seconds(running); now += seconds(1))
        origins.Note(StreamOf(1), {FIRST_VERSION, SELF, 1}, now);
      CPPUNIT_ASSERT(origins.Find(StreamOf(1), begin + seconds(running + 60)).has_value());
    }
  }

  void OriginIsRememberedForever()
  {
    StreamOrigins origins;
    const auto now = Common::Now();
    origins.Note(StreamOf(1), {FIRST_VERSION, SELF, 1}, now);
    CPPUNIT_ASSERT(!origins.Find(StreamOf(1), now + StreamOrigins::RETENTION).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), origins.Size());
  }

  void OlderCopyReplacesANewerOne()
  {
    StreamOrigins origins;
    const auto now = Common::Now();
    origins.Merge(StreamOf(1), {FIRST_VERSION, SELF, 1}, now - seconds(1), now);
    origins.Merge(StreamOf(1), {SECOND_VERSION, SELF, 1}, now - seconds(2), now);
    CPPUNIT_ASSERT(origins.Find(StreamOf(1), now)->origin.version == FIRST_VERSION);
    // A copy from the future would outlast the stream.
    origins.Merge(StreamOf(2), {FIRST_VERSION, SELF, 1}, now + seconds(1000), now);
    CPPUNIT_ASSERT(!origins.Find(StreamOf(2), now + StreamOrigins::RETENTION).has_value());
  }

  /// More streams than fit: the oldest go, but not one that is still running.
  void OriginOfARunningStreamIsDroppedForNewOnes()
  {
    StreamOrigins origins;
    const auto begin = Common::Now();
    constexpr int PER_SECOND = 1000;
    int number = 1;
    for (int second = 0; second < 90; ++second)
    {
      const auto now = begin + seconds(second);
      origins.Note(StreamOf(0), {FIRST_VERSION, SELF, 1}, now);
      for (int stream = 0; stream < PER_SECOND; ++stream)
        origins.Merge(StreamOf(number++), {FIRST_VERSION, SELF, 1}, now, now);
      CPPUNIT_ASSERT(origins.Find(StreamOf(0), now).has_value());
      CPPUNIT_ASSERT(origins.Size() <= StreamOrigins::MAX_STREAMS + 1);
    }
  }

  /// Streams that are marked again, refreshed or taken in parts are returned until copied.
  void UncopiedStreamsAreForgotten()
  {
    StreamOrigins origins;
    const auto now = Common::Now();
    for (int stream = 0; stream < 10; ++stream)
      origins.Note(StreamOf(stream), {FIRST_VERSION, SELF, 1}, now);
    origins.MarkCopied(StreamOf(3));
    const auto copy = [&](std::size_t limit) {
      const auto uncopied = origins.Uncopied(limit);
      CPPUNIT_ASSERT(origins.Uncopied(limit) == uncopied);
      for (const StreamKey stream : uncopied)
        origins.MarkCopied(stream);
      return uncopied.size();
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), copy(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), copy(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), copy(10));
    origins.MarkUncopied(StreamOf(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), copy(10));
  }

  /// One stream that runs for an hour beside 118 others a second.
  void LongStreamFillsTheMemory()
  {
    StreamOrigins origins;
    const auto begin = Common::Now();
    int number = 1;
    std::size_t used_before = 0;
    for (int second = 0; second < 3600; ++second)
    {
      const auto now = begin + seconds(second);
      origins.Note(StreamOf(0), {FIRST_VERSION, SELF, 1}, now);
      for (int stream = 0; stream < 118; ++stream)
        origins.Note(StreamOf(number++), {FIRST_VERSION, SELF, 1}, now);
      if (second == 300)
        used_before = mallinfo2().uordblks;
    }
    const std::size_t used = mallinfo2().uordblks;
    const std::size_t growth = used > used_before ? used - used_before : 0;
    std::printf("origins: %zu bytes more after an hour with a long stream\n", growth);
    CPPUNIT_ASSERT(growth < 500000);
  }

  /// The stream began at version "a", whose servers went before this daemon started. No other
  /// daemon replies.
  void VersionBeforeTheStartOfTheDaemonIsMixedIn()
  {
    TestServer server(Complete);
    RelayWorld world;
    AddCurrent(world, "i-1", server, "b");
    world.dispatcher.OnOriginQuery([](StreamKey, const PoolId&) {});
    const auto caller = Resume(world);
    RunFor(Milliseconds(600));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), server.requests.size());
  }

  /// The same if other daemons reply that have started as lately, so that they have seen no other
  /// version either.
  void VersionBeforeTheStartOfAllThatReplyIsMixedIn()
  {
    TestServer server(Complete);
    RelayWorld world;
    RelayWorld other;
    AddCurrent(world, "i-1", server, "b");
    AddCurrent(other, "i-1", server, "b");
    AnswerAs(world, other);
    const auto caller = Resume(world);
    RunFor(Milliseconds(600));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), server.requests.size());
  }

  /// The stream began at a server with version "b" that appeared a second ago. The daemon through
  /// which it began is gone; this one and another one have entries that are two seconds old.
  void VersionThatAppearedMeanwhileIsMixedIn()
  {
    TestServer server(Complete);
    RelayWorld world;
    RelayWorld other;
    const auto proven_at = Common::Now() - Milliseconds(2000);
    for (RelayWorld* each : {&world, &other})
    {
      each->AddServer("i-1", server.Address(), {}, "a");
      each->dispatcher.Servers().RecordProof(proven_at);
    }
    AnswerAs(world, other);
    const auto caller = Resume(world);
    RunFor(Milliseconds(600));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), server.requests.size());
  }

  /// This VM has known all versions, and was cut off a second ago: from the store, so that it has
  /// not learnt of version "b", and from the daemon through which the stream began there.
  void VersionThatAppearedDuringACutIsMixedIn() { CheckTakeUpDuringACut(REFERENCE); }

  /// The same for a caller that does not name the request that began the stream.
  void VersionThatAppearedDuringACutIsMixedInWithoutAReference() { CheckTakeUpDuringACut(""); }

  /// The entries can be read as soon as a stream that was taken up depends on them.
  void StreamOfTheOnlyVersionIsRefusedThoughThatCanBeProven()
  {
    for (const std::string resumes : {REFERENCE, ""})
    {
      TestServer server(Complete);
      RelayWorld world;
      FollowUntil(world, server, Common::Now() - Milliseconds(1000));
      world.dispatcher.OnOriginQuery([&](StreamKey stream, const PoolId&) {
        OriginEvidence nobody_knows;
        nobody_knows.is_complete = true;
        world.dispatcher.LearnNoOrigin(stream, nobody_knows);
      });
      world.dispatcher.OnProofAwaited([&] {
        Common::Reactor::Get().After(Milliseconds(5), [&, sent_at = Common::Now()] {
          world.dispatcher.NoteEntriesProven(sent_at);
        });
      });
      const auto caller = Resume(world, resumes);
      CPPUNIT_ASSERT(UnitTests::RunUntil(
          [&] {
            return server.requests.size() == 1;
          },
          Milliseconds(100)));
    }
  }

  /// Another daemon knows that the stream began at version "b", whose servers this VM has not
  /// learnt of.
  void StreamIsRefusedWhileTheEntriesOfItsVersionAreOnTheWay()
  {
    TestServer old_server(Complete);
    TestServer new_server(Complete);
    RelayWorld world;
    FollowUntil(world, old_server, Common::Now() - Milliseconds(200));
    AnswerWithVersion(world, "b");
    const auto caller = Resume(world);
    RunFor(Milliseconds(100));
    world.AddServer("i-2", new_server.Address(), {}, "b");
    world.dispatcher.NoteEntriesProven(Common::Now());
    CPPUNIT_ASSERT(UnitTests::RunUntil([&] {
      return caller->received.find(UnitTests::Event(2)) != std::string::npos;
    }));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), old_server.requests.size());
  }

  /// The newest entries show that no server has the stream's version.
  void StreamOfAVersionThatHasGoneWaits()
  {
    TestServer server(Complete);
    RelayWorld world;
    FollowUntil(world, server, Common::Now() - Milliseconds(200));
    AnswerWithVersion(world, "b");
    const auto caller = Resume(world);
    RunFor(Milliseconds(100));
    CPPUNIT_ASSERT(caller->received.empty());
    world.dispatcher.NoteEntriesProven(Common::Now());
    CPPUNIT_ASSERT(UnitTests::RunUntil(
        [&] {
          return caller->received.starts_with("HTTP/1.1 503 ");
        },
        Milliseconds(100)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), server.requests.size());
  }

  void VersionThatOnlyOneOtherDaemonKnowsIsMixedIn()
  {
    TestServer server(Complete);
    RelayWorld world;
    RelayWorld other;
    AddCurrent(world, "i-1", server, "a");
    AddCurrent(other, "i-1", server, "a");
    other.dispatcher.Versions().Note(PoolId("pool"), SoftwareVersion("b"), Common::Now());
    AnswerAs(world, other);
    const auto caller = Resume(world);
    RunFor(Milliseconds(600));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), server.requests.size());
  }

  /// The pool has no servers as the caller resumes the stream, and gets one while it waits.
  void VersionThatAppearsWhileNoneIsKnownIsMixedIn()
  {
    TestServer server(Complete);
    RelayWorld world;
    world.dispatcher.Servers().RecordProof(Common::Now());
    world.dispatcher.OnOriginQuery([&](StreamKey stream, const PoolId&) {
      Common::Reactor::Get().After(Milliseconds(5), [&world, stream] {
        OriginEvidence evidence;
        evidence.asked = evidence.replies = 12;
        evidence.has_history = evidence.is_complete = true;
        world.dispatcher.LearnNoOrigin(stream, evidence);
      });
    });
    const auto caller = Resume(world);
    RunFor(Milliseconds(200));
    AddCurrent(world, "i-1", server, "b");
    RunFor(Milliseconds(600));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), server.requests.size());
  }

  /// Another daemon knew all versions as the stream was taken up for the first time. This one has
  /// followed the entries only since then, and the stream is taken up again.
  void ReplyFromBeforeThisDaemonFollowedTheEntriesCounts()
  {
    for (const Milliseconds since_asked : {Milliseconds(0), Milliseconds(3000)})
    {
      TestServer server(Complete);
      RelayWorld world;
      AddCurrent(world, "i-1", server, "a");
      const auto end = Common::Now();
      for (auto now = end - Milliseconds(2500); now <= end; now += Milliseconds(500))
      {
        world.dispatcher.Servers().RecordProof(now);
        world.dispatcher.Versions().Observe(now);
      }
      world.dispatcher.OnOriginQuery([&](StreamKey stream, const PoolId&) {
        OriginEvidence evidence;
        evidence.asked_at = Common::Now() - since_asked;
        evidence.has_history = evidence.is_complete = true;
        world.dispatcher.LearnNoOrigin(stream, evidence);
      });
      const auto caller = Resume(world);
      RunFor(Milliseconds(50));
      world.dispatcher.NoteEntriesProven(Common::Now());
      RunFor(Milliseconds(300));
      CPPUNIT_ASSERT_EQUAL(std::size_t(since_asked == Milliseconds(0) ? 1 : 0),
                           server.requests.size());
    }
  }

  /// The route's requests went to a pool of version "a" until a moment ago.
  void PoolThatTheRouteHadBeforeIsForgotten()
  {
    CheckTakeUpAfterARouteChange([](Configuration& configuration) {
      for (Route& route : configuration.routes)
        route.pools = {{PoolId("pool-2"), 1}};
    });
  }

  /// So did those of its path, which a longer prefix matches now.
  void PoolBeforeTheSplitOfARouteIsForgotten()
  {
    CheckTakeUpAfterARouteChange([](Configuration& configuration) {
      Route& route = configuration.routes.emplace_back(
          UnitTests::MakeRoute("/stream/part/", Repeatability::Streaming, 2, true));
      route.pools = {{PoolId("pool-2"), 1}};
    });
  }

  /// All versions that the pools have had are known, and no daemon knows the stream.
  static void CheckTakeUpAfterARouteChange(const std::function<void(Configuration&)>& change)
  {
    for (const std::string resumes : {REFERENCE, ""})
    {
      TestServer old_server(Complete);
      TestServer new_server(Complete);
      RelayWorld world;
      world.AddServer("i-2", new_server.Address(), {}, "b", "pool-2");
      FollowUntil(world, old_server, Common::Now());
      world.dispatcher.OnOriginQuery([&](StreamKey stream, const PoolId&) {
        OriginEvidence nobody_knows;
        nobody_knows.is_complete = true;
        world.dispatcher.LearnNoOrigin(stream, nobody_knows);
      });
      auto configuration =
          std::make_shared<Configuration>(*world.dispatcher.CurrentConfiguration());
      ++configuration->version;
      configuration->pools[PoolId("pool-2")] = Pool{PoolId("pool-2"), "/health", 100, std::nullopt};
      change(*configuration);
      world.dispatcher.SetConfiguration(configuration);
      const auto caller = Resume(world, resumes, "/stream/part/");
      RunFor(Milliseconds(100));
      world.dispatcher.NoteEntriesProven(Common::Now());
      RunFor(Milliseconds(500));
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), new_server.requests.size());
    }
  }

  static void AddCurrent(RelayWorld& world, const std::string& instance, const TestServer& server,
                         const std::string& version)
  {
    world.AddServer(instance, server.Address(), {}, version);
    world.dispatcher.Servers().RecordProof(Common::Now());
  }

  /// This VM has followed the entries, of version "a" only, for as long as streams are remembered.
  static void FollowUntil(RelayWorld& world, const TestServer& server, Common::TimePoint end)
  {
    world.AddServer("i-1", server.Address(), {}, "a");
    VersionHistory& versions = world.dispatcher.Versions();
    for (auto now = end - 2 * StreamOrigins::RETENTION; now <= end; now += Milliseconds(500))
    {
      world.dispatcher.Servers().RecordProof(now);
      versions.Observe(now);
    }
    CPPUNIT_ASSERT(versions.IsComplete(end));
  }

  static void CheckTakeUpDuringACut(const std::string& resumes)
  {
    TestServer server(Complete);
    RelayWorld world;
    FollowUntil(world, server, Common::Now() - Milliseconds(1000));
    world.dispatcher.OnOriginQuery([](StreamKey, const PoolId&) {});
    const auto caller = Resume(world, resumes);
    RunFor(Milliseconds(600));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), server.requests.size());
  }

  /// Another daemon replies that the stream began at this version.
  static void AnswerWithVersion(RelayWorld& world, const std::string& version)
  {
    world.dispatcher.OnOriginQuery([&world, version](StreamKey stream, const PoolId& pool) {
      Common::Reactor::Get().After(Milliseconds(5), [&world, version, stream, pool] {
        const StreamOrigin origin{KeyOf(pool, SoftwareVersion(version)), SELF, 1};
        world.dispatcher.LearnOrigin(stream, {origin, Common::Now(), true}, {});
      });
    });
  }

  /// `other` replies to the queries of `world` that it does not know the origin.
  static void AnswerAs(RelayWorld& world, RelayWorld& other)
  {
    world.dispatcher.OnOriginQuery([&](StreamKey stream, const PoolId& pool) {
      Common::Reactor::Get().After(Milliseconds(5), [&world, &other, stream, pool] {
        const auto now = Common::Now();
        OriginEvidence evidence;
        evidence.asked = evidence.replies = 1;
        for (const auto& version : other.dispatcher.Versions().Recent(pool, now))
          evidence.versions.insert(KeyOf(pool, version));
        evidence.has_history = other.dispatcher.Versions().IsComplete(now);
        evidence.is_complete = true;
        world.dispatcher.LearnNoOrigin(stream, evidence);
      });
    });
  }

  static std::unique_ptr<TestPeer> Resume(const RelayWorld& world,
                                          const std::string& resumes = REFERENCE,
                                          const std::string& path = "/stream/")
  {
    auto caller = world.NewCaller();
    caller->stream->Write("POST " + path +
                          " HTTP/1.1\r\nHost: shop.example\r\nReq-Id: id-next\r\n"
                          "Last-Event-Id: 1\r\n" +
                          resumes + "\r\n");
    return caller;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StreamOriginsTest);
} // namespace

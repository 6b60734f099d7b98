// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Tests which servers are used after this VM or the platform's store was out of reach.

#include "Gateway/ServerDiscovery.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Fleet/TableFollower.h"
#include "UnitTests/Support/RelayWorld.h"

namespace
{
using namespace Gateway;
using Common::Milliseconds;
using UnitTests::Answer;
using UnitTests::PLAIN_PATH;
using UnitTests::RunFor;
using UnitTests::RunUntil;
using UnitTests::TestPeer;
using UnitTests::TestServer;
using World = UnitTests::RelayWorld;

/// Within this time after a cut ends, a VM must act on everything that the store has.
constexpr Milliseconds CONTACT_BOUND{3000};

/// A table source that this VM reaches or not. While it is out of reach, each call fails after the
/// time that a connection attempt takes.
class CutSource
{
public:
  using Done = std::function<void(Common::Result<Fleet::TableRows>)>;

  void Read(const std::string&, const std::string&, Done done) { Call(std::move(done)); }
  void Follow(const std::string&, std::int64_t, Milliseconds, Done done) { Call(std::move(done)); }

  Fleet::TableRows rows;
  bool is_cut = false;
  std::optional<Common::TimePoint> call_began_at; ///< Of the latest call during the cut.

private:
  static constexpr Milliseconds CONNECT_TIMEOUT{400};
  static constexpr Milliseconds POLL_WAIT{50};

  Common::OwnedTimer m_timer; ///< The follower has one call open at a time.

  void Call(Done done)
  {
    if (is_cut)
      call_began_at = Common::Now();
    const auto result =
        is_cut ? Common::Result<Fleet::TableRows>(Common::FailureKind::NotSent, "cut") : rows;
    m_timer.Start(is_cut ? CONNECT_TIMEOUT : POLL_WAIT, [result, done = std::move(done)] {
      done(result);
    });
  }
};

ServerEntry EntryOf(const std::string& instance)
{
  ServerEntry entry;
  entry.instance = InstanceId(instance);
  entry.pool = PoolId("pool");
  return entry;
}

ServerEntry EntryOf(const std::string& instance, std::int64_t heartbeat,
                    const std::vector<std::string>& models)
{
  ServerEntry entry = EntryOf(instance);
  entry.heartbeat = HeartbeatNumber(heartbeat);
  for (const std::string& model : models)
    entry.models.push_back({ModelId(model), {}});
  return entry;
}

class ServerDiscoveryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ServerDiscoveryTest);
  CPPUNIT_TEST(ServerThatLeftDuringACutIsUsedBesideOthers);
  CPPUNIT_TEST(ServerThatLeftDuringACutIsUsedAfterTheContactBound);
  CPPUNIT_TEST(OutagesInSeriesKeepAServerThatHasLeft);
  CPPUNIT_TEST(OutageThatEndedForOthersKeepsNoServerLater);
  CPPUNIT_TEST(ServerThatARestoredCopyLacksIsRemovedAtOnce);
  CPPUNIT_TEST(EntryWrittenLateReplacesANewerOne);
  CPPUNIT_TEST(EntryWrittenLateReplacesANewerOneAfterItsRemoval);
  CPPUNIT_TEST(RestartedServerIsIgnoredUntilItsHeartbeatsCatchUp);
  CPPUNIT_TEST_SUITE_END();

  void ServerThatLeftDuringACutIsUsedBesideOthers()
  {
    const auto respond = [](TestPeer& peer, const std::string& head) {
      peer.stream->Write(Answer(head, "ok"));
    };
    TestServer left(respond);
    TestServer other(respond);
    World world;
    world.AddServer("i-1", left.Address());
    world.AddServer("i-2", other.Address());
    ServerDiscovery discovery(world.dispatcher.Servers());
    discovery.NoteStoreLost();
    discovery.NoteStoreRestored(Common::Now());
    discovery.ApplyRemoval(InstanceId("i-1"), Common::Now());
    constexpr std::size_t REQUESTS = 10;
    for (std::size_t i = 0; i < REQUESTS; ++i)
    {
      world.Ask(PLAIN_PATH, "id-" + std::to_string(i));
      CPPUNIT_ASSERT(RunUntil([&] {
        return left.requests.size() + other.requests.size() > i;
      }));
      RunFor(Milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, left.requests.size());
    CPPUNIT_ASSERT_EQUAL(REQUESTS, other.requests.size());
  }

  /// The cut ends right after a failed call has begun, so that the next call comes as late as
  /// possible.
  void ServerThatLeftDuringACutIsUsedAfterTheContactBound()
  {
    ServerDirectory directory;
    ServerDiscovery discovery(directory);
    CutSource source;
    const auto apply = [&](const std::vector<Fleet::TableRow>& rows) {
      std::vector<ServerEntry> entries;
      std::ranges::transform(
          rows, std::back_inserter(entries),
          [](const std::string& key) {
            return EntryOf(key);
          },
          &Fleet::TableRow::key);
      discovery.ApplySnapshot(std::move(entries), Common::Now());
    };
    Fleet::TableFollower<CutSource> follower(source, "servers",
                                             {apply,
                                              [&](const Fleet::TableRow& row) {
                                                if (row.removed)
                                                  discovery.ApplyRemoval(InstanceId(row.key),
                                                                         Common::Now());
                                              },
                                              [&] {
                                                discovery.NoteStoreLost();
                                              },
                                              [&] {
                                                discovery.NoteStoreRestored(Common::Now());
                                              }});
    source.rows = {{{"i-1", "", 1, false}}, 1, false};
    follower.Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return directory.Find(InstanceId("i-1")) != nullptr;
    }));
    source.is_cut = true;
    source.rows = {{{"i-1", "", 2, true}}, 2, false};
    RunFor(Milliseconds(4500));
    const auto before = *source.call_began_at;
    CPPUNIT_ASSERT(RunUntil([&] {
      return *source.call_began_at != before;
    }));
    source.is_cut = false;
    RunFor(CONTACT_BOUND);
    CPPUNIT_ASSERT(!directory.Find(InstanceId("i-1")));
  }

  /// The server is kept until it writes its entry again, or for as long as that may take.
  void ServerThatARestoredCopyLacksIsRemovedAtOnce()
  {
    World world;
    ServerDiscovery discovery(world.dispatcher.Servers());
    discovery.ApplySnapshot({EntryOf("i-1"), EntryOf("i-2")}, Common::Now());
    discovery.NoteOlderCopy(Common::Now());
    discovery.ApplySnapshot({}, Common::Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.dispatcher.Servers().All().size());
    discovery.ApplyEntry(EntryOf("i-1"));
    RunFor(CONTACT_BOUND);
    CPPUNIT_ASSERT(world.dispatcher.Servers().Find(InstanceId("i-1")));
    CPPUNIT_ASSERT(!world.dispatcher.Servers().Find(InstanceId("i-2")));
  }

  void OutagesInSeriesKeepAServerThatHasLeft()
  {
    ServerDirectory directory;
    directory.Put(EntryOf("i-1"));
    directory.Put(EntryOf("i-2"));
    ServerDiscovery discovery(directory);
    discovery.NoteStoreLost();
    discovery.NoteStoreRestored(Common::Now());
    discovery.ApplyRemoval(InstanceId("i-1"), Common::Now());
    RunFor(CONTACT_BOUND / 2);
    discovery.NoteStoreLost();
    discovery.NoteStoreRestored(Common::Now());
    discovery.ApplyRemoval(InstanceId("i-2"), Common::Now());
    RunFor(CONTACT_BOUND / 2);
    CPPUNIT_ASSERT(!directory.Find(InstanceId("i-1")));
    CPPUNIT_ASSERT(directory.Find(InstanceId("i-2")) != nullptr);
  }

  /// A VM that gets the entries from another daemon calls the store again at any later time.
  void OutageThatEndedForOthersKeepsNoServerLater()
  {
    ServerDirectory directory;
    directory.Put(EntryOf("i-1"));
    ServerDiscovery discovery(directory);
    discovery.NoteStoreLost();
    discovery.NoteStoreServesOthers();
    discovery.NoteStoreRestored(Common::Now());
    discovery.ApplyRemoval(InstanceId("i-1"), Common::Now());
    CPPUNIT_ASSERT(!directory.Find(InstanceId("i-1")));
  }

  /// The platform may take a write late, so that an entry goes back to an earlier state.
  void EntryWrittenLateReplacesANewerOne()
  {
    ServerDirectory directory;
    ServerDiscovery discovery(directory);
    discovery.ApplyEntry(EntryOf("i-1", 7, {"a", "b"}));
    discovery.ApplyEntry(EntryOf("i-1", 6, {"a"}));
    CPPUNIT_ASSERT(directory.Find(InstanceId("i-1"))->HoldsModel(ModelId("b")));
    discovery.ApplySnapshot({EntryOf("i-1", 5, {"a"})}, Common::Now());
    CPPUNIT_ASSERT(directory.Find(InstanceId("i-1"))->HoldsModel(ModelId("b")));
    discovery.ApplyEntry(EntryOf("i-1", 8, {"a"}));
    CPPUNIT_ASSERT(!directory.Find(InstanceId("i-1"))->HoldsModel(ModelId("b")));
  }

  void EntryWrittenLateReplacesANewerOneAfterItsRemoval()
  {
    ServerDirectory directory;
    ServerDiscovery discovery(directory);
    discovery.ApplyEntry(EntryOf("i-1", 7, {"a", "b"}));
    discovery.ApplyRemoval(InstanceId("i-1"), Common::Now());
    discovery.ApplyEntry(EntryOf("i-1", 6, {"a"}));
    CPPUNIT_ASSERT(!directory.Find(InstanceId("i-1")));
    discovery.ApplyEntry(EntryOf("i-1", 8, {"a"}));
    CPPUNIT_ASSERT(directory.Find(InstanceId("i-1")) != nullptr);
  }

  /// The heartbeats of a server that restarts under the same id are counted anew.
  void RestartedServerIsIgnoredUntilItsHeartbeatsCatchUp()
  {
    ServerDirectory directory;
    ServerDiscovery discovery(directory);
    discovery.ApplyEntry(EntryOf("i-1", 700, {"a"}));
    ServerEntry next = EntryOf("i-1", 1, {});
    next.instance = InstanceId("i-1", ServerStart(2000));
    discovery.ApplyEntry(next);
    CPPUNIT_ASSERT(directory.Find(next.instance) != nullptr);
    CPPUNIT_ASSERT(!directory.Find(next.instance)->HoldsModel(ModelId("a")));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerDiscoveryTest);
} // namespace

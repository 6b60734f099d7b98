// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// A release while one daemon is out of step: servers of version "b" join servers of version "a",
// streams begin on them through other daemons, break, and are taken up at the late daemon.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/OriginFleet.h"
#include "UnitTests/Support/RelayWorld.h"

namespace
{
using Common::Milliseconds;
using Common::TimePoint;
using UnitTests::DaemonIndex;
using UnitTests::OriginFleet;
using UnitTests::SimulatedDatagram;
using UnitTests::TestPeer;
using UnitTests::TestServer;

constexpr std::size_t DAEMONS = 6;
constexpr std::size_t PLACES = 3;
constexpr DaemonIndex BEGINNER = 1;
constexpr DaemonIndex LATE = 4;
constexpr int STREAMS = 5;
constexpr Milliseconds FEED_INTERVAL{50};
constexpr Milliseconds STORE_RESPONSE_TIME{4};
/// Longer than a request of STREAM_PATH may wait.
constexpr Milliseconds LONGEST_WAIT{750};
const Gateway::PoolId POOL("pool");

void CompleteStream(TestPeer& peer, const std::string& head)
{
  peer.stream->Write(UnitTests::StreamHead(head) + UnitTests::Chunk(UnitTests::Event(2)) +
                     "0\r\n\r\n");
}

std::string IdOf(int stream)
{
  return "id-" + std::to_string(stream);
}

/// Daemons that follow the servers' entries in a store, and serve callers.
class ReleaseFleet
{
public:
  ReleaseFleet() : m_fleet(DAEMONS, PLACES), m_a(CompleteStream), m_b(CompleteStream)
  {
    for (DaemonIndex daemon = 0; daemon < DAEMONS; ++daemon)
      Configure(daemon);
    m_entries["a-1"] = EntryOf("a-1", m_a, "a");
    for (DaemonIndex daemon = 0; daemon < DAEMONS; ++daemon)
      FollowForTheRetentionTime(daemon);
    Feed();
  }

  OriginFleet& Fleet() { return m_fleet; }
  /// The daemon receives no more entries.
  void CutFromStore(DaemonIndex daemon) { m_without_store.insert(daemon); }
  /// The daemon receives entries that are as old as this.
  void DelayFeed(DaemonIndex daemon, Milliseconds delay) { m_delays[daemon] = delay; }
  void Heal()
  {
    m_without_store.clear();
    m_delays.clear();
    m_fleet.Heal();
    m_fleet.SetLoss(nullptr);
  }
  void AddNewVersion() { m_entries["b-1"] = EntryOf("b-1", m_b, "b"); }

  void BeginStreamsAtNewVersion(DaemonIndex daemon)
  {
    for (int stream = 0; stream < STREAMS; ++stream)
      m_fleet.At(daemon).dispatcher.NoteStream(
          Gateway::KeyOf(Accounts::AccountName(), IdOf(stream)), POOL,
          Gateway::SoftwareVersion("b"), std::nullopt);
  }

  void TakeUp(DaemonIndex daemon)
  {
    for (int stream = 0; stream < STREAMS; ++stream)
    {
      m_callers.push_back(std::make_unique<TestPeer>());
      TestPeer& caller = *m_callers.back();
      caller.stream = Http::TcpStream::Connect(m_listeners.at(daemon)->Local(), &caller);
      caller.stream->Write("POST /stream/ HTTP/1.1\r\nHost: shop.example\r\nReq-Id: again-" +
                           std::to_string(m_callers.size()) +
                           "\r\nLast-Event-Id: 1\r\nResumes: " + IdOf(stream) + "\r\n\r\n");
    }
  }

  std::size_t SentToOldVersion() const { return m_a.requests.size(); }
  std::size_t SentToNewVersion() const { return m_b.requests.size(); }

private:
  void Configure(DaemonIndex daemon)
  {
    Gateway::Dispatcher& dispatcher = m_fleet.At(daemon).dispatcher;
    dispatcher.Configure(
        {Common::DataCentreId("here"), UnitTests::Names(), {0.2, 100, Milliseconds(10000)}});
    auto configuration = std::make_shared<Gateway::Configuration>();
    configuration->version = 1;
    configuration->routes = {
        UnitTests::MakeRoute(UnitTests::STREAM_PATH, Gateway::Repeatability::Streaming, 2, true)};
    configuration->pools[POOL] = Gateway::Pool{POOL, "/health", 100, std::nullopt};
    configuration->limits.idle_timeout = Milliseconds(5000);
    dispatcher.SetConfiguration(configuration);
    dispatcher.OnProofAwaited([this, daemon] {
      After(STORE_RESPONSE_TIME, [this, daemon, sent_at = Common::Now()] {
        Read(daemon, sent_at);
      });
    });
    m_listeners.push_back(std::make_unique<Http::TcpListener>());
    const auto listening = m_listeners.back()->Listen({htonl(INADDR_LOOPBACK), 0},
                                                      [&dispatcher](int fd, const Http::Endpoint&) {
                                                        dispatcher.AcceptConnection(fd);
                                                      });
    CPPUNIT_ASSERT(static_cast<bool>(listening));
  }

  static Gateway::ServerEntry EntryOf(const std::string& instance, const TestServer& server,
                                      const std::string& version)
  {
    Gateway::ServerEntry entry;
    entry.version = Gateway::SoftwareVersion(version);
    entry.instance = Gateway::InstanceId(instance);
    entry.pool = POOL;
    entry.endpoint = server.Address();
    entry.data_centre = Common::DataCentreId("here");
    entry.slots = 100;
    return entry;
  }

  void FollowForTheRetentionTime(DaemonIndex daemon)
  {
    Gateway::Dispatcher& dispatcher = m_fleet.At(daemon).dispatcher;
    for (const auto& [instance, entry] : m_entries)
      dispatcher.Servers().Put(entry);
    const auto end = Common::Now();
    for (auto now = end - 2 * Gateway::StreamOrigins::RETENTION; now <= end;
         now += Milliseconds(500))
    {
      dispatcher.Servers().RecordProof(now);
      dispatcher.Versions().Observe(now);
    }
  }

  /// Calls the function after the delay, unless this object has been destroyed by then.
  void After(Milliseconds delay, std::function<void()> callback) const
  {
    Common::Reactor::Get().After(
        delay, [alive = std::weak_ptr<bool>(m_alive), callback = std::move(callback)] {
          if (!alive.expired())
            callback();
        });
  }

  void Feed()
  {
    for (DaemonIndex daemon = 0; daemon < DAEMONS; ++daemon)
      Read(daemon, Common::Now());
    m_timer.Start(FEED_INTERVAL, [this] {
      Feed();
    });
  }

  /// The daemon receives all entries, as of `moment`.
  void Read(DaemonIndex daemon, TimePoint moment)
  {
    if (m_without_store.contains(daemon))
      return;
    const auto apply = [this, daemon, moment, entries = m_entries] {
      if (m_without_store.contains(daemon))
        return;
      Gateway::Dispatcher& dispatcher = m_fleet.At(daemon).dispatcher;
      for (const auto& [instance, entry] : entries)
        dispatcher.Servers().Put(entry);
      dispatcher.NoteEntriesProven(moment);
    };
    const auto delay = m_delays.find(daemon);
    if (delay == m_delays.end())
      apply();
    else
      After(delay->second, apply);
  }

  OriginFleet m_fleet;
  TestServer m_a;
  TestServer m_b;
  std::map<std::string, Gateway::ServerEntry> m_entries;
  std::set<DaemonIndex> m_without_store;
  std::map<DaemonIndex, Milliseconds> m_delays;
  std::vector<std::unique_ptr<Http::TcpListener>> m_listeners;
  std::vector<std::unique_ptr<TestPeer>> m_callers;
  Common::OwnedTimer m_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

class LateDaemonTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LateDaemonTest);
  CPPUNIT_TEST(VersionIsMixedInAtADaemonCutOffFromAll);
  CPPUNIT_TEST(VersionIsMixedInAtADaemonCutOffFromTheStore);
  CPPUNIT_TEST(VersionIsMixedInAtADaemonCutOffFromTheOthers);
  CPPUNIT_TEST(VersionIsMixedInAtADaemonThatReceivesNothing);
  CPPUNIT_TEST(VersionIsMixedInAtADaemonThatNobodyReceives);
  CPPUNIT_TEST(VersionIsMixedInAtADaemonWithASlowFeed);
  CPPUNIT_TEST(VersionIsMixedInWhileCopiesAreLost);
  CPPUNIT_TEST_SUITE_END();

  /// Puts the late daemon out of step, takes streams of the new version up there at several
  /// moments, and again once it is back in step.
  static void CheckRelease(const std::function<void(ReleaseFleet&)>& put_out_of_step,
                           const std::vector<Milliseconds>& until_each_is_taken_up = {
                               Milliseconds(100)})
  {
    for (const Milliseconds until_taken_up : until_each_is_taken_up)
    {
      ReleaseFleet fleet;
      fleet.Fleet().RunFor(Milliseconds(200));
      put_out_of_step(fleet);
      fleet.Fleet().RunFor(Milliseconds(100));
      fleet.AddNewVersion();
      fleet.Fleet().RunFor(2 * FEED_INTERVAL);
      fleet.BeginStreamsAtNewVersion(BEGINNER);
      fleet.Fleet().RunFor(until_taken_up);
      fleet.TakeUp(LATE);
      fleet.Fleet().RunFor(LONGEST_WAIT);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.SentToOldVersion());
      fleet.Heal();
      fleet.Fleet().RunFor(Milliseconds(300));
      const std::size_t before = fleet.SentToNewVersion();
      fleet.TakeUp(LATE);
      fleet.Fleet().RunFor(Milliseconds(300));
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.SentToOldVersion());
      CPPUNIT_ASSERT_EQUAL(before + STREAMS, fleet.SentToNewVersion());
    }
  }

  static int SideOf(DaemonIndex daemon) { return daemon == LATE ? 1 : 0; }

  void VersionIsMixedInAtADaemonCutOffFromAll()
  {
    CheckRelease(
        [](ReleaseFleet& fleet) {
          fleet.CutFromStore(LATE);
          fleet.Fleet().Partition(SideOf);
        },
        {Milliseconds(100), Milliseconds(700), Milliseconds(2000)});
  }

  void VersionIsMixedInAtADaemonCutOffFromTheStore()
  {
    CheckRelease([](ReleaseFleet& fleet) {
      fleet.CutFromStore(LATE);
    });
  }

  void VersionIsMixedInAtADaemonCutOffFromTheOthers()
  {
    CheckRelease([](ReleaseFleet& fleet) {
      fleet.Fleet().Partition(SideOf);
    });
  }

  void VersionIsMixedInAtADaemonThatReceivesNothing()
  {
    CheckRelease([](ReleaseFleet& fleet) {
      fleet.CutFromStore(LATE);
      fleet.Fleet().SetLoss([](const SimulatedDatagram& datagram) {
        return datagram.to == LATE;
      });
    });
  }

  void VersionIsMixedInAtADaemonThatNobodyReceives()
  {
    CheckRelease([](ReleaseFleet& fleet) {
      fleet.CutFromStore(LATE);
      fleet.Fleet().SetLoss([](const SimulatedDatagram& datagram) {
        return datagram.from == LATE;
      });
    });
  }

  void VersionIsMixedInAtADaemonWithASlowFeed()
  {
    CheckRelease([](ReleaseFleet& fleet) {
      fleet.DelayFeed(LATE, Milliseconds(1200));
      fleet.Fleet().Partition(SideOf);
    });
  }

  /// No daemon that replies knows the streams, and their daemon does not reply.
  void VersionIsMixedInWhileCopiesAreLost()
  {
    CheckRelease([](ReleaseFleet& fleet) {
      fleet.CutFromStore(LATE);
      fleet.Fleet().SetLoss([](const SimulatedDatagram& datagram) {
        return datagram.from == BEGINNER;
      });
    });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LateDaemonTest);
} // namespace

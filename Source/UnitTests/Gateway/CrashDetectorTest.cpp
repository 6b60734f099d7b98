// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Tests when a backend server is considered to have crashed, and which requests are suspected.

#include "Gateway/CrashDetector.h"

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <unistd.h>

#include "UnitTests/Support/Loopback.h"

namespace
{
using namespace Gateway;
using Common::Milliseconds;
using Crashes::Fingerprint;
using UnitTests::RunUntil;
using UnitTests::TestServer;

constexpr Fingerprint NEW{1, 1, 1};
constexpr Fingerprint OLD{2, 2, 2};
constexpr Milliseconds LONG_RUN{5000};

/// One server on a loopback address, and the results that the detector reports for it.
class World
{
public:
  World()
  {
    detector.OnCrashed([this](const InstanceId&, Common::TimePoint, const auto& suspects) {
      for (const CrashDetector::Suspect& suspect : suspects)
        suspected.push_back(suspect.request);
    });
    detector.OnCheckDone([this] {
      check_done = true;
    });
    entry.instance = InstanceId("i-1");
    entry.endpoint = process->Address();
    directory.Put(entry);
  }

  ServerPtr Server() { return directory.All().begin()->second; }
  void Break(const Fingerprint& request, std::optional<Milliseconds> ran_for = std::nullopt)
  {
    detector.NoteConnectionEnded(Server(), {request, Common::Now(), std::nullopt, ran_for});
  }
  bool CheckCompletes()
  {
    return RunUntil([&] {
      return check_done;
    });
  }

  ServerDirectory directory;
  ServerEntry entry;
  std::unique_ptr<TestServer> process = std::make_unique<TestServer>([](auto&, const auto&) {});
  CrashDetector detector{directory};
  std::vector<Fingerprint> suspected;
  bool check_done = false;
};

class CrashDetectorTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CrashDetectorTest);
  CPPUNIT_TEST(RefusedProbeConnectionIsACrash);
  CPPUNIT_TEST(RefusedConnectionOfAnotherRequestIsACrashAtOnce);
  CPPUNIT_TEST(ResetConnectionOfARunningServerIsNoCrash);
  CPPUNIT_TEST(UnreachableServerIsNoCrash);
  CPPUNIT_TEST(PlannedShutdownIsNoCrash);
  CPPUNIT_TEST(BrokenConnectionOfAPreviousInstanceIsNoCrash);
  CPPUNIT_TEST(LongRunningRequestIsSuspectedLast);
  CPPUNIT_TEST_SUITE_END();

  void RefusedProbeConnectionIsACrash()
  {
    World world;
    world.process.reset();
    world.Break(NEW);
    CPPUNIT_ASSERT(world.detector.IsCheckPending(NEW));
    CPPUNIT_ASSERT(world.CheckCompletes());
    CPPUNIT_ASSERT(world.suspected == std::vector{NEW});
    CPPUNIT_ASSERT(!world.detector.IsCheckPending(NEW));
  }

  void RefusedConnectionOfAnotherRequestIsACrashAtOnce()
  {
    World world;
    world.Break(NEW);
    world.detector.NoteConnectionRefused(world.Server());
    CPPUNIT_ASSERT(world.check_done);
    CPPUNIT_ASSERT(world.suspected == std::vector{NEW});
  }

  void ResetConnectionOfARunningServerIsNoCrash()
  {
    World world;
    world.Break(NEW);
    CPPUNIT_ASSERT(world.CheckCompletes());
    CPPUNIT_ASSERT(world.suspected.empty());
  }

  /// During a network partition a connection attempt is not even refused. This is simulated by a
  /// listener with a full backlog, which drops connection attempts.
  void UnreachableServerIsNoCrash()
  {
    World world;
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = Http::Endpoint{htonl(INADDR_LOOPBACK), 0}.ToSockaddr();
    socklen_t size = sizeof(address);
    CPPUNIT_ASSERT_EQUAL(0, bind(fd, reinterpret_cast<const sockaddr*>(&address), size));
    CPPUNIT_ASSERT_EQUAL(0, listen(fd, 0));
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    world.entry.endpoint = Http::Endpoint::FromSockaddr(address);
    UnitTests::TestPeer filler;
    std::array<std::shared_ptr<Http::TcpStream>, 3> fillers;
    for (auto& stream : fillers)
      stream = Http::TcpStream::Connect(world.entry.endpoint, &filler);
    UnitTests::RunFor(Milliseconds(20));
    world.directory.Put(world.entry);
    world.Break(NEW);
    CPPUNIT_ASSERT(world.CheckCompletes());
    CPPUNIT_ASSERT(world.suspected.empty());
    close(fd);
  }

  void PlannedShutdownIsNoCrash()
  {
    World world;
    world.process.reset();
    const ServerPtr listed = world.Server();
    world.entry.draining = true;
    world.directory.Put(world.entry);
    world.Break(NEW);
    // Some servers never announce draining: their entry is removed while they still serve.
    world.directory.Remove(world.entry.instance);
    world.detector.NoteConnectionEnded(listed, {NEW, Common::Now(), std::nullopt, std::nullopt});
    CPPUNIT_ASSERT(!world.detector.IsCheckPending(NEW));
  }

  void BrokenConnectionOfAPreviousInstanceIsNoCrash()
  {
    World world;
    const ServerPtr before = world.Server();
    world.entry.instance = InstanceId("i-1", ServerStart(5));
    world.directory.Put(world.entry);
    world.detector.NoteConnectionEnded(before, {NEW, Common::Now(), std::nullopt, std::nullopt});
    CPPUNIT_ASSERT(!world.detector.IsCheckPending(NEW));
  }

  void LongRunningRequestIsSuspectedLast()
  {
    World world;
    world.process.reset();
    world.Break(OLD, LONG_RUN);
    world.Break(NEW, Milliseconds(20));
    CPPUNIT_ASSERT(world.CheckCompletes());
    CPPUNIT_ASSERT(world.suspected == std::vector{NEW});

    World alone;
    alone.process.reset();
    alone.Break(OLD, LONG_RUN);
    CPPUNIT_ASSERT(alone.CheckCompletes());
    CPPUNIT_ASSERT(alone.suspected == std::vector{OLD});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashDetectorTest);
} // namespace

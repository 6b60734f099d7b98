// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// A backend server may restart under the same id within one heartbeat, so that its entry never
// expires. State of the previous instance must not be applied to the new one. Instances are
// ordered by their start times, because their entries may arrive in any order.

#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Common/Loop.h"
#include "Gateway/ServerDirectory.h"
#include "Gateway/ServerDiscovery.h"
#include "platform/Decode.h"

namespace
{
using namespace Gateway;

/// The entry of the instance of server i-1 that started at `started`.
ServerEntry EntryOf(std::int64_t started, const std::string& models)
{
  const auto entry = PlatformAdapter::DecodeServerEntry(
      "i-1",
      R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":8,"state":"ready","born":)" +
          std::to_string(started) + R"(,"models":[)" + models + R"(],"seq":1})");
  CPPUNIT_ASSERT(static_cast<bool>(entry));
  return *entry;
}

constexpr const char* HOLDS_M = R"({"name":"m","version":1,"adapters":[]})";
const Artifact MODEL{ModelId("m"), AdapterId()};

class ServerRestartTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ServerRestartTest);
  CPPUNIT_TEST(RestartDiscardsTheStateOfThePreviousInstance);
  CPPUNIT_TEST(EntryOfThePreviousInstanceIsIgnored);
  CPPUNIT_TEST(EntriesOfTwoRestartsArriveOutOfOrder);
  CPPUNIT_TEST(ServerIsNotFoundAfterItsRestart);
  CPPUNIT_TEST(MalformedEntryRemovesTheServer);
  CPPUNIT_TEST_SUITE_END();

  static const Server& TheServer(const ServerDirectory& directory)
  {
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), directory.All().size());
    return *directory.All().begin()->second;
  }

  void RestartDiscardsTheStateOfThePreviousInstance()
  {
    ServerDirectory directory;
    ServerDiscovery discovery(directory);
    discovery.ApplyEntry(EntryOf(1000, HOLDS_M));
    const ServerPtr before = directory.All().begin()->second;
    const auto now = Common::Now();
    before->NoteStart(MODEL, now);
    before->SetRemoteInFlight(7);
    before->GetBackoff().NoteRejected(now);
    before->NoteMissing(MODEL, now);
    before->Health().NoteUnreachable(now);
    const std::uint64_t revision = directory.Revision();

    discovery.ApplyEntry(EntryOf(2000, HOLDS_M));
    const Server& after = TheServer(directory);
    CPPUNIT_ASSERT(after.IsAvailable(now));
    CPPUNIT_ASSERT(after.Holds(MODEL, now));
    CPPUNIT_ASSERT_EQUAL(0, after.Load());
    CPPUNIT_ASSERT(directory.Revision() > revision);
  }

  void EntryOfThePreviousInstanceIsIgnored()
  {
    ServerDirectory directory;
    ServerDiscovery discovery(directory);
    discovery.ApplyEntry(EntryOf(2000, ""));
    discovery.ApplyEntry(EntryOf(1000, HOLDS_M));
    CPPUNIT_ASSERT(!TheServer(directory).HoldsModel(ModelId("m")));
  }

  void EntriesOfTwoRestartsArriveOutOfOrder()
  {
    ServerDirectory directory;
    ServerDiscovery discovery(directory);
    discovery.ApplyEntry(EntryOf(1000, ""));
    discovery.ApplyEntry(EntryOf(3000, HOLDS_M));
    discovery.ApplyEntry(EntryOf(2000, ""));
    CPPUNIT_ASSERT(TheServer(directory).HoldsModel(ModelId("m")));
    discovery.ApplyRemoval(InstanceId("i-1"), Common::Now());
    CPPUNIT_ASSERT(directory.Empty());
  }

  /// A stream counts as lost as soon as its server has restarted.
  void ServerIsNotFoundAfterItsRestart()
  {
    ServerDirectory directory;
    ServerDiscovery discovery(directory);
    discovery.ApplyEntry(EntryOf(1000, HOLDS_M));
    const InstanceId asked = directory.All().begin()->first;
    discovery.ApplyEntry(EntryOf(2000, HOLDS_M));
    CPPUNIT_ASSERT(directory.Find(asked) == nullptr);
  }

  /// A changed entry that was malformed used to leave the previous one in use. The server must also
  /// be removed right after a store outage, when removals of entries are otherwise delayed.
  void MalformedEntryRemovesTheServer()
  {
    ServerDirectory directory;
    ServerDiscovery discovery(directory);
    discovery.ApplyEntry(EntryOf(1000, HOLDS_M));
    discovery.NoteStoreLost();
    discovery.NoteStoreRestored(Common::Now());
    discovery.ApplyMalformed(InstanceId("i-1"));
    CPPUNIT_ASSERT(directory.Empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerRestartTest);
} // namespace

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Copies of the shared tables between daemons over the loopback interface.

#include "Fleet/TableHandover.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Fleet/TableSnapshot.h"
#include "UnitTests/Support/Loopback.h"

namespace
{
using namespace Fleet;
using Common::Milliseconds;
using UnitTests::RunUntil;
using UnitTests::TestPeer;

/// One daemon with one shared table.
class Daemon
{
public:
  explicit Daemon(TableSnapshot own)
      : table(std::move(own)), handover(tables, [this](bool succeeded) {
          ++done;
          last_succeeded = succeeded;
        })
  {
    TableAccess access;
    access.version = [this] {
      return table.version;
    };
    access.snapshot = [this] {
      return table;
    };
    access.apply_snapshot = [this](const TableSnapshot& snapshot) {
      table = snapshot;
    };
    tables.push_back(std::move(access));
    CPPUNIT_ASSERT(handover.Listen(Http::Endpoint{htonl(INADDR_LOOPBACK), 0}));
  }

  bool Receives(const Http::Endpoint& source)
  {
    const int before = done;
    handover.Receive(source);
    RunUntil([&] {
      return done > before;
    });
    return done > before && last_succeeded;
  }

  TableSnapshot table;
  std::vector<TableAccess> tables;
  int done = 0;
  bool last_succeeded = false;
  TableHandover handover;
};

TableSnapshot ManyRows(int count)
{
  TableSnapshot snapshot;
  snapshot.version = 77;
  for (int i = 0; i < count; ++i)
    snapshot.rows.push_back({"key-" + std::to_string(i), "value " + std::to_string(i * 7), i + 1});
  return snapshot;
}

/// Accepts connections and sends the same bytes on each.
class ByteSource
{
public:
  ByteSource(std::string bytes, bool closes) : m_bytes(std::move(bytes)), m_closes(closes)
  {
    const auto listening = m_listener.Listen(
        Http::Endpoint{htonl(INADDR_LOOPBACK), 0}, [this](int fd, const Http::Endpoint&) {
          auto peer = std::make_unique<TestPeer>();
          peer->stream = Http::TcpStream::Adopt(fd, peer.get());
          peer->stream->Write(m_bytes);
          if (m_closes)
            peer->stream->Close();
          m_peers.push_back(std::move(peer));
        });
    CPPUNIT_ASSERT(static_cast<bool>(listening));
  }

  Http::Endpoint Address() const { return m_listener.Local(); }

private:
  std::string m_bytes;
  bool m_closes;
  std::vector<std::unique_ptr<TestPeer>> m_peers;
  Http::TcpListener m_listener;
};

class TableHandoverTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TableHandoverTest);
  CPPUNIT_TEST(ReceivedCopyEqualsTheSource);
  CPPUNIT_TEST(ReceiverServesAsASourceItself);
  CPPUNIT_TEST(SourceWithoutTablesSendsNothing);
  CPPUNIT_TEST(TruncatedCopyIsNotApplied);
  CPPUNIT_TEST(CorruptCopyIsNotApplied);
  CPPUNIT_TEST(OtherBytesAreNotApplied);
  CPPUNIT_TEST(SilentSourceIsGivenUp);
  CPPUNIT_TEST(CopyIsMuchSmallerThanTheRows);
  CPPUNIT_TEST_SUITE_END();

  void ReceivedCopyEqualsTheSource()
  {
    Daemon source(ManyRows(5000));
    Daemon receiver({});
    CPPUNIT_ASSERT(receiver.Receives(source.handover.Local()));
    CPPUNIT_ASSERT_EQUAL(source.table.version, receiver.table.version);
    CPPUNIT_ASSERT_EQUAL(source.table.rows.size(), receiver.table.rows.size());
    CPPUNIT_ASSERT_EQUAL(source.table.rows[4321].value, receiver.table.rows[4321].value);
    CPPUNIT_ASSERT_EQUAL(source.table.rows[4321].version, receiver.table.rows[4321].version);
  }

  void ReceiverServesAsASourceItself()
  {
    Daemon source(ManyRows(100));
    Daemon second({});
    Daemon third({});
    CPPUNIT_ASSERT(second.Receives(source.handover.Local()));
    CPPUNIT_ASSERT(third.Receives(second.handover.Local()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{100}, third.table.rows.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, source.handover.CopiesSent());
  }

  void SourceWithoutTablesSendsNothing()
  {
    Daemon source({});
    Daemon receiver({});
    CPPUNIT_ASSERT(!receiver.Receives(source.handover.Local()));
    CPPUNIT_ASSERT_EQUAL(1, receiver.done);
  }

  static void AssertNotApplied(const std::string& bytes, bool closes)
  {
    ByteSource source(bytes, closes);
    Daemon receiver({});
    CPPUNIT_ASSERT(!receiver.Receives(source.Address()));
    CPPUNIT_ASSERT_EQUAL(1, receiver.done);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, receiver.table.version);
    CPPUNIT_ASSERT(!receiver.handover.IsReceiving());
  }

  void TruncatedCopyIsNotApplied()
  {
    const std::string whole = PackSnapshots({ManyRows(100)});
    AssertNotApplied(whole.substr(0, whole.size() - 1), true);
    AssertNotApplied(whole.substr(0, 10), true);
  }

  void CorruptCopyIsNotApplied()
  {
    std::string bytes = PackSnapshots({ManyRows(100)});
    bytes[bytes.size() / 2] ^= 1;
    AssertNotApplied(bytes, false);
    // The number of tables differs.
    AssertNotApplied(PackSnapshots({ManyRows(1), ManyRows(1)}), false);
  }

  void OtherBytesAreNotApplied()
  {
    AssertNotApplied("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n", false);
    AssertNotApplied(std::string(64, '\xff'), false);
  }

  void SilentSourceIsGivenUp()
  {
    const auto began = Common::Now();
    AssertNotApplied("", false);
    CPPUNIT_ASSERT(Common::Now() - began < Milliseconds(1500));
  }

  void CopyIsMuchSmallerThanTheRows()
  {
    std::size_t bytes = 0;
    const TableSnapshot snapshot = ManyRows(5000);
    for (const TableRow& row : snapshot.rows)
      bytes += row.key.size() + row.value.size();
    CPPUNIT_ASSERT(PackSnapshots({snapshot}).size() < bytes / 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableHandoverTest);
} // namespace

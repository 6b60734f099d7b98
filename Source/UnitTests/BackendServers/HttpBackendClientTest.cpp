// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "BackendServers/HttpBackendClient.h"

#include <map>

#include <cppunit/extensions/HelperMacros.h>

#include "Common/Task.h"
#include "UnitTests/Support/Loopback.h"

namespace
{
using UnitTests::TestPeer;
using UnitTests::TestServer;
using Report = Common::Result<BackendServers::BackendReport>;

Common::Task<void> Fetch(BackendServers::HttpBackendClient& client, std::string address,
                         std::optional<Report>& report)
{
  report = co_await client.Report(std::move(address));
}

class HttpBackendClientTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpBackendClientTest);
  CPPUNIT_TEST(SecondCopyOfAReportIsTheNextReport);
  CPPUNIT_TEST_SUITE_END();

  /// The server sends each report again just before the next one on its connection.
  void SecondCopyOfAReportIsTheNextReport()
  {
    std::map<const TestPeer*, std::string> owed;
    int reports = 0;
    TestServer server([&](TestPeer& peer, const std::string&) {
      const std::string body = R"({"vm":"vm-1","incarnation":"i","capacity_mb":1,"running":)" +
                               std::to_string(++reports) + "}";
      const std::string response =
          "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
      peer.stream->Write(std::exchange(owed[&peer], response) + response);
    });
    BackendServers::HttpBackendClient client(Common::VmId("vm-2"));
    for (std::int64_t running = 1; running <= 3; ++running)
    {
      std::optional<Report> report;
      Common::Spawn(Fetch(client, server.Address().ToString(), report));
      CPPUNIT_ASSERT(UnitTests::RunUntil([&] {
        return report.has_value();
      }));
      CPPUNIT_ASSERT(*report);
      CPPUNIT_ASSERT_EQUAL(running, (*report)->running);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), server.peers.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpBackendClientTest);
} // namespace

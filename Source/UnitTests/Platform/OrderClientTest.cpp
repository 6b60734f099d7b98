// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Servers that send a response a second time, late, where the response to the next order or report
// is due.

#include "platform/OrderClient.h"

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/Support/Loopback.h"

namespace
{
using Common::Milliseconds;
using Orders::OrderResult;
using UnitTests::RunUntil;
using UnitTests::TestPeer;
using UnitTests::TestServer;

std::string Response(const std::string& status, const std::string& body = "")
{
  return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string Report(int sequence)
{
  return Response("200 OK", R"({"seq":)" + std::to_string(sequence) + R"(,"models":[]})");
}

/// Gives the responses in their order. Each is sent a second time just before the next one on its
/// connection.
class RepeatingServer
{
public:
  explicit RepeatingServer(std::vector<std::string> responses)
      : m_responses(std::move(responses)), m_server([this](TestPeer& peer, const std::string&) {
          std::string& owed = m_owed[&peer];
          const std::string& response = m_responses.at(m_next++);
          peer.stream->Write(owed + response);
          owed = response;
        })
  {
  }

  Http::Endpoint Address() const { return m_server.Address(); }

private:
  std::vector<std::string> m_responses;
  std::size_t m_next = 0;
  std::map<const TestPeer*, std::string> m_owed;
  TestServer m_server;
};

/// Orders and reports of one daemon to one server, one after the other.
class Holder
{
public:
  explicit Holder(const RepeatingServer& server) : m_address(server.Address()) {}

  std::optional<OrderResult> Order()
  {
    std::optional<Common::Result<OrderResult>> result;
    Orders::OrderCall call;
    call.instance = Gateway::InstanceId("i-1");
    call.endpoint = m_address;
    call.artifact.model = Gateway::ModelId("m");
    call.send_before = Common::Now() + Milliseconds(1000);
    m_channel.send(call, [&](Common::Result<OrderResult> got) {
      result = std::move(got);
    });
    CPPUNIT_ASSERT(RunUntil([&] {
      return result.has_value();
    }));
    return *result ? std::optional(**result) : std::nullopt;
  }

  /// The sequence in the report, or -1 if there is none.
  std::int64_t ReportedSequence()
  {
    std::optional<std::int64_t> sequence;
    m_channel.read_report(Gateway::InstanceId("i-1"), m_address,
                          [&](const Common::Result<Orders::ServerReport>& report) {
                            sequence = report ? report->order_sequence : -1;
                          });
    CPPUNIT_ASSERT(RunUntil([&] {
      return sequence.has_value();
    }));
    return *sequence;
  }

private:
  Http::Endpoint m_address;
  PlatformAdapter::OrderClient m_client{"vm-1", [](const auto&, const auto&, const auto&) {}};
  Orders::OrderChannel m_channel = m_client.Channel();
};

class OrderClientTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OrderClientTest);
  CPPUNIT_TEST(SecondCopyOfAnAcceptanceAcceptsTheNextOrder);
  CPPUNIT_TEST(SecondCopyOfARefusalRefusesAnAcceptedOrder);
  CPPUNIT_TEST(SecondCopyOfAReportIsTheNextReport);
  CPPUNIT_TEST(SecondCopyOfAReportConfirmsAnOrder);
  CPPUNIT_TEST_SUITE_END();

  void SecondCopyOfAnAcceptanceAcceptsTheNextOrder()
  {
    RepeatingServer server({Response("202 Accepted"), Response("409 Conflict")});
    Holder holder(server);
    CPPUNIT_ASSERT(holder.Order() == OrderResult::Accepted);
    CPPUNIT_ASSERT(holder.Order() == OrderResult::Busy);
  }

  /// The order would be sent again, elsewhere too.
  void SecondCopyOfARefusalRefusesAnAcceptedOrder()
  {
    RepeatingServer server({Response("409 Conflict"), Response("202 Accepted")});
    Holder holder(server);
    CPPUNIT_ASSERT(holder.Order() == OrderResult::Busy);
    CPPUNIT_ASSERT(holder.Order() == OrderResult::Accepted);
  }

  /// An order with an old sequence is refused, and one that was carried out is taken for lost.
  void SecondCopyOfAReportIsTheNextReport()
  {
    RepeatingServer server({Report(1), Report(2)});
    Holder holder(server);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), holder.ReportedSequence());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(2), holder.ReportedSequence());
  }

  void SecondCopyOfAReportConfirmsAnOrder()
  {
    RepeatingServer server({Report(1), Response("412 Precondition Failed"), Report(2)});
    Holder holder(server);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), holder.ReportedSequence());
    CPPUNIT_ASSERT(holder.Order() == OrderResult::Fenced);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(2), holder.ReportedSequence());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderClientTest);
} // namespace

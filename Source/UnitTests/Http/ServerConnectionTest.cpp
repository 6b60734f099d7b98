// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Http/ServerConnection.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <unistd.h>

#include "UnitTests/Support/Loopback.h"

namespace
{
using Common::Milliseconds;

constexpr std::string_view REQUEST = "GET /page/ HTTP/1.1\r\nHost: shop.test\r\n\r\n";

class CountingHandler : public Http::RequestHandler
{
public:
  void OnRequest(const std::shared_ptr<Http::ServerConnection>& connection,
                 Http::ReceivedRequest) override
  {
    ++requests;
    connection->Respond(200, "OK", {}, body);
  }
  const Http::ServerLimits& Limits() const override { return limits; }
  bool IsStopping() const override { return false; }

  Http::ServerLimits limits;
  std::string body;
  int requests = 0;
};

/// Responds, and then tries to send another response to the same request piece by piece.
class RespondingTwice : public CountingHandler
{
public:
  void OnRequest(const std::shared_ptr<Http::ServerConnection>& connection,
                 Http::ReceivedRequest) override
  {
    ++requests;
    connection->Respond(200, "OK", {}, "first");
    connection->BeginBody(200, "OK", {});
    connection->SendBody("second");
    connection->EndBody();
  }
};

class ServerConnectionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ServerConnectionTest);
  CPPUNIT_TEST(AnswersRequestAtIdleTimeout);
  CPPUNIT_TEST(RaisedIdleTimeoutAppliesToIdleConnections);
  CPPUNIT_TEST(ClosesIdleConnections);
  CPPUNIT_TEST(BodyOfASecondResponseIsSentWithoutItsHead);
  CPPUNIT_TEST(ResponseIsCutOffAtIdleTimeout);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    m_handler = std::make_unique<CountingHandler>();
    m_handler->limits.idle_timeout = Milliseconds(20);
    std::array<int, 2> ends{};
    CPPUNIT_ASSERT_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()));
    m_peer = ends[1];
    m_connection = Http::ServerConnection::Adopt(ends[0], *m_handler);
  }

  void tearDown() override
  {
    m_connection->CloseIfIdle();
    m_connection.reset();
    close(m_peer);
  }

  /// In a busy process, the idle timeout and the timer that sends the request are both due in the
  /// same loop iteration, so the request arrives after the sockets were last polled.
  void AnswersRequestAtIdleTimeout()
  {
    Common::Reactor::Get().After(Milliseconds(10), [this] {
      SendRequest();
    });
    std::this_thread::sleep_for(Milliseconds(40));
    CPPUNIT_ASSERT(UnitTests::RunUntil(
        [this] {
          return m_handler->requests == 1;
        },
        Milliseconds(500)));
  }

  void RaisedIdleTimeoutAppliesToIdleConnections()
  {
    m_handler->limits.idle_timeout = Milliseconds(10000);
    UnitTests::RunFor(Milliseconds(60));
    CPPUNIT_ASSERT(m_connection->IsOpen());
    SendRequest();
    CPPUNIT_ASSERT(UnitTests::RunUntil([this] {
      return m_handler->requests == 1;
    }));
  }

  void BodyOfASecondResponseIsSentWithoutItsHead()
  {
    RespondingTwice handler;
    std::array<int, 2> ends{};
    CPPUNIT_ASSERT_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()));
    const auto connection = Http::ServerConnection::Adopt(ends[0], handler);
    CPPUNIT_ASSERT(write(ends[1], REQUEST.data(), REQUEST.size()) > 0);
    UnitTests::RunFor(Milliseconds(50));
    std::array<char, 1024> buffer{};
    const ssize_t count = read(ends[1], buffer.data(), buffer.size());
    close(ends[1]);
    CPPUNIT_ASSERT_EQUAL(1, handler.requests);
    CPPUNIT_ASSERT(count > 0);
    CPPUNIT_ASSERT(std::string_view(buffer.data(), static_cast<std::size_t>(count))
                       .ends_with("\r\n\r\nfirst"));
  }

  void ClosesIdleConnections()
  {
    CPPUNIT_ASSERT(UnitTests::RunUntil([this] {
      return !m_connection->IsOpen();
    }));
  }

  /// A caller that takes longer than the idle timeout to read a response still gets all of it.
  void ResponseIsCutOffAtIdleTimeout()
  {
    m_handler->body = std::string(std::size_t{4} << 20U, 'x');
    SendRequest();
    UnitTests::RunFor(Milliseconds(100));
    CPPUNIT_ASSERT(m_connection->UnsentBytes() > 0);
    CPPUNIT_ASSERT(m_connection->IsOpen());
    std::size_t received = 0;
    std::array<char, 65536> buffer{};
    CPPUNIT_ASSERT(UnitTests::RunUntil([&] {
      const auto count = read(m_peer, buffer.data(), buffer.size());
      received += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
      return count == 0;
    }));
    CPPUNIT_ASSERT(received > m_handler->body.size());
    CPPUNIT_ASSERT(!m_connection->IsOpen());
  }

private:
  void SendRequest() const
  {
    const auto sent = static_cast<std::size_t>(write(m_peer, REQUEST.data(), REQUEST.size()));
    CPPUNIT_ASSERT_EQUAL(REQUEST.size(), sent);
  }

  std::unique_ptr<CountingHandler> m_handler;
  std::shared_ptr<Http::ServerConnection> m_connection;
  int m_peer = -1;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerConnectionTest);
} // namespace

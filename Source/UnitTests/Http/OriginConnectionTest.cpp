// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Http/OriginConnection.h"

#include <optional>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <unistd.h>

#include "UnitTests/Support/CutResponses.h"
#include "UnitTests/Support/ExchangeRecorder.h"

namespace
{
using Common::Milliseconds;
using UnitTests::ExchangeRecorder;

/// Pauses reading with each piece of a response's body.
class PausingRecorder : public ExchangeRecorder
{
public:
  void OnResponseBody(std::string_view) override { connection->SetReading(false); }

  std::shared_ptr<Http::OriginConnection> connection;
};

/// A listening port with a full accept queue, so that the kernel drops further connection requests.
class FullPort
{
public:
  FullPort()
  {
    m_fds.push_back(socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in address = Http::Endpoint{htonl(INADDR_LOOPBACK), 0}.ToSockaddr();
    socklen_t size = sizeof(address);
    auto* raw = reinterpret_cast<sockaddr*>(&address);
    CPPUNIT_ASSERT_EQUAL(0, bind(m_fds[0], raw, size));
    CPPUNIT_ASSERT_EQUAL(0, listen(m_fds[0], 0));
    CPPUNIT_ASSERT_EQUAL(0, getsockname(m_fds[0], raw, &size));
    m_endpoint = Http::Endpoint::FromSockaddr(address);
    constexpr int MORE_THAN_BACKLOG = 4;
    for (int i = 0; i < MORE_THAN_BACKLOG; ++i)
    {
      m_fds.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      (void)connect(m_fds.back(), raw, size);
    }
  }
  ~FullPort()
  {
    for (const int fd : m_fds)
      close(fd);
  }
  FullPort(const FullPort&) = delete;
  FullPort& operator=(const FullPort&) = delete;

  const Http::Endpoint& Address() const { return m_endpoint; }

private:
  std::vector<int> m_fds;
  Http::Endpoint m_endpoint;
};

class OriginConnectionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OriginConnectionTest);
  CPPUNIT_TEST(UnacceptedConnectionTimesOut);
  CPPUNIT_TEST(ResponseMayTakeLongerThanConnectTimeout);
  CPPUNIT_TEST(ConnectionPausedAtTheEndOfAResponseIsNeverReadAgain);
  CPPUNIT_TEST(ConnectionWithALongIdleLimitIsReusable);
  CPPUNIT_TEST(ResponseResetDuringAnUploadLooksComplete);
  CPPUNIT_TEST(WholeResponseBeforeAResetIsLost);
  CPPUNIT_TEST_SUITE_END();

  void UnacceptedConnectionTimesOut()
  {
    const FullPort port;
    ExchangeRecorder events;
    const auto connection = Http::OriginConnection::Connect(port.Address());
    connection->Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n", &events);
    CPPUNIT_ASSERT(UnitTests::RunUntil(
        [&] {
          return events.error.has_value();
        },
        Milliseconds(800)));
    CPPUNIT_ASSERT(*events.error == Http::ExchangeError::ConnectTimedOut);
    CPPUNIT_ASSERT(!connection->HasSent());
  }

  void ResponseMayTakeLongerThanConnectTimeout()
  {
    UnitTests::TestServer server([](UnitTests::TestPeer&, const std::string&) {});
    ExchangeRecorder events;
    const auto connection = Http::OriginConnection::Connect(server.Address());
    connection->Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n", &events);
    UnitTests::RunFor(Milliseconds(600));
    CPPUNIT_ASSERT(!events.error);
    connection->Abandon();
  }

  /// The caller of a stream may have unread bytes when the stream ends; the connection to the
  /// server is then returned with reading paused, and its next response must be read nevertheless.
  void ConnectionPausedAtTheEndOfAResponseIsNeverReadAgain()
  {
    UnitTests::TestServer server([](UnitTests::TestPeer& peer, const std::string&) {
      peer.stream->Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
    });
    PausingRecorder first;
    first.connection = Http::OriginConnection::Connect(server.Address());
    first.connection->Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n", &first);
    CPPUNIT_ASSERT(UnitTests::RunUntil([&] {
      return first.ended;
    }));
    CPPUNIT_ASSERT(first.connection->IsReusable(Common::Now()));
    ExchangeRecorder second;
    first.connection->Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n", &second);
    CPPUNIT_ASSERT(UnitTests::RunUntil(
        [&] {
          return second.ended;
        },
        Milliseconds(500)));
    first.connection->Abandon();
  }

  void ConnectionWithALongIdleLimitIsReusable()
  {
    UnitTests::TestServer server([](UnitTests::TestPeer& peer, const std::string&) {
      peer.stream->Write(
          "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2147484\r\nContent-Length: 0\r\n\r\n");
    });
    ExchangeRecorder events;
    const auto connection = Http::OriginConnection::Connect(server.Address());
    connection->Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n", &events);
    CPPUNIT_ASSERT(UnitTests::RunUntil([&] {
      return events.ended;
    }));
    CPPUNIT_ASSERT(connection->IsReusable(Common::Now()));
    connection->Abandon();
  }

  /// A server that responds in the middle of an upload, of which it reads nothing, and resets the
  /// connection.
  static UnitTests::TestServer RespondingEarly(const std::string& response)
  {
    return UnitTests::TestServer([response](UnitTests::TestPeer& peer, const std::string&) {
      peer.stream->SetReading(false);
      peer.stream->Write(response);
      UnitTests::EndSoon(peer, UnitTests::Ending::Reset);
    });
  }

  static void Upload(const UnitTests::TestServer& server, ExchangeRecorder& events)
  {
    const auto connection = Http::OriginConnection::Connect(server.Address());
    connection->Send(UnitTests::LongUpload(), &events);
    CPPUNIT_ASSERT(UnitTests::RunUntil([&] {
      return events.ended || events.error;
    }));
    CPPUNIT_ASSERT(!connection->IsReusable(Common::Now()));
    CPPUNIT_ASSERT(connection->UnsentBytes() > 0);
  }

  /// The kernel reports a reset once: to the write of the upload, after which the read found an
  /// orderly end.
  void ResponseResetDuringAnUploadLooksComplete()
  {
    const auto server = RespondingEarly("HTTP/1.1 200 OK\r\n\r\npart");
    ExchangeRecorder events;
    Upload(server, events);
    CPPUNIT_ASSERT(!events.ended);
    CPPUNIT_ASSERT(*events.error == Http::ExchangeError::Reset);
  }

  /// A final response may come before the server has read the request, and is whole by its length.
  void WholeResponseBeforeAResetIsLost()
  {
    const auto server = RespondingEarly("HTTP/1.1 413 Long\r\nContent-Length: 4\r\n\r\nlong");
    ExchangeRecorder events;
    Upload(server, events);
    CPPUNIT_ASSERT(events.ended);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OriginConnectionTest);
} // namespace

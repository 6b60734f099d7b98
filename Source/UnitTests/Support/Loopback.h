// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <cppunit/TestAssert.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Common/Loop.h"
#include "Http/TcpStream.h"

/// Scripted peers on the loopback interface, and helpers to run the main loop.
namespace UnitTests
{
/// Runs the main loop until `done` returns true, at most for `limit`; returns `done()`.
inline bool RunUntil(const std::function<bool()>& done,
                     Common::Milliseconds limit = Common::Milliseconds(3000))
{
  const auto end = Common::Now() + limit;
  while (!done() && Common::Now() < end)
  {
    // Wakes the loop regularly, so that a lost event leads to a failed check and not to a hang.
    Common::Reactor::TimerId wake = Common::Reactor::Get().After(Common::Milliseconds(5), [] {});
    g_main_context_iteration(nullptr, TRUE);
    Common::Reactor::Get().Cancel(wake);
  }
  return done();
}

inline void RunFor(Common::Milliseconds span)
{
  RunUntil(
      [] {
        return false;
      },
      span);
}

/// Calls a function after 1 ms, unless this object has been destroyed by then.
class DeferredCaller
{
public:
  void Call(std::function<void()> callback) const
  {
    const std::weak_ptr<bool> alive = m_alive;
    Common::Reactor::Get().After(Common::Milliseconds(1), [alive, callback = std::move(callback)] {
      if (!alive.expired())
        callback();
    });
  }

private:
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// One connection of a test; records the received bytes.
class TestPeer : public Http::StreamEvents
{
public:
  using BytesHandler = std::function<void(TestPeer&)>;

  void OnBytes(std::string_view bytes) override
  {
    received.append(bytes);
    if (on_bytes)
      on_bytes(*this);
  }
  void OnEnd(Http::StreamEnd how) override
  {
    ended = true;
    end = how;
  }

  std::shared_ptr<Http::TcpStream> stream;
  std::string received;
  bool ended = false;
  Http::StreamEnd end = Http::StreamEnd::Closed;
  BytesHandler on_bytes;
};

/// Accepts connections and calls the handler for each complete request head. Request bodies are not
/// parsed; a handler that expects one has to read it.
class TestServer
{
public:
  using RequestHandler = std::function<void(TestPeer& peer, const std::string& head)>;

  explicit TestServer(RequestHandler handler) : m_handler(std::move(handler))
  {
    const auto listening = m_listener.Listen(Http::Endpoint{htonl(INADDR_LOOPBACK), 0},
                                             [this](int fd, const Http::Endpoint&) {
                                               Accept(fd);
                                             });
    g_assert(static_cast<bool>(listening));
  }

  Http::Endpoint Address() const { return m_listener.Local(); }

  std::vector<std::string> requests; ///< Heads in the order of their arrival.
  std::vector<std::unique_ptr<TestPeer>> peers;

private:
  void Accept(int fd)
  {
    auto peer = std::make_unique<TestPeer>();
    peer->on_bytes = [this](TestPeer& from) {
      for (auto end = from.received.find("\r\n\r\n"); end != std::string::npos;
           end = from.received.find("\r\n\r\n"))
      {
        const std::string head = from.received.substr(0, end + 4);
        from.received.erase(0, end + 4);
        requests.push_back(head);
        m_handler(from, head);
      }
    };
    peer->stream = Http::TcpStream::Adopt(fd, peer.get());
    peers.push_back(std::move(peer));
  }

  RequestHandler m_handler;
  Http::TcpListener m_listener;
};

/// Responds to every request with the same body, sent at the speed of a 10 Mbit/s link.
class ThrottledServer
{
public:
  explicit ThrottledServer(const std::string& body)
      : m_answer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                 body),
        m_server([this](TestPeer& peer, const std::string&) {
          Begin(peer);
        })
  {
  }

  Http::Endpoint Address() const { return m_server.Address(); }
  std::size_t Calls() const { return m_server.requests.size(); }
  /// Stops sending each response after its first `bytes` bytes.
  void StopSendingAfter(std::size_t bytes) { m_limit = bytes; }

private:
  static constexpr std::size_t BYTES_PER_MS = 1250;
  static constexpr Common::Milliseconds TICK{10};

  void Begin(TestPeer& peer)
  {
    m_peer = &peer;
    m_sent = 0;
    SendNext();
  }

  void SendNext()
  {
    const std::size_t end = std::min(m_answer.size(), m_limit);
    const auto piece = std::min<std::size_t>(BYTES_PER_MS * TICK.count(), end - m_sent);
    if (piece == 0 || m_peer->ended)
      return;
    m_peer->stream->Write(std::string_view(m_answer).substr(m_sent, piece));
    m_sent += piece;
    m_timer.Start(TICK, [this] {
      SendNext();
    });
  }

  std::string m_answer;
  std::size_t m_limit = std::string::npos;
  std::size_t m_sent = 0;
  TestPeer* m_peer = nullptr;
  Common::OwnedTimer m_timer;
  TestServer m_server;
};

/// A loopback endpoint whose UDP and TCP ports are currently free. The ports lie below those that
/// the kernel gives to outgoing connections.
inline Http::Endpoint FreeEndpoint()
{
  constexpr std::uint16_t FIRST_PORT = 12000;
  constexpr std::uint16_t PORTS = 18000;
  static std::uint32_t s_next = static_cast<std::uint32_t>(getpid()) * 131;
  const auto is_free = [](const Http::Endpoint& endpoint, int type) {
    const int fd = socket(AF_INET, type, 0);
    const sockaddr_in address = endpoint.ToSockaddr();
    const int status = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    close(fd);
    return status == 0;
  };
  while (true)
  {
    const auto port = static_cast<std::uint16_t>(FIRST_PORT + s_next++ % PORTS);
    const Http::Endpoint endpoint{htonl(INADDR_LOOPBACK), port};
    if (is_free(endpoint, SOCK_DGRAM) && is_free(endpoint, SOCK_STREAM))
      return endpoint;
  }
}

/// The value of a header in a raw message head; empty if the header is missing.
inline std::string HeaderOf(const std::string& head, const std::string& name)
{
  const auto at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos)
    return "";
  const auto begin = at + name.size() + 4;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}
} // namespace UnitTests

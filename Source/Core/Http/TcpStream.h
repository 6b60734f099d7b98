// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <netinet/in.h>

#include "Common/Failure.h"
#include "Common/Reactor.h"

namespace Http
{
/// An IPv4 address and port. Host names are never resolved.
struct Endpoint
{
  std::uint32_t address = 0; ///< Network byte order.
  std::uint16_t port = 0;    ///< Host byte order.

  auto operator<=>(const Endpoint&) const = default;
  sockaddr_in ToSockaddr() const;
  std::string ToString() const;
  /// Parses "IP:PORT". Fails with InvalidInput.
  static Common::Result<Endpoint> Parse(std::string_view text);
  static Endpoint FromSockaddr(const sockaddr_in& address);
};

/// How a connection ended.
enum class StreamEnd
{
  Closed, ///< The peer closed the connection in an orderly way, and no write to it has failed.
  Reset,  ///< The connection was reset or failed.
  SendDeadlinePassed, ///< The send deadline passed with output unsent, which was dropped.
};

/// How the kernel treats bytes that it has accepted but the peer has not acknowledged.
struct SocketOptions
{
  /// TCP_USER_TIMEOUT: how long the kernel retransmits them before it fails the connection. A peer
  /// behind a network partition sends nothing, and without a limit a write to it would hang for
  /// minutes.
  Common::Milliseconds user_timeout{3000};
  /// Drops them when the socket is closed, also by the exit of the process (SO_LINGER with a time
  /// of 0). Otherwise the kernel keeps sending them after a plain close.
  bool reset_on_close = false;
};

/// No send deadline: bytes may be sent at any time.
inline constexpr Common::TimePoint NO_SEND_DEADLINE = Common::TimePoint::max();

/// Sets the local IPv4 address of all outgoing connections of this process, for VMs with several;
/// without one the kernel chooses it. Fails with InvalidInput if the text is no address of this VM.
Common::Result<Common::Done> SetSourceAddress(const std::string& address);

/// Receives the events of a `TcpStream`. A call may destroy the stream's owner.
class StreamEvents
{
public:
  virtual ~StreamEvents() = default;
  virtual void OnConnected() {}
  virtual void OnBytes(std::string_view bytes) = 0;
  virtual void OnEnd(StreamEnd end) = 0;
  /// Called when the event loop has handed all output to the kernel.
  virtual void OnOutputFlushed() {}
};

/// A non-blocking TCP connection on the reactor, with an output buffer.
class TcpStream : public Common::DescriptorHandler, public std::enable_shared_from_this<TcpStream>
{
public:
  /// Starts to connect; `OnConnected` or `OnEnd` follows from the main loop, also where the kernel
  /// refuses at once. Returns nullptr where no socket can be opened.
  static std::shared_ptr<TcpStream> Connect(const Endpoint& peer, StreamEvents* events,
                                            const SocketOptions& options = {});
  /// Takes ownership of an accepted descriptor.
  static std::shared_ptr<TcpStream> Adopt(int fd, StreamEvents* events);

  ~TcpStream() override;
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  /// Output that the kernel has not accepted by `send_deadline` is dropped and the connection ends
  /// with `SendDeadlinePassed`: the process may have been suspended, and the request may no longer
  /// be valid.
  void Write(std::string_view bytes, Common::TimePoint send_deadline = NO_SEND_DEADLINE);
  /// Pauses or resumes reading; while paused, TCP flow control throttles the peer.
  void SetReading(bool reading);
  /// Closes the connection without further events. Bytes that the kernel has accepted are still
  /// sent, unless `SocketOptions::reset_on_close` is set.
  void Close();
  /// Whether `Close`, or the exit of the process, resets the connection instead of closing it in an
  /// orderly way.
  void SetResetOnClose(bool reset);
  /// Resets the connection, so that the peer cannot mistake what it received for complete.
  void Reset();

  bool IsOpen() const { return m_fd >= 0; }
  bool IsConnected() const { return m_connected; }
  /// True if this VM's kernel refused to connect, so that the peer knows nothing of it.
  bool IsRefusedHere() const { return m_is_refused; }
  std::size_t Unsent() const { return m_out.size() - m_out_begin; }
  /// True if the kernel has accepted at least one byte.
  bool HasSent() const { return m_sent > 0; }
  /// Peeks at an idle connection: false if the peer has closed it or sent bytes.
  bool IsStillIdle() const;

  void OnDescriptorEvents(std::uint32_t events) override;

private:
  TcpStream(int fd, StreamEvents* events, bool connected, const SocketOptions& options);

  void Arm();
  void FinishConnect();
  void ReadAvailable();
  /// Hands as much output to the kernel as it accepts. Returns false if the send deadline has
  /// passed.
  bool Flush();
  void Fail(StreamEnd end);

  int m_fd = -1;
  std::uint64_t m_watch = 0;
  std::uint32_t m_armed = 0;
  StreamEvents* m_events;
  bool m_connected;
  bool m_is_refused = false; ///< The kernel has refused to connect; reported by the next event.
  bool m_reading = true;
  std::string m_out;
  std::size_t m_out_begin = 0;
  std::uint64_t m_sent = 0;
  /// The kernel reports a failed connection once. If a write has got the error, a read finds what
  /// was received before, and then an end like that of an orderly close.
  bool m_write_failed = false;
  Common::TimePoint m_send_deadline = NO_SEND_DEADLINE;
};

/// Accepts incoming TCP connections.
class TcpListener : public Common::DescriptorHandler
{
public:
  using AcceptHandler = std::function<void(int fd, const Endpoint& peer)>;

  ~TcpListener() override;
  TcpListener() = default;
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  Common::Result<Common::Done> Listen(const Endpoint& local, AcceptHandler handler);
  /// Returns the bound address, with the actual port where port 0 was requested.
  Endpoint Local() const;
  int Descriptor() const { return m_fd; }
  void OnDescriptorEvents(std::uint32_t events) override;

private:
  int m_fd = -1;
  std::uint64_t m_watch = 0;
  AcceptHandler m_handler;
};
} // namespace Http

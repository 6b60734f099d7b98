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
/// An IPv4 address with its port. Names are never looked up.
struct Endpoint
{
  std::uint32_t address = 0; ///< Network byte order.
  std::uint16_t port = 0;    ///< Host byte order.

  auto operator<=>(const Endpoint&) const = default;
  sockaddr_in ToSockaddr() const;
  std::string ToString() const;
  /// Reads "IP:PORT". Fails with InvalidInput.
  static Common::Result<Endpoint> Parse(std::string_view text);
  static Endpoint FromSockaddr(const sockaddr_in& address);
};

/// How a connection ended.
enum class StreamEnd
{
  Closed,  ///< The peer closed in order.
  Reset,   ///< The peer or the network broke it.
  TooLate, ///< What was to be written had not gone out by its time; it never will.
};

/// What the kernel does with bytes that it has taken and the peer has not acknowledged.
struct KernelLimits
{
  /// So long it sends them again; then the connection is broken. A peer behind a cut says nothing,
  /// and without a limit a write to it would hang for minutes.
  Common::Milliseconds unacknowledged{3000};
  /// They are dropped when the connection ends, also by the end of the process. Else the kernel
  /// goes on sending after a plain close.
  bool dropped_at_end = false;
};

/// No limit: bytes may go out whenever the connection takes them.
inline constexpr Common::TimePoint ANY_TIME = Common::TimePoint::max();

/// Told what happens on a `TcpStream`. A call may destroy the stream's owner.
class StreamEvents
{
public:
  virtual ~StreamEvents() = default;
  virtual void OnConnected() {}
  virtual void OnBytes(std::string_view bytes) = 0;
  virtual void OnEnd(StreamEnd end) = 0;
  /// All that was written has gone to the kernel.
  virtual void OnDrained() {}
};

/// A nonblocking TCP connection on the reactor, with an output buffer.
class TcpStream : public Common::DescriptorHandler, public std::enable_shared_from_this<TcpStream>
{
public:
  /// Begins to connect; `OnConnected` or `OnEnd` follows.
  static std::shared_ptr<TcpStream> Connect(const Endpoint& peer, StreamEvents* events,
                                            const KernelLimits& limits = {});
  /// Takes over an accepted descriptor.
  static std::shared_ptr<TcpStream> Adopt(int fd, StreamEvents* events);

  ~TcpStream() override;
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  /// What has not gone to the kernel at `before` is dropped, and the connection ends with
  /// `TooLate`: the process may have been frozen since, and what the bytes ask for no longer holds.
  void Write(std::string_view bytes, Common::TimePoint before = ANY_TIME);
  /// Stops or resumes reading: the peer is then held up by its window.
  void SetReading(bool reading);
  /// Ends the connection; bytes that were written still go out where the kernel has taken them.
  /// No event comes any more.
  void Close();
  /// Ends the connection by a reset, so that the peer cannot take what it got for whole.
  void Reset();

  bool IsOpen() const { return m_fd >= 0; }
  bool IsConnected() const { return m_connected; }
  std::size_t Unsent() const { return m_out.size() - m_out_begin; }
  /// True where at least one byte has gone to the kernel.
  bool HasSent() const { return m_sent > 0; }
  /// Looks at an idle connection without reading: false where the peer closed it or sent something.
  bool IsQuiet() const;

  void OnDescriptorEvents(std::uint32_t events) override;

private:
  TcpStream(int fd, StreamEvents* events, bool connected, const KernelLimits& limits);

  void Arm();
  void FinishConnect();
  void ReadAll();
  /// Gives what the kernel takes to it. False where it is too late for that.
  bool Flush();
  void Fail(StreamEnd end);

  int m_fd = -1;
  std::uint64_t m_watch = 0;
  std::uint32_t m_armed = 0;
  StreamEvents* m_events;
  bool m_connected;
  bool m_reading = true;
  std::string m_out;
  std::size_t m_out_begin = 0;
  std::uint64_t m_sent = 0;
  Common::TimePoint m_write_before = ANY_TIME;
};

/// Listens for connections.
class TcpListener : public Common::DescriptorHandler
{
public:
  using AcceptHandler = std::function<void(int fd, const Endpoint& peer)>;

  ~TcpListener() override;
  TcpListener() = default;
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  Common::Result<Common::Done> Listen(const Endpoint& local, AcceptHandler handler);
  /// The address in use; tells the port where port 0 was asked for.
  Endpoint Local() const;
  void OnDescriptorEvents(std::uint32_t events) override;

private:
  int m_fd = -1;
  std::uint64_t m_watch = 0;
  AcceptHandler m_handler;
};
} // namespace Http

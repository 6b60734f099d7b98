// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Http/TcpStream.h"

#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <optional>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Common/Loop.h"

namespace Http
{
namespace
{
constexpr std::size_t READ_BYTES = 32768;
constexpr int LISTEN_BACKLOG = 1024;
constexpr int ACCEPTS_PER_TURN = 64;
/// TCP keep-alive of idle connections: seconds until the first probe, seconds between probes, and
/// the number of unanswered probes after which the connection fails.
constexpr int KEEPALIVE_IDLE_S = 2;
constexpr int KEEPALIVE_INTERVAL_S = 1;
constexpr int KEEPALIVE_PROBES = 2;

/// Local address of outgoing connections, with port 0; none: the kernel chooses it.
std::optional<sockaddr_in> s_source;

template <typename T>
void SetOption(int fd, int level, int name, T value)
{
  // If the kernel lacks an option, its default applies, which detects a failed peer later.
  (void)setsockopt(fd, level, name, &value, sizeof(value));
}

/// With a linger time of 0 the kernel resets the connection when the socket is closed.
void SetLinger(int fd, bool reset_on_close)
{
  SetOption(fd, SOL_SOCKET, SO_LINGER, linger{reset_on_close ? 1 : 0, 0});
}

void PrepareSocket(int fd, const SocketOptions& options)
{
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<unsigned>(options.user_timeout.count()));
  if (options.reset_on_close)
    SetLinger(fd, true);
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
}
} // namespace

sockaddr_in Endpoint::ToSockaddr() const
{
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_addr.s_addr = address;
  result.sin_port = htons(port);
  return result;
}

std::string Endpoint::ToString() const
{
  std::array<char, INET_ADDRSTRLEN> text{};
  in_addr ip{};
  ip.s_addr = address;
  inet_ntop(AF_INET, &ip, text.data(), text.size());
  return std::string(text.data()) + ":" + std::to_string(port);
}

Endpoint Endpoint::FromSockaddr(const sockaddr_in& address)
{
  return Endpoint{address.sin_addr.s_addr, ntohs(address.sin_port)};
}

Common::Result<Endpoint> Endpoint::Parse(std::string_view text)
{
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return {Common::FailureKind::InvalidInput, "not IP:PORT: " + std::string(text)};
  Endpoint result;
  const std::string ip(text.substr(0, colon));
  in_addr parsed{};
  const std::string_view port = text.substr(colon + 1);
  const auto read = std::from_chars(port.data(), port.data() + port.size(), result.port);
  if (inet_pton(AF_INET, ip.c_str(), &parsed) != 1 || read.ec != std::errc() ||
      read.ptr != port.data() + port.size())
    return {Common::FailureKind::InvalidInput, "not IP:PORT: " + std::string(text)};
  result.address = parsed.s_addr;
  return result;
}

namespace
{
/// Binds an unconnected socket to the source address, if one is set. Returns false if that fails.
bool BindToSource(int fd)
{
  if (!s_source)
    return true;
  // The port is chosen when the socket is connected, so that one port serves many peers.
  SetOption(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1);
  return bind(fd, reinterpret_cast<const sockaddr*>(&*s_source), sizeof(*s_source)) == 0;
}
} // namespace

Common::Result<Common::Done> SetSourceAddress(const std::string& address)
{
  const auto endpoint = Endpoint::Parse(address + ":0");
  if (!endpoint)
    return {Common::FailureKind::InvalidInput, "not an IPv4 address: " + address};
  s_source = endpoint->ToSockaddr();
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const bool is_local = fd >= 0 && BindToSource(fd);
  const std::string reason = std::strerror(errno);
  close(fd);
  if (is_local)
    return Common::Done{};
  s_source.reset();
  return {Common::FailureKind::InvalidInput, address + ": " + reason};
}

TcpStream::TcpStream(int fd, StreamEvents* events, bool connected, const SocketOptions& options)
    : m_fd(fd), m_events(events), m_connected(connected)
{
  PrepareSocket(fd, options);
  m_armed = connected ? EPOLLIN : EPOLLOUT;
  m_watch = Common::Reactor::Get().Watch(fd, m_armed, this);
}

TcpStream::~TcpStream()
{
  Close();
}

std::shared_ptr<TcpStream> TcpStream::Connect(const Endpoint& peer, StreamEvents* events,
                                              const SocketOptions& options)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return nullptr;
  if (!BindToSource(fd))
  {
    close(fd);
    return nullptr;
  }
  const sockaddr_in address = peer.ToSockaddr();
  const int status = connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  const bool is_refused = status != 0 && errno != EINPROGRESS;
  std::shared_ptr<TcpStream> stream(new TcpStream(fd, events, false, options));
  // The descriptor of a socket that is not connecting has an event at once.
  stream->m_is_refused = is_refused;
  return stream;
}

std::shared_ptr<TcpStream> TcpStream::Adopt(int fd, StreamEvents* events)
{
  return std::shared_ptr<TcpStream>(new TcpStream(fd, events, true, {}));
}

void TcpStream::Arm()
{
  if (m_fd < 0)
    return;
  std::uint32_t wanted = m_reading && m_connected ? EPOLLIN : 0U;
  if (!m_connected || Unsent() > 0)
    wanted |= EPOLLOUT;
  if (wanted == m_armed)
    return;
  m_armed = wanted;
  Common::Reactor::Get().Rearm(m_watch, m_fd, wanted);
}

void TcpStream::Write(std::string_view bytes, Common::TimePoint send_deadline)
{
  if (m_fd < 0 || bytes.empty())
    return;
  m_out.append(bytes);
  m_send_deadline = send_deadline;
  // A passed deadline is detected again in the next loop iteration, which ends the connection.
  if (m_connected)
    (void)Flush();
  Arm();
}

bool TcpStream::Flush()
{
  while (Unsent() > 0)
  {
    // Checked right before sending, since the process may be suspended between any two steps.
    if (m_send_deadline != NO_SEND_DEADLINE && Common::Now() >= m_send_deadline)
      return false;
    const ssize_t count = send(m_fd, m_out.data() + m_out_begin, Unsent(), MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR)
      continue;
    if (count <= 0)
    {
      // What was received before is still read; the end of the connection is an event of its own.
      m_write_failed = m_write_failed || (errno != EAGAIN && errno != EWOULDBLOCK);
      return true;
    }
    m_sent += static_cast<std::uint64_t>(count);
    m_out_begin += static_cast<std::size_t>(count);
  }
  m_out.clear();
  m_out_begin = 0;
  return true;
}

void TcpStream::SetReading(bool reading)
{
  m_reading = reading;
  Arm();
}

void TcpStream::Close()
{
  if (m_fd < 0)
    return;
  Common::Reactor::Get().Unwatch(m_watch, m_fd);
  close(m_fd);
  m_fd = -1;
}

void TcpStream::Reset()
{
  if (m_fd < 0)
    return;
  SetLinger(m_fd, true);
  Close();
}

void TcpStream::SetResetOnClose(bool reset)
{
  if (m_fd >= 0)
    SetLinger(m_fd, reset);
}

bool TcpStream::IsStillIdle() const
{
  if (m_fd < 0)
    return false;
  char byte = 0;
  const ssize_t count = recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void TcpStream::FinishConnect()
{
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (m_is_refused || error != 0)
  {
    Fail(StreamEnd::Reset);
    return;
  }
  m_connected = true;
  m_events->OnConnected();
  if (m_fd < 0)
    return;
  if (!Flush())
  {
    Fail(StreamEnd::SendDeadlinePassed);
    return;
  }
  Arm();
}

void TcpStream::ReadAvailable()
{
  std::array<char, READ_BYTES> buffer;
  const ssize_t count = recv(m_fd, buffer.data(), buffer.size(), 0);
  if (count > 0)
    m_events->OnBytes(std::string_view(buffer.data(), static_cast<std::size_t>(count)));
  else if (count == 0)
    Fail(m_write_failed ? StreamEnd::Reset : StreamEnd::Closed);
  else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
    Fail(StreamEnd::Reset);
}

void TcpStream::Fail(StreamEnd end)
{
  if (end == StreamEnd::SendDeadlinePassed)
    Reset();
  else
    Close();
  m_events->OnEnd(end);
}

void TcpStream::OnDescriptorEvents(std::uint32_t events)
{
  const auto guard = shared_from_this();
  if (!m_connected)
  {
    FinishConnect();
    return;
  }
  if ((events & EPOLLOUT) != 0)
  {
    if (!Flush())
    {
      Fail(StreamEnd::SendDeadlinePassed);
      return;
    }
    Arm();
    if (Unsent() == 0)
      m_events->OnOutputFlushed();
  }
  if (m_fd >= 0 && (events & EPOLLIN) != 0)
    ReadAvailable();
  else if (m_fd >= 0 && (events & (EPOLLERR | EPOLLHUP)) != 0)
    Fail(StreamEnd::Reset);
}

TcpListener::~TcpListener()
{
  if (m_fd < 0)
    return;
  Common::Reactor::Get().Unwatch(m_watch, m_fd);
  close(m_fd);
}

Common::Result<Common::Done> TcpListener::Listen(const Endpoint& local, AcceptHandler handler)
{
  m_handler = std::move(handler);
  m_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (m_fd < 0)
    return {Common::FailureKind::Unavailable, std::strerror(errno)};
  SetOption(m_fd, SOL_SOCKET, SO_REUSEADDR, 1);
  const sockaddr_in address = local.ToSockaddr();
  if (bind(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(m_fd, LISTEN_BACKLOG) != 0)
    return {Common::FailureKind::Unavailable, local.ToString() + ": " + std::strerror(errno)};
  m_watch = Common::Reactor::Get().Watch(m_fd, EPOLLIN, this);
  return Common::Done{};
}

Endpoint TcpListener::Local() const
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &size);
  return Endpoint::FromSockaddr(address);
}

void TcpListener::OnDescriptorEvents(std::uint32_t)
{
  for (int i = 0; i < ACCEPTS_PER_TURN; ++i)
  {
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    const int fd =
        accept4(m_fd, reinterpret_cast<sockaddr*>(&peer), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0)
      return;
    m_handler(fd, Endpoint::FromSockaddr(peer));
  }
}
} // namespace Http

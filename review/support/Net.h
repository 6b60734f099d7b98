// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Blocking sockets and HTTP messages for the stand-ins of the review. One thread serves one
// connection.

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Review
{
using Clock = std::chrono::steady_clock;

/// Milliseconds since the program started.
inline std::int64_t NowMs()
{
  static const auto s_start = Clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - s_start).count();
}

inline void SleepMs(std::int64_t ms)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

struct Address
{
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in ToSockaddr(const Address& address)
{
  sockaddr_in result{};
  result.sin_family = AF_INET;
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  result.sin_port = htons(static_cast<std::uint16_t>(address.port));
  return result;
}

/// Connects from an optional source address; -1 if that fails within the time.
inline int Connect(const Address& to, int timeout_ms = 1000, int receive_buffer = 0)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0)
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
  timeval timeout{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
  const sockaddr_in address = ToSockaddr(to);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
  {
    close(fd);
    return -1;
  }
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return fd;
}

inline bool SendAll(int fd, std::string_view bytes)
{
  while (!bytes.empty())
  {
    const ssize_t count = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

/// Closes a socket with a reset.
inline void ResetSocket(int fd)
{
  const linger option{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  shutdown(fd, SHUT_RD);
}

/// An HTTP request or response.
struct Message
{
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Header(std::string_view name) const
  {
    for (const auto& [key, value] : headers)
      if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0)
        return value;
    return "";
  }
  std::string Method() const { return first_line.substr(0, first_line.find(' ')); }
  std::string Target() const
  {
    const auto begin = first_line.find(' ') + 1;
    return first_line.substr(begin, first_line.find(' ', begin) - begin);
  }
  int Status() const
  {
    return first_line.size() < 12 ? 0 : std::atoi(first_line.c_str() + first_line.find(' ') + 1);
  }
};

enum class ReadEnd
{
  Message,   ///< A whole message.
  Closed,    ///< The connection ended before the first byte.
  Truncated, ///< The connection ended inside the message.
  TimedOut,
};

/// Reads messages from one connection.
class Reader
{
public:
  explicit Reader(int fd) : m_fd(fd) {}

  /// Limits the speed at which the body is read: so many bytes, then a pause.
  void Throttle(std::size_t bytes, std::int64_t pause_ms)
  {
    m_slice = bytes;
    m_pause_ms = pause_ms;
  }
  std::size_t BytesRead() const { return m_total; }

  ReadEnd Read(Message& message, bool is_response, std::int64_t timeout_ms)
  {
    const std::int64_t until = NowMs() + timeout_ms;
    std::size_t head_end = 0;
    while ((head_end = m_buffer.find("\r\n\r\n")) == std::string::npos)
      if (const auto end = Fill(until))
        return *end == ReadEnd::Closed && !m_buffer.empty() ? ReadEnd::Truncated : *end;
    ParseHead(message, m_buffer.substr(0, head_end));
    m_buffer.erase(0, head_end + 4);
    const std::string length = message.Header("Content-Length");
    if (!length.empty())
      return ReadBytes(message.body, std::strtoull(length.c_str(), nullptr, 10), until);
    if (strcasecmp(message.Header("Transfer-Encoding").c_str(), "chunked") == 0)
      return ReadChunks(message.body, until);
    if (!is_response)
      return ReadEnd::Message;
    while (true)
    {
      message.body += std::exchange(m_buffer, {});
      if (const auto end = Fill(until))
        return *end == ReadEnd::Closed ? ReadEnd::Message : *end;
    }
  }

  bool HasBuffered() const { return !m_buffer.empty(); }

private:
  static void ParseHead(Message& message, const std::string& head)
  {
    message = {};
    std::size_t begin = 0;
    while (begin <= head.size())
    {
      const auto end = std::min(head.find("\r\n", begin), head.size());
      const std::string line = head.substr(begin, end - begin);
      begin = end + 2;
      if (message.first_line.empty())
      {
        message.first_line = line;
        continue;
      }
      const auto colon = line.find(':');
      if (colon == std::string::npos)
        continue;
      std::string value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      message.headers.emplace_back(line.substr(0, colon), value);
    }
  }

  std::optional<ReadEnd> Fill(std::int64_t until)
  {
    const std::int64_t left = until - NowMs();
    pollfd poll_fd{m_fd, POLLIN, 0};
    if (left <= 0 || poll(&poll_fd, 1, static_cast<int>(left)) == 0)
      return ReadEnd::TimedOut;
    std::vector<char> bytes(m_slice);
    const ssize_t count = recv(m_fd, bytes.data(), bytes.size(), 0);
    if (count == 0)
      return ReadEnd::Closed;
    if (count < 0)
      return ReadEnd::Truncated;
    m_buffer.append(bytes.data(), static_cast<std::size_t>(count));
    m_total += static_cast<std::size_t>(count);
    if (m_pause_ms > 0)
      SleepMs(m_pause_ms);
    return std::nullopt;
  }

  ReadEnd ReadBytes(std::string& body, std::size_t size, std::int64_t until)
  {
    while (m_buffer.size() < size)
      if (const auto end = Fill(until))
      {
        body += std::exchange(m_buffer, {});
        return *end == ReadEnd::Closed ? ReadEnd::Truncated : *end;
      }
    body += m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return ReadEnd::Message;
  }

  ReadEnd ReadChunks(std::string& body, std::int64_t until)
  {
    while (true)
    {
      std::size_t line_end = 0;
      while ((line_end = m_buffer.find("\r\n")) == std::string::npos)
        if (const auto end = Fill(until))
          return *end == ReadEnd::Closed ? ReadEnd::Truncated : *end;
      const std::size_t size = std::strtoull(m_buffer.c_str(), nullptr, 16);
      m_buffer.erase(0, line_end + 2);
      if (const auto end = ReadBytes(body, size, until); end != ReadEnd::Message)
        return end;
      std::string newline;
      if (const auto end = ReadBytes(newline, 2, until); end != ReadEnd::Message)
        return end;
      if (size == 0)
        return ReadEnd::Message;
    }
  }

  int m_fd;
  std::string m_buffer;
  std::size_t m_slice = 65536;
  std::int64_t m_pause_ms = 0;
  std::size_t m_total = 0;
};

/// Accepts connections at one address and runs a handler for each in a thread of its own.
class Listener
{
public:
  using Handler = std::function<void(int fd, const Address& peer)>;

  ~Listener() { Stop(); }

  /// Returns false if the address is not free.
  bool Start(const Address& local, Handler handler)
  {
    m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const sockaddr_in address = ToSockaddr(local);
    if (bind(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(m_fd, 256) != 0)
      return false;
    m_handler = std::move(handler);
    m_thread = std::thread([this] {
      Accept();
    });
    return true;
  }

  void Stop()
  {
    if (!m_thread.joinable())
      return;
    m_stopped = true;
    shutdown(m_fd, SHUT_RDWR);
    m_thread.join();
    close(m_fd);
    ResetAll();
    while (m_open > 0)
      SleepMs(1);
  }

  /// Resets all open connections.
  void ResetAll()
  {
    const std::lock_guard lock(m_mutex);
    for (const int fd : m_connections)
    {
      ResetSocket(fd);
      shutdown(fd, SHUT_RDWR);
    }
  }

private:
  void Accept()
  {
    while (!m_stopped)
    {
      sockaddr_in peer{};
      socklen_t size = sizeof(peer);
      const int fd = accept4(m_fd, reinterpret_cast<sockaddr*>(&peer), &size, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      char text[INET_ADDRSTRLEN] = {};
      inet_ntop(AF_INET, &peer.sin_addr, text, sizeof(text));
      const Address from{text, ntohs(peer.sin_port)};
      {
        const std::lock_guard lock(m_mutex);
        m_connections.insert(fd);
      }
      ++m_open;
      std::thread([this, fd, from] {
        m_handler(fd, from);
        {
          const std::lock_guard lock(m_mutex);
          m_connections.erase(fd);
          close(fd);
        }
        --m_open;
      }).detach();
    }
  }

  int m_fd = -1;
  Handler m_handler;
  std::thread m_thread;
  std::atomic<bool> m_stopped = false;
  std::atomic<int> m_open = 0;
  std::mutex m_mutex;
  std::set<int> m_connections;
};
} // namespace Review

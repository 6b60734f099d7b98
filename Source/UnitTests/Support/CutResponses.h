// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <memory>
#include <string>
#include <vector>

#include "UnitTests/Support/Loopback.h"

/// Servers that stop within a response.
namespace UnitTests
{
enum class Framing
{
  Length,
  Chunks,
  None, ///< The response ends with its connection.
};

/// How a server ends its connection.
enum class Ending
{
  Close,
  Reset,
};

/// A response with status 200. `headers` come before those of the framing.
inline std::string FramedResponse(Framing framing, const std::string& headers,
                                  const std::string& body)
{
  const std::string head = "HTTP/1.1 200 OK\r\n" + headers;
  if (framing == Framing::Length)
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  if (framing == Framing::None)
    return head + "\r\n" + body;
  char size[16];
  std::snprintf(size, sizeof(size), "%zx", body.size());
  return head + "Transfer-Encoding: chunked\r\n\r\n" + size + "\r\n" + body + "\r\n0\r\n\r\n";
}

/// The same message with a head whose lines end in LF only.
inline std::string WithBareLineFeeds(const std::string& text)
{
  const auto end = text.find("\r\n\r\n") + 4;
  std::string head = text.substr(0, end);
  std::erase(head, '\r');
  return head + text.substr(end);
}

/// A request with a body that the kernel's buffers of a connection do not hold.
inline std::string LongUpload()
{
  constexpr std::size_t BODY_BYTES = std::size_t{16} << 20U;
  return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(BODY_BYTES) +
         "\r\n\r\n" + std::string(BODY_BYTES, 'x');
}

inline void WriteSoon(TestPeer& peer, const std::string& bytes)
{
  Common::Reactor::Get().After(Common::Milliseconds(10),
                               [weak = std::weak_ptr(peer.stream), bytes] {
                                 if (const auto stream = weak.lock())
                                   stream->Write(bytes);
                               });
}

inline void EndSoon(TestPeer& peer, Ending ending)
{
  // The test may end before, and with it the peer, which gets the events of the stream.
  Common::Reactor::Get().After(Common::Milliseconds(10),
                               [weak = std::weak_ptr(peer.stream), ending] {
                                 const auto stream = weak.lock();
                                 if (stream && ending == Ending::Close)
                                   stream->Close();
                                 else if (stream)
                                   stream->Reset();
                               });
}
} // namespace UnitTests

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <list>
#include <memory>
#include <string>

#include "Http/TcpStream.h"
#include "StandIns/Soak/StandInStore.h"

namespace OverloadedServers
{
/// What a server sends without end.
enum class EndlessBytes
{
  NoHttp,
  HeaderLine,   ///< One line of a response head.
  HeaderLines,  ///< Lines of a response head.
  InterimHeads, ///< 100 Continue.
  ChunkExtension,
  Trailers,
  UnsignedBody,  ///< Without the headers of a server's response.
  SignedBody,    ///< With them, and without a stated length.
  EventOfStream, ///< An event that does not end.
};
inline constexpr int ENDLESS_KINDS = 9;

/// A stand-in for a broken backend server: answers each request with bytes that do not end, as fast
/// as they are read.
class EndlessServer
{
public:
  EndlessServer(std::string name, Http::Endpoint endpoint, Soak::StandInStore& store,
                EndlessBytes kind);
  ~EndlessServer();

  /// Listens and writes its entry.
  Common::Result<Common::Done> Start();
  /// Bytes that it has sent in all.
  std::uint64_t Sent() const { return m_sent; }

private:
  class Connection;

  std::string m_name;
  Http::Endpoint m_endpoint;
  Soak::StandInStore& m_store;
  EndlessBytes m_kind;
  Http::TcpListener m_listener;
  std::list<std::unique_ptr<Connection>> m_connections;
  std::uint64_t m_sent = 0;
};
} // namespace OverloadedServers

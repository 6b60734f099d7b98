// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "StandIns/OverloadedServers/EndlessServer.h"

#include <utility>

#include "Common/Json.h"

namespace OverloadedServers
{
namespace
{
constexpr std::size_t PIECE_BYTES = 65536;
constexpr int PIECES_PER_TURN = 64;

/// What comes before the endless part of a response to the request with this id.
std::string Opening(EndlessBytes kind, const std::string& id)
{
  std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Stamp: s\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  switch (kind)
  {
  case EndlessBytes::HeaderLine:
    return head + "Long: ";
  case EndlessBytes::HeaderLines:
    return head;
  case EndlessBytes::ChunkExtension:
    return chunked + "1;extension=";
  case EndlessBytes::Trailers:
    return chunked + "1\r\nx\r\n0\r\n";
  case EndlessBytes::UnsignedBody:
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\n\r\n";
  case EndlessBytes::SignedBody:
    return head + "\r\n";
  case EndlessBytes::EventOfStream:
    return head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ";
  case EndlessBytes::NoHttp:
  case EndlessBytes::InterimHeads:
    break;
  }
  return "";
}

/// The part that is repeated.
std::string Unit(EndlessBytes kind)
{
  if (kind == EndlessBytes::HeaderLines || kind == EndlessBytes::Trailers)
    return "Name: value\r\n";
  return kind == EndlessBytes::InterimHeads ? "HTTP/1.1 100 Continue\r\n\r\n" : "x";
}

std::string IdOf(std::string_view request)
{
  constexpr std::string_view NAME = "Attempt-Id: ";
  const auto at = request.find(NAME);
  if (at == std::string_view::npos)
    return "";
  const auto begin = at + NAME.size();
  return std::string(request.substr(begin, request.find('\r', begin) - begin));
}
} // namespace

class EndlessServer::Connection : public Http::StreamEvents
{
public:
  Connection(EndlessServer& server, int fd)
      : m_server(server), m_stream(Http::TcpStream::Adopt(fd, this))
  {
    const std::string unit = Unit(server.m_kind);
    while (m_piece.size() < PIECE_BYTES)
      m_piece += unit;
  }

  void OnBytes(std::string_view bytes) override
  {
    if (std::exchange(m_begun, true))
      return;
    m_stream->Write(Opening(m_server.m_kind, IdOf(bytes)));
    SendPiece();
  }
  void OnOutputFlushed() override { SendPiece(); }
  void OnEnd(Http::StreamEnd) override {}

private:
  /// Writes until the kernel accepts no more; the flush of the rest calls this again.
  void SendPiece()
  {
    for (int i = 0; i < PIECES_PER_TURN && m_stream->IsOpen() && m_stream->Unsent() == 0; ++i)
    {
      m_stream->Write(m_piece);
      m_server.m_sent += m_piece.size();
    }
    if (m_stream->IsOpen() && m_stream->Unsent() == 0)
      m_timer.Start(Common::Milliseconds(1), [this] {
        SendPiece();
      });
  }

  EndlessServer& m_server;
  std::string m_piece;
  bool m_begun = false;
  std::shared_ptr<Http::TcpStream> m_stream;
  Common::OwnedTimer m_timer;
};

EndlessServer::EndlessServer(std::string name, Http::Endpoint endpoint, Soak::StandInStore& store,
                             EndlessBytes kind)
    : m_name(std::move(name)), m_endpoint(endpoint), m_store(store), m_kind(kind)
{
}

EndlessServer::~EndlessServer() = default;

Common::Result<Common::Done> EndlessServer::Start()
{
  auto listening = m_listener.Listen(m_endpoint, [this](int fd, const Http::Endpoint&) {
    m_connections.push_back(std::make_unique<Connection>(*this, fd));
  });
  m_store.Put("servers", m_name,
              {{"service", "pool"},
               {"address", m_endpoint.ToString()},
               {"zone", "z1"},
               {"slots", 16},
               {"state", "ready"},
               {"models", Common::Json::array()},
               {"seq", 1},
               {"born", 1}});
  return listening;
}
} // namespace OverloadedServers

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Http/OriginConnection.h"

#include <charconv>
#include <utility>

namespace Http
{
namespace
{
/// How long an idle connection is reused where the origin server announces no idle timeout. Well
/// below the 5 s or more that are usual for servers, since a request that is sent while the server
/// closes the connection may not be repeatable.
constexpr Common::Milliseconds DEFAULT_IDLE_LIMIT{2000};
/// Fraction of an announced idle timeout that is used, since the timeout is announced in whole
/// seconds and measured by the peer's clock.
constexpr double IDLE_LIMIT_FACTOR = 0.6;
/// Connecting takes one round trip, a few ms between data centres. If it takes this long, the peer
/// is cut off or a packet was lost, which the kernel would retransmit only after a second.
constexpr Common::Milliseconds CONNECT_TIMEOUT{400};

std::optional<Common::Milliseconds> ParseTimeoutParameter(const std::string& keep_alive)
{
  const auto at = keep_alive.find("timeout=");
  if (at == std::string::npos)
    return std::nullopt;
  int seconds = 0;
  const char* begin = keep_alive.data() + at + std::string_view("timeout=").size();
  const auto read = std::from_chars(begin, keep_alive.data() + keep_alive.size(), seconds);
  if (read.ec != std::errc() || seconds < 0)
    return std::nullopt;
  return Common::Milliseconds(seconds * 1000);
}
} // namespace

OriginConnection::OriginConnection() : m_parser(MessageParser::Kind::Response, this) {}

std::shared_ptr<OriginConnection> OriginConnection::Connect(const Endpoint& peer,
                                                            const SocketOptions& options)
{
  std::shared_ptr<OriginConnection> connection(new OriginConnection());
  connection->m_stream = TcpStream::Connect(peer, connection.get(), options);
  return connection->m_stream ? connection : nullptr;
}

void OriginConnection::Send(const std::string& request, ResponseHandler* handler,
                            bool no_body_expected, Common::TimePoint send_deadline)
{
  m_handler = handler;
  m_skipping = false;
  m_parser.ExpectNoBody(no_body_expected);
  m_parser.Restart();
  m_stream->Write(request, send_deadline);
  if (m_stream->IsConnected())
    return;
  m_connect_deadline = Common::Now() + CONNECT_TIMEOUT;
  m_connect_timer.Start(CONNECT_TIMEOUT, [this] {
    const auto guard = shared_from_this();
    if (m_handler != nullptr && !m_stream->IsConnected())
      Break(ExchangeError::ConnectTimedOut);
  });
}

void OriginConnection::OnConnected()
{
  // Connected past the deadline, so the VM was suspended in between. The request must not be sent,
  // since it states the time that its caller had left before the suspension.
  if (m_handler != nullptr && Common::Now() >= m_connect_deadline)
    Break(ExchangeError::ConnectTimedOut);
}

void OriginConnection::Abandon()
{
  const bool in_exchange = std::exchange(m_handler, nullptr) != nullptr;
  m_keep_alive = false;
  // An abandoned request must not arrive later. After a plain close during a network partition, the
  // kernel would keep retransmitting and deliver the request once the partition heals.
  if (in_exchange || m_stream->Unsent() > 0)
    m_stream->Reset();
  else
    m_stream->Close();
}

bool OriginConnection::IsReusable(Common::TimePoint now) const
{
  if (!m_stream->IsOpen() || m_handler != nullptr || !m_keep_alive || !m_response_received)
    return false;
  const auto limit =
      m_idle_limit
          ? std::chrono::duration_cast<Common::Milliseconds>(*m_idle_limit * IDLE_LIMIT_FACTOR)
          : DEFAULT_IDLE_LIMIT;
  return now - m_idle_since < limit && m_stream->IsStillIdle();
}

void OriginConnection::OnBytes(std::string_view bytes)
{
  const auto guard = shared_from_this();
  while (!bytes.empty() && m_stream->IsOpen())
  {
    if (m_handler == nullptr)
    {
      // Bytes that arrive while no request is open do not belong to any response.
      Abandon();
      return;
    }
    std::size_t consumed = 0;
    const auto status = m_parser.Feed(bytes, &consumed);
    bytes.remove_prefix(std::min(consumed, bytes.size()));
    if (status == MessageParser::Status::NeedsMore)
      return;
    if (status != MessageParser::Status::MessageEnded)
    {
      Break(ExchangeError::Malformed);
      return;
    }
    EndResponse(!bytes.empty());
  }
}

void OriginConnection::EndResponse(bool extra_bytes_follow)
{
  if (m_handler == nullptr)
    return;
  m_response_received = true;
  m_parser.Restart();
  if (m_skipping)
  {
    m_skipping = false;
    return;
  }
  // An early response leaves part of the request unsent, which the server would read as the start
  // of the next request.
  const bool request_completely_sent = m_stream->Unsent() == 0;
  ResponseHandler* handler = std::exchange(m_handler, nullptr);
  if (extra_bytes_follow || !request_completely_sent || !m_keep_alive)
    Abandon();
  m_idle_since = Common::Now();
  handler->OnResponseEnd();
}

void OriginConnection::OnEnd(StreamEnd end)
{
  const auto guard = shared_from_this();
  if (m_handler == nullptr)
    return;
  if (end == StreamEnd::SendDeadlinePassed)
  {
    Break(ExchangeError::SendDeadlinePassed);
    return;
  }
  if (!m_stream->IsConnected())
  {
    Break(ExchangeError::ConnectFailed);
    return;
  }
  const bool completes =
      end == StreamEnd::Closed && m_parser.FeedEnd() == MessageParser::Status::MessageEnded;
  if (m_handler == nullptr)
    return;
  if (completes && !m_skipping)
  {
    m_keep_alive = false;
    EndResponse(false);
    return;
  }
  Break(end == StreamEnd::Closed ? ExchangeError::Closed : ExchangeError::Reset);
}

void OriginConnection::Break(ExchangeError error)
{
  ResponseHandler* handler = std::exchange(m_handler, nullptr);
  Abandon();
  if (handler != nullptr)
    handler->OnExchangeFailed(error);
}

void OriginConnection::UpdateKeepAlive(const MessageHead& head)
{
  m_keep_alive = head.keep_alive;
  const std::string* keep_alive = head.Find("Keep-Alive");
  if (keep_alive != nullptr)
    m_idle_limit = ParseTimeoutParameter(*keep_alive);
}

void OriginConnection::OnHead(MessageHead& head)
{
  UpdateKeepAlive(head);
  if (m_handler != nullptr)
    m_skipping = m_handler->OnResponseHead(head) == ResponseHandler::HeadAction::Skip;
}

void OriginConnection::OnInterimHead(MessageHead& head)
{
  if (m_handler != nullptr)
    m_handler->OnInterimHead(head);
}

void OriginConnection::OnBody(std::string_view bytes)
{
  if (m_handler != nullptr && !m_skipping)
    m_handler->OnResponseBody(bytes);
}

void OriginConnection::OnMessageEnd() {}
} // namespace Http

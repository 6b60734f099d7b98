// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Http/OriginConnection.h"

#include <charconv>
#include <utility>

#include "Common/Log.h"

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
/// How much a server may send before the response to the request, such as responses to others. As
/// much as the longest response that a daemon keeps.
constexpr std::size_t MAX_UNACCEPTED_BYTES = std::size_t{8} << 20U;
/// A tunnel takes one connection to the helper and one from there to the server.
constexpr Common::Milliseconds TUNNEL_TIMEOUT = CONNECT_TIMEOUT * 2;

/// Why a tunnel was not opened, as if the connection had been direct where the reason lies at the
/// server.
ExchangeError ErrorOf(const std::optional<TunnelStatus>& status)
{
  if (status == TunnelStatus::Refused)
    return ExchangeError::ConnectFailed;
  if (status == TunnelStatus::TimedOut)
    return ExchangeError::ConnectTimedOut;
  return ExchangeError::TunnelFailed;
}

std::uint64_t NextNumber()
{
  static std::uint64_t s_last = 0;
  return ++s_last;
}

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
  return std::chrono::seconds(seconds);
}
} // namespace

OriginConnection::OriginConnection()
    : m_number(NextNumber()), m_parser(MessageParser::Kind::Response, this)
{
}

std::shared_ptr<OriginConnection> OriginConnection::Connect(const Endpoint& peer,
                                                            const SocketOptions& options)
{
  std::shared_ptr<OriginConnection> connection(new OriginConnection());
  connection->m_stream = TcpStream::Connect(peer, connection.get(), options);
  return connection->m_stream ? connection : nullptr;
}

std::shared_ptr<OriginConnection> OriginConnection::ConnectThrough(const Endpoint& helper,
                                                                   const std::string& open_message)
{
  auto connection = Connect(helper);
  if (!connection)
    return nullptr;
  connection->m_tunnel = TunnelState::Opening;
  connection->m_stream->Write(open_message);
  return connection;
}

void OriginConnection::Send(const std::string& request, ResponseHandler* handler,
                            bool no_body_expected, Common::TimePoint send_deadline)
{
  m_handler = handler;
  ++m_requests;
  m_skipping = false;
  m_is_accepted = false;
  m_unaccepted_bytes = 0;
  // Where a second copy of a response without a body would end is not known.
  m_is_last_exchange = m_is_last_exchange || no_body_expected;
  m_parser.ExpectNoBody(no_body_expected);
  m_parser.Restart();
  const bool is_opening = m_tunnel == TunnelState::Opening;
  if (is_opening)
  {
    m_pending_request = request;
    m_pending_deadline = send_deadline;
  }
  else
    m_stream->Write(request, send_deadline);
  if (IsConnected())
    return;
  const auto timeout = is_opening ? TUNNEL_TIMEOUT : CONNECT_TIMEOUT;
  m_connect_deadline = Common::Now() + timeout;
  m_connect_timer.Start(timeout, [this, is_opening] {
    const auto guard = shared_from_this();
    if (m_handler != nullptr && !IsConnected())
      Break(is_opening ? ExchangeError::TunnelFailed : ExchangeError::ConnectTimedOut);
  });
}

void OriginConnection::SendIdentified(const RequestIdentity& identity, const std::string& request,
                                      ResponseHandler* handler)
{
  m_carried.Add(identity.id);
  m_is_last_exchange = m_is_last_exchange || identity.id.IsEmpty() || m_carried.IsFull();
  Send(request, handler, !identity.has_response_body);
}

bool OriginConnection::MayCarry(const RequestIdentity& identity) const
{
  return m_requests == 0 ||
         (identity.has_response_body && !identity.id.IsEmpty() && !m_carried.Contains(identity.id));
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
  if (!m_stream->IsOpen() || m_handler != nullptr || !m_keep_alive || m_is_last_exchange ||
      !m_response_received)
    return false;
  const auto limit =
      m_idle_limit
          ? std::chrono::duration_cast<Common::Milliseconds>(*m_idle_limit * IDLE_LIMIT_FACTOR)
          : DEFAULT_IDLE_LIMIT;
  return now - m_idle_since < limit && m_stream->IsStillIdle();
}

std::size_t OriginConnection::ReadTunnelStatus(std::string_view bytes)
{
  const auto status = DecodeTunnelStatus(bytes.front());
  if (status != TunnelStatus::Open)
  {
    Break(ErrorOf(status));
    return bytes.size();
  }
  m_connect_timer.Stop();
  // As in OnConnected: after a suspension the request must not be sent.
  if (m_handler != nullptr && Common::Now() >= m_connect_deadline)
  {
    Break(ExchangeError::ConnectTimedOut);
    return bytes.size();
  }
  m_tunnel = TunnelState::Open;
  m_stream->Write(std::exchange(m_pending_request, {}), m_pending_deadline);
  return 1;
}

void OriginConnection::OnBytes(std::string_view bytes)
{
  const auto guard = shared_from_this();
  if (m_tunnel == TunnelState::Opening)
    bytes.remove_prefix(ReadTunnelStatus(bytes));
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
    m_unaccepted_bytes += m_is_accepted ? 0 : consumed;
    if (m_unaccepted_bytes > MAX_UNACCEPTED_BYTES)
    {
      BreakMalformed("responses to other requests", true);
      return;
    }
    if (status == MessageParser::Status::NeedsMore)
      return;
    if (status != MessageParser::Status::MessageEnded)
    {
      BreakMalformed(m_parser.MalformedPart(), status == MessageParser::Status::HeaderTooLarge);
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
  if (extra_bytes_follow || !request_completely_sent || !m_keep_alive || m_is_last_exchange)
    Abandon();
  m_idle_since = Common::Now();
  // The handler may have paused reading because its own receiver is slow. The next response has
  // another receiver.
  SetReading(true);
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
  if (!IsConnected())
  {
    // Without a route to it, a server that does not respond has not crashed.
    const auto error =
        m_stream->IsRefusedHere() ? ExchangeError::ConnectTimedOut : ExchangeError::ConnectFailed;
    Break(IsTunnel() ? ExchangeError::TunnelFailed : error);
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

void OriginConnection::BreakMalformed(std::string_view part, bool is_too_large)
{
  Common::LogEvent(Common::LogLevel::Warning, "response-malformed",
                   {{"connection", m_number},
                    {"on_connection", m_requests},
                    {"part", part},
                    {"too_large", is_too_large}});
  Break(ExchangeError::Malformed);
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
  if (m_handler == nullptr)
    return;
  m_skipping = m_handler->OnResponseHead(head) == ResponseHandler::HeadAction::Skip;
  m_is_accepted = !m_skipping;
  m_is_last_exchange = m_is_last_exchange || m_skipping;
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

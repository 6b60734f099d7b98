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
constexpr double IDLE_LIMIT_SHARE = 0.6;
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
                                                            const KernelLimits& limits)
{
  std::shared_ptr<OriginConnection> connection(new OriginConnection());
  connection->m_stream = TcpStream::Connect(peer, connection.get(), limits);
  return connection->m_stream ? connection : nullptr;
}

void OriginConnection::Send(const std::string& request, AnswerEvents* events, bool no_body_expected,
                            Common::TimePoint before)
{
  m_events = events;
  m_skipping = false;
  m_parser.ExpectNoBody(no_body_expected);
  m_parser.Restart();
  m_stream->Write(request, before);
  if (m_stream->IsConnected())
    return;
  m_connect_by = Common::Now() + CONNECT_TIMEOUT;
  m_connect_timer.Start(CONNECT_TIMEOUT, [this] {
    const auto guard = shared_from_this();
    if (m_events != nullptr && !m_stream->IsConnected())
      Break(Breakage::ConnectTimedOut);
  });
}

void OriginConnection::OnConnected()
{
  // Connected past the deadline, so the VM was suspended in between. The request must not be sent,
  // since it states the time that its caller had left before the suspension.
  if (m_events != nullptr && Common::Now() >= m_connect_by)
    Break(Breakage::ConnectTimedOut);
}

void OriginConnection::Abandon()
{
  const bool in_exchange = std::exchange(m_events, nullptr) != nullptr;
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
  if (!m_stream->IsOpen() || m_events != nullptr || !m_keep_alive || !m_answered)
    return false;
  const auto limit =
      m_idle_limit
          ? std::chrono::duration_cast<Common::Milliseconds>(*m_idle_limit * IDLE_LIMIT_SHARE)
          : DEFAULT_IDLE_LIMIT;
  return now - m_idle_since < limit && m_stream->IsQuiet();
}

void OriginConnection::OnBytes(std::string_view bytes)
{
  const auto guard = shared_from_this();
  while (!bytes.empty() && m_stream->IsOpen())
  {
    if (m_events == nullptr)
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
      Break(Breakage::Malformed);
      return;
    }
    EndAnswer(!bytes.empty());
  }
}

void OriginConnection::EndAnswer(bool surplus_follows)
{
  if (m_events == nullptr)
    return;
  m_answered = true;
  m_parser.Restart();
  if (m_skipping)
  {
    m_skipping = false;
    return;
  }
  // An early response leaves part of the request unsent, which the server would read as the start
  // of the next request.
  const bool whole_request_sent = m_stream->Unsent() == 0;
  AnswerEvents* events = std::exchange(m_events, nullptr);
  if (surplus_follows || !whole_request_sent || !m_keep_alive)
    Abandon();
  m_idle_since = Common::Now();
  events->OnAnswerEnd();
}

void OriginConnection::OnEnd(StreamEnd end)
{
  const auto guard = shared_from_this();
  if (m_events == nullptr)
    return;
  if (end == StreamEnd::TooLate)
  {
    Break(Breakage::TooLate);
    return;
  }
  if (!m_stream->IsConnected())
  {
    Break(Breakage::ConnectFailed);
    return;
  }
  const bool completes =
      end == StreamEnd::Closed && m_parser.FeedEnd() == MessageParser::Status::MessageEnded;
  if (m_events == nullptr)
    return;
  if (completes && !m_skipping)
  {
    m_keep_alive = false;
    EndAnswer(false);
    return;
  }
  Break(end == StreamEnd::Closed ? Breakage::Closed : Breakage::Reset);
}

void OriginConnection::Break(Breakage breakage)
{
  AnswerEvents* events = std::exchange(m_events, nullptr);
  Abandon();
  if (events != nullptr)
    events->OnAnswerBroken(breakage);
}

void OriginConnection::NoteKeepAlive(const MessageHead& head)
{
  m_keep_alive = head.keep_alive;
  const std::string* keep_alive = head.Find("Keep-Alive");
  if (keep_alive != nullptr)
    m_idle_limit = ParseTimeoutParameter(*keep_alive);
}

void OriginConnection::OnHead(MessageHead& head)
{
  NoteKeepAlive(head);
  if (m_events != nullptr)
    m_skipping = m_events->OnAnswerHead(head) == AnswerEvents::Verdict::Skip;
}

void OriginConnection::OnInterimHead(MessageHead& head)
{
  if (m_events != nullptr)
    m_events->OnInterimHead(head);
}

void OriginConnection::OnBody(std::string_view bytes)
{
  if (m_events != nullptr && !m_skipping)
    m_events->OnAnswerBody(bytes);
}

void OriginConnection::OnMessageEnd() {}
} // namespace Http

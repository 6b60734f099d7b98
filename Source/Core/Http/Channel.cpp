// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Http/Channel.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace Http
{
namespace
{
/// Maximum number of idle connections to one peer.
constexpr std::size_t MAX_IDLE = 4;

Common::FailureKind ToFailureKind(ExchangeError error)
{
  switch (error)
  {
  case ExchangeError::ConnectFailed:
  case ExchangeError::ConnectTimedOut:
  case ExchangeError::TunnelFailed:
  case ExchangeError::SendDeadlinePassed:
    return Common::FailureKind::NotSent;
  case ExchangeError::Malformed:
    return Common::FailureKind::Protocol;
  case ExchangeError::Closed:
  case ExchangeError::Reset:
    break;
  }
  return Common::FailureKind::OutcomeUnknown;
}
} // namespace

const std::string* CompleteResponse::Find(std::string_view name) const
{
  const auto found = std::ranges::find_if(headers, [&](const HeaderField& field) {
    return EqualIgnoringCase(field.name, name);
  });
  return found == headers.end() ? nullptr : &found->value;
}

std::string SerializeRequest(const CompleteRequest& request, const Endpoint& peer)
{
  std::string bytes = request.method + " " + request.target + " HTTP/1.1\r\n";
  const bool has_host = std::ranges::any_of(request.headers, [](const HeaderField& field) {
    return EqualIgnoringCase(field.name, "Host");
  });
  if (!has_host)
    bytes += "Host: " + peer.ToString() + "\r\n";
  for (const HeaderField& field : request.headers)
    bytes += field.name + ": " + field.value + "\r\n";
  if (!request.body.empty())
    bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  return bytes + "\r\n" + request.body;
}

class Channel::PendingCall : public ResponseHandler
{
public:
  PendingCall(Channel& channel, const CallTimeouts& timeouts, Callback on_result)
      : callback(std::move(on_result)), m_channel(channel), m_timeouts(timeouts)
  {
    StartTimer(m_timeouts.head_timeout);
  }
  ~PendingCall() override
  {
    if (connection)
      connection->Abandon();
  }

  HeadAction OnResponseHead(MessageHead& head) override
  {
    m_last_bytes_at = Common::Now();
    StartTimer(m_timeouts.stall_timeout);
    m_response.status = head.status;
    m_response.headers = head.headers;
    return HeadAction::Accept;
  }
  void OnResponseBody(std::string_view bytes) override
  {
    m_last_bytes_at = Common::Now();
    if (m_response.body.size() + bytes.size() > m_timeouts.max_body_bytes)
      FailOversized();
    else
      m_response.body.append(bytes);
  }
  void OnResponseEnd() override
  {
    if (m_channel.m_use == ConnectionUse::Persistent)
      m_channel.m_idle.Keep(std::exchange(connection, nullptr), Common::Now());
    m_channel.Finish(this, std::move(m_response));
  }
  void OnExchangeFailed(ExchangeError error) override
  {
    connection = nullptr;
    m_channel.Finish(this, Common::Failure{ToFailureKind(error),
                                           "the exchange failed before the response was complete"});
  }

  Callback callback;
  std::shared_ptr<OriginConnection> connection;

private:
  void StartTimer(Common::Milliseconds delay)
  {
    m_timer.Start(delay, [this] {
      OnTimer();
    });
  }

  /// Checks the time of the last byte only here: restarting the timer for each read would cost
  /// more.
  void OnTimer()
  {
    const auto elapsed = TimeSinceLastBytes();
    if (elapsed && *elapsed < m_timeouts.stall_timeout)
      StartTimer(m_timeouts.stall_timeout - *elapsed);
    else
      FailWithTimeout();
  }

  /// The body is dropped at once; the callback follows from the main loop, as this object may be in
  /// a callback of its connection.
  void FailOversized()
  {
    std::exchange(connection, nullptr)->Abandon();
    m_response.body = {};
    m_timer.Start(Common::Milliseconds(0), [this] {
      m_channel.Finish(this, Common::Failure{Common::FailureKind::Protocol,
                                             "the body of the response is too large"});
    });
  }

  void FailWithTimeout()
  {
    const bool sent = connection->HasSent();
    const auto kind = sent ? Common::FailureKind::Timeout : Common::FailureKind::NotSent;
    m_channel.Finish(this,
                     Common::Failure{kind, "no complete response in time" + DescribeProgress()});
  }

  /// Time since the last byte of the response, or nullopt where none has been received.
  std::optional<Common::Milliseconds> TimeSinceLastBytes() const
  {
    if (!m_last_bytes_at)
      return std::nullopt;
    return std::chrono::floor<Common::Milliseconds>(Common::Now() - *m_last_bytes_at);
  }

  /// Describes the response so far, to distinguish an unresponsive peer from a long response.
  std::string DescribeProgress() const
  {
    const auto elapsed = TimeSinceLastBytes();
    if (!elapsed)
      return ", no bytes received";
    return ", " + std::to_string(m_response.body.size()) + " body bytes received, the last " +
           std::to_string(elapsed->count()) + " ms ago";
  }

  Channel& m_channel;
  CallTimeouts m_timeouts;
  Common::OwnedTimer m_timer;
  CompleteResponse m_response;
  std::optional<Common::TimePoint> m_last_bytes_at; ///< Last receipt of response bytes.
};

Channel::Channel(const Endpoint& peer, const SocketOptions& options, ConnectionUse use)
    : m_peer(peer), m_socket_options(options), m_use(use), m_idle(MAX_IDLE)
{
}

Channel::~Channel() = default;

void Channel::Call(const CompleteRequest& request, const CallTimeouts& timeouts, Callback callback,
                   Common::TimePoint send_deadline)
{
  auto connection = m_idle.Take(Common::Now());
  if (!connection)
    connection = OriginConnection::Connect(m_peer, m_socket_options);
  if (!connection)
  {
    Common::Reactor::Get().After(Common::Milliseconds(1), [callback = std::move(callback)] {
      callback(Common::Failure{Common::FailureKind::NotSent, "could not open a socket"});
    });
    return;
  }
  m_pending.push_back(std::make_unique<PendingCall>(*this, timeouts, std::move(callback)));
  PendingCall* call = m_pending.back().get();
  call->connection = connection;
  connection->Send(SerializeRequest(request, m_peer), call, false, send_deadline);
}

void Channel::Abandon()
{
  m_pending.clear();
}

void Channel::Finish(PendingCall* call, Common::Result<CompleteResponse> result)
{
  const auto found = std::ranges::find_if(m_pending, [&](const auto& pending) {
    return pending.get() == call;
  });
  const std::unique_ptr<PendingCall> owned = std::move(*found);
  m_pending.erase(found);
  // The callback may destroy this channel, so no member may be used after it.
  const Callback callback = std::move(owned->callback);
  callback(std::move(result));
}
} // namespace Http

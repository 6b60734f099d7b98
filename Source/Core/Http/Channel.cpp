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

Common::FailureKind KindOf(Breakage breakage)
{
  switch (breakage)
  {
  case Breakage::ConnectFailed:
  case Breakage::ConnectTimedOut:
  case Breakage::TooLate:
    return Common::FailureKind::NotSent;
  case Breakage::Malformed:
    return Common::FailureKind::Protocol;
  case Breakage::Closed:
  case Breakage::Reset:
    break;
  }
  return Common::FailureKind::OutcomeUnknown;
}
} // namespace

const std::string* WholeAnswer::Find(std::string_view name) const
{
  const auto found = std::ranges::find_if(headers, [&](const HeaderField& field) {
    return EqualIgnoringCase(field.name, name);
  });
  return found == headers.end() ? nullptr : &found->value;
}

std::string Serialise(const WholeRequest& request, const Endpoint& peer)
{
  std::string bytes = request.method + " " + request.target + " HTTP/1.1\r\n";
  const bool names_host = std::ranges::any_of(request.headers, [](const HeaderField& field) {
    return EqualIgnoringCase(field.name, "Host");
  });
  if (!names_host)
    bytes += "Host: " + peer.ToString() + "\r\n";
  for (const HeaderField& field : request.headers)
    bytes += field.name + ": " + field.value + "\r\n";
  if (!request.body.empty())
    bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  return bytes + "\r\n" + request.body;
}

class Channel::PendingCall : public AnswerEvents
{
public:
  PendingCall(Channel& channel, const Patience& patience, Callback on_result)
      : callback(std::move(on_result)), m_channel(channel), m_patience(patience)
  {
    Watch(m_patience.before_head);
  }
  ~PendingCall() override
  {
    if (connection)
      connection->Abandon();
  }

  Verdict OnAnswerHead(MessageHead& head) override
  {
    m_heard_at = Common::Now();
    Watch(m_patience.within_body);
    m_answer.status = head.status;
    m_answer.headers = head.headers;
    return Verdict::Take;
  }
  void OnAnswerBody(std::string_view bytes) override
  {
    m_heard_at = Common::Now();
    m_answer.body.append(bytes);
  }
  void OnAnswerEnd() override
  {
    m_channel.m_idle.Keep(std::exchange(connection, nullptr), Common::Now());
    m_channel.Finish(this, std::move(m_answer));
  }
  void OnAnswerBroken(Breakage breakage) override
  {
    connection = nullptr;
    m_channel.Finish(this, Common::Failure{KindOf(breakage),
                                           "the exchange failed before the response was complete"});
  }

  Callback callback;
  std::shared_ptr<OriginConnection> connection;

private:
  void Watch(Common::Milliseconds time)
  {
    m_timer.Start(time, [this] {
      OnTimer();
    });
  }

  /// Checks the time of the last byte only here: restarting the timer for each read would cost
  /// more.
  void OnTimer()
  {
    const auto silence = Silence();
    if (silence && *silence < m_patience.within_body)
      Watch(m_patience.within_body - *silence);
    else
      GiveUp();
  }

  void GiveUp()
  {
    const bool sent = connection->HasSent();
    const auto kind = sent ? Common::FailureKind::Timeout : Common::FailureKind::NotSent;
    m_channel.Finish(this, Common::Failure{kind, "no complete response in time" + Progress()});
  }

  /// Time since the last byte of the response, or nullopt where none has been received.
  std::optional<Common::Milliseconds> Silence() const
  {
    if (!m_heard_at)
      return std::nullopt;
    return std::chrono::floor<Common::Milliseconds>(Common::Now() - *m_heard_at);
  }

  /// Describes the response so far, to distinguish an unresponsive peer from a long response.
  std::string Progress() const
  {
    const auto silence = Silence();
    if (!silence)
      return ", no bytes received";
    return ", " + std::to_string(m_answer.body.size()) + " body bytes received, the last " +
           std::to_string(silence->count()) + " ms ago";
  }

  Channel& m_channel;
  Patience m_patience;
  Common::OwnedTimer m_timer;
  WholeAnswer m_answer;
  std::optional<Common::TimePoint> m_heard_at; ///< Last receipt of response bytes.
};

Channel::Channel(const Endpoint& peer, const KernelLimits& limits)
    : m_peer(peer), m_limits(limits), m_idle(MAX_IDLE)
{
}

Channel::~Channel() = default;

void Channel::Call(const WholeRequest& request, const Patience& patience, Callback callback,
                   Common::TimePoint before)
{
  auto connection = m_idle.Take(Common::Now());
  if (!connection)
    connection = OriginConnection::Connect(m_peer, m_limits);
  if (!connection)
  {
    Common::Reactor::Get().After(Common::Milliseconds(1), [callback = std::move(callback)] {
      callback(Common::Failure{Common::FailureKind::NotSent, "could not open a socket"});
    });
    return;
  }
  m_pending.push_back(std::make_unique<PendingCall>(*this, patience, std::move(callback)));
  PendingCall* call = m_pending.back().get();
  call->connection = connection;
  connection->Send(Serialise(request, m_peer), call, false, before);
}

void Channel::Abandon()
{
  m_pending.clear();
}

void Channel::Finish(PendingCall* call, Common::Result<WholeAnswer> result)
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

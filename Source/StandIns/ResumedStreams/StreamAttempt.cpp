// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "StandIns/ResumedStreams/StreamAttempt.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace ResumedStreams
{
namespace
{
using Common::Milliseconds;

/// How long a caller waits for the response head, and for the next bytes of a stream.
constexpr Milliseconds HEAD_TIMEOUT{4500};
constexpr Milliseconds STALL_TIMEOUT{1000};
constexpr double MS_PER_S = 1000;
constexpr int STATUS_OK = 200;
constexpr std::string_view EVENT_END = "\n\n";
constexpr std::string_view ID_FIELD = "id: ";

/// Reads an event of the form "id: NUMBER\ndata: REQUEST VERSION".
StreamEvent ParseEvent(const std::string& text)
{
  StreamEvent event;
  if (text.starts_with(ID_FIELD))
    event.number = std::atoi(text.c_str() + ID_FIELD.size());
  event.version = text.substr(text.rfind(' ') + 1);
  return event;
}
} // namespace

StreamAttempt::StreamAttempt(const Http::Endpoint& daemon, const Http::CompleteRequest& request,
                             Callbacks callbacks)
    : m_connection(Http::OriginConnection::Connect(daemon)), m_callbacks(std::move(callbacks))
{
  if (!m_connection)
  {
    Finish("no connection");
    return;
  }
  m_connection->Send(Http::SerializeRequest(request, daemon), this);
  AwaitBytes(HEAD_TIMEOUT);
}

StreamAttempt::~StreamAttempt()
{
  if (m_connection)
    m_connection->Abandon();
}

void StreamAttempt::AwaitBytes(Milliseconds timeout)
{
  m_timer.Start(timeout, [this] {
    Finish("no bytes in time");
  });
}

Http::ResponseHandler::HeadAction StreamAttempt::OnResponseHead(Http::MessageHead& head)
{
  m_end.status = head.status;
  if (const std::string* seconds = head.Find("Retry-After"))
    m_end.retry_after =
        Milliseconds(static_cast<std::int64_t>(std::strtod(seconds->c_str(), nullptr) * MS_PER_S));
  AwaitBytes(STALL_TIMEOUT);
  return HeadAction::Accept;
}

void StreamAttempt::OnResponseBody(std::string_view bytes)
{
  if (m_finished)
    return;
  AwaitBytes(STALL_TIMEOUT);
  if (m_end.status != STATUS_OK)
    return;
  m_buffer.append(bytes);
  for (auto end = m_buffer.find(EVENT_END); end != std::string::npos && !m_finished;
       end = m_buffer.find(EVENT_END))
  {
    const StreamEvent event = ParseEvent(m_buffer.substr(0, end));
    m_buffer.erase(0, end + EVENT_END.size());
    m_callbacks.on_event(event);
  }
}

void StreamAttempt::OnResponseEnd()
{
  if (m_finished)
    return;
  m_end.complete = m_end.status == STATUS_OK;
  Finish(m_end.complete ? "" : "refused");
}

void StreamAttempt::OnExchangeFailed(Http::ExchangeError error)
{
  m_end.malformed = error == Http::ExchangeError::Malformed;
  const bool is_unconnected =
      error == Http::ExchangeError::ConnectFailed || error == Http::ExchangeError::ConnectTimedOut;
  Finish(is_unconnected ? "no connection" : "the connection ended");
}

void StreamAttempt::Finish(std::string reason)
{
  if (std::exchange(m_finished, true))
    return;
  m_end.reason = std::move(reason);
  m_timer.Stop();
  // The connection may be in the middle of a callback.
  m_end_timer.Start(Milliseconds(0), [this] {
    if (m_connection)
      std::exchange(m_connection, nullptr)->Abandon();
    const auto on_end = std::move(m_callbacks.on_end);
    on_end(AttemptEnd(m_end));
  });
}
} // namespace ResumedStreams

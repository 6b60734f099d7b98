// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Handling of responses from backend servers.

#include "Gateway/Relay.h"

#include <algorithm>
#include <utility>

#include "Common/Log.h"
#include "Common/Text.h"
#include "Gateway/Dispatcher.h"
#include "Gateway/Forwarding.h"

namespace Gateway
{
namespace
{
using Common::Milliseconds;

/// A stream that pauses for this many gap targets is resumed at another server.
constexpr int STALL_GAP_TARGETS = 4;
/// A server that crashes on a prompt does so within this time after its first event.
constexpr Milliseconds WRITING_TIME{300};
} // namespace

Http::ResponseHandler::HeadAction Relay::OnResponseHead(Http::MessageHead& head)
{
  m_server->NoteReceived(Common::Now());
  if (m_connection && !m_connection->IsTunnel())
    m_dispatcher.Paths().NoteDirectResponse(Common::Now(), m_connection->IsFirstExchange());
  const std::string* id = head.Find(m_dispatcher.Settings().names.request_id);
  if (!m_id.empty() && (id == nullptr || Common::TrimTrailingBlanks(*id) != m_id))
  {
    Common::LogEvent(Common::LogLevel::Warning, "answer-crossed",
                     {{"id", m_id},
                      {"answer_id", id == nullptr ? "" : *id},
                      {"connection", m_connection_number},
                      {"on_connection", m_connection_requests},
                      {"instance", m_server->Entry().instance}});
    return HeadAction::Skip;
  }
  m_head = head;
  m_response_began_at = Common::Now();
  const bool is_valid = IsValidResponse(m_head);
  m_signals = ReadSignals(m_head.status, m_head.headers, m_dispatcher.Settings().names,
                          std::chrono::system_clock::now());
  if (is_valid)
    m_dispatcher.ApplySignals(m_server, m_signals, {m_id, m_sent_at});
  const std::string* type = m_head.Find("Content-Type");
  m_is_stream = m_route.repeatability == Repeatability::Streaming && m_head.status == 200 &&
                is_valid && (type == nullptr || type->find("event-stream") != std::string::npos);
  return HeadAction::Accept;
}

bool Relay::IsValidResponse(const Http::MessageHead& head) const
{
  const bool success = head.status >= 200 && head.status < 300;
  const bool signed_by_server = head.Find(m_dispatcher.Settings().names.signature) != nullptr;
  return (!success || signed_by_server) && head.Find("Content-Encoding") == nullptr;
}

bool Relay::IsFromOtherInstance() const
{
  return m_signals.instance && *m_signals.instance != m_server->Entry().instance.Get();
}

void Relay::OnInterimHead(Http::MessageHead& head)
{
  const ServerSignals signals = ReadSignals(
      head.status, head.headers, m_dispatcher.Settings().names, std::chrono::system_clock::now());
  m_dispatcher.ApplyInterimSignals(m_server, signals, {m_id, m_sent_at});
}

void Relay::OnResponseBody(std::string_view bytes)
{
  m_server->NoteReceived(Common::Now());
  if (!m_is_stream)
  {
    m_body.append(bytes);
    BoundBufferedBytes();
    return;
  }
  ForwardEvents(m_events.Feed(bytes));
  BoundBufferedBytes();
}

void Relay::BoundBufferedBytes()
{
  if (m_done || !m_connection)
    return;
  const std::size_t event_bytes = m_events.Partial().size();
  if (m_body.size() > ResponseMemory::MAX_RESPONSE_BYTES ||
      event_bytes > ResponseMemory::MAX_EVENT_BYTES)
    FailOversizedResponse("the response, or one of its events, is too large");
  else
    m_dispatcher.NoteBufferedBytes(this, m_body.size() + m_saved_body.size() + event_bytes);
}

void Relay::FailOversizedResponse(std::string_view why)
{
  if (m_done || !m_connection)
    return;
  const auto guard = shared_from_this();
  m_server->Health().NoteFailure(Common::Now());
  m_body = {};
  m_events.DropPartial();
  m_dispatcher.NoteBufferedBytes(this, m_saved_body.size());
  AttemptFailed(why, true);
}

void Relay::ForwardEvents(const std::string& events)
{
  if (events.empty())
    return;
  m_received_events = true;
  m_dispatcher.Late().NoteFirstEvent(std::exchange(m_attempt, ReplicaAttempt::None), Common::Now());
  m_writing_since = m_writing_since.value_or(Common::Now());
  if (Common::Now() - *m_writing_since >= WRITING_TIME)
    NoteWritten();
  const auto gap = m_route.gap_target * STALL_GAP_TARGETS;
  ArmStallTimer(std::max(gap, MIN_STREAM_STALL_TIMEOUT));
  if (!m_stream_begun)
  {
    m_first_event_after = std::chrono::duration_cast<Milliseconds>(Common::Now() - m_arrived);
    BeginStream();
  }
  else
    m_longest_pause = std::max(
        m_longest_pause, std::chrono::duration_cast<Milliseconds>(Common::Now() - m_last_event_at));
  m_last_event_at = Common::Now();
  if (m_last_event_at - m_stream_noted_at >= StreamOrigins::REFRESH_INTERVAL)
    NoteStream();
  m_caller->SendBody(events);
  if (m_caller->UnsentBytes() == 0 || !m_connection)
    return;
  // Backpressure: stops reading from the backend server until the caller has received everything.
  m_connection->SetReading(false);
  m_caller->OnAllSent([this] {
    if (m_connection)
      m_connection->SetReading(true);
  });
}

void Relay::OnResponseEnd()
{
  const auto guard = shared_from_this();
  if (m_is_stream && LooksBrokenOff())
  {
    OnExchangeFailed(Http::ExchangeError::Closed);
    return;
  }
  m_stall_timer.Stop();
  if (m_connection)
    m_request_unsent = m_connection->UnsentBytes();
  if (m_server && m_signals.accepted)
    m_dispatcher.Brittle().NoteServiceTime(
        m_pool, std::chrono::duration_cast<Milliseconds>(Common::Now() - m_sent_at));
  if (m_connection && m_server)
    m_server->ReturnConnection(std::exchange(m_connection, nullptr));
  if (m_is_stream)
    FinishStream();
  else
    HandleCompleteResponse();
}

void Relay::NoteWritten()
{
  if (!std::exchange(m_has_written, true))
    m_dispatcher.NotePromptWritten(*this, m_server->Entry().version);
}

bool Relay::LooksBrokenOff() const
{
  const bool has_no_events = !m_stream_begun && !m_events.LastId();
  return m_events.IsInsideEvent() || (m_head.ends_with_connection && has_no_events);
}

void Relay::BeginStream()
{
  m_stream_begun = true;
  DropSavedResponse();
  m_stream_version = KeyOf(m_pool, m_server->Entry().version);
  NoteStream();
  // The daemon must not state an end that the server has not stated.
  m_framing =
      m_head.ends_with_connection ? Http::BodyFraming::UntilClose : Http::BodyFraming::Chunked;
  m_caller->BeginBody(m_head.status, m_head.reason, ForwardedHeaders(m_head), m_framing);
}

void Relay::FinishStream()
{
  if (m_head.ends_with_connection)
  {
    CheckUnstatedEnd();
    return;
  }
  m_server->Health().NoteSuccess(Common::Now());
  m_dispatcher.NoteServed(*m_server, m_sent_at);
  NoteWritten();
  m_dispatcher.NoteRequestSuccess(*this);
  EndStream();
}

void Relay::CheckUnstatedEnd()
{
  m_may_have_run = true;
  const std::weak_ptr<Relay> relay = weak_from_this();
  const auto on_result = [relay](CrashDetector::CheckResult result) {
    if (const auto self = relay.lock())
      self->OnCrashCheck(result);
  };
  if (!m_dispatcher.NoteConnectionEnded(m_server, *this, m_sent_at, ResponseTime(), on_result))
    OnCrashCheck(CrashDetector::CheckResult::Unknown);
}

void Relay::OnCrashCheck(CrashDetector::CheckResult result)
{
  if (m_done)
    return;
  const auto guard = shared_from_this();
  if (result == CrashDetector::CheckResult::Crashed)
  {
    ++m_broken_connections;
    m_server->Health().NoteFailure(Common::Now());
    AttemptFailed("the server crashed where its response could have ended", true);
    return;
  }
  if (result == CrashDetector::CheckResult::Running)
  {
    m_server->Health().NoteSuccess(Common::Now());
    NoteWritten();
    m_dispatcher.NoteRequestSuccess(*this);
  }
  if (m_framing == Http::BodyFraming::Chunked && m_stream_begun)
  {
    ResumeToFindEnd();
    return;
  }
  EndStream();
}

void Relay::EndStream()
{
  if (!m_stream_begun)
    BeginStream();
  m_caller->SendBody(m_events.Partial());
  m_caller->EndBody();
  EndWith(Outcome::Answered, 0, "");
}

void Relay::ResumeToFindEnd()
{
  constexpr std::string_view WHY = "the response has no stated end, unlike the one begun before";
  if (m_received_events)
    AttemptFailed(WHY, true);
  else
    EndWith(Outcome::BrokenOff, 0, WHY);
}

void Relay::HandleCompleteResponse()
{
  if (m_signals.not_run)
  {
    HandleRejection();
    return;
  }
  if (!IsValidResponse(m_head))
  {
    m_server->Health().NoteFailure(Common::Now());
    AttemptFailed("the response has no server signature, or a Content-Encoding", true);
    return;
  }
  const bool server_failed = m_head.status >= 500;
  if (m_stream_begun)
  {
    // A response that is no event stream cannot be appended to the stream that the caller has.
    AttemptFailed("the resumed stream was answered with status " + std::to_string(m_head.status),
                  true);
    return;
  }
  if (!server_failed)
    m_server->Health().NoteSuccess(Common::Now());
  if (m_head.status >= 200 && m_head.status < 300)
  {
    m_dispatcher.Late().NoteFirstEvent(std::exchange(m_attempt, ReplicaAttempt::None),
                                       Common::Now());
    NotePlainSuccess();
  }
  const bool is_first_failure = server_failed && !m_saved_head;
  if (!server_failed || is_first_failure)
  {
    m_saved_head = m_head;
    m_saved_body = std::move(m_body);
    m_body = {};
  }
  if (is_first_failure && MayTryAgain(true))
    AttemptFailed("the server failed with status " + std::to_string(m_head.status), true);
  else
    ForwardSavedResponse();
}

void Relay::NotePlainSuccess()
{
  m_dispatcher.NoteServed(*m_server, m_sent_at);
  if (!m_head.ends_with_connection)
  {
    NoteWritten();
    m_dispatcher.NoteRequestSuccess(*this);
    return;
  }
  // Without a stated end the server may have crashed instead of completing the request. The caller
  // does not wait for the check.
  m_dispatcher.NoteConnectionEnded(m_server, *this, m_sent_at, ResponseTime(),
                                   [self = shared_from_this()](CrashDetector::CheckResult result) {
                                     if (result == CrashDetector::CheckResult::Running)
                                       self->m_dispatcher.NoteRequestSuccess(*self);
                                   });
}

void Relay::HandleRejection()
{
  const auto now = Common::Now();
  if (m_head.status == 421 && IsFromOtherInstance())
    m_server->NoteReplaced();
  else if (m_head.status == 421)
    m_server->NoteMissing(m_artifact, now);
  else
  {
    m_dispatcher.Brittle().NoteRejected(*m_server, now);
    m_server->GetBackoff().NoteRejected(now);
    if (m_signals.backoff)
      m_deferred_by.insert(m_server->Entry().instance);
  }
  AttemptFailed("the server rejected the request with status " + std::to_string(m_head.status),
                m_may_have_run);
}

void Relay::NoteConnectFailure(bool timed_out, bool through_helper)
{
  const auto now = Common::Now();
  // A single lost packet can also delay a connection, so only several timeouts in a row eject the
  // server.
  if (timed_out)
    m_server->Health().NoteConnectTimeout(now);
  else
    m_server->Health().NoteUnreachable(now);
  CrashDetector& crash_detector = m_dispatcher.GetCrashDetector();
  if (!timed_out && through_helper)
    crash_detector.NoteRefusedElsewhere(m_server);
  else if (!timed_out)
    crash_detector.NoteConnectionRefused(m_server);
  else if (!through_helper)
    m_dispatcher.Paths().NoteDirectFailure(m_server);
}

std::optional<Milliseconds> Relay::ResponseTime() const
{
  if (!m_response_began_at)
    return std::nullopt;
  return std::chrono::duration_cast<Milliseconds>(Common::Now() - *m_response_began_at);
}

void Relay::OnExchangeFailed(Http::ExchangeError breakage)
{
  const auto guard = shared_from_this();
  const auto connection = std::exchange(m_connection, nullptr);
  const auto now = Common::Now();
  if (connection)
    m_request_unsent = connection->UnsentBytes();
  if (breakage == Http::ExchangeError::TunnelFailed)
  {
    if (m_helper)
      m_dispatcher.Paths().NoteHelperFailure(*m_helper, now);
    ForgetAttempt();
    AttemptFailed("the helper opened no tunnel to the server", m_may_have_run);
    return;
  }
  const bool timed_out = breakage == Http::ExchangeError::ConnectTimedOut;
  if (timed_out || breakage == Http::ExchangeError::ConnectFailed)
  {
    ForgetAttempt();
    // A refused connection may show a crash that blocks this request, which then ends here.
    NoteConnectFailure(timed_out, connection && connection->IsTunnel());
    if (!m_done)
      AttemptFailed("could not connect to the server", m_may_have_run);
    return;
  }
  m_server->Health().NoteFailure(now);
  if (breakage == Http::ExchangeError::Malformed)
  {
    AttemptFailed("malformed response", true);
    return;
  }
  ++m_broken_connections;
  if (!m_response_began_at && connection && !connection->IsTunnel())
    m_dispatcher.Paths().CheckDirectPath(m_server, now);
  m_dispatcher.NoteConnectionEnded(m_server, *this, m_sent_at, ResponseTime());
  AttemptFailed("the connection broke before the response was complete", true);
}
} // namespace Gateway

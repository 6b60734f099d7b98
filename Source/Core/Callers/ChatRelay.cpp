// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Callers/ChatRelay.h"

#include <algorithm>

#include "Common/Log.h"

namespace Callers
{
namespace
{
using Common::FailureKind;
using Common::LogEvent;
using Common::LogLevel;
using Common::Milliseconds;
using Common::Task;

constexpr int STATUS_OK = 200;
constexpr int STATUS_NOT_FOUND = 404;
constexpr int STATUS_TOO_MANY = 429;
constexpr int STATUS_UNAVAILABLE = 503;
constexpr std::string_view END_MARKER = "data: [DONE]\n\n";
constexpr std::int64_t DEFAULT_STALL_MS = 10000;
constexpr Milliseconds RETRY_AFTER{1000};
constexpr int MAX_ATTEMPTS = 3;

/// Whether the status means that the backend server rejected the request without running it.
bool IsRejection(int status)
{
  return status == STATUS_NOT_FOUND || status == STATUS_TOO_MANY || status == STATUS_UNAVAILABLE;
}

bool MatchesRequest(const Http::ResponseStream& stream, const Common::RequestId& request)
{
  const auto& headers = stream.GetHeaders();
  const auto found = headers.find("x-request-id");
  return found != headers.end() && found->second == request.Get();
}

/// Keeps the last bytes of a stream to detect whether it ends with the end marker.
class EndMarkerDetector
{
public:
  void Append(std::string_view chunk)
  {
    m_tail += chunk;
    if (m_tail.size() > END_MARKER.size())
      m_tail.erase(0, m_tail.size() - END_MARKER.size());
  }
  bool Found() const { return m_tail == END_MARKER; }

private:
  std::string m_tail;
};
} // namespace

bool ChatRelay::MayRetry(const CallContext& context, const AttemptHistory& history)
{
  return history.attempts < MAX_ATTEMPTS && context.TimeLeft().count() > 0 &&
         m_api_context.retry_budget.TrySpend();
}

Milliseconds ChatRelay::StallTimeout() const
{
  const auto& table = m_api_context.environment.table.Current();
  return Milliseconds(table.SettingNumber("stall_ms", DEFAULT_STALL_MS));
}

Task<ChatRelay::Attempt> ChatRelay::Open(ChatRequest request, AttemptHistory* history)
{
  while (true)
  {
    Serving::RouteRequest wanted;
    wanted.request = request.context.request;
    wanted.service = request.context.service.id;
    wanted.weight = request.context.service.weight;
    wanted.deadline = request.context.Deadline();
    wanted.affinity = request.affinity;
    wanted.failed_servers = history->failed;
    Serving::Route route = co_await m_api_context.router.Acquire(request.artifact, wanted);
    if (const auto* refusal = std::get_if<Serving::Refusal>(&route))
      co_return CallFailure{refusal->failure, RunState::NotRun, refusal->retry_after};
    Serving::Grant grant = std::move(std::get<Serving::Grant>(route));

    ++history->attempts;
    BackendServers::HttpBackendClient::Call call;
    call.address = grant.Address();
    call.path = "/v1/chat/completions";
    call.body = request.body;
    call.request = request.context.request;
    call.timeout = request.context.TimeLeft();
    auto opened = co_await m_api_context.environment.engine.Forward(std::move(call));

    FailureKind kind = FailureKind::None;
    RunState run_state = RunState::Unknown;
    std::string detail;
    if (!opened)
    {
      kind = opened.Reason().kind;
      detail = opened.Reason().detail;
      run_state = kind == FailureKind::NotSent ? RunState::NotRun : RunState::Unknown;
      m_api_context.metrics.CountAttempt(kind == FailureKind::NotSent ? "not_sent" : "broken");
    }
    else if (IsRejection((*opened)->Status()))
    {
      kind = FailureKind::Overloaded;
      detail = "the backend server rejected the request with status " +
               std::to_string((*opened)->Status());
      run_state = RunState::NotRun;
      m_api_context.metrics.CountAttempt("declined");
    }
    else if ((*opened)->Status() != STATUS_OK)
    {
      kind = FailureKind::Protocol;
      detail = "the backend server responded with status " + std::to_string((*opened)->Status());
      m_api_context.metrics.CountAttempt("broken");
    }
    else if (!MatchesRequest(**opened, request.context.request))
    {
      kind = FailureKind::Protocol;
      detail = "the backend server responded to a different request";
      m_api_context.metrics.CountAttempt("crossed");
    }
    else
    {
      m_api_context.metrics.CountAttempt("ok");
      co_return Attempt(Opened{std::move(grant), std::move(*opened)});
    }
    LogEvent(
        LogLevel::Warning, "chat.attempt_failed",
        {{"request", request.context.request}, {"server", grant.Server()}, {"reason", detail}});
    // The router avoids this server for a while. A server that rejected the request may soon accept
    // it; one that failed becomes the last resort for this request.
    m_api_context.router.OnServerDeclined(request.artifact.id, grant.Server());
    if (kind != FailureKind::Overloaded)
      history->failed.insert(grant.Server());
    if (!MayRetry(request.context, *history))
      co_return MakeFailure(kind, detail, run_state, RETRY_AFTER);
  }
}

Task<std::variant<std::string, CallFailure>>
ChatRelay::ReadCompleteResponse(Http::ResponseStream& stream, CallContext context)
{
  std::string body;
  while (true)
  {
    auto chunk = co_await stream.Read(context.TimeLeft());
    if (!chunk)
      co_return MakeFailure(chunk.Reason().kind, chunk.Reason().detail, RunState::Unknown,
                            RETRY_AFTER);
    if (chunk->empty())
      break;
    body += *chunk;
  }
  const auto json = Common::ParseJson(body);
  const std::string id = json ? Common::GetOr(*json, "id", std::string()) : std::string();
  if (id != context.request.Get())
  {
    m_api_context.metrics.CountAttempt("crossed");
    co_return MakeFailure(FailureKind::Protocol,
                          "the backend server's response is incomplete or to a different request",
                          RunState::Unknown);
  }
  co_return body;
}

Task<std::variant<ChatResponse, CallFailure>> ChatRelay::FetchResponse(ChatRequest request)
{
  m_api_context.retry_budget.OnRequest();
  AttemptHistory history;
  while (true)
  {
    Attempt attempt = co_await Open(request, &history);
    if (const auto* failure = std::get_if<CallFailure>(&attempt))
      co_return *failure;
    Opened& opened = std::get<Opened>(attempt);
    auto body = co_await ReadCompleteResponse(*opened.stream, request.context);
    if (auto* response = std::get_if<std::string>(&body))
      co_return ChatResponse{std::move(*response), opened.grant.Server()};
    history.failed.insert(opened.grant.Server());
    if (!MayRetry(request.context, history))
      co_return std::get<CallFailure>(body);
  }
}

Task<void> ChatRelay::StreamResponse(ChatRequest request, Http::ExchangePtr exchange)
{
  m_api_context.retry_budget.OnRequest();
  AttemptHistory history;
  while (true)
  {
    Attempt attempt = co_await Open(request, &history);
    if (const auto* failure = std::get_if<CallFailure>(&attempt))
    {
      m_api_context.metrics.CountRequest("chat", std::string(ToString(failure->failure.kind)));
      co_return Refuse(*exchange, *failure, request.context.request);
    }
    Opened& opened = std::get<Opened>(attempt);
    auto first = co_await opened.stream->Read(request.context.TimeLeft());
    if (first && !first->empty())
    {
      const auto waited = request.context.timeout - request.context.TimeLeft();
      m_api_context.metrics.ObserveFirstToken(waited, opened.grant.WasCold());
      exchange->StartStream(STATUS_OK, "text/event-stream",
                            {{"X-Request-Id", request.context.request.Get()},
                             {"X-Drumpond-Server", opened.grant.Server().Get()},
                             {"X-Drumpond-Start", opened.grant.WasCold() ? "cold" : "warm"},
                             {"Cache-Control", "no-store"}});
      co_return co_await ForwardStream(*opened.stream, std::move(*first), request.context,
                                       exchange);
    }
    history.failed.insert(opened.grant.Server());
    if (MayRetry(request.context, history))
      continue;
    CallFailure failure =
        MakeFailure(FailureKind::OutcomeUnknown, "the backend server's stream is empty",
                    RunState::Unknown, RETRY_AFTER);
    if (!first)
      failure.failure = first.Reason();
    m_api_context.metrics.CountRequest("chat", std::string(ToString(failure.failure.kind)));
    co_return Refuse(*exchange, failure, request.context.request);
  }
}

/// Forwards the bytes as they arrive. If the stream ends without its end marker, the caller gets an
/// error event and an aborted connection, so that it cannot mistake the response for a complete
/// one.
Task<void> ChatRelay::ForwardStream(Http::ResponseStream& stream, std::string first,
                                    CallContext context, Http::ExchangePtr exchange)
{
  EndMarkerDetector end;
  exchange->OnClosed([&stream] {
    stream.Cancel();
  });
  Common::Result<std::string> chunk(std::move(first));
  while (chunk && !chunk->empty())
  {
    end.Append(*chunk);
    const bool open = co_await exchange->Write(std::move(*chunk));
    if (!open)
    {
      m_api_context.metrics.CountRequest("chat", "caller_left");
      co_return;
    }
    if (end.Found())
      break;
    chunk = co_await stream.Read(StallTimeout());
  }
  exchange->OnClosed(nullptr);
  if (end.Found())
  {
    m_api_context.metrics.CountRequest("chat", "ok");
    co_return exchange->EndStream();
  }
  CallFailure failure =
      MakeFailure(FailureKind::OutcomeUnknown,
                  "the backend server's stream ended without its end marker", RunState::Unknown);
  if (!chunk)
    failure.failure = chunk.Reason();
  LogEvent(LogLevel::Warning, "chat.stream_broken",
           {{"request", context.request}, {"reason", failure.failure.detail}});
  m_api_context.metrics.CountRequest("chat", "stream_broken");
  const std::string event =
      "event: error\ndata: " + Common::DumpJson(ToJson(failure, context.request)) + "\n\n";
  co_await exchange->Write(event);
  // Gives the event time to be sent before the connection is aborted.
  co_await Common::Sleep{Milliseconds(20)};
  exchange->Abort();
}
} // namespace Callers

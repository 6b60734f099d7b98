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
constexpr std::string_view END_MARK = "data: [DONE]\n\n";
constexpr std::int64_t DEFAULT_STALL_MS = 10000;
constexpr Milliseconds RETRY_AFTER{1000};
constexpr int MAX_ATTEMPTS = 3;

/// Whether the status means that the backend server rejected the request without running it.
bool IsDeclined(int status)
{
  return status == STATUS_NOT_FOUND || status == STATUS_TOO_MANY || status == STATUS_UNAVAILABLE;
}

bool AnswersRequest(const Http::ResponseStream& stream, const Common::RequestId& request)
{
  const auto& headers = stream.GetHeaders();
  const auto found = headers.find("x-request-id");
  return found != headers.end() && found->second == request.Get();
}

/// Keeps the last bytes of a stream to detect whether it ends with the end marker.
class EndMarkWatch
{
public:
  void Take(std::string_view chunk)
  {
    m_tail += chunk;
    if (m_tail.size() > END_MARK.size())
      m_tail.erase(0, m_tail.size() - END_MARK.size());
  }
  bool Seen() const { return m_tail == END_MARK; }

private:
  std::string m_tail;
};
} // namespace

bool ChatRelay::MayRetry(const CallContext& context, const History& history)
{
  return history.attempts < MAX_ATTEMPTS && context.Left().count() > 0 &&
         m_gateway.retries.TrySpend();
}

Milliseconds ChatRelay::StallPatience() const
{
  const auto& table = m_gateway.environment.table.Current();
  return Milliseconds(table.SettingNumber("stall_ms", DEFAULT_STALL_MS));
}

Task<ChatRelay::Attempt> ChatRelay::Open(ChatRequest request, History* history)
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
    Serving::Route route = co_await m_gateway.router.Acquire(request.artifact, wanted);
    if (const auto* refusal = std::get_if<Serving::Refusal>(&route))
      co_return CallFailure{refusal->failure, RunState::NotRun, refusal->retry_after};
    Serving::Grant grant = std::move(std::get<Serving::Grant>(route));

    ++history->attempts;
    BackendServers::HttpBackendClient::Call call;
    call.address = grant.Address();
    call.path = "/v1/chat/completions";
    call.body = request.body;
    call.request = request.context.request;
    call.timeout = request.context.Left();
    auto opened = co_await m_gateway.environment.engine.Forward(std::move(call));

    FailureKind kind = FailureKind::None;
    RunState ran = RunState::Unknown;
    std::string detail;
    if (!opened)
    {
      kind = opened.Reason().kind;
      detail = opened.Reason().detail;
      ran = kind == FailureKind::NotSent ? RunState::NotRun : RunState::Unknown;
      m_gateway.metrics.CountAttempt(kind == FailureKind::NotSent ? "not_sent" : "broken");
    }
    else if (IsDeclined((*opened)->Status()))
    {
      kind = FailureKind::Overloaded;
      detail = "the backend server rejected the request with status " +
               std::to_string((*opened)->Status());
      ran = RunState::NotRun;
      m_gateway.metrics.CountAttempt("declined");
    }
    else if ((*opened)->Status() != STATUS_OK)
    {
      kind = FailureKind::Protocol;
      detail = "the backend server responded with status " + std::to_string((*opened)->Status());
      m_gateway.metrics.CountAttempt("broken");
    }
    else if (!AnswersRequest(**opened, request.context.request))
    {
      kind = FailureKind::Protocol;
      detail = "the backend server responded to a different request";
      m_gateway.metrics.CountAttempt("crossed");
    }
    else
    {
      m_gateway.metrics.CountAttempt("ok");
      co_return Attempt(Opened{std::move(grant), std::move(*opened)});
    }
    LogEvent(
        LogLevel::Warning, "chat.attempt_failed",
        {{"request", request.context.request}, {"server", grant.Server()}, {"reason", detail}});
    // The router avoids this server for a while. A server that rejected the request may soon accept
    // it; one that failed becomes the last resort for this request.
    m_gateway.router.OnServerDeclined(request.artifact.id, grant.Server());
    if (kind != FailureKind::Overloaded)
      history->failed.insert(grant.Server());
    if (!MayRetry(request.context, *history))
      co_return MakeFailure(kind, detail, ran, RETRY_AFTER);
  }
}

Task<std::variant<std::string, CallFailure>> ChatRelay::ReadWhole(Http::ResponseStream& stream,
                                                                  CallContext context)
{
  std::string body;
  while (true)
  {
    auto chunk = co_await stream.Read(context.Left());
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
    m_gateway.metrics.CountAttempt("crossed");
    co_return MakeFailure(FailureKind::Protocol,
                          "the backend server's response is incomplete or to a different request",
                          RunState::Unknown);
  }
  co_return body;
}

Task<std::variant<ChatAnswer, CallFailure>> ChatRelay::RunWhole(ChatRequest request)
{
  m_gateway.retries.OnRequest();
  History history;
  while (true)
  {
    Attempt attempt = co_await Open(request, &history);
    if (const auto* failure = std::get_if<CallFailure>(&attempt))
      co_return *failure;
    Opened& opened = std::get<Opened>(attempt);
    auto body = co_await ReadWhole(*opened.stream, request.context);
    if (auto* whole = std::get_if<std::string>(&body))
      co_return ChatAnswer{std::move(*whole), opened.grant.Server()};
    history.failed.insert(opened.grant.Server());
    if (!MayRetry(request.context, history))
      co_return std::get<CallFailure>(body);
  }
}

Task<void> ChatRelay::RunStream(ChatRequest request, Http::ExchangePtr exchange)
{
  m_gateway.retries.OnRequest();
  History history;
  while (true)
  {
    Attempt attempt = co_await Open(request, &history);
    if (const auto* failure = std::get_if<CallFailure>(&attempt))
    {
      m_gateway.metrics.CountRequest("chat", std::string(ToString(failure->failure.kind)));
      co_return Refuse(*exchange, *failure, request.context.request);
    }
    Opened& opened = std::get<Opened>(attempt);
    auto first = co_await opened.stream->Read(request.context.Left());
    if (first && !first->empty())
    {
      const auto waited = request.context.patience - request.context.Left();
      m_gateway.metrics.ObserveFirstToken(waited, opened.grant.WasCold());
      exchange->StartStream(STATUS_OK, "text/event-stream",
                            {{"X-Request-Id", request.context.request.Get()},
                             {"X-Drumpond-Server", opened.grant.Server().Get()},
                             {"X-Drumpond-Start", opened.grant.WasCold() ? "cold" : "warm"},
                             {"Cache-Control", "no-store"}});
      co_return co_await Relay(*opened.stream, std::move(*first), request.context, exchange);
    }
    history.failed.insert(opened.grant.Server());
    if (MayRetry(request.context, history))
      continue;
    CallFailure failure =
        MakeFailure(FailureKind::OutcomeUnknown, "the backend server's stream is empty",
                    RunState::Unknown, RETRY_AFTER);
    if (!first)
      failure.failure = first.Reason();
    m_gateway.metrics.CountRequest("chat", std::string(ToString(failure.failure.kind)));
    co_return Refuse(*exchange, failure, request.context.request);
  }
}

/// Forwards the bytes as they arrive. If the stream ends without its end marker, the caller gets an
/// error event and an aborted connection, so that it cannot mistake the response for a complete
/// one.
Task<void> ChatRelay::Relay(Http::ResponseStream& stream, std::string first, CallContext context,
                            Http::ExchangePtr exchange)
{
  EndMarkWatch end;
  exchange->OnClosed([&stream] {
    stream.Cancel();
  });
  Common::Result<std::string> chunk(std::move(first));
  while (chunk && !chunk->empty())
  {
    end.Take(*chunk);
    const bool open = co_await exchange->Write(std::move(*chunk));
    if (!open)
    {
      m_gateway.metrics.CountRequest("chat", "caller_left");
      co_return;
    }
    if (end.Seen())
      break;
    chunk = co_await stream.Read(StallPatience());
  }
  exchange->OnClosed(nullptr);
  if (end.Seen())
  {
    m_gateway.metrics.CountRequest("chat", "ok");
    co_return exchange->EndStream();
  }
  CallFailure failure =
      MakeFailure(FailureKind::OutcomeUnknown,
                  "the backend server's stream ended without its end marker", RunState::Unknown);
  if (!chunk)
    failure.failure = chunk.Reason();
  LogEvent(LogLevel::Warning, "chat.stream_broken",
           {{"request", context.request}, {"reason", failure.failure.detail}});
  m_gateway.metrics.CountRequest("chat", "stream_broken");
  const std::string event =
      "event: error\ndata: " + Common::DumpJson(ToJson(failure, context.request)) + "\n\n";
  co_await exchange->Write(event);
  // Gives the event time to be sent before the connection is aborted.
  co_await Common::Sleep{Milliseconds(20)};
  exchange->Abort();
}
} // namespace Callers

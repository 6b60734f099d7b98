// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Callers/PlainServices.h"

#include <algorithm>

#include "Common/Digest.h"
#include "Common/Log.h"
#include "Common/Random.h"
#include "Decisions/Rendezvous.h"

namespace Callers
{
namespace
{
using Common::FailureKind;
using Common::GetOr;
using Common::Json;
using Common::LogEvent;
using Common::LogLevel;
using Common::Milliseconds;
using Common::Now;
using Common::Result;
using Common::Task;
using Daemons::HolderStatus;

constexpr std::string_view PREFIX = "/services/";
constexpr std::size_t MAX_KEY = 200;
constexpr Milliseconds STORE_TIMEOUT{3000};
constexpr std::chrono::minutes LATE_STORE_TIMEOUT{10};
constexpr Milliseconds RETRY_AFTER{1000};
constexpr int STATUS_UNAVAILABLE = 503;

std::string_view ToString(IdempotencyState state)
{
  switch (state)
  {
  case IdempotencyState::Started:
    return "started";
  case IdempotencyState::Done:
    return "done";
  case IdempotencyState::NotRun:
    return "not_run";
  case IdempotencyState::Unknown:
    return "unknown";
  }
  return "unknown";
}

IdempotencyState ParseState(const std::string& text)
{
  if (text == "started")
    return IdempotencyState::Started;
  if (text == "done")
    return IdempotencyState::Done;
  return text == "not_run" ? IdempotencyState::NotRun : IdempotencyState::Unknown;
}

std::string IdempotencyRecordKey(const Common::ServiceId& caller, const std::string& service,
                                 const std::string& key)
{
  return "once/" + caller.Get() + "/" + service + "/" + Common::Sha256Hex(key);
}

/// Identifies the content of a call, to detect a key that is reused for a different call.
std::string CallHash(const std::string& method, const std::string& path, const std::string& body)
{
  return Common::Sha256Hex(method + path + "\n" + body);
}

std::string HeaderOf(const Http::Headers& headers, const std::string& name)
{
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}
} // namespace

std::string SerializeRecord(const IdempotencyRecord& record)
{
  const Json json = {{"state", ToString(record.state)},
                     {"body_hash", record.body_hash},
                     {"holder", record.holder.Get()},
                     {"holder_incarnation", record.holder_incarnation.Get()},
                     {"status", record.status},
                     {"content_type", record.content_type},
                     {"body", record.body}};
  return Common::DumpJson(json);
}

std::optional<IdempotencyRecord> ParseRecord(const std::string& text)
{
  const auto json = Common::ParseJson(text);
  if (!json || !json->is_object())
    return std::nullopt;
  IdempotencyRecord record;
  record.state = ParseState(GetOr(*json, "state", std::string()));
  record.body_hash = GetOr(*json, "body_hash", std::string());
  record.holder = Common::VmId(GetOr(*json, "holder", std::string()));
  record.holder_incarnation =
      Common::Incarnation(GetOr(*json, "holder_incarnation", std::string()));
  record.status = GetOr(*json, "status", 0);
  record.content_type = GetOr(*json, "content_type", std::string());
  record.body = GetOr(*json, "body", std::string());
  return record;
}

Result<PlainServices::Call> PlainServices::Parse(const Http::Exchange& exchange)
{
  const std::string rest = exchange.Path().substr(std::min(PREFIX.size(), exchange.Path().size()));
  const auto slash = rest.find('/');
  const std::string name = rest.substr(0, slash);
  const Table::PlainService* service =
      m_api_context.environment.table.Current().FindPlainService(name);
  auto context =
      IdentifyCaller(m_api_context, exchange, service ? service->deadline : Milliseconds(0));
  if (!context)
    return context.Reason();
  if (!service)
    return {FailureKind::NotFound, "the table has no plain service \"" + name + "\""};
  Call call;
  call.context = *context;
  call.service = *service;
  call.method = exchange.Method();
  call.path = slash == std::string::npos ? "/" : rest.substr(slash);
  call.body = exchange.Body();
  call.content_type = exchange.Header("content-type");
  call.key = exchange.Header("idempotency-key");
  const bool reads = call.method == "GET" || call.method == "HEAD";
  call.repeatable =
      reads || m_api_context.environment.table.Current().IsRepeatable(name, call.path);
  if (!call.repeatable && (call.key.empty() || call.key.size() > MAX_KEY))
    return {FailureKind::InvalidInput,
            "this call is not repeatable and requires an Idempotency-Key of 1 to 200 characters"};
  return call;
}

Task<void> PlainServices::Serve(Http::ExchangePtr exchange)
{
  const auto call = Parse(*exchange);
  if (!call)
  {
    const CallFailure refusal{call.Reason(), RunState::NotRun};
    m_api_context.metrics.CountRequest("service", std::string(ToString(call.Reason().kind)));
    co_return Refuse(*exchange, refusal, {});
  }
  const OpenRequestCounter open(m_api_context, call->context.service.id);
  Outcome outcome = MakeFailure(FailureKind::Unavailable, "", RunState::NotRun);
  if (call->repeatable)
    outcome = co_await RunRepeatable(*call);
  else
    outcome = co_await RunAtMostOnce(*call);
  if (const auto* failure = std::get_if<CallFailure>(&outcome))
  {
    m_api_context.metrics.CountRequest("service", std::string(ToString(failure->failure.kind)));
    co_return Refuse(*exchange, *failure, call->context.request);
  }
  m_api_context.metrics.CountRequest("service", "ok");
  Response& response = std::get<Response>(outcome);
  const Http::Headers headers{{"X-Request-Id", call->context.request.Get()},
                              {"X-Drumpond-Server", response.server.Get()}};
  exchange->Respond(response.status, response.content_type, std::move(response.body), headers);
}

/// The servers of the pool that take work, this data centre's first, in an order of this request.
std::vector<Table::BackendServer> PlainServices::CandidateServers(const Call& call) const
{
  const auto& environment = m_api_context.environment;
  std::vector<Table::BackendServer> servers;
  for (const auto& [vm, server] : environment.table.Current().BackendServers())
    if (server.pool == call.service.pool && !environment.server_statuses.IsDraining(vm))
      servers.push_back(server);
  std::ranges::sort(servers, [&](const auto& left, const auto& right) {
    const bool left_local = left.data_centre == environment.DataCentre();
    const bool right_local = right.data_centre == environment.DataCentre();
    if (left_local != right_local)
      return left_local;
    return Decisions::RendezvousWeight(call.context.request.Get(), left.vm.Get()) >
           Decisions::RendezvousWeight(call.context.request.Get(), right.vm.Get());
  });
  return servers;
}

Task<PlainServices::Outcome> PlainServices::Send(Call call, Table::BackendServer server)
{
  BackendServers::HttpBackendClient::Call forward;
  forward.method = call.method;
  forward.address = server.address;
  forward.path = call.path;
  forward.body = call.body;
  forward.request = call.context.request;
  forward.timeout = call.context.TimeLeft();
  if (!call.key.empty())
    forward.headers["Idempotency-Key"] = call.key;
  auto opened = co_await m_api_context.environment.backend_client.Forward(std::move(forward));
  if (!opened)
  {
    const bool unsent = opened.Reason().kind == FailureKind::NotSent;
    m_api_context.metrics.CountAttempt(unsent ? "not_sent" : "broken");
    co_return CallFailure{opened.Reason(), unsent ? RunState::NotRun : RunState::Unknown,
                          RETRY_AFTER};
  }
  Http::ResponseStream& stream = **opened;
  if (stream.Status() == STATUS_UNAVAILABLE && HeaderOf(stream.GetHeaders(), "x-ran") == "not_run")
  {
    m_api_context.metrics.CountAttempt("declined");
    co_return MakeFailure(FailureKind::Unavailable, "the backend server rejected the call",
                          RunState::NotRun, RETRY_AFTER);
  }
  if (HeaderOf(stream.GetHeaders(), "x-request-id") != call.context.request.Get())
  {
    m_api_context.metrics.CountAttempt("crossed");
    co_return MakeFailure(FailureKind::Protocol,
                          "the backend server responded to a different request", RunState::Unknown);
  }
  Response response;
  response.status = stream.Status();
  response.content_type = HeaderOf(stream.GetHeaders(), "content-type");
  response.server = server.vm;
  while (true)
  {
    auto chunk = co_await stream.Read(call.context.TimeLeft());
    if (!chunk)
    {
      m_api_context.metrics.CountAttempt("broken");
      co_return CallFailure{chunk.Reason(), RunState::Unknown};
    }
    if (chunk->empty())
      break;
    response.body += *chunk;
  }
  m_api_context.metrics.CountAttempt("ok");
  co_return response;
}

Task<PlainServices::Outcome> PlainServices::RunRepeatable(Call call)
{
  m_api_context.retry_budget.OnRequest();
  Outcome last =
      MakeFailure(FailureKind::Unavailable, "no backend server of the service accepts requests",
                  RunState::NotRun, RETRY_AFTER);
  for (const Table::BackendServer& server : CandidateServers(call))
  {
    last = co_await Send(call, server);
    if (std::holds_alternative<Response>(last))
      co_return last;
    if (call.context.TimeLeft().count() <= 0 || !m_api_context.retry_budget.TrySpend())
      break;
  }
  co_return last;
}

/// Tries another server only if the previous one certainly did not execute the call.
Task<PlainServices::Outcome> PlainServices::SendAtMostOnce(Call call)
{
  Outcome last =
      MakeFailure(FailureKind::Unavailable, "no backend server of the service accepts requests",
                  RunState::NotRun, RETRY_AFTER);
  for (const Table::BackendServer& server : CandidateServers(call))
  {
    // If this process was suspended, the deadline may have passed. The caller has given up by then,
    // so nothing is sent.
    if (call.context.TimeLeft().count() <= 0)
      co_return MakeFailure(FailureKind::DeadlineUnmeetable,
                            "the deadline passed before the call was sent", RunState::NotRun,
                            RETRY_AFTER);
    last = co_await Send(call, server);
    const auto* failure = std::get_if<CallFailure>(&last);
    if (!failure || failure->run_state != RunState::NotRun)
      co_return last;
  }
  co_return last;
}

Task<PlainServices::Outcome> PlainServices::RunAtMostOnce(Call call)
{
  const std::string key =
      IdempotencyRecordKey(call.context.service.id, call.service.name, call.key);
  if (!m_pending_keys.insert(key).second)
    co_return MakeFailure(FailureKind::Conflict, "a call with this key is under way",
                          RunState::Unknown, RETRY_AFTER);
  StartResult start_result = co_await StartCall(call);
  const auto* started = std::get_if<Started>(&start_result);
  if (!started)
    m_pending_keys.erase(key);
  if (auto* response = std::get_if<Response>(&start_result))
    co_return std::move(*response);
  if (const auto* failure = std::get_if<CallFailure>(&start_result))
    co_return *failure;
  Outcome outcome = co_await SendAtMostOnce(call);
  const bool stored = co_await StoreOutcome(call, started->version, outcome);
  if (stored)
    m_pending_keys.erase(key);
  co_return outcome;
}

Task<PlainServices::StartResult> PlainServices::WriteStartedRecord(Call call, std::int64_t seen)
{
  const auto& self = m_api_context.environment.membership.Self();
  IdempotencyRecord record;
  record.body_hash = CallHash(call.method, call.path, call.body);
  record.holder = self.vm;
  record.holder_incarnation = self.incarnation;
  const std::string key =
      IdempotencyRecordKey(call.context.service.id, call.service.name, call.key);
  Platform::Transaction transaction;
  transaction.conditions.push_back({key, seen});
  transaction.writes.push_back({key, SerializeRecord(record)});
  const auto timeout = std::min(STORE_TIMEOUT, call.context.TimeLeft());
  const auto outcome =
      co_await m_api_context.environment.store.Commit(transaction, Now() + timeout);
  // If the response was lost, the record may have been written nevertheless. This request sends
  // nothing in that case, so it was not executed, whatever a retry with the same key is told.
  if (!outcome)
    co_return MakeFailure(FailureKind::Unavailable, "the platform does not respond",
                          RunState::NotRun, RETRY_AFTER);
  if (outcome->committed)
    co_return Started{outcome->version};
  if (outcome->conflicts.empty())
    co_return MakeFailure(FailureKind::Protocol,
                          "the platform rejected the transaction without a conflict",
                          RunState::NotRun);
  const Platform::StoredRow& row = outcome->conflicts.front();
  const auto earlier = ParseRecord(row.value);
  if (!earlier)
    co_return MakeFailure(FailureKind::Protocol, "the stored record of this key cannot be parsed",
                          RunState::Unknown);
  if (earlier->body_hash != record.body_hash)
    co_return MakeFailure(FailureKind::Conflict, "this key was already used for a different call",
                          RunState::NotRun);
  co_return co_await HandleExistingRecord(call, *earlier, row.version);
}

Task<PlainServices::StartResult> PlainServices::StartCall(Call call)
{
  if (m_api_context.environment.store.IsDown())
    co_return MakeFailure(FailureKind::Unavailable, "the platform does not respond",
                          RunState::NotRun, RETRY_AFTER);
  co_return co_await WriteStartedRecord(call, 0);
}

Task<PlainServices::StartResult>
PlainServices::HandleExistingRecord(Call call, IdempotencyRecord record, std::int64_t version)
{
  const auto& membership = m_api_context.environment.membership;
  Common::TimePoint since;
  switch (record.state)
  {
  case IdempotencyState::Done:
    co_return Response{record.status, record.content_type, record.body, {}};
  case IdempotencyState::NotRun:
    co_return co_await WriteStartedRecord(call, version);
  case IdempotencyState::Unknown:
    co_return MakeFailure(FailureKind::OutcomeUnknown, "an earlier call with this key may have run",
                          RunState::Unknown);
  case IdempotencyState::Started:
    // This process wrote the record but has no call in progress: the response to its write was
    // lost, so it gave up and sent nothing.
    if (record.holder == membership.Self().vm &&
        record.holder_incarnation == membership.Self().incarnation)
      co_return co_await WriteStartedRecord(call, version);
    if (membership.StatusOf(record.holder, record.holder_incarnation, Now(), &since) ==
        HolderStatus::Alive)
      co_return MakeFailure(FailureKind::Conflict, "a call with this key is under way",
                            RunState::Unknown, RETRY_AFTER);
    co_return MakeFailure(FailureKind::OutcomeUnknown, "an earlier call with this key may have run",
                          RunState::Unknown);
  }
  co_return MakeFailure(FailureKind::OutcomeUnknown, "the stored record has an unknown state",
                        RunState::Unknown);
}

/// Stores the outcome of the call. If the platform does not respond in time, the caller gets its
/// response anyway and the outcome is stored later. Until then a retry is told that the call may
/// have been executed, which is true.
Task<bool> PlainServices::StoreOutcome(Call call, std::int64_t version, Outcome outcome)
{
  IdempotencyRecord record;
  record.body_hash = CallHash(call.method, call.path, call.body);
  if (const auto* response = std::get_if<Response>(&outcome))
  {
    record.state = IdempotencyState::Done;
    record.status = response->status;
    record.content_type = response->content_type;
    record.body = response->body;
  }
  else
  {
    const bool not_run = std::get<CallFailure>(outcome).run_state == RunState::NotRun;
    record.state = not_run ? IdempotencyState::NotRun : IdempotencyState::Unknown;
  }
  const std::string key =
      IdempotencyRecordKey(call.context.service.id, call.service.name, call.key);
  Platform::Transaction transaction;
  transaction.conditions.push_back({key, version});
  transaction.writes.push_back({key, SerializeRecord(record)});
  auto& store = m_api_context.environment.store;
  const auto commit = co_await store.Commit(transaction, Now() + STORE_TIMEOUT);
  if (commit)
    co_return true;
  LogEvent(LogLevel::Warning, "once.settle_later",
           {{"request", call.context.request}, {"reason", commit.Reason().detail}});
  Common::Spawn(StoreOutcomeLater(key, transaction));
  co_return false;
}

Task<void> PlainServices::StoreOutcomeLater(std::string key, Platform::Transaction transaction)
{
  const auto late_commit =
      co_await m_api_context.environment.store.Commit(transaction, Now() + LATE_STORE_TIMEOUT);
  if (late_commit)
    m_pending_keys.erase(key);
}
} // namespace Callers

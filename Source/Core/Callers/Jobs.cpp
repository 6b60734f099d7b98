// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Callers/Jobs.h"

#include <algorithm>

#include <xxhash.h>

#include "Common/Digest.h"
#include "Common/Log.h"
#include "Common/Random.h"
#include "Decisions/Rendezvous.h"

namespace Callers
{
namespace
{
using Common::Failure;
using Common::FailureKind;
using Common::GetOr;
using Common::Json;
using Common::LogEvent;
using Common::LogLevel;
using Common::Milliseconds;
using Common::Now;
using Common::Task;
using Daemons::HolderStatus;

constexpr std::size_t JOB_ID_DIGITS = 32;
constexpr int SHARD_COUNT = 16;
constexpr std::int64_t JOB_DEADLINE_MS = 600000;
constexpr Milliseconds STORE_TIMEOUT{5000};
constexpr Milliseconds INITIAL_RETRY_DELAY{500};
constexpr Milliseconds MAX_RETRY_DELAY{10000};
constexpr std::size_t MAX_RUNNING_JOBS = 64;
constexpr int STATUS_OK = 200;
constexpr int STATUS_ACCEPTED = 202;

std::string JobKey(const std::string& id)
{
  return "job/" + id;
}

int ShardOf(const std::string& id)
{
  return static_cast<int>(XXH3_64bits(id.data(), id.size()) % SHARD_COUNT);
}

std::string OpenJobsPrefix(int shard)
{
  return "job-open/" + std::to_string(shard) + "/";
}

std::string OpenJobKey(const std::string& id)
{
  return OpenJobsPrefix(ShardOf(id)) + id;
}

std::string RequestObject(const std::string& id)
{
  return "jobs/" + id + "/request";
}

/// Each attempt writes a separate object, so that a late attempt cannot overwrite another's result.
std::string ResultObject(const Job& job)
{
  return "jobs/" + job.id + "/result-" + std::to_string(job.attempt);
}

std::string_view ToString(JobState state)
{
  switch (state)
  {
  case JobState::Open:
    return "open";
  case JobState::Done:
    return "done";
  case JobState::Failed:
    return "failed";
  }
  return "open";
}

/// Derives the id from the idempotency key, so that a retried submission maps to the same job.
std::string JobId(const Common::ServiceId& service, const std::string& key)
{
  if (key.empty())
    return Common::NewId("j-");
  const std::string text = service.Get() + "\n" + key;
  return "j-" + Common::Sha256Hex(text).substr(0, JOB_ID_DIGITS);
}

Json StatusAsJson(const Job& job)
{
  Json json = {{"id", job.id}, {"state", ToString(job.state)}, {"attempt", job.attempt}};
  if (!job.error.empty())
    json["error"] = job.error;
  return json;
}

void RespondWithFailure(Http::Exchange& exchange, const Failure& failure,
                        RunState run_state = RunState::NotRun)
{
  CallFailure refusal{failure, run_state};
  if (failure.kind == FailureKind::Unavailable)
    refusal.retry_after = Milliseconds(5000);
  Refuse(exchange, refusal, {});
}
} // namespace

std::string SerializeJob(const Job& job)
{
  const Json json = {{"id", job.id},
                     {"service", job.service.Get()},
                     {"state", ToString(job.state)},
                     {"attempt", job.attempt},
                     {"holder", job.holder.Get()},
                     {"holder_incarnation", job.holder_incarnation.Get()},
                     {"result", job.result_key},
                     {"error", job.error}};
  return Common::DumpJson(json);
}

std::optional<Job> ParseJob(const std::string& text)
{
  const auto json = Common::ParseJson(text);
  if (!json || !json->is_object())
    return std::nullopt;
  Job job;
  job.id = GetOr(*json, "id", std::string());
  job.service = Common::ServiceId(GetOr(*json, "service", std::string()));
  const std::string state = GetOr(*json, "state", std::string());
  job.state = state == "done"     ? JobState::Done
              : state == "failed" ? JobState::Failed
                                  : JobState::Open;
  job.attempt = GetOr(*json, "attempt", std::int64_t(0));
  job.holder = Common::VmId(GetOr(*json, "holder", std::string()));
  job.holder_incarnation = Common::Incarnation(GetOr(*json, "holder_incarnation", std::string()));
  job.result_key = GetOr(*json, "result", std::string());
  job.error = GetOr(*json, "error", std::string());
  if (job.id.empty())
    return std::nullopt;
  return job;
}

Jobs::Jobs(ApiContext& api_context, ChatRelay& relay, Milliseconds scan_interval)
    : m_api_context(api_context), m_relay(relay), m_scan_interval(scan_interval)
{
}

void Jobs::Start()
{
  Common::Spawn(Scan());
}

Task<void> Jobs::Serve(Http::ExchangePtr exchange)
{
  const std::string prefix = "/v1/jobs";
  std::string rest = exchange->Path().substr(std::min(prefix.size(), exchange->Path().size()));
  if (exchange->Method() == "POST" && (rest.empty() || rest == "/"))
    co_return co_await Submit(exchange);
  if (exchange->Method() != "GET" || rest.size() < 2)
  {
    const Failure failure{FailureKind::NotFound, "expected POST /v1/jobs or GET /v1/jobs/ID"};
    co_return RespondWithFailure(*exchange, failure);
  }
  rest.erase(0, 1);
  const bool result = rest.ends_with("/result");
  if (result)
    rest.erase(rest.rfind('/'));
  co_await LookUp(exchange, rest, result);
}

Task<void> Jobs::Submit(Http::ExchangePtr exchange)
{
  auto context = IdentifyCaller(m_api_context, *exchange, Milliseconds(JOB_DEADLINE_MS));
  if (!context)
    co_return RespondWithFailure(*exchange, context.Reason());
  if (m_api_context.stopping)
  {
    const Failure failure{FailureKind::Stopping, "this daemon is stopping"};
    co_return RespondWithFailure(*exchange, failure);
  }
  bool stream = false;
  const auto parsed = ParseChat(m_api_context, *context, exchange->Body(), &stream);
  if (!parsed)
    co_return RespondWithFailure(*exchange, parsed.Reason());
  auto& store = m_api_context.environment.store;
  const auto& self = m_api_context.environment.membership.Self();
  Job job;
  job.id = JobId(context->service.id, exchange->Header("idempotency-key"));
  job.service = context->service.id;
  job.attempt = 1;
  job.holder = self.vm;
  job.holder_incarnation = self.incarnation;
  const auto stored = co_await store.PutObject(RequestObject(job.id), exchange->Body());
  if (!stored)
  {
    const Failure failure{FailureKind::Unavailable, "the job cannot be stored now"};
    co_return RespondWithFailure(*exchange, failure);
  }
  Platform::Transaction transaction;
  transaction.conditions.push_back({JobKey(job.id), 0});
  transaction.writes.push_back({JobKey(job.id), SerializeJob(job)});
  transaction.writes.push_back({OpenJobKey(job.id), "1"});
  const auto outcome = co_await store.Commit(transaction, Now() + STORE_TIMEOUT);
  if (!outcome)
  {
    const bool unsent = outcome.Reason().kind == FailureKind::NotSent;
    const Failure failure{FailureKind::Unavailable, "the job cannot be stored now"};
    co_return RespondWithFailure(*exchange, failure, unsent ? RunState::NotRun : RunState::Unknown);
  }
  const Json response = {{"id", job.id}, {"state", "open"}};
  exchange->RespondJson(STATUS_ACCEPTED, response);
  m_api_context.metrics.CountRequest("job", outcome->committed ? "ok" : "known");
  if (!outcome->committed)
    co_return;
  LogEvent(LogLevel::Info, "job.accepted", {{"job", job.id}, {"request", context->request}});
  co_await Run(job, outcome->version);
}

Task<void> Jobs::LookUp(Http::ExchangePtr exchange, std::string id, bool result)
{
  auto context = IdentifyCaller(m_api_context, *exchange, {});
  if (!context)
    co_return RespondWithFailure(*exchange, context.Reason());
  auto& store = m_api_context.environment.store;
  const auto row = co_await store.ReadOne(JobKey(id));
  if (!row)
  {
    const Failure failure{FailureKind::Unavailable, "the platform does not respond"};
    co_return RespondWithFailure(*exchange, failure);
  }
  const auto job = ParseJob(row->value);
  // A caller must not learn that a job of another service exists.
  if (!job || job->service != context->service.id)
  {
    const Failure failure{FailureKind::NotFound, "no job " + id};
    co_return RespondWithFailure(*exchange, failure);
  }
  if (!result)
    co_return exchange->RespondJson(STATUS_OK, StatusAsJson(*job));
  if (job->state != JobState::Done)
  {
    const Failure failure{FailureKind::Conflict, "the job is " + std::string(ToString(job->state))};
    co_return RespondWithFailure(*exchange, failure, RunState::Unknown);
  }
  auto content = co_await store.GetObject(job->result_key);
  if (!content)
    co_return RespondWithFailure(*exchange, content.Reason(), RunState::Ran);
  exchange->Respond(STATUS_OK, "application/json", std::move(*content));
}

Task<void> Jobs::Scan()
{
  while (true)
  {
    co_await Common::Sleep{m_scan_interval};
    if (m_api_context.stopping || !m_api_context.environment.table.HasTable())
      continue;
    const auto live = m_api_context.environment.membership.LiveEverywhere(Now());
    for (int shard = 0; shard < SHARD_COUNT; ++shard)
    {
      const auto owner = Decisions::PickByRendezvous("jobs/" + std::to_string(shard), live);
      if (owner == m_api_context.environment.Self())
        co_await ScanShard(shard);
    }
  }
}

Task<void> Jobs::ScanShard(int shard)
{
  const std::string prefix = OpenJobsPrefix(shard);
  const auto rows = co_await m_api_context.environment.store.List(prefix);
  if (!rows)
    co_return;
  for (const Platform::StoredRow& row : *rows)
  {
    const std::string id = row.key.substr(prefix.size());
    if (m_running.size() < MAX_RUNNING_JOBS && !m_running.contains(id))
      co_await TryTakeOver(id);
  }
}

/// Takes over an open job unless a live daemon that is not stopping holds it. Also resumes a job
/// that this VM holds but does not run. An unresponsive holder may still finish the job: then one
/// of the two commits fails, and there is still only one result.
Task<void> Jobs::TryTakeOver(std::string id)
{
  const auto row = co_await m_api_context.environment.store.ReadOne(JobKey(id));
  if (!row)
    co_return;
  auto job = ParseJob(row->value);
  if (!job || job->state != JobState::Open || m_running.contains(id))
    co_return;
  const auto& membership = m_api_context.environment.membership;
  Common::TimePoint since;
  const auto status = membership.StatusOf(job->holder, job->holder_incarnation, Now(), &since);
  const auto* peer = membership.Find(job->holder);
  const bool leaving = peer && peer->last_heartbeat.leaving;
  const bool own = job->holder == membership.Self().vm;
  if (status == HolderStatus::Alive && !leaving && !own)
    co_return;
  job->holder = membership.Self().vm;
  job->holder_incarnation = membership.Self().incarnation;
  ++job->attempt;
  Platform::Transaction transaction;
  transaction.conditions.push_back({JobKey(id), row->version});
  transaction.writes.push_back({JobKey(id), SerializeJob(*job)});
  const auto outcome =
      co_await m_api_context.environment.store.Commit(transaction, Now() + STORE_TIMEOUT);
  if (!outcome || !outcome->committed)
    co_return;
  LogEvent(LogLevel::Info, "job.taken_over", {{"job", id}, {"attempt", job->attempt}});
  Common::Spawn(Run(*job, outcome->version));
}

Task<void> Jobs::Run(Job job, std::int64_t version)
{
  if (!m_running.insert(job.id).second)
    co_return;
  Milliseconds delay = INITIAL_RETRY_DELAY;
  while (!m_api_context.stopping)
  {
    const bool ended = co_await RunAttempt(job, version);
    if (ended)
      break;
    co_await Common::Sleep{delay};
    delay = std::min(delay * 2, MAX_RETRY_DELAY);
  }
  m_running.erase(job.id);
}

Task<std::variant<ChatResponse, CallFailure>> Jobs::Complete(Job job, std::string body)
{
  CallContext context;
  context.request =
      Common::RequestId(job.id + "." + std::to_string(job.attempt) + Common::NewId("."));
  const auto* service = m_api_context.environment.table.Current().FindService(job.service);
  if (service)
    context.service = *service;
  context.service.id = job.service;
  context.arrived = Now();
  context.timeout = Milliseconds(JOB_DEADLINE_MS);
  bool stream = false;
  auto json = Common::ParseJson(body).value_or(Json::object());
  json["stream"] = false;
  auto request = ParseChat(m_api_context, context, Common::DumpJson(json), &stream);
  if (!request)
    co_return CallFailure{request.Reason(), RunState::NotRun};
  co_return co_await m_relay.FetchResponse(std::move(*request));
}

/// Returns true if the job has ended or another daemon has taken it over.
Task<bool> Jobs::RunAttempt(Job job, std::int64_t version)
{
  auto& store = m_api_context.environment.store;
  auto body = co_await store.GetObject(RequestObject(job.id));
  if (!body)
    co_return false;
  auto response = co_await Complete(job, std::move(*body));
  if (const auto* failure = std::get_if<CallFailure>(&response))
  {
    LogEvent(LogLevel::Warning, "job.attempt_failed",
             {{"job", job.id}, {"reason", failure->failure.detail}});
    // Only input that can never run fails the job. Any other failure may be temporary; even a model
    // that is missing from the table may be added again.
    if (failure->failure.kind != FailureKind::InvalidInput)
      co_return false;
    job.state = JobState::Failed;
    job.error = failure->failure.detail;
    co_return co_await CommitFinalState(job, version);
  }
  const std::string key = ResultObject(job);
  const auto stored = co_await store.PutObject(key, std::get<ChatResponse>(response).body);
  if (!stored)
    co_return false;
  job.state = JobState::Done;
  job.result_key = key;
  co_return co_await CommitFinalState(job, version);
}

Task<bool> Jobs::CommitFinalState(Job job, std::int64_t version)
{
  Platform::Transaction transaction;
  transaction.conditions.push_back({JobKey(job.id), version});
  transaction.writes.push_back({JobKey(job.id), SerializeJob(job)});
  transaction.writes.push_back({OpenJobKey(job.id), std::nullopt});
  const auto outcome =
      co_await m_api_context.environment.store.Commit(transaction, Now() + STORE_TIMEOUT);
  if (!outcome)
    co_return false;
  LogEvent(LogLevel::Info, outcome->committed ? "job.ended" : "job.lost",
           {{"job", job.id}, {"attempt", job.attempt}});
  co_return true;
}
} // namespace Callers

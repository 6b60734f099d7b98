// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Callers/ChatApi.h"

#include "Common/Log.h"
#include "Common/Random.h"

namespace Callers
{
namespace
{
using Common::Failure;
using Common::FailureKind;
using Common::GetOr;
using Common::Json;
using Common::Result;
using Common::Task;

constexpr std::size_t MAX_AFFINITY_BYTES = 256;
constexpr int STATUS_OK = 200;

/// Returns the beginning of the conversation as routing affinity: requests with the same beginning
/// can share the prefix cache of a backend server.
std::string Affinity(const Json& body)
{
  const Json& messages = Common::GetArray(body, "messages");
  if (messages.empty())
    return {};
  return GetOr(messages.front(), "content", std::string()).substr(0, MAX_AFFINITY_BYTES);
}

void RefuseAndCount(ApiContext& api_context, Http::Exchange& exchange, const Failure& failure,
                    const Common::RequestId& request)
{
  CallFailure refusal{failure, RunState::NotRun};
  if (failure.kind == FailureKind::Overloaded || failure.kind == FailureKind::Unavailable)
    refusal.retry_after = Common::Milliseconds(1000);
  api_context.metrics.CountRequest("chat", std::string(ToString(failure.kind)));
  Refuse(exchange, refusal, request);
}
} // namespace

Result<ChatRequest> ParseChat(ApiContext& api_context, CallContext context, const std::string& body,
                              bool* stream)
{
  auto json = Common::ParseJson(body);
  if (!json || !json->is_object())
    return {FailureKind::InvalidInput, "the request body is not a JSON object"};
  const std::string model = GetOr(*json, "model", std::string());
  if (model.empty())
    return {FailureKind::InvalidInput, "\"model\" must be a non-empty string"};
  if (!json->contains("messages") || !(*json)["messages"].is_array())
    return {FailureKind::InvalidInput, "\"messages\" must be an array"};
  const Table::Artifact* artifact =
      api_context.environment.table.Current().Resolve(model, Common::SharedRandom());
  if (!artifact)
    return {FailureKind::NotFound, "the table has no model \"" + model + "\""};
  ChatRequest request;
  request.context = std::move(context);
  request.artifact = *artifact;
  request.affinity = Affinity(*json);
  *stream = GetOr(*json, "stream", false);
  (*json)["model"] = artifact->id.Get();
  request.body = Common::DumpJson(*json);
  return request;
}

Task<void> ChatApi::Complete(Http::ExchangePtr exchange)
{
  if (exchange->Method() != "POST")
  {
    const Failure failure{FailureKind::InvalidInput, "expected POST"};
    co_return RefuseAndCount(m_api_context, *exchange, failure, {});
  }
  auto context = IdentifyCaller(m_api_context, *exchange, {});
  if (!context)
    co_return RefuseAndCount(m_api_context, *exchange, context.Reason(), {});
  bool stream = false;
  auto request = ParseChat(m_api_context, *context, exchange->Body(), &stream);
  if (!request)
    co_return RefuseAndCount(m_api_context, *exchange, request.Reason(), context->request);
  if (exchange->Header("x-deadline-ms").empty() && request->artifact.deadline.count() > 0)
    request->context.timeout = request->artifact.deadline;
  const OpenRequestCounter open(m_api_context, context->service.id);
  if (stream)
    co_return co_await m_relay.StreamResponse(std::move(*request), exchange);
  auto result = co_await m_relay.FetchResponse(std::move(*request));
  if (const auto* failure = std::get_if<CallFailure>(&result))
  {
    m_api_context.metrics.CountRequest("chat", std::string(ToString(failure->failure.kind)));
    co_return Refuse(*exchange, *failure, context->request);
  }
  m_api_context.metrics.CountRequest("chat", "ok");
  ChatResponse& response = std::get<ChatResponse>(result);
  const Http::Headers headers{{"X-Request-Id", context->request.Get()},
                              {"X-Drumpond-Server", response.server.Get()}};
  exchange->Respond(STATUS_OK, "application/json", std::move(response.body), headers);
}

Task<void> ChatApi::ListModels(Http::ExchangePtr exchange)
{
  auto context = IdentifyCaller(m_api_context, *exchange, {});
  if (!context)
    co_return RefuseAndCount(m_api_context, *exchange, context.Reason(), {});
  Json models = Json::array();
  for (const std::string& name : m_api_context.environment.table.Current().ModelNames())
    models.push_back({{"id", name}, {"object", "model"}, {"owned_by", "drumpond"}});
  const Json body = {{"object", "list"}, {"data", models}};
  exchange->RespondJson(STATUS_OK, body);
}
} // namespace Callers

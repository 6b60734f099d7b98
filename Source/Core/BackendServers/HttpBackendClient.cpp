// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "BackendServers/HttpBackendClient.h"

#include <algorithm>

namespace BackendServers
{
namespace
{
using Common::ArtifactId;
using Common::Done;
using Common::Failure;
using Common::FailureKind;
using Common::GetArray;
using Common::GetOr;
using Common::Json;
using Common::Result;
using Common::Task;

constexpr Common::Milliseconds REPORT_TIMEOUT{1000};
constexpr int STATUS_OK = 200;
constexpr int FIRST_CLIENT_ERROR_STATUS = 400;
constexpr int FIRST_SERVER_ERROR_STATUS = 500;
constexpr std::int64_t MAX_CAPACITY_MB = 100'000'000;

std::string_view OrderName(OrderKind kind)
{
  switch (kind)
  {
  case OrderKind::Load:
    return "load";
  case OrderKind::Unload:
    return "unload";
  case OrderKind::RaiseFence:
    return "fence";
  }
  return "fence";
}

ArtifactState ParseState(const std::string& text)
{
  if (text == "loaded")
    return ArtifactState::Loaded;
  return text == "unloading" ? ArtifactState::Unloading : ArtifactState::Loading;
}

ReportedArtifact ParseArtifact(const Json& json)
{
  ReportedArtifact artifact;
  artifact.id = ArtifactId(GetOr(json, "id", std::string()));
  artifact.state = ParseState(GetOr(json, "state", std::string()));
  artifact.running = GetOr(json, "running", std::int64_t(0));
  artifact.served = GetOr(json, "served", std::int64_t(0));
  artifact.idle = Common::Milliseconds(GetOr(json, "idle_ms", std::int64_t(0)));
  artifact.age = Common::Milliseconds(GetOr(json, "age_ms", std::int64_t(0)));
  return artifact;
}

std::vector<ArtifactId> ParseIds(const Json& json, const char* member)
{
  std::vector<ArtifactId> ids;
  for (const Json& item : GetArray(json, member))
    if (item.is_string())
      ids.emplace_back(item.get<std::string>());
  return ids;
}

Json ToJson(const BackendOrder& order)
{
  return {{"action", OrderName(order.kind)}, {"artifact", order.artifact.Get()},
          {"base", order.base.Get()},        {"memory_mb", order.memory.Get()},
          {"fence", order.fence.Get()},      {"incarnation", order.incarnation.Get()},
          {"claim", order.claim.Get()}};
}
} // namespace

Result<BackendReport> ParseReport(std::string_view text)
{
  const auto json = Common::ParseJson(text);
  if (!json || !json->is_object())
    return {FailureKind::Protocol, "the report is not a JSON object"};
  BackendReport report;
  report.vm = Common::VmId(GetOr(*json, "vm", std::string()));
  report.incarnation = Common::Incarnation(GetOr(*json, "incarnation", std::string()));
  report.capacity = Common::MegaBytes(GetOr(*json, "capacity_mb", std::int64_t(-1)));
  report.checks_fencing = GetOr(*json, "checks_fencing", false);
  report.fence = Common::FencingNumber(GetOr(*json, "fence", std::int64_t(0)));
  report.ready = GetOr(*json, "ready", false);
  report.running = GetOr(*json, "running", std::int64_t(0));
  report.max_running = GetOr(*json, "max_running", std::int64_t(0));
  std::ranges::transform(GetArray(*json, "artifacts"), std::back_inserter(report.artifacts),
                         ParseArtifact);
  report.on_disk = ParseIds(*json, "on_disk");
  report.in_memory = ParseIds(*json, "in_memory");
  if (report.vm.Empty() || report.incarnation.Empty())
    return {FailureKind::Protocol, "the report lacks a VM or an incarnation"};
  if (report.capacity.Get() < 0 || report.capacity.Get() > MAX_CAPACITY_MB)
    return {FailureKind::Protocol, "the capacity in the report is missing or out of range"};
  return report;
}

Http::Request HttpBackendClient::NewRequest(const char* method, const std::string& address,
                                            const std::string& path) const
{
  Http::Request request;
  request.method = method;
  request.url = "http://" + address + path;
  request.headers["X-Drumpond-Vm"] = m_vm.Get();
  return request;
}

Task<Result<BackendReport>> HttpBackendClient::Report(std::string address)
{
  Http::Request request = NewRequest("GET", address, "/v1/engine/report");
  request.timeout = REPORT_TIMEOUT;
  const auto response = co_await m_client.Send(std::move(request));
  if (!response)
    co_return response.Reason();
  if (response->status != STATUS_OK)
    co_return Failure{FailureKind::Unavailable, "the backend server did not return a report"};
  co_return ParseReport(response->body);
}

Task<Result<Done>> HttpBackendClient::Order(std::string address, BackendOrder order,
                                            Common::Milliseconds timeout)
{
  Http::Request request = NewRequest("POST", address, "/v1/engine/orders");
  request.body = Common::DumpJson(ToJson(order));
  request.timeout = timeout;
  const auto response = co_await m_client.Send(std::move(request));
  if (!response)
    co_return response.Reason();
  if (response->status == STATUS_OK)
    co_return Done{};
  const bool rejected =
      response->status >= FIRST_CLIENT_ERROR_STATUS && response->status < FIRST_SERVER_ERROR_STATUS;
  co_return Failure{rejected ? FailureKind::Refused : FailureKind::OutcomeUnknown, response->body};
}

Task<Result<std::unique_ptr<Http::ResponseStream>>> HttpBackendClient::Forward(Call call)
{
  Http::Request request = NewRequest(call.method.c_str(), call.address, call.path);
  request.headers.merge(call.headers);
  request.headers["X-Request-Id"] = call.request.Get();
  request.body = std::move(call.body);
  request.timeout = call.timeout;
  return m_client.Open(std::move(request));
}
} // namespace BackendServers

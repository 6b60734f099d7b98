// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Platform/HttpPlatform.h"

#include <algorithm>

#include <glib.h>

namespace Platform
{
namespace
{
using Common::Failure;
using Common::FailureKind;
using Common::GetArray;
using Common::GetOr;
using Common::Json;
using Common::Result;
using Common::Task;

constexpr int STATUS_OK = 200;
constexpr int STATUS_NOT_FOUND = 404;
constexpr int STATUS_CONFLICT = 409;

StoredRow RowFromJson(const Json& json)
{
  return {GetOr(json, "key", std::string()), GetOr(json, "version", std::int64_t(0)),
          GetOr(json, "value", std::string())};
}

std::vector<StoredRow> RowsFromJson(const Json& json, const char* member)
{
  std::vector<StoredRow> rows;
  std::ranges::transform(GetArray(json, member), std::back_inserter(rows), RowFromJson);
  return rows;
}

Json ToJson(const Transaction& transaction)
{
  Json conditions = Json::array();
  for (const Condition& condition : transaction.conditions)
    conditions.push_back({{"key", condition.key}, {"version", condition.version}});
  Json writes = Json::array();
  for (const Write& write : transaction.writes)
    writes.push_back({{"key", write.key}, {"value", write.value ? Json(*write.value) : Json()}});
  return {{"conditions", conditions}, {"writes", writes}};
}

VmEntry VmFromJson(const Json& json)
{
  VmEntry entry;
  entry.vm = Common::VmId(GetOr(json, "id", std::string()));
  entry.role = GetOr(json, "role", std::string());
  entry.data_centre = Common::DataCentreId(GetOr(json, "data_centre", std::string()));
  const bool leaving = GetOr(json, "state", std::string()) == "leaving";
  entry.state = leaving ? VmState::Leaving : VmState::Live;
  entry.address = GetOr(json, "address", std::string());
  return entry;
}

std::string EscapeQuery(const std::string& text)
{
  char* escaped = g_uri_escape_string(text.c_str(), "/", FALSE);
  std::string copy = escaped;
  g_free(escaped);
  return copy;
}

/// Parses the body of a response with status 200 or 409 (a conflict, whose body lists the rows).
/// Any other response is a failure.
Result<Json> ParseResponse(const Result<Http::Response>& response)
{
  if (!response)
    return response.Reason();
  if (response->status != STATUS_OK && response->status != STATUS_CONFLICT)
    return {FailureKind::Unavailable,
            "the platform responded with status " + std::to_string(response->status)};
  auto json = Common::ParseJson(response->body);
  if (!json)
    return {FailureKind::Protocol, "the platform's response is not JSON"};
  return *json;
}
} // namespace

HttpPlatform::HttpPlatform(std::string base_url, Common::VmId vm, Common::Milliseconds timeout)
    : m_base_url(std::move(base_url)), m_vm(std::move(vm)), m_timeout(timeout)
{
}

Http::Request HttpPlatform::NewRequest(const char* method, const std::string& path) const
{
  Http::Request request;
  request.method = method;
  request.url = m_base_url + path;
  request.headers["X-Drumpond-Vm"] = m_vm.Get();
  request.timeout = m_timeout;
  return request;
}

Task<Result<CommitOutcome>> HttpPlatform::Commit(Transaction transaction,
                                                 Common::Milliseconds timeout)
{
  Http::Request request = NewRequest("POST", "/v1/txn");
  request.body = Common::DumpJson(ToJson(transaction));
  request.timeout = timeout;
  const auto response = co_await m_client.Send(std::move(request));
  const auto json = ParseResponse(response);
  if (!json && json.Reason().kind == FailureKind::Unavailable)
    co_return Failure{FailureKind::OutcomeUnknown, json.Reason().detail};
  if (!json)
    co_return json.Reason();
  CommitOutcome outcome;
  outcome.committed = response->status == STATUS_OK;
  outcome.version = GetOr(*json, "version", std::int64_t(0));
  outcome.conflicts = RowsFromJson(*json, "conflicts");
  co_return outcome;
}

Task<Result<std::vector<StoredRow>>> HttpPlatform::Read(std::vector<std::string> keys)
{
  Http::Request request = NewRequest("POST", "/v1/read");
  const Json body = {{"keys", keys}};
  request.body = Common::DumpJson(body);
  const auto json = ParseResponse(co_await m_client.Send(std::move(request)));
  if (!json)
    co_return json.Reason();
  co_return RowsFromJson(*json, "rows");
}

Task<Result<std::vector<StoredRow>>> HttpPlatform::List(std::string prefix)
{
  Http::Request request = NewRequest("GET", "/v1/list?prefix=" + EscapeQuery(prefix));
  const auto json = ParseResponse(co_await m_client.Send(std::move(request)));
  if (!json)
    co_return json.Reason();
  co_return RowsFromJson(*json, "rows");
}

Task<Result<Common::Done>> HttpPlatform::PutObject(std::string key, std::string content)
{
  Http::Request request = NewRequest("PUT", "/v1/objects/" + EscapeQuery(key));
  request.body = std::move(content);
  request.content_type = "application/octet-stream";
  const auto json = ParseResponse(co_await m_client.Send(std::move(request)));
  if (!json)
    co_return json.Reason();
  co_return Common::Done{};
}

Task<Result<std::string>> HttpPlatform::GetObject(std::string key)
{
  Http::Request request = NewRequest("GET", "/v1/objects/" + EscapeQuery(key));
  auto response = co_await m_client.Send(std::move(request));
  if (!response)
    co_return response.Reason();
  if (response->status == STATUS_NOT_FOUND)
    co_return Failure{FailureKind::NotFound, "no object with the key " + key};
  if (response->status != STATUS_OK)
    co_return Failure{FailureKind::Unavailable, "the platform responded with an unexpected status"};
  co_return std::move(response->body);
}

Task<Result<std::vector<VmEntry>>> HttpPlatform::ListVms()
{
  Http::Request request = NewRequest("GET", "/v1/vms");
  const auto json = ParseResponse(co_await m_client.Send(std::move(request)));
  if (!json)
    co_return json.Reason();
  std::vector<VmEntry> entries;
  std::ranges::transform(GetArray(*json, "vms"), std::back_inserter(entries), VmFromJson);
  co_return entries;
}
} // namespace Platform

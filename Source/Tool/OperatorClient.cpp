// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Tool/OperatorClient.h"

#include <optional>

#include <glib.h>

#include "Common/Task.h"
#include "Http/Client.h"

namespace Tool
{
namespace
{
using Common::FailureKind;
using Common::Json;
using Common::Result;

constexpr Common::Milliseconds TIMEOUT{15000};
constexpr int STATUS_OK = 200;

/// Runs the main loop until the exchange has ended.
Result<Http::Response> SendBlocking(Http::Request request)
{
  Http::Client client;
  std::optional<Result<Http::Response>> result;
  GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
  const auto run = [&](Http::Request outgoing) -> Common::Task<void> {
    auto response = co_await client.Send(std::move(outgoing));
    result.emplace(std::move(response));
    g_main_loop_quit(loop);
  };
  Common::Spawn(run(std::move(request)));
  if (!result)
    g_main_loop_run(loop);
  g_main_loop_unref(loop);
  return *result;
}

FailureKind FailureKindFromResponse(const std::string& type, int status)
{
  if (type == "conflict")
    return FailureKind::Conflict;
  if (type == "invalid_input")
    return FailureKind::InvalidInput;
  if (type == "not_found")
    return FailureKind::NotFound;
  if (type == "unauthorized" || status == 403)
    return FailureKind::Unauthorized;
  if (type == "outcome_unknown")
    return FailureKind::OutcomeUnknown;
  return FailureKind::Unavailable;
}
} // namespace

OperatorClient::OperatorClient(std::string address, std::string token)
    : m_address(std::move(address)), m_token(std::move(token))
{
}

Result<Json> OperatorClient::Get(const std::string& path) const
{
  return Call("GET", path, {});
}

Result<Json> OperatorClient::Post(const std::string& path, const Json& body) const
{
  return Call("POST", path, Common::DumpJson(body));
}

Result<Json> OperatorClient::Call(const std::string& method, const std::string& path,
                                  const std::string& body) const
{
  Http::Request request;
  request.method = method;
  request.url = "http://" + m_address + path;
  request.body = body;
  request.timeout = TIMEOUT;
  if (!m_token.empty())
    request.headers["Authorization"] = "Bearer " + m_token;
  const auto response = SendBlocking(std::move(request));
  if (!response)
    return response.Reason();
  auto json = Common::ParseJson(response->body);
  if (response->status != STATUS_OK)
  {
    const Json error = json ? json->value("error", Json::object()) : Json::object();
    return {FailureKindFromResponse(Common::GetOr(error, "type", std::string()), response->status),
            Common::GetOr(error, "message", "status " + std::to_string(response->status))};
  }
  if (!json)
    return {FailureKind::Protocol, "the daemon's response is not JSON"};
  return *json;
}
} // namespace Tool

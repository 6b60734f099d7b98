// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Callers/CallContext.h"

#include <algorithm>
#include <charconv>

#include "Common/Digest.h"
#include "Common/Random.h"

namespace Callers
{
namespace
{
using Common::FailureKind;
using Common::Milliseconds;
using Common::Result;

constexpr std::int64_t DEFAULT_DEADLINE_MS = 30000;
constexpr std::int64_t MAX_DEADLINE_MS = 3600000;
constexpr std::size_t MAX_REQUEST_ID_LENGTH = 128;
constexpr std::string_view BEARER_PREFIX = "Bearer ";

Result<Table::Service> AuthenticateService(const Table::Catalog& catalog,
                                           const Http::Exchange& exchange)
{
  if (!catalog.HasServiceKeys())
  {
    Table::Service anonymous;
    anonymous.id = Common::ServiceId("anonymous");
    return anonymous;
  }
  const std::string header = exchange.Header("authorization");
  if (!header.starts_with(BEARER_PREFIX))
    return {FailureKind::Unauthorized, "expected the header Authorization: Bearer KEY"};
  const Table::Service* service =
      catalog.FindServiceByKeyHash(Common::Sha256Hex(header.substr(BEARER_PREFIX.size())));
  if (!service)
    return {FailureKind::Unauthorized, "no service in the table has this key"};
  return *service;
}

/// Uses the caller's request id if it is well formed, so that the request can be traced across both
/// sides' logs. Otherwise generates one.
Common::RequestId RequestIdOf(const Http::Exchange& exchange)
{
  const std::string given = exchange.Header("x-request-id");
  const bool well_formed = std::ranges::all_of(given, [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.';
  });
  if (!given.empty() && given.size() <= MAX_REQUEST_ID_LENGTH && well_formed)
    return Common::RequestId(given);
  return Common::RequestId(Common::NewId("r-"));
}

std::optional<std::int64_t> ParseDeadline(const std::string& text)
{
  std::int64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size() || number <= 0)
    return std::nullopt;
  return std::min(number, MAX_DEADLINE_MS);
}
} // namespace

OpenRequestCounter::OpenRequestCounter(ApiContext& api_context, Common::ServiceId service)
    : m_api_context(api_context), m_service(std::move(service))
{
  ++m_api_context.open_requests[m_service];
}

OpenRequestCounter::~OpenRequestCounter()
{
  --m_api_context.open_requests[m_service];
}

Result<CallContext> IdentifyCaller(ApiContext& api_context, const Http::Exchange& exchange,
                                   Milliseconds default_timeout)
{
  if (!api_context.environment.table.HasTable())
    return {FailureKind::Unavailable, "this daemon has no table yet"};
  const Table::Catalog& catalog = api_context.environment.table.Current();
  auto service = AuthenticateService(catalog, exchange);
  if (!service)
    return service.Reason();
  if (service->limit > 0 && api_context.open_requests[service->id] >= service->limit)
    return {FailureKind::Overloaded, "the service has reached its limit of " +
                                         std::to_string(service->limit) + " open requests"};
  CallContext context;
  context.request = RequestIdOf(exchange);
  context.service = *service;
  context.arrived = Common::Now();
  context.timeout = default_timeout;
  if (context.timeout.count() <= 0)
    context.timeout = Milliseconds(catalog.SettingNumber("deadline_ms", DEFAULT_DEADLINE_MS));
  if (service->deadline.count() > 0)
    context.timeout = service->deadline;
  const std::string header = exchange.Header("x-deadline-ms");
  if (header.empty())
    return context;
  const auto given = ParseDeadline(header);
  if (!given)
    return {FailureKind::InvalidInput, "X-Deadline-Ms must be a positive number of milliseconds"};
  context.timeout = Milliseconds(*given);
  return context;
}
} // namespace Callers

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
constexpr std::size_t MAX_REQUEST_ID = 128;
constexpr std::string_view BEARER = "Bearer ";

Result<Table::Service> FindService(const Table::Catalog& catalog, const Http::Exchange& exchange)
{
  if (!catalog.HasServiceKeys())
  {
    Table::Service anonymous;
    anonymous.id = Common::ServiceId("anonymous");
    return anonymous;
  }
  const std::string header = exchange.Header("authorization");
  if (!header.starts_with(BEARER))
    return {FailureKind::Unauthorized, "expected the header Authorization: Bearer KEY"};
  const Table::Service* service =
      catalog.FindServiceByKeyHash(Common::Sha256Hex(header.substr(BEARER.size())));
  if (!service)
    return {FailureKind::Unauthorized, "no service in the table has this key"};
  return *service;
}

/// Uses the caller's request id if it is well formed, so that the request can be traced across both
/// sides' logs. Otherwise generates one.
Common::RequestId RequestIdOf(const Http::Exchange& exchange)
{
  const std::string given = exchange.Header("x-request-id");
  const bool plain = std::ranges::all_of(given, [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.';
  });
  if (!given.empty() && given.size() <= MAX_REQUEST_ID && plain)
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

OpenRequest::OpenRequest(Gateway& gateway, Common::ServiceId service)
    : m_gateway(gateway), m_service(std::move(service))
{
  ++m_gateway.open[m_service];
}

OpenRequest::~OpenRequest()
{
  --m_gateway.open[m_service];
}

Result<CallContext> Identify(Gateway& gateway, const Http::Exchange& exchange,
                             Milliseconds fallback)
{
  if (!gateway.environment.table.HasTable())
    return {FailureKind::Unavailable, "this daemon has no table yet"};
  const Table::Catalog& catalog = gateway.environment.table.Current();
  auto service = FindService(catalog, exchange);
  if (!service)
    return service.Reason();
  if (service->limit > 0 && gateway.open[service->id] >= service->limit)
    return {FailureKind::Overloaded, "the service has reached its limit of " +
                                         std::to_string(service->limit) + " open requests"};
  CallContext context;
  context.request = RequestIdOf(exchange);
  context.service = *service;
  context.arrived = Common::Now();
  context.patience = fallback;
  if (context.patience.count() <= 0)
    context.patience = Milliseconds(catalog.SettingNumber("deadline_ms", DEFAULT_DEADLINE_MS));
  if (service->deadline.count() > 0)
    context.patience = service->deadline;
  const std::string header = exchange.Header("x-deadline-ms");
  if (header.empty())
    return context;
  const auto given = ParseDeadline(header);
  if (!given)
    return {FailureKind::InvalidInput, "X-Deadline-Ms must be a positive number of milliseconds"};
  context.patience = Milliseconds(*given);
  return context;
}
} // namespace Callers

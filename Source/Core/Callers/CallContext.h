// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "Callers/CallFailure.h"
#include "Common/Loop.h"
#include "Common/Metrics.h"
#include "Http/Server.h"
#include "Serving/Environment.h"
#include "Serving/Router.h"

namespace Callers
{
/// State shared by all HTTP interfaces for callers.
struct ApiContext
{
  Serving::Environment& environment;
  Serving::Router& router;
  Common::Metrics& metrics;
  /// Number of open requests per calling service.
  std::map<Common::ServiceId, std::int64_t> open_requests;
  Decisions::RetryBudget retry_budget;
  bool stopping = false;
};

/// Id, calling service and deadline of a request, read from its headers.
struct CallContext
{
  Common::RequestId request;
  Table::Service service;
  Common::TimePoint arrived;
  Common::Milliseconds timeout{0};

  Common::TimePoint Deadline() const { return arrived + timeout; }
  Common::Milliseconds TimeLeft() const
  {
    return std::chrono::duration_cast<Common::Milliseconds>(Deadline() - Common::Now());
  }
};

/// Counts a request of `service` as open for the lifetime of this object.
class OpenRequestCounter
{
public:
  OpenRequestCounter(ApiContext& api_context, Common::ServiceId service);
  ~OpenRequestCounter();
  OpenRequestCounter(const OpenRequestCounter&) = delete;
  OpenRequestCounter& operator=(const OpenRequestCounter&) = delete;

private:
  ApiContext& m_api_context;
  Common::ServiceId m_service;
};

/// Identifies the calling service and checks its limit of open requests. `default_timeout` is the
/// timeout if neither the request (X-Deadline-Ms) nor the service's row in the table sets one; if
/// it is zero, the table's `deadline_ms` setting applies.
/// Failures: Unauthorized, InvalidInput, Overloaded, Unavailable.
Common::Result<CallContext> IdentifyCaller(ApiContext& api_context, const Http::Exchange& exchange,
                                           Common::Milliseconds default_timeout);
} // namespace Callers

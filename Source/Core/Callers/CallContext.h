// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "Callers/Answers.h"
#include "Common/Loop.h"
#include "Common/Metrics.h"
#include "Http/Server.h"
#include "Serving/Environment.h"
#include "Serving/Router.h"

namespace Callers
{
/// State shared by all HTTP interfaces for callers.
struct Gateway
{
  Serving::Environment& environment;
  Serving::Router& router;
  Common::Metrics& metrics;
  /// Number of open requests per calling service.
  std::map<Common::ServiceId, std::int64_t> open;
  Decisions::RetryBudget retries;
  bool stopping = false;
};

/// Id, calling service and deadline of a request, read from its headers.
struct CallContext
{
  Common::RequestId request;
  Table::Service service;
  Common::TimePoint arrived;
  Common::Milliseconds patience{0};

  Common::TimePoint Deadline() const { return arrived + patience; }
  Common::Milliseconds Left() const
  {
    return std::chrono::duration_cast<Common::Milliseconds>(Deadline() - Common::Now());
  }
};

/// Counts a request of `service` as open for the lifetime of this object.
class OpenRequest
{
public:
  OpenRequest(Gateway& gateway, Common::ServiceId service);
  ~OpenRequest();
  OpenRequest(const OpenRequest&) = delete;
  OpenRequest& operator=(const OpenRequest&) = delete;

private:
  Gateway& m_gateway;
  Common::ServiceId m_service;
};

/// Identifies the calling service and checks its limit of open requests. `fallback` is the timeout
/// if neither the request (X-Deadline-Ms) nor the service's row in the table sets one; if it is
/// zero, the table's `deadline_ms` setting applies.
/// Failures: Unauthorized, InvalidInput, Overloaded, Unavailable.
Common::Result<CallContext> Identify(Gateway& gateway, const Http::Exchange& exchange,
                                     Common::Milliseconds fallback);
} // namespace Callers

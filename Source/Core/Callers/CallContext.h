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
/// What the callers' interfaces share.
struct Gateway
{
  Serving::Environment& environment;
  Serving::Router& router;
  Common::Metrics& metrics;
  /// Open requests of each calling service.
  std::map<Common::ServiceId, std::int64_t> open;
  Decisions::RetryBudget retries;
  bool stopping = false;
};

/// Who calls, until when, and under which id: read from the head of the request.
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

/// Counts a request as open until it is destroyed.
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

/// Identifies the caller and checks its limits. `fallback` is the deadline where neither the
/// request (X-Deadline-Ms) nor its service in the table names one.
/// Failures: Unauthorized, InvalidInput, Overloaded, Unavailable.
Common::Result<CallContext> Identify(Gateway& gateway, const Http::Exchange& exchange,
                                     Common::Milliseconds fallback);
} // namespace Callers

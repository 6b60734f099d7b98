// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Callers/CallFailure.h"

#include <algorithm>

namespace Callers
{
using Common::FailureKind;

std::string_view ToString(RunState state)
{
  switch (state)
  {
  case RunState::NotRun:
    return "not_run";
  case RunState::Ran:
    return "ran";
  case RunState::Unknown:
    return "unknown";
  }
  return "unknown";
}

CallFailure MakeFailure(FailureKind kind, std::string detail, RunState run_state,
                        Common::Milliseconds retry_after)
{
  return CallFailure{{kind, std::move(detail)}, run_state, retry_after};
}

int HttpStatusOf(const CallFailure& failure)
{
  switch (failure.failure.kind)
  {
  case FailureKind::InvalidInput:
    return 400;
  case FailureKind::Unauthorized:
    return 401;
  case FailureKind::NotFound:
    return 404;
  case FailureKind::Conflict:
    return 409;
  case FailureKind::Overloaded:
    return 429;
  case FailureKind::Timeout:
  case FailureKind::DeadlineUnmeetable:
    return 504;
  case FailureKind::OutcomeUnknown:
  case FailureKind::Protocol:
    return 502;
  case FailureKind::None:
  case FailureKind::NotSent:
  case FailureKind::Refused:
  case FailureKind::Unavailable:
  case FailureKind::Stopping:
    return 503;
  }
  return 503;
}

Common::Json ToJson(const CallFailure& failure, const Common::RequestId& request)
{
  Common::Json error = {{"type", Common::ToString(failure.failure.kind)},
                        {"message", failure.failure.detail},
                        {"ran", ToString(failure.run_state)}};
  if (failure.retry_after.count() > 0)
    error["retry_after_ms"] = failure.retry_after.count();
  return {{"error", error}, {"request_id", request.Get()}};
}

void Refuse(Http::Exchange& exchange, const CallFailure& failure, const Common::RequestId& request)
{
  Http::Headers headers{{"X-Request-Id", request.Get()},
                        {"X-Drumpond-Ran", std::string(ToString(failure.run_state))}};
  if (failure.retry_after.count() > 0)
  {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(failure.retry_after);
    headers["Retry-After"] = std::to_string(seconds.count());
  }
  exchange.RespondJson(HttpStatusOf(failure), ToJson(failure, request), headers);
}
} // namespace Callers

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <string>
#include <string_view>

#include "Common/Failure.h"
#include "Common/Json.h"
#include "Common/Units.h"
#include "Http/Server.h"

namespace Callers
{
/// Whether a failed request was executed. Callers decide by it whether a retry is safe.
enum class RunState
{
  NotRun,  ///< Certainly not executed.
  Ran,     ///< Executed, but its response cannot be delivered.
  Unknown, ///< Possibly executed.
};

std::string_view ToString(RunState state);

/// A failed call as it is reported to the caller.
struct CallFailure
{
  Common::Failure failure;
  RunState run_state = RunState::NotRun;
  Common::Milliseconds retry_after{0};
};

CallFailure MakeFailure(Common::FailureKind kind, std::string detail, RunState run_state,
                        Common::Milliseconds retry_after = Common::Milliseconds(0));

/// Returns the HTTP status for a failure.
int HttpStatusOf(const CallFailure& failure);

/// Returns the response body:
/// {"error": {"type", "message", "ran", "retry_after_ms"}, "request_id"}.
Common::Json ToJson(const CallFailure& failure, const Common::RequestId& request);

/// Responds with the status and body for `failure`, and with Retry-After if it has a retry time.
void Refuse(Http::Exchange& exchange, const CallFailure& failure, const Common::RequestId& request);
} // namespace Callers

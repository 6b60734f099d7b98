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
/// What a caller must know of a request that failed.
enum class RunState
{
  NotRun,  ///< Certainly not run.
  Ran,     ///< Run, with an answer that cannot be given.
  Unknown, ///< It may have run.
};

std::string_view ToString(RunState state);

/// A failed call in the form that callers get.
struct CallFailure
{
  Common::Failure failure;
  RunState ran = RunState::NotRun;
  Common::Milliseconds retry_after{0};
};

CallFailure MakeFailure(Common::FailureKind kind, std::string detail, RunState ran,
                        Common::Milliseconds retry_after = Common::Milliseconds(0));

/// The HTTP status for a failure.
int StatusOf(const CallFailure& failure);

/// The body: {"error": {"type", "message", "ran", "retry_after_ms"}, "request_id"}.
Common::Json ToJson(const CallFailure& failure, const Common::RequestId& request);

/// Answers with status, body and, where it helps, Retry-After.
void Refuse(Http::Exchange& exchange, const CallFailure& failure, const Common::RequestId& request);
} // namespace Callers

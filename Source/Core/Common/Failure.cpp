// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Common/Failure.h"

namespace Common
{
std::string_view ToString(FailureKind kind)
{
  switch (kind)
  {
  case FailureKind::None:
    return "none";
  case FailureKind::InvalidInput:
    return "invalid_input";
  case FailureKind::NotFound:
    return "not_found";
  case FailureKind::Conflict:
    return "conflict";
  case FailureKind::NotSent:
    return "not_sent";
  case FailureKind::Refused:
    return "refused";
  case FailureKind::Overloaded:
    return "overloaded";
  case FailureKind::DeadlineUnmeetable:
    return "deadline_unmeetable";
  case FailureKind::Timeout:
    return "timeout";
  case FailureKind::OutcomeUnknown:
    return "outcome_unknown";
  case FailureKind::Unavailable:
    return "unavailable";
  case FailureKind::Protocol:
    return "protocol";
  case FailureKind::Unauthorized:
    return "unauthorized";
  case FailureKind::Stopping:
    return "stopping";
  }
  return "none";
}
} // namespace Common

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <algorithm>
#include <optional>

#include "Common/Units.h"
#include "Decisions/WeightCopies.h"

/// Decides whether a request for a model that no server has loaded waits or is refused immediately.
namespace Decisions
{
struct WaitForLoadInput
{
  Common::Milliseconds until_deadline{0};
  /// How long the caller waits without receiving any data.
  Common::Milliseconds idle_timeout{0};
  /// The fastest source of the weights on any server; nullopt if unknown.
  std::optional<WeightSource> nearest;
  Common::Milliseconds from_store{0}; ///< Duration of a load from the weight store.
  bool load_in_progress = false;      ///< Such a load has begun; the time left is unknown.
};

/// Returns the time until the model can be loaded if the request cannot wait that long; the request
/// is then refused now and should be retried after that time. Returns nullopt if it may wait.
///
/// Guards against this load pattern: many rarely requested models, most of them on no disk, and a
/// weight store that delivers two in 13 s. Requests that could not be served were held for 5.6 s
/// before they were refused. The time limit is the earlier of the caller's deadline and the time at
/// which it disconnects. A load from disk never causes a refusal, since the time until a server has
/// room for it is unknown.
inline std::optional<Common::Milliseconds> RetryAfterIfRefused(const WaitForLoadInput& input)
{
  const bool only_in_store = input.nearest == WeightSource::WeightStore && !input.load_in_progress;
  if (!only_in_store || input.from_store < std::min(input.until_deadline, input.idle_timeout))
    return std::nullopt;
  return input.from_store;
}
} // namespace Decisions

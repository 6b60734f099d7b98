// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <map>
#include <set>

#include "Crashes/CrashCase.h"

namespace Crashes
{
/// The server crashes of each blocked request.
using CrashesByRequest = std::map<Fingerprint, std::set<ServerInstance>>;

/// Returns the requests that are not needed to explain the crashes: all of their crashes are shared
/// with other requests, and no smallest set of requests that explains every crash contains them.
///
/// A request that crashes each server that runs it is in progress on many crashed servers, and so
/// are identical requests of many callers that run beside several of those. Together, the crashing
/// requests explain every crash; the others explain none that is left. Requests that cannot be told
/// apart are all kept. So are those of a group for which no set of at most three requests explains
/// what is left after the only suspects of some crash.
std::set<Fingerprint> FindBystanders(const CrashesByRequest& crashes);
} // namespace Crashes

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <map>
#include <set>

#include "Crashes/CrashCase.h"

namespace Crashes
{
/// How far a request had come on a server that crashed.
enum class Progress
{
  NotBegun,   ///< The server had sent nothing, wherever the request came from.
  Responding, ///< The server had begun to respond each time.
};

/// The server crashes of each blocked request.
using CrashesByRequest = std::map<Fingerprint, std::map<ServerInstance, Progress>>;

/// Returns the requests that are not needed to explain the crashes: all of their crashes are shared
/// with other requests, and no smallest set of requests that explains every crash contains them.
///
/// A request that crashes each server that runs it is in progress on many crashed servers, and so
/// are identical requests of many callers that run beside several of those. Together, the crashing
/// requests explain every crash; the others explain none that is left. Among requests that are not
/// the only suspect of any crash, a responding one is no suspect of a crash beside one that had not
/// begun. Requests that cannot be told apart are all kept. So are those of a group for which no set
/// of at most three requests explains what is left after the only suspects of some crash.
std::set<Fingerprint> FindBystanders(const CrashesByRequest& crashes);
} // namespace Crashes

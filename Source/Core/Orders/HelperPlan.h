// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <map>
#include <set>
#include <vector>

#include "Fleet/HandoverPlanner.h"
#include "Http/TcpStream.h"

namespace Orders
{
/// The message endpoints of all daemons by their data centre.
using DaemonsByPlace = std::map<Fleet::PlaceHash, std::vector<Http::Endpoint>>;

/// How many helpers a daemon is assigned, and how many of them at most in its own data centre.
inline constexpr std::size_t MAX_HELPERS = 8;
inline constexpr std::size_t NEAR_HELPERS = 5;

/// Assigns each daemon the others that may open tunnels to backend servers for it, those of its own
/// data centre first. The choice is random; in one data centre each daemon is assigned equally
/// often. Daemons in `unfit`, which reach no server themselves, help nobody, unless that is all
/// daemons. The cost grows with the number of daemons times that of data centres.
std::map<Http::Endpoint, std::vector<Http::Endpoint>>
PlanHelpers(DaemonsByPlace daemons, const std::set<Http::Endpoint>& unfit = {});
} // namespace Orders

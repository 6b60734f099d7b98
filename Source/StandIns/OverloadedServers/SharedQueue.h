// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <vector>

#include "Common/Reactor.h"

namespace OverloadedServers
{
/// The response times that requests with these arrivals, in ascending order, have in a single queue
/// in front of slots with these service times. A request takes the slot that has been free longest,
/// or the next that becomes free.
std::vector<Common::Milliseconds>
ResponseTimesInOneQueue(const std::vector<Common::TimePoint>& arrivals,
                        const std::vector<Common::Milliseconds>& slots);
} // namespace OverloadedServers

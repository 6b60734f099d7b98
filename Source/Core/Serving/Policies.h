// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <variant>

#include "Decisions/Admission.h"
#include "Decisions/LoadOrder.h"
#include "Decisions/Placement.h"
#include "Decisions/Retention.h"
#include "Decisions/Routing.h"

namespace Serving
{
using PlacementChoice = std::variant<Decisions::CacheAwarePlacement, Decisions::FirstFitPlacement>;
using RetentionChoice = std::variant<Decisions::CostRetention, Decisions::FixedKeepAlive>;
using RoutingChoice = std::variant<Decisions::AffinityRouting, Decisions::RoundRobinRouting>;
using LoadOrderChoice = std::variant<Decisions::UrgencyOrder, Decisions::FifoOrder>;

/// The policy that this daemon uses for each kind of decision.
struct Policies
{
  PlacementChoice placement;
  RetentionChoice retention = Decisions::CostRetention(20);
  RoutingChoice routing;
  LoadOrderChoice load_order;
  bool fair_queue = true; ///< If false, requests are served in FIFO order.
};
} // namespace Serving

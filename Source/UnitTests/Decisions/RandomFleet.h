// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>

#include <pcg_random.hpp>

#include "Decisions/ReplicaPlan.h"

namespace UnitTests
{
struct FleetSize
{
  std::size_t servers = 1;
  std::size_t models = 1;
  std::size_t waiting = 0; ///< Models that requests wait for.
};

/// Servers with three places each, most of them taken and some in use, eighteen models on each disk
/// and two in each memory, and requests that wait for some models: a moment of a loaded fleet.
Decisions::ReplicaPlanInput RandomFleet(const FleetSize& size, pcg64& random);
} // namespace UnitTests

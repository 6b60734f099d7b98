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
  std::size_t waiting = 0; ///< Models with waiting requests.
};

/// Generates a snapshot of a loaded fleet: servers with room for three models each, most of it
/// taken and some models in use, eighteen models on each disk and two in each host memory, and
/// requests that wait for some models.
Decisions::ReplicaPlanInput RandomFleet(const FleetSize& size, pcg64& random);
} // namespace UnitTests

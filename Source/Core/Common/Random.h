// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <string>

#include <pcg_random.hpp>

namespace Common
{
/// Random generator type. Decisions take the generator as a parameter.
using Random = pcg64;

/// The process-wide generator, seeded from the operating system.
Random& SharedRandom();

/// Returns `prefix` followed by 128 random bits in hexadecimal.
std::string NewId(const char* prefix);
} // namespace Common

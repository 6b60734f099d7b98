// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <string>

#include <pcg_random.hpp>

namespace Common
{
/// The random generator of all decisions; they take it as a parameter.
using Random = pcg64;

/// The process-wide generator, seeded from the operating system.
Random& SharedRandom();

/// A new identifier of 128 random bits in hexadecimal, behind `prefix`.
std::string NewId(const char* prefix);
} // namespace Common

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Common/Random.h"

#include <array>
#include <cstdio>
#include <random>

#include <pcg_extras.hpp>

namespace Common
{
Random& SharedRandom()
{
  static Random s_random{pcg_extras::seed_seq_from<std::random_device>{}};
  return s_random;
}

std::string NewId(const char* prefix)
{
  Random& random = SharedRandom();
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(random()),
                static_cast<unsigned long long>(random()));
  return prefix + std::string(text.data());
}
} // namespace Common

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "Common/Units.h"

namespace Decisions
{
/// The weight of `member` for `key` in rendezvous hashing (XXH3).
std::uint64_t RendezvousWeight(std::string_view key, std::string_view member);

/// Returns the member with the highest weight for `key`; nullopt if there are no members. Adding or
/// removing a member remaps only the keys that are assigned to that member.
std::optional<Common::VmId> PickByRendezvous(std::string_view key,
                                             const std::vector<Common::VmId>& members);
} // namespace Decisions

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Decisions/Rendezvous.h"

#include <xxhash.h>

namespace Decisions
{
std::uint64_t RendezvousWeight(std::string_view key, std::string_view member)
{
  return XXH3_64bits_withSeed(key.data(), key.size(), XXH3_64bits(member.data(), member.size()));
}

std::optional<Common::VmId> PickByRendezvous(std::string_view key,
                                             const std::vector<Common::VmId>& members)
{
  const auto best = std::ranges::max_element(members, {}, [key](const Common::VmId& member) {
    return RendezvousWeight(key, member.Get());
  });
  if (best == members.end())
    return std::nullopt;
  return *best;
}
} // namespace Decisions

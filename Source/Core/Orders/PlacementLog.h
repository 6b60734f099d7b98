// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "Orders/Messages.h"

namespace Orders
{
/// Placements that the holder passes on.
struct PlacementNews
{
  std::uint64_t from = 0; ///< The lines that changed after this version,
  std::uint64_t to = 0;   ///< up to this one, are all here.
  std::vector<PlacementLine> lines;
};

/// The placements as the holder last knew them, each with the version at which it changed last.
class PlacementLog
{
public:
  /// Takes all placements there are; servers that are missing have none any more.
  void Update(std::vector<PlacementLine> lines);

  /// The lines that changed after a version, oldest first, up to `max_bytes` of them. The rest
  /// follows when the receiver has come that far: how many there are has no limit, a message has.
  PlacementNews Since(std::uint64_t version, std::size_t max_bytes) const;
  PlacementNews Since(std::uint64_t version) const { return Since(version, SIZE_MAX); }

private:
  struct VersionedLine
  {
    PlacementLine line;
    std::uint64_t version = 0;
  };

  std::map<Gateway::InstanceId, VersionedLine> m_lines;
  std::map<std::uint64_t, Gateway::InstanceId> m_by_version; ///< The newest change of each line.
  std::uint64_t m_version = 1;
};
} // namespace Orders

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
/// The part of the placements that changed between two versions, as sent by the lease holder.
struct PlacementUpdate
{
  /// `lines` is complete for the versions after `from` up to and including `to`.
  std::uint64_t from = 0;
  std::uint64_t to = 0;
  std::vector<PlacementLine> lines;
};

/// The current placement of each server with the version of its last change. Kept by the lease
/// holder.
class PlacementLog
{
public:
  /// Replaces all placements; servers that are missing from `lines` no longer have one.
  void Update(std::vector<PlacementLine> lines);

  /// The lines that changed after `version`, oldest first, up to `max_bytes` in total. A message
  /// has a size limit but the number of lines has none, so the receiver gets the rest once it has
  /// reached `PlacementUpdate::to`.
  PlacementUpdate Since(std::uint64_t version, std::size_t max_bytes) const;
  PlacementUpdate Since(std::uint64_t version) const { return Since(version, SIZE_MAX); }

private:
  struct VersionedLine
  {
    PlacementLine line;
    std::uint64_t version = 0;
  };

  std::map<Gateway::InstanceId, VersionedLine> m_lines;
  std::map<std::uint64_t, Gateway::InstanceId>
      m_by_version; ///< One entry per line: the version of its last change.
  std::uint64_t m_version = 1;
};
} // namespace Orders

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <optional>
#include <set>

#include "Common/Units.h"
#include "Gateway/Types.h"

namespace Gateway
{
/// The backend servers that may take a request. An empty set allows all values.
struct PlacementConstraint
{
  std::set<SoftwareVersion> versions;
  std::set<Common::RegionId> regions;

  bool Empty() const { return versions.empty() && regions.empty(); }
  /// `region`: of the server; nullopt if it is not known.
  bool Allows(const SoftwareVersion& version, const std::optional<Common::RegionId>& region) const
  {
    return (versions.empty() || versions.contains(version)) &&
           (regions.empty() || (region && regions.contains(*region)));
  }
  auto operator<=>(const PlacementConstraint&) const = default;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(versions, regions);
  }
};
} // namespace Gateway

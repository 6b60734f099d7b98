// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "Fleet/SharedTables.h"
#include "Orders/Messages.h"

namespace Orders
{
/// Size limits of the row changes in one announcement.
struct UpdateSizeLimits
{
  std::size_t bytes = 0; ///< Of all rows together; the rest follows with the next announcement.
  std::size_t change_bytes = 0; ///< Of the rows of one version; longer changes are never relayed.
};

/// Maximum size of the rows of one version that are relayed over a link of `link_mbps` to `daemons`
/// daemons.
std::size_t MaxRelayedChangeBytes(double link_mbps, std::size_t daemons);

/// Collects the rows of one table that changed after `since`, up to the size limits. Rows of the
/// same version stay together.
TableUpdate WriteUpdate(const Fleet::TableAccess& table, std::int64_t since,
                        const UpdateSizeLimits& limits);

/// Collects the changes of all tables, which share the size limit: bytes that one table leaves
/// unused are available to the next.
std::vector<TableUpdate> WriteUpdate(const std::vector<Fleet::TableAccess>& tables,
                                     const std::vector<std::int64_t>& since,
                                     UpdateSizeLimits limits);
} // namespace Orders

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "Orders/Messages.h"
#include "Orders/SharedTables.h"

namespace Orders
{
/// What fits into one announcement.
struct NewsRoom
{
  std::size_t bytes = 0;        ///< Of all rows together; more follow with the next announcement.
  std::size_t change_bytes = 0; ///< Of the rows of one version; longer ones are left out for good.
};

/// Bytes that the rows of one version may take where the holder's link carries them to so many
/// daemons.
std::size_t LongestChangeToPassOn(double link_mbps, std::size_t daemons);

/// What one table's rows have become since a version. Rows of one version stay together.
TableNews WriteNews(const TableAccess& table, std::int64_t since, const NewsRoom& room);

/// The same of all tables, which share the room: what one leaves, the next may use.
std::vector<TableNews> WriteNews(const std::vector<TableAccess>& tables,
                                 const std::vector<std::int64_t>& since, NewsRoom room);
} // namespace Orders

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Orders/UpdateWriter.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

#include "Common/Loop.h"
#include "Orders/MessageSize.h"

namespace Orders
{
namespace
{
/// How long one change may occupy the holder's link: less than the shortest interval of its
/// announcements, on which the daemons rely. 21 KB for 68 daemons take 57 ms at 200 Mbit/s and 1.1
/// s at 10 Mbit/s, where it is faster for each daemon to read the row from the platform.
constexpr double MAX_PUSH_SECONDS = 0.2;
constexpr double BYTES_PER_MBIT = 125'000;
/// Entries of backend servers, up to 1 KB each when they are new, are relayed over any link.
constexpr double MIN_RELAYED_BYTES = 4000;
constexpr double MAX_RELAYED_BYTES = 1 << 20;

std::map<std::int64_t, std::size_t> BytesByVersion(const std::vector<Fleet::RowChange>& rows)
{
  std::map<std::int64_t, std::size_t> bytes;
  for (const Fleet::RowChange& row : rows)
    bytes[row.version] += EncodedSizeBound(row);
  return bytes;
}

/// Returns the age of the last proof that the copy was the newest version; negative if there is
/// none.
std::int64_t ProofAge(const Fleet::TableAccess& table, Common::TimePoint now)
{
  const auto proven_at = table.proven_at();
  if (!proven_at)
    return -1;
  return std::chrono::ceil<Common::Milliseconds>(now - *proven_at).count();
}
} // namespace

std::size_t MaxRelayedChangeBytes(double link_mbps, std::size_t daemons)
{
  const auto receivers = static_cast<double>(std::max<std::size_t>(daemons, 1));
  const double bytes = link_mbps * BYTES_PER_MBIT * MAX_PUSH_SECONDS / receivers;
  return static_cast<std::size_t>(std::clamp(bytes, MIN_RELAYED_BYTES, MAX_RELAYED_BYTES));
}

TableUpdate WriteUpdate(const Fleet::TableAccess& table, std::int64_t since,
                        const UpdateSizeLimits& limits)
{
  TableUpdate update;
  update.to = table.version();
  update.from = update.to;
  update.response_age_ms = table.response_age().count();
  auto changes = table.changes_since(since);
  if (!changes)
    return update;
  const auto bytes_by_version = BytesByVersion(changes->rows);
  update.omitted = std::ranges::any_of(bytes_by_version, [&](const auto& change) {
    return change.second > limits.change_bytes;
  });
  if (update.omitted)
    return update;
  update.from = changes->from;
  std::size_t bytes = 0;
  std::int64_t last_complete = changes->from;
  for (const auto& [version, change_bytes] : bytes_by_version)
  {
    bytes += change_bytes;
    if (bytes > limits.bytes)
    {
      update.to = last_complete;
      break;
    }
    last_complete = version;
  }
  std::ranges::copy_if(changes->rows, std::back_inserter(update.rows),
                       [&](const Fleet::RowChange& row) {
                         return row.version <= last_complete;
                       });
  if (update.to == table.version())
    update.proof_age_ms = ProofAge(table, Common::Now());
  return update;
}

std::vector<TableUpdate> WriteUpdate(const std::vector<Fleet::TableAccess>& tables,
                                     const std::vector<std::int64_t>& since,
                                     UpdateSizeLimits limits)
{
  std::vector<TableUpdate> update;
  for (std::size_t i = 0; i < tables.size(); ++i)
  {
    update.push_back(WriteUpdate(tables[i], since[i], limits));
    for (const Fleet::RowChange& row : update.back().rows)
      limits.bytes -= EncodedSizeBound(row);
  }
  return update;
}
} // namespace Orders

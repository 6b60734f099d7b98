// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Orders/NewsWriter.h"

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
constexpr double PUSH_SECONDS = 0.2;
constexpr double BYTES_PER_MBIT = 125'000;
/// Entries of backend servers, up to 1 KB each when they are new, are relayed over any link.
constexpr double ALWAYS_PASSED_ON = 4000;
constexpr double LONGEST = 1 << 20;

std::map<std::int64_t, std::size_t> BytesByVersion(const std::vector<RowChange>& rows)
{
  std::map<std::int64_t, std::size_t> bytes;
  for (const RowChange& row : rows)
    bytes[row.version] += BytesOf(row);
  return bytes;
}

/// Returns the age of the last proof that the copy was the newest version; negative if there is
/// none.
std::int64_t ProofAge(const TableAccess& table, Common::TimePoint now)
{
  const auto proven_at = table.proven_at();
  if (!proven_at)
    return -1;
  return std::chrono::ceil<Common::Milliseconds>(now - *proven_at).count();
}
} // namespace

std::size_t LongestChangeToPassOn(double link_mbps, std::size_t daemons)
{
  const auto receivers = static_cast<double>(std::max<std::size_t>(daemons, 1));
  const double bytes = link_mbps * BYTES_PER_MBIT * PUSH_SECONDS / receivers;
  return static_cast<std::size_t>(std::clamp(bytes, ALWAYS_PASSED_ON, LONGEST));
}

TableNews WriteNews(const TableAccess& table, std::int64_t since, const NewsRoom& room)
{
  TableNews news;
  news.to = table.version();
  news.from = news.to;
  news.answer_age_ms = table.answer_age().count();
  auto changes = table.changes_since(since);
  if (!changes)
    return news;
  const auto bytes_by_version = BytesByVersion(changes->rows);
  news.left_out = std::ranges::any_of(bytes_by_version, [&](const auto& change) {
    return change.second > room.change_bytes;
  });
  if (news.left_out)
    return news;
  news.from = changes->from;
  std::size_t bytes = 0;
  std::int64_t last_whole = changes->from;
  for (const auto& [version, change_bytes] : bytes_by_version)
  {
    bytes += change_bytes;
    if (bytes > room.bytes)
    {
      news.to = last_whole;
      break;
    }
    last_whole = version;
  }
  std::ranges::copy_if(changes->rows, std::back_inserter(news.rows), [&](const RowChange& row) {
    return row.version <= last_whole;
  });
  if (news.to == table.version())
    news.proof_age_ms = ProofAge(table, Common::Now());
  return news;
}

std::vector<TableNews> WriteNews(const std::vector<TableAccess>& tables,
                                 const std::vector<std::int64_t>& since, NewsRoom room)
{
  std::vector<TableNews> news;
  for (std::size_t i = 0; i < tables.size(); ++i)
  {
    news.push_back(WriteNews(tables[i], since[i], room));
    for (const RowChange& row : news.back().rows)
      room.bytes -= BytesOf(row);
  }
  return news;
}
} // namespace Orders

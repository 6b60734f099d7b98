// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Fleet/RowChange.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <string_view>
#include <utility>

#include "Common/Compression.h"

namespace Fleet
{
namespace
{
/// Maximum size that a malformed message can make a daemon allocate: a fifth of the smallest VM's
/// 160 MB. A configuration of that size has some 150,000 routes.
constexpr std::size_t MAX_VALUE_BYTES = 32 << 20;
} // namespace

void KnownRows::Put(const TableRow& row)
{
  if (row.removed)
    m_rows.erase(row.key);
  else
    m_rows[row.key] = row;
}

std::vector<TableRow> KnownRows::All() const
{
  std::vector<TableRow> rows;
  rows.reserve(m_rows.size());
  std::ranges::copy(std::views::values(m_rows), std::back_inserter(rows));
  return rows;
}

RowChange KnownRows::Pack(const TableRow& row) const
{
  RowChange change{row.key, row.version, row.removed, 0, ""};
  if (row.removed)
    return change;
  const auto base = m_rows.find(row.key);
  if (base != m_rows.end())
    change.base_version = base->second.version;
  change.packed = Common::Compress(row.value, base == m_rows.end() ? "" : base->second.value);
  return change;
}

Common::Result<std::vector<TableRow>>
KnownRows::UnpackAll(const std::vector<RowChange>& changes) const
{
  std::vector<TableRow> rows;
  KnownRows changed; // A later change of a row is based on the previous one.
  for (const RowChange& change : changes)
  {
    const KnownRows& known = changed.m_rows.contains(change.key) ? changed : *this;
    auto row = known.Unpack(change);
    if (!row)
      return row.Reason();
    changed.Put(*row);
    rows.push_back(std::move(*row));
  }
  return rows;
}

Common::Result<TableRow> KnownRows::Unpack(const RowChange& change) const
{
  TableRow row{change.key, "", change.version, change.removed};
  if (change.removed)
    return row;
  std::string_view dictionary;
  if (change.base_version != 0)
  {
    const auto base = m_rows.find(change.key);
    if (base == m_rows.end() || base->second.version != change.base_version)
      return {Common::FailureKind::Conflict,
              "row " + change.key + " is based on a version that is not known here"};
    dictionary = base->second.value;
  }
  auto value = Common::Decompress(change.packed, dictionary, MAX_VALUE_BYTES);
  if (!value)
    return value.Reason();
  row.value = std::move(*value);
  return row;
}
} // namespace Fleet

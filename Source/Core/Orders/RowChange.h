// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Common/Failure.h"

namespace Orders
{
/// A row of one of the platform's tables, its value as it lies there.
struct TableRow
{
  std::string key;
  std::string value;
  std::int64_t version = 0;
  bool removed = false;
};

/// A changed row on its way to another daemon. Its value is packed with the row's value before as
/// the dictionary, which the receiver has too: entries change in few places.
struct RowChange
{
  std::string key;
  std::int64_t version = 0;
  bool removed = false;
  std::int64_t base_version = 0; ///< Of the value before; 0: packed by itself.
  std::string packed;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(key, version, removed, base_version, packed);
  }
};

/// What has changed in a table since a version.
struct RowChanges
{
  /// Nothing changed between this version and the one asked for: whoever has this one misses
  /// nothing either.
  std::int64_t from = 0;
  std::vector<RowChange> rows; ///< Oldest first.
};

/// The rows of one table as this daemon knows them.
class KnownRows
{
public:
  void Clear() { m_rows.clear(); }
  void Put(const TableRow& row);

  /// The change that leads from what is known to `row`.
  RowChange Pack(const TableRow& row) const;
  /// The rows that changes, oldest first, lead to. Fails with Conflict where another base is needed
  /// than is known, with Protocol where a change is malformed.
  Common::Result<std::vector<TableRow>> UnpackAll(const std::vector<RowChange>& changes) const;

private:
  Common::Result<TableRow> Unpack(const RowChange& change) const;

  std::map<std::string, TableRow> m_rows;
};
} // namespace Orders

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Common/Failure.h"

namespace Fleet
{
/// A row of one of the platform's tables, with its value as stored.
struct TableRow
{
  std::string key;
  std::string value;
  std::int64_t version = 0;
  bool removed = false;
};

/// A changed row that is relayed to another daemon. The new value is compressed with the previous
/// one as the dictionary, which the receiver has as well: entries change only in a few places.
struct RowChange
{
  std::string key;
  std::int64_t version = 0;
  bool removed = false;
  /// Version of the previous value; 0 if the value is compressed without a dictionary.
  std::int64_t base_version = 0;
  std::string packed;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(key, version, removed, base_version, packed);
  }
};

/// The changes of a table after a version.
struct RowChanges
{
  /// There are no changes between the requested version and this one, so a copy at this version
  /// misses nothing either.
  std::int64_t from = 0;
  std::vector<RowChange> rows; ///< Oldest first.
};

/// This daemon's copy of the rows of one table.
class KnownRows
{
public:
  void Clear() { m_rows.clear(); }
  void Put(const TableRow& row);
  std::size_t Size() const { return m_rows.size(); }
  bool Contains(const std::string& key) const { return m_rows.contains(key); }
  /// All rows, keys rising.
  std::vector<TableRow> All() const;

  /// Returns the change that turns the known row into `row`.
  RowChange Pack(const TableRow& row) const;
  /// Applies changes, oldest first, and returns the resulting rows. Fails with Conflict if a change
  /// is based on a version other than the known one, with Protocol if a change is malformed.
  Common::Result<std::vector<TableRow>> UnpackAll(const std::vector<RowChange>& changes) const;

private:
  Common::Result<TableRow> Unpack(const RowChange& change) const;

  std::map<std::string, TableRow> m_rows;
};
} // namespace Fleet

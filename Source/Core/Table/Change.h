// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <map>
#include <string>
#include <vector>

#include "Common/Units.h"
#include "Table/Row.h"

namespace Table
{
/// A row of the table with its version in the platform.
struct VersionedRow
{
  Row row;
  std::int64_t version = 0;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(row, version);
  }
};

/// The result of one accepted edit: the difference between `revision - 1` and `revision`.
struct Change
{
  Common::Revision revision;
  std::string id; ///< Chosen by the operator's tool; finds the change after a lost response.
  std::string who;
  std::string when; ///< ISO 8601, UTC.
  std::vector<Row> put;
  std::vector<std::string> removed; ///< Row keys.
  std::int64_t version = 0;         ///< The platform's version of the written rows.

  bool Empty() const { return put.empty() && removed.empty(); }

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(revision, id, who, when, put, removed, version);
  }
};

using RowMap = std::map<std::string, VersionedRow>;

/// Returns the change that turns `current` into `wanted`.
Change Difference(const RowMap& current, const std::vector<Row>& wanted);

void ApplyChange(RowMap& rows, const Change& change);

std::vector<Row> RowsWithoutVersions(const RowMap& rows);

Common::Json ToJson(const Change& change);
Common::Result<Change> ChangeFromJson(const Common::Json& json);
} // namespace Table

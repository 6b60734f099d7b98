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
/// One row of the table together with the platform's version of it.
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

/// What one accepted edit did: the step from `revision - 1` to `revision`.
struct Change
{
  Common::Revision revision;
  std::string id; ///< Chosen by the operator's tool; finds the change whose answer was lost.
  std::string who;
  std::string when; ///< ISO 8601, UTC.
  std::vector<Row> put;
  std::vector<std::string> removed; ///< Row keys.
  std::int64_t version = 0;         ///< The platform's version of the rows that it wrote.

  bool Empty() const { return put.empty() && removed.empty(); }

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(revision, id, who, when, put, removed, version);
  }
};

using RowMap = std::map<std::string, VersionedRow>;

/// The rows to put and to remove so that `current` becomes `wanted`.
Change Difference(const RowMap& current, const std::vector<Row>& wanted);

void ApplyChange(RowMap& rows, const Change& change);

std::vector<Row> PlainRows(const RowMap& rows);

Common::Json ToJson(const Change& change);
Common::Result<Change> ChangeFromJson(const Common::Json& json);
} // namespace Table

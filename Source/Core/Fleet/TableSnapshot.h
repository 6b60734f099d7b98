// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Failure.h"
#include "Fleet/RowChange.h"

namespace Fleet
{
/// All rows of one table as of one version.
struct TableSnapshot
{
  std::int64_t version = 0;
  std::vector<TableRow> rows;
};

/// Encodes the snapshots of all shared tables as one compressed message with a checksum.
std::string PackSnapshots(const std::vector<TableSnapshot>& snapshots);
/// Fails with Protocol if the message is incomplete or corrupt.
Common::Result<std::vector<TableSnapshot>> UnpackSnapshots(std::string_view message);
/// The length of the whole message, from its first bytes; 0 if they are too few, or fails with
/// Protocol if no message begins so.
Common::Result<std::size_t> MessageLength(std::string_view begin);
} // namespace Fleet

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "Common/Units.h"
#include "Fleet/RowChange.h"
#include "Fleet/TableSnapshot.h"

namespace Fleet
{
/// Why a daemon reads a table from the platform instead of using the changes that the holder
/// relays.
enum class DirectReadReason : std::uint8_t
{
  NoHolder,    ///< No lease holder is reachable.
  IsHolder,    ///< This daemon is the holder.
  StaleCopy,   ///< The platform has not responded to the holder recently.
  RowsLeftOut, ///< The holder's announcement left out changes.
};

constexpr const char* ToString(DirectReadReason reason)
{
  switch (reason)
  {
  case DirectReadReason::NoHolder:
    return "no_holder";
  case DirectReadReason::IsHolder:
    return "holds_lease";
  case DirectReadReason::StaleCopy:
    return "old_copy";
  case DirectReadReason::RowsLeftOut:
    return "rows_left_out";
  }
  return "";
}

/// Access of the hub to this daemon's copy of one shared table.
struct TableAccess
{
  std::function<std::int64_t()> version;
  std::function<std::optional<RowChanges>(std::int64_t)> changes_since;
  std::function<Common::Milliseconds()> response_age;
  /// When this copy was last confirmed to be the newest version.
  std::function<std::optional<Common::TimePoint>()> proven_at;
  /// Reports that the holder's copy, which equals this one, was the newest version at that time.
  std::function<void(Common::TimePoint)> apply_relayed_proof;
  /// Reads from the platform whether this copy is the newest version.
  std::function<void()> prove;
  std::function<bool(std::int64_t, std::int64_t, const std::vector<RowChange>&)> apply_relayed;
  std::function<void(bool, DirectReadReason)> set_relayed;
  std::function<void(Common::Milliseconds)> set_wait;
  std::function<void(Common::Milliseconds)> set_batch_delay;
  /// True if this copy has rows and few of them are new.
  std::function<bool()> is_settled;
  /// All rows of this copy.
  std::function<TableSnapshot()> snapshot;
  /// Replaces this copy by that of another daemon, unless this one is newer.
  std::function<void(const TableSnapshot&)> apply_snapshot;
  /// Reads the whole table from the platform.
  std::function<void()> read;
};
} // namespace Fleet

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "Common/Units.h"
#include "Orders/RowChange.h"

namespace Orders
{
/// Why a daemon reads a table from the platform instead of using the changes that the holder
/// relays.
enum class AskReason : std::uint8_t
{
  NoHolder, ///< No lease holder is reachable.
  HoldsIt,  ///< This daemon is the holder.
  OldCopy,  ///< The platform has not answered the holder recently.
  RowsLeft, ///< The holder's announcement left out changes.
};

constexpr const char* ToString(AskReason reason)
{
  switch (reason)
  {
  case AskReason::NoHolder:
    return "no_holder";
  case AskReason::HoldsIt:
    return "holds_lease";
  case AskReason::OldCopy:
    return "old_copy";
  case AskReason::RowsLeft:
    return "rows_left_out";
  }
  return "";
}

/// Access of the hub to this daemon's copy of one shared table.
struct TableAccess
{
  std::function<std::int64_t()> version;
  std::function<std::optional<RowChanges>(std::int64_t)> changes_since;
  std::function<Common::Milliseconds()> answer_age;
  /// When this copy was last confirmed to be the newest version.
  std::function<std::optional<Common::TimePoint>()> proven_at;
  /// Reports that the holder's copy, which equals this one, was the newest version at that time.
  std::function<void(Common::TimePoint)> take_proof;
  std::function<bool(std::int64_t, std::int64_t, const std::vector<RowChange>&)> take_relayed;
  std::function<void(bool, AskReason)> set_relayed;
  std::function<void(Common::Milliseconds)> set_wait;
  std::function<void(Common::Milliseconds)> set_gathering;
};
} // namespace Orders

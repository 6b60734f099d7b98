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
/// Why a daemon asks the platform for a table instead of taking the holder's copy.
enum class AskReason : std::uint8_t
{
  NoHolder, ///< No holder of the lease is heard.
  HoldsIt,  ///< This daemon is the holder.
  OldCopy,  ///< The platform has not answered the holder lately.
  RowsLeft, ///< The holder's news have left changes out.
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

/// The daemon's own copy of one shared table, as the hub uses it.
struct TableAccess
{
  std::function<std::int64_t()> version;
  std::function<std::optional<RowChanges>(std::int64_t)> changes_since;
  std::function<Common::Milliseconds()> answer_age;
  /// When this copy was shown to be the newest.
  std::function<std::optional<Common::TimePoint>()> proven_at;
  /// The holder's copy, which this one equals, was the newest then.
  std::function<void(Common::TimePoint)> take_proof;
  std::function<bool(std::int64_t, std::int64_t, const std::vector<RowChange>&)> take_relayed;
  std::function<void(bool, AskReason)> set_relayed;
  std::function<void(Common::Milliseconds)> set_wait;
  std::function<void(Common::Milliseconds)> set_gathering;
};
} // namespace Orders

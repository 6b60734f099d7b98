// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

#include "Common/Units.h"
#include "Crashes/Fingerprint.h"

namespace Crashes
{
/// Records when requests last completed successfully. This separates identical requests of many
/// callers, which are in progress on many servers when these crash, from a request that crashes
/// every server and never completes.
class RecentSuccesses
{
public:
  static constexpr Common::Milliseconds RETENTION{std::chrono::minutes(10)};
  /// Maximum number of entries, about 5 MB, or nine minutes at 120 requests per second. Beyond it,
  /// the oldest are evicted.
  static constexpr std::size_t MAX_KEPT = 65536;

  void Note(QuickKey request, Common::TimePoint now);
  std::optional<Common::TimePoint> LastOf(QuickKey request, Common::TimePoint now) const;
  std::size_t Size() const { return m_last.size(); }

private:
  std::unordered_map<QuickKey, Common::TimePoint> m_last;
  std::deque<std::pair<Common::TimePoint, QuickKey>> m_by_age;
};
} // namespace Crashes

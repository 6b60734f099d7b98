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

/// When servers last ran requests to a good end. What ends every server that runs it is not among
/// them. A request that many callers send the same is at many servers when these end, and by this
/// it is told apart.
class RecentSuccesses
{
public:
  static constexpr Common::Milliseconds MEMORY{std::chrono::minutes(10)};
  /// Beyond, the oldest go. Some 5 MB; at 120 requests a second nine minutes.
  static constexpr std::size_t MAX_KEPT = 65536;

  void Note(QuickKey request, Common::TimePoint now);
  std::optional<Common::TimePoint> LastOf(QuickKey request, Common::TimePoint now) const;
  std::size_t Size() const { return m_last.size(); }

private:
  std::unordered_map<QuickKey, Common::TimePoint> m_last;
  std::deque<std::pair<Common::TimePoint, QuickKey>> m_by_age;
};
} // namespace Crashes

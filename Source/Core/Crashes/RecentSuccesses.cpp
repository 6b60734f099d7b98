// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Crashes/RecentSuccesses.h"

namespace Crashes
{
void RecentSuccesses::Note(QuickKey request, Common::TimePoint now)
{
  m_last[request] = now;
  m_by_age.emplace_back(now, request);
  while (now - m_by_age.front().first > RETENTION || m_by_age.size() > MAX_KEPT)
  {
    const auto [noted_at, oldest] = m_by_age.front();
    m_by_age.pop_front();
    const auto last = m_last.find(oldest);
    // The request may have a more recent success, which is kept.
    if (last != m_last.end() && last->second == noted_at)
      m_last.erase(last);
  }
}

std::optional<Common::TimePoint> RecentSuccesses::LastOf(QuickKey request,
                                                         Common::TimePoint now) const
{
  const auto last = m_last.find(request);
  if (last == m_last.end() || now - last->second > RETENTION)
    return std::nullopt;
  return last->second;
}
} // namespace Crashes

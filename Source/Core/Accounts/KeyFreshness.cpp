// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Accounts/KeyFreshness.h"

#include <algorithm>

namespace Accounts
{
namespace
{
/// Subtracted from the bound: between the last check and the arrival at the server, the bytes of a
/// request cross a link that may be busy.
constexpr Common::Milliseconds SEND_MARGIN{250};
/// Fraction of the bound for one call that waits for changes. A proof is as old as two such calls
/// when the response to the second arrives; the rest of the bound is for late responses.
constexpr double WAIT_SHARE = 0.4;
} // namespace

void KeyFreshness::RecordProof(Common::TimePoint moment)
{
  m_proven = std::max(m_proven.value_or(moment), moment);
}

bool KeyFreshness::IsFresh(Common::TimePoint now) const
{
  return !m_limit || (m_proven && now - *m_proven <= *m_limit - SEND_MARGIN);
}

std::optional<Common::Milliseconds> KeyFreshness::Age(Common::TimePoint now) const
{
  if (!m_proven)
    return std::nullopt;
  return std::chrono::ceil<Common::Milliseconds>(now - *m_proven);
}

Common::Milliseconds KeyFreshness::MaxWait(Common::Milliseconds usual) const
{
  if (!m_limit)
    return usual;
  return std::min(usual, std::chrono::floor<Common::Milliseconds>(*m_limit * WAIT_SHARE));
}
} // namespace Accounts

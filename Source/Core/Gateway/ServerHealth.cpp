// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/ServerHealth.h"

#include <algorithm>

#include "Common/Mechanisms.h"

namespace Gateway
{
namespace
{
/// Weight of the newest request in the failure share.
constexpr double NEWEST_WEIGHT = 0.15;
/// Consecutive failures after which a server is ejected.
constexpr int EJECT_AFTER_FAILURES = 3;
/// Failure share above which a server is ejected even if some requests succeed.
constexpr double EJECT_AT_SHARE = 0.35;
/// Durations of the first and of the longest ejection.
constexpr Common::Milliseconds FIRST_EJECTION{700};
constexpr Common::Milliseconds MAX_EJECTION{5000};
constexpr int MAX_DOUBLINGS = 4;
} // namespace

void ServerHealth::NoteSuccess(Common::TimePoint)
{
  m_failure_share *= 1 - NEWEST_WEIGHT;
  m_failures_in_a_row = 0;
  m_was_reachable = true;
  m_ejections = 0;
}

void ServerHealth::NoteFailure(Common::TimePoint now)
{
  m_was_reachable = true;
  m_failure_share += NEWEST_WEIGHT * (1 - m_failure_share);
  ++m_failures_in_a_row;
  const bool was_on_trial = IsRecovering();
  if (was_on_trial || m_failures_in_a_row >= EJECT_AFTER_FAILURES ||
      m_failure_share > EJECT_AT_SHARE)
    Eject(now);
}

void ServerHealth::NoteUnreachable(Common::TimePoint now)
{
  m_was_reachable = false;
  ++m_failures_in_a_row;
  Eject(now);
}

void ServerHealth::NoteConnectTimeout(Common::TimePoint now)
{
  NoteFailure(now);
  m_was_reachable = false;
}

void ServerHealth::Eject(Common::TimePoint now)
{
  if (IsEjected(now) || !Common::IsOn(Common::Mechanism::Ejection))
    return;
  const int doublings = std::min(m_ejections, MAX_DOUBLINGS);
  const auto span = std::min(FIRST_EJECTION * (1 << doublings), MAX_EJECTION);
  ++m_ejections;
  m_ejected_until = now + span;
}
} // namespace Gateway

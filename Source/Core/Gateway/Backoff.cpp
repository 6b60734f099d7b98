// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/Backoff.h"

#include <algorithm>

namespace Gateway
{
namespace
{
using Common::Milliseconds;

/// Pause after a rejection without a Retry-After.
constexpr Milliseconds DEFAULT_PAUSE{60};
/// Each response widens the window by two, for the finished request and one more. This doubles the
/// window per round.
constexpr int WINDOW_INCREMENT = 2;
} // namespace

void Backoff::NoteRejected(Common::TimePoint now)
{
  if (m_rejection_pause)
    NoteRetryAfter(*m_rejection_pause, now);
  else
    m_until = std::max(m_until, now + DEFAULT_PAUSE);
}

bool Backoff::NoteRetryAfter(Milliseconds span, Common::TimePoint now)
{
  const auto until = now + span;
  if (span <= Milliseconds(0) || until <= m_until)
    return false;
  const bool is_renewed = IsRetryAfterActive(now) || m_window == 1;
  if (!is_renewed)
    m_retry_after_since = now;
  m_until = until;
  m_retry_after_until = until;
  m_window = 1;
  m_in_flight = 0;
  return true;
}

bool Backoff::NoteAccepted(Common::TimePoint sent_at, int slots)
{
  if (!m_window || sent_at < m_retry_after_until)
    return false;
  const bool is_first = *m_window == 1;
  *m_window += WINDOW_INCREMENT;
  if (*m_window > slots)
    m_window.reset();
  return is_first;
}

void Backoff::NoteStart(Common::TimePoint sent_at)
{
  if (sent_at >= m_retry_after_until)
    ++m_in_flight;
}

void Backoff::NoteEnd(Common::TimePoint sent_at)
{
  if (sent_at >= m_retry_after_until)
    --m_in_flight;
}

Milliseconds Backoff::Left(Common::TimePoint now) const
{
  return std::max(std::chrono::ceil<Milliseconds>(m_until - now), Milliseconds(0));
}

Milliseconds Backoff::RetryAfterSpan(Common::TimePoint now) const
{
  return IsRetryAfterActive(now)
             ? std::chrono::ceil<Milliseconds>(m_retry_after_until - m_retry_after_since)
             : Milliseconds(0);
}

bool Backoff::MaySend(Common::TimePoint now) const
{
  return !IsActive(now) && (!m_window || m_in_flight < *m_window);
}
} // namespace Gateway

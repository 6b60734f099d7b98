// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/SilenceDetector.h"

#include <algorithm>
#include <cmath>

#include "Common/Mechanisms.h"

namespace Gateway
{
namespace
{
using Common::Milliseconds;

/// Weights of the latest pause in the mean and in the mean deviation, and the number of deviations
/// in the limit, as in RFC 6298.
constexpr double MEAN_WEIGHT = 0.125;
constexpr double DEVIATION_WEIGHT = 0.25;
constexpr double DEVIATIONS = 4;
/// Processing a long prompt takes several hundred ms, during which a healthy server sends nothing.
constexpr Milliseconds MIN_LIMIT{300};
/// A server with longer pauses cannot meet any request's deadline.
constexpr Milliseconds MAX_LIMIT{1500};
/// Number of requests without a response before a server is considered unresponsive. With one,
/// servers that run no models were ejected about once a second for requests to which they send no
/// response.
constexpr int MIN_UNANSWERED_REQUESTS = 2;
} // namespace

void SilenceDetector::NoteSent(Common::TimePoint now)
{
  ++m_sent_since_received;
  if (!m_quiet_since)
    m_quiet_since = now;
}

void SilenceDetector::NoteReceived(Common::TimePoint now)
{
  m_sent_since_received = 0;
  if (!m_quiet_since)
    return;
  const double pause = std::chrono::duration<double, std::milli>(now - *m_quiet_since).count();
  m_quiet_since = now;
  if (!m_has_sample)
  {
    m_mean_ms = pause;
    m_deviation_ms = pause / 2;
    m_has_sample = true;
    return;
  }
  m_deviation_ms += DEVIATION_WEIGHT * (std::abs(m_mean_ms - pause) - m_deviation_ms);
  m_mean_ms += MEAN_WEIGHT * (pause - m_mean_ms);
}

void SilenceDetector::NoteEnded(int open)
{
  if (open > 0)
    return;
  m_quiet_since.reset();
  m_sent_since_received = 0;
}

bool SilenceDetector::IsUnresponsive(Common::TimePoint now) const
{
  return Common::IsOn(Common::Mechanism::SilenceDetector) && m_quiet_since &&
         m_sent_since_received >= MIN_UNANSWERED_REQUESTS && now - *m_quiet_since > Limit();
}

Milliseconds SilenceDetector::Limit() const
{
  const auto usual = Milliseconds(std::llround(m_mean_ms + DEVIATIONS * m_deviation_ms));
  return std::clamp(usual, MIN_LIMIT, MAX_LIMIT);
}
} // namespace Gateway

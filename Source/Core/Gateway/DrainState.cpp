// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/DrainState.h"

namespace Gateway
{
std::string_view ToString(DrainSource source)
{
  switch (source)
  {
  case DrainSource::None:
    return "none";
  case DrainSource::OtherVm:
    return "another VM";
  case DrainSource::Response:
    return "an answer";
  case DrainSource::Entry:
    break;
  }
  return "the entry";
}

bool DrainState::NoteAnnounced(Common::TimePoint now)
{
  if (m_announced_at)
    return false;
  m_announced_at = m_announced_before.value_or(now);
  return true;
}

void DrainState::NoteNotAnnounced(Common::TimePoint sent_at)
{
  m_announced_before.reset();
  if (m_reported_at && sent_at > *m_reported_at)
    m_contradicted = true;
}

void DrainState::NoteReported(Common::TimePoint now)
{
  if (!m_reported_at)
    m_reported_at = now;
}

DrainSource DrainState::Source() const
{
  if (m_draining_in_entry)
    return DrainSource::Entry;
  if (m_announced_at)
    return DrainSource::Response;
  return m_reported_at && !m_contradicted ? DrainSource::OtherVm : DrainSource::None;
}

std::optional<Common::TimePoint> DrainState::Since() const
{
  return m_announced_at ? m_announced_at : m_reported_at;
}

bool DrainState::MayServe(Common::TimePoint now, Common::Milliseconds grace) const
{
  switch (Source())
  {
  case DrainSource::None:
  case DrainSource::OtherVm:
    return true;
  case DrainSource::Response:
    return now - *m_announced_at < grace;
  case DrainSource::Entry:
    break;
  }
  return false;
}
} // namespace Gateway

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// How this VM reaches the servers, as far as open requests are concerned.

#include "Gateway/Dispatcher.h"

namespace Gateway
{
namespace
{
using Common::Milliseconds;

/// Interval of the checks for silent servers.
constexpr Milliseconds SILENCE_CHECK_INTERVAL{100};
} // namespace

void Dispatcher::ConnectPaths()
{
  m_crash_detector.SetConfirmation([this](const ServerPtr& server, auto on_outcome) {
    return m_paths.NoteDirectFailure(server, std::move(on_outcome));
  });
  m_paths.OnUsable([this](const ServerPtr& server) {
    if (m_paths.NeedsHelper(*server))
      LeaveDirectPath(server);
    ScheduleDispatch();
  });
  m_paths.OnIsolationChange([this] {
    if (m_paths.IsIsolated())
      LeaveDirectPath(nullptr);
    ScheduleRecheck();
    // The lease holder plans which daemons help others.
    if (m_on_demand)
      m_on_demand();
  });
}

bool Dispatcher::IsCutOff() const
{
  return m_paths.IsCutOff(Common::Now());
}

void Dispatcher::LeaveDirectPath(const ServerPtr& server)
{
  const auto relays = m_relays;
  for (const auto& [key, relay] : relays)
    if (!server || relay->AssignedServer() == server)
      relay->LeaveDirectPath();
}

void Dispatcher::CheckSilentPaths()
{
  const auto now = Common::Now();
  for (const auto& [key, relay] : m_relays)
    if (relay->IsSilentOnDirectPath(now))
      m_paths.CheckDirectPath(relay->AssignedServer(), now);
  if (m_relays.empty())
    return;
  m_silence_timer.Start(SILENCE_CHECK_INTERVAL, [this] {
    CheckSilentPaths();
  });
}
} // namespace Gateway

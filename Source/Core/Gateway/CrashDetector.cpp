// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/CrashDetector.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "Common/Log.h"
#include "Common/Loop.h"

namespace Gateway
{
namespace
{
using Common::Milliseconds;

/// Delay before the server is probed. Within it, a refused connection of another request already
/// shows that the server has exited. Data still received from the server proves nothing, since it
/// may have been written before the exit.
constexpr Milliseconds PROBE_DELAY{100};
/// A request that crashes a server does so shortly after it starts to run. A request that had been
/// running for longer is a suspect only if no newer one was in progress.
constexpr Milliseconds MAX_CRASH_RUN_TIME{1000};

/// Returns the requests that may have crashed the server.
std::vector<CrashDetector::Suspect>
SelectLikely(const std::vector<CrashDetector::Suspect>& suspects)
{
  const auto is_new = [](const CrashDetector::Suspect& suspect) {
    return suspect.ran_for.value_or(Milliseconds(0)) <= MAX_CRASH_RUN_TIME;
  };
  const bool any_new = std::ranges::any_of(suspects, is_new);
  std::vector<CrashDetector::Suspect> likely;
  std::ranges::copy_if(suspects, std::back_inserter(likely), [&](const auto& suspect) {
    return !any_new || is_new(suspect);
  });
  return likely;
}
} // namespace

bool CrashDetector::NoteConnectionEnded(const ServerPtr& server, const Suspect& suspect,
                                        ResultHandler on_result)
{
  const InstanceId& instance = server->Entry().instance;
  // A server that shuts down as planned may break its remaining connections.
  const bool is_planned =
      server->IsDraining() || server->IsReplaced() || m_servers.Find(instance) != server;
  if (is_planned)
    return false;
  const auto [found, is_new] = m_pending_checks.try_emplace(instance);
  PendingCheck& check = found->second;
  check.suspects.push_back(suspect);
  if (on_result)
    check.result_handlers.push_back(std::move(on_result));
  if (!is_new)
    return true;
  check.server = server;
  check.since = Common::Now();
  check.timer.Start(PROBE_DELAY, [this, instance] {
    StartProbe(instance);
  });
  return true;
}

void CrashDetector::NoteConnectionRefused(const ServerPtr& server)
{
  Confirm(server, "connection for a request refused");
}

void CrashDetector::NoteRefusedElsewhere(const ServerPtr& server)
{
  Finish(server->Entry().instance, CheckResult::Crashed, "connection of another VM refused");
}

void CrashDetector::StartProbe(const InstanceId& instance)
{
  PendingCheck& check = m_pending_checks.at(instance);
  check.probe = std::make_unique<ConnectionProbe>(
      check.server->Entry().endpoint, ConnectionProbe::NO_HOLD_TIME,
      [this, server = check.server](ConnectionProbe::Outcome outcome) {
        switch (outcome)
        {
        case ConnectionProbe::Outcome::Refused:
          Confirm(server, "probe connection refused");
          break;
        case ConnectionProbe::Outcome::Accepted:
          Finish(server->Entry().instance, CheckResult::Running, "probe connection accepted");
          break;
        case ConnectionProbe::Outcome::Broken:
          Finish(server->Entry().instance, CheckResult::Unknown, "probe connection broken");
          break;
        case ConnectionProbe::Outcome::Inconclusive:
        case ConnectionProbe::Outcome::HelperFailed:
          Finish(server->Entry().instance, CheckResult::Unknown, "silent");
          break;
        }
      });
}

void CrashDetector::Confirm(const ServerPtr& server, const char* how)
{
  const InstanceId instance = server->Entry().instance;
  const auto on_confirmed = [this, instance, how](ConnectionProbe::Outcome outcome) {
    if (outcome == ConnectionProbe::Outcome::Refused)
      Finish(instance, CheckResult::Crashed, how);
    else
      Finish(instance, CheckResult::Unknown, "not refused elsewhere");
  };
  if (!m_confirm || !m_confirm(server, on_confirmed))
    Finish(instance, CheckResult::Crashed, how);
}

void CrashDetector::Finish(const InstanceId& instance, CheckResult result, const char* how)
{
  const auto found = m_pending_checks.find(instance);
  if (found == m_pending_checks.end())
    return;
  // The caller may be a timer or probe owned by the extracted node, which is destroyed on return.
  const auto check = m_pending_checks.extract(found);
  const bool ended = result == CheckResult::Crashed;
  // The report that the server drains may have arrived during the check.
  const bool crashed = ended && !check.mapped().server->IsDraining();
  const auto likely = SelectLikely(check.mapped().suspects);
  const auto took = std::chrono::duration_cast<Milliseconds>(Common::Now() - check.mapped().since);
  Common::LogEvent(crashed ? Common::LogLevel::Warning : Common::LogLevel::Info,
                   ended ? "server-ended" : "server-not-ended",
                   {{"instance", instance},
                    {"how", how},
                    {"planned", ended && !crashed},
                    {"broken", check.mapped().suspects.size()},
                    {"suspects", likely.size()},
                    {"after_ms", took.count()}});
  if (crashed)
    m_on_crashed(instance, check.mapped().since, likely);
  for (const ResultHandler& on_result : check.mapped().result_handlers)
    on_result(result);
  m_on_check_done();
}

bool CrashDetector::IsCheckPending(const Crashes::Fingerprint& request) const
{
  return std::ranges::any_of(m_pending_checks, [&](const auto& check) {
    return std::ranges::find(check.second.suspects, request, &Suspect::request) !=
           check.second.suspects.end();
  });
}

bool CrashDetector::IsCheckPendingForAny(std::span<const Crashes::Fingerprint> parts) const
{
  const auto has_any = [&](const Suspect& suspect) {
    return std::ranges::find_first_of(suspect.parts, parts) != suspect.parts.end();
  };
  return std::ranges::any_of(m_pending_checks, [&](const auto& check) {
    return std::ranges::any_of(check.second.suspects, has_any);
  });
}
} // namespace Gateway

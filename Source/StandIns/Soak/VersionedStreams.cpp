// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "StandIns/Soak/VersionedStreams.h"

#include <algorithm>
#include <iostream>

namespace Soak
{
namespace
{
using Common::Milliseconds;

constexpr int CALLERS = 32;
/// That the streams ask for; they are loaded most of the time.
constexpr int STREAM_MODELS = 2;
constexpr int LEAVES_PER_STREAM = 3;
constexpr std::uint64_t LEAVE_PERCENT = 50;
constexpr Milliseconds LONGEST_PAUSE{1000};
constexpr Milliseconds READINESS_POLL_INTERVAL{50};
constexpr Http::CallTimeouts READINESS_TIMEOUTS{Milliseconds(500), Milliseconds(500)};
constexpr int STATUS_OK = 200;
/// Share of the new streams that begin, of which streams taken up must not fall short.
constexpr double LEAST_SHARE = 0.5;

ResumedStreams::CallerHabits Habits()
{
  ResumedStreams::CallerHabits habits;
  habits.models = STREAM_MODELS;
  habits.leaves = LEAVES_PER_STREAM;
  habits.leave_percent = LEAVE_PERCENT;
  habits.leaves_early = true;
  habits.distinct_bodies = true;
  habits.longest_pause = LONGEST_PAUSE;
  return habits;
}
} // namespace

VersionedStreams::VersionedStreams(Common::Random random, std::vector<Vm> vms,
                                   const Servers& servers, InvariantChecker& invariants)
    : m_random(random),
      m_vms(std::move(vms)),
      m_servers(servers),
      m_invariants(invariants),
      m_callers(Common::Random(m_random()), Surroundings(), Habits(), m_checker)
{
}

ResumedStreams::CallerSurroundings VersionedStreams::Surroundings()
{
  return {[this](const std::string&) {
            return DrawVm();
          },
          [this](std::size_t vm) {
            return m_vms[vm].endpoint;
          },
          [this](std::size_t vm) {
            return m_vms[vm].faults;
          },
          [this](const std::string& version) {
            return static_cast<int>(std::ranges::count_if(m_servers, [&](const auto& server) {
              return server->TakesRequests() && (version.empty() || server->Version() == version);
            }));
          },
          [this](const std::string& id, std::size_t vm, const std::string&) {
            m_invariants.RecordSent(id, RequestType::ResumableStream, m_vms[vm].name);
          }};
}

std::optional<std::size_t> VersionedStreams::DrawVm()
{
  std::vector<std::size_t> in_touch;
  for (std::size_t i = 0; i < m_vms.size(); ++i)
    if (m_vms[i].ready && m_vms[i].suspended_until <= Common::Now() &&
        (m_uses_cut_vms || m_vms[i].cut_until <= Common::Now()))
      in_touch.push_back(i);
  if (in_touch.empty())
    return std::nullopt;
  return in_touch[m_random() % in_touch.size()];
}

void VersionedStreams::Start()
{
  m_callers.Start(CALLERS);
}

void VersionedStreams::Stop(const std::string& log_directory)
{
  m_callers.Stop();
  std::cout << m_checker.Describe(log_directory) << "\n";
  for (const std::string& violation : m_checker.Violations(LEAST_SHARE))
    m_invariants.ReportViolation(violation);
}

void VersionedStreams::RecordEnd(std::size_t vm)
{
  ++m_vms[vm].faults;
  ++m_vms[vm].ends;
  m_vms[vm].ready = false;
}

void VersionedStreams::RecordLaunch(std::size_t vm)
{
  m_vms[vm].suspended_until = {};
  AwaitReady(vm, m_vms[vm].ends);
}

void VersionedStreams::AwaitReady(std::size_t vm, std::uint64_t ends)
{
  m_vms[vm].readiness->Call(
      {"GET", "/ready", {}, ""}, READINESS_TIMEOUTS,
      [this, vm, ends](const Common::Result<Http::CompleteResponse>& response) {
        if (response && response->status == STATUS_OK)
        {
          m_vms[vm].ready = m_vms[vm].ends == ends;
          return;
        }
        Common::Reactor::Get().After(READINESS_POLL_INTERVAL, [this, vm, ends] {
          if (m_vms[vm].ends == ends)
            AwaitReady(vm, ends);
        });
      });
}

void VersionedStreams::RecordSuspension(std::size_t vm, Milliseconds span)
{
  ++m_vms[vm].faults;
  m_vms[vm].suspended_until = std::max(m_vms[vm].suspended_until, Common::Now() + span);
}

void VersionedStreams::RecordCut(std::size_t vm, Milliseconds span)
{
  ++m_vms[vm].faults;
  m_vms[vm].cut_until = std::max(m_vms[vm].cut_until, Common::Now() + span);
}
} // namespace Soak

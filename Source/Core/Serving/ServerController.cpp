// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Serving/ServerController.h"

#include <algorithm>

#include "Common/Log.h"
#include "Common/Random.h"
#include "Decisions/Rendezvous.h"

namespace Serving
{
namespace
{
using BackendServers::ArtifactState;
using BackendServers::BackendOrder;
using BackendServers::OrderKind;
using BackendServers::ReportedArtifact;
using Common::ArtifactId;
using Common::ClaimId;
using Common::Failure;
using Common::FencingNumber;
using Common::LogEvent;
using Common::LogLevel;
using Common::Milliseconds;
using Common::Now;
using Common::Task;
using Common::TimePoint;
using Daemons::HolderStatus;
using Daemons::ReplicaState;
using Decisions::ClaimState;
using Decisions::OrderStatus;
using Decisions::ReconcileAction;
using Decisions::ReportedState;

constexpr int UNREACHABLE_AFTER_FAILURES = 2;
constexpr int ORPHAN_AFTER_REPORTS = 3;

ReportedState ToReported(const ReportedArtifact* artifact)
{
  if (!artifact)
    return ReportedState::Absent;
  switch (artifact->state)
  {
  case ArtifactState::Loading:
    return ReportedState::Loading;
  case ArtifactState::Loaded:
    return ReportedState::Loaded;
  case ArtifactState::Unloading:
    return ReportedState::Unloading;
  }
  return ReportedState::Absent;
}

ReplicaState ToReplicaState(ClaimState state)
{
  switch (state)
  {
  case ClaimState::Ordered:
    return ReplicaState::Ordered;
  case ClaimState::Loaded:
    return ReplicaState::Loaded;
  case ClaimState::Unloading:
    return ReplicaState::Unloading;
  }
  return ReplicaState::Ordered;
}

} // namespace

ServerController::ServerController(Environment& environment, Table::BackendServer server)
    : m_environment(environment),
      m_server(std::move(server)),
      m_ledger(environment.store, m_server.vm)
{
}

Task<void> ServerController::Run()
{
  const auto self = shared_from_this();
  while (!m_retired || HasUnsettledClaims())
  {
    co_await PollReport();
    if (!m_ledger.IsKnown())
      co_await m_ledger.Refresh();
    if (m_ledger.IsKnown() && (m_report_current || IsGone()))
    {
      co_await ReconcileClaims();
      if (!m_retired && m_report_current)
      {
        co_await UnloadOrphans();
        co_await UnloadSurplusAndIdle();
      }
    }
    if (!m_retired)
      Publish();
    co_await Common::Sleep{m_environment.timing.report_interval};
  }
  m_finished = true;
}

Task<void> ServerController::PollReport()
{
  const TimePoint asked = Now();
  auto report = co_await m_environment.engine.Report(m_server.address);
  if (!report || report->vm != m_server.vm)
  {
    m_report_current = false;
    m_absent_since.clear();
    if (++m_failed_reports == UNREACHABLE_AFTER_FAILURES)
      LogEvent(LogLevel::Warning, "server.unreachable",
               {{"server", m_server.vm}, {"reason", report.Reason().detail}});
    co_return;
  }
  if (m_report && m_report->incarnation != report->incarnation)
  {
    LogEvent(LogLevel::Info, "server.new_incarnation",
             {{"server", m_server.vm}, {"incarnation", report->incarnation}});
    m_absent_since.clear();
  }
  m_failed_reports = 0;
  m_report = std::move(*report);
  m_report_current = true;
  m_report_requested_at = asked;
  for (const ReportedArtifact& artifact : m_report->artifacts)
    m_absent_since.erase(artifact.id);
  for (const Claim& claim : m_ledger.Row().claims)
    if (!Reported(claim.artifact))
      m_absent_since.emplace(claim.artifact, Now());
}

const ReportedArtifact* ServerController::Reported(const ArtifactId& id) const
{
  if (!m_report)
    return nullptr;
  const auto found = std::ranges::find(m_report->artifacts, id, &ReportedArtifact::id);
  return found == m_report->artifacts.end() ? nullptr : &*found;
}

bool ServerController::IsOwnClaim(const Claim& claim) const
{
  const auto& self = m_environment.membership.Self();
  return claim.holder == self.vm && claim.holder_incarnation == self.incarnation;
}

bool ServerController::HasUnsettledClaims() const
{
  return std::ranges::any_of(m_ledger.Row().claims, [this](const Claim& claim) {
    return IsOwnClaim(claim) && claim.state != ClaimState::Loaded;
  });
}

OrderStatus ServerController::OrderStatusOf(const Claim& claim, TimePoint* since) const
{
  if (IsOwnClaim(claim))
  {
    const auto order = m_orders.find(claim.id);
    if (order == m_orders.end())
    {
      // Committed by a delayed duplicate of a transaction that this daemon had abandoned.
      return OrderStatus::NotSent;
    }
    *since = order->second.ended;
    if (order->second.in_progress)
      return OrderStatus::InProgress;
    return order->second.sent ? OrderStatus::Unknown : OrderStatus::NotSent;
  }
  switch (m_environment.membership.StatusOf(claim.holder, claim.holder_incarnation, Now(), since))
  {
  case HolderStatus::Alive:
    return OrderStatus::HolderAlive;
  case HolderStatus::Unresponsive:
    return OrderStatus::HolderUnresponsive;
  case HolderStatus::Gone:
    return OrderStatus::HolderTerminated;
  }
  return OrderStatus::HolderUnresponsive;
}

bool ServerController::IsGone() const
{
  return m_failed_reports >= UNREACHABLE_AFTER_FAILURES &&
         m_environment.server_statuses.IsRetired(m_server.vm, Now(), m_environment.timing.list_lag);
}

Decisions::ReconcileInput ServerController::Describe(const Claim& claim)
{
  Decisions::ReconcileInput input;
  TimePoint since;
  input.claim = claim.state;
  if (IsGone())
  {
    // The VM no longer exists, so its memory is free and no order can still reach it.
    input.reported = ReportedState::Absent;
    input.order = OrderStatusOf(claim, &since);
    input.same_instance = false;
    input.settled = true;
    return input;
  }
  // A report requested before the row's last change may predate a load or an unload.
  const bool current = m_report_current && m_report_requested_at > m_ledger.RowReceivedAt();
  input.reported = current ? ToReported(Reported(claim.artifact)) : ReportedState::Unknown;
  input.order = OrderStatusOf(claim, &since);
  input.engine_checks_fencing = m_server.checks_fencing && m_report->checks_fencing;
  input.same_instance = claim.server_incarnation == m_report->incarnation;
  input.fence_raised =
      m_fenced_incarnation == m_report->incarnation && m_confirmed_fence > claim.fence;
  const auto absent = m_absent_since.find(claim.artifact);
  if (absent != m_absent_since.end())
    input.settled = Now() - std::max(absent->second, since) >= m_environment.timing.order_settle;
  return input;
}

Task<void> ServerController::ReconcileClaims()
{
  // Each step may change the row, so look up each claim again.
  std::vector<ClaimId> ids;
  std::ranges::transform(m_ledger.Row().claims, std::back_inserter(ids), &Claim::id);
  for (const ClaimId& id : ids)
  {
    const auto& claims = m_ledger.Row().claims;
    const auto found = std::ranges::find(claims, id, &Claim::id);
    if (found != claims.end())
      co_await ReconcileOne(*found);
  }
}

Task<void> ServerController::ReconcileOne(Claim claim)
{
  if (m_unloading.contains(claim.id))
    co_return;
  const ReconcileAction action = Decisions::Reconcile(Describe(claim));
  // A daemon that no longer manages the server resolves only its own claims.
  if (action == ReconcileAction::Keep || (m_retired && !IsOwnClaim(claim)))
    co_return;
  LogEvent(LogLevel::Info, "claim.reconcile",
           {{"server", m_server.vm},
            {"claim", claim.id},
            {"artifact", claim.artifact},
            {"action", static_cast<int>(action)}});
  switch (action)
  {
  case ReconcileAction::Keep:
    break;
  case ReconcileAction::MarkLoaded:
    co_await MarkLoaded(claim.id);
    break;
  case ReconcileAction::RaiseFence:
    co_await RaiseFence();
    break;
  case ReconcileAction::Free:
    co_await Free(claim);
    break;
  case ReconcileAction::SendUnload:
    co_await SendUnload(claim);
    break;
  }
}

Task<void> ServerController::RaiseFence()
{
  FencingNumber fence;
  const auto raised = RequireCommitted(co_await m_ledger.Update(
      [&fence](ServerRow& row, Platform::Transaction&) -> std::optional<Failure> {
        fence = row.NextFence();
        return std::nullopt;
      },
      Now() + m_environment.timing.claim_timeout));
  if (!raised)
    co_return;
  BackendOrder order;
  order.kind = OrderKind::RaiseFence;
  order.fence = fence;
  order.incarnation = m_report->incarnation;
  const auto done = co_await m_environment.engine.Order(m_server.address, order,
                                                        m_environment.timing.claim_timeout);
  if (!done)
    co_return;
  m_fenced_incarnation = order.incarnation;
  m_confirmed_fence = fence;
}

/// Unloads artifacts that the engine holds without a claim. They stem from an order whose claim has
/// been released since, or were loaded by someone else. The row is read again before the unload.
Task<void> ServerController::UnloadOrphans()
{
  std::vector<ArtifactId> orphans;
  for (const ReportedArtifact& artifact : m_report->artifacts)
    if (!m_ledger.Row().FindArtifact(artifact.id) && !m_placing.contains(artifact.id))
      orphans.push_back(artifact.id);
  std::erase_if(m_orphan_reports, [&](const auto& item) {
    return std::ranges::find(orphans, item.first) == orphans.end();
  });
  for (const ArtifactId& id : orphans)
  {
    if (++m_orphan_reports[id] < ORPHAN_AFTER_REPORTS)
      continue;
    const auto refreshed = co_await m_ledger.Refresh();
    if (!refreshed || m_ledger.Row().FindArtifact(id) || m_placing.contains(id))
      continue;
    LogEvent(LogLevel::Warning, "server.orphan", {{"server", m_server.vm}, {"artifact", id}});
    Claim claim;
    claim.artifact = id;
    co_await SendUnload(claim);
  }
}

bool ServerController::IsSurplus(const Claim& claim) const
{
  const Table::Artifact* artifact = m_environment.table.Current().FindArtifact(claim.artifact);
  return !artifact || claim.slot >= artifact->replicas;
}

bool ServerController::HasLoadedAdapter(const ArtifactId& base) const
{
  return std::ranges::any_of(m_ledger.Row().claims, [&](const Claim& claim) {
    const Table::Artifact* artifact = m_environment.table.Current().FindArtifact(claim.artifact);
    return artifact && artifact->base == base;
  });
}

Task<void> ServerController::UnloadSurplusAndIdle()
{
  if (!m_environment.table.HasTable() || m_environment.store.IsDown())
    co_return;
  const std::vector<Claim> claims = m_ledger.Row().claims;
  for (const Claim& claim : claims)
  {
    if (claim.state != ClaimState::Loaded || m_unloading.contains(claim.id))
      continue;
    const ReportedArtifact* reported = Reported(claim.artifact);
    if (!reported || HasLoadedAdapter(claim.artifact))
      continue;
    const Table::Artifact* artifact = m_environment.table.Current().FindArtifact(claim.artifact);
    Decisions::ArtifactUse use;
    use.idle = reported->idle;
    use.served = reported->served;
    use.load_time =
        m_load_times.contains(claim.artifact) ? m_load_times[claim.artifact] : Milliseconds(600);
    use.weight = artifact ? artifact->weight : 1;
    use.loaded_for = reported->age;
    const bool idle_long = reported->running == 0 && std::visit(
                                                         [&use](const auto& policy) {
                                                           return policy.ShouldUnload(use);
                                                         },
                                                         m_environment.policies.retention);
    if (!IsSurplus(claim) && !idle_long)
      continue;
    m_environment.decision_log.Add("unload", {claim.artifact.Get(), m_server.vm.Get()},
                                   {{"surplus", IsSurplus(claim)},
                                    {"idle_ms", use.idle.count()},
                                    {"load_ms", use.load_time.count()},
                                    {"served", use.served}});
    Common::Spawn(Unload(claim.id));
  }
}

std::optional<Daemons::ServerStatus> ServerController::Status() const
{
  if (!m_report || !m_ledger.IsKnown())
    return std::nullopt;
  Daemons::ServerStatus status;
  status.vm = m_server.vm;
  status.keeper = m_environment.Self();
  status.incarnation = m_report->incarnation;
  status.row_version = m_ledger.Version();
  status.ready = m_report->ready && m_failed_reports < UNREACHABLE_AFTER_FAILURES;
  status.capacity = m_report->capacity;
  if (m_server.memory.Get() > 0)
    status.capacity = std::min(status.capacity, m_server.memory);
  status.claimed = m_ledger.Row().Claimed();
  status.running = m_report->running;
  status.max_running = m_report->max_running;
  status.on_disk = m_report->on_disk;
  status.in_memory = m_report->in_memory;
  for (const Claim& claim : m_ledger.Row().claims)
  {
    Daemons::ReplicaStatus replica;
    replica.artifact = claim.artifact;
    replica.claim = claim.id;
    replica.state =
        m_loaded.contains(claim.id) ? ReplicaState::Loaded : ToReplicaState(claim.state);
    replica.memory = claim.memory;
    replica.surplus = m_environment.table.HasTable() && IsSurplus(claim);
    if (const ReportedArtifact* reported = Reported(claim.artifact))
    {
      replica.running = reported->running;
      replica.idle_ms = reported->idle.count();
      replica.served = reported->served;
    }
    status.replicas.push_back(replica);
  }
  return status;
}

void ServerController::Publish()
{
  if (m_retired)
    return;
  if (const auto status = Status())
    m_environment.server_statuses.Update(*status, Now());
}
} // namespace Serving

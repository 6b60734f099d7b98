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
using BackendServers::BackendOrder;
using BackendServers::OrderKind;
using Common::ArtifactId;
using Common::ClaimId;
using Common::Done;
using Common::Failure;
using Common::FailureKind;
using Common::FencingNumber;
using Common::LogEvent;
using Common::LogLevel;
using Common::Milliseconds;
using Common::Now;
using Common::Result;
using Common::Task;
using Common::TimePoint;
using Common::VmId;
using Daemons::PlaceOrder;
using Daemons::PlaceReply;
using Decisions::ClaimState;

constexpr int MAX_ORDER_TRIES = 3;
constexpr int MAX_TABLE_RETRIES = 3;
constexpr Milliseconds PERMIT_RETURN_TIMEOUT{2000};

PlaceReply Refuse(const Failure& failure)
{
  PlaceReply reply;
  reply.failure = failure.kind;
  reply.detail = failure.detail;
  return reply;
}

} // namespace

Task<PlaceReply> ServerController::Place(PlaceOrder order)
{
  const auto self = shared_from_this();
  const auto catalog = m_environment.table.Share();
  const Table::Artifact* artifact = catalog->FindArtifact(order.artifact);
  if (!artifact)
    co_return Refuse({FailureKind::NotFound, "the table has no " + order.artifact.Get()});
  for (const ClaimId& id : order.evict)
  {
    // The decision may be based on an outdated status; the engine's last report is newer.
    if (IsInUse(id))
      co_return Refuse({FailureKind::Overloaded, "a replica to evict is in use again"});
    const auto evicted = co_await Unload(id);
    if (!evicted)
      co_return Refuse(evicted.Reason());
  }
  if (!artifact->base.Empty())
  {
    PlaceReply base = co_await PlaceOnce(artifact->base, order);
    if (base.failure != FailureKind::None)
      co_return base;
  }
  PlaceReply reply = co_await PlaceOnce(order.artifact, order);
  co_return reply;
}

/// Concurrent orders for the same artifact share one load and its outcome.
Task<PlaceReply> ServerController::PlaceOnce(ArtifactId id, PlaceOrder order)
{
  if (!m_ledger.IsKnown())
    co_await m_ledger.Refresh();
  const Claim* claim = m_ledger.Row().FindArtifact(id);
  if (claim && (claim->state == ClaimState::Loaded || m_loaded.contains(claim->id)))
    co_return PlaceReply{};
  if (const auto placing = m_placing.find(id); placing != m_placing.end())
  {
    const auto shared = placing->second;
    const auto reply = co_await shared->WaitUntil(Now() + m_environment.timing.order_timeout);
    if (reply)
      co_return *reply;
    co_return Refuse({FailureKind::Timeout, "timed out waiting for the load in progress"});
  }
  const auto placed = std::make_shared<Placed>();
  m_placing[id] = placed;
  const auto catalog = m_environment.table.Share();
  const Table::Artifact* artifact = catalog->FindArtifact(id);
  PlaceReply reply = Refuse({FailureKind::NotFound, "the table has no " + id.Get()});
  if (artifact)
    reply = co_await ClaimAndLoad(*artifact, order);
  m_placing.erase(id);
  placed->Set(reply);
  Publish();
  co_return reply;
}

Task<PlaceReply> ServerController::ClaimAndLoad(Table::Artifact artifact, PlaceOrder order)
{
  const TimePoint began = Now();
  PlaceReply reply;
  const auto claim = co_await TakeClaim(
      artifact,
      began + std::min(m_environment.timing.claim_timeout, Milliseconds(order.patience_ms)),
      &reply.holders);
  if (!claim)
  {
    reply.failure = claim.Reason().kind;
    reply.detail = claim.Reason().detail;
    co_return reply;
  }
  Publish();
  const bool from_store = !IsCached(artifact.id);
  bool permitted = true;
  if (from_store)
    permitted = co_await GetPermit(artifact, claim->id, Milliseconds(order.patience_ms));
  Result<Done> loaded(FailureKind::DeadlineUnmeetable,
                      "no permit for the weight store before the deadline");
  if (permitted)
    loaded = co_await OrderLoad(artifact, *claim, began);
  if (from_store)
    ReturnPermit(claim->id);
  LocalOrder& local = m_orders[claim->id];
  local.in_progress = false;
  local.ended = Now();
  if (loaded)
  {
    m_loaded.insert(claim->id);
    const auto took = std::chrono::duration_cast<Milliseconds>(Now() - began);
    m_load_times[artifact.id] = took;
    LogEvent(LogLevel::Info, "load.done",
             {{"server", m_server.vm},
              {"artifact", artifact.id},
              {"request", order.request},
              {"ms", took.count()}});
    Common::Spawn(MarkLoaded(claim->id));
    co_return reply;
  }
  const FailureKind kind = loaded.Reason().kind;
  LogEvent(
      LogLevel::Warning, "load.failed",
      {{"server", m_server.vm}, {"artifact", artifact.id}, {"reason", loaded.Reason().detail}});
  if (!local.sent || kind == FailureKind::NotSent || kind == FailureKind::Refused)
  {
    local.sent = false;
    co_await Free(*claim);
  }
  reply.failure = kind;
  reply.detail = loaded.Reason().detail;
  co_return reply;
}

Task<Result<Claim>> ServerController::TakeClaim(Table::Artifact artifact, TimePoint deadline,
                                                std::vector<VmId>* holders)
{
  if (!m_report_current)
    co_return Failure{FailureKind::Unavailable, "no current report from " + m_server.vm.Get()};
  Claim claim;
  claim.artifact = artifact.id;
  claim.memory = artifact.memory;
  claim.holder = m_environment.Self();
  claim.holder_incarnation = m_environment.membership.Self().incarnation;
  int table_retries = 0;
  for (std::int64_t slot = 0; slot < artifact.replicas; ++slot)
  {
    // Use a new id for each attempt, so that a delayed duplicate of one is not mistaken for the
    // next.
    claim.id = ClaimId(Common::NewId("c-"));
    claim.slot = slot;
    const std::string table_key = TableRowKey(artifact.row_key);
    const std::int64_t table_version = m_environment.table.RowVersion(artifact.row_key);
    const auto edit = [&](ServerRow& row, Platform::Transaction& transaction) {
      row.incarnation = m_report->incarnation;
      row.capacity = m_report->capacity;
      if (m_server.memory.Get() > 0)
        row.capacity = std::min(row.capacity, m_server.memory);
      claim.server_incarnation = row.incarnation;
      claim.fence = row.NextFence();
      return AddClaim(row, transaction, m_server.vm, claim, table_key, table_version);
    };
    m_orders[claim.id] = LocalOrder{};
    const auto outcome = co_await m_ledger.Update(edit, deadline);
    if (outcome && outcome->committed)
      co_return claim;
    m_orders.erase(claim.id);
    if (!outcome && outcome.Reason().kind == FailureKind::Conflict)
      holders->push_back(m_server.vm);
    if (!outcome)
      co_return outcome.Reason();
    const auto taken = std::ranges::find(outcome->conflicts, SlotKey(artifact.id, slot),
                                         &Platform::StoredRow::key);
    if (taken != outcome->conflicts.end())
    {
      holders->push_back(SlotHolder(taken->value));
      continue;
    }
    // The table row has changed: read the table and retry the same slot.
    if (++table_retries > MAX_TABLE_RETRIES)
      co_return Failure{FailureKind::Conflict, "the table was changed concurrently too often"};
    const auto refreshed = co_await m_environment.table.Refresh();
    if (!refreshed)
      co_return Failure{FailureKind::NotSent, refreshed.Reason().detail};
    const Table::Artifact* current = m_environment.table.Current().FindArtifact(artifact.id);
    if (!current)
      co_return Failure{FailureKind::NotFound, "the table has no " + artifact.id.Get()};
    artifact = *current;
    claim.memory = artifact.memory;
    --slot;
  }
  co_return Failure{FailureKind::Conflict, "all " + std::to_string(artifact.replicas) +
                                               " replicas allowed by the table are claimed"};
}

/// Reads the row to check that the claim still belongs to this daemon. After a long pause, such as
/// a freeze of the VM, another daemon may have taken it over. This only avoids a useless order;
/// safety is guaranteed by the claim itself, which remains counted.
Task<bool> ServerController::IsStillOwned(ClaimId id)
{
  const auto refreshed = co_await m_ledger.Refresh();
  if (!refreshed)
    co_return false;
  ServerRow row = m_ledger.Row();
  const Claim* claim = row.Find(id);
  co_return claim&& IsOwnClaim(*claim) && claim->state == ClaimState::Ordered;
}

Task<Result<Done>> ServerController::OrderLoad(Table::Artifact artifact, Claim claim,
                                               TimePoint checked)
{
  BackendOrder order;
  order.kind = OrderKind::Load;
  order.artifact = artifact.id;
  order.base = artifact.base;
  order.memory = artifact.memory;
  order.fence = claim.fence;
  order.incarnation = claim.server_incarnation;
  order.claim = claim.id;
  for (int attempt = 0; attempt < MAX_ORDER_TRIES; ++attempt)
  {
    co_await Common::Sleep{Milliseconds(0)};
    // `checked` is initially a time before the claim's commit, so that a freeze during the commit
    // is noticed as well.
    if (Now() - checked > m_environment.timing.freeze_limit)
    {
      const bool held = co_await IsStillOwned(claim.id);
      if (!held)
        co_return Failure{FailureKind::NotSent, "the claim was lost during a pause"};
    }
    m_orders[claim.id].sent = true;
    LogEvent(LogLevel::Info, "load.ordered",
             {{"server", m_server.vm},
              {"artifact", artifact.id},
              {"claim", claim.id},
              {"fence", order.fence}});
    const auto done = co_await m_environment.engine.Order(m_server.address, order,
                                                          m_environment.timing.order_timeout);
    if (done || done.Reason().kind != FailureKind::Refused)
      co_return done;
    // Definitely not executed: a later order overtook this one, or the engine was restarted.
    const auto fence = co_await RenewFence(claim.id);
    if (!fence)
      co_return Failure{FailureKind::Refused, fence.Reason().detail};
    order.fence = *fence;
    checked = Now();
  }
  co_return Failure{FailureKind::Refused, "the engine refused the order repeatedly"};
}

Task<Result<FencingNumber>> ServerController::RenewFence(ClaimId id)
{
  FencingNumber fence;
  const auto edit = [&](ServerRow& row, Platform::Transaction&) -> std::optional<Failure> {
    Claim* claim = row.Find(id);
    if (!claim || !IsOwnClaim(*claim) || claim->state != ClaimState::Ordered ||
        claim->server_incarnation != m_report->incarnation)
      return Failure{FailureKind::Conflict, "the claim no longer belongs to this daemon"};
    fence = row.NextFence();
    claim->fence = fence;
    return std::nullopt;
  };
  const auto updated =
      RequireCommitted(co_await m_ledger.Update(edit, Now() + m_environment.timing.claim_timeout));
  if (!updated)
    co_return updated.Reason();
  co_return fence;
}

Task<Result<Done>> ServerController::MarkLoaded(ClaimId id)
{
  const auto self = shared_from_this();
  const auto edit = [&id](ServerRow& row, Platform::Transaction&) -> std::optional<Failure> {
    Claim* claim = row.Find(id);
    if (!claim || claim->state != ClaimState::Ordered)
      return Failure{FailureKind::Conflict, "no such claim in state ordered"};
    claim->state = ClaimState::Loaded;
    return std::nullopt;
  };
  const auto done =
      RequireCommitted(co_await m_ledger.Update(edit, Now() + m_environment.timing.claim_timeout));
  if (done)
  {
    m_loaded.erase(id);
    m_orders.erase(id);
    Publish();
  }
  co_return done;
}

/// Releases a claim. `seen` is the state that the decision was based on; if the claim has changed
/// since, it is not released.
Task<Result<Done>> ServerController::Free(Claim seen)
{
  const ClaimId id = seen.id;
  const auto edit = [&](ServerRow& row,
                        Platform::Transaction& transaction) -> std::optional<Failure> {
    const Claim* claim = row.Find(id);
    if (!claim)
      return Failure{FailureKind::NotFound, "no such claim"};
    if (claim->state != seen.state || claim->holder != seen.holder)
      return Failure{FailureKind::Conflict, "the claim has changed"};
    RemoveClaim(row, transaction, id);
    return std::nullopt;
  };
  const auto done =
      RequireCommitted(co_await m_ledger.Update(edit, Now() + m_environment.timing.claim_timeout));
  if (done || done.Reason().kind == FailureKind::NotFound)
  {
    m_orders.erase(id);
    m_loaded.erase(id);
    Publish();
  }
  co_return done;
}

/// Marks the claim as unloading first, so that no daemon sends requests to the replica, and then
/// orders the engine to complete its running requests and unload.
Task<Result<Done>> ServerController::Unload(ClaimId id)
{
  const auto self = shared_from_this();
  if (!m_unloading.insert(id).second)
    co_return Failure{FailureKind::Conflict, "the replica is already being unloaded"};
  Claim unloading;
  const auto edit = [&](ServerRow& row, Platform::Transaction&) -> std::optional<Failure> {
    Claim* claim = row.Find(id);
    if (!claim)
      return Failure{FailureKind::NotFound, "no such claim"};
    if (claim->state == ClaimState::Ordered && !m_loaded.contains(id))
      return Failure{FailureKind::Conflict, "the load of the claim has no definite outcome yet"};
    claim->state = ClaimState::Unloading;
    claim->holder = m_environment.Self();
    claim->holder_incarnation = m_environment.membership.Self().incarnation;
    unloading = *claim;
    return std::nullopt;
  };
  auto done =
      RequireCommitted(co_await m_ledger.Update(edit, Now() + m_environment.timing.claim_timeout));
  if (done)
  {
    m_orders[id] = LocalOrder{false, true, Now()};
    Publish();
    done = co_await SendUnload(unloading);
    if (done)
      done = co_await Free(unloading);
  }
  m_unloading.erase(id);
  co_return done;
}

Task<Result<Done>> ServerController::SendUnload(Claim claim)
{
  FencingNumber fence;
  const auto numbered = RequireCommitted(co_await m_ledger.Update(
      [&fence](ServerRow& row, Platform::Transaction&) -> std::optional<Failure> {
        fence = row.NextFence();
        return std::nullopt;
      },
      Now() + m_environment.timing.claim_timeout));
  if (!numbered)
    co_return numbered.Reason();
  BackendOrder order;
  order.kind = OrderKind::Unload;
  order.artifact = claim.artifact;
  order.fence = fence;
  order.incarnation = m_report->incarnation;
  order.claim = claim.id;
  LogEvent(LogLevel::Info, "unload.ordered",
           {{"server", m_server.vm}, {"artifact", claim.artifact}, {"claim", claim.id}});
  co_return co_await m_environment.engine.Order(m_server.address, order,
                                                m_environment.timing.order_timeout);
}

bool ServerController::IsInUse(const ClaimId& id) const
{
  const auto& claims = m_ledger.Row().claims;
  const auto claim = std::ranges::find(claims, id, &Claim::id);
  const BackendServers::ReportedArtifact* reported =
      claim == claims.end() ? nullptr : Reported(claim->artifact);
  return reported && (reported->running > 0 || reported->idle < m_environment.timing.min_idle);
}

bool ServerController::IsCached(const ArtifactId& id) const
{
  const auto holds = [&id](const std::vector<ArtifactId>& ids) {
    return std::ranges::find(ids, id) != ids.end();
  };
  return m_report && (holds(m_report->in_memory) || holds(m_report->on_disk));
}

/// Requests a permit for a load from the weight store, which slows down all loads if too many run
/// concurrently. If the daemon that grants the permits is unreachable, the load proceeds without
/// one: permits only matter for speed, not for safety.
Task<bool> ServerController::GetPermit(const Table::Artifact& artifact, ClaimId claim,
                                       Milliseconds patience)
{
  const auto allocator =
      Decisions::PickByRendezvous("weight-store", m_environment.membership.LiveEverywhere(Now()));
  if (!allocator)
    co_return true;
  Daemons::PermitRequest request;
  request.claim = claim;
  request.artifact = artifact.id;
  request.patience_ms = patience.count();
  request.weight = artifact.weight;
  const auto reply =
      co_await m_environment.link.SendCall(*allocator, Daemons::Call(request), patience);
  if (!reply)
    co_return reply.Reason().kind != FailureKind::Timeout;
  const auto* permit = std::get_if<Daemons::PermitReply>(&*reply);
  co_return permit && permit->granted;
}

void ServerController::ReturnPermit(ClaimId claim)
{
  const auto allocator =
      Decisions::PickByRendezvous("weight-store", m_environment.membership.LiveEverywhere(Now()));
  if (!allocator)
    return;
  Daemons::PermitReturn message;
  message.claim = claim;
  Common::Spawn(
      m_environment.link.SendCall(*allocator, Daemons::Call(message), PERMIT_RETURN_TIMEOUT));
}
} // namespace Serving

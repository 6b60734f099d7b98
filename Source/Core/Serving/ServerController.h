// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>

#include "Common/Loop.h"
#include "Serving/ClaimLedger.h"
#include "Serving/Environment.h"

namespace Serving
{
/// Manages one backend server: polls its reports, claims replica slots, orders loads and unloads,
/// and resolves every claim whose order had no definite outcome.
class ServerController : public std::enable_shared_from_this<ServerController>
{
public:
  ServerController(Environment& environment, Table::BackendServer server);

  /// Polls until `Retire` was called and all claims of this daemon are resolved.
  Common::Task<void> Run();
  void Retire() { m_retired = true; }
  void Resume() { m_retired = false; }
  bool IsRetired() const { return m_retired; }
  bool IsFinished() const { return m_finished; }

  /// Evicts, claims and loads, for an adapter including its base. Returns when the artifact is
  /// loaded, or when loading it has failed.
  Common::Task<Daemons::PlaceReply> Place(Daemons::PlaceOrder order);

  /// The status for the other daemons; empty until the first report and row have been read.
  std::optional<Daemons::ServerStatus> Status() const;

private:
  struct LocalOrder
  {
    bool in_progress = true;
    bool sent = false;
    Common::TimePoint ended;
  };
  using Placed = Common::Completion<Daemons::PlaceReply>;

  Common::Task<void> PollReport();
  Common::Task<void> ReconcileClaims();
  Common::Task<void> ReconcileOne(Claim claim);
  Common::Task<void> UnloadOrphans();
  Common::Task<void> UnloadSurplusAndIdle();
  Common::Task<void> RaiseFence();

  // Orders: ServerControllerOrders.cpp.
  Common::Task<Daemons::PlaceReply> PlaceOnce(Common::ArtifactId artifact,
                                              Daemons::PlaceOrder order);
  Common::Task<Daemons::PlaceReply> ClaimAndLoad(Table::Artifact artifact,
                                                 Daemons::PlaceOrder order);
  Common::Task<Common::Result<Claim>> TakeClaim(Table::Artifact artifact,
                                                Common::TimePoint deadline,
                                                std::vector<Common::VmId>* holders);
  Common::Task<Common::Result<Common::Done>> OrderLoad(Table::Artifact artifact, Claim claim,
                                                       Common::TimePoint checked);
  Common::Task<bool> IsStillOwned(Common::ClaimId id);
  Common::Task<Common::Result<Common::FencingNumber>> RenewFence(Common::ClaimId id);
  Common::Task<Common::Result<Common::Done>> MarkLoaded(Common::ClaimId id);
  Common::Task<Common::Result<Common::Done>> Free(Claim seen);
  Common::Task<Common::Result<Common::Done>> Unload(Common::ClaimId id);
  Common::Task<Common::Result<Common::Done>> SendUnload(Claim claim);
  Common::Task<bool> GetPermit(const Table::Artifact& artifact, Common::ClaimId claim,
                               Common::Milliseconds patience);
  void ReturnPermit(Common::ClaimId claim);

  Decisions::ReconcileInput Describe(const Claim& claim);
  Decisions::OrderStatus OrderStatusOf(const Claim& claim, Common::TimePoint* since) const;
  const BackendServers::ReportedArtifact* Reported(const Common::ArtifactId& id) const;
  bool IsOwnClaim(const Claim& claim) const;
  /// Whether the platform has removed the server's VM and the server no longer reports.
  bool IsGone() const;
  bool IsCached(const Common::ArtifactId& id) const;
  /// Whether the replica of the claim is not idle according to the engine's last report.
  bool IsInUse(const Common::ClaimId& id) const;
  bool HasUnsettledClaims() const;
  bool IsSurplus(const Claim& claim) const;
  bool HasLoadedAdapter(const Common::ArtifactId& base) const;
  void Publish();

  Environment& m_environment;
  Table::BackendServer m_server;
  ClaimLedger m_ledger;
  std::optional<BackendServers::BackendReport> m_report;
  bool m_report_current = false;
  Common::TimePoint m_report_requested_at;
  Common::Incarnation m_fenced_incarnation;
  Common::FencingNumber m_confirmed_fence;
  int m_failed_reports = 0;
  /// The time since which the engine has continuously reported the artifact as absent.
  std::map<Common::ArtifactId, Common::TimePoint> m_absent_since;
  std::map<Common::ClaimId, LocalOrder> m_orders;
  /// Claims whose load has succeeded but is not yet recorded in the row.
  std::set<Common::ClaimId> m_loaded;
  std::map<Common::ArtifactId, std::shared_ptr<Placed>> m_placing;
  std::map<Common::ArtifactId, Common::Milliseconds> m_load_times;
  std::map<Common::ArtifactId, int> m_orphan_reports;
  std::set<Common::ClaimId> m_unloading;
  bool m_retired = false;
  bool m_finished = false;
};
} // namespace Serving

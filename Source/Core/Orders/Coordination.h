// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <algorithm>
#include <iterator>
#include <memory>
#include <optional>
#include <ranges>
#include <string>
#include <utility>
#include <vector>

#include "Common/Mechanisms.h"
#include "Common/Random.h"
#include "Common/Reactor.h"
#include "Fleet/StoreVersion.h"
#include "Fleet/TableFollower.h"
#include "Gateway/Dispatcher.h"
#include "Orders/CrashArchive.h"
#include "Orders/Hub.h"
#include "Orders/LeaseManager.h"
#include "Orders/OrderManager.h"
#include "Orders/OriginArchive.h"

namespace Orders
{
struct CoordinationSettings
{
  Common::VmId vm;
  Http::Endpoint local;                 ///< UDP endpoint for messages from other daemons.
  std::optional<Http::Endpoint> listen; ///< Where they arrive, if not at `local`.
  Common::Milliseconds holder_pause{3000};
  double load_window_s = 5;
  double cores = 1; ///< CPU cores of this VM.
  double link_mbps = 1000;
  Common::DataCentreId data_centre;
};

/// Access to what the daemons keep in the platform's store.
struct Archives
{
  ArchiveAccess crashes;
  OriginArchiveAccess origins;
};

/// Delay before a VM with few cores or a slow link tries to acquire a free lease; 0 for a VM with
/// enough of both. The holder of a system of 70 daemons was measured to use 0.1 cores and some
/// Mbit/s. Candidates learn of a free lease within about a second of each other, so the longest
/// handicap lies well above that.
inline Common::Milliseconds LeaseHandicap(double cores, double link_mbps)
{
  constexpr double ENOUGH_CORES = 0.3;
  constexpr double ENOUGH_MBPS = 100;
  constexpr double MAX_CORE_HANDICAP_MS = 1000;
  constexpr double MAX_LINK_HANDICAP_MS = 1000;
  if (!Common::IsOn(Common::Mechanism::StrongFirst))
    return Common::Milliseconds(0);
  const double core_shortage = std::clamp(1 - cores / ENOUGH_CORES, 0.0, 1.0);
  const double link_shortage = std::clamp(1 - link_mbps / ENOUGH_MBPS, 0.0, 1.0);
  return Common::Milliseconds(static_cast<std::int64_t>(core_shortage * MAX_CORE_HANDICAP_MS +
                                                        link_shortage * MAX_LINK_HANDICAP_MS));
}

/// Coordinates this daemon with the others: acquires and renews the order lease, exchanges reports,
/// and issues orders while this daemon holds the lease.
template <LeaseStore Store, Fleet::TableSource Source>
class Coordination
{
public:
  using Follower = Fleet::TableFollower<Source>;

  /// `lease_table` is read from the store only while no lease holder is reachable.
  Coordination(const CoordinationSettings& settings, Gateway::Dispatcher& dispatcher, Store& store,
               OrderChannel channel, Archives archives, std::vector<Follower*> shared_tables,
               Follower& lease_table)
      : m_dispatcher(dispatcher),
        m_vm(settings.vm),
        m_run(Common::NewId("run-")),
        m_order_manager(dispatcher.Servers(), std::move(channel),
                        {settings.load_window_s, dispatcher.Settings().regions}),
        m_hub({settings.vm, m_run, settings.local,
               LeaseHandicap(settings.cores, settings.link_mbps), settings.link_mbps,
               settings.data_centre, settings.listen},
              dispatcher, m_order_manager),
        m_lease(store, {settings.vm, m_run, settings.local.ToString(), LEASE_DURATION,
                        settings.holder_pause + PAUSE_MARGIN,
                        LeaseHandicap(settings.cores, settings.link_mbps)}),
        m_archive(dispatcher, std::move(archives.crashes)),
        m_origin_archive({settings.local, Fleet::HashOf(settings.data_centre), m_run.Get()},
                         dispatcher, std::move(archives.origins)),
        m_lease_table(lease_table)
  {
    std::vector<Fleet::TableAccess> tables;
    std::ranges::transform(shared_tables, std::back_inserter(tables), [](Follower* follower) {
      return AccessTo(*follower);
    });
    m_shared_tables = shared_tables;
    m_hub.SetTables(std::move(tables));
    m_hub.UseOriginArchive(m_origin_archive);
    m_hub.OnLeaseAnnouncement([this](const LeaseAnnouncement& lease, const Common::VmId& holder,
                                     const Http::Endpoint& from) {
      m_lease.OnHolderAnnouncement(lease.version, {holder, {}, from.ToString()}, lease.left);
      m_lease_table.SkipTo(lease.version);
      UpdateHolder();
    });
    m_order_manager.SetPermission([this] {
      return Permit(Common::Now());
    });
    m_order_manager.OnPlacementChange([this] {
      m_hub.ScheduleAnnouncement();
    });
    dispatcher.OnDemand([this] {
      m_hub.ScheduleReport();
    });
  }

  Common::Result<Common::Done> Start()
  {
    auto started = m_hub.Start();
    m_lease.Start();
    m_lease_table.Start();
    m_hub.Join();
    Tick();
    return started;
  }

  void SetConfiguration(std::shared_ptr<const Gateway::Configuration> configuration)
  {
    m_order_manager.SetConfiguration(std::move(configuration));
  }
  void OnLeaseRow(std::int64_t version, std::optional<LeaseRecord> record)
  {
    m_lease.OnRow(version, std::move(record));
    UpdateHolder();
  }
  /// Handles a stored row about requests that crash servers.
  void OnCrashRow(const ArchiveRow& row) { m_archive.OnRow(row); }
  /// The store stopped responding to this daemon, or responds again, as the follower of any table
  /// has found out. Each detects it only when it has a call open.
  void OnStoreLost()
  {
    if (!std::exchange(m_store_lost, true))
      m_lease.OnStoreLost();
  }
  void OnStoreBack()
  {
    if (std::exchange(m_store_lost, false))
      m_lease.OnStoreBack();
  }
  void FillMetrics(Common::Metrics& metrics) const
  {
    const auto now = Common::Now();
    metrics.SetGauge("lease_held", m_lease.Holds(now) ? 1 : 0);
    metrics.SetGauge("lease_fence", static_cast<double>(m_lease.Fence()));
    metrics.SetGauge("holder_heard", m_hub.HasHolderContact() ? 1 : 0);
    metrics.SetGauge("daemons", m_hub.Daemons());
    metrics.SetGauge("messages_sent", static_cast<double>(m_hub.MessagesSent()));
    metrics.SetGauge("table_copies_sent", static_cast<double>(m_hub.Handover().CopiesSent()));
    metrics.SetGauge("table_bytes_sent", static_cast<double>(m_hub.Handover().BytesSent()));
    const auto& origins = m_hub.Origins().GetCounters();
    metrics.SetGauge("members", static_cast<double>(m_hub.Members().All().size()));
    metrics.SetGauge("origin_copies_sent", static_cast<double>(origins.copies_sent));
    metrics.SetGauge("origin_copies_moved", static_cast<double>(origins.copies_moved));
    metrics.SetGauge("origin_queries", static_cast<double>(origins.queries));
    metrics.SetGauge("origin_replies_not_asked_for",
                     static_cast<double>(origins.replies_not_asked_for));
    metrics.SetGauge("origin_copies_of_strangers",
                     static_cast<double>(origins.copies_of_strangers));
    const auto& archive = m_origin_archive.GetCounters();
    metrics.SetGauge("origin_archive_rows_written", static_cast<double>(archive.rows_written));
    metrics.SetGauge("origin_archive_shards_read", static_cast<double>(archive.shards_read));
    metrics.SetGauge("origin_archive_streams_restored",
                     static_cast<double>(archive.streams_restored));
    metrics.SetGauge("origin_archive_failures", static_cast<double>(archive.failures));
    const auto& permits = m_hub.Permits().Granted();
    metrics.SetGauge("permits_handed_out", static_cast<double>(permits.granted));
    metrics.SetGauge("permits_handed_back", static_cast<double>(permits.unused));
    for (const auto& [name, count] : m_order_manager.Counters())
      metrics.SetGauge("orders_" + name, static_cast<double>(count));
  }
  /// Called when this daemon's copy of a shared table changes; the lease holder announces the
  /// change to the other daemons.
  void OnTableChange() { m_hub.ScheduleAnnouncement(); }
  /// Planned shutdown: releases the lease, so that the next holder need not wait until it expires.
  void Stop()
  {
    m_stopped = true;
    m_hub.PrepareStop();
    if (m_held)
      m_hub.AnnounceAbdication(CurrentLease());
    m_lease.Release();
    UpdateHolder();
  }

private:
  /// If the holder crashes, there is no holder for this long plus the pause between holders. A
  /// shorter lease costs more renewals, each of which is a billed call.
  static constexpr Common::Milliseconds LEASE_DURATION{3000};
  /// The holder calls the store twice a second; without a response for this long, the holder counts
  /// as cut off from it.
  static constexpr Common::Milliseconds STORE_RESPONSE_TIMEOUT{1200};
  /// The holder issues no orders if its copy of the servers' entries is older. The difference to
  /// `STORE_RESPONSE_TIMEOUT` is the time within which its last orders have arrived.
  static constexpr Common::Milliseconds MAX_AGE_FOR_ORDERS{900};
  /// At the start of a tenure a call with a follower's longer wait may still be open, so the age of
  /// the responses is ignored for this long.
  static constexpr Common::Milliseconds STARTUP_GRACE{3500};
  /// While this VM is isolated from the backend servers, it lets other daemons acquire the lease.
  static constexpr Common::Milliseconds ISOLATED_DEFERRAL{3000};
  /// Added to the platform's pause between holders, for orders that are still in transit.
  static constexpr Common::Milliseconds PAUSE_MARGIN{150};
  /// Interval of the periodic tick at the lease holder, which plans orders, and at other daemons.
  static constexpr Common::Milliseconds TICK{50};
  static constexpr Common::Milliseconds IDLE_TICK{200};
  /// Interval at which the holder reads a restored lease row until a read succeeds.
  static constexpr Common::Milliseconds LEASE_READ_INTERVAL{300};

  static Fleet::TableAccess AccessTo(Follower& follower)
  {
    Fleet::TableAccess access;
    access.version = [&follower] {
      return follower.Version();
    };
    access.changes_since = [&follower](std::int64_t version) {
      return follower.ChangesSince(version);
    };
    access.response_age = [&follower] {
      return follower.ResponseAge(Common::Now());
    };
    access.proven_at = [&follower] {
      return follower.ProvenAt();
    };
    access.apply_relayed_proof = [&follower](Common::TimePoint moment) {
      follower.ApplyRelayedProof(moment);
    };
    access.prove = [&follower] {
      follower.Prove();
    };
    access.apply_relayed = [&follower](std::int64_t from, std::int64_t to,
                                       const std::vector<Fleet::RowChange>& rows) {
      return follower.ApplyRelayed(from, to, rows);
    };
    access.set_relayed = [&follower](bool relayed, Fleet::DirectReadReason reason) {
      follower.SetRelayed(relayed, reason);
    };
    access.set_wait = [&follower](Common::Milliseconds wait) {
      follower.SetWait(wait);
    };
    access.set_batch_delay = [&follower](Common::Milliseconds span) {
      follower.SetBatchDelay(span);
    };
    access.is_settled = [&follower] {
      return follower.IsSettled(Common::Now());
    };
    access.snapshot = [&follower] {
      return follower.Snapshot();
    };
    access.apply_snapshot = [&follower](const Fleet::TableSnapshot& snapshot) {
      follower.ApplySnapshot(snapshot);
    };
    access.read = [&follower] {
      follower.Start();
    };
    return access;
  }

  Common::Milliseconds OldestResponseAge(Common::TimePoint now) const
  {
    Common::Milliseconds oldest{0};
    for (const Follower* table : m_shared_tables)
      oldest = std::max(oldest, table->ResponseAge(now));
    return now - m_held_since < STARTUP_GRACE ? Common::Milliseconds(0) : oldest;
  }

  Common::Milliseconds NewestResponseAge(Common::TimePoint now) const
  {
    const auto age_of = [&](const Follower* table) {
      return table->ResponseAge(now);
    };
    return std::ranges::min(m_shared_tables | std::views::transform(age_of));
  }

  std::optional<OrderPermit> Permit(Common::TimePoint now) const
  {
    const auto view_left = MAX_AGE_FOR_ORDERS - OldestResponseAge(now);
    if (!m_lease.MaySendOrders(now) || view_left < Common::Milliseconds(0))
      return std::nullopt;
    return OrderPermit{m_lease.Fence(), std::min(m_lease.OrdersUntil(), now + view_left)};
  }

  LeaseAnnouncement CurrentLease() const { return {m_lease.Fence(), m_lease.RowVersion(), {}}; }

  /// If the store stops responding to the holder, it abdicates and announces it at once instead of
  /// letting the lease expire. If its VM no longer reaches the backend servers while another one
  /// does, it releases the lease, too.
  void AbdicateIfCutOff(Common::TimePoint now)
  {
    if (!m_held)
      return;
    // Right after an outage the last responses are old and the first new ones are still in transit.
    const bool has_lost_store =
        now - m_held_since >= STARTUP_GRACE && NewestResponseAge(now) > STORE_RESPONSE_TIMEOUT;
    const bool has_lost_servers = m_dispatcher.Paths().IsIsolated() && m_hub.HasPeerWithServers();
    if (!has_lost_store && !has_lost_servers)
      return;
    const LeaseAnnouncement lease = CurrentLease();
    if (has_lost_store)
      m_lease.Abdicate();
    else
      m_lease.Resign();
    m_hub.AnnounceAbdication(lease);
  }

  void Tick()
  {
    const bool is_isolated = m_dispatcher.Paths().IsIsolated();
    m_lease.SetDeferral(is_isolated ? ISOLATED_DEFERRAL : Common::Milliseconds(0));
    AbdicateIfCutOff(Common::Now());
    ReadRestoredLease(Common::Now());
    UpdateHolder();
    m_lease.SetContenders(m_hub.Daemons(), m_hub.MinHandicap());
    m_lease_table.SetRelayed(m_held || m_hub.HasHolderContact(), Fleet::DirectReadReason::NoHolder);
    const auto now = Common::Now();
    const bool holds = m_lease.Holds(now);
    if (holds)
      m_order_manager.Plan(now);
    m_archive.Tick(RoleAtArchive(holds), now);
    m_origin_archive.Tick(holds, m_hub.Members().All().size(), now);
    m_timer.Start(holds ? TICK : IDLE_TICK, [this] {
      Tick();
    });
  }

  /// The holder does not read the lease's row while it renews it. If the store came back from an
  /// older copy, as the shared tables show, the row has to be read before it can be renewed.
  void ReadRestoredLease(Common::TimePoint now)
  {
    const auto version_of = [](const Follower* table) {
      return table->Version();
    };
    const auto newest = std::ranges::max(m_shared_tables | std::views::transform(version_of));
    const bool is_restored = Fleet::EraOf(newest) > Fleet::EraOf(m_lease.RowVersion());
    if (!m_held || !is_restored || now - m_lease_read_at < LEASE_READ_INTERVAL)
      return;
    m_lease_read_at = now;
    m_lease_table.Start();
  }

  ArchiveRole RoleAtArchive(bool holds) const
  {
    if (holds)
      return ArchiveRole::Holder;
    const bool has_no_holder =
        !m_hub.HasHolderContact() && !m_store_lost && m_lease_table.HasSnapshot();
    return has_no_holder ? ArchiveRole::WithoutHolder : ArchiveRole::Reader;
  }

  /// Updates the hub and the order manager after a possible change of the lease holder.
  void UpdateHolder()
  {
    const bool holds = !m_stopped && m_lease.Holds(Common::Now());
    if (holds && !m_held)
    {
      m_order_manager.Reset();
      m_held_since = Common::Now();
    }
    if (!holds && m_held)
      m_order_manager.CancelPending();
    m_held = holds;
    if (holds)
    {
      m_hub.SetHolder(std::nullopt, LeaseAnnouncement{m_lease.Fence(), m_lease.RowVersion(),
                                                      m_lease.Left(Common::Now())});
      return;
    }
    const auto& record = m_lease.Record();
    const bool other = record && !record->holder.Empty() && record->holder != m_vm;
    const auto endpoint = other ? Http::Endpoint::Parse(record->address)
                                : Common::Result<Http::Endpoint>(Common::FailureKind::NotFound, "");
    m_hub.SetHolder(endpoint.Value(), std::nullopt);
  }

  Gateway::Dispatcher& m_dispatcher;
  Common::VmId m_vm;
  Common::Incarnation m_run;
  OrderManager m_order_manager;
  Hub m_hub;
  LeaseManager<Store> m_lease;
  CrashArchive m_archive;
  OriginArchive m_origin_archive;
  bool m_store_lost = false;
  Follower& m_lease_table;
  Common::TimePoint m_lease_read_at; ///< When the holder last read a restored row.
  std::vector<Follower*> m_shared_tables;
  Common::TimePoint m_held_since;
  bool m_held = false;
  bool m_stopped = false;
  Common::OwnedTimer m_timer;
};
} // namespace Orders

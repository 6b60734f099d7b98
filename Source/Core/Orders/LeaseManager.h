// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "Common/Failure.h"
#include "Common/Log.h"
#include "Common/Loop.h"
#include "Common/Random.h"
#include "Common/Reactor.h"
#include "Common/Units.h"
#include "Fleet/StoreVersion.h"

/// Only the holder of one lease in the platform's store may order backend servers to load and
/// unload models. The lease row changes only by compare-and-set. The holder measures the lease
/// duration from when it sent the renewal, observers from when they saw the row change, so that the
/// lease expires at the holder first without synchronized clocks.
///
/// If the store comes back from an older copy, the row may lack the latest holders: it then has an
/// era before that of its version. A daemon that is not the latest holder treats it as the row of
/// an unknown holder, whose lease has just begun.
namespace Orders
{
/// The value of the lease row.
struct LeaseRecord
{
  Common::VmId holder; ///< Empty if the lease was released.
  Common::Incarnation run;
  std::string address; ///< IP:PORT at which the holder receives reports.
  /// The pause after the previous holder is over. While false, the row may come from a write whose
  /// response was lost, so that its daemon never learned that it held the lease; the pause must
  /// still be observed.
  bool ordering = false;
  /// Era of the store in which the row was written (Fleet/StoreVersion.h).
  std::int64_t era = 0;
};

/// Compare-and-set of the lease row: writes it if it still has the expected version (0 if it must
/// be absent).
template <typename T>
concept LeaseStore = requires(T store, std::int64_t version, const LeaseRecord& record,
                              std::function<void(Common::Result<std::int64_t>)> done)
{
  store.ReplaceLease(version, record, done);
};

struct LeaseSettings
{
  Common::VmId self;
  Common::Incarnation run;
  std::string address;
  /// How long a holder may act after sending its last successful renewal.
  Common::Milliseconds duration{4000};
  /// Minimum time between the last order of one holder and the first order of the next.
  Common::Milliseconds holder_pause{3000};
  /// Delay before this daemon tries to acquire a free lease. VMs with few cores or a slow link wait
  /// longer, because they perform poorly as the holder.
  Common::Milliseconds handicap{0};
};

template <LeaseStore Store>
class LeaseManager
{
public:
  LeaseManager(Store& store, LeaseSettings settings)
      : m_store(store), m_settings(std::move(settings))
  {
  }

  void Start() { Tick(); }

  /// Handles the row as read from the store; the store's own number in `version` is 0 if the row is
  /// absent. No record with another number: the row was removed or cannot be read.
  void OnRow(std::int64_t version, std::optional<LeaseRecord> record)
  {
    if (m_row_known && version <= m_version)
      return;
    // A store that has come back from an older copy may have lost the row.
    const bool is_restored = Fleet::EraOf(version) > 0;
    const bool is_unreadable = !record && Fleet::StoreNumber(version) != Fleet::ABSENT_ROW;
    const bool had_record = m_record.has_value();
    m_row_known = true;
    m_version = version;
    m_expects_absent_row = false;
    m_record = std::move(record);
    m_lost_record = !m_record && (m_lost_record || had_record || is_unreadable || is_restored);
    if (!IsHolderUnknown())
      m_continues_until = {};
    m_free_at = Common::Now() + m_settings.duration + ACQUIRE_MARGIN;
    if (!m_writing)
      CheckOwnership();
  }

  /// Handles an announcement by the holder: the row has this version, and the holder stops acting
  /// after `left` unless it renews. A message can only be delayed, so `left` is an upper bound here
  /// too.
  void OnHolderAnnouncement(std::int64_t version, const LeaseRecord& record,
                            Common::Milliseconds left)
  {
    if (!m_row_known || version < m_version || m_fence || m_writing)
      return;
    const auto free_at = Common::Now() + left + ACQUIRE_MARGIN;
    m_free_at = version > m_version ? free_at : std::min(m_free_at, free_at);
    m_version = version;
    m_record = record;
    m_record->era = Fleet::EraOf(version);
    m_lost_record = false;
    m_continues_until = {};
  }

  /// The store does not respond to this daemon, which makes no attempt to acquire the lease, since
  /// the write could not succeed and would still be billed.
  void OnStoreLost() { m_store_lost = true; }
  /// The store responds again. All daemons detect this at about the same time, so the delays before
  /// acquiring the lease restart: first the last holder, which need not wait for the pause between
  /// holders, then VMs with a low handicap.
  void OnStoreBack()
  {
    m_store_lost = false;
    m_reserved_until = Common::Now() + RESERVATION_TIME;
    m_acquire_at.reset();
    m_write_failures = 0;
    m_retry_at = {};
  }

  /// Stops acting as the holder without writing the row, because the store is unreachable. No
  /// orders are sent any more under the current fence.
  void Abdicate()
  {
    if (m_fence)
      OnLeaseLost("store unreachable");
  }

  /// Stops acting as the holder and releases the row, so that another daemon acquires the lease at
  /// once. Unlike after Release(), this daemon contends for the lease again, after its deferral.
  void Resign()
  {
    if (!m_fence)
      return;
    OnLeaseLost("resigned");
    if (m_writing)
      m_resigns = true;
    else
      WriteRelease();
  }

  std::int64_t RowVersion() const { return m_version; }
  /// Remaining time for which this holder may act without another renewal.
  Common::Milliseconds Left(Common::TimePoint now) const
  {
    return std::max(std::chrono::ceil<Common::Milliseconds>(m_valid_until - now),
                    Common::Milliseconds(0));
  }

  /// Whether this daemon holds the lease, even if it may not send orders yet.
  bool Holds(Common::TimePoint now) const { return m_fence && now < m_valid_until - STOP_MARGIN; }
  /// Whether orders may be sent now. Must be checked right before each order, since the process may
  /// have been suspended.
  bool MaySendOrders(Common::TimePoint now) const { return Holds(now) && now >= m_orders_from; }
  /// When this holder must stop sending orders unless it renews.
  Common::TimePoint OrdersUntil() const { return m_valid_until - STOP_MARGIN; }
  std::int64_t Fence() const { return m_fence.value_or(0); }
  const std::optional<LeaseRecord>& Record() const { return m_record; }

  /// Sets an additional delay before this daemon tries to acquire a free lease.
  void SetDeferral(Common::Milliseconds deferral)
  {
    if (std::exchange(m_deferral, deferral) != deferral)
      m_acquire_at.reset();
  }
  /// Sets the number of daemons that may contend for the lease and the lowest handicap among them.
  void SetContenders(int daemons, Common::Milliseconds min_handicap)
  {
    m_contenders = static_cast<std::uint64_t>(std::max(daemons, 1));
    m_min_handicap = min_handicap;
  }

  /// Releases the lease, so that the next holder need not wait for it to expire.
  void Release()
  {
    m_released = true;
    m_timer.Stop();
    const bool held = m_fence.has_value();
    m_fence.reset();
    // A pending write will change the row's version, so the lease is released after it completes.
    if (held && !m_writing)
      WriteRelease();
  }

private:
  /// Interval at which the state of the lease is checked.
  static constexpr Common::Milliseconds TICK{200};
  /// Fraction of the duration after which the lease is renewed.
  static constexpr double RENEW_FRACTION = 0.4;
  /// The holder stops this long before its lease expires, because orders take time to arrive.
  static constexpr Common::Milliseconds STOP_MARGIN{150};
  /// How much longer than the duration an observer waits before it treats the lease as free.
  static constexpr Common::Milliseconds ACQUIRE_MARGIN{250};
  /// Initial delay after a failed write by a daemon without the lease; doubles with each failure.
  /// During an outage of the store the attempts of every daemon are billed and none can succeed.
  static constexpr Common::Milliseconds FIRST_RETRY_DELAY{100};
  static constexpr int MAX_RETRY_DOUBLINGS = 3;
  /// Random delay, so that daemons that find the lease free do not all write at once.
  static constexpr std::uint64_t MAX_JITTER_MS = 250;
  static constexpr std::uint64_t MAX_JITTER_MS_PER_DAEMON = 10;
  /// After an outage of the store, a lease that was not released is reserved for its last holder
  /// for this long: daemons detect the store's return up to a second apart, and the pause between
  /// two holders would cost three seconds. Measured gain for three kinds of outage: +0.015 +- 0.016
  /// to +0.068 +- 0.011 (8 paired runs each, together with the connection timeout and the batching
  /// of table changes).
  static constexpr Common::Milliseconds RESERVATION_TIME{1200};
  /// Losses of the lease that are at most this far apart are counted together.
  static constexpr Common::Milliseconds LOSS_WINDOW{15000};
  /// Factor applied to the handicap of a VM that loses the lease repeatedly.
  static constexpr int LOSS_HANDICAP_FACTOR = 2;

  void Tick()
  {
    const auto now = Common::Now();
    if (m_fence && !Holds(now))
      OnLeaseLost("lease expired");
    if (!m_writing && m_row_known)
      AcquireOrRenew(now);
    m_timer.Start(TICK, [this] {
      Tick();
    });
  }

  void AcquireOrRenew(Common::TimePoint now)
  {
    if (m_fence)
    {
      const auto renew_at = m_valid_until - m_settings.duration * (1 - RENEW_FRACTION);
      if (now >= renew_at)
        WriteLease(now, "renewed");
      return;
    }
    if (!IsFree(now))
    {
      m_acquire_at.reset();
      return;
    }
    if (m_store_lost || now < m_retry_at)
      return;
    if (!m_acquire_at)
      m_acquire_at = Continues(now) ? now : now + AcquisitionDelay(now);
    if (now >= *m_acquire_at)
      WriteLease(now, "acquired");
  }

  /// Delay before this daemon tries to acquire a free lease. The last holder need not wait for the
  /// pause between holders and therefore goes first, unless its VM has a handicap. A daemon that
  /// has lost the lease more than once recently goes after the others, because its VM cannot
  /// sustain the work.
  Common::Milliseconds AcquisitionDelay(Common::TimePoint now) const
  {
    const bool loses_repeatedly = m_losses > 1 && now - m_lost_at < LOSS_WINDOW;
    // If all VMs have the same handicap, none has to wait.
    const auto relative_handicap =
        std::max(m_settings.handicap - m_min_handicap, Common::Milliseconds(0));
    const auto handicap =
        loses_repeatedly ? m_settings.handicap * LOSS_HANDICAP_FACTOR : relative_handicap;
    if (IsOwnLease())
      return handicap + m_deferral;
    const auto max_jitter = std::max(MAX_JITTER_MS, MAX_JITTER_MS_PER_DAEMON * m_contenders);
    const bool has_last_holder = m_record && !m_record->holder.Empty();
    const auto reservation_left =
        has_last_holder ? std::chrono::ceil<Common::Milliseconds>(m_reserved_until - now)
                        : Common::Milliseconds(0);
    return std::max(reservation_left, Common::Milliseconds(0)) + handicap + m_deferral +
           Common::Milliseconds(Common::SharedRandom()() % max_jitter);
  }

  bool IsOwnLease() const { return m_record && m_record->holder == m_settings.self; }

  /// The row, or its absence, says nothing of the latest holders: it is from before the store came
  /// back from an older copy, or another writer has removed or spoilt it.
  bool IsHolderUnknown() const
  {
    return m_record ? m_record->era < Fleet::EraOf(m_version) : m_lost_record;
  }

  /// The version that the next write expects. Whether a row without a record is absent or only
  /// unreadable is found out by trying both.
  std::int64_t ExpectedVersion() const
  {
    return !m_record && m_expects_absent_row
               ? Fleet::VersionIn(Fleet::EraOf(m_version), Fleet::ABSENT_ROW)
               : m_version;
  }

  /// True for the latest holder before the store came back, while nobody else can have acquired the
  /// lease.
  bool Continues(Common::TimePoint now) const
  {
    return now < m_continues_until && m_deferral == Common::Milliseconds(0);
  }

  bool IsFree(Common::TimePoint now) const
  {
    if (IsHolderUnknown())
      return Continues(now) || now > m_free_at;
    if (!m_record || m_record->holder.Empty())
      return true;
    if (!IsOwnLease())
      return now > m_free_at;
    // A deferred daemon must not be faster than the others, which wait until its lease expires.
    return m_deferral == Common::Milliseconds(0) || now > m_valid_until + ACQUIRE_MARGIN;
  }

  void WriteLease(Common::TimePoint now, const char* how)
  {
    m_writing = true;
    const bool ordering = m_fence && now >= m_orders_from;
    const LeaseRecord record{m_settings.self, m_settings.run, m_settings.address, ordering,
                             Fleet::EraOf(m_version)};
    const bool after_other_holder =
        IsHolderUnknown() ? !Continues(now) : m_record && !(IsOwnLease() && m_record->ordering);
    m_store.ReplaceLease(
        ExpectedVersion(), record,
        [this, now, how, record, after_other_holder](Common::Result<std::int64_t> result) {
          m_writing = false;
          OnWriteResult(now, how, record, after_other_holder, std::move(result));
        });
  }

  void OnWriteResult(Common::TimePoint sent, const char* how, const LeaseRecord& record,
                     bool after_other_holder, Common::Result<std::int64_t> result)
  {
    if (result && *result < m_version)
      result = Common::Failure{Common::FailureKind::Conflict, "the row has changed since"};
    if (m_released || std::exchange(m_resigns, false))
    {
      if (!result)
        return;
      m_version = std::max(m_version, *result);
      WriteRelease();
      return;
    }
    if (!result)
    {
      if (result.Reason().kind == Common::FailureKind::Conflict)
        m_expects_absent_row = !m_expects_absent_row;
      m_retry_at = Common::Now() +
                   FIRST_RETRY_DELAY * (1 << std::min(m_write_failures, MAX_RETRY_DOUBLINGS));
      ++m_write_failures;
      Common::LogEvent(Common::LogLevel::Warning, "lease-write-failed",
                       {{"reason", Common::ToString(result.Reason().kind)}});
      CheckOwnership();
      return;
    }
    m_write_failures = 0;
    const auto now = Common::Now();
    m_version = std::max(m_version, *result);
    m_record = record;
    m_lost_record = false;
    m_valid_until = sent + m_settings.duration;
    if (m_fence)
      return;
    const bool continued = std::exchange(m_continues_until, {}) > sent && !after_other_holder;
    m_fence = *result;
    m_acquire_at.reset();
    // The previous holder may have sent orders until its lease expired.
    if (!continued)
      m_orders_from = after_other_holder ? now + m_settings.holder_pause : now;
    Common::LogEvent(Common::LogLevel::Info, "lease-acquired",
                     {{"fence", *m_fence}, {"how", how}, {"after_another", after_other_holder}});
  }

  void WriteRelease()
  {
    LeaseRecord record;
    record.era = Fleet::EraOf(m_version);
    m_store.ReplaceLease(m_version, record, [this, record](Common::Result<std::int64_t> result) {
      Common::LogEvent(Common::LogLevel::Info, "lease-released",
                       {{"done", static_cast<bool>(result)}});
      if (!result || *result < m_version)
        return;
      m_version = *result;
      m_record = record;
    });
  }

  void CheckOwnership()
  {
    if (m_fence && IsHolderUnknown() && Fleet::EraOf(*m_fence) < Fleet::EraOf(m_version))
    {
      BeginNewEra();
      return;
    }
    const bool ours = IsOwnLease() && m_record->run == m_settings.run;
    if (m_fence && !ours)
      OnLeaseLost("held by another daemon");
  }

  /// The store has lost this holder's row: the lease is acquired again on the restored one, under a
  /// higher fence.
  void BeginNewEra()
  {
    Common::LogEvent(Common::LogLevel::Warning, "lease-row-restored",
                     {{"fence", *m_fence}, {"version", m_version}});
    m_fence.reset();
    m_acquire_at.reset();
    m_write_failures = 0;
    m_retry_at = {};
    m_continues_until = OrdersUntil();
    if (!m_released)
      AcquireOrRenew(Common::Now());
  }

  void OnLeaseLost(const char* why)
  {
    Common::LogEvent(Common::LogLevel::Warning, "lease-lost", {{"fence", *m_fence}, {"why", why}});
    m_fence.reset();
    m_acquire_at.reset();
    m_continues_until = {};
    const auto now = Common::Now();
    m_losses = now - m_lost_at < LOSS_WINDOW ? m_losses + 1 : 1;
    m_lost_at = now;
  }

  Store& m_store;
  LeaseSettings m_settings;
  bool m_row_known = false;
  std::int64_t m_version = 0;
  std::optional<LeaseRecord> m_record;
  Common::TimePoint m_free_at; ///< When another daemon's lease has certainly expired.
  std::optional<std::int64_t>
      m_fence; ///< The row's version at acquisition, if this daemon holds it.
  Common::TimePoint m_valid_until;
  Common::TimePoint m_orders_from;
  /// Until then this daemon, which held the lease in the store's era before, may go on to hold it.
  Common::TimePoint m_continues_until;
  bool m_lost_record = false;        ///< There is no record, although there is or has been a row.
  bool m_expects_absent_row = false; ///< Matters only without a record.
  std::optional<Common::TimePoint> m_acquire_at;
  int m_write_failures = 0;
  Common::TimePoint m_retry_at;
  Common::TimePoint m_reserved_until; ///< Until then the lease is reserved for its last holder.
  std::uint64_t m_contenders = 1;
  Common::Milliseconds m_min_handicap{0};
  Common::Milliseconds m_deferral{0};
  bool m_resigns = false; ///< The lease is released once the pending write has completed.
  bool m_writing = false;
  bool m_released = false;
  bool m_store_lost = false;
  int m_losses = 0; ///< Losses of the lease, each within `LOSS_WINDOW` of the previous one.
  Common::TimePoint m_lost_at;
  Common::OwnedTimer m_timer;
};
} // namespace Orders

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "Common/Failure.h"
#include "Common/Log.h"
#include "Common/Loop.h"
#include "Common/Random.h"
#include "Common/Reactor.h"
#include "Common/Units.h"

/// Who may order backend servers to load and unload models: the holder of one lease in the
/// platform's store. The lease's row changes only by compare-and-set. A holder counts its time from
/// the moment at which it sent the renewal, an observer from the moment at which it saw the row
/// change, so that the holder's time is over first, without clocks in common.
namespace Orders
{
/// The value of the lease's row.
struct LeaseRecord
{
  Common::VmId holder; ///< Empty where the lease was given back.
  Common::Incarnation run;
  std::string address; ///< IP:PORT at which the holder takes reports.
  /// The pause after the holder before is over. Without it the row may stem from a write whose
  /// answer was lost, by a daemon that never knew it had the lease: the pause is still owed.
  bool ordering = false;
};

/// Writes the lease's row if it still has the expected version (0: it is absent).
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
  /// How long a holder may act after it sent the last renewal that succeeded.
  Common::Milliseconds duration{4000};
  /// Between the last order of one holder and the first of the next, at one server.
  Common::Milliseconds holder_pause{3000};
  /// A free lease is left to others for so long: a weak VM serves the others badly as the holder.
  Common::Milliseconds handicap{0};
};

template <LeaseStore Store>
class LeaseKeeper
{
public:
  LeaseKeeper(Store& store, LeaseSettings settings)
      : m_store(store), m_settings(std::move(settings))
  {
  }

  void Start() { Tick(); }

  /// The row as the store tells it; version 0 where it is absent.
  void OnRow(std::int64_t version, std::optional<LeaseRecord> record)
  {
    if (m_seen && version <= m_version)
      return;
    m_seen = true;
    m_version = version;
    m_record = std::move(record);
    m_free_at = Common::Now() + m_settings.duration + TAKE_MARGIN;
    if (!m_writing)
      DropIfNotOurs();
  }

  /// The holder's own word: the row has this version, and it acts no longer than so without another
  /// renewal. The word may be late, never early, so its time is an upper bound here too.
  void OnHolderWord(std::int64_t version, const LeaseRecord& record, Common::Milliseconds left)
  {
    if (!m_seen || version < m_version || m_fence || m_writing)
      return;
    const auto free_at = Common::Now() + left + TAKE_MARGIN;
    m_free_at = version > m_version ? free_at : std::min(m_free_at, free_at);
    m_version = version;
    m_record = record;
  }

  /// The store does not answer this daemon: taking the lease is not tried, since the write could
  /// not succeed and is priced all the same.
  void OnStoreLost() { m_store_lost = true; }
  /// The store answers again. All daemons learn of it at about the same moment, so the order in
  /// which they try begins anew: the last holder first, which need not wait out the pause between
  /// holders, then strong VMs.
  void OnStoreBack()
  {
    m_store_lost = false;
    m_reclaimed_until = Common::Now() + RECLAIM_TIME;
    m_free_since.reset();
    m_write_failures = 0;
    m_retry_at = {};
  }

  /// Stops ordering for good under the present row, without writing it: the store is out of reach.
  void Abdicate()
  {
    if (m_fence)
      Lose("the store does not answer");
  }

  std::int64_t RowVersion() const { return m_version; }
  /// How long this holder may still act without another renewal.
  Common::Milliseconds Left(Common::TimePoint now) const
  {
    return std::max(std::chrono::ceil<Common::Milliseconds>(m_valid_until - now),
                    Common::Milliseconds(0));
  }

  /// The lease is ours now, whether or not orders may go out yet.
  bool Holds(Common::TimePoint now) const { return m_fence && now < m_valid_until - STOP_MARGIN; }
  /// Orders may go out now. Asked right before each order, since the process may have been frozen.
  bool MayOrder(Common::TimePoint now) const { return Holds(now) && now >= m_orders_from; }
  /// Without another renewal no order goes out from then on.
  Common::TimePoint OrdersUntil() const { return m_valid_until - STOP_MARGIN; }
  std::int64_t Fence() const { return m_fence.value_or(0); }
  const std::optional<LeaseRecord>& Record() const { return m_record; }

  /// Daemons that may want the lease, and the handicap of the fittest of them.
  void SetContenders(int daemons, Common::Milliseconds least_handicap)
  {
    m_contenders = static_cast<std::uint64_t>(std::max(daemons, 1));
    m_least_handicap = least_handicap;
  }

  /// Gives the lease back: the next holder need not wait for it to run out.
  void Release()
  {
    m_released = true;
    m_timer.Stop();
    const bool held = m_fence.has_value();
    m_fence.reset();
    // A write on its way gives the row another version: the lease is given back behind it.
    if (held && !m_writing)
      GiveBack();
  }

private:
  /// How often the keeper looks at the lease.
  static constexpr Common::Milliseconds TICK{200};
  /// The lease is renewed when this part of its duration has passed.
  static constexpr double RENEW_AT = 0.4;
  /// The holder stops so long before its time is over: an order needs time to arrive.
  static constexpr Common::Milliseconds STOP_MARGIN{150};
  /// An observer waits so much longer than the duration.
  static constexpr Common::Milliseconds TAKE_MARGIN{250};
  /// After a failed write a daemon without the lease waits, twice as long each time: while the
  /// store is out, every daemon's attempts cost and none can succeed.
  static constexpr Common::Milliseconds FIRST_RETRY{100};
  static constexpr int MAX_RETRY_DOUBLINGS = 3;
  /// Daemons that find the lease free do not all write at once.
  static constexpr std::uint64_t SPREAD_MS = 250;
  static constexpr std::uint64_t SPREAD_MS_PER_DAEMON = 10;
  /// After an outage of the store a lease that was not given back is left to its last holder for so
  /// long: daemons learn up to a second apart that the store is back, and the pause between two
  /// holders would cost three. Worth on three kinds of outage: +0.015 +- 0.016 to +0.068 +- 0.011
  /// (8 paired plays each, together with the time limit of connections and the gathered changes).
  static constexpr Common::Milliseconds RECLAIM_TIME{1200};
  /// A second loss within this time counts as one of several.
  static constexpr Common::Milliseconds LOSS_MEMORY{15000};
  /// The handicap of a VM that loses the lease often, in its usual one.
  static constexpr int HANDICAP_AFTER_LOSSES = 2;

  void Tick()
  {
    const auto now = Common::Now();
    if (m_fence && !Holds(now))
      Lose("it ran out");
    if (!m_writing && m_seen)
      Act(now);
    m_timer.Start(TICK, [this] {
      Tick();
    });
  }

  void Act(Common::TimePoint now)
  {
    if (m_fence)
    {
      const auto renew_at = m_valid_until - m_settings.duration * (1 - RENEW_AT);
      if (now >= renew_at)
        Write(now, "renewed");
      return;
    }
    if (!IsFree(now))
    {
      m_free_since.reset();
      return;
    }
    if (m_store_lost || now < m_retry_at)
      return;
    if (!m_free_since)
      m_free_since = now + WaitBeforeTaking(now);
    if (now >= *m_free_since)
      Write(now, "acquired");
  }

  /// How long a free lease is left to others. Who had it last need not wait out the pause between
  /// holders and so goes first, unless its VM is weak. Who has lost it more than once of late goes
  /// after its peers: its VM does not bear the work.
  Common::Milliseconds WaitBeforeTaking(Common::TimePoint now) const
  {
    const bool loses_often = m_losses > 1 && now - m_lost_at < LOSS_MEMORY;
    // Where all VMs are alike weak, nobody need wait.
    const auto beyond = std::max(m_settings.handicap - m_least_handicap, Common::Milliseconds(0));
    const auto handicap = loses_often ? m_settings.handicap * HANDICAP_AFTER_LOSSES : beyond;
    if (IsOurs())
      return handicap;
    const auto spread = std::max(SPREAD_MS, SPREAD_MS_PER_DAEMON * m_contenders);
    const bool has_last_holder = m_record && !m_record->holder.Empty();
    const auto reclaim_left = has_last_holder
                                  ? std::chrono::ceil<Common::Milliseconds>(m_reclaimed_until - now)
                                  : Common::Milliseconds(0);
    return std::max(reclaim_left, Common::Milliseconds(0)) + handicap +
           Common::Milliseconds(Common::SharedRandom()() % spread);
  }

  bool IsOurs() const { return m_record && m_record->holder == m_settings.self; }

  bool IsFree(Common::TimePoint now) const
  {
    if (!m_record || m_record->holder.Empty() || IsOurs())
      return true;
    return now > m_free_at;
  }

  void Write(Common::TimePoint now, const char* what)
  {
    m_writing = true;
    const bool ordering = m_fence && now >= m_orders_from;
    const LeaseRecord record{m_settings.self, m_settings.run, m_settings.address, ordering};
    const bool follows_another = m_record && !(IsOurs() && m_record->ordering);
    m_store.ReplaceLease(
        m_version, record,
        [this, now, what, record, follows_another](Common::Result<std::int64_t> result) {
          m_writing = false;
          TakeResult(now, what, record, follows_another, std::move(result));
        });
  }

  void TakeResult(Common::TimePoint sent, const char* what, const LeaseRecord& record,
                  bool follows_another, Common::Result<std::int64_t> result)
  {
    if (m_released)
    {
      if (!result)
        return;
      m_version = std::max(m_version, *result);
      GiveBack();
      return;
    }
    if (!result)
    {
      m_retry_at =
          Common::Now() + FIRST_RETRY * (1 << std::min(m_write_failures, MAX_RETRY_DOUBLINGS));
      ++m_write_failures;
      Common::LogEvent(Common::LogLevel::Warning, "lease-write-failed",
                       {{"reason", Common::ToString(result.Reason().kind)}});
      DropIfNotOurs();
      return;
    }
    m_write_failures = 0;
    const auto now = Common::Now();
    m_version = std::max(m_version, *result);
    m_record = record;
    m_valid_until = sent + m_settings.duration;
    if (m_fence)
      return;
    m_fence = *result;
    m_free_since.reset();
    // The holder before may have ordered until its time was over.
    m_orders_from = follows_another ? now + m_settings.holder_pause : now;
    Common::LogEvent(Common::LogLevel::Info, "lease-acquired",
                     {{"fence", *m_fence}, {"how", what}, {"after_another", follows_another}});
  }

  void GiveBack()
  {
    m_store.ReplaceLease(m_version, LeaseRecord{}, [](Common::Result<std::int64_t> result) {
      Common::LogEvent(Common::LogLevel::Info, "lease-released",
                       {{"done", static_cast<bool>(result)}});
    });
  }

  void DropIfNotOurs()
  {
    const bool ours = IsOurs() && m_record->run == m_settings.run;
    if (m_fence && !ours)
      Lose("another daemon has it");
  }

  void Lose(const char* why)
  {
    Common::LogEvent(Common::LogLevel::Warning, "lease-lost", {{"fence", *m_fence}, {"why", why}});
    m_fence.reset();
    m_free_since.reset();
    const auto now = Common::Now();
    m_losses = now - m_lost_at < LOSS_MEMORY ? m_losses + 1 : 1;
    m_lost_at = now;
  }

  Store& m_store;
  LeaseSettings m_settings;
  bool m_seen = false;
  std::int64_t m_version = 0;
  std::optional<LeaseRecord> m_record;
  Common::TimePoint m_free_at; ///< From then on its holder, if another, cannot act any more.
  std::optional<std::int64_t> m_fence; ///< The row's version when we acquired it.
  Common::TimePoint m_valid_until;
  Common::TimePoint m_orders_from;
  std::optional<Common::TimePoint> m_free_since;
  int m_write_failures = 0;
  Common::TimePoint m_retry_at;
  Common::TimePoint m_reclaimed_until; ///< The lease is left to its last holder.
  std::uint64_t m_contenders = 1;
  Common::Milliseconds m_least_handicap{0};
  bool m_writing = false;
  bool m_released = false;
  bool m_store_lost = false;
  int m_losses = 0; ///< Of the lease, each within the memory of the one before.
  Common::TimePoint m_lost_at;
  Common::OwnedTimer m_timer;
};
} // namespace Orders

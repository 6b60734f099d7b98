// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Common/Failure.h"
#include "Common/Log.h"
#include "Common/Loop.h"
#include "Common/Random.h"
#include "Common/Reactor.h"
#include "Fleet/SharedTables.h"
#include "Fleet/TableSnapshot.h"

namespace Fleet
{
/// Rows of a table, and the newest version of the table when they were read.
struct TableRows
{
  std::vector<TableRow> rows;
  std::int64_t version = 0;
  bool more = false; ///< The page was truncated; continue from the last key.
};

/// A source of tables: the platform's store.
template <typename T>
concept TableSource = requires(T source, const std::string& text, std::int64_t version,
                               Common::Milliseconds wait,
                               std::function<void(Common::Result<TableRows>)> done)
{
  /// Reads the rows from a key on.
  source.Read(text, text, done);
  /// Reads the rows that changed after a version; waits until there are some. Fails with NotFound
  /// if the source no longer has the changes since that version.
  source.Follow(text, version, wait, done);
};

/// Counts events in the latest complete period and the current one.
class RecentCount
{
public:
  void Note(Common::TimePoint now)
  {
    if (now - m_began >= PERIOD)
    {
      m_before = now - m_began < 2 * PERIOD ? m_current : 0;
      m_current = 0;
      m_began = now;
    }
    ++m_current;
  }

  std::size_t Count(Common::TimePoint now) const
  {
    return now - m_began < 2 * PERIOD ? m_before + m_current : 0;
  }

private:
  static constexpr Common::Milliseconds PERIOD{300};

  Common::TimePoint m_began;
  std::size_t m_before = 0;
  std::size_t m_current = 0;
};

/// Callbacks for the contents of a table.
struct TableEvents
{
  std::function<void(const std::vector<TableRow>&)> on_snapshot;
  std::function<void(const TableRow&)> on_change;
  std::function<void()> on_lost; ///< The source stopped responding.
  std::function<void()> on_back; ///< The source responds again.
  /// The copy, with all changes reported so far, was the newest version at this time.
  std::function<void(Common::TimePoint)> on_proven = {};
  /// Another daemon, which the source responds to, relays the table from now on.
  std::function<void()> on_relayed = {};
};

/// Replicates one table: reads a snapshot, then applies changes. They come from the source, by
/// calls that wait for changes, or from the lease holder, which relays what it reads so that not
/// every daemon has to call the source. A daemon calls the source itself again as soon as the
/// holder's copy is out of date.
template <TableSource Source>
class TableFollower
{
public:
  TableFollower(Source& source, std::string table, TableEvents events)
      : m_source(source), m_table(std::move(table)), m_events(std::move(events))
  {
  }

  void Start()
  {
    m_snapshot.clear();
    m_snapshot_version.reset();
    ReadPage("");
  }

  std::int64_t Version() const { return m_have_snapshot ? m_version : 0; }
  bool HasSnapshot() const { return m_have_snapshot; }
  /// Time since the source's last response.
  Common::Milliseconds ResponseAge(Common::TimePoint now) const
  {
    return std::chrono::ceil<Common::Milliseconds>(now - m_last_response_at);
  }

  /// When this copy was last confirmed to be the newest version: the time at which this daemon, or
  /// the daemon that relays the table, sent the call whose response confirmed it.
  std::optional<Common::TimePoint> ProvenAt() const { return m_proven_at; }

  /// The daemon that relays the table confirmed that a copy equal to this one was the newest
  /// version.
  void ApplyRelayedProof(Common::TimePoint moment)
  {
    if (m_have_snapshot)
      RecordProof(moment);
  }

  /// Reads from the source, beside any other call, whether this copy is the newest version, and
  /// applies the changes since.
  void Prove()
  {
    if (!m_have_snapshot || std::exchange(m_proving, true))
      return;
    m_source.Follow(m_table, m_version, Common::Milliseconds(0),
                    [this, requested_at = Common::Now()](Common::Result<TableRows> changes) {
                      m_proving = false;
                      if (changes && m_have_snapshot)
                        ApplyProof(*changes, requested_at);
                    });
  }

  /// Sets how long the source may hold a call that waits for changes. The daemon that relays its
  /// copy to others uses a shorter wait, so that the copy is never out of date.
  void SetWait(Common::Milliseconds wait) { m_wait = wait; }
  /// Sets how long to wait after a response with changes before the next call. Each call is billed,
  /// and with many backend servers the source would respond to every call at once with a single
  /// change.
  void SetBatchDelay(Common::Milliseconds span) { m_batch_delay = span; }

  /// No calls are made while the table is relayed. `reason` is logged when relaying ends.
  void SetRelayed(bool relayed, DirectReadReason reason = DirectReadReason::NoHolder)
  {
    if (m_relayed == relayed)
      return;
    m_relayed = relayed;
    Common::LogEvent(
        Common::LogLevel::Info, relayed ? "table-relayed" : "table-asked",
        {{"table", m_table}, {"version", m_version}, {"why", relayed ? "" : ToString(reason)}});
    if (relayed && m_events.on_relayed)
      m_events.on_relayed();
    if (!relayed && m_have_snapshot && !m_calling)
    {
      m_retry_timer.Stop();
      // Changes were missed: get those that the source already has. Without a wait, since the
      // source may be down as well: a call that waits shows it only after its wait.
      Follow(Common::Milliseconds(0));
    }
  }

  /// Applies the changes after `from`, up to `to`, that another daemon relayed. Returns false if
  /// changes are missing.
  bool ApplyRelayed(std::int64_t from, std::int64_t to, const std::vector<RowChange>& changes)
  {
    if (!m_have_snapshot || m_version < from)
      return false;
    const auto is_new = [before = m_version](const RowChange& change) {
      return change.version > before;
    };
    std::vector<RowChange> new_changes;
    std::ranges::copy_if(changes, std::back_inserter(new_changes), is_new);
    const auto rows = m_rows.UnpackAll(new_changes);
    if (!rows)
    {
      Common::LogEvent(Common::LogLevel::Warning, "relayed-rows-refused",
                       {{"table", m_table}, {"version", to}, {"reason", rows.Reason().detail}});
      return false;
    }
    for (std::size_t i = 0; i < new_changes.size(); ++i)
      ApplyChange((*rows)[i], std::move(new_changes[i]));
    m_version = std::max(m_version, to);
    return true;
  }

  /// The rows up to this version are known from elsewhere: later calls ask for newer ones only, so
  /// that the source need not keep the changes since the last call.
  void SkipTo(std::int64_t version)
  {
    if (m_have_snapshot)
      m_version = std::max(m_version, version);
  }

  /// True if the table has rows and few of them are new. While a fleet starts, its servers write
  /// their entries one after the other.
  bool IsSettled(Common::TimePoint now) const
  {
    return m_have_snapshot && m_rows.Size() > 0 &&
           m_new_rows.Count(now) * SETTLED_DIVISOR <= m_rows.Size();
  }

  /// All rows of this copy.
  TableSnapshot Snapshot() const { return {Version(), m_rows.All()}; }

  /// Replaces this copy by that of another daemon, unless this one is as new. The changes since are
  /// expected from the holder; without them the source is called. A copy that is older than what
  /// was applied here is ignored, also while this daemon has none: what it still lists may be gone.
  void ApplySnapshot(const TableSnapshot& snapshot)
  {
    const bool is_older = snapshot.version < m_version;
    if (is_older)
      Common::LogEvent(Common::LogLevel::Warning, "table-copy-outdated",
                       {{"table", m_table}, {"version", snapshot.version}, {"known", m_version}});
    if (is_older || (m_have_snapshot && snapshot.version == m_version))
      return;
    Replace(snapshot.rows, snapshot.version);
    m_retry_timer.Start(FIRST_RELAY_TIMEOUT, [this] {
      if (!m_calling)
        FollowUnlessRelayed();
    });
  }

  /// Returns the changes after `version`, or nothing if they are no longer in the log.
  std::optional<RowChanges> ChangesSince(std::int64_t version) const
  {
    if (!m_have_snapshot || version < m_log_floor)
      return std::nullopt;
    const auto first = std::ranges::upper_bound(m_log, version, {}, &RowChange::version);
    RowChanges changes;
    changes.from = first == m_log.begin() ? m_log_floor : std::prev(first)->version;
    changes.rows.assign(first, m_log.end());
    return changes;
  }

private:
  /// Number of changes that are kept for other daemons: a fraction (1/N) of the table's rows, and
  /// at least the minimum.
  static constexpr std::size_t LOG_DIVISOR = 8;
  static constexpr std::size_t MIN_LOG_ROWS = 512;
  /// Pause after the first failed call. It doubles up to about 1 s: rejected calls are billed, and
  /// a daemon's copy has to be current within 3 s after an outage.
  static constexpr Common::Milliseconds FIRST_PAUSE{60};
  static constexpr int MAX_PAUSE_DOUBLINGS = 4;
  /// Time from one call to the next while the source cannot be reached. Such calls are not billed,
  /// and what was missed has to be applied soon after the path is back.
  static constexpr Common::Milliseconds UNREACHABLE_INTERVAL{500};
  /// Short enough that a call which the source has lost is retried within the time allowed for
  /// applying a configuration after an outage.
  static constexpr Common::Milliseconds DEFAULT_WAIT{2500};
  /// After a copy was handed over, the holder's changes are expected within this time.
  static constexpr Common::Milliseconds FIRST_RELAY_TIMEOUT{1500};
  /// A table is settled if at most this fraction (1/N) of its rows is new.
  static constexpr std::size_t SETTLED_DIVISOR = 10;

  void ReadPage(const std::string& first_key)
  {
    m_calling = true;
    m_called_at = Common::Now();
    if (first_key.empty())
      m_snapshot_requested_at = Common::Now();
    m_source.Read(m_table, first_key, [this, first_key](Common::Result<TableRows> page) {
      m_calling = false;
      OnPage(first_key, std::move(page));
    });
  }

  void OnPage(const std::string& first_key, Common::Result<TableRows> page)
  {
    if (!page)
    {
      OnFailure(page.Reason());
      return;
    }
    OnResponse();
    if (!m_snapshot_version)
      m_snapshot_version = page->version;
    // A page starts with the last key of the previous page, which is already in the snapshot.
    for (TableRow& row : page->rows)
      if (first_key.empty() || row.key != first_key)
        m_snapshot.push_back(std::move(row));
    if (page->more && !m_snapshot.empty())
    {
      ReadPage(NextPageStart(first_key));
      return;
    }
    // Another daemon may have handed over a newer copy meanwhile.
    if (!m_have_snapshot || *m_snapshot_version > m_version)
      Replace(m_snapshot, *m_snapshot_version);
    m_snapshot.clear();
    RecordProof(m_snapshot_requested_at);
    FollowUnlessRelayed();
  }

  void Replace(const std::vector<TableRow>& rows, std::int64_t version)
  {
    m_version = version;
    m_log.clear();
    m_log_floor = m_version;
    m_have_snapshot = true;
    m_rows.Clear();
    for (const TableRow& row : rows)
      m_rows.Put(row);
    m_events.on_snapshot(rows);
  }

  /// The first key of the next page. Pages start at the last known key, whose row is skipped. If
  /// the page held no other row, because a row may fill a page, the next page starts at the first
  /// possible key behind it.
  std::string NextPageStart(const std::string& first_key) const
  {
    const std::string& last_key = m_snapshot.back().key;
    return last_key == first_key ? last_key + '\x01' : last_key;
  }

  void FollowUnlessRelayed()
  {
    // A source that stopped responding is called without a wait, so that its first response shows
    // at once that it is back.
    if (!m_relayed)
      Follow(m_lost ? Common::Milliseconds(0) : m_wait);
  }

  void Follow(Common::Milliseconds wait)
  {
    m_calling = true;
    m_called_at = Common::Now();
    const auto requested_at = m_called_at;
    m_source.Follow(m_table, m_version, wait,
                    [this, requested_at](Common::Result<TableRows> changes) {
                      m_calling = false;
                      OnChanges(std::move(changes), requested_at);
                    });
  }

  void OnChanges(Common::Result<TableRows> changes, Common::TimePoint requested_at)
  {
    if (!changes)
    {
      if (changes.Reason().kind == Common::FailureKind::NotFound)
        m_have_snapshot = false;
      OnFailure(changes.Reason());
      return;
    }
    OnResponse();
    const bool had_changes = !changes->rows.empty();
    ApplyProof(*changes, requested_at);
    if (!had_changes || m_batch_delay <= Common::Milliseconds(0))
    {
      FollowUnlessRelayed();
      return;
    }
    m_retry_timer.Start(m_batch_delay, [this] {
      FollowUnlessRelayed();
    });
  }

  /// Applies a response to a call for the changes, and the proof that it is if it has all of them.
  void ApplyProof(const TableRows& changes, Common::TimePoint requested_at)
  {
    Apply(changes.rows, changes.version);
    if (!changes.more)
      RecordProof(requested_at);
  }

  void Apply(const std::vector<TableRow>& rows, std::int64_t to)
  {
    const std::int64_t before = m_version;
    for (const TableRow& row : rows)
      if (row.version > before)
        ApplyChange(row, m_rows.Pack(row));
    m_version = std::max(m_version, to);
  }

  void ApplyChange(const TableRow& row, RowChange change)
  {
    if (!row.removed && !m_rows.Contains(row.key))
      m_new_rows.Note(Common::Now());
    m_rows.Put(row);
    m_log.push_back(std::move(change));
    while (m_log.size() > std::max(MIN_LOG_ROWS, m_rows.Size() / LOG_DIVISOR))
    {
      m_log_floor = m_log.front().version;
      m_log.pop_front();
    }
    m_events.on_change(row);
  }

  void RecordProof(Common::TimePoint moment)
  {
    m_proven_at = std::max(m_proven_at.value_or(moment), moment);
    if (m_events.on_proven)
      m_events.on_proven(*m_proven_at);
  }

  void OnResponse()
  {
    m_last_response_at = Common::Now();
    m_failures = 0;
    if (!std::exchange(m_lost, false))
      return;
    const auto lost_for =
        std::chrono::floor<Common::Milliseconds>(m_last_response_at - m_lost_since);
    Common::LogEvent(
        Common::LogLevel::Info, "table-source-back",
        {{"table", m_table}, {"version", m_version}, {"lost_for_ms", lost_for.count()}});
    m_events.on_back();
  }

  Common::Milliseconds PauseAfter(Common::FailureKind failure) const
  {
    const auto pause = FIRST_PAUSE * (1 << std::min(m_failures, MAX_PAUSE_DOUBLINGS));
    if (failure != Common::FailureKind::NotSent)
      return pause;
    const auto took = std::chrono::floor<Common::Milliseconds>(Common::Now() - m_called_at);
    return std::clamp(UNREACHABLE_INTERVAL - took, FIRST_PAUSE, pause);
  }

  void OnFailure(const Common::Failure& reason)
  {
    const bool history_gone = reason.kind == Common::FailureKind::NotFound;
    if (history_gone)
      Common::LogEvent(Common::LogLevel::Warning, "table-history-gone", {{"table", m_table}});
    else if (!std::exchange(m_lost, true))
    {
      m_lost_since = Common::Now();
      Common::LogEvent(Common::LogLevel::Warning, "table-source-lost",
                       {{"table", m_table},
                        {"reason", Common::ToString(reason.kind)},
                        {"detail", reason.detail}});
      m_events.on_lost();
    }
    const auto pause = history_gone ? Common::Milliseconds(0) : PauseAfter(reason.kind);
    ++m_failures;
    // Random jitter, so that many daemons do not call at the same time after an outage.
    const auto jitter = static_cast<std::int64_t>(Common::SharedRandom()() %
                                                  static_cast<std::uint64_t>(FIRST_PAUSE.count()));
    m_retry_timer.Start(pause + Common::Milliseconds(jitter), [this] {
      if (!m_have_snapshot)
        Start();
      else
        FollowUnlessRelayed();
    });
  }

  Source& m_source;
  std::string m_table;
  TableEvents m_events;
  Common::Milliseconds m_wait = DEFAULT_WAIT;
  Common::Milliseconds m_batch_delay{0};
  std::vector<TableRow> m_snapshot;
  /// Version of the first page; later changes are applied on top of the snapshot.
  std::optional<std::int64_t> m_snapshot_version;
  std::int64_t m_version = 0;
  bool m_have_snapshot = false;
  bool m_relayed = false;
  bool m_calling = false;
  bool m_proving = false;
  bool m_lost = false;
  Common::TimePoint m_called_at;  ///< When the latest call was made.
  Common::TimePoint m_lost_since; ///< When the source last stopped responding.
  int m_failures = 0;
  Common::TimePoint m_last_response_at;
  Common::TimePoint m_snapshot_requested_at; ///< When its first page was requested.
  std::optional<Common::TimePoint> m_proven_at;
  KnownRows m_rows;
  RecentCount m_new_rows;
  std::deque<RowChange> m_log; ///< Changes after `m_log_floor`, oldest first.
  std::int64_t m_log_floor = 0;
  Common::OwnedTimer m_retry_timer;
};
} // namespace Fleet

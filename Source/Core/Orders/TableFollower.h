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
#include "Orders/Messages.h"
#include "Orders/SharedTables.h"

namespace Orders
{
/// Rows of a table, and the table's newest version at that moment.
struct TableRows
{
  std::vector<TableRow> rows;
  std::int64_t version = 0;
  bool more = false; ///< A read was cut: go on from the last key.
};

/// Where tables are read: the platform's store.
template <typename T>
concept TableSource = requires(T source, const std::string& text, std::int64_t version,
                               Common::Milliseconds wait,
                               std::function<void(Common::Result<TableRows>)> done)
{
  /// The rows from a key on.
  source.Read(text, text, done);
  /// The rows that changed after a version; waits for some. NotFound: that history is gone.
  source.Follow(text, version, wait, done);
};

/// What follows from a table's rows.
struct TableEvents
{
  std::function<void(const std::vector<TableRow>&)> on_snapshot;
  std::function<void(const TableRow&)> on_change;
  std::function<void()> on_lost; ///< The source stopped answering.
  std::function<void()> on_back;
  /// The copy, with all changes that were told before, was the newest at this moment.
  std::function<void(Common::TimePoint)> on_proven = {};
};

/// Keeps up with one table: reads it whole, then takes changes. They come from the source, by calls
/// that wait for some, or from the holder of the lease, which passes on what it reads, so that not
/// every daemon has to ask. A daemon goes back to asking by itself as soon as the holder's word is
/// old.
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
  /// Since the source's last answer.
  Common::Milliseconds AnswerAge(Common::TimePoint now) const
  {
    return std::chrono::ceil<Common::Milliseconds>(now - m_answered_at);
  }

  /// When this copy was last shown to be the newest: the sending of a call that the source, or the
  /// source of the daemon that passes the table on, answered.
  std::optional<Common::TimePoint> ProvenAt() const { return m_proven_at; }

  /// The daemon that passes the table on has shown that a copy equal to this one was the newest.
  void TakeProof(Common::TimePoint moment)
  {
    if (m_have_snapshot)
      Prove(moment);
  }

  /// How long the source may hold a call that waits for changes. A daemon whose word others rely on
  /// asks more often, so that its word is never old.
  void SetWait(Common::Milliseconds wait) { m_wait = wait; }
  /// How long changes are gathered after an answer that held some. Each call is priced, and with
  /// many backend servers the source would answer at once, with one change, again and again.
  void SetGathering(Common::Milliseconds span) { m_gathering = span; }

  /// While relayed, no calls are made. `reason` says why it is not, or no longer.
  void SetRelayed(bool relayed, AskReason reason = AskReason::NoHolder)
  {
    if (m_relayed == relayed)
      return;
    m_relayed = relayed;
    Common::LogEvent(
        Common::LogLevel::Info, relayed ? "table-relayed" : "table-asked",
        {{"table", m_table}, {"version", m_version}, {"why", relayed ? "" : ToString(reason)}});
    if (!relayed && m_have_snapshot && !m_calling)
    {
      m_retry_timer.Stop();
      // Something was missed: what the source has already is wanted now.
      Follow(Common::Milliseconds(0));
    }
  }

  /// Takes changes after `from`, up to `to`, from another daemon. False where some are missing.
  bool TakeRelayed(std::int64_t from, std::int64_t to, const std::vector<RowChange>& changes)
  {
    if (!m_have_snapshot || m_version < from)
      return false;
    const auto is_new = [before = m_version](const RowChange& change) {
      return change.version > before;
    };
    std::vector<RowChange> fresh;
    std::ranges::copy_if(changes, std::back_inserter(fresh), is_new);
    const auto rows = m_rows.UnpackAll(fresh);
    if (!rows)
    {
      Common::LogEvent(Common::LogLevel::Warning, "relayed-rows-refused",
                       {{"table", m_table}, {"version", to}, {"reason", rows.Reason().detail}});
      return false;
    }
    for (std::size_t i = 0; i < fresh.size(); ++i)
      Take((*rows)[i], std::move(fresh[i]));
    m_version = std::max(m_version, to);
    return true;
  }

  /// The changes after `version`; nothing where they are not kept any more.
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
  /// Changes that are kept for passing on.
  static constexpr std::size_t LOG_ROWS = 512;
  /// Pause after the first failed call; it doubles up to the longest, some 1 s: refused calls are
  /// priced, and a daemon has 3 s after an outage before its view must be current.
  static constexpr Common::Milliseconds FIRST_PAUSE{60};
  static constexpr int MAX_PAUSE_DOUBLINGS = 4;
  /// Short enough that a call which the source has lost is made anew within the bound for taking up
  /// a configuration after an outage.
  static constexpr Common::Milliseconds DEFAULT_WAIT{2500};

  void ReadPage(const std::string& first_key)
  {
    m_calling = true;
    if (first_key.empty())
      m_snapshot_asked_at = Common::Now();
    m_source.Read(m_table, first_key, [this, first_key](Common::Result<TableRows> page) {
      m_calling = false;
      TakePage(first_key, std::move(page));
    });
  }

  void TakePage(const std::string& first_key, Common::Result<TableRows> page)
  {
    if (!page)
    {
      Failed(page.Reason());
      return;
    }
    NoteAnswer();
    if (!m_snapshot_version)
      m_snapshot_version = page->version;
    // A page begins with its first key, which the page before has ended with.
    for (TableRow& row : page->rows)
      if (first_key.empty() || row.key != first_key)
        m_snapshot.push_back(std::move(row));
    if (page->more && !m_snapshot.empty())
    {
      ReadPage(BeginOfNextPage(first_key));
      return;
    }
    m_version = *m_snapshot_version;
    m_log.clear();
    m_log_floor = m_version;
    m_have_snapshot = true;
    const auto rows = std::exchange(m_snapshot, {});
    m_rows.Clear();
    for (const TableRow& row : rows)
      m_rows.Put(row);
    m_events.on_snapshot(rows);
    Prove(m_snapshot_asked_at);
    Continue();
  }

  /// A page begins at a key: the last one is named again and passed over. Where the page held but
  /// that row, the first key behind it: a row may fill a page.
  std::string BeginOfNextPage(const std::string& first_key) const
  {
    const std::string& last_key = m_snapshot.back().key;
    return last_key == first_key ? last_key + '\x01' : last_key;
  }

  void Continue()
  {
    // A source that was lost is asked without a wait: its answer tells at once that it is back.
    if (!m_relayed)
      Follow(m_lost ? Common::Milliseconds(0) : m_wait);
  }

  void Follow(Common::Milliseconds wait)
  {
    m_calling = true;
    const auto asked_at = Common::Now();
    m_source.Follow(m_table, m_version, wait, [this, asked_at](Common::Result<TableRows> changes) {
      m_calling = false;
      TakeChanges(std::move(changes), asked_at);
    });
  }

  void TakeChanges(Common::Result<TableRows> changes, Common::TimePoint asked_at)
  {
    if (!changes)
    {
      if (changes.Reason().kind == Common::FailureKind::NotFound)
        m_have_snapshot = false;
      Failed(changes.Reason());
      return;
    }
    NoteAnswer();
    const bool had_some = !changes->rows.empty();
    Apply(changes->rows, changes->version);
    if (!changes->more)
      Prove(asked_at);
    if (!had_some || m_gathering <= Common::Milliseconds(0))
    {
      Continue();
      return;
    }
    m_retry_timer.Start(m_gathering, [this] {
      Continue();
    });
  }

  void Apply(const std::vector<TableRow>& rows, std::int64_t to)
  {
    const std::int64_t before = m_version;
    for (const TableRow& row : rows)
      if (row.version > before)
        Take(row, m_rows.Pack(row));
    m_version = std::max(m_version, to);
  }

  void Take(const TableRow& row, RowChange change)
  {
    m_rows.Put(row);
    m_log.push_back(std::move(change));
    while (m_log.size() > LOG_ROWS)
    {
      m_log_floor = m_log.front().version;
      m_log.pop_front();
    }
    m_events.on_change(row);
  }

  void Prove(Common::TimePoint moment)
  {
    m_proven_at = std::max(m_proven_at.value_or(moment), moment);
    if (m_events.on_proven)
      m_events.on_proven(*m_proven_at);
  }

  void NoteAnswer()
  {
    m_answered_at = Common::Now();
    m_failures = 0;
    if (!std::exchange(m_lost, false))
      return;
    Common::LogEvent(Common::LogLevel::Info, "table-source-back", {{"table", m_table}});
    m_events.on_back();
  }

  void Failed(const Common::Failure& reason)
  {
    const bool history_gone = reason.kind == Common::FailureKind::NotFound;
    if (history_gone)
      Common::LogEvent(Common::LogLevel::Warning, "table-history-gone", {{"table", m_table}});
    else if (!std::exchange(m_lost, true))
    {
      Common::LogEvent(Common::LogLevel::Warning, "table-source-lost",
                       {{"table", m_table},
                        {"reason", Common::ToString(reason.kind)},
                        {"detail", reason.detail}});
      m_events.on_lost();
    }
    const auto pause = history_gone
                           ? Common::Milliseconds(0)
                           : FIRST_PAUSE * (1 << std::min(m_failures, MAX_PAUSE_DOUBLINGS));
    ++m_failures;
    // Spread, so that many daemons do not call in step after an outage.
    const auto spread = static_cast<std::int64_t>(Common::SharedRandom()() %
                                                  static_cast<std::uint64_t>(FIRST_PAUSE.count()));
    m_retry_timer.Start(pause + Common::Milliseconds(spread), [this] {
      if (!m_have_snapshot)
        Start();
      else
        Continue();
    });
  }

  Source& m_source;
  std::string m_table;
  TableEvents m_events;
  Common::Milliseconds m_wait = DEFAULT_WAIT;
  Common::Milliseconds m_gathering{0};
  std::vector<TableRow> m_snapshot;
  std::optional<std::int64_t>
      m_snapshot_version; ///< Of the first page: changes since are followed.
  std::int64_t m_version = 0;
  bool m_have_snapshot = false;
  bool m_relayed = false;
  bool m_calling = false;
  bool m_lost = false;
  int m_failures = 0;
  Common::TimePoint m_answered_at;
  Common::TimePoint m_snapshot_asked_at; ///< When its first page was asked for.
  std::optional<Common::TimePoint> m_proven_at;
  KnownRows m_rows;
  std::deque<RowChange> m_log; ///< Changes after `m_log_floor`, oldest first.
  std::int64_t m_log_floor = 0;
  Common::OwnedTimer m_retry_timer;
};
} // namespace Orders

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Serving/TableFollower.h"

#include <algorithm>
#include <array>
#include <ctime>

#include "Common/Json.h"
#include "Common/Log.h"
#include "Serving/ServerRow.h"

namespace Serving
{
namespace
{
using Common::Done;
using Common::Failure;
using Common::FailureKind;
using Common::GetOr;
using Common::LogEvent;
using Common::LogLevel;
using Common::Milliseconds;
using Common::Result;
using Common::Revision;
using Common::Task;
using Platform::StoredRow;

constexpr const char* HEAD_KEY = "table/current/head";
constexpr const char* CURRENT_PREFIX = "table/current/";
constexpr const char* ROW_PREFIX = "table/current/row/";
constexpr std::size_t MAX_RECENT = 256;
constexpr std::int64_t MAX_REVISIONS_BEHIND = 64;
constexpr Milliseconds PULL_TIMEOUT{2000};
constexpr Milliseconds APPLY_TIMEOUT{5000};
/// The poll interval grows with the number of daemons, which limits all of them together to 66
/// reads per second. Heartbeats propagate changes faster.
constexpr Milliseconds POLL_SHARE{15};

std::string HistoryKey(std::int64_t revision)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "table/history/%012lld",
                static_cast<long long>(revision));
  return text.data();
}

std::string ChangeKey(const std::string& id)
{
  return "table/change/" + id;
}

std::int64_t HeadRevision(const StoredRow& head)
{
  const auto json = Common::ParseJson(head.value);
  return json ? GetOr(*json, "revision", std::int64_t(0)) : 0;
}

std::string CurrentTimestamp()
{
  const std::time_t now = std::time(nullptr);
  std::tm parts{};
  gmtime_r(&now, &parts);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text.data();
}

/// Builds the transaction that commits `change` as the next revision.
Platform::Transaction BuildTransaction(const Table::Change& change, std::int64_t head_version)
{
  Platform::Transaction transaction;
  const Common::Json head = {{"revision", change.revision.Get()}, {"change", change.id}};
  const Common::Json pointer = {{"revision", change.revision.Get()}};
  transaction.conditions.push_back({HEAD_KEY, head_version});
  transaction.conditions.push_back({ChangeKey(change.id), 0});
  transaction.writes.push_back({HEAD_KEY, Common::DumpJson(head)});
  transaction.writes.push_back({ChangeKey(change.id), Common::DumpJson(pointer)});
  transaction.writes.push_back(
      {HistoryKey(change.revision.Get()), Common::DumpJson(Table::ToJson(change))});
  for (const Table::Row& row : change.put)
    transaction.writes.push_back(
        {TableRowKey(Table::RowKey(row)), Common::DumpJson(Table::ToJson(row))});
  for (const std::string& key : change.removed)
    transaction.writes.push_back({TableRowKey(key), std::nullopt});
  return transaction;
}
} // namespace

TableFollower::TableFollower(Platform::Store& store, Daemons::Link& link,
                             Daemons::Membership& membership, Milliseconds poll_interval)
    : m_store(store), m_link(link), m_membership(membership), m_poll_interval(poll_interval)
{
}

void TableFollower::Start(std::function<void()> on_change)
{
  m_on_change = std::move(on_change);
  Common::Spawn(Poll());
}

Task<void> TableFollower::Poll()
{
  while (true)
  {
    const auto refreshed = co_await Refresh();
    if (!refreshed)
      LogEvent(LogLevel::Warning, "table.poll_failed", {{"reason", refreshed.Reason().detail}});
    const auto peers = static_cast<std::int64_t>(m_membership.Peers().size());
    co_await Common::Sleep{std::max(m_poll_interval, POLL_SHARE * peers)};
  }
}

std::int64_t TableFollower::RowVersion(const std::string& row_key) const
{
  const auto found = m_rows.find(row_key);
  return found == m_rows.end() ? -1 : found->second.version;
}

Task<Result<Done>> TableFollower::Refresh()
{
  const auto head = co_await m_store.ReadOne(HEAD_KEY);
  if (!head)
    co_return head.Reason();
  const std::int64_t revision = HeadRevision(*head);
  if (revision > m_revision.Get())
  {
    const auto caught_up = co_await CatchUp(revision);
    if (!caught_up)
      co_return caught_up.Reason();
  }
  if (revision == m_revision.Get())
    m_head_version = head->version;
  // An empty table is valid: it is revision 0 of a new installation.
  m_has_table = true;
  co_return Done{};
}

Task<Result<Done>> TableFollower::CatchUp(std::int64_t head)
{
  if (!m_has_table || head - m_revision.Get() > MAX_REVISIONS_BEHIND)
    co_return co_await ReadAll();
  const auto changes = co_await ReadChanges(m_revision.Get() + 1, head);
  if (!changes)
    co_return changes.Reason();
  for (const Table::Change& change : *changes)
    ApplyNext(change);
  if (m_revision.Get() < head)
    co_return co_await ReadAll();
  co_return Done{};
}

Task<Result<std::vector<Table::Change>>> TableFollower::ReadChanges(std::int64_t first,
                                                                    std::int64_t last)
{
  std::vector<std::string> keys;
  for (std::int64_t revision = first; revision <= last; ++revision)
    keys.push_back(HistoryKey(revision));
  const auto rows = co_await m_store.Read(keys);
  if (!rows)
    co_return rows.Reason();
  std::vector<Table::Change> changes;
  for (const StoredRow& row : *rows)
  {
    const auto json = Common::ParseJson(row.value);
    if (!json)
      continue;
    auto change = Table::ChangeFromJson(*json);
    if (!change)
      co_return change.Reason();
    change->version = row.version;
    changes.push_back(*change);
  }
  co_return changes;
}

Task<Result<Done>> TableFollower::ReadAll()
{
  const auto rows = co_await m_store.List(CURRENT_PREFIX);
  if (!rows)
    co_return rows.Reason();
  std::int64_t revision = 0;
  Table::RowMap table;
  for (const StoredRow& stored : *rows)
  {
    if (stored.key == HEAD_KEY)
      revision = HeadRevision(stored);
    if (!stored.key.starts_with(ROW_PREFIX))
      continue;
    const auto json = Common::ParseJson(stored.value);
    auto row = Table::RowFromJson(json.value_or(Common::Json()));
    if (!row)
      co_return row.Reason();
    table[Table::RowKey(*row)] = {*row, stored.version};
  }
  Replace(Revision(revision), std::move(table));
  co_return Done{};
}

void TableFollower::ApplyNext(const Table::Change& change)
{
  if (change.revision.Get() != m_revision.Get() + 1)
    return;
  Table::ApplyChange(m_rows, change);
  m_revision = change.revision;
  m_recent.push_back(change);
  if (m_recent.size() > MAX_RECENT)
    m_recent.pop_front();
  Rebuild();
}

void TableFollower::Replace(Revision revision, Table::RowMap rows)
{
  if (m_has_table && revision <= m_revision)
    return;
  m_rows = std::move(rows);
  m_revision = revision;
  m_recent.clear();
  Rebuild();
}

void TableFollower::Rebuild()
{
  m_has_table = true;
  m_catalog = std::make_shared<Table::Catalog>(Table::RowsWithoutVersions(m_rows));
  m_membership.Self().table_revision = m_revision;
  LogEvent(LogLevel::Info, "table.in_force", {{"revision", m_revision}});
  if (m_on_change)
    m_on_change();
}

void TableFollower::OnPeerRevision(const Common::VmId& vm, Revision revision)
{
  if (revision <= m_revision || !m_pulling.insert(vm).second)
    return;
  Common::Spawn(PullFrom(vm));
}

Task<void> TableFollower::PullFrom(Common::VmId vm)
{
  Daemons::TablePull pull;
  pull.known_revision = m_revision;
  const auto reply = co_await m_link.SendCall(vm, Daemons::Call(pull), PULL_TIMEOUT);
  m_pulling.erase(vm);
  if (!reply)
    co_return;
  const auto* table = std::get_if<Daemons::TableReply>(&*reply);
  if (!table)
    co_return;
  if (table->whole)
    Replace(table->revision, table->rows);
  for (const Table::Change& change : table->changes)
    ApplyNext(change);
}

Daemons::TableReply TableFollower::BuildReply(const Daemons::TablePull& pull) const
{
  Daemons::TableReply reply;
  reply.revision = m_revision;
  const bool has_changes =
      pull.known_revision >= m_revision ||
      (!m_recent.empty() && m_recent.front().revision.Get() <= pull.known_revision.Get() + 1);
  if (has_changes)
  {
    std::ranges::copy_if(m_recent, std::back_inserter(reply.changes),
                         [&](const Table::Change& change) {
                           return change.revision > pull.known_revision;
                         });
    return reply;
  }
  reply.whole = true;
  reply.rows = m_rows;
  return reply;
}

Task<Result<Table::Change>> TableFollower::Apply(Revision seen, std::string change_id,
                                                 std::string who, std::vector<Table::Row> rows)
{
  const auto refreshed = co_await Refresh();
  if (!refreshed)
    co_return Failure{FailureKind::Unavailable, "the platform does not respond"};
  const auto earlier = co_await m_store.ReadOne(ChangeKey(change_id));
  if (!earlier)
    co_return Failure{FailureKind::Unavailable, "the platform does not respond"};
  if (earlier->version != 0)
  {
    Table::Change known;
    known.id = change_id;
    known.revision = Revision(HeadRevision(*earlier));
    co_return known;
  }
  if (seen != m_revision)
    co_return Failure{FailureKind::Conflict, "the table is at revision " +
                                                 std::to_string(m_revision.Get()) + ", not " +
                                                 std::to_string(seen.Get())};
  Table::Change change = Table::Difference(m_rows, rows);
  if (change.Empty())
  {
    change.revision = m_revision;
    co_return change;
  }
  change.revision = Revision(m_revision.Get() + 1);
  change.id = change_id;
  change.who = who;
  change.when = CurrentTimestamp();
  const auto outcome = co_await m_store.Commit(BuildTransaction(change, m_head_version),
                                               Common::Now() + APPLY_TIMEOUT);
  if (!outcome)
    co_return outcome.Reason();
  if (!outcome->committed)
    co_return Failure{FailureKind::Conflict, "another edit was committed first"};
  change.version = outcome->version;
  m_head_version = outcome->version;
  ApplyNext(change);
  // Only the daemon that accepted the edit announces it. If every daemon did, an edit would cost as
  // many heartbeats as there are pairs of daemons.
  m_link.ScheduleHeartbeats();
  co_return change;
}

Task<Result<std::vector<Table::Change>>> TableFollower::History(std::int64_t count)
{
  // Refresh first, so that the history includes edits just accepted by other daemons.
  const auto refreshed = co_await Refresh();
  if (!refreshed)
    co_return refreshed.Reason();
  const std::int64_t last = m_revision.Get();
  const std::int64_t first = std::max<std::int64_t>(1, last - count + 1);
  auto changes = co_await ReadChanges(first, last);
  if (changes)
    std::ranges::reverse(*changes);
  co_return changes;
}
} // namespace Serving

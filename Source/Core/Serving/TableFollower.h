// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Common/Units.h"
#include "Daemons/Link.h"
#include "Platform/Store.h"
#include "Table/Catalog.h"
#include "Table/Change.h"

namespace Serving
{
/// Replicates the operators' table to this daemon. Updates come from peers whose heartbeats
/// announce a newer revision, and from polling the platform. The revision never decreases.
class TableFollower
{
public:
  TableFollower(Platform::Store& store, Daemons::Link& link, Daemons::Membership& membership,
                Common::Milliseconds poll_interval);

  /// Starts polling; calls `on_change` after each change of the table.
  void Start(std::function<void()> on_change);

  bool HasTable() const { return m_has_table; }
  Common::Revision CurrentRevision() const { return m_revision; }
  const Table::Catalog& Current() const { return *m_catalog; }
  /// Returns the catalog with shared ownership, for coroutines that use it across a suspension.
  std::shared_ptr<const Table::Catalog> Share() const { return m_catalog; }
  const Table::RowMap& Rows() const { return m_rows; }
  /// The platform's version of a table row, used as a condition of claims; -1 if there is no such
  /// row.
  std::int64_t RowVersion(const std::string& row_key) const;

  /// Reads the head revision from the platform and applies newer changes.
  Common::Task<Common::Result<Common::Done>> Refresh();
  /// Called when a heartbeat announces that `vm` has `revision`; pulls it if it is newer.
  void OnPeerRevision(const Common::VmId& vm, Common::Revision revision);
  /// Returns the changes that the peer lacks, or the complete table if they are no longer kept.
  Daemons::TableReply BuildReply(const Daemons::TablePull& pull) const;

  /// Replaces the table with `rows`, provided that it is still at the revision that the operator
  /// saw; otherwise fails with Conflict. A repeated edit with a known `change_id`, whose response
  /// was lost, returns the earlier change.
  Common::Task<Common::Result<Table::Change>> Apply(Common::Revision seen, std::string change_id,
                                                    std::string who, std::vector<Table::Row> rows);
  /// Returns at most `count` changes from the platform's history, newest first.
  Common::Task<Common::Result<std::vector<Table::Change>>> History(std::int64_t count);

private:
  Common::Task<void> Poll();
  Common::Task<void> PullFrom(Common::VmId vm);
  Common::Task<Common::Result<Common::Done>> CatchUp(std::int64_t head);
  Common::Task<Common::Result<Common::Done>> ReadAll();
  Common::Task<Common::Result<std::vector<Table::Change>>> ReadChanges(std::int64_t first,
                                                                       std::int64_t last);
  /// Applies the change if it leads to the next revision; ignores any other.
  void ApplyNext(const Table::Change& change);
  void Replace(Common::Revision revision, Table::RowMap rows);
  void Rebuild();

  Platform::Store& m_store;
  Daemons::Link& m_link;
  Daemons::Membership& m_membership;
  Common::Milliseconds m_poll_interval;
  std::function<void()> m_on_change;
  bool m_has_table = false;
  Common::Revision m_revision;
  std::int64_t m_head_version = 0;
  Table::RowMap m_rows;
  std::shared_ptr<const Table::Catalog> m_catalog = std::make_shared<Table::Catalog>();
  std::deque<Table::Change> m_recent;
  std::set<Common::VmId> m_pulling;
};
} // namespace Serving

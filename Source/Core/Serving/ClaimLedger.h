// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <optional>

#include "Common/Mutex.h"
#include "Platform/Store.h"
#include "Serving/ServerRow.h"

namespace Serving
{
/// Converts a commit that lost a compare-and-set into a failure, for callers that do not handle
/// conflicts themselves.
Common::Result<Common::Done>
RequireCommitted(const Common::Result<Platform::CommitOutcome>& outcome);

/// The claims of one backend server, stored in the platform. Each change is a compare-and-set of
/// the server's row; the changes of this daemon are serialized by a mutex.
class ClaimLedger
{
public:
  /// Edits a copy of the row and adds further conditions and writes to the transaction. If it
  /// returns a failure, nothing is committed.
  using Edit = std::function<std::optional<Common::Failure>(ServerRow&, Platform::Transaction&)>;

  ClaimLedger(Platform::Store& store, Common::VmId server);

  bool IsKnown() const { return m_known; }
  const ServerRow& Row() const { return m_row; }
  std::int64_t Version() const { return m_version; }
  /// When this daemon read or wrote the current version of the row.
  Common::TimePoint RowReceivedAt() const { return m_row_received_at; }

  /// Reads the row from the platform; an older version does not replace a newer one.
  Common::Task<Common::Result<Common::Done>> Refresh();

  /// Commits the edit against the known version of the row. If the row has changed in between, the
  /// edit is retried on the new version, at most five times. The outcome may contain conflicts on
  /// the other keys of the transaction.
  Common::Task<Common::Result<Platform::CommitOutcome>> Update(Edit edit,
                                                               Common::TimePoint deadline);

private:
  /// Replaces the known row and version. Fails with Protocol if the stored row cannot be parsed.
  Common::Result<Common::Done> SetRow(const Platform::StoredRow& stored);

  Platform::Store& m_store;
  Common::VmId m_server;
  ServerRow m_row;
  std::int64_t m_version = 0;
  bool m_known = false;
  Common::TimePoint m_row_received_at;
  Common::Mutex m_mutex;
};
} // namespace Serving

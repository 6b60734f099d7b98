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
/// A commit that lost a compare-and-set, as a failure for callers that expect none.
Common::Result<Common::Done> AsDone(const Common::Result<Platform::CommitOutcome>& outcome);

/// The claims of one backend server, kept in the platform. Each change is a compare-and-set of the
/// server's row; this daemon's changes go one after another.
class ClaimLedger
{
public:
  /// Edits a copy of the row and adds what else the transaction needs. A failure abandons it.
  using Edit = std::function<std::optional<Common::Failure>(ServerRow&, Platform::Transaction&)>;

  ClaimLedger(Platform::Store& store, Common::VmId server);

  bool IsKnown() const { return m_known; }
  const ServerRow& Row() const { return m_row; }
  std::int64_t Version() const { return m_version; }
  /// When this daemon learnt the present version of the row.
  Common::TimePoint AdoptedAt() const { return m_adopted_at; }

  /// Reads the row again.
  Common::Task<Common::Result<Common::Done>> Refresh();

  /// Commits the edit against the row as it is. Where the row has moved on, it is read again and
  /// edited anew. The outcome may name conflicts on the other keys of the transaction.
  Common::Task<Common::Result<Platform::CommitOutcome>> Update(Edit edit,
                                                               Common::TimePoint deadline);

private:
  Common::Result<Common::Done> Adopt(const Platform::StoredRow& stored);

  Platform::Store& m_store;
  Common::VmId m_server;
  ServerRow m_row;
  std::int64_t m_version = 0;
  bool m_known = false;
  Common::TimePoint m_adopted_at;
  Common::Mutex m_mutex;
};
} // namespace Serving

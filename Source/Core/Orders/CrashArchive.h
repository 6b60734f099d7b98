// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "Common/Failure.h"
#include "Common/Units.h"
#include "Crashes/CrashCase.h"
#include "Gateway/Dispatcher.h"

namespace Orders
{
/// The value of the archive row. VMs have no persistent state, so data that must survive the loss
/// of all of them is kept in the store.
struct ArchivedCases
{
  std::int64_t written_at = 0; ///< Writer's Unix time in ms; ages in `cases` are relative to it.
  std::vector<Crashes::CaseLine> cases;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(written_at, cases);
  }
};

/// The row as read from the store, still encoded.
struct ArchiveRow
{
  /// Without a row the value is empty, and the store's own number in the version is 0.
  std::int64_t version = 0;
  std::string value;
};

/// Access to the archive row in the store.
struct ArchiveAccess
{
  std::function<void(std::function<void(Common::Result<ArchiveRow>)>)> read;
  /// Compare-and-set: writes the row if it still has the expected version (0 if it must be absent)
  /// and returns its new version.
  std::function<void(std::int64_t, const std::string&,
                     std::function<void(Common::Result<std::int64_t>)>)>
      replace;
};

/// Decides whether a daemon may write the row, and which cases it writes.
enum class ArchiveRole
{
  Reader,
  Holder, ///< Writes the row only when blocked requests change, to keep the number of writes low.
  /// No lease holder is reachable: daemons exchange their observations through the row, so that
  /// server crashes observed by different daemons still add up.
  WithoutHolder,
};

/// Persists the requests that crash backend servers in one row of the platform's store. The row
/// initializes daemons that start, survives the loss of all daemons, and replaces the holder's
/// announcements while there is no holder.
class CrashArchive
{
public:
  CrashArchive(Gateway::Dispatcher& dispatcher, ArchiveAccess access)
      : m_dispatcher(dispatcher), m_access(std::move(access))
  {
  }

  /// Handles a new version of the row.
  void OnRow(const ArchiveRow& row);
  /// Writes the row if the ledger has changed and the role permits it.
  void Tick(ArchiveRole role, Common::TimePoint now);

private:
  /// The parts of a case whose change triggers a write: the request, how many times it was blocked
  /// and, without a holder, the number of server crashes. For a holder only blocked cases count.
  using CaseKeys = std::set<std::tuple<Crashes::Fingerprint, std::int32_t, std::size_t>>;

  static CaseKeys CaseKeysOf(const std::vector<Crashes::CaseLine>& cases, ArchiveRole role);
  void Write(std::vector<Crashes::CaseLine> cases);
  void OnWriteResult(Common::Result<std::int64_t> version);
  void RereadRow();
  void DelayNextWrite();

  Gateway::Dispatcher& m_dispatcher;
  ArchiveAccess m_access;
  std::int64_t m_version = 0;
  std::uint64_t m_compared_revision = 0; ///< Ledger revision at the last comparison with the row.
  ArchiveRole m_compared_role = ArchiveRole::Reader;
  std::vector<Crashes::CaseLine> m_row; ///< Cases of the row as last written or read.
  std::vector<Crashes::CaseLine> m_pending_cases;
  bool m_call_pending = false;
  int m_failures = 0;
  Common::TimePoint m_next_write_at;
};
} // namespace Orders

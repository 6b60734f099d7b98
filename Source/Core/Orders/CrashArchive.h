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
/// The row's value. VMs keep nothing, so what must outlast all of them lies in the store.
struct ArchivedCases
{
  std::int64_t written_at = 0; ///< Unix milliseconds of the writer; the cases' ages count from it.
  std::vector<Crashes::CaseLine> cases;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(written_at, cases);
  }
};

/// The row as it was read.
struct ArchiveRow
{
  std::int64_t version = 0; ///< 0: it is absent.
  std::string value;
};

/// How the row is read and written.
struct ArchiveAccess
{
  std::function<void(std::function<void(Common::Result<ArchiveRow>)>)> read;
  /// Puts the row if it still has the expected version (0: it is absent); gives its new version.
  std::function<void(std::int64_t, const std::string&,
                     std::function<void(Common::Result<std::int64_t>)>)>
      replace;
};

/// Who may write the row now, and what.
enum class ArchiveRole
{
  Reader,
  Holder, ///< Writes what is blocked: the store is told of few things only.
  /// No holder is heard: what each daemon saw goes through the store, so that the endings that
  /// several saw still add up.
  Orphan,
};

/// Keeps requests that end servers in one row of the platform's store: for daemons that start, for
/// all daemons after all were killed, and in place of the holder's word where there is none.
class CrashArchive
{
public:
  CrashArchive(Gateway::Dispatcher& dispatcher, ArchiveAccess access)
      : m_dispatcher(dispatcher), m_access(std::move(access))
  {
  }

  /// The row as the store tells it.
  void OnRow(const ArchiveRow& row);
  /// Writes what is new, where this daemon may.
  void Tick(ArchiveRole role, Common::TimePoint now);

private:
  /// What of a case makes the row worth a write: its request, times blocked, and for an orphan its
  /// endings.
  using Essence = std::set<std::tuple<Crashes::Fingerprint, std::int32_t, std::size_t>>;

  static Essence EssenceOf(const std::vector<Crashes::CaseLine>& cases, ArchiveRole role);
  void Write(std::vector<Crashes::CaseLine> cases);
  void TakeResult(Common::Result<std::int64_t> version);
  void ReadAgain();
  void Pause();

  Gateway::Dispatcher& m_dispatcher;
  ArchiveAccess m_access;
  std::int64_t m_version = 0;
  std::uint64_t m_seen_revision = 0; ///< Of the ledger, when the row was last compared with it.
  ArchiveRole m_seen_as = ArchiveRole::Reader;
  std::vector<Crashes::CaseLine> m_row; ///< As it was last written or read.
  std::vector<Crashes::CaseLine> m_on_its_way;
  bool m_calling = false;
  int m_failures = 0;
  Common::TimePoint m_not_before;
};
} // namespace Orders

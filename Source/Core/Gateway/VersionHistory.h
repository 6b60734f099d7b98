// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <map>
#include <optional>
#include <set>

#include "Common/Units.h"
#include "Gateway/ServerDirectory.h"
#include "Gateway/StreamOrigins.h"
#include "Gateway/Types.h"

namespace Gateway
{
/// Which software versions may have begun the streams that are still remembered: those that the
/// servers of a pool have had since then, as far as this daemon has followed their entries.
class VersionHistory
{
public:
  explicit VersionHistory(const ServerDirectory& servers) : m_servers(servers) {}

  /// Records the versions that the servers have now. Called at least every second.
  void Observe(Common::TimePoint now);
  /// Records that a server of the pool with this version has begun a stream.
  void Note(const PoolId& pool, const SoftwareVersion& version, Common::TimePoint now);
  /// The versions of the pool within the retention time of streams.
  std::set<SoftwareVersion> Recent(const PoolId& pool, Common::TimePoint now) const;
  /// Records that all versions that servers had before `moment` have been noted.
  void NoteRestored(Common::TimePoint moment);
  /// The versions of all pools within the retention time of streams.
  std::map<PoolId, std::set<SoftwareVersion>> AllRecent(Common::TimePoint now) const;
  /// True if any pool has recently had several versions.
  bool HasSeveralVersions(Common::TimePoint now) const;
  /// False while the entries are so old that servers with other versions are likely to be missing.
  bool IsCurrent(Common::TimePoint now) const;
  /// True if no server that was listed at `moment` is missing.
  bool IsProvenSince(Common::TimePoint moment) const;
  /// True if Recent() has all versions: the entries have been followed without a gap for the
  /// retention time of streams, or since the versions before were restored.
  bool IsComplete(Common::TimePoint now) const;
  /// True if Recent(), together with all versions that another daemon knew at `moment` while its
  /// IsComplete() was true, has all versions.
  bool Continues(Common::TimePoint moment) const;

private:
  /// With a longer time since the entries were known to be the newest, other versions may have been
  /// added. Less than the 2 s within which a change has to be in force.
  static constexpr Common::Milliseconds MAX_ENTRY_AGE{1500};

  const ServerDirectory& m_servers;
  std::uint64_t m_revision = 0; ///< Of the directory when `m_current` was derived from it.
  std::uint64_t m_gaps = 0;     ///< Of the directory when it was last observed.
  std::map<PoolId, std::set<SoftwareVersion>> m_current;
  std::map<PoolId, std::map<SoftwareVersion, Common::TimePoint>> m_last_seen;
  Common::TimePoint m_observed_at;
  std::optional<Common::TimePoint> m_followed_since;
  std::optional<Common::TimePoint> m_restored_at;
};
} // namespace Gateway

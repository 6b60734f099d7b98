// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "Common/Units.h"
#include "Gateway/Types.h"

namespace Gateway
{
/// Which software version of the servers began a stream. What two versions write does not fit
/// together, so that a stream may go on only at the version that began it. Holds the streams that
/// callers received through this VM, and others that callers resumed here.
class StreamOrigins
{
public:
  /// Records that a server of `version` began the stream that `request` asked for.
  void Note(const PoolId& pool, const std::string& request, const SoftwareVersion& version,
            Common::TimePoint now);
  /// Records what another daemon knows of a stream.
  void Learn(const std::string& request, const SoftwareVersion& version, Common::TimePoint now);
  /// The version that began the stream; unset if it is not known.
  std::optional<SoftwareVersion> Find(const std::string& request, Common::TimePoint now);
  /// The versions that have recently begun streams of the pool through this VM.
  std::set<SoftwareVersion> RecentVersions(const PoolId& pool, Common::TimePoint now) const;

private:
  struct Begun
  {
    Common::TimePoint at;
    std::string request;
  };

  void DropOld(Common::TimePoint now);

  std::deque<Begun> m_begun;                                   ///< Oldest first.
  std::unordered_map<std::string, SoftwareVersion> m_versions; ///< By request.
  std::map<PoolId, std::map<SoftwareVersion, Common::TimePoint>> m_used_at;
};
} // namespace Gateway

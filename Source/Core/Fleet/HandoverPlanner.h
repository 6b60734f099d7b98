// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "Common/Units.h"

namespace Fleet
{
/// Identifies a data centre in messages. If two have the same hash, they are treated as one.
using PlaceHash = std::uint32_t;
PlaceHash HashOf(const Common::DataCentreId& data_centre);

/// A daemon as the lease holder knows it from the daemon's last report.
struct Member
{
  PlaceHash place = 0;
  bool has_tables = false; ///< It has a copy of all shared tables.
  bool is_strong = true; ///< Its VM has enough CPU and bandwidth to serve several daemons at once.
};

/// Decides which daemon hands its copy of the shared tables to which daemon that has none. Runs on
/// the lease holder.
///
/// Designed for this load pattern: hundreds of daemons start at the same moment before thousands of
/// backend servers. If each read the platform's store, the number of calls and bytes there would
/// grow with daemons x servers. Here the holder reads once, and the copies spread as a tree, in
/// which each daemon that has received one serves a bounded number of others, first those in its
/// own data centre.
class HandoverPlanner
{
public:
  /// Starts over, because another daemon held the lease before.
  void Clear() { m_members.clear(); }
  void Update(const Common::VmId& vm, const Member& member);
  void Remove(const Common::VmId& vm);
  /// Assigns sources to the daemons that have no tables and no source. Returns the daemons with a
  /// new source.
  std::vector<Common::VmId> Assign(Common::TimePoint now);
  /// The daemon that is to hand its copy to `vm`; nullopt if there is none.
  std::optional<Common::VmId> SourceOf(const Common::VmId& vm) const;
  /// True if any daemon has no tables.
  bool AnyWaiting() const { return m_waiting > 0; }

private:
  struct State
  {
    Member member;
    std::optional<Common::VmId> source;
    Common::TimePoint assigned_at;
    std::optional<Common::VmId> failed_source; ///< The last source that did not deliver in time.
    std::size_t receivers = 0;                 ///< Daemons of which it is the source.
  };
  using Members = std::map<Common::VmId, State>;

  /// Candidates to be a source and daemons that need one, in one data centre.
  struct Place
  {
    std::vector<Members::value_type*> sources;
    std::vector<Members::value_type*> waiting;
    std::size_t receiving_from_elsewhere = 0;
  };

  void ReleaseSource(State& receiver);
  void ReleaseOverdue(Common::TimePoint now);
  std::map<PlaceHash, Place> ByPlace();
  static bool HasRoom(const State& source);
  /// The source with the fewest receivers that has room for one more; nullptr if there is none.
  static Members::value_type* PickSource(const std::vector<Members::value_type*>& sources,
                                         const State& receiver);
  Members::value_type* PickForeignSource(std::map<PlaceHash, Place>& places, const State& receiver);

  Members m_members;
  std::size_t m_waiting = 0; ///< Members without tables.
};
} // namespace Fleet

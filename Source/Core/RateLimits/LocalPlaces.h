// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "RateLimits/Places.h"

namespace RateLimits
{
/// The places at brittle servers that this daemon may use.
///
/// Normally the holder of the order lease grants them. While it does not reply, the places of each
/// server are divided among the daemons of the list that each daemon has, in an order that a hash
/// gives. That needs no messages: daemons with the same list use what the server runs at once.
class LocalPlaces
{
public:
  /// Identifies a daemon.
  using DaemonKey = std::uint64_t;

  /// Sets the number of daemons that may exist, for a daemon that is not in its list.
  void SetDaemons(int daemons) { m_daemons = daemons; }
  /// Sets this daemon and the list of all that divide the places without a holder.
  void SetMembers(DaemonKey self, std::vector<DaemonKey> members);

  /// Adds places that the holder granted.
  void Add(ServerKey server, std::uint32_t count, Common::TimePoint valid_until,
           Common::TimePoint now);
  /// Records a report with demand to the holder, also if there is none.
  void NoteDemand(Common::TimePoint now);
  /// Records a reply of a holder whose lease is valid.
  void NoteReply() { m_unanswered_since.reset(); }
  /// True if the holder has not replied for so long that the places are divided without it.
  bool IsWithoutHolder() const;

  /// How many requests this daemon may have at the server in all, `running` of which it has now.
  /// `places`: requests that the server runs at once.
  int MaxRequests(ServerKey server, int places, int running, Common::TimePoint now) const;
  /// How many places of the server this daemon has without a holder.
  int Share(ServerKey server, int places) const;
  /// The places that this daemon holds at the server. Gives back those that it does not use.
  std::uint32_t TakeHeld(ServerKey server, int running, Common::TimePoint now);
  /// True if a place of the server is free and was granted lately.
  bool HasUnusedGrant(ServerKey server, int running, Common::TimePoint now) const;
  void Clear();

private:
  struct Place
  {
    Common::TimePoint valid_until; ///< For new requests.
    Common::TimePoint granted_at;
  };
  using Places = std::vector<Place>;

  /// How many daemons come before this one when the places of the server are divided, and how many
  /// there are.
  std::pair<int, int> RankAt(ServerKey server) const;
  /// How many places with a valid term no running request uses. Running requests use up the places
  /// whose term has ended first.
  static int CountFree(const Places& places, int running, Common::TimePoint now);

  std::map<ServerKey, Places> m_servers;
  std::optional<Common::TimePoint> m_unanswered_since;
  Common::TimePoint m_demanded_at;
  int m_daemons = 1;
  DaemonKey m_self = 0;
  std::vector<DaemonKey> m_members;
  /// How many members come before this daemon at a server; computed on first use.
  mutable std::map<ServerKey, int> m_ranks;
};
} // namespace RateLimits

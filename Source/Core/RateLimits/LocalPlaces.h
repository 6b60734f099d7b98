// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "RateLimits/Places.h"

namespace RateLimits
{
/// The places at brittle servers that this daemon may use.
///
/// Normally the holder of the order lease grants them. While it does not reply, the places of each
/// server are divided among all daemons by a hash, which needs no messages: what all daemons use
/// then stays close to what the server runs at once.
class LocalPlaces
{
public:
  /// Sets the number of daemons that divide the places without a holder.
  void SetDaemons(int daemons) { m_daemons = daemons; }
  /// Sets a number that differs from that of other daemons.
  void SetSelf(std::uint64_t self) { m_self = self; }

  /// Adds places that the holder granted.
  void Add(ServerKey server, std::uint32_t count, Common::TimePoint valid_until,
           Common::TimePoint now);
  /// Records a report with demand to the holder, also if there is none.
  void NoteDemand(Common::TimePoint now);
  /// Records a reply of a holder that grants places.
  void NoteReply() { m_unanswered_since.reset(); }
  /// True if the holder has not replied for so long that the places are divided without it.
  bool IsWithoutHolder(Common::TimePoint now) const;

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

  /// How many places with a valid term no running request uses. Running requests use up the places
  /// whose term has ended first.
  static int CountFree(const Places& places, int running, Common::TimePoint now);

  std::map<ServerKey, Places> m_servers;
  std::optional<Common::TimePoint> m_unanswered_since;
  int m_daemons = 1;
  std::uint64_t m_self = 0;
};
} // namespace RateLimits

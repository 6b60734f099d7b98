// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "Common/Units.h"

namespace Decisions
{
/// A server of a pool that runs no models, for PlaceShares.
struct ShareCandidate
{
  Common::VmId server;
  int places = 1;               ///< Slots: requests that the server runs at the same time.
  double speed = 1;             ///< From ServerSpeeds; 1: average, above 1: faster.
  std::int64_t own_running = 0; ///< Running requests of this daemon; exact.
  std::int64_t limit = 0;       ///< Maximum concurrent requests of this daemon; 0: unavailable.
  bool local = true;            ///< In the data centre of this daemon.
};

/// Chooses a server based only on the daemon's own open requests. Each daemon owns a share of the
/// slots of all servers and uses it first, so that daemons that choose at the same moment choose
/// different servers. Requests beyond the share are spread over all servers in proportion to their
/// speeds. docs/design/even-load.md
class PlaceShares
{
public:
  /// `rank`: position of this daemon in the sorted list of the `daemons` running ones. A rank that
  /// is out of range is reduced modulo `daemons`; no daemons count as one.
  void SetDaemons(std::size_t rank, std::size_t daemons);

  /// Returns the index of the chosen candidate; nullopt if all are at their limit. Pass all servers
  /// of the pool in any order, including unavailable ones with a limit of 0: the shares of the
  /// daemons are disjoint only if all daemons pass the same servers with the same slots. The cost
  /// is linear in the servers while their list stays the same.
  std::optional<std::size_t> Choose(const std::vector<ShareCandidate>& candidates,
                                    Common::TimePoint now);
  /// The number of slots of the server that this daemon owned at the last choice.
  std::int64_t OwnSlotsAt(const Common::VmId& server) const;
  /// Whether the last choice was a free slot of this daemon's share, for metrics.
  bool UsedOwnSlot() const { return m_used_own_slot; }

private:
  struct KnownServer
  {
    Common::VmId server;
    std::size_t slots = 1;
    std::int64_t own_slots = 0;
    /// Position in the rotation: the cost of the requests that were sent to it. The lowest is next.
    double turn = 0;
  };

  bool IsSameList(const std::vector<ShareCandidate>& candidates) const;
  double TurnOf(const KnownServer& known) const;
  void Rebuild(const std::vector<ShareCandidate>& candidates);

  std::size_t m_rank = 0;
  std::size_t m_daemons = 1;
  bool m_is_current = false;
  std::vector<KnownServer> m_servers; ///< In the order of the last candidates.
  double m_turn = 0;                  ///< The highest that was chosen beyond the own slots.
  bool m_used_own_slot = false;
};
} // namespace Decisions

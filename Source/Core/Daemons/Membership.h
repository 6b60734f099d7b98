// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/Units.h"
#include "Daemons/Messages.h"
#include "Platform/Types.h"

namespace Daemons
{
/// Liveness of the daemon incarnation that made a claim.
enum class HolderStatus
{
  Alive,        ///< Sent a recent heartbeat in this incarnation.
  Unresponsive, ///< No recent heartbeat; it may be suspended or cut off, and act later.
  Gone, ///< Its VM left the platform's list or runs another incarnation: it cannot act again.
};

struct MembershipSettings
{
  /// Minimum time without a heartbeat after which a peer is dead. A peer that announces longer
  /// heartbeat intervals gets four of them.
  Common::Milliseconds dead_after{1500};
  /// Maximum delay until the platform's list includes a new VM. An unknown VM counts as gone only
  /// when the list has lacked it for longer than this; before that it may be new.
  Common::Milliseconds list_lag{30000};
};

/// The known daemons and their liveness. Holds state only; Link sends and receives.
class Membership
{
public:
  struct Peer
  {
    Common::VmId vm;
    std::string address;
    bool listed = false;  ///< In the platform's list or a seed from the settings.
    bool retired = false; ///< No longer in the platform's list, and no heartbeats.
    Heartbeat last_heartbeat;
    bool has_heartbeat = false;
    Common::TimePoint last_heartbeat_at;
    Common::TimePoint
        changed_at; ///< When it was retired or its current incarnation was first seen.
  };

  Membership(Heartbeat self, MembershipSettings settings);

  /// Applies the platform's list. The list lags behind, so a VM that has left it no longer runs.
  void SetListed(const std::vector<Platform::VmEntry>& entries, Common::TimePoint now);
  /// Adds a peer from the settings.
  void AddSeed(const Common::VmId& vm, const std::string& address);
  /// Records a heartbeat. Returns false if it is old, replayed, or from an unknown VM.
  bool Accept(const Heartbeat& heartbeat, Common::TimePoint now);

  const std::map<Common::VmId, Peer>& Peers() const { return m_peers; }
  const Peer* Find(const Common::VmId& vm) const;
  bool IsAlive(const Common::VmId& vm, Common::TimePoint now) const;
  /// The live daemons of a data centre that may be assigned roles, including this one.
  std::vector<Common::VmId> LiveIn(const Common::DataCentreId& data_centre,
                                   Common::TimePoint now) const;
  std::vector<Common::VmId> LiveEverywhere(Common::TimePoint now) const;
  /// The status of a claim's holder. For Gone, `since` is set to the time of that change.
  HolderStatus StatusOf(const Common::VmId& vm, const Common::Incarnation& incarnation,
                        Common::TimePoint now, Common::TimePoint* since) const;

  Heartbeat& Self() { return m_self; }
  const Heartbeat& Self() const { return m_self; }

private:
  Heartbeat m_self;
  MembershipSettings m_settings;
  std::map<Common::VmId, Peer> m_peers;
  std::optional<Common::TimePoint> m_first_list_at; ///< When the first list was received.
};
} // namespace Daemons

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
/// What is known of the daemon that made a claim.
enum class HolderStatus
{
  Alive,  ///< Heard of lately in this incarnation.
  Silent, ///< Not heard of; it may be frozen or cut off and act later.
  Gone,   ///< Its VM left the platform's list, or runs a newer incarnation: it cannot act again.
};

struct MembershipSettings
{
  /// At least; a peer that promises rarer heartbeats is given four of its intervals.
  Common::Milliseconds dead_after{1500};
  /// The platform's list names a new VM within this time. Only a VM that this daemon has missed
  /// in the list for longer is gone; before that it may just be new.
  Common::Milliseconds list_lag{30000};
};

/// Who runs drumpond where. Holds state only; sending and receiving is Link's.
class Membership
{
public:
  struct Peer
  {
    Common::VmId vm;
    std::string address;
    bool listed = false;  ///< In the platform's list, or named by the settings.
    bool retired = false; ///< Was listed by the platform and is no more.
    Heartbeat last;
    bool heard = false;
    Common::TimePoint heard_at;
    Common::TimePoint changed_at; ///< Since when it is retired or in its present incarnation.
  };

  Membership(Heartbeat self, MembershipSettings settings);

  /// Takes over the platform's list; it lags, so a VM that it no longer names is gone for certain.
  void SetListed(const std::vector<Platform::VmEntry>& entries, Common::TimePoint now);
  /// Adds a peer of the settings.
  void AddSeed(const Common::VmId& vm, const std::string& address);
  /// Takes a heartbeat. False where it is old, a replay, or of an unknown VM.
  bool Accept(const Heartbeat& heartbeat, Common::TimePoint now);

  const std::map<Common::VmId, Peer>& Peers() const { return m_peers; }
  const Peer* Find(const Common::VmId& vm) const;
  bool IsAlive(const Common::VmId& vm, Common::TimePoint now) const;
  /// The live daemons of a data centre that may have roles, this one included.
  std::vector<Common::VmId> LiveIn(const Common::DataCentreId& data_centre,
                                   Common::TimePoint now) const;
  std::vector<Common::VmId> LiveEverywhere(Common::TimePoint now) const;
  /// The status of a claim's holder, and for Gone since when.
  HolderStatus StatusOf(const Common::VmId& vm, const Common::Incarnation& incarnation,
                        Common::TimePoint now, Common::TimePoint* since) const;

  Heartbeat& Self() { return m_self; }
  const Heartbeat& Self() const { return m_self; }

private:
  Heartbeat m_self;
  MembershipSettings m_settings;
  std::map<Common::VmId, Peer> m_peers;
  std::optional<Common::TimePoint> m_list_since; ///< Since the first list came.
};
} // namespace Daemons

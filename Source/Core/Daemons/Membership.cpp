// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Daemons/Membership.h"

#include <algorithm>
#include <set>

namespace Daemons
{
namespace
{
/// A peer is dead after this many heartbeat intervals without a heartbeat, each as long as the peer
/// announced.
constexpr std::int64_t MAX_MISSED_HEARTBEATS = 4;
} // namespace

using Common::TimePoint;
using Common::VmId;

Membership::Membership(Heartbeat self, MembershipSettings settings)
    : m_self(std::move(self)), m_settings(settings)
{
}

void Membership::SetListed(const std::vector<Platform::VmEntry>& entries, TimePoint now)
{
  if (!m_first_list_at)
    m_first_list_at = now;
  std::set<VmId> listed;
  for (const Platform::VmEntry& entry : entries)
  {
    if (entry.role != "entry" || entry.vm == m_self.vm)
      continue;
    listed.insert(entry.vm);
    Peer& peer = m_peers[entry.vm];
    peer.vm = entry.vm;
    peer.listed = true;
    peer.retired = false;
    if (!entry.address.empty())
      peer.address = entry.address;
  }
  for (auto& [vm, peer] : m_peers)
  {
    if (listed.contains(vm) || peer.retired || IsAlive(vm, now))
      continue;
    peer.retired = true;
    peer.changed_at = now;
  }
}

void Membership::AddSeed(const VmId& vm, const std::string& address)
{
  if (vm == m_self.vm)
    return;
  Peer& peer = m_peers[vm];
  peer.vm = vm;
  peer.listed = true;
  peer.address = address;
}

bool Membership::Accept(const Heartbeat& heartbeat, TimePoint now)
{
  const auto found = m_peers.find(heartbeat.vm);
  if (found == m_peers.end())
    return false;
  Peer& peer = found->second;
  if (peer.has_heartbeat)
  {
    const bool same = peer.last_heartbeat.incarnation == heartbeat.incarnation;
    if (same && heartbeat.sequence <= peer.last_heartbeat.sequence)
      return false;
    if (!same && heartbeat.started_ms <= peer.last_heartbeat.started_ms)
      return false;
    if (!same)
      peer.changed_at = now;
  }
  else
  {
    peer.changed_at = now;
  }
  peer.last_heartbeat = heartbeat;
  peer.has_heartbeat = true;
  peer.last_heartbeat_at = now;
  peer.retired = false;
  return true;
}

const Membership::Peer* Membership::Find(const VmId& vm) const
{
  const auto found = m_peers.find(vm);
  return found == m_peers.end() ? nullptr : &found->second;
}

bool Membership::IsAlive(const VmId& vm, TimePoint now) const
{
  if (vm == m_self.vm)
    return true;
  const Peer* peer = Find(vm);
  if (!peer || !peer->has_heartbeat)
    return false;
  const Common::Milliseconds announced_timeout(peer->last_heartbeat.interval_ms *
                                               MAX_MISSED_HEARTBEATS);
  return now - peer->last_heartbeat_at < std::max(m_settings.dead_after, announced_timeout);
}

std::vector<VmId> Membership::LiveIn(const Common::DataCentreId& data_centre, TimePoint now) const
{
  std::vector<VmId> live;
  if (data_centre == m_self.data_centre && !m_self.leaving)
    live.push_back(m_self.vm);
  for (const auto& [vm, peer] : m_peers)
    if (IsAlive(vm, now) && !peer.last_heartbeat.leaving &&
        peer.last_heartbeat.data_centre == data_centre)
      live.push_back(vm);
  return live;
}

std::vector<VmId> Membership::LiveEverywhere(TimePoint now) const
{
  std::vector<VmId> live;
  if (!m_self.leaving)
    live.push_back(m_self.vm);
  for (const auto& [vm, peer] : m_peers)
    if (IsAlive(vm, now) && !peer.last_heartbeat.leaving)
      live.push_back(vm);
  return live;
}

HolderStatus Membership::StatusOf(const VmId& vm, const Common::Incarnation& incarnation,
                                  TimePoint now, TimePoint* since) const
{
  if (vm == m_self.vm)
  {
    // This process could bind its address only after the previous incarnation had ended.
    *since = TimePoint{};
    return incarnation == m_self.incarnation ? HolderStatus::Alive : HolderStatus::Gone;
  }
  const Peer* peer = Find(vm);
  if (!peer)
  {
    // Unknown VM: it left the list before this daemon started, or is too new to be listed.
    *since = m_first_list_at.value_or(now) + m_settings.list_lag;
    return m_first_list_at && now >= *since ? HolderStatus::Gone : HolderStatus::Unresponsive;
  }
  *since = peer->changed_at;
  if (peer->has_heartbeat && peer->last_heartbeat.incarnation != incarnation)
    return HolderStatus::Gone;
  if (peer->retired && !IsAlive(vm, now))
    return HolderStatus::Gone;
  return IsAlive(vm, now) ? HolderStatus::Alive : HolderStatus::Unresponsive;
}
} // namespace Daemons

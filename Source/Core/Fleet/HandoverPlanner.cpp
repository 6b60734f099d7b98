// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Fleet/HandoverPlanner.h"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace Fleet
{
namespace
{
using Common::Milliseconds;
using Common::VmId;

/// Daemons that one source serves at once. With more, the copies reach each of them later than
/// another level of the tree would take.
constexpr std::size_t MAX_RECEIVERS = 4;
/// The same for a VM with little CPU or bandwidth.
constexpr std::size_t MAX_RECEIVERS_OF_WEAK = 1;
/// Copies that one data centre receives from other ones at once, while it has none of its own.
constexpr std::size_t MAX_FROM_ELSEWHERE = 2;
/// After this time a source that has not delivered is replaced. Long enough for a copy to pass a
/// slow link that several receivers share.
constexpr Milliseconds SOURCE_TIMEOUT{2000};
} // namespace

PlaceHash HashOf(const Common::DataCentreId& data_centre)
{
  return static_cast<PlaceHash>(XXH3_64bits(data_centre.Get().data(), data_centre.Get().size()));
}

void HandoverPlanner::Update(const VmId& vm, const Member& member)
{
  const auto [found, is_new] = m_members.try_emplace(vm);
  State& state = found->second;
  if (is_new)
    m_waiting += member.has_tables ? 0 : 1;
  else if (state.member.has_tables != member.has_tables)
    member.has_tables ? --m_waiting : ++m_waiting;
  state.member = member;
  if (member.has_tables)
    ReleaseSource(state);
}

void HandoverPlanner::Remove(const VmId& vm)
{
  const auto found = m_members.find(vm);
  if (found == m_members.end())
    return;
  ReleaseSource(found->second);
  m_waiting -= found->second.member.has_tables ? 0 : 1;
  m_members.erase(found);
}

void HandoverPlanner::ReleaseSource(State& receiver)
{
  if (!receiver.source)
    return;
  const auto source = m_members.find(*receiver.source);
  if (source != m_members.end() && source->second.receivers > 0)
    --source->second.receivers;
  receiver.source.reset();
}

void HandoverPlanner::ReleaseOverdue(Common::TimePoint now)
{
  for (auto& [vm, state] : m_members)
    if (state.source && now - state.assigned_at > SOURCE_TIMEOUT)
    {
      state.failed_source = state.source;
      ReleaseSource(state);
    }
}

std::map<PlaceHash, HandoverPlanner::Place> HandoverPlanner::ByPlace()
{
  std::map<PlaceHash, Place> places;
  for (auto& entry : m_members)
  {
    State& state = entry.second;
    Place& place = places[state.member.place];
    if (state.member.has_tables)
      place.sources.push_back(&entry);
    else if (!state.source)
      place.waiting.push_back(&entry);
    else if (const auto source = m_members.find(*state.source);
             source != m_members.end() && source->second.member.place != state.member.place)
      ++place.receiving_from_elsewhere;
  }
  return places;
}

bool HandoverPlanner::HasRoom(const State& source)
{
  return source.receivers < (source.member.is_strong ? MAX_RECEIVERS : MAX_RECEIVERS_OF_WEAK);
}

HandoverPlanner::Members::value_type*
HandoverPlanner::PickSource(const std::vector<Members::value_type*>& sources, const State& receiver)
{
  Members::value_type* best = nullptr;
  for (Members::value_type* source : sources)
  {
    const State& state = source->second;
    if (!HasRoom(state) || source->first == receiver.failed_source)
      continue;
    if (best == nullptr || std::tuple(state.receivers, !state.member.is_strong) <
                               std::tuple(best->second.receivers, !best->second.member.is_strong))
      best = source;
  }
  return best;
}

HandoverPlanner::Members::value_type*
HandoverPlanner::PickForeignSource(std::map<PlaceHash, Place>& places, const State& receiver)
{
  for (auto& [hash, place] : places)
    if (hash != receiver.member.place)
      if (auto* source = PickSource(place.sources, receiver))
        return source;
  return nullptr;
}

std::vector<VmId> HandoverPlanner::Assign(Common::TimePoint now)
{
  std::vector<VmId> assigned;
  if (m_waiting == 0)
    return assigned;
  ReleaseOverdue(now);
  std::map<PlaceHash, Place> places = ByPlace();
  for (auto& [hash, place] : places)
  {
    // Strong VMs come first, as they can serve more of the others.
    std::ranges::stable_partition(place.waiting, [](const auto* entry) {
      return entry->second.member.is_strong;
    });
    for (Members::value_type* receiver : place.waiting)
    {
      State& state = receiver->second;
      Members::value_type* source = PickSource(place.sources, state);
      const bool may_cross =
          place.sources.empty() && place.receiving_from_elsewhere < MAX_FROM_ELSEWHERE;
      if (source == nullptr && may_cross)
      {
        source = PickForeignSource(places, state);
        place.receiving_from_elsewhere += source == nullptr ? 0 : 1;
      }
      if (source == nullptr)
        break;
      state.source = source->first;
      state.assigned_at = now;
      ++source->second.receivers;
      assigned.push_back(receiver->first);
    }
  }
  return assigned;
}

std::optional<VmId> HandoverPlanner::SourceOf(const VmId& vm) const
{
  const auto found = m_members.find(vm);
  return found == m_members.end() ? std::nullopt : found->second.source;
}
} // namespace Fleet

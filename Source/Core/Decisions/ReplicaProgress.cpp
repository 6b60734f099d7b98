// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Decisions/ReplicaProgress.h"

#include <algorithm>
#include <ranges>

namespace Decisions
{
namespace
{
using Common::Milliseconds;
using Common::TimePoint;

Milliseconds Between(TimePoint from, TimePoint until)
{
  return std::max(std::chrono::floor<Milliseconds>(until - from), Milliseconds(0));
}

bool IsRecent(TimePoint moment, TimePoint now)
{
  return now - moment < ReplicaProgress::MEMORY;
}

/// Expected total wait of a request that has had no first event for `waited`. A wait that is longer
/// than the usual one is expected to last as long again: nothing shows that it ends soon.
Milliseconds ExpectedTotal(Milliseconds waited, Milliseconds usual)
{
  return waited <= usual ? usual : waited * 2;
}
} // namespace

const ReplicaProgress::State* ReplicaProgress::Find(const ReplicaId& replica) const
{
  const auto found = m_replicas.find(replica);
  return found == m_replicas.end() ? nullptr : &found->second;
}

std::optional<Milliseconds> ReplicaProgress::OldestWait(const State& state, TimePoint now) const
{
  if (state.open.empty())
    return std::nullopt;
  const TimePoint sent_at = std::ranges::min(state.open | std::views::values);
  return Between(std::max(sent_at, m_discarded_at), now);
}

void ReplicaProgress::NoteSent(const ReplicaId& replica, std::uint64_t request, TimePoint now)
{
  m_replicas[replica].open[request] = now;
}

std::optional<ReplicaProgress::ClosedRequest> ReplicaProgress::Close(const ReplicaId& replica,
                                                                     std::uint64_t request)
{
  const auto found = m_replicas.find(replica);
  if (found == m_replicas.end())
    return std::nullopt;
  const auto sent = found->second.open.extract(request);
  if (sent.empty())
    return std::nullopt;
  return ClosedRequest{found->second, sent.mapped()};
}

void ReplicaProgress::NoteFirstEvent(const ReplicaId& replica, std::uint64_t request, TimePoint now)
{
  const auto closed = Close(replica, request);
  if (!closed)
    return;
  closed->state.last = FirstEvent{now, Between(closed->sent_at, now)};
  closed->state.given_up.reset();
}

void ReplicaProgress::NoteEnded(const ReplicaId& replica, std::uint64_t request)
{
  Close(replica, request);
}

void ReplicaProgress::NoteGivenUp(const ReplicaId& replica, std::uint64_t request, TimePoint now)
{
  const auto closed = Close(replica, request);
  if (!closed)
    return;
  const auto waited = Between(std::max(closed->sent_at, m_discarded_at), now);
  std::optional<GivenUp>& given_up = closed->state.given_up;
  given_up = GivenUp{now, given_up ? std::max(given_up->waited, waited) : waited};
}

void ReplicaProgress::NoteTick(TimePoint now)
{
  const bool was_paused = m_last_tick && now - *m_last_tick > MAX_TICK_GAP;
  m_last_tick = now;
  if (was_paused)
  {
    m_discarded_at = now;
    for (auto& [replica, state] : m_replicas)
      state.given_up.reset();
  }
  std::erase_if(m_replicas, [now](const auto& entry) {
    const State& state = entry.second;
    const bool is_known = (state.last && IsRecent(state.last->at, now)) ||
                          (state.given_up && IsRecent(state.given_up->at, now));
    return state.open.empty() && !is_known;
  });
}

void ReplicaProgress::Forget(const Common::VmId& server)
{
  std::erase_if(m_replicas, [&server](const auto& entry) {
    return entry.first.first == server;
  });
}

bool ReplicaProgress::IsLate(const ReplicaId& replica, Milliseconds latency_target,
                             TimePoint now) const
{
  const State* state = Find(replica);
  if (state == nullptr || (state->last && now - state->last->at <= latency_target))
    return false;
  const auto wait = OldestWait(*state, now);
  if (wait && *wait > latency_target)
    return true;
  return state->given_up && IsRecent(state->given_up->at, now) &&
         state->given_up->waited > latency_target;
}

std::optional<Milliseconds> ReplicaProgress::ExpectedFirstEvent(const ReplicaId& replica,
                                                                TimePoint now) const
{
  const State* state = Find(replica);
  if (state == nullptr)
    return std::nullopt;
  std::optional<Milliseconds> usual;
  if (state->last && IsRecent(state->last->at, now))
    usual = state->last->took;
  std::optional<Milliseconds> longest;
  if (state->given_up && IsRecent(state->given_up->at, now))
    longest = state->given_up->waited;
  // While first events arrive, the latest of them tells more than the request that waits longest.
  const auto wait = OldestWait(*state, now);
  if (wait && (!state->last || Between(state->last->at, now) >= *wait))
    longest = std::max(longest.value_or(*wait), *wait);
  return longest ? ExpectedTotal(*longest, usual.value_or(Milliseconds(0))) : usual;
}

std::size_t ReplicaProgress::CountOpen(const ReplicaId& replica) const
{
  const State* state = Find(replica);
  return state == nullptr ? 0 : state->open.size();
}

bool ReplicaProgress::HasOpen() const
{
  return std::ranges::any_of(m_replicas, [](const auto& entry) {
    return !entry.second.open.empty();
  });
}
} // namespace Decisions

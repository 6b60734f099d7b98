// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "RateLimits/LimitRegistry.h"

#include <algorithm>

namespace RateLimits
{
namespace
{
using Common::Milliseconds;

/// How long the holder announces that a limit has ended. A daemon that receives updates less often
/// relies on the responses that it gets itself.
constexpr Milliseconds ANNOUNCE_ENDED_FOR{10000};
/// Maximum age of an observation. A daemon that was suspended for longer after reading a response
/// may have missed newer ones.
constexpr Milliseconds MAX_OBSERVATION_AGE{1000};
/// An observation that the holder has not confirmed within this time was too old for it.
constexpr Milliseconds CONFIRMATION_TIMEOUT{2000};

bool IsStricter(std::optional<RequestRate> rate, std::optional<RequestRate> than)
{
  return rate && (!than || *rate < *than);
}
} // namespace

std::optional<RequestRate> LimitRegistry::CurrentLimit(ServerKey server) const
{
  const auto found = m_entries.find(server);
  return found == m_entries.end() ? std::nullopt : found->second.rate;
}

std::optional<Common::TimePoint> LimitRegistry::LimitedSince(ServerKey server) const
{
  const auto found = m_entries.find(server);
  if (found == m_entries.end() || !found->second.rate)
    return std::nullopt;
  return found->second.limited_since;
}

LimitChange LimitRegistry::Set(ServerKey server, Entry& entry, std::optional<RequestRate> rate,
                               Common::TimePoint now)
{
  ++m_revision;
  const LimitChange change{server, entry.rate, rate};
  if (!entry.rate)
    entry.limited_since = now;
  entry.rate = rate;
  entry.learned_at = now;
  return change;
}

std::optional<LimitChange> LimitRegistry::NoteResponse(ServerKey server,
                                                       const LimitReading& reading,
                                                       Common::TimePoint sent_at,
                                                       Common::TimePoint now)
{
  const bool is_unreadable = !reading.readable && !reading.rate;
  const auto found = m_entries.find(server);
  const std::optional<RequestRate> known =
      found == m_entries.end() ? std::nullopt : found->second.rate;
  if (is_unreadable || reading.rate == known)
    return std::nullopt;
  Entry& entry = m_entries[server];
  if (!IsStricter(reading.rate, entry.rate) && sent_at <= entry.learned_at)
    return std::nullopt;
  if (m_is_holder)
    ++entry.version;
  entry.confirmed = m_is_holder;
  return Set(server, entry, reading.rate, now);
}

std::vector<LimitObservation> LimitRegistry::Unconfirmed(Common::TimePoint now) const
{
  std::vector<LimitObservation> observations;
  for (const auto& [server, entry] : m_entries)
  {
    const auto age = std::chrono::floor<Milliseconds>(now - entry.learned_at);
    if (!entry.confirmed)
      observations.push_back({server, ToWire(entry.rate), entry.version, age.count()});
  }
  return observations;
}

std::vector<LimitChange> LimitRegistry::ApplyUpdate(std::int64_t tenure, const LimitUpdate& update,
                                                    Common::TimePoint now)
{
  std::vector<LimitChange> changes;
  if (tenure < m_tenure)
    return changes;
  if (tenure > m_tenure)
    for (auto& [server, entry] : m_entries)
    {
      // The new holder may not know this limit.
      entry.version = 0;
      entry.confirmed = !entry.rate;
    }
  m_tenure = tenure;
  for (const LimitLine& line : update.lines)
  {
    Entry& entry = m_entries[line.server];
    const bool waits_for_holder = !entry.confirmed && now - entry.learned_at < CONFIRMATION_TIMEOUT;
    if (line.version < entry.version ||
        (line.version == entry.version && (entry.confirmed || waits_for_holder)))
      continue;
    entry.version = line.version;
    entry.confirmed = true;
    const auto rate = FromWire(line.rate);
    if (rate != entry.rate)
      changes.push_back(Set(line.server, entry, rate, now));
  }
  const auto has_ended = [&](ServerKey server, const Entry& entry) {
    return entry.confirmed && update.Covers(server) &&
           !std::ranges::binary_search(update.lines, server, {}, &LimitLine::server);
  };
  for (auto& [server, entry] : m_entries)
    if (entry.rate && has_ended(server, entry))
      changes.push_back(Set(server, entry, std::nullopt, now));
  std::erase_if(m_entries, [&](const auto& item) {
    return !item.second.rate && has_ended(item.first, item.second);
  });
  return changes;
}

void LimitRegistry::BeginTenure(std::int64_t tenure)
{
  m_tenure = tenure;
  m_is_holder = true;
  for (auto& [server, entry] : m_entries)
  {
    ++entry.version;
    entry.confirmed = true;
  }
}

std::vector<LimitChange> LimitRegistry::ApplyObservations(
    std::int64_t tenure, std::span<const LimitObservation> observations, Common::TimePoint now)
{
  std::vector<LimitChange> changes;
  for (const LimitObservation& observation : observations)
  {
    const auto rate = FromWire(observation.rate);
    if (rate == CurrentLimit(observation.server))
      continue;
    Entry& entry = m_entries[observation.server];
    const bool is_current = tenure == m_tenure && observation.seen_version == entry.version &&
                            observation.age_ms < MAX_OBSERVATION_AGE.count();
    if (!is_current && !IsStricter(rate, entry.rate))
      continue;
    ++entry.version;
    entry.confirmed = true;
    changes.push_back(Set(observation.server, entry, rate, now));
  }
  return changes;
}

LimitUpdate LimitRegistry::NextUpdate(std::size_t max_lines, Common::TimePoint now)
{
  std::erase_if(m_entries, [&](const auto& item) {
    return !item.second.rate && now - item.second.learned_at > ANNOUNCE_ENDED_FOR;
  });
  LimitUpdate update;
  update.after = m_sent_up_to;
  auto next = m_entries.upper_bound(m_sent_up_to);
  for (; next != m_entries.end() && update.lines.size() < max_lines; ++next)
    update.lines.push_back({next->first, ToWire(next->second.rate), next->second.version});
  const bool is_last = next == m_entries.end();
  update.up_to = is_last ? LAST_KEY : update.lines.back().server;
  m_sent_up_to = is_last ? FIRST_KEY : update.up_to;
  return update;
}

void LimitRegistry::Retain(const std::function<bool(ServerKey)>& is_known)
{
  std::erase_if(m_entries, [&](const auto& item) {
    return !is_known(item.first);
  });
}
} // namespace RateLimits

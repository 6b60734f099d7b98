// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "RateLimits/LimitBook.h"

#include <algorithm>

namespace RateLimits
{
namespace
{
using Common::Milliseconds;

/// How long the holder announces that a limit has ended. A daemon that receives updates less often
/// relies on the responses that it gets itself.
constexpr Milliseconds TELL_ENDED_FOR{10000};
/// Maximum age of an observation. A daemon that was suspended for longer after reading a response
/// may have missed newer ones.
constexpr Milliseconds OBSERVATION_VALID{1000};
/// An observation that the holder has not confirmed within this time was too old for it.
constexpr Milliseconds ANSWERED_WITHIN{2000};

bool IsStricter(std::optional<RequestRate> rate, std::optional<RequestRate> than)
{
  return rate && (!than || *rate < *than);
}
} // namespace

std::optional<RequestRate> LimitBook::InForce(ServerKey server) const
{
  const auto found = m_entries.find(server);
  return found == m_entries.end() ? std::nullopt : found->second.rate;
}

std::optional<Common::TimePoint> LimitBook::LimitedSince(ServerKey server) const
{
  const auto found = m_entries.find(server);
  if (found == m_entries.end() || !found->second.rate)
    return std::nullopt;
  return found->second.limited_since;
}

LimitChange LimitBook::Set(ServerKey server, Entry& entry, std::optional<RequestRate> rate,
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

std::optional<LimitChange> LimitBook::NoteAnswer(ServerKey server, const LimitReading& reading,
                                                 Common::TimePoint sent_at, Common::TimePoint now)
{
  const bool says_nothing = !reading.readable && !reading.rate;
  const auto found = m_entries.find(server);
  const std::optional<RequestRate> known =
      found == m_entries.end() ? std::nullopt : found->second.rate;
  if (says_nothing || reading.rate == known)
    return std::nullopt;
  Entry& entry = m_entries[server];
  if (!IsStricter(reading.rate, entry.rate) && sent_at <= entry.learned_at)
    return std::nullopt;
  if (m_is_holder)
    ++entry.version;
  entry.confirmed = m_is_holder;
  return Set(server, entry, reading.rate, now);
}

std::vector<LimitObservation> LimitBook::Unconfirmed(Common::TimePoint now) const
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

std::vector<LimitChange> LimitBook::TakeNews(std::int64_t tenure, const LimitNews& news,
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
  for (const LimitLine& line : news.lines)
  {
    Entry& entry = m_entries[line.server];
    const bool waits_for_holder = !entry.confirmed && now - entry.learned_at < ANSWERED_WITHIN;
    if (line.version < entry.version ||
        (line.version == entry.version && (entry.confirmed || waits_for_holder)))
      continue;
    entry.version = line.version;
    entry.confirmed = true;
    const auto rate = FromWire(line.rate);
    if (rate != entry.rate)
      changes.push_back(Set(line.server, entry, rate, now));
  }
  const auto is_over = [&](ServerKey server, const Entry& entry) {
    return entry.confirmed && news.Covers(server) &&
           !std::ranges::binary_search(news.lines, server, {}, &LimitLine::server);
  };
  for (auto& [server, entry] : m_entries)
    if (entry.rate && is_over(server, entry))
      changes.push_back(Set(server, entry, std::nullopt, now));
  std::erase_if(m_entries, [&](const auto& item) {
    return !item.second.rate && is_over(item.first, item.second);
  });
  return changes;
}

void LimitBook::BeginTenure(std::int64_t tenure)
{
  m_tenure = tenure;
  m_is_holder = true;
  for (auto& [server, entry] : m_entries)
  {
    ++entry.version;
    entry.confirmed = true;
  }
}

std::vector<LimitChange> LimitBook::TakeObservations(std::int64_t tenure,
                                                     std::span<const LimitObservation> observations,
                                                     Common::TimePoint now)
{
  std::vector<LimitChange> changes;
  for (const LimitObservation& observation : observations)
  {
    const auto rate = FromWire(observation.rate);
    if (rate == InForce(observation.server))
      continue;
    Entry& entry = m_entries[observation.server];
    const bool knew_all = tenure == m_tenure && observation.seen_version == entry.version &&
                          observation.age_ms < OBSERVATION_VALID.count();
    if (!knew_all && !IsStricter(rate, entry.rate))
      continue;
    ++entry.version;
    entry.confirmed = true;
    changes.push_back(Set(observation.server, entry, rate, now));
  }
  return changes;
}

LimitNews LimitBook::NextNews(std::size_t max_lines, Common::TimePoint now)
{
  std::erase_if(m_entries, [&](const auto& item) {
    return !item.second.rate && now - item.second.learned_at > TELL_ENDED_FOR;
  });
  LimitNews news;
  news.after = m_told_up_to;
  auto next = m_entries.upper_bound(m_told_up_to);
  for (; next != m_entries.end() && news.lines.size() < max_lines; ++next)
    news.lines.push_back({next->first, ToWire(next->second.rate), next->second.version});
  const bool is_last = next == m_entries.end();
  news.up_to = is_last ? LAST_KEY : news.lines.back().server;
  m_told_up_to = is_last ? FIRST_KEY : news.up_to;
  return news;
}

void LimitBook::Retain(const std::function<bool(ServerKey)>& is_known)
{
  std::erase_if(m_entries, [&](const auto& item) {
    return !is_known(item.first);
  });
}
} // namespace RateLimits

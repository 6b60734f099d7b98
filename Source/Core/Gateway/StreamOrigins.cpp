// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/StreamOrigins.h"

#include <algorithm>
#include <iterator>
#include <ranges>

#include <xxhash.h>

#include "Crashes/Fingerprint.h"

namespace Gateway
{
StreamKey KeyOf(const Accounts::AccountName& account, std::string_view request)
{
  return StreamKey(Crashes::DigestOfFields({account.Get(), request}).low);
}

VersionKey KeyOf(const PoolId& pool, const SoftwareVersion& version)
{
  const std::uint64_t of_pool = XXH3_64bits(pool.Get().data(), pool.Get().size());
  return VersionKey(static_cast<std::uint32_t>(
      XXH3_64bits_withSeed(version.Get().data(), version.Get().size(), of_pool)));
}

bool StreamOrigins::Note(StreamKey stream, const StreamOrigin& origin, Common::TimePoint now)
{
  DropOld(now);
  const auto known = m_entries.find(stream);
  const bool is_current = known != m_entries.end() &&
                          known->second.origin.version == origin.version &&
                          now - known->second.noted_at < REFRESH_INTERVAL;
  if (is_current)
    return false;
  Put(stream, {origin, now, false});
  m_uncopied.insert(stream);
  return true;
}

void StreamOrigins::Merge(StreamKey stream, const StreamOrigin& origin, Common::TimePoint noted_at,
                          Common::TimePoint now)
{
  DropOld(now);
  const auto known = m_entries.find(stream);
  if (known != m_entries.end() && known->second.noted_at >= noted_at)
    return;
  Put(stream, {origin, std::min(noted_at, now), true});
}

void StreamOrigins::MarkCopied(StreamKey stream)
{
  m_uncopied.erase(stream);
  if (const auto known = m_entries.find(stream); known != m_entries.end())
    known->second.copied = true;
}

void StreamOrigins::MarkUncopied(StreamKey stream)
{
  const auto known = m_entries.find(stream);
  if (known == m_entries.end())
    return;
  known->second.copied = false;
  m_uncopied.insert(stream);
}

std::optional<StreamOrigins::Entry> StreamOrigins::Find(StreamKey stream, Common::TimePoint now)
{
  DropOld(now);
  const auto found = m_entries.find(stream);
  return found == m_entries.end() ? std::nullopt : std::optional(found->second);
}

std::vector<std::pair<StreamKey, StreamOrigins::Entry>> StreamOrigins::InRange(StreamKey first,
                                                                               StreamKey last) const
{
  return {m_entries.lower_bound(first), m_entries.upper_bound(last)};
}

std::vector<StreamKey> StreamOrigins::Uncopied(std::size_t limit) const
{
  std::vector<StreamKey> result;
  std::ranges::copy(m_uncopied | std::views::take(limit), std::back_inserter(result));
  return result;
}

void StreamOrigins::Put(StreamKey stream, const Entry& entry)
{
  m_entries.insert_or_assign(stream, entry);
  const auto later = std::ranges::upper_bound(m_noted, entry.noted_at, {}, &Noted::at);
  m_noted.insert(later, {entry.noted_at, stream});
}

void StreamOrigins::DropOld(Common::TimePoint now)
{
  while (!m_noted.empty() &&
         (now - m_noted.front().at >= RETENTION || m_entries.size() > MAX_STREAMS))
  {
    const auto entry = m_entries.find(m_noted.front().stream);
    if (entry != m_entries.end() && entry->second.noted_at == m_noted.front().at)
    {
      m_uncopied.erase(entry->first);
      m_entries.erase(entry);
    }
    m_noted.pop_front();
  }
}
} // namespace Gateway

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Fleet/MemberList.h"

#include <algorithm>
#include <array>
#include <iterator>

#include <xxhash.h>

namespace Fleet
{
namespace
{
std::uint64_t HashOf(const ListedDaemon& daemon)
{
  const std::array<std::uint32_t, 4> fields{daemon.messages.address, daemon.messages.port,
                                            daemon.place, daemon.run};
  return XXH3_64bits(fields.data(), sizeof(fields));
}

/// Independent of the order of the daemons.
std::uint64_t ChecksumOf(std::span<const ListedDaemon> daemons)
{
  std::uint64_t checksum = 0;
  for (const ListedDaemon& daemon : daemons)
    checksum ^= HashOf(daemon);
  return checksum;
}
} // namespace

MemberList::Change MemberList::Assign(std::vector<ListedDaemon> daemons)
{
  std::ranges::sort(daemons);
  Change change;
  std::ranges::set_difference(daemons, m_daemons, std::back_inserter(change.added));
  std::ranges::set_difference(m_daemons, daemons, std::back_inserter(change.removed));
  m_daemons = std::move(daemons);
  m_checksum = ChecksumOf(m_daemons);
  return change;
}

void MemberList::Apply(const Change& change)
{
  std::vector<ListedDaemon> daemons = m_daemons;
  std::erase_if(daemons, [&](const ListedDaemon& daemon) {
    return std::ranges::find(change.removed, daemon) != change.removed.end();
  });
  for (const ListedDaemon& daemon : change.added)
    if (std::ranges::find(daemons, daemon) == daemons.end())
      daemons.push_back(daemon);
  Assign(std::move(daemons));
}

bool MemberList::Contains(const Http::Endpoint& messages) const
{
  return PlaceOf(messages).has_value();
}

std::optional<PlaceHash> MemberList::PlaceOf(const Http::Endpoint& messages) const
{
  const auto found = std::ranges::lower_bound(m_daemons, messages, {}, &ListedDaemon::messages);
  if (found == m_daemons.end() || found->messages != messages)
    return std::nullopt;
  return found->place;
}
} // namespace Fleet

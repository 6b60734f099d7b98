// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Orders/OriginPlacement.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <map>
#include <tuple>

#include <xxhash.h>

namespace Orders
{
namespace
{
using Fleet::ListedDaemon;

constexpr int GROUP_BITS = 10;
static_assert(ORIGIN_GROUPS == std::size_t{1} << GROUP_BITS);
constexpr int KEY_BITS = 64;

/// The weights of rendezvous hashing. They do not depend on the daemon's run, so that a daemon that
/// restarts gets the same streams.
std::uint64_t WeightOf(OriginGroup group, const ListedDaemon& daemon)
{
  const std::array<std::uint32_t, 3> fields{static_cast<std::uint32_t>(group),
                                            daemon.messages.address, daemon.messages.port};
  return XXH3_64bits(fields.data(), sizeof(fields));
}

struct Ranked
{
  std::uint64_t weight = 0;
  ListedDaemon daemon;
};

/// Highest weight first.
std::vector<Ranked> Rank(std::span<const ListedDaemon> daemons, OriginGroup group)
{
  std::vector<Ranked> ranked;
  ranked.reserve(daemons.size());
  std::ranges::transform(daemons, std::back_inserter(ranked), [&](const ListedDaemon& daemon) {
    return Ranked{WeightOf(group, daemon), daemon};
  });
  std::ranges::sort(ranked, [](const Ranked& left, const Ranked& right) {
    return std::tie(right.weight, right.daemon) < std::tie(left.weight, left.daemon);
  });
  return ranked;
}
} // namespace

OriginGroup GroupOf(Gateway::StreamKey stream)
{
  return OriginGroup(static_cast<std::uint64_t>(stream) >> (KEY_BITS - GROUP_BITS));
}

OriginShard ShardOf(Gateway::StreamKey stream)
{
  return OriginShard(static_cast<std::size_t>(GroupOf(stream)) / (ORIGIN_GROUPS / ORIGIN_SHARDS));
}

OriginGroup FirstGroupOf(OriginShard shard)
{
  return OriginGroup(static_cast<std::size_t>(shard) * (ORIGIN_GROUPS / ORIGIN_SHARDS));
}

std::pair<Gateway::StreamKey, Gateway::StreamKey> KeysOf(OriginGroup group)
{
  const std::uint64_t first = static_cast<std::uint64_t>(group) << (KEY_BITS - GROUP_BITS);
  const std::uint64_t last = first | (~std::uint64_t{0} >> GROUP_BITS);
  return {Gateway::StreamKey(first), Gateway::StreamKey(last)};
}

CopyPlacement::CopyPlacement(std::span<const ListedDaemon> daemons, OriginGroup group)
{
  constexpr std::size_t KEPT_PER_PLACE = ORIGIN_COPIES + 1;
  const auto by_weight = [](const Ranked& left, const Ranked& right) {
    return std::tie(right.weight, right.daemon) < std::tie(left.weight, left.daemon);
  };
  std::map<Fleet::PlaceHash, std::vector<Ranked>> first;
  for (const ListedDaemon& listed : daemons)
  {
    std::vector<Ranked>& in_place = first[listed.place];
    const Ranked ranked{WeightOf(group, listed), listed.messages, listed.place};
    if (in_place.size() == KEPT_PER_PLACE && by_weight(in_place.back(), ranked))
      continue;
    in_place.insert(std::ranges::upper_bound(in_place, ranked, by_weight), ranked);
    in_place.resize(std::min(in_place.size(), KEPT_PER_PLACE));
  }
  for (const auto& [place, in_place] : first)
    std::ranges::copy(in_place, std::back_inserter(m_first));
  std::ranges::sort(m_first, by_weight);
}

std::vector<Http::Endpoint> CopyPlacement::DaemonsFor(const Http::Endpoint& daemon,
                                                      Fleet::PlaceHash place) const
{
  std::vector<Http::Endpoint> result;
  const auto add_first = [&](auto matches) {
    const auto found = std::ranges::find_if(m_first, [&](const Ranked& ranked) {
      return ranked.daemon != daemon && matches(ranked) &&
             std::ranges::find(result, ranked.daemon) == result.end();
    });
    if (found != m_first.end())
      result.push_back(found->daemon);
  };
  add_first([place](const Ranked& ranked) {
    return ranked.place == place;
  });
  add_first([place](const Ranked& ranked) {
    return ranked.place != place;
  });
  // All other daemons may be in the same data centre, or all in others.
  while (result.size() < ORIGIN_COPIES)
  {
    const std::size_t before = result.size();
    add_first([](const Ranked&) {
      return true;
    });
    if (result.size() == before)
      break;
  }
  return result;
}

std::vector<Http::Endpoint> DaemonsForCopies(std::span<const ListedDaemon> daemons,
                                             OriginGroup group, const Http::Endpoint& daemon,
                                             Fleet::PlaceHash place)
{
  return CopyPlacement(daemons, group).DaemonsFor(daemon, place);
}

std::vector<Http::Endpoint> DaemonsToAsk(std::span<const ListedDaemon> daemons, OriginGroup group,
                                         const Http::Endpoint& asking)
{
  const std::vector<Ranked> ranked = Rank(daemons, group);
  std::map<Fleet::PlaceHash, std::size_t> asked_in_place;
  std::vector<Http::Endpoint> result;
  std::vector<Http::Endpoint> spare;
  for (const Ranked& entry : ranked)
  {
    if (entry.daemon.messages == asking)
      continue;
    const bool is_first = asked_in_place[entry.daemon.place]++ < ASKED_PER_PLACE;
    (is_first ? result : spare).push_back(entry.daemon.messages);
  }
  const std::size_t missing = MIN_ASKED - std::min(MIN_ASKED, result.size());
  std::ranges::copy_n(spare.begin(), static_cast<std::ptrdiff_t>(std::min(missing, spare.size())),
                      std::back_inserter(result));
  return result;
}
} // namespace Orders

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Orders/HelperPlan.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "Common/Random.h"

namespace Orders
{
namespace
{
/// Appends `count` elements of the circular list, from position `begin` on.
void AppendWindow(const std::vector<Http::Endpoint>& list, std::size_t begin, std::size_t count,
                  std::vector<Http::Endpoint>& result)
{
  for (std::size_t i = 0; i < count; ++i)
    result.push_back(list[(begin + i) % list.size()]);
}

std::vector<Http::Endpoint> HelpersElsewhere(const DaemonsByPlace& daemons, Fleet::PlaceHash place,
                                             const std::set<Http::Endpoint>& unfit)
{
  std::vector<Http::Endpoint> elsewhere;
  for (const auto& [other, members] : daemons)
    if (other != place)
      std::ranges::copy_if(members, std::back_inserter(elsewhere), [&](const auto& daemon) {
        return !unfit.contains(daemon);
      });
  std::ranges::shuffle(elsewhere, Common::SharedRandom());
  return elsewhere;
}
} // namespace

std::map<Http::Endpoint, std::vector<Http::Endpoint>>
PlanHelpers(DaemonsByPlace daemons, const std::set<Http::Endpoint>& unfit)
{
  // Where nobody reaches a server, the servers are down, or some daemon is about to reach them.
  const bool all_unfit = std::ranges::all_of(daemons, [&](const auto& entry) {
    return std::ranges::all_of(entry.second, [&](const Http::Endpoint& daemon) {
      return unfit.contains(daemon);
    });
  });
  if (all_unfit && !unfit.empty())
    return PlanHelpers(std::move(daemons));
  std::map<Http::Endpoint, std::vector<Http::Endpoint>> plan;
  for (auto& [place, near] : daemons)
  {
    std::ranges::shuffle(near, Common::SharedRandom());
    const auto others = std::ranges::partition(near, [&](const Http::Endpoint& daemon) {
      return !unfit.contains(daemon);
    });
    const std::vector<Http::Endpoint> sound(near.begin(), others.begin());
    const std::vector<Http::Endpoint> far = HelpersElsewhere(daemons, place, unfit);
    for (std::size_t i = 0; i < near.size(); ++i)
    {
      // Of its own data centre, a daemon that can help gets the others, an unfit one all.
      const std::size_t self = i < sound.size() ? 1 : 0;
      const std::size_t near_count = std::min(NEAR_HELPERS, sound.size() - self);
      const std::size_t far_count = std::min(MAX_HELPERS - near_count, far.size());
      std::vector<Http::Endpoint>& helpers = plan[near[i]];
      AppendWindow(sound, i + self, near_count, helpers);
      AppendWindow(far, i * far_count, far_count, helpers);
    }
  }
  return plan;
}
} // namespace Orders

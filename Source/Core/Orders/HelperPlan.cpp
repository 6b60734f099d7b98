// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Orders/HelperPlan.h"

#include <algorithm>
#include <iterator>

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

std::vector<Http::Endpoint> DaemonsElsewhere(const DaemonsByPlace& daemons, Fleet::PlaceHash place)
{
  std::vector<Http::Endpoint> elsewhere;
  for (const auto& [other, members] : daemons)
    if (other != place)
      std::ranges::copy(members, std::back_inserter(elsewhere));
  std::ranges::shuffle(elsewhere, Common::SharedRandom());
  return elsewhere;
}
} // namespace

std::map<Http::Endpoint, std::vector<Http::Endpoint>> PlanHelpers(DaemonsByPlace daemons)
{
  std::map<Http::Endpoint, std::vector<Http::Endpoint>> plan;
  for (auto& [place, near] : daemons)
  {
    std::ranges::shuffle(near, Common::SharedRandom());
    const std::vector<Http::Endpoint> far = DaemonsElsewhere(daemons, place);
    const std::size_t near_count = std::min(NEAR_HELPERS, near.size() - 1);
    const std::size_t far_count = std::min(MAX_HELPERS - near_count, far.size());
    for (std::size_t i = 0; i < near.size(); ++i)
    {
      std::vector<Http::Endpoint>& helpers = plan[near[i]];
      AppendWindow(near, i + 1, near_count, helpers);
      AppendWindow(far, i * far_count, far_count, helpers);
    }
  }
  return plan;
}
} // namespace Orders

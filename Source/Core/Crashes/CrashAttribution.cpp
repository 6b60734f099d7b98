// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Crashes/CrashAttribution.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <vector>

namespace Crashes
{
namespace
{
/// Bounds of the search for the smallest sets, some ten thousand steps.
constexpr std::size_t MAX_CULPRITS = 3;
constexpr std::size_t MAX_CANDIDATES = 40;

using Suspects = std::map<ServerInstance, std::set<Fingerprint>>;
using Members = std::vector<CrashesByRequest::const_iterator>;

Suspects SuspectsOf(const CrashesByRequest& crashes)
{
  Suspects suspects;
  for (const auto& [request, servers] : crashes)
    for (const auto& [server, progress] : servers)
      suspects[server].insert(request);
  return suspects;
}

/// The same without the responding suspects of a crash that has others.
Suspects LikelySuspectsOf(const CrashesByRequest& crashes)
{
  Suspects suspects = SuspectsOf(crashes);
  for (auto& [server, requests] : suspects)
  {
    const auto is_responding = [&](const Fingerprint& request) {
      return crashes.at(request).at(server) == Progress::Responding;
    };
    if (!std::ranges::all_of(requests, is_responding))
      std::erase_if(requests, is_responding);
  }
  return suspects;
}

/// Removes the crashes that a request explains.
void Explain(CrashesByRequest& unexplained, const CrashesByRequest::mapped_type& explained)
{
  for (auto& [request, left] : unexplained)
    std::erase_if(left, [&](const auto& crash) {
      return explained.contains(crash.first);
    });
}

/// Removes the requests that are the only suspect of a crash, with all crashes that they explain.
void TakeOnlySuspects(CrashesByRequest& unexplained)
{
  for (const auto& [server, requests] : SuspectsOf(unexplained))
  {
    if (requests.size() != 1)
      continue;
    const auto culprit = unexplained.extract(*requests.begin());
    if (!culprit.empty())
      Explain(unexplained, culprit.mapped());
  }
}

/// Removes the requests without any unexplained crash, and returns them.
std::set<Fingerprint> TakeRedundant(CrashesByRequest& unexplained)
{
  std::set<Fingerprint> redundant;
  std::erase_if(unexplained, [&](const auto& entry) {
    if (entry.second.empty())
      redundant.insert(entry.first);
    return entry.second.empty();
  });
  return redundant;
}

/// Adds the members of all sets that consist of `chosen` and `more` further requests from `next` on
/// and explain every crash.
void AddExplanations(const CrashesByRequest& all, CrashesByRequest::const_iterator next,
                     std::size_t more, Members& chosen, const Suspects& suspects,
                     std::set<Fingerprint>& members)
{
  if (more == 0)
  {
    const bool explains_all = std::ranges::all_of(suspects, [&](const auto& crash) {
      return std::ranges::any_of(chosen, [&](const auto& request) {
        return crash.second.contains(request->first);
      });
    });
    if (explains_all)
      for (const auto& request : chosen)
        members.insert(request->first);
    return;
  }
  for (; next != all.end(); ++next)
  {
    chosen.push_back(next);
    AddExplanations(all, std::next(next), more - 1, chosen, suspects, members);
    chosen.pop_back();
  }
}

/// Extracts the requests that share crashes with the first one, directly or through others.
CrashesByRequest ExtractGroup(CrashesByRequest& from)
{
  CrashesByRequest group;
  group.insert(from.extract(from.begin()));
  auto servers = group.begin()->second;
  const auto shares_crash = [&](const auto& entry) {
    return std::ranges::any_of(entry.second, [&](const auto& crash) {
      return servers.contains(crash.first);
    });
  };
  for (auto found = std::ranges::find_if(from, shares_crash); found != from.end();
       found = std::ranges::find_if(from, shares_crash))
  {
    servers.insert(found->second.begin(), found->second.end());
    group.insert(from.extract(found));
  }
  return group;
}

/// The members of all smallest sets that explain every crash of the group; empty if those are too
/// large to be found.
std::set<Fingerprint> MembersOfSmallestExplanations(const CrashesByRequest& group)
{
  std::set<Fingerprint> members;
  if (group.size() > MAX_CANDIDATES)
    return members;
  const Suspects suspects = LikelySuspectsOf(group);
  for (std::size_t size = 1; size <= MAX_CULPRITS && members.empty(); ++size)
  {
    Members chosen;
    AddExplanations(group, group.begin(), size, chosen, suspects, members);
  }
  return members;
}
} // namespace

std::set<Fingerprint> FindBystanders(const CrashesByRequest& crashes)
{
  CrashesByRequest unexplained = crashes;
  TakeOnlySuspects(unexplained);
  std::set<Fingerprint> bystanders = TakeRedundant(unexplained);
  while (!unexplained.empty())
  {
    const CrashesByRequest group = ExtractGroup(unexplained);
    const std::set<Fingerprint> members = MembersOfSmallestExplanations(group);
    if (members.empty())
      continue;
    for (const auto& [request, servers] : group)
      if (!members.contains(request))
        bystanders.insert(request);
  }
  return bystanders;
}
} // namespace Crashes

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Common/Mechanisms.h"

#include <algorithm>
#include <array>
#include <bitset>
#include <string>
#include <utility>

namespace Common
{
namespace
{
using Name = std::pair<std::string_view, Mechanism>;

constexpr std::array<Name, 12> NAMES{{
    {"affinity", Mechanism::Affinity},
    {"remote-load", Mechanism::RemoteLoad},
    {"spare-replicas", Mechanism::SpareReplicas},
    {"turns", Mechanism::Turns},
    {"disk-wait", Mechanism::DiskWait},
    {"ejection", Mechanism::Ejection},
    {"silence-detector", Mechanism::SilenceDetector},
    {"budget-slack", Mechanism::BudgetSlack},
    {"resumption", Mechanism::Resumption},
    {"relayed-tables", Mechanism::RelayedTables},
    {"strong-first", Mechanism::StrongFirst},
    {"gathered-changes", Mechanism::GatheredChanges},
}};

std::bitset<NAMES.size()> s_disabled;

std::string JoinMechanismNames()
{
  std::string names;
  for (const Name& name : NAMES)
    names += (names.empty() ? "" : ", ") + std::string(name.first);
  return names;
}
} // namespace

Result<Done> DisableMechanisms(std::string_view list)
{
  std::bitset<NAMES.size()> off;
  while (!list.empty())
  {
    const auto comma = std::min(list.find(','), list.size());
    const std::string_view entry = list.substr(0, comma);
    list.remove_prefix(std::min(comma + 1, list.size()));
    const auto found = std::ranges::find(NAMES, entry, &Name::first);
    if (found == NAMES.end())
      return {FailureKind::InvalidInput, "without: unknown mechanism \"" + std::string(entry) +
                                             "\"; known: " + JoinMechanismNames()};
    off.set(static_cast<std::size_t>(found->second));
  }
  s_disabled = off;
  return Done{};
}

bool IsOn(Mechanism mechanism)
{
  return !s_disabled.test(static_cast<std::size_t>(mechanism));
}
} // namespace Common

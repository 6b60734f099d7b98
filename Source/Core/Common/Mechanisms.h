// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <string_view>

#include "Common/Failure.h"

/// Mechanisms that can be disabled individually to measure the effect of each. All are enabled
/// unless listed in the setting `without`, which has no other purpose for operators.
namespace Common
{
enum class Mechanism : std::uint8_t
{
  Affinity,        ///< Requests with the same prefix go to the same replica.
  RemoteLoad,      ///< Requests of other daemons count against the capacity of a server.
  SpareReplicas,   ///< A frequently requested model keeps a second replica.
  Turns,           ///< A model that has waited for long may evict one in use.
  DiskWait,        ///< The plan waits for a busy server that has the model on disk.
  Ejection,        ///< A failing server temporarily gets no requests.
  SilenceDetector, ///< A server with open requests that sends nothing gets no new ones.
  BudgetSlack,     ///< Daemons share the unused retry budget.
  Resumption,      ///< An interrupted stream is continued on another server.
  RelayedTables,   ///< The holder forwards the tables that it reads from the platform's store.
  StrongFirst,     ///< Weak VMs leave a free lease to strong ones.
  GatheredChanges, ///< Table changes between two calls to the store are batched.
};

/// Disables exactly the mechanisms in a list such as "affinity,turns"; an empty list enables all.
/// On an unknown entry it changes nothing and fails with InvalidInput, listing the known names.
Result<Done> DisableMechanisms(std::string_view list);
bool IsOn(Mechanism mechanism);
} // namespace Common

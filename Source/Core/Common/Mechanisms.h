// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <string_view>

#include "Common/Failure.h"

/// Mechanisms that can be switched off one by one, to measure what each is worth. All are on unless
/// the setting `without` names them; operators have no other use for it.
namespace Common
{
enum class Mechanism : std::uint8_t
{
  Affinity,        ///< Requests that begin alike go to one replica.
  RemoteLoad,      ///< Other daemons' requests count against a server's places.
  SpareReplicas,   ///< A model that is asked for often keeps a second replica.
  Turns,           ///< A model that waits long pushes out one in use.
  DiskWait,        ///< A busy server with a disk copy is waited for.
  Ejection,        ///< A server that fails gets no requests for a while.
  SilenceDetector, ///< A server that owes answers and is silent gets no new requests.
  BudgetSlack,     ///< Daemons share the free repeats.
  Resumption,      ///< A broken stream is continued at another server.
  RelayedTables,   ///< The holder passes on what it reads of the platform's store.
  StrongFirst,     ///< Weak VMs leave a free lease to strong ones.
  GatheredChanges, ///< Changes of a table are gathered between two calls to the store.
};

/// Switches off the mechanisms of a list "affinity,turns,..."; the empty list switches on all.
/// Fails with InvalidInput, naming the unknown entry and all known ones, and then changes nothing.
Result<Done> SwitchOff(std::string_view list);
bool IsOn(Mechanism mechanism);
} // namespace Common

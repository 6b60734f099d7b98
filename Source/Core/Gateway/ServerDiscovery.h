// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <map>
#include <vector>

#include "Common/Reactor.h"
#include "Gateway/ServerDirectory.h"

namespace Gateway
{
/// Keeps the directory in sync with the entries on the platform. During an outage of the platform's
/// store, entries of running servers may expire. Removals seen right after the outage are therefore
/// delayed, so that the servers can write their entries again.
class ServerDiscovery
{
public:
  explicit ServerDiscovery(ServerDirectory& directory) : m_directory(directory) {}

  /// Applies all entries as of one point in time; servers without an entry are removed.
  void ApplySnapshot(std::vector<ServerEntry> entries, Common::TimePoint now);
  void ApplyEntry(ServerEntry entry);
  /// Applies the removal of the entry under the id of `instance`, whichever instance it was for.
  void ApplyRemoval(const InstanceId& instance, Common::TimePoint now);
  /// Removes the server without delay because the entry under the id of `instance` is malformed.
  void ApplyMalformed(const InstanceId& instance);
  void NoteStoreLost();
  void NoteStoreRestored(Common::TimePoint now);
  /// The store has come back from an older copy, as the entries that are about to be applied show:
  /// entries that it lacks may be written again.
  void NoteOlderCopy(Common::TimePoint now);
  /// The entries now come from a daemon that the store responds to. An outage, if this VM noticed
  /// one, has ended, and its later first response is no sign of another.
  void NoteStoreServesOthers() { m_store_unavailable = false; }

private:
  void RemoveExpired();
  void ArmTimer();

  ServerDirectory& m_directory;
  bool m_store_unavailable = false;
  Common::TimePoint m_grace_until;
  /// Servers whose entry is missing, and until when they are kept. A further outage does not change
  /// the time: it says nothing about an entry that was missing before it.
  std::map<InstanceId, Common::TimePoint> m_missing_entries;
  Common::OwnedTimer m_timer;
};
} // namespace Gateway

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <map>
#include <set>
#include <vector>

#include "Common/Reactor.h"
#include "Gateway/ServerDirectory.h"

namespace Gateway
{
/// Keeps the directory in step with the platform's entries. Entries may lapse while the platform's
/// store is away although their servers live: removals that are seen right after its return wait,
/// so that the servers can write their entries again.
class ServerRoster
{
public:
  explicit ServerRoster(ServerDirectory& directory) : m_directory(directory) {}

  /// All entries as of one moment; what is missing is removed.
  void ApplySnapshot(std::vector<ServerEntry> entries, Common::TimePoint now);
  void ApplyEntry(ServerEntry entry);
  /// The entry under the id of `instance` is gone, whichever life it told of.
  void ApplyRemoval(const InstanceId& instance, Common::TimePoint now);
  /// What stands under the id of `instance` is no server's entry: nothing is sent there, at once.
  void ApplyUnreadable(const InstanceId& instance);
  void NoteSourceLost();
  void NoteSourceBack(Common::TimePoint now);

private:
  void RemoveOverdue();

  ServerDirectory& m_directory;
  bool m_source_lost = false;
  Common::TimePoint m_grace_until;
  std::set<InstanceId> m_lapsed;
  Common::OwnedTimer m_timer;
};
} // namespace Gateway

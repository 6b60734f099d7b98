// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <map>
#include <vector>

#include "Common/Loop.h"
#include "Daemons/Messages.h"
#include "Serving/Environment.h"

namespace Serving
{
/// Grants permits for loads from the weight store. Limits the number of concurrent loads, so that
/// each runs at full speed, and the number of starts per second to what the store allows.
/// Rendezvous hashing picks one daemon that grants the permits for all daemons. Two at once, during
/// a network partition between regions, only slow the loads down; correctness does not depend on
/// it.
class LoadPermitAllocator
{
public:
  explicit LoadPermitAllocator(Environment& environment) : m_environment(environment) {}

  Common::Task<Daemons::PermitReply> Request(Daemons::PermitRequest request);
  void Return(const Common::ClaimId& claim);
  std::size_t Running() const { return m_running.size(); }
  std::size_t Waiting() const { return m_waiting.size(); }

private:
  struct Waiter
  {
    Decisions::WaitingLoad load;
    Common::Completion<bool> permit;
  };

  void Dispatch();

  Environment& m_environment;
  std::vector<Waiter> m_waiting;
  std::map<Common::ClaimId, Common::TimePoint> m_running;
  Common::TimePoint m_next_start;
  bool m_scheduled = false;
};
} // namespace Serving

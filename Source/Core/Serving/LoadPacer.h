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
/// Gives the turns at the weight store: so many loads at once as run at full speed, and so many
/// starts a second as it allows. Hashing makes one daemon the pacer of all; two of them at once
/// (regions cut off from each other) only make loads slower, never wrong.
class LoadPacer
{
public:
  explicit LoadPacer(Environment& environment) : m_environment(environment) {}

  Common::Task<Daemons::PermitReply> Request(Daemons::PermitRequest request);
  void Return(const Common::ClaimId& claim);
  std::size_t Running() const { return m_running.size(); }
  std::size_t Waiting() const { return m_waiting.size(); }

private:
  struct Waiter
  {
    Decisions::WaitingLoad load;
    Common::Completion<bool> turn;
  };

  void Dispatch();

  Environment& m_environment;
  std::vector<Waiter> m_waiting;
  std::map<Common::ClaimId, Common::TimePoint> m_running;
  Common::TimePoint m_next_start;
  bool m_scheduled = false;
};
} // namespace Serving

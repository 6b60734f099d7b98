// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// The choice of a server by place shares.

#include "Gateway/Dispatcher.h"

namespace Gateway
{
void Dispatcher::SetDaemonRank(std::optional<std::size_t> rank, std::size_t daemons)
{
  m_even_load.SetRank(rank, daemons);
  ScheduleDispatch();
}

void Dispatcher::NoteServed(const Server& server, Common::TimePoint sent_at)
{
  const auto now = Common::Now();
  m_even_load.NoteServed(server, std::chrono::duration_cast<Common::Milliseconds>(now - sent_at),
                         now);
}

ServerPtr Dispatcher::ChooseAmongUnlimited(const std::vector<ServerPtr>& servers,
                                           const Relay& relay, Common::TimePoint now)
{
  // A request with an affinity is served faster where its prefix is cached than where a slot is
  // free.
  if (m_even_load.IsActive(relay.SelectedPool()) && relay.AffinityKey().empty())
    return m_even_load.Choose(
        relay.SelectedPool(), servers,
        [this](const Server& server) {
          return ConcurrencyLimitFor(server);
        },
        now);
  ServerPtr chosen = ChooseAmong(servers, relay);
  if (chosen)
    m_even_load.NoteOtherRouting();
  return chosen;
}
} // namespace Gateway

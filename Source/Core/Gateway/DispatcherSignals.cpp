// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// What answers tell of their servers.

#include "Gateway/Dispatcher.h"

#include "Common/Log.h"

namespace Gateway
{
using Common::Milliseconds;

void Dispatcher::NoteSignals(const ServerPtr& server, const ServerSignals& signals,
                             const SignalOrigin& origin)
{
  const InstanceId& instance = server->Entry().instance;
  // Another process at the address speaks for itself alone.
  if (signals.instance && *signals.instance != instance.Get())
    return;
  for (const UnreadableSignal& unreadable : signals.unreadable)
    Common::LogEvent(Common::LogLevel::Warning, "server-signal-unreadable",
                     {{"instance", instance},
                      {"id", origin.request},
                      {"header", unreadable.header},
                      {"value", unreadable.value}});
  const auto age = std::chrono::floor<Milliseconds>(Common::Now() - origin.sent_at);
  if (signals.draining)
    Common::LogEvent(Common::LogLevel::Info, "server-draining",
                     {{"instance", instance},
                      {"source", "an answer"},
                      {"id", origin.request},
                      {"sent_ms_ago", age.count()}});
  if (signals.backoff)
    Common::LogEvent(Common::LogLevel::Info, "server-backoff",
                     {{"instance", instance},
                      {"id", origin.request},
                      {"for_ms", signals.backoff->count()},
                      {"sent_ms_ago", age.count()}});
  m_limited.NoteAnswer(*server, signals.limit, origin.sent_at);
}
} // namespace Gateway

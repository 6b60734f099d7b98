// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// The origins of streams: which software version began them.

#include "Gateway/Dispatcher.h"

#include <algorithm>

namespace Gateway
{
void Dispatcher::SetLocalOrigin(const Http::Endpoint& daemon, std::uint32_t place)
{
  m_local_origin.daemon = daemon;
  m_local_origin.place = place;
}

bool Dispatcher::QueryOrigin(StreamKey stream, const PoolId& pool)
{
  if (!m_on_origin_query)
    return false;
  m_on_origin_query(stream, pool);
  return true;
}

bool Dispatcher::AwaitsOrigin(StreamKey stream) const
{
  return std::ranges::any_of(m_relays, [stream](const auto& entry) {
    return entry.second->AwaitsOrigin(stream);
  });
}

std::vector<std::shared_ptr<Relay>> Dispatcher::RelaysAwaiting(StreamKey stream) const
{
  std::vector<std::shared_ptr<Relay>> result;
  for (const auto& [key, relay] : m_relays)
    if (relay->AwaitsOrigin(stream))
      result.push_back(relay);
  return result;
}

void Dispatcher::LearnOrigin(StreamKey stream, const StreamOrigins::Entry& entry,
                             const OriginEvidence& evidence)
{
  for (const auto& relay : RelaysAwaiting(stream))
    relay->LearnOrigin(entry, evidence);
}

void Dispatcher::LearnNoOrigin(StreamKey stream, const OriginEvidence& evidence)
{
  for (const auto& relay : RelaysAwaiting(stream))
    relay->LearnNoOrigin(evidence);
}

void Dispatcher::NoteStream(StreamKey stream, const PoolId& pool, const SoftwareVersion& version,
                            const std::optional<StreamOrigin>& known)
{
  const auto now = Common::Now();
  m_versions.Note(pool, version, now);
  StreamOrigin origin = known.value_or(m_local_origin);
  origin.version = KeyOf(pool, version);
  if (m_origins.Note(stream, origin, now) && m_on_stream_noted)
    m_on_stream_noted(stream);
}

bool Dispatcher::HasVersion(const PoolId& pool, VersionKey version) const
{
  return std::ranges::any_of(m_servers.InPool(pool), [&](const ServerPtr& server) {
    return KeyOf(pool, server->Entry().version) == version;
  });
}
} // namespace Gateway

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// The origins of streams: which software version began them.

#include "Gateway/Dispatcher.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace Gateway
{
void Dispatcher::SetLocalOrigin(const Http::Endpoint& daemon, std::uint32_t place)
{
  m_local_origin.daemon = daemon;
  m_local_origin.place = place;
}

bool Dispatcher::QueryOrigin(StreamKey stream, const PoolId& pool,
                             const std::shared_ptr<Relay>& relay)
{
  if (!m_on_origin_query)
    return false;
  m_awaiting_origin.emplace(stream, relay);
  m_on_origin_query(stream, pool);
  return true;
}

bool Dispatcher::AwaitsOrigin(StreamKey stream) const
{
  return m_awaiting_origin.contains(stream);
}

void Dispatcher::DropAwaiting(StreamKey stream)
{
  const auto [first, last] = m_awaiting_origin.equal_range(stream);
  for (auto entry = first; entry != last;)
  {
    const auto relay = entry->second.lock();
    entry =
        relay && relay->AwaitsOrigin(stream) ? std::next(entry) : m_awaiting_origin.erase(entry);
  }
}

std::vector<std::shared_ptr<Relay>> Dispatcher::RelaysAwaiting(StreamKey stream) const
{
  std::vector<std::shared_ptr<Relay>> result;
  const auto [first, last] = m_awaiting_origin.equal_range(stream);
  for (const auto& [key, waiting] : std::ranges::subrange(first, last))
    if (const auto relay = waiting.lock(); relay && relay->AwaitsOrigin(stream))
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

void Dispatcher::AwaitProof(const std::shared_ptr<Relay>& relay)
{
  m_awaiting_proof.insert(relay);
  if (m_on_proof_awaited)
    m_on_proof_awaited();
}

bool Dispatcher::AwaitsProof() const
{
  return std::ranges::any_of(m_awaiting_proof, [](const std::weak_ptr<Relay>& waiting) {
    return !waiting.expired();
  });
}

void Dispatcher::NoteEntriesProven(Common::TimePoint moment)
{
  const auto now = Common::Now();
  // Before, since this proof would hide that there was none for a while.
  m_versions.Observe(now);
  m_servers.RecordProof(moment);
  m_versions.Observe(now);
  for (const auto& waiting : std::exchange(m_awaiting_proof, {}))
    if (const auto relay = waiting.lock())
      relay->RecheckProof();
}

void Dispatcher::NoteVersionsRestored(Common::TimePoint moment)
{
  m_versions.NoteRestored(moment);
  std::vector<std::shared_ptr<Relay>> relays;
  std::ranges::copy(m_relays | std::views::values, std::back_inserter(relays));
  std::ranges::for_each(relays, [](const auto& relay) {
    relay->RecheckOrigin();
  });
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
} // namespace Gateway

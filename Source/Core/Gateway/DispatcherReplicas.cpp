// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Requests for models whose replicas serve none in time.

#include "Gateway/Dispatcher.h"

#include <algorithm>

#include "Common/Log.h"

namespace Gateway
{
namespace
{
using Common::Milliseconds;
} // namespace

void Dispatcher::ConnectLateReplicas()
{
  m_late_replicas.OnLate([this] {
    if (m_on_demand)
      m_on_demand();
  });
}

bool Dispatcher::MustAvoidLateReplicas(const Relay& relay, Common::TimePoint now) const
{
  const ModelId& model = relay.RequestedArtifact().model;
  return !model.Empty() && m_late_replicas.Observes(relay.SelectedPool()) &&
         m_late_replicas.IsAnyLate(model, relay.MatchedRoute().latency_target, now);
}

Decisions::ReplicaView Dispatcher::ReplicaViewOf(const Relay& relay, const Server& server,
                                                 Common::TimePoint now) const
{
  return m_late_replicas.ViewOf(server, relay.RequestedArtifact().model,
                                relay.MatchedRoute().latency_target, now);
}

std::set<const Server*> Dispatcher::ServersToAvoid(const Relay& relay, Common::TimePoint now)
{
  std::set<const Server*> avoided;
  if (!MustAvoidLateReplicas(relay, now))
    return avoided;
  const bool any_in_time = std::ranges::any_of(m_servers.All(), [&](const auto& entry) {
    const Server& server = *entry.second;
    return IsEligible(relay, server, now) && !server.IsDraining() && !server.IsEntryMissing() &&
           m_limited.MaySend(server, now) && !ReplicaViewOf(relay, server, now).late;
  });
  const Milliseconds patience = relay.HasBeenSent() ? Milliseconds::max() : relay.PatienceLeft(now);
  for (const auto& [instance, server] : m_servers.All())
    if (server->Entry().pool == relay.SelectedPool() &&
        !Decisions::MayTakeRequest(ReplicaViewOf(relay, *server, now), any_in_time, patience))
      avoided.insert(server.get());
  return avoided;
}

bool Dispatcher::IsTooLate(const Relay& relay, const Server& server, Common::TimePoint now) const
{
  return !Decisions::MayTakeRequest(ReplicaViewOf(relay, server, now), false,
                                    relay.PatienceLeft(now));
}

EarlyRefusal Dispatcher::RefusalForLateReplicas(const Relay& relay, const ModelSpec& spec,
                                                std::optional<Decisions::WeightSource> nearest)
{
  const auto source = nearest.value_or(Decisions::WeightSource::WeightStore);
  EarlyRefusal refusal;
  refusal.retry_after = m_late_replicas.NextReplicaIn(
      relay.SelectedPool(), relay.RequestedArtifact().model, spec.LoadTime(source), Common::Now());
  refusal.why = "all replicas of the model serve no request in time";
  refusal.for_late_replicas = true;
  return refusal;
}

void Dispatcher::NoteLateRejection(const Relay& relay, const EarlyRefusal& refusal)
{
  m_late_replicas.CountRejection();
  const auto now = Common::Now();
  Common::LogEvent(Common::LogLevel::Info, "refused-for-late-replicas",
                   {{"id", relay.Id()},
                    {"route", relay.MatchedRoute().name},
                    {"artifact", relay.RequestedArtifact().ToString()},
                    {"patience_ms", relay.PatienceLeft(now).count()},
                    {"come_back_ms", refusal.retry_after.count()}});
}

bool Dispatcher::IsDelayed(const Relay& relay, Common::TimePoint now) const
{
  return m_late_replicas.IsDelayed(relay.Attempt(), now);
}

void Dispatcher::RecheckLateReplicas(const std::vector<std::shared_ptr<Relay>>& relays)
{
  const auto now = Common::Now();
  for (const auto& relay : relays)
    if (relay->IsWaiting() && !relay->HasBeenSent() && MustAvoidLateReplicas(*relay, now))
      relay->RecheckWait();
}
} // namespace Gateway

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/ServerDirectory.h"

#include <algorithm>

#include "Common/Log.h"
#include "Tunnels/Messages.h"

namespace Gateway
{
namespace
{
/// How long requests for an artifact avoid a server that responded that it does not hold it, unless
/// the models in its entry change.
constexpr Common::Milliseconds MISSING_PAUSE{400};
/// Age from which a limit or Retry-After affects the placement of models.
constexpr Common::Milliseconds LASTING_AFTER{2500};
/// How long the condition of a removed server is kept, and of how many servers.
constexpr std::chrono::minutes CONDITION_RETENTION{10};
constexpr std::size_t MAX_RETAINED_CONDITIONS = 4096;
/// For how long after an entry an older one of the same instance may still be written. Later, an
/// entry whose heartbeats are lower is the only sign of life that there is.
constexpr Common::Milliseconds LATE_WRITE_LIMIT{12000};
} // namespace

Server::Server(ServerEntry entry, std::shared_ptr<ServerCondition> condition)
    : m_entry(std::move(entry)), m_key(KeyOf(m_entry.instance)), m_condition(std::move(condition))
{
  m_entry_missing = false;
  ApplyEntry();
}

void Server::ApplyEntry()
{
  const auto now = Common::Now();
  Drain().SetEntry(m_entry.draining);
  Cold().NoteLeft(m_entry.warming_up, now);
  if (!m_entry.heartbeat || m_entry.heartbeat == m_condition->heartbeat)
    return;
  m_condition->heartbeat = m_entry.heartbeat;
  m_condition->heartbeat_at = now;
}

void Server::SetEntry(ServerEntry entry)
{
  if (entry.models != m_entry.models)
    m_missing_until.clear();
  m_entry = std::move(entry);
  ApplyEntry();
  ++m_entry_revision;
}

bool Server::IsReady(Common::TimePoint now) const
{
  return AcceptsRequests(now) && GetBackoff().MaySend(now) && !m_silence.IsUnresponsive(now);
}

bool Server::IsAvailable(Common::TimePoint now) const
{
  if (!IsReady(now) || Health().IsEjected(now))
    return false;
  return !Health().IsRecovering() || m_in_flight == 0;
}

bool Server::IsAvailableThoughEjected(Common::TimePoint now) const
{
  return IsReady(now) && Health().WasReachable();
}

bool Server::HasLastingLimit(Common::TimePoint now) const
{
  return m_limit && !m_limit->cold_until && now - m_limit->since >= LASTING_AFTER;
}

bool Server::HasLastingBackoff(Common::TimePoint now) const
{
  return GetBackoff().RetryAfterSpan(now) >= LASTING_AFTER;
}

bool Server::Holds(const Artifact& artifact, Common::TimePoint now) const
{
  if (artifact.model.Empty())
    return true;
  const auto missing = m_missing_until.find(artifact);
  if (missing != m_missing_until.end() && now < missing->second)
    return false;
  const auto model = std::ranges::find(m_entry.models, artifact.model, &LoadedModel::model);
  if (model == m_entry.models.end())
    return false;
  if (m_placement && m_placement->unloading.contains(artifact.model))
    return false;
  if (!artifact.IsAdapter())
    return true;
  return m_placement
             ? m_placement->adapters.contains(artifact)
             : std::ranges::find(model->adapters, artifact.adapter) != model->adapters.end();
}

void Server::SetPlacement(std::set<Artifact> adapters, std::set<ModelId> unloading,
                          std::set<ModelId> loading_from_store)
{
  m_placement = Placement{std::move(adapters), std::move(unloading), std::move(loading_from_store)};
}

Decisions::WeightSource Server::SourceOf(const ModelId& model) const
{
  const auto lists_model = [&](const std::vector<ModelId>& models) {
    return std::ranges::find(models, model) != models.end();
  };
  if (lists_model(m_entry.in_host_memory))
    return Decisions::WeightSource::HostMemory;
  return lists_model(m_entry.on_disk) ? Decisions::WeightSource::Disk
                                      : Decisions::WeightSource::WeightStore;
}

void Server::NoteMissing(const Artifact& artifact, Common::TimePoint now)
{
  m_missing_until[artifact] = now + MISSING_PAUSE;
}

std::string Server::TunnelRequest() const
{
  return Tunnels::EncodeOpen({m_entry.instance.Get(), m_entry.instance.Started().Get()});
}

std::shared_ptr<Http::OriginConnection>
Server::TakeConnection(Common::TimePoint now, const Http::RequestIdentity& request,
                       const std::optional<Http::Endpoint>& helper)
{
  if (auto kept = m_idle.Take(now, request))
    return kept;
  if (helper)
    return Http::OriginConnection::ConnectThrough(*helper, TunnelRequest());
  return Http::OriginConnection::Connect(m_entry.endpoint);
}

void Server::ReturnConnection(std::shared_ptr<Http::OriginConnection> connection)
{
  m_idle.Keep(std::move(connection), Common::Now());
}

bool Server::HoldsModel(const ModelId& model) const
{
  return std::ranges::find(m_entry.models, model, &LoadedModel::model) != m_entry.models.end();
}

void Server::NoteStart(const Artifact& artifact, Common::TimePoint now)
{
  m_silence.NoteSent(now);
  GetBackoff().NoteStart(now);
  ++m_in_flight;
  ++m_in_flight_by_model[artifact.model];
}

void Server::NoteEnd(const Artifact& artifact, Common::TimePoint sent_at, Common::TimePoint now)
{
  --m_in_flight;
  GetBackoff().NoteEnd(sent_at);
  if (m_in_flight == 0 && m_silence.IsUnresponsive(now))
  {
    Common::LogEvent(Common::LogLevel::Warning, "server-silent",
                     {{"instance", m_entry.instance},
                      {"limit_ms", m_silence.Limit().count()},
                      {"data_centre", m_entry.data_centre}});
    Health().NoteUnreachable(now);
  }
  m_silence.NoteEnded(m_in_flight);
  const auto found = m_in_flight_by_model.find(artifact.model);
  if (found != m_in_flight_by_model.end() && --found->second <= 0)
    m_in_flight_by_model.erase(found);
}

void ServerDirectory::Put(ServerEntry entry)
{
  const ServerPtr known = FindLatest(entry.instance);
  if (known && entry.instance.Started() < known->Entry().instance.Started())
  {
    Common::LogEvent(Common::LogLevel::Warning, "server-entry-outdated",
                     {{"instance", entry.instance},
                      {"started", entry.instance.Started()},
                      {"known", known->Entry().instance.Started()}});
    return;
  }
  if (IsWrittenLate(entry, Common::Now()))
  {
    Common::LogEvent(Common::LogLevel::Info, "server-entry-written-late",
                     {{"instance", entry.instance}, {"heartbeat", *entry.heartbeat}});
    return;
  }
  const bool is_next_life = known && known->Entry().instance != entry.instance;
  const InstanceId instance = entry.instance;
  if (is_next_life)
  {
    Common::LogEvent(Common::LogLevel::Info, "server-restarted",
                     {{"instance", entry.instance},
                      {"started", entry.instance.Started()},
                      {"before", known->Entry().instance.Started()}});
    Remove(known->Entry().instance);
  }
  const auto found = m_servers.find(entry.instance);
  if (found == m_servers.end())
  {
    Add(std::move(entry));
    if (is_next_life)
      Inherit(*Find(instance), *known);
  }
  else
  {
    if (entry.draining && !found->second->Entry().draining)
      Common::LogEvent(Common::LogLevel::Info, "server-draining",
                       {{"instance", entry.instance}, {"source", ToString(DrainSource::Entry)}});
    if (entry.pool != found->second->Entry().pool ||
        entry.version != found->second->Entry().version)
      ++m_revision;
    found->second->SetEntry(std::move(entry));
  }
  const ServerPtr server = Find(instance);
  server->SetEvacuated(m_evacuated.contains(server->Entry().data_centre));
  if (m_on_change)
    m_on_change(server);
}

bool ServerDirectory::IsWrittenLate(const ServerEntry& entry, Common::TimePoint now) const
{
  const auto condition = ConditionOf(entry.instance);
  if (!condition || !condition->heartbeat || !entry.heartbeat)
    return false;
  return *entry.heartbeat < *condition->heartbeat &&
         now - condition->heartbeat_at < LATE_WRITE_LIMIT;
}

std::shared_ptr<ServerCondition> ServerDirectory::ConditionOf(const InstanceId& instance) const
{
  if (const ServerPtr server = Find(instance))
    return server->Condition();
  const auto removed = m_removed.find(instance);
  return removed == m_removed.end() ? nullptr : removed->second.condition;
}

void ServerDirectory::Inherit(Server& server, const Server& before)
{
  const auto now = Common::Now();
  server.Drain().Inherit(before.Drain());
  if (before.GetBackoff().IsRetryAfterActive(now))
    server.GetBackoff() = before.GetBackoff();
}

void ServerDirectory::Add(ServerEntry entry)
{
  Common::LogEvent(Common::LogLevel::Info, "server-added",
                   {{"instance", entry.instance},
                    {"pool", entry.pool},
                    {"address", entry.endpoint.ToString()},
                    {"data_centre", entry.data_centre}});
  const InstanceId instance = entry.instance;
  auto condition = std::make_shared<ServerCondition>();
  if (const auto kept = m_removed.extract(instance))
  {
    condition = kept.mapped().condition;
    // The new entry shows that the server is running and reachable at its address.
    condition->health = {};
    condition->replaced = false;
  }
  const auto server = std::make_shared<Server>(std::move(entry), std::move(condition));
  server->SetDrainGrace(m_drain_grace);
  m_servers.emplace(instance, server);
  ++m_revision;
}

void ServerDirectory::SetDrainGrace(Common::Milliseconds grace)
{
  m_drain_grace = grace;
  for (const auto& [instance, server] : m_servers)
    server->SetDrainGrace(grace);
}

void ServerDirectory::SetEvacuated(std::set<Common::DataCentreId> data_centres)
{
  m_evacuated = std::move(data_centres);
  for (const auto& [instance, server] : m_servers)
    server->SetEvacuated(m_evacuated.contains(server->Entry().data_centre));
}

void ServerDirectory::DropOldConditions(Common::TimePoint now)
{
  std::erase_if(m_removed, [now](const auto& entry) {
    return now - entry.second.removed_at > CONDITION_RETENTION;
  });
  if (m_removed.size() >= MAX_RETAINED_CONDITIONS)
    m_removed.erase(std::ranges::min_element(m_removed, {}, [](const auto& entry) {
      return entry.second.removed_at;
    }));
}

void ServerDirectory::Remove(const InstanceId& instance)
{
  const auto found = m_servers.find(instance);
  if (found == m_servers.end())
    return;
  Common::LogEvent(Common::LogLevel::Info, "server-removed", {{"instance", instance}});
  const auto now = Common::Now();
  DropOldConditions(now);
  m_removed[instance] = {found->second->Condition(), now};
  // Requests in progress hold their own reference to the server and complete normally.
  m_servers.erase(found);
  ++m_revision;
}

std::optional<Common::Milliseconds> ServerDirectory::Age(Common::TimePoint now) const
{
  if (!m_proven_at)
    return std::nullopt;
  return std::chrono::floor<Common::Milliseconds>(now - *m_proven_at);
}

ServerPtr ServerDirectory::Find(const InstanceId& instance) const
{
  const auto found = m_servers.find(instance);
  return found == m_servers.end() ? nullptr : found->second;
}

ServerPtr ServerDirectory::FindLatest(const InstanceId& instance) const
{
  // The map holds at most one instance per id.
  const auto found = m_servers.lower_bound(InstanceId(instance.Get()));
  const bool is_known = found != m_servers.end() && found->first.HasIdOf(instance);
  return is_known ? found->second : nullptr;
}

ServerPtr ServerDirectory::FindByKey(RateLimits::ServerKey key) const
{
  const auto found = std::ranges::find_if(m_servers, [key](const auto& entry) {
    return entry.second->Key() == key;
  });
  return found == m_servers.end() ? nullptr : found->second;
}

std::vector<ServerPtr> ServerDirectory::InPool(const PoolId& pool) const
{
  std::vector<ServerPtr> result;
  for (const auto& [instance, server] : m_servers)
    if (server->Entry().pool == pool)
      result.push_back(server);
  return result;
}
} // namespace Gateway

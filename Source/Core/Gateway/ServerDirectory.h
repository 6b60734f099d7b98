// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Common/Loop.h"
#include "Decisions/WeightCopies.h"
#include "Gateway/ServerHealth.h"
#include "Gateway/SilenceDetector.h"
#include "Gateway/Types.h"
#include "Http/IdleConnections.h"

namespace Gateway
{
/// So many requests a second the server takes from all daemons together.
struct ServerLimit
{
  RateLimits::RequestRate rate;
  Common::TimePoint since;  ///< When it first had some limit, without a pause.
  std::string learned_from; ///< Where this daemon has the present rate from.
};

/// A backend server as this daemon sees and uses it.
class Server
{
public:
  /// Idle connections kept to one server.
  static constexpr std::size_t MAX_IDLE_CONNECTIONS = 24;

  explicit Server(ServerEntry entry) : m_entry(std::move(entry)), m_key(KeyOf(m_entry.instance)) {}
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  const ServerEntry& Entry() const { return m_entry; }
  RateLimits::ServerKey Key() const { return m_key; }
  void SetEntry(ServerEntry entry);
  /// Rises with each new entry: who keeps something made from the entry need not look at it again.
  std::uint64_t EntryRevision() const { return m_entry_revision; }

  /// True where the server takes new work.
  bool IsAvailable(Common::TimePoint now) const;
  /// True where the server's entry names the model.
  bool HoldsModel(const ModelId& model) const;
  bool Holds(const Artifact& artifact, Common::TimePoint now) const;
  /// True where a request for the artifact may be served here, now or after a short pause.
  bool MayServe(const Artifact& artifact, Common::TimePoint now) const
  {
    return !m_entry.draining && !m_replaced && Holds(artifact, now);
  }
  /// The server said that it does not hold the artifact: not tried for a while.
  void NoteMissing(const Artifact& artifact, Common::TimePoint now);
  /// What the order holder tells beyond the entry: the adapters that are loaded, the models that
  /// are about to be unloaded, and those on their way from the weight store.
  void SetPlacement(std::set<Artifact> adapters, std::set<ModelId> leaving,
                    std::set<ModelId> coming);
  /// True where the model is on its way here from the weight store.
  bool IsComing(const ModelId& model) const
  {
    return m_placement && m_placement->coming.contains(model);
  }
  /// Where a load of the model would come from.
  Decisions::WeightSource SourceOf(const ModelId& model) const;
  /// The order holder is silent: the entry alone counts.
  void ForgetPlacement() { m_placement.reset(); }
  /// Another process has the address, or this one has started again: this life is over.
  void NoteReplaced() { m_replaced = true; }
  bool IsReplaced() const { return m_replaced; }
  /// The server takes no connection now.
  void NoteFull(Common::TimePoint now);

  /// A kept connection or a new one; nullptr where no socket is left.
  std::shared_ptr<Http::OriginConnection> TakeConnection(Common::TimePoint now);
  void KeepConnection(std::shared_ptr<Http::OriginConnection> connection);

  void NoteStart(const Artifact& artifact, Common::TimePoint now);
  /// A server that is silent when its last request is given up is ejected: the next request that
  /// tries it would be lost too.
  void NoteEnd(const Artifact& artifact, Common::TimePoint now);
  /// Bytes came from the server.
  void NoteHeard(Common::TimePoint now) { m_silence.NoteHeard(now); }
  const std::optional<ServerLimit>& Limit() const { return m_limit; }
  void SetLimit(const std::optional<ServerLimit>& limit) { m_limit = limit; }
  /// The server has had a limit for so long that its models should be held elsewhere too; a need
  /// that passes at once moves none.
  bool HasSettledLimit(Common::TimePoint now) const;
  int InFlight() const { return m_in_flight; }
  const std::map<ModelId, int>& InFlightByModel() const { return m_in_flight_by_model; }
  /// Requests of other daemons there, as they told the order holder.
  int RemoteInFlight() const { return m_remote_in_flight; }
  void SetRemoteInFlight(int count) { m_remote_in_flight = count; }
  int Load() const { return m_in_flight + m_remote_in_flight; }

  ServerHealth& Health() { return m_health; }
  const ServerHealth& Health() const { return m_health; }

private:
  ServerEntry m_entry;
  RateLimits::ServerKey m_key;
  std::uint64_t m_entry_revision = 1;
  ServerHealth m_health;
  SilenceDetector m_silence;
  std::optional<ServerLimit> m_limit;
  bool m_replaced = false;
  Common::TimePoint m_full_until;
  Http::IdleConnections m_idle{MAX_IDLE_CONNECTIONS};
  struct Placement
  {
    std::set<Artifact> adapters;
    std::set<ModelId> leaving;
    std::set<ModelId> coming;
  };
  std::optional<Placement> m_placement;
  std::map<Artifact, Common::TimePoint> m_missing_until;
  int m_in_flight = 0;
  int m_remote_in_flight = 0;
  std::map<ModelId, int> m_in_flight_by_model;
};

using ServerPtr = std::shared_ptr<Server>;

/// All backend servers that are known, each in its latest life.
class ServerDirectory
{
public:
  /// Called after any change that may let a waiting request go on.
  void OnChange(std::function<void()> callback) { m_on_change = std::move(callback); }

  /// An entry of a later life takes the place of the server with all that was known of it; one of
  /// an earlier life changes nothing, however late it comes.
  void Put(ServerEntry entry);
  void Remove(const InstanceId& instance);

  ServerPtr Find(const InstanceId& instance) const;
  /// The latest life under the id of `instance`, whatever the start that it names.
  ServerPtr FindLatest(const InstanceId& instance) const;
  const std::map<InstanceId, ServerPtr>& All() const { return m_servers; }
  ServerPtr FindByKey(RateLimits::ServerKey key) const;
  std::vector<ServerPtr> InPool(const PoolId& pool) const;
  bool Empty() const { return m_servers.empty(); }
  /// Rises when a server comes, goes or moves to another pool.
  std::uint64_t Revision() const { return m_revision; }

private:
  void Add(ServerEntry entry);

  std::map<InstanceId, ServerPtr> m_servers;
  std::uint64_t m_revision = 1;
  std::function<void()> m_on_change;
};
} // namespace Gateway

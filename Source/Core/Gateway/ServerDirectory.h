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
#include "Gateway/ServerCondition.h"
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

  /// Without a condition from before, nothing is known of this life yet.
  explicit Server(ServerEntry entry,
                  std::shared_ptr<ServerCondition> condition = std::make_shared<ServerCondition>());
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
  /// True where the server takes work now or after a pause.
  bool TakesWork(Common::TimePoint now) const
  {
    return !IsReplaced() && Drain().MayServe(now, m_drain_grace);
  }
  /// True where a request for the artifact may be served here, now or after a short pause.
  bool MayServe(const Artifact& artifact, Common::TimePoint now) const
  {
    return TakesWork(now) && Holds(artifact, now);
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
  void NoteReplaced() { m_condition->replaced = true; }
  bool IsReplaced() const { return m_condition->replaced; }

  /// A kept connection or a new one; nullptr where no socket is left.
  std::shared_ptr<Http::OriginConnection> TakeConnection(Common::TimePoint now);
  void KeepConnection(std::shared_ptr<Http::OriginConnection> connection);

  void NoteStart(const Artifact& artifact, Common::TimePoint now);
  /// A server that is silent when its last request is given up is ejected: the next request that
  /// tries it would be lost too.
  void NoteEnd(const Artifact& artifact, Common::TimePoint sent_at, Common::TimePoint now);
  /// Bytes came from the server.
  void NoteHeard(Common::TimePoint now) { m_silence.NoteHeard(now); }
  const std::optional<ServerLimit>& Limit() const { return m_limit; }
  void SetLimit(const std::optional<ServerLimit>& limit) { m_limit = limit; }
  /// The server has had a limit for so long that its models should be held elsewhere too; a need
  /// that passes at once moves none.
  bool HasSettledLimit(Common::TimePoint now) const;
  /// The same for a server that has named a Retry-After.
  bool HasLongBackoff(Common::TimePoint now) const;
  bool IsPlannedAround(Common::TimePoint now) const
  {
    return HasSettledLimit(now) || HasLongBackoff(now);
  }
  int InFlight() const { return m_in_flight; }
  const std::map<ModelId, int>& InFlightByModel() const { return m_in_flight_by_model; }
  /// Requests of other daemons there, as they told the order holder.
  int RemoteInFlight() const { return m_remote_in_flight; }
  void SetRemoteInFlight(int count) { m_remote_in_flight = count; }
  int Load() const { return m_in_flight + m_remote_in_flight; }

  const std::shared_ptr<ServerCondition>& Condition() const { return m_condition; }
  ServerHealth& Health() { return m_condition->health; }
  const ServerHealth& Health() const { return m_condition->health; }
  DrainState& Drain() { return m_condition->drain; }
  const DrainState& Drain() const { return m_condition->drain; }
  bool IsDraining() const { return Drain().IsDraining(); }
  Backoff& GetBackoff() { return m_condition->backoff; }
  const Backoff& GetBackoff() const { return m_condition->backoff; }
  /// After an answer to this VM has announced the server's end, it may get for so long what no
  /// other server can take.
  void SetDrainGrace(Common::Milliseconds grace) { m_drain_grace = grace; }

private:
  ServerEntry m_entry;
  RateLimits::ServerKey m_key;
  std::uint64_t m_entry_revision = 1;
  std::shared_ptr<ServerCondition> m_condition;
  Common::Milliseconds m_drain_grace{0};
  SilenceDetector m_silence;
  std::optional<ServerLimit> m_limit;
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
  /// What is known of the server's condition is kept for a while: the entry of a server that lives
  /// may lapse and come again.
  void Remove(const InstanceId& instance);
  void SetDrainGrace(Common::Milliseconds grace);

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
  struct KeptCondition
  {
    std::shared_ptr<ServerCondition> condition;
    Common::TimePoint removed_at;
  };

  void Add(ServerEntry entry);
  /// What the life before has told may have been told by `server` already, before its entry came.
  static void TakeOver(Server& server, const Server& before);
  void DropOldConditions(Common::TimePoint now);

  std::map<InstanceId, ServerPtr> m_servers;
  std::map<InstanceId, KeptCondition> m_removed; ///< Of servers without an entry.
  Common::Milliseconds m_drain_grace{0};
  std::uint64_t m_revision = 1;
  std::function<void()> m_on_change;
};
} // namespace Gateway

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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
/// Rate limit that a server applies to the requests of all daemons together.
struct ServerLimit
{
  RateLimits::RequestRate rate;
  Common::TimePoint since;  ///< Start of the period in which the server has had any limit.
  std::string learned_from; ///< Source of the current rate.
  /// Set if the limit applies because the server is cold, and ends by itself at this time.
  std::optional<Common::TimePoint> cold_until;

  bool operator==(const ServerLimit&) const = default;
};

/// A backend server: its entry on the platform, and this daemon's requests, connections and
/// observations.
class Server
{
public:
  /// Maximum idle connections kept open per server.
  static constexpr std::size_t MAX_IDLE_CONNECTIONS = 24;

  /// `condition` carries over what was observed of this instance before its entry was removed.
  explicit Server(ServerEntry entry,
                  std::shared_ptr<ServerCondition> condition = std::make_shared<ServerCondition>());
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  const ServerEntry& Entry() const { return m_entry; }
  RateLimits::ServerKey Key() const { return m_key; }
  void SetEntry(ServerEntry entry);
  /// Increases with each new entry, so that values derived from the entry can be cached.
  std::uint64_t EntryRevision() const { return m_entry_revision; }

  /// True if the server can take a request now.
  bool IsAvailable(Common::TimePoint now) const;
  /// True if the server can take a request now but for its ejection, which connections that could
  /// not be made did not cause.
  bool IsAvailableThoughEjected(Common::TimePoint now) const;
  /// True if the server's entry lists the model.
  bool HoldsModel(const ModelId& model) const;
  bool Holds(const Artifact& artifact, Common::TimePoint now) const;
  /// True if the server takes requests now or after a pause.
  bool AcceptsRequests(Common::TimePoint now) const
  {
    return !IsReplaced() && !m_evacuated && Drain().MayServe(now, m_drain_grace);
  }
  /// True if the server can serve a request for the artifact, now or after a short pause.
  bool MayServe(const Artifact& artifact, Common::TimePoint now) const
  {
    return AcceptsRequests(now) && Holds(artifact, now);
  }
  /// Records that the server responded that it does not hold the artifact. It is not tried again
  /// for a while.
  void NoteMissing(const Artifact& artifact, Common::TimePoint now);
  /// Applies the order holder's information, which is more recent than the entry: the loaded
  /// adapters, the models about to be unloaded, and those being loaded from the weight store.
  void SetPlacement(std::set<Artifact> adapters, std::set<ModelId> unloading,
                    std::set<ModelId> loading_from_store);
  /// True while the server loads the model from the weight store.
  bool IsLoadingFromStore(const ModelId& model) const
  {
    return m_placement && m_placement->loading_from_store.contains(model);
  }
  /// Where the server would load the model's weights from.
  Decisions::WeightSource SourceOf(const ModelId& model) const;
  /// Falls back to the entry alone, because the order holder does not respond.
  void ClearPlacement() { m_placement.reset(); }
  void NoteReplaced() { m_condition->replaced = true; }
  bool IsReplaced() const { return m_condition->replaced; }

  /// Returns an idle connection that may carry the request, or a new one, through `helper` if that
  /// is set; nullptr if no socket is available.
  std::shared_ptr<Http::OriginConnection>
  TakeConnection(Common::TimePoint now, const Http::RequestIdentity& request,
                 const std::optional<Http::Endpoint>& helper);
  /// The message that asks a helper for a tunnel to this server.
  std::string TunnelRequest() const;
  void ReturnConnection(std::shared_ptr<Http::OriginConnection> connection);
  void DropIdleConnections() { m_idle.Clear(); }

  void NoteStart(const Artifact& artifact, Common::TimePoint now);
  /// Records the end of a request. If the server is unresponsive when its last request ends, it is
  /// ejected, since the next request sent to it would be lost too.
  void NoteEnd(const Artifact& artifact, Common::TimePoint sent_at, Common::TimePoint now);
  /// Records that data was received from the server.
  void NoteReceived(Common::TimePoint now)
  {
    m_silence.NoteReceived(now);
    m_received_at = now;
  }
  /// When data was last received from the server.
  Common::TimePoint ReceivedAt() const { return m_received_at; }
  const std::optional<ServerLimit>& Limit() const { return m_limit; }
  void SetLimit(const std::optional<ServerLimit>& limit) { m_limit = limit; }
  /// True if the server has had a limit for so long that its models should be loaded on other
  /// servers too. A brief limit does not change the placement.
  bool HasLastingLimit(Common::TimePoint now) const;
  /// Same as HasLastingLimit(), for a server that sent a Retry-After.
  bool HasLastingBackoff(Common::TimePoint now) const;
  bool IsThrottled(Common::TimePoint now) const
  {
    return HasLastingLimit(now) || HasLastingBackoff(now);
  }
  /// Rejections per second, of all daemons together, beyond which the server crashes; none if it
  /// bears them.
  const std::optional<double>& RejectionBound() const { return m_rejection_bound; }
  void SetRejectionBound(std::optional<double> per_second) { m_rejection_bound = per_second; }
  /// When the latest request was sent to which this instance has responded; the epoch if there is
  /// none.
  Common::TimePoint RespondedTo() const { return m_responded_to; }
  void NoteRespondedTo(Common::TimePoint sent_at)
  {
    m_responded_to = std::max(m_responded_to, sent_at);
  }
  int InFlight() const { return m_in_flight; }
  const std::map<ModelId, int>& InFlightByModel() const { return m_in_flight_by_model; }
  /// Requests of other daemons on this server, as reported to the order holder.
  int RemoteInFlight() const { return m_remote_in_flight; }
  void SetRemoteInFlight(int count) { m_remote_in_flight = count; }
  int Load() const { return m_in_flight + m_remote_in_flight; }

  const std::shared_ptr<ServerCondition>& Condition() const { return m_condition; }
  ServerHealth& Health() { return m_condition->health; }
  const ServerHealth& Health() const { return m_condition->health; }
  DrainState& Drain() { return m_condition->drain; }
  const DrainState& Drain() const { return m_condition->drain; }
  bool IsDraining() const { return Drain().IsDraining(); }
  /// True while the server's entry is missing and may be written again.
  bool IsEntryMissing() const { return m_entry_missing; }
  void SetEntryMissing() { m_entry_missing = true; }
  /// True while the operators have evacuated the server's data centre.
  bool IsEvacuated() const { return m_evacuated; }
  void SetEvacuated(bool evacuated) { m_evacuated = evacuated; }
  /// True if models may be loaded on the server: it is neither draining nor evacuated.
  bool IsStaying() const { return !IsDraining() && !IsEvacuated(); }
  ColdState& Cold() { return m_condition->cold; }
  const ColdState& Cold() const { return m_condition->cold; }
  Backoff& GetBackoff() { return m_condition->backoff; }
  const Backoff& GetBackoff() const { return m_condition->backoff; }
  /// Sets how long the server may still receive requests that no other server can take, after it
  /// announced draining in a response to this VM.
  void SetDrainGrace(Common::Milliseconds grace) { m_drain_grace = grace; }

private:
  /// True if the server can take a request now, leaving its failures aside.
  bool IsReady(Common::TimePoint now) const;
  /// Applies what the current entry says about the server's condition.
  void ApplyEntry();

  ServerEntry m_entry;
  RateLimits::ServerKey m_key;
  std::uint64_t m_entry_revision = 1;
  std::shared_ptr<ServerCondition> m_condition;
  Common::Milliseconds m_drain_grace{0};
  bool m_evacuated = false;
  bool m_entry_missing = false;
  SilenceDetector m_silence;
  Common::TimePoint m_received_at;
  std::optional<ServerLimit> m_limit;
  std::optional<double> m_rejection_bound;
  Common::TimePoint m_responded_to;
  Http::IdleConnections m_idle{MAX_IDLE_CONNECTIONS};
  struct Placement
  {
    std::set<Artifact> adapters;
    std::set<ModelId> unloading;
    std::set<ModelId> loading_from_store;
  };
  std::optional<Placement> m_placement;
  std::map<Artifact, Common::TimePoint> m_missing_until;
  int m_in_flight = 0;
  int m_remote_in_flight = 0;
  std::map<ModelId, int> m_in_flight_by_model;
};

using ServerPtr = std::shared_ptr<Server>;

/// All known backend servers, each in its latest instance.
class ServerDirectory
{
public:
  /// Sets the callback for any change of a server that may allow a waiting request to proceed.
  void OnChange(std::function<void(const ServerPtr&)> callback)
  {
    m_on_change = std::move(callback);
  }

  /// Adds or updates a server. The entry of a later instance replaces the server and everything
  /// recorded for it; an entry of an earlier instance is ignored. So is an entry of the same
  /// instance with an earlier heartbeat, for as long as it may have been written late.
  void Put(ServerEntry entry);
  /// Removes a server. Its condition is kept for a while, because the entry of a running server may
  /// expire and be written again.
  void Remove(const InstanceId& instance);
  void SetDrainGrace(Common::Milliseconds grace);
  /// Sets the data centres whose servers, also those added later, get no requests and no loads.
  void SetEvacuated(std::set<Common::DataCentreId> data_centres);
  const std::set<Common::DataCentreId>& Evacuated() const { return m_evacuated; }

  /// Records that entries may have been written and removed that were not received.
  void NoteGap() { ++m_gaps; }
  /// Number of gaps so far.
  std::uint64_t Gaps() const { return m_gaps; }
  /// Records that the entries were the newest ones of the platform at `moment`.
  void RecordProof(Common::TimePoint moment) { m_proven_at = moment; }
  const std::optional<Common::TimePoint>& ProvenAt() const { return m_proven_at; }
  /// Time since the entries were last known to be the newest ones; nullopt if they never were.
  std::optional<Common::Milliseconds> Age(Common::TimePoint now) const;

  ServerPtr Find(const InstanceId& instance) const;
  /// The latest instance under the id of `instance`; the start time of `instance` is ignored.
  ServerPtr FindLatest(const InstanceId& instance) const;
  const std::map<InstanceId, ServerPtr>& All() const { return m_servers; }
  ServerPtr FindByKey(RateLimits::ServerKey key) const;
  std::vector<ServerPtr> InPool(const PoolId& pool) const;
  bool Empty() const { return m_servers.empty(); }
  /// Increases whenever a server is added, removed, or changes its pool or software version.
  std::uint64_t Revision() const { return m_revision; }

private:
  struct RetainedCondition
  {
    std::shared_ptr<ServerCondition> condition;
    Common::TimePoint removed_at;
  };

  void Add(ServerEntry entry);
  /// True if the platform wrote the entry after one with a later heartbeat of the same instance.
  bool IsWrittenLate(const ServerEntry& entry, Common::TimePoint now) const;
  /// The condition of a server that is known or was lately removed; otherwise nullptr.
  std::shared_ptr<ServerCondition> ConditionOf(const InstanceId& instance) const;
  /// Copies announcements of the previous instance to `server`, which may have sent them itself
  /// before its entry was received.
  static void Inherit(Server& server, const Server& before);
  void DropOldConditions(Common::TimePoint now);

  std::map<InstanceId, ServerPtr> m_servers;
  std::map<InstanceId, RetainedCondition>
      m_removed; ///< Conditions of servers whose entry was removed.
  Common::Milliseconds m_drain_grace{0};
  std::set<Common::DataCentreId> m_evacuated;
  std::uint64_t m_revision = 1;
  std::uint64_t m_gaps = 0;
  std::optional<Common::TimePoint> m_proven_at;
  std::function<void(const ServerPtr&)> m_on_change;
};
} // namespace Gateway

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "Accounts/Directory.h"
#include "Common/Units.h"
#include "Http/ServerConnection.h"
#include "Http/TcpStream.h"
#include "RateLimits/Messages.h"

/// What the relay is told by its surroundings: the operators' configuration, the backend servers
/// that exist, and the names of the headers that it reads and sets.
namespace Gateway
{
/// A group of backend servers that serve the same requests.
using PoolId = Common::StrongId<struct PoolIdTag>;
/// When a backend server's process started: Unix milliseconds of its own clock; 0 where it does not
/// tell. Only compared with other starts of the same server.
using ServerStart = Common::Quantity<struct ServerStartTag>;

/// One life of one backend server's process: its id on the platform, and its start, since it may
/// start again under its id. All that is kept of a server is kept under this, so that nothing of
/// the life before is taken for the present one's.
class InstanceId
{
public:
  InstanceId() = default;
  explicit InstanceId(std::string id, ServerStart started = {})
      : m_id(std::move(id)), m_started(started)
  {
  }

  /// The id alone, as the platform and the server itself know it.
  const std::string& Get() const { return m_id; }
  ServerStart Started() const { return m_started; }
  bool HasIdOf(const InstanceId& other) const { return m_id == other.m_id; }
  auto operator<=>(const InstanceId&) const = default;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(m_id, m_started);
  }

  friend std::ostream& operator<<(std::ostream& out, const InstanceId& instance)
  {
    return out << instance.m_id;
  }

private:
  std::string m_id;
  ServerStart m_started;
};

/// Stands for the life of the server in messages about its limit.
RateLimits::ServerKey KeyOf(const InstanceId& instance);

using ModelId = Common::StrongId<struct ModelIdTag>;
/// An adapter's name within its model; empty for the model itself.
using AdapterId = Common::StrongId<struct AdapterIdTag>;

/// What a request asks a backend server to have loaded.
struct Artifact
{
  ModelId model;
  AdapterId adapter;

  auto operator<=>(const Artifact&) const = default;
  bool IsAdapter() const { return !adapter.Empty(); }
  std::string ToString() const
  {
    return IsAdapter() ? model.Get() + "/" + adapter.Get() : model.Get();
  }

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(model, adapter);
  }
};

/// What may be done with a request that was sent once already.
enum class Repeatability
{
  Idempotent,    ///< May run more than once.
  NonIdempotent, ///< Runs once at most.
  Streaming,     ///< A series of events; repeatable only where the route is resumable.
};

struct WeightedPool
{
  PoolId pool;
  std::int64_t weight = 1;
};

/// A rule that sends requests of one host and path prefix to pools.
struct Route
{
  std::string name;
  std::string host;
  std::string path_prefix; ///< Begins and ends with a slash.
  Repeatability repeatability = Repeatability::NonIdempotent;
  Common::Milliseconds timeout{0};        ///< The longest that a request may be held.
  Common::Milliseconds latency_target{0}; ///< To the answer, or to a stream's first event.
  Common::Milliseconds gap_target{0};     ///< Longest pause between a stream's events.
  int priority = 0;                       ///< 0 is the most urgent.
  int max_servers = 1;                    ///< Backend servers to which one request may be sent.
  bool resumable = false; ///< A stream may be continued behind its last event elsewhere.
  bool uses_model = false;
  bool open_to_all = false; ///< Also to callers without a key.
  std::vector<WeightedPool> pools;

  bool IsRepeatable() const { return repeatability == Repeatability::Idempotent || resumable; }
};

/// A model that the servers of a pool can load.
struct ModelSpec
{
  ModelId model;
  double memory_mb = 0;
  Common::Milliseconds load_from_store{0};
  Common::Milliseconds load_from_disk{0};
  Common::Milliseconds load_from_host_memory{0};
  int adapters = 0;
  double adapter_mb = 0;
};

/// What all model engines of a pool have in common.
struct EngineSpec
{
  int batch = 1;               ///< Requests at once.
  double memory_mb = 0;        ///< For weights and adapters of one server.
  int adapter_slots = 0;       ///< Adapters that one server may hold.
  double loads_per_second = 0; ///< From the weight store, over all servers.
  std::map<ModelId, ModelSpec> models;
};

struct Pool
{
  PoolId id;
  std::string health_path;
  int max_connections = 0; ///< That one server accepts from all callers together.
  std::optional<EngineSpec> engine;

  /// nullptr where the pool has no engine, or one that does not know the model.
  const ModelSpec* FindModel(const ModelId& model) const;
};

/// One version of the operators' configuration.
struct Configuration
{
  std::int64_t version = 0;
  std::vector<Route> routes;
  std::map<PoolId, Pool> pools;
  Http::ServerLimits limits;
  /// Who may call; nullptr where no key is asked for.
  std::shared_ptr<const Accounts::Directory> accounts;

  /// The route of `host` with the longest prefix that begins `path`, or nullptr.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
};

/// A model that a backend server holds in accelerator memory.
struct LoadedModel
{
  ModelId model;
  std::vector<AdapterId> adapters;

  auto operator<=>(const LoadedModel&) const = default;
};

/// What is known of one backend server from the platform.
struct ServerEntry
{
  InstanceId instance;
  PoolId pool;
  Http::Endpoint endpoint;
  Common::DataCentreId data_centre;
  int slots = 1; ///< Requests that it works on at once.
  bool draining = false;
  Common::Milliseconds warming_up{0}; ///< For so long after its start it is slow.
  std::vector<LoadedModel> models;
  std::vector<ModelId> in_host_memory; ///< Weights that load the fastest.
  std::vector<ModelId> on_disk;
};

/// Names of the headers that callers and backend servers use.
struct HeaderNames
{
  std::string request_id;
  std::string time_left_ms;
  std::string model;
  std::string last_event_id;
  std::string token_counts; ///< Tokens of the prompt, and at most of the answer: "IN,OUT".
  std::string prompt_parts; ///< ID:TOKENS of the prompt's parts, in order.
  std::string signature;    ///< By which an answer proves that a backend server made it.
  std::string expected_instance;
  std::string instance; ///< The instance that answered.
  std::string not_run;  ///< Present where the request was rejected before it ran.
  /// Requests a second that the server takes from all daemons together.
  std::string request_limit;
  std::string draining;    ///< "1" while the server is about to leave.
  std::string retry_after; ///< Of a rejection: how long this VM should back off.
  std::string urgency;
  std::string key;                   ///< The caller's secret; never passed on.
  std::string account;               ///< The caller's account, set by us; never taken from callers.
  std::vector<std::string> reserved; ///< Never taken from callers.
};
} // namespace Gateway

template <>
struct std::hash<Gateway::InstanceId>
{
  std::size_t operator()(const Gateway::InstanceId& instance) const noexcept
  {
    return std::hash<std::string>{}(instance.Get()) ^
           std::hash<std::int64_t>{}(instance.Started().Get());
  }
};

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
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Accounts/Directory.h"
#include "Common/Units.h"
#include "Decisions/WeightCopies.h"
#include "Http/ServerConnection.h"
#include "Http/TcpStream.h"
#include "RateLimits/Messages.h"

/// Relays requests to backend servers. This file holds the relay's inputs: the operators'
/// configuration, the entries of the backend servers, and the names of the headers that the relay
/// reads and sets.
namespace Gateway
{
/// A group of backend servers that serve the same requests.
using PoolId = Common::StrongId<struct PoolIdTag>;
/// Start time of a backend server's process in Unix milliseconds of its own clock; 0 if unknown. It
/// is only compared with other starts of the same server.
using ServerStart = Common::Quantity<struct ServerStartTag>;

/// Counts the heartbeats of one instance of a backend server: a higher one was written later.
using HeartbeatNumber = Common::Quantity<struct HeartbeatNumberTag>;

/// Identifies one instance of a backend server: its process from one start on, named by its id on
/// the platform and its start time, since a server may restart under the same id. All state of a
/// server is keyed by this, so that state of a previous instance is never attributed to the current
/// one.
class InstanceId
{
public:
  InstanceId() = default;
  explicit InstanceId(std::string id, ServerStart started = {})
      : m_id(std::move(id)), m_started(started)
  {
  }

  /// The id without the start time, as used by the platform and the server itself.
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

/// Key of the instance in messages about rate limits and draining servers.
RateLimits::ServerKey KeyOf(const InstanceId& instance);

using ModelId = Common::StrongId<struct ModelIdTag>;
/// An adapter's name within its model; empty for the model itself.
using AdapterId = Common::StrongId<struct AdapterIdTag>;

/// A model, or an adapter of a model, that a request needs loaded on its backend server.
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

/// Whether a request that has already been sent once may be sent again.
enum class Repeatability
{
  Idempotent,    ///< May run more than once.
  NonIdempotent, ///< Must run at most once.
  Streaming,     ///< An event stream; repeatable only if the route is resumable.
};

struct WeightedPool
{
  PoolId pool;
  std::int64_t weight = 1;
};

/// Routes requests with one host and path prefix to pools.
struct Route
{
  std::string name;
  std::string host;
  std::string path_prefix; ///< Begins and ends with a slash.
  Repeatability repeatability = Repeatability::NonIdempotent;
  Common::Milliseconds timeout{0};        ///< Maximum time to serve a request.
  Common::Milliseconds latency_target{0}; ///< To the response or a stream's first event.
  Common::Milliseconds gap_target{0};     ///< Maximum pause between a stream's events.
  int priority = 0;                       ///< 0 is the highest.
  int max_servers = 1;                    ///< Maximum backend servers tried per request.
  /// A stream may continue after its last event on another server. Has no effect on other routes.
  bool resumable = false;
  bool uses_model = false;
  bool open_to_all = false; ///< No API key is required.
  /// Regions in which requests may run; empty: in all.
  std::set<Common::RegionId> allowed_regions;
  std::vector<WeightedPool> pools;

  /// True if a request that may have run may be sent again. Nothing else decides that.
  bool IsRepeatable() const;
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

  Common::Milliseconds LoadTime(Decisions::WeightSource source) const;
};

/// Properties shared by all servers of a pool that run models.
struct ModelServerSpec
{
  int batch = 1;               ///< Concurrent requests per server.
  double memory_mb = 0;        ///< Memory for weights and adapters per server.
  int adapter_slots = 0;       ///< Maximum adapters per server.
  double loads_per_second = 0; ///< Loads from the weight store, over all servers.
  std::map<ModelId, ModelSpec> models;
};

struct Pool
{
  PoolId id;
  std::string health_path;
  int max_connections = 0; ///< Accepted by one server from all callers together.
  /// Requests per second that a cold server accepts from all daemons together; unset if it takes as
  /// many as a warm one.
  std::optional<RateLimits::RequestRate> cold_rate;
  Common::Milliseconds cold_period{0}; ///< How long a server is cold after a start.
  std::optional<ModelServerSpec> model_server;

  /// Returns nullptr if the servers of the pool run no models or do not support this one.
  const ModelSpec* FindModel(const ModelId& model) const;
};

/// One version of the operators' configuration.
struct Configuration
{
  std::int64_t version = 0;
  std::vector<Route> routes;
  std::map<PoolId, Pool> pools;
  Http::ServerLimits limits;
  /// Client accounts; nullptr if no API key is required.
  std::shared_ptr<const Accounts::Directory> accounts;

  /// Returns the route of `host` with the longest prefix of `path`, or nullptr.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  /// What is valid but has no effect, in words for the operator.
  std::vector<std::string> Warnings() const;
};

/// A model that a backend server holds in accelerator memory.
struct LoadedModel
{
  ModelId model;
  std::vector<AdapterId> adapters;

  auto operator<=>(const LoadedModel&) const = default;
};

/// Version of a backend server's software; versions have no order.
using SoftwareVersion = Common::StrongId<struct SoftwareVersionTag>;

/// A backend server's entry on the platform.
struct ServerEntry
{
  InstanceId instance;
  std::optional<HeartbeatNumber> heartbeat; ///< Of those of the instance; nullopt if not stated.
  SoftwareVersion version;                  ///< Empty if unknown.
  PoolId pool;
  Http::Endpoint endpoint;
  Common::DataCentreId data_centre;
  int slots = 1; ///< Maximum concurrent requests.
  bool draining = false;
  Common::Milliseconds warming_up{0}; ///< How long the server remains cold.
  std::vector<LoadedModel> models;
  std::vector<ModelId> in_host_memory; ///< Weights in host memory, the fastest to load.
  std::vector<ModelId> on_disk;
};

/// Names of the headers used by callers and backend servers.
struct HeaderNames
{
  std::string request_id;
  std::string time_left_ms;
  std::string model;
  std::string last_event_id;
  std::string resumes; ///< Id of the request whose response brought a resumed stream's first event.
  std::string token_counts; ///< "IN,OUT": tokens of the prompt, and maximum of the response.
  std::string prompt_parts; ///< ID:TOKENS of the prompt's parts, in order.
  std::string signature;    ///< Proves that a backend server made the response.
  std::string expected_instance;
  std::string instance; ///< The instance that responded.
  std::string not_run;  ///< Present where the request was rejected before it ran.
  /// Rate limit of the server for all daemons together, in requests per second.
  std::string request_limit;
  std::string draining;  ///< "1" while the server is draining.
  std::string cold_left; ///< How long the server remains cold, in milliseconds.
  /// Rejections per second, of all daemons together, beyond which the server crashes.
  std::string rejection_limit;
  std::string retry_after; ///< In a rejection: how long this VM should back off.
  std::string urgency;
  std::string key;     ///< The caller's API key; never forwarded.
  std::string account; ///< The caller's account, set by the relay; never accepted from callers.
  std::vector<std::string> reserved; ///< Never accepted from callers.
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

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "UnitTests/Decisions/ReferencePlan.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <set>

namespace ReferencePlan
{
namespace
{
using Common::Milliseconds;

/// Fraction of a replica's batch size that may be in use before another replica is wanted: above it
/// the token latency of all requests rises noticeably, and a crash fails more requests.
constexpr double TARGET_UTILIZATION = 0.25;
/// Models with at least this arrival rate keep a second replica, so that a crash does not leave
/// them unserved.
constexpr double SPARE_REPLICA_ABOVE_PER_SECOND = 1.0;
/// A replica whose model was requested within this time is not evicted for another model.
constexpr Milliseconds MIN_IDLE{400};
/// Minimum time to keep a replica after its load, so that the requests that waited for it are
/// served.
constexpr Milliseconds MIN_RESIDENCE{600};
/// A model without a replica whose requests have waited this long may evict a model in use. An
/// unload waits for the running requests of its model, so none is interrupted, and models share the
/// servers in turn if more are in use than fit.
constexpr Milliseconds EVICT_IN_USE_AFTER{900};
/// Minimum time to keep a replica in use before it may be evicted for a waiting model.
constexpr Milliseconds MIN_RESIDENCE_IN_USE{1500};
/// Cost of each running request of an evicted replica: the unload waits for it.
constexpr double VICTIM_RUN_COST_MS = 150;
/// Delay that an unload adds before the load can start.
constexpr Milliseconds UNLOAD_TIME{120};
/// Cost of loading on a server for each request running there: the load and the requests slow each
/// other down.
constexpr double COST_PER_RUNNING_MS = 8;

/// A server on which a model can be loaded, possibly after evicting another model.
struct Candidate
{
  const PlannedServer* server = nullptr;
  const PlannedReplica* victim = nullptr;
  WeightSource source = WeightSource::WeightStore;
  double cost_ms = 0;
  double victim_value = 0;
};

bool Contains(const std::vector<std::string>& names, const std::string& name)
{
  return std::ranges::find(names, name) != names.end();
}

WeightSource SourceOn(const PlannedServer& server, const std::string& model)
{
  if (Contains(server.in_host_memory, model))
    return WeightSource::HostMemory;
  return Contains(server.on_disk, model) ? WeightSource::Disk : WeightSource::WeightStore;
}

Milliseconds LoadTime(const PlannedModel& model, WeightSource source)
{
  switch (source)
  {
  case WeightSource::HostMemory:
    return model.from_host_memory;
  case WeightSource::Disk:
    return model.from_disk;
  case WeightSource::WeightStore:
    break;
  }
  return model.from_store;
}

class Planner
{
public:
  explicit Planner(const ReplicaPlanInput& input)
      : m_input(input), m_store_loads_left(input.store_loads_allowed)
  {
    for (const PlannedServer& server : input.servers)
      for (const PlannedReplica& replica : server.replicas)
        ++m_replicas[replica.model];
    for (const PlannedServer& server : input.servers)
      if (server.loading)
        ++m_loading[*server.loading];
  }

  std::vector<PlannedOrder> Run()
  {
    for (const PlannedModel* model : ByUrgency())
      PlaceModel(*model);
    return std::move(m_orders);
  }

private:
  /// Models with fewer replicas than wanted, most urgent first.
  std::vector<const PlannedModel*> ByUrgency() const
  {
    std::vector<const PlannedModel*> under_replicated;
    for (const auto& [name, model] : m_input.models)
      if (IsUnderReplicated(model))
        under_replicated.push_back(&model);
    std::ranges::sort(under_replicated, {}, [&](const PlannedModel* model) {
      const bool unserved = IsUnserved(*model) && model->waiting > 0;
      return std::tuple(!unserved, model->waiting == 0, -Urgency(*model));
    });
    return under_replicated;
  }

  /// Models with more waiting requests come first. Priority and waiting time also count, so that no
  /// model starves.
  static double Urgency(const PlannedModel& model)
  {
    const double rank = 1 + 1.0 / (1 + model.priority);
    return model.waiting * rank + std::chrono::duration<double>(model.oldest_wait).count();
  }

  int Replicas(const PlannedModel& model) const
  {
    const auto found = m_replicas.find(model.model);
    return found == m_replicas.end() ? 0 : found->second;
  }

  int Loading(const PlannedModel& model) const
  {
    const auto found = m_loading.find(model.model);
    return found == m_loading.end() ? 0 : found->second;
  }

  bool IsUnserved(const PlannedModel& model) const { return Replicas(model) + Loading(model) == 0; }

  int Wanted(const PlannedModel& model) const
  {
    const int batch = m_input.servers.empty() ? 1 : m_input.servers.front().batch;
    return WantedReplicas(model, batch);
  }

  bool IsUnderReplicated(const PlannedModel& model) const
  {
    return Replicas(model) + Loading(model) < Wanted(model);
  }

  void PlaceModel(const PlannedModel& model)
  {
    // Additional replicas are loaded only from disk or host memory, not from the weight store.
    const bool unserved = IsUnserved(model);
    const bool store_allowed = unserved && m_store_loads_left > 0 && !ShouldWaitForDisk(model);
    std::optional<Candidate> best;
    for (const PlannedServer& server : m_input.servers)
    {
      const auto candidate = CandidateOn(server, model);
      if (!candidate || (candidate->source == WeightSource::WeightStore && !store_allowed))
        continue;
      // An additional replica must not evict models with a comparable arrival rate.
      if (!unserved && candidate->victim_value * 2 >= model.arrivals_per_second)
        continue;
      if (!best || candidate->cost_ms < best->cost_ms)
        best = candidate;
    }
    if (best)
      AddOrder(*best, model);
  }

  /// True if a usable server has a copy of the weights, even if it is busy now, and the wait so far
  /// is shorter than the time that a load from there saves. A load from the weight store would
  /// block orders to another server for its whole duration.
  bool ShouldWaitForDisk(const PlannedModel& model) const
  {
    const bool lies_near = std::ranges::any_of(m_input.servers, [&](const PlannedServer& server) {
      return server.usable && SourceOn(server, model.model) != WeightSource::WeightStore;
    });
    return lies_near && model.oldest_wait < model.from_store - model.from_disk;
  }

  std::optional<Candidate> CandidateOn(const PlannedServer& server, const PlannedModel& model)
  {
    if (!server.usable || server.order_open || m_ordered.contains(server.instance) ||
        HasReplica(server, model.model))
      return std::nullopt;
    Candidate candidate;
    candidate.server = &server;
    candidate.source = SourceOn(server, model.model);
    candidate.cost_ms = static_cast<double>(LoadTime(model, candidate.source).count()) +
                        COST_PER_RUNNING_MS * server.in_flight;
    if (FreeMemory(server) >= model.memory_mb)
      return candidate;
    candidate.victim = ChooseVictim(server, model.memory_mb, [&](const PlannedReplica& replica) {
      return CanEvict(server, replica);
    });
    const bool may_evict_in_use = IsUnserved(model) && model.oldest_wait >= EVICT_IN_USE_AFTER;
    if (candidate.victim == nullptr && may_evict_in_use)
      candidate.victim = ChooseVictim(server, model.memory_mb, [&](const PlannedReplica& replica) {
        return CanEvictInUse(server, replica, model);
      });
    if (candidate.victim == nullptr)
      return std::nullopt;
    candidate.cost_ms += VICTIM_RUN_COST_MS * candidate.victim->in_flight;
    candidate.victim_value = Value(candidate.victim->model);
    // An evicted model with a high arrival rate must soon be loaded again: each arrival per second
    // costs half a load.
    candidate.cost_ms += static_cast<double>(UNLOAD_TIME.count()) + candidate.victim_value * 1000;
    return candidate;
  }

  static bool HasReplica(const PlannedServer& server, const std::string& model)
  {
    return std::ranges::find(server.replicas, model, &PlannedReplica::model) !=
           server.replicas.end();
  }

  double MemoryOf(const std::string& model) const
  {
    const auto found = m_input.models.find(model);
    return found == m_input.models.end() ? 0 : found->second.memory_mb;
  }

  double FreeMemory(const PlannedServer& server) const
  {
    double used = server.adapters_mb;
    for (const PlannedReplica& replica : server.replicas)
      used += MemoryOf(replica.model);
    return server.memory_mb - used;
  }

  /// Arrivals per second that one replica of the model serves; a single replica serves them all.
  double Value(const std::string& name) const
  {
    const auto found = m_input.models.find(name);
    if (found == m_input.models.end())
      return 0;
    const int replicas = std::max(Replicas(found->second), 1);
    return found->second.arrivals_per_second / replicas;
  }

  bool CanEvict(const PlannedServer& server, const PlannedReplica& replica) const
  {
    const auto found = m_input.models.find(replica.model);
    if (found == m_input.models.end())
      return replica.in_flight == 0;
    const PlannedModel& model = found->second;
    if (replica.in_flight > 0 || server.loading == replica.model)
      return false;
    if (m_input.now - replica.since < MIN_RESIDENCE)
      return false;
    const bool surplus = Replicas(model) > std::max(Wanted(model), 1);
    if (surplus)
      return true;
    if (model.waiting > 0 || m_input.now - model.last_wanted < MIN_IDLE)
      return false;
    return Replicas(model) > Wanted(model) || Wanted(model) <= 1;
  }

  /// True if a replica in use may be evicted for a waiting model: it has been loaded for long
  /// enough, and its model is not in higher demand.
  bool CanEvictInUse(const PlannedServer& server, const PlannedReplica& replica,
                     const PlannedModel& waiting) const
  {
    const auto found = m_input.models.find(replica.model);
    if (found == m_input.models.end() || server.loading == replica.model ||
        m_input.now - replica.since < MIN_RESIDENCE_IN_USE)
      return false;
    return found->second.in_flight <= waiting.waiting + 1;
  }

  const PlannedReplica*
  ChooseVictim(const PlannedServer& server, double memory_needed,
               const std::function<bool(const PlannedReplica&)>& can_evict) const
  {
    const PlannedReplica* best = nullptr;
    const double free = FreeMemory(server);
    const auto key = [&](const PlannedReplica& replica) {
      const auto found = m_input.models.find(replica.model);
      const auto last =
          found == m_input.models.end() ? Common::TimePoint() : found->second.last_wanted;
      return std::pair(Value(replica.model), last);
    };
    for (const PlannedReplica& replica : server.replicas)
    {
      if (!can_evict(replica) || free + MemoryOf(replica.model) < memory_needed)
        continue;
      if (best == nullptr || key(replica) < key(*best))
        best = &replica;
    }
    return best;
  }

  void AddOrder(const Candidate& candidate, const PlannedModel& model)
  {
    m_ordered.insert(candidate.server->instance);
    PlannedOrder order;
    order.instance = candidate.server->instance;
    order.source = candidate.source;
    if (candidate.victim != nullptr)
    {
      order.kind = PlannedOrder::Kind::Unload;
      order.model = candidate.victim->model;
      order.for_model = model.model;
      order.reason = "room for " + model.model;
      --m_replicas[order.model];
    }
    else
    {
      order.model = model.model;
      order.reason = std::to_string(model.waiting) + " waiting";
    }
    if (candidate.source == WeightSource::WeightStore)
      --m_store_loads_left;
    ++m_loading[model.model];
    m_orders.push_back(std::move(order));
  }

  const ReplicaPlanInput& m_input;
  int m_store_loads_left;
  std::map<std::string, int> m_replicas;
  std::map<std::string, int> m_loading;
  std::set<std::string> m_ordered;
  std::vector<PlannedOrder> m_orders;
};
} // namespace

int WantedReplicas(const PlannedModel& model, int batch)
{
  if (model.waiting == 0 && model.in_flight == 0 &&
      model.arrivals_per_second < SPARE_REPLICA_ABOVE_PER_SECOND)
    return 0;
  const double load = model.in_flight + model.waiting;
  const int by_load = 1 + static_cast<int>(load / (TARGET_UTILIZATION * std::max(batch, 1)));
  const int spare = model.arrivals_per_second >= SPARE_REPLICA_ABOVE_PER_SECOND ? 2 : 1;
  return std::max(by_load, spare);
}

std::vector<PlannedOrder> PlanReplicas(const ReplicaPlanInput& input)
{
  return Planner(input).Run();
}
} // namespace ReferencePlan

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

/// Of its batch, the part of a replica that requests may take before another replica is wanted:
/// beyond it each token of all comes noticeably later, and a crash takes more requests along.
constexpr double COMFORTABLE_FILL = 0.25;
/// A model that is asked for so often keeps a second replica, so that a crash does not stop it.
constexpr double SPARE_REPLICA_ABOVE_PER_SECOND = 1.0;
/// A replica that was wanted this lately is not given up for another model.
constexpr Milliseconds MIN_IDLE{400};
/// A replica is kept at least so long after it was loaded: whoever waited for it gets its turn.
constexpr Milliseconds MIN_STAY{600};
/// A model that nobody holds and that is waited for so long may push out one that is in use: an
/// unload waits for the runs of its model, so nothing is cut, and models take turns where there are
/// more of them in use than places.
constexpr Milliseconds TURN_WAIT{900};
/// A replica that is in use has its turn for at least so long.
constexpr Milliseconds MIN_TURN{1500};
/// What one running request of the victim adds to the cost: the unload waits for it.
constexpr double VICTIM_RUN_COST_MS = 150;
/// What an unload adds before the load can begin; measured on the users' bench.
constexpr Milliseconds UNLOAD_TIME{120};
/// What one running request adds to the cost of loading on its server: the load and the requests
/// slow each other.
constexpr double COST_PER_RUNNING_MS = 8;

/// A place for a model on a server, perhaps after another model is given up.
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
      : m_input(input), m_store_left(input.store_loads_allowed)
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
  /// Models that lack a replica, the most urgent first.
  std::vector<const PlannedModel*> ByUrgency() const
  {
    std::vector<const PlannedModel*> lacking;
    for (const auto& [name, model] : m_input.models)
      if (Lacks(model))
        lacking.push_back(&model);
    std::ranges::sort(lacking, {}, [&](const PlannedModel* model) {
      const bool unserved = Unserved(*model) && model->waiting > 0;
      return std::tuple(!unserved, model->waiting == 0, -Urgency(*model));
    });
    return lacking;
  }

  /// Many requests that wait for one load go before one; rank and age count beside the number, so
  /// that nobody waits for ever.
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

  bool Unserved(const PlannedModel& model) const { return Replicas(model) + Loading(model) == 0; }

  int Wanted(const PlannedModel& model) const
  {
    const int batch = m_input.servers.empty() ? 1 : m_input.servers.front().batch;
    return WantedReplicas(model, batch);
  }

  bool Lacks(const PlannedModel& model) const
  {
    return Replicas(model) + Loading(model) < Wanted(model);
  }

  void PlaceModel(const PlannedModel& model)
  {
    // A replica beyond the first is worth a load from disk, not one from the weight store.
    const bool unserved = Unserved(model);
    const bool store_allowed = unserved && m_store_left > 0 && !MayWaitForDisk(model);
    std::optional<Candidate> best;
    for (const PlannedServer& server : m_input.servers)
    {
      const auto candidate = CandidateOn(server, model);
      if (!candidate || (candidate->source == WeightSource::WeightStore && !store_allowed))
        continue;
      // A spare replica must not push out a model that is about as much in demand.
      if (!unserved && candidate->victim_value * 2 >= model.arrivals_per_second)
        continue;
      if (!best || candidate->cost_ms < best->cost_ms)
        best = candidate;
    }
    if (best)
      Give(*best, model);
  }

  /// True where the weights lie at a server that takes orders, though perhaps not at this moment,
  /// and the wait so far is shorter than what a load from there saves. A load from the weight store
  /// would keep another server from orders for its whole time.
  bool MayWaitForDisk(const PlannedModel& model) const
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
    candidate.victim = VictimOn(server, model.memory_mb, [&](const PlannedReplica& replica) {
      return MayGive(server, replica);
    });
    const bool takes_turns = Unserved(model) && model.oldest_wait >= TURN_WAIT;
    if (candidate.victim == nullptr && takes_turns)
      candidate.victim = VictimOn(server, model.memory_mb, [&](const PlannedReplica& replica) {
        return MayGiveItsTurn(server, replica, model);
      });
    if (candidate.victim == nullptr)
      return std::nullopt;
    candidate.cost_ms += VICTIM_RUN_COST_MS * candidate.victim->in_flight;
    candidate.victim_value = Value(candidate.victim->model);
    // A victim that is asked for often has to come back soon: half a load for each second's
    // request.
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

  /// Arrivals a second that a replica of the model serves; the last replica serves them all.
  double Value(const std::string& name) const
  {
    const auto found = m_input.models.find(name);
    if (found == m_input.models.end())
      return 0;
    const int replicas = std::max(Replicas(found->second), 1);
    return found->second.arrivals_per_second / replicas;
  }

  bool MayGive(const PlannedServer& server, const PlannedReplica& replica) const
  {
    const auto found = m_input.models.find(replica.model);
    if (found == m_input.models.end())
      return replica.in_flight == 0;
    const PlannedModel& model = found->second;
    if (replica.in_flight > 0 || server.loading == replica.model)
      return false;
    if (m_input.now - replica.since < MIN_STAY)
      return false;
    const bool surplus = Replicas(model) > std::max(Wanted(model), 1);
    if (surplus)
      return true;
    if (model.waiting > 0 || m_input.now - model.last_wanted < MIN_IDLE)
      return false;
    return Replicas(model) > Wanted(model) || Wanted(model) <= 1;
  }

  /// True where a replica in use may make way for a model that waits: it has had its turn, and its
  /// model is not in more demand.
  bool MayGiveItsTurn(const PlannedServer& server, const PlannedReplica& replica,
                      const PlannedModel& waiting) const
  {
    const auto found = m_input.models.find(replica.model);
    if (found == m_input.models.end() || server.loading == replica.model ||
        m_input.now - replica.since < MIN_TURN)
      return false;
    return found->second.in_flight <= waiting.waiting + 1;
  }

  const PlannedReplica* VictimOn(const PlannedServer& server, double memory_needed,
                                 const std::function<bool(const PlannedReplica&)>& may_give) const
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
      if (!may_give(replica) || free + MemoryOf(replica.model) < memory_needed)
        continue;
      if (best == nullptr || key(replica) < key(*best))
        best = &replica;
    }
    return best;
  }

  void Give(const Candidate& candidate, const PlannedModel& model)
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
      --m_store_left;
    ++m_loading[model.model];
    m_orders.push_back(std::move(order));
  }

  const ReplicaPlanInput& m_input;
  int m_store_left;
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
  const int by_load = 1 + static_cast<int>(load / (COMFORTABLE_FILL * std::max(batch, 1)));
  const int spare = model.arrivals_per_second >= SPARE_REPLICA_ABOVE_PER_SECOND ? 2 : 1;
  return std::max(by_load, spare);
}

std::vector<PlannedOrder> PlanReplicas(const ReplicaPlanInput& input)
{
  return Planner(input).Run();
}
} // namespace ReferencePlan

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Decisions/ReplicaPlan.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <tuple>
#include <utility>

#include "Decisions/Eviction.h"

namespace Decisions
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

/// Number of models per plan for which all servers are scanned; for the others only servers with a
/// copy are considered. A load from the weight store can go to any server, but few may start at the
/// same time, and if no server has room for the most urgent models, there is hardly room for
/// others.
constexpr int MAX_FULL_SCANS = 16;

using Victims = std::vector<const PlannedReplica*>;

/// A server on which a model can be loaded, possibly after evicting other models.
struct Candidate
{
  ServerIndex server{};
  Victims victims;
  WeightSource source = WeightSource::WeightStore;
  double cost_ms = 0;
  double victim_value = 0;

  bool IsBetterThan(const Candidate& other) const
  {
    return std::pair(cost_ms, server) < std::pair(other.cost_ms, other.server);
  }
};

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
      : m_input(input),
        m_store_loads_left(input.store_loads_allowed),
        m_replicas(input.models.size()),
        m_loading(input.models.size()),
        m_ordered(input.servers.size()),
        m_needed_for_disk_loads(input.servers.size())
  {
    for (const PlannedServer& server : input.servers)
    {
      if (server.draining)
        continue;
      for (const PlannedReplica& replica : server.replicas)
        if (CanServeDemand(server, Model(replica.model)))
          ++m_replicas[At(replica.model)];
      if (server.loading)
        ++m_loading[At(*server.loading)];
    }
  }

  ReplicaPlan Run()
  {
    const std::vector<ModelIndex> under_replicated = ByUrgency();
    MarkNeededForDiskLoads(under_replicated);
    for (const ModelIndex model : under_replicated)
      PlaceModel(model);
    return std::move(m_plan);
  }

private:
  const PlannedModel& Model(ModelIndex model) const { return m_input.models[At(model)]; }
  /// A server whose rate limit is below the arrival rate of the model does not count as having it
  /// loaded.
  static bool CanServeDemand(const PlannedServer& server, const PlannedModel& model)
  {
    return !server.requests_per_second || model.arrivals_per_second <= *server.requests_per_second;
  }
  int Replicas(ModelIndex model) const { return m_replicas[At(model)]; }
  /// True if no server has the model loaded or is loading it. Without counting pending loads, a
  /// second replica was ordered 3 ms later and evicted a model in use, repeatedly: 13 of 206
  /// requests were refused with as many models in use as fit on the servers.
  bool IsUnserved(ModelIndex model) const { return Replicas(model) + m_loading[At(model)] == 0; }

  /// Models with fewer replicas than wanted, most urgent first.
  std::vector<ModelIndex> ByUrgency() const
  {
    std::vector<ModelIndex> under_replicated;
    for (std::size_t i = 0; i < m_input.models.size(); ++i)
      if (m_input.models[i].listed && IsUnderReplicated(ModelIndex(i)))
        under_replicated.push_back(ModelIndex(i));
    std::ranges::stable_sort(under_replicated, {}, [&](ModelIndex index) {
      const PlannedModel& model = Model(index);
      const bool unserved = IsUnserved(index) && model.waiting > 0;
      return std::tuple(!unserved, model.waiting == 0, -Urgency(model));
    });
    return under_replicated;
  }

  /// How long requests have waited for the model. Not reset if callers disconnect or are refused.
  static Milliseconds WaitTime(const PlannedModel& model)
  {
    return std::max(model.oldest_wait, model.unserved_for);
  }

  /// Models with more waiting requests come first. Priority and waiting time also count, so that no
  /// model starves.
  static double Urgency(const PlannedModel& model)
  {
    const double rank = 1 + 1.0 / (1 + model.priority);
    return model.waiting * rank + std::chrono::duration<double>(WaitTime(model)).count();
  }

  int Wanted(ModelIndex model) const
  {
    return WantedReplicas(Model(model), m_input.batch, m_input.rules.spare_replicas);
  }

  bool IsUnderReplicated(ModelIndex model) const
  {
    return m_replicas[At(model)] + m_loading[At(model)] < Wanted(model);
  }

  void PlaceModel(ModelIndex model)
  {
    // Additional replicas are loaded only from disk or host memory, not from the weight store.
    const bool unserved = IsUnserved(model);
    const bool store_allowed = unserved && m_store_loads_left > 0 && !ShouldWaitForDisk(model);
    auto best = store_allowed && TryTakeFullScan() ? BestAmongAllServers(model, unserved)
                                                   : BestAmongCopies(model, unserved);
    if (!best && !store_allowed && MayBypassDisk(model) && TryTakeFullScan())
      best = BestWithoutDiskDemand(model);
    if (best)
      AddOrder(*best, model);
    else if (unserved && Model(model).waiting > 0)
      m_plan.skipped.push_back(DescribeSkipped(model, store_allowed));
  }

  bool TryTakeFullScan() { return m_full_scans++ < MAX_FULL_SCANS; }

  /// True if the demand has been unserved for longer than a load from disk saves. Each load from
  /// the weight store blocks other orders of its server for its whole duration: ordering them
  /// wherever there was room lowered the mean score by 0.05 over six days on which one model
  /// starved.
  bool MayBypassDisk(ModelIndex model) const
  {
    return IsUnserved(model) && m_store_loads_left > 0 &&
           ExceedsDiskSaving(Model(model), Model(model).unserved_for);
  }

  /// Examines only the servers with a copy, to bound its cost.
  SkippedModel DescribeSkipped(ModelIndex model, bool store_allowed) const
  {
    const auto copies = m_input.copies.Of(model);
    SkippedModel result;
    result.model = model;
    result.copies = copies.size();
    result.store_allowed = store_allowed;
    bool any_idle = false;
    for (const WeightCopy& copy : copies)
    {
      const PlannedServer& server = m_input.servers[At(copy.server)];
      if (!server.usable)
        continue;
      any_idle = any_idle || !(server.order_open || m_ordered[At(copy.server)]);
      if (result.most_free_server && FreeMemory(server) <= result.free_mb)
        continue;
      result.most_free_server = copy.server;
      result.free_mb = FreeMemory(server);
    }
    if (any_idle || store_allowed)
      result.obstacle = PlanObstacle::NoRoom;
    else if (result.most_free_server)
      result.obstacle = PlanObstacle::ServersBusy;
    return result;
  }

  std::optional<Candidate> BestAmongCopies(ModelIndex model, bool unserved)
  {
    std::optional<Candidate> best;
    for (const WeightCopy& copy : m_input.copies.Of(model))
      EvaluateCandidate(best, copy.server, copy.source, model, unserved);
    return best;
  }

  std::optional<Candidate> BestAmongAllServers(ModelIndex model, bool unserved)
  {
    std::optional<Candidate> best;
    for (std::size_t i = 0; i < m_input.servers.size(); ++i)
      EvaluateCandidate(best, ServerIndex(i), m_input.copies.SourceOn(ServerIndex(i), model), model,
                        unserved);
    return best;
  }

  /// The best server for a load from the weight store among those that are not needed for loads
  /// from disk of other models with waiting requests.
  std::optional<Candidate> BestWithoutDiskDemand(ModelIndex model)
  {
    std::optional<Candidate> best;
    for (std::size_t i = 0; i < m_input.servers.size(); ++i)
      if (!m_needed_for_disk_loads[i])
        EvaluateCandidate(best, ServerIndex(i), WeightSource::WeightStore, model, true);
    return best;
  }

  /// Marks the servers with a copy of an unserved model that has waiting requests.
  void MarkNeededForDiskLoads(const std::vector<ModelIndex>& under_replicated)
  {
    for (const ModelIndex model : under_replicated)
      if (IsUnserved(model) && Model(model).waiting > 0)
        for (const WeightCopy& copy : m_input.copies.Of(model))
          m_needed_for_disk_loads[At(copy.server)] = true;
  }

  void EvaluateCandidate(std::optional<Candidate>& best, ServerIndex server, WeightSource source,
                         ModelIndex model, bool unserved)
  {
    ++m_plan.candidates;
    const auto candidate = CandidateOn(server, source, model);
    if (!candidate)
      return;
    // An additional replica must not evict models with a comparable arrival rate.
    if (!unserved && candidate->victim_value * 2 >= Model(model).arrivals_per_second)
      return;
    if (!best || candidate->IsBetterThan(*best))
      best = candidate;
  }

  /// True if a wait is at least the time that a load from disk saves over the weight store.
  static bool ExceedsDiskSaving(const PlannedModel& model, Milliseconds wait)
  {
    return wait >= model.from_store - model.from_disk;
  }

  /// True if a usable server has a copy of the weights, even if it is busy now, and the wait so far
  /// is shorter than the time that a load from there saves. A load from the weight store would
  /// block orders to another server for its whole duration.
  bool ShouldWaitForDisk(ModelIndex index) const
  {
    const PlannedModel& model = Model(index);
    if (!m_input.rules.disk_wait || ExceedsDiskSaving(model, model.oldest_wait))
      return false;
    return std::ranges::any_of(m_input.copies.Of(index), [&](const WeightCopy& copy) {
      return m_input.servers[At(copy.server)].usable;
    });
  }

  std::optional<Candidate> CandidateOn(ServerIndex index, WeightSource source, ModelIndex wanted)
  {
    const PlannedServer& server = m_input.servers[At(index)];
    if (!server.usable || server.order_open || m_ordered[At(index)] || HasReplica(server, wanted))
      return std::nullopt;
    const PlannedModel& model = Model(wanted);
    Candidate candidate;
    candidate.server = index;
    candidate.source = source;
    candidate.cost_ms = static_cast<double>(LoadTime(model, source).count()) +
                        COST_PER_RUNNING_MS * server.in_flight;
    if (FreeMemory(server) >= model.memory_mb)
      return candidate;
    candidate.victims = ChooseVictims(server, model.memory_mb, [&](const PlannedReplica& replica) {
      return CanEvict(server, replica);
    });
    const bool may_evict_in_use =
        m_input.rules.turns && IsUnserved(wanted) && WaitTime(model) >= EVICT_IN_USE_AFTER;
    if (candidate.victims.empty() && may_evict_in_use)
      candidate.victims =
          ChooseVictims(server, model.memory_mb, [&](const PlannedReplica& replica) {
            return CanEvict(server, replica) || CanEvictInUse(server, replica, model);
          });
    if (candidate.victims.empty())
      return std::nullopt;
    for (const PlannedReplica* victim : candidate.victims)
    {
      const double value = Value(victim->model);
      candidate.victim_value += value;
      // An evicted model with a high arrival rate must soon be loaded again: each arrival per
      // second costs half a load.
      candidate.cost_ms += VICTIM_RUN_COST_MS * victim->in_flight +
                           static_cast<double>(UNLOAD_TIME.count()) + value * 1000;
    }
    return candidate;
  }

  static bool HasReplica(const PlannedServer& server, ModelIndex model)
  {
    return std::ranges::find(server.replicas, model, &PlannedReplica::model) !=
           server.replicas.end();
  }

  double MemoryOf(ModelIndex model) const { return Model(model).memory_mb; }

  double FreeMemory(const PlannedServer& server) const
  {
    double used = server.adapters_mb + server.reserved_mb;
    for (const PlannedReplica& replica : server.replicas)
      used += MemoryOf(replica.model);
    return server.memory_mb - used;
  }

  /// Arrivals per second that one replica of the model serves; a single replica serves them all.
  double Value(ModelIndex model) const
  {
    return Model(model).arrivals_per_second / std::max(Replicas(model), 1);
  }

  bool CanEvict(const PlannedServer& server, const PlannedReplica& replica) const
  {
    const PlannedModel& model = Model(replica.model);
    if (!model.listed)
      return replica.in_flight == 0;
    if (replica.in_flight > 0 || server.loading == replica.model)
      return false;
    if (m_input.now - replica.since < MIN_RESIDENCE)
      return false;
    const int replicas = Replicas(replica.model);
    const int wanted = Wanted(replica.model);
    const bool surplus = replicas > std::max(wanted, 1);
    if (surplus)
      return true;
    if (model.waiting > 0 || m_input.now - model.last_wanted < MIN_IDLE)
      return false;
    return replicas > wanted || wanted <= 1;
  }

  /// True if a replica in use may be evicted for a waiting model: it has been loaded for long
  /// enough, and its model is not in higher demand.
  bool CanEvictInUse(const PlannedServer& server, const PlannedReplica& replica,
                     const PlannedModel& waiting) const
  {
    const PlannedModel& model = Model(replica.model);
    if (!model.listed || server.loading == replica.model ||
        m_input.now - replica.since < MIN_RESIDENCE_IN_USE)
      return false;
    // Each unserved second beyond the duration of the slowest load counts like one more waiting
    // request, so that a rarely requested model is loaded eventually.
    const auto unserved_seconds =
        std::chrono::floor<std::chrono::seconds>(waiting.unserved_for - waiting.from_store).count();
    return model.in_flight <= waiting.waiting + 1 + std::max<std::int64_t>(unserved_seconds, 0);
  }

  /// The replicas to evict to free enough memory; empty if the evictable ones do not suffice. A
  /// single replica is preferred to several, since each unload is a separate order. Several are
  /// needed for large models: when only single replicas were evicted, a model for which none was
  /// large enough was never loaded, and 0 of 608 requests of a replay were served.
  template <typename MayGo>
  Victims ChooseVictims(const PlannedServer& server, double memory_needed,
                        const MayGo& can_evict) const
  {
    const double free = FreeMemory(server);
    Victims evictable_replicas;
    for (const PlannedReplica& replica : server.replicas)
      if (can_evict(replica))
        evictable_replicas.push_back(&replica);
    std::ranges::stable_sort(evictable_replicas, {}, [&](const PlannedReplica* replica) {
      return std::pair(Value(replica->model), Model(replica->model).last_wanted);
    });
    const auto single =
        std::ranges::find_if(evictable_replicas, [&](const PlannedReplica* replica) {
          return free + MemoryOf(replica->model) >= memory_needed;
        });
    if (single != evictable_replicas.end())
      return {*single};
    std::vector<EvictionItem> items;
    std::ranges::transform(evictable_replicas, std::back_inserter(items), [&](const auto* replica) {
      return EvictionItem{MemoryOf(replica->model), Value(replica->model)};
    });
    Victims victims;
    const auto chosen = ChooseEvictions(items, free, memory_needed);
    for (const std::size_t index : chosen.value_or(std::vector<std::size_t>()))
      victims.push_back(evictable_replicas[index]);
    return victims;
  }

  void AddOrder(const Candidate& candidate, ModelIndex model)
  {
    m_ordered[At(candidate.server)] = true;
    PlannedOrder order;
    order.server = candidate.server;
    order.source = candidate.source;
    order.model = model;
    for (const PlannedReplica* victim : candidate.victims)
    {
      --m_replicas[At(victim->model)];
      order.also_unload.push_back(victim->model);
    }
    if (!candidate.victims.empty())
    {
      order.kind = PlannedOrder::Kind::Unload;
      order.model = order.also_unload.front();
      order.also_unload.erase(order.also_unload.begin());
      order.for_model = model;
    }
    if (candidate.source == WeightSource::WeightStore)
      --m_store_loads_left;
    ++m_loading[At(model)];
    m_plan.orders.push_back(order);
  }

  const ReplicaPlanInput& m_input;
  int m_store_loads_left;
  int m_full_scans = 0;
  std::vector<int> m_replicas;
  std::vector<int> m_loading;
  std::vector<bool> m_ordered;
  std::vector<bool> m_needed_for_disk_loads; ///< Servers needed for loads from disk.
  ReplicaPlan m_plan;
};
} // namespace

int WantedReplicas(const ModelDemand& demand, int batch, bool spare_replicas)
{
  const bool asked_often =
      spare_replicas && demand.arrivals_per_second >= SPARE_REPLICA_ABOVE_PER_SECOND;
  if (demand.waiting == 0 && demand.in_flight == 0 && !asked_often)
    return 0;
  const double load = demand.in_flight + demand.waiting;
  const int by_load = 1 + static_cast<int>(load / (TARGET_UTILIZATION * std::max(batch, 1)));
  const int spare = asked_often ? 2 : 1;
  return std::max(by_load, spare);
}

ReplicaPlan PlanReplicas(const ReplicaPlanInput& input)
{
  return Planner(input).Run();
}
} // namespace Decisions

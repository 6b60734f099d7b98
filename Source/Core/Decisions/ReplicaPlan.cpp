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

/// Requests that begin to wait within this time after a load may still have been sent to the
/// replicas before it: the entries of the servers reach the daemons with a delay.
constexpr Milliseconds LATE_REPLICA_SETTLING{2000};

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

/// Demand for a model together with the servers that may serve it.
struct Need
{
  ModelIndex model{};
  const ModelDemand* demand = nullptr;
  const BoundDemand* bound = nullptr; ///< nullptr if any server may serve it.

  bool MayUse(const PlannedServer& server) const
  {
    return bound == nullptr || bound->MayUse(server.group);
  }
};

/// Replicas and pending loads that count for one need.
struct ReplicaCount
{
  int replicas = 0;
  int loading = 0;
  Common::TimePoint newest; ///< When the newest replica was first seen.
};

class Planner
{
public:
  explicit Planner(const ReplicaPlanInput& input)
      : m_input(input),
        m_store_loads_left(input.store_loads_allowed),
        m_counts(input.models.size()),
        m_bound_counts(input.bound_demands.size()),
        m_ordered(input.servers.size()),
        m_needed_for_disk_loads(input.servers.size())
  {
    for (const PlannedServer& server : input.servers)
    {
      if (server.draining)
        continue;
      for (const PlannedReplica& replica : server.replicas)
        if (CanServeDemand(server, replica.model))
          ForEachNeed(server, replica.model, [&](const Need& need) {
            ReplicaCount& count = CountOf(need);
            ++count.replicas;
            count.newest = std::max(count.newest, replica.since);
          });
      if (server.loading)
        CountLoad(server, *server.loading);
    }
  }

  ReplicaPlan Run()
  {
    const std::vector<Need> under_replicated = ByUrgency();
    MarkNeededForDiskLoads(under_replicated);
    for (const Need& need : under_replicated)
      // A load for another need of the same model may have met this one.
      if (IsUnderReplicated(need))
        PlaceModel(need);
    return std::move(m_plan);
  }

private:
  const PlannedModel& Model(ModelIndex model) const { return m_input.models[At(model)]; }
  Need UnboundNeed(ModelIndex model) const { return {model, &Model(model), nullptr}; }
  static Need BoundNeed(const BoundDemand& demand) { return {demand.model, &demand, &demand}; }

  /// The demands for the model that only some servers may serve.
  auto BoundDemandsOf(ModelIndex model) const
  {
    return std::ranges::equal_range(m_input.bound_demands, model, {}, &BoundDemand::model);
  }

  /// Calls `visit` for each need that a replica of the model on the server would serve.
  template <typename Visit>
  void ForEachNeed(const PlannedServer& server, ModelIndex model, const Visit& visit) const
  {
    visit(UnboundNeed(model));
    for (const BoundDemand& demand : BoundDemandsOf(model))
      if (demand.MayUse(server.group))
        visit(BoundNeed(demand));
  }

  std::size_t BoundIndex(const Need& need) const
  {
    return static_cast<std::size_t>(need.bound - m_input.bound_demands.data());
  }
  ReplicaCount& CountOf(const Need& need)
  {
    return need.bound == nullptr ? m_counts[At(need.model)] : m_bound_counts[BoundIndex(need)];
  }
  const ReplicaCount& CountOf(const Need& need) const
  {
    return need.bound == nullptr ? m_counts[At(need.model)] : m_bound_counts[BoundIndex(need)];
  }

  void CountLoad(const PlannedServer& server, ModelIndex model)
  {
    ForEachNeed(server, model, [&](const Need& need) {
      ++CountOf(need).loading;
    });
  }

  double ArrivalsPerSecond(ModelIndex model) const
  {
    double arrivals = Model(model).arrivals_per_second;
    for (const BoundDemand& demand : BoundDemandsOf(model))
      arrivals += demand.arrivals_per_second;
    return arrivals;
  }

  /// A server whose rate limit is below the arrival rate of the model does not count as having it
  /// loaded.
  bool CanServeDemand(const PlannedServer& server, ModelIndex model) const
  {
    return !server.requests_per_second || ArrivalsPerSecond(model) <= *server.requests_per_second;
  }
  /// True if no server that may serve the demand has the model loaded or is loading it. Without
  /// counting pending loads, a second replica was ordered 3 ms later and evicted a model in use,
  /// repeatedly: 13 of 206 requests were refused with as many models in use as fit on the servers.
  bool IsUnserved(const Need& need) const
  {
    const ReplicaCount& count = CountOf(need);
    return count.replicas + count.loading == 0;
  }

  /// Needs with fewer replicas than wanted, most urgent first.
  std::vector<Need> ByUrgency() const
  {
    std::vector<Need> under_replicated;
    // Bound demands come first among equally urgent ones: a load for one of them serves the unbound
    // demand for its model as well.
    for (const BoundDemand& demand : m_input.bound_demands)
      if (HasServers(demand))
        AddIfUnderReplicated(under_replicated, BoundNeed(demand));
    for (std::size_t i = 0; i < m_input.models.size(); ++i)
      AddIfUnderReplicated(under_replicated, UnboundNeed(ModelIndex(i)));
    std::ranges::stable_sort(under_replicated, {}, [&](const Need& need) {
      const ModelDemand demand = DemandServedByLoad(need);
      const bool unserved = IsUnserved(need) && demand.waiting > 0;
      return std::tuple(!unserved, demand.waiting == 0, -Urgency(demand));
    });
    return under_replicated;
  }

  void AddIfUnderReplicated(std::vector<Need>& needs, const Need& need) const
  {
    if (Model(need.model).listed && IsUnderReplicated(need))
      needs.push_back(need);
  }

  static bool HasServers(const BoundDemand& demand)
  {
    return std::ranges::find(demand.groups, true) != demand.groups.end();
  }

  /// The demand for this need, combined with all unserved demand for the same model that a load for
  /// this need would serve.
  ModelDemand DemandServedByLoad(const Need& need) const
  {
    ModelDemand combined = *need.demand;
    if (need.bound == nullptr)
      return combined;
    const auto add = [&](const Need& other) {
      if (!IsUnserved(other))
        return;
      combined.waiting += other.demand->waiting;
      combined.priority = std::min(combined.priority, other.demand->priority);
      combined.oldest_wait = std::max(combined.oldest_wait, other.demand->oldest_wait);
      combined.unserved_for = std::max(combined.unserved_for, other.demand->unserved_for);
    };
    add(UnboundNeed(need.model));
    for (const BoundDemand& other : BoundDemandsOf(need.model))
      if (&other != need.bound && MayUseAllServersOf(other, *need.bound))
        add(BoundNeed(other));
    return combined;
  }

  /// True if every server that may serve `narrow` may also serve `wide`.
  static bool MayUseAllServersOf(const BoundDemand& wide, const BoundDemand& narrow)
  {
    for (std::size_t i = 0; i < narrow.groups.size(); ++i)
      if (narrow.groups[i] && !wide.MayUse(ServerGroup(i)))
        return false;
    return true;
  }

  /// How long requests have waited for the model. Not reset if callers disconnect or are refused.
  static Milliseconds WaitTime(const ModelDemand& demand)
  {
    return std::max(demand.oldest_wait, demand.unserved_for);
  }

  /// Models with more waiting requests come first. Priority and waiting time also count, so that no
  /// model starves.
  static double Urgency(const ModelDemand& demand)
  {
    const double rank = 1 + 1.0 / (1 + demand.priority);
    return demand.waiting * rank + std::chrono::duration<double>(WaitTime(demand)).count();
  }

  int Wanted(const Need& need) const
  {
    const int wanted = WantedReplicas(*need.demand, m_input.batch, m_input.rules.spare_replicas);
    return IsServedLate(need) ? std::max(wanted, CountOf(need).replicas + 1) : wanted;
  }

  /// True if requests wait for too long although the replicas have free slots: the replicas serve
  /// none in time. Requests that began to wait before the newest replica was loaded, or soon after,
  /// do not show that this one is late too.
  bool IsServedLate(const Need& need) const
  {
    const Milliseconds waited = need.demand->oldest_wait_for_model;
    if (!m_input.rules.late_after || waited <= *m_input.rules.late_after || IsUnserved(need))
      return false;
    const ReplicaCount& count = CountOf(need);
    return count.loading == 0 && need.demand->in_flight < count.replicas * m_input.batch &&
           count.newest + LATE_REPLICA_SETTLING < m_input.now - waited;
  }

  /// True if more requests run and wait than all replicas can run at once, and no further replica
  /// is being loaded.
  bool IsOverloaded(const Need& need) const
  {
    const ReplicaCount& count = CountOf(need);
    return count.replicas > 0 && count.loading == 0 && need.demand->waiting > 0 &&
           need.demand->in_flight + need.demand->waiting > count.replicas * m_input.batch;
  }

  bool IsUnderReplicated(const Need& need) const
  {
    const ReplicaCount& count = CountOf(need);
    return count.replicas + count.loading < Wanted(need);
  }

  void PlaceModel(const Need& need)
  {
    // Additional replicas are loaded only from disk or host memory, not from the weight store,
    // except beside replicas that serve no request in time or have no free slot.
    const bool unserved = IsUnserved(need);
    const bool store_allowed =
        (unserved || IsServedLate(need)) && m_store_loads_left > 0 && !ShouldWaitForDisk(need);
    auto best = store_allowed && TryTakeFullScan() ? BestAmongAllServers(need, unserved)
                                                   : BestAmongCopies(need, unserved);
    if (!best && !store_allowed && MayBypassDisk(need) && TryTakeFullScan())
      best = BestWithoutDiskDemand(need, unserved);
    if (best)
      AddOrder(*best, need.model);
    else if (unserved && need.demand->waiting > 0)
      m_plan.skipped.push_back(DescribeSkipped(need, store_allowed));
  }

  bool TryTakeFullScan() { return m_full_scans++ < MAX_FULL_SCANS; }

  /// True if the demand has been unserved for longer than a load from disk saves, or exceeds what
  /// its replicas can run. Such loads are rare: each blocks other orders of its server for its
  /// whole duration.
  bool MayBypassDisk(const Need& need) const
  {
    if (m_store_loads_left <= 0)
      return false;
    return IsUnserved(need) ? ExceedsDiskSaving(Model(need.model), need.demand->unserved_for)
                            : IsOverloaded(need);
  }

  /// Examines only the servers with a copy, to bound its cost.
  SkippedModel DescribeSkipped(const Need& need, bool store_allowed) const
  {
    const auto copies = m_input.copies.Of(need.model);
    SkippedModel result;
    result.model = need.model;
    result.demand = *need.demand;
    result.is_bound = need.bound != nullptr;
    result.copies = copies.size();
    result.store_allowed = store_allowed;
    bool any_idle = false;
    for (const WeightCopy& copy : copies)
    {
      const PlannedServer& server = m_input.servers[At(copy.server)];
      if (!server.usable || !need.MayUse(server))
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

  std::optional<Candidate> BestAmongCopies(const Need& need, bool unserved)
  {
    std::optional<Candidate> best;
    for (const WeightCopy& copy : m_input.copies.Of(need.model))
      EvaluateCandidate(best, copy.server, copy.source, need, unserved);
    return best;
  }

  std::optional<Candidate> BestAmongAllServers(const Need& need, bool unserved)
  {
    std::optional<Candidate> best;
    for (std::size_t i = 0; i < m_input.servers.size(); ++i)
      EvaluateCandidate(best, ServerIndex(i), m_input.copies.SourceOn(ServerIndex(i), need.model),
                        need, unserved);
    return best;
  }

  /// The best server for a load from the weight store among those that are not needed for loads
  /// from disk of other models with waiting requests.
  std::optional<Candidate> BestWithoutDiskDemand(const Need& need, bool unserved)
  {
    std::optional<Candidate> best;
    for (std::size_t i = 0; i < m_input.servers.size(); ++i)
      if (!m_needed_for_disk_loads[i])
        EvaluateCandidate(best, ServerIndex(i), WeightSource::WeightStore, need, unserved);
    return best;
  }

  /// Marks the servers with a copy of an unserved model that has waiting requests.
  void MarkNeededForDiskLoads(const std::vector<Need>& under_replicated)
  {
    for (const Need& need : under_replicated)
      if (IsUnserved(need) && need.demand->waiting > 0)
        for (const WeightCopy& copy : m_input.copies.Of(need.model))
          if (need.MayUse(m_input.servers[At(copy.server)]))
            m_needed_for_disk_loads[At(copy.server)] = true;
  }

  void EvaluateCandidate(std::optional<Candidate>& best, ServerIndex server, WeightSource source,
                         const Need& need, bool unserved)
  {
    ++m_plan.candidates;
    const auto candidate = CandidateOn(server, source, need);
    if (!candidate)
      return;
    // An additional replica must not evict models with a comparable arrival rate.
    const double arrivals =
        need.bound == nullptr ? ArrivalsPerSecond(need.model) : need.demand->arrivals_per_second;
    if (!unserved && candidate->victim_value * 2 >= arrivals)
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
  bool ShouldWaitForDisk(const Need& need) const
  {
    if (!m_input.rules.disk_wait || ExceedsDiskSaving(Model(need.model), need.demand->oldest_wait))
      return false;
    // The disk of a server that has the model loaded is of no use for an additional replica.
    const bool served_late = IsServedLate(need);
    return std::ranges::any_of(m_input.copies.Of(need.model), [&](const WeightCopy& copy) {
      const PlannedServer& server = m_input.servers[At(copy.server)];
      return server.usable && need.MayUse(server) &&
             !(served_late && HasReplica(server, need.model));
    });
  }

  std::optional<Candidate> CandidateOn(ServerIndex index, WeightSource source, const Need& need)
  {
    const PlannedServer& server = m_input.servers[At(index)];
    if (!server.usable || server.order_open || m_ordered[At(index)] || !need.MayUse(server) ||
        HasReplica(server, need.model))
      return std::nullopt;
    const PlannedModel& model = Model(need.model);
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
        m_input.rules.turns && IsUnserved(need) && WaitTime(*need.demand) >= EVICT_IN_USE_AFTER;
    if (candidate.victims.empty() && may_evict_in_use)
      candidate.victims =
          ChooseVictims(server, model.memory_mb, [&](const PlannedReplica& replica) {
            return CanEvict(server, replica) || CanEvictInUse(server, replica, need);
          });
    if (candidate.victims.empty())
      return std::nullopt;
    for (const PlannedReplica* victim : candidate.victims)
    {
      const double value = Value(server, victim->model);
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

  /// Arrivals per second that the server's replica of the model serves; a single replica serves
  /// them all.
  double Value(const PlannedServer& server, ModelIndex model) const
  {
    double value = 0;
    ForEachNeed(server, model, [&](const Need& need) {
      value += need.demand->arrivals_per_second / std::max(CountOf(need).replicas, 1);
    });
    return value;
  }

  /// Time of the last request that the server's replica of the model could have served.
  Common::TimePoint LastWanted(const PlannedServer& server, ModelIndex model) const
  {
    Common::TimePoint last_wanted;
    ForEachNeed(server, model, [&](const Need& need) {
      last_wanted = std::max(last_wanted, need.demand->last_wanted);
    });
    return last_wanted;
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
    bool is_dispensable = true;
    ForEachNeed(server, replica.model, [&](const Need& need) {
      is_dispensable = is_dispensable && HasReplicaToSpare(need);
    });
    return is_dispensable;
  }

  /// True if one of the replicas that serve the need may be evicted.
  bool HasReplicaToSpare(const Need& need) const
  {
    const int replicas = CountOf(need).replicas;
    const int wanted = Wanted(need);
    const bool surplus = replicas > std::max(wanted, 1);
    if (surplus)
      return true;
    if (need.demand->waiting > 0 || m_input.now - need.demand->last_wanted < MIN_IDLE)
      return false;
    return replicas > wanted || wanted <= 1;
  }

  /// True if a replica in use may be evicted for a waiting model: it has been loaded for long
  /// enough, and its model is not in higher demand.
  bool CanEvictInUse(const PlannedServer& server, const PlannedReplica& replica,
                     const Need& waiting) const
  {
    const PlannedModel& model = Model(replica.model);
    if (!model.listed || server.loading == replica.model ||
        m_input.now - replica.since < MIN_RESIDENCE_IN_USE)
      return false;
    // Each unserved second beyond the duration of the slowest load counts like one more waiting
    // request, so that a rarely requested model is loaded eventually.
    const auto unserved_seconds =
        std::chrono::floor<std::chrono::seconds>(waiting.demand->unserved_for -
                                                 Model(waiting.model).from_store)
            .count();
    return model.in_flight <=
           waiting.demand->waiting + 1 + std::max<std::int64_t>(unserved_seconds, 0);
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
      return std::pair(Value(server, replica->model), LastWanted(server, replica->model));
    });
    const auto single =
        std::ranges::find_if(evictable_replicas, [&](const PlannedReplica* replica) {
          return free + MemoryOf(replica->model) >= memory_needed;
        });
    if (single != evictable_replicas.end())
      return {*single};
    std::vector<EvictionItem> items;
    std::ranges::transform(evictable_replicas, std::back_inserter(items), [&](const auto* replica) {
      return EvictionItem{MemoryOf(replica->model), Value(server, replica->model)};
    });
    Victims victims;
    const auto chosen = ChooseEvictions(items, free, memory_needed);
    for (const std::size_t index : chosen.value_or(std::vector<std::size_t>()))
      victims.push_back(evictable_replicas[index]);
    return victims;
  }

  void AddOrder(const Candidate& candidate, ModelIndex model)
  {
    const PlannedServer& server = m_input.servers[At(candidate.server)];
    m_ordered[At(candidate.server)] = true;
    PlannedOrder order;
    order.server = candidate.server;
    order.source = candidate.source;
    order.model = model;
    for (const PlannedReplica* victim : candidate.victims)
    {
      ForEachNeed(server, victim->model, [&](const Need& need) {
        --CountOf(need).replicas;
      });
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
    CountLoad(server, model);
    m_plan.orders.push_back(order);
  }

  const ReplicaPlanInput& m_input;
  int m_store_loads_left;
  int m_full_scans = 0;
  std::vector<ReplicaCount> m_counts; ///< By `ModelIndex`, of needs that any server may serve.
  std::vector<ReplicaCount> m_bound_counts; ///< By position in `bound_demands`.
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

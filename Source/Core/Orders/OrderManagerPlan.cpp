// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// OrderManager: input of the replica planner and execution of its plans.

#include "Orders/OrderManager.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "Common/Log.h"
#include "Common/Loop.h"

namespace Orders
{
namespace
{
using Common::TimePoint;
using Gateway::Artifact;
using Gateway::ModelId;
using Gateway::Server;

/// Concurrent loads from the weight store. With more, each load takes proportionally longer.
constexpr int STORE_LOADS_AT_ONCE = 4;

/// Minimum interval between log lines for a model that successive plans skip.
constexpr Common::Milliseconds SKIPPED_LOG_INTERVAL{1000};

/// Requests that wait for the model, whichever servers may take them.
int WaitingFor(const Decisions::ReplicaPlanInput& input, Decisions::ModelIndex model)
{
  int waiting = input.models[Decisions::At(model)].waiting;
  for (const Decisions::BoundDemand& demand : input.bound_demands)
    if (demand.model == model)
      waiting += demand.waiting;
  return waiting;
}

/// The reason for the order, for the log.
std::string ReasonOf(const PlanInputBuilder& plan_input, const Decisions::PlannedOrder& order,
                     int waiting)
{
  if (order.for_model)
    return "room for " + plan_input.NameOf(*order.for_model).Get();
  return std::to_string(waiting) + " waiting";
}
} // namespace

int OrderManager::StoreLoadsAllowed(const Gateway::Pool& pool, TimePoint now) const
{
  const auto window = std::chrono::duration<double>(m_settings.load_window_s);
  const auto begun = std::ranges::count_if(m_store_load_starts, [&](TimePoint at) {
    return now - at < window;
  });
  int running = 0;
  for (const auto& [instance, record] : m_server_records)
    if (record.open && record.open->source == Decisions::WeightSource::WeightStore)
      ++running;
  const int by_rate =
      static_cast<int>(pool.model_server->loads_per_second * m_settings.load_window_s) -
      static_cast<int>(begun);
  return std::min(by_rate, STORE_LOADS_AT_ONCE - running);
}

double OrderManager::UnansweredLoadsMb(const Gateway::Pool& pool, const ServerRecord& record,
                                       TimePoint now) const
{
  double memory_mb = 0;
  for (const UnansweredLoad& load : record.previous_instance_loads)
  {
    const auto model = pool.model_server->models.find(load.model);
    const bool possible = now < load.until && load.expected_sequence >= record.sequence;
    if (possible && model != pool.model_server->models.end())
      memory_mb += model->second.memory_mb;
  }
  return memory_mb;
}

bool OrderManager::IsBackedOffFrom(const Server& server) const
{
  const auto found = m_backoff_counts.find(HashOf(server.Entry().instance));
  return found != m_backoff_counts.end() &&
         static_cast<std::size_t>(found->second) * 2 >= m_daemons.size();
}

bool OrderManager::CanPlanAroundLimits(const PlanInputBuilder& plan_input, TimePoint now) const
{
  const auto limited = std::ranges::count_if(plan_input.Servers(), [&](const auto& server) {
    return server->HasLastingLimit(now) || IsBackedOffFrom(*server);
  });
  return limited * 2 <= static_cast<std::ptrdiff_t>(plan_input.Servers().size());
}

ServerState OrderManager::StateOf(const Gateway::Pool& pool, const ServerRef& ref,
                                  bool plan_around_limits, TimePoint now) const
{
  const Server& server = *ref.server;
  const ServerRecord& record = *ref.record;
  ServerState state;
  const bool has_limit = plan_around_limits && server.HasLastingLimit(now);
  if (has_limit)
    state.requests_per_second = RateLimits::PerSecond(server.Limit()->rate);
  const bool backs_off = plan_around_limits && IsBackedOffFrom(server);
  if (backs_off)
    state.requests_per_second = 0;
  state.draining = !server.IsStaying();
  state.usable = !has_limit && !backs_off && !server.GetBackoff().IsRetryAfterActive(now) &&
                 !state.draining && !server.IsReplaced() && !server.Health().IsEjected(now) &&
                 now >= record.unusable_until && record.state_known;
  state.order_open = record.open.has_value() || record.adapter_call_pending;
  state.reserved_mb = UnansweredLoadsMb(pool, record, now);
  if (record.open && record.open->next.load)
    state.loading = *record.open->next.load;
  else if (record.open && record.open->call.operation == OrderCall::Operation::Load)
    state.loading = record.open->call.artifact.model;
  return state;
}

void OrderManager::PlanPool(const Gateway::Pool& pool, PlanInputBuilder& plan_input, TimePoint now)
{
  const bool plan_around_limits = CanPlanAroundLimits(plan_input, now);
  for (const ServerRef& ref : m_server_refs)
    if (ref.plan_input == &plan_input)
      plan_input.SetState(ref.index, StateOf(pool, ref, plan_around_limits, now));
  const Decisions::ReplicaPlanInput& input = plan_input.Input(now, StoreLoadsAllowed(pool, now));
  const Decisions::ReplicaPlan decided = Decisions::PlanReplicas(input);
  LogSkipped(plan_input, input, decided.skipped);
  for (const Decisions::PlannedOrder& order : decided.orders)
  {
    const bool is_load = order.kind == Decisions::PlannedOrder::Kind::Load;
    NextOrders next;
    if (order.for_model)
      next.load = plan_input.NameOf(*order.for_model);
    std::ranges::transform(order.also_unload, std::back_inserter(next.unloads),
                           [&](Decisions::ModelIndex model) {
                             return plan_input.NameOf(model);
                           });
    const int waiting = WaitingFor(input, order.model);
    StartOrder(plan_input.ServerAt(order.server),
               is_load ? OrderCall::Operation::Load : OrderCall::Operation::Unload,
               plan_input.NameOf(order.model), std::move(next), order.source,
               ReasonOf(plan_input, order, waiting));
  }
}

void OrderManager::LogSkipped(const PlanInputBuilder& plan_input,
                              const Decisions::ReplicaPlanInput& input,
                              const std::vector<Decisions::SkippedModel>& passed_over)
{
  std::erase_if(m_skipped_logged, [&](const auto& entry) {
    return input.now - entry.second >= SKIPPED_LOG_INTERVAL;
  });
  for (const Decisions::SkippedModel& entry : passed_over)
  {
    const ModelId& name = plan_input.NameOf(entry.model);
    if (!m_skipped_logged.try_emplace(name, input.now).second)
      continue;
    ++m_counters["passed_over_" + std::string(ToString(entry.obstacle))];
    const Decisions::PlannedModel& model = input.models[Decisions::At(entry.model)];
    Common::LogEvent(
        Common::LogLevel::Info, "model-passed-over",
        {{"model", name},
         {"obstacle", ToString(entry.obstacle)},
         {"bound", entry.is_bound},
         {"waiting", entry.demand.waiting},
         {"oldest_wait_ms", entry.demand.oldest_wait.count()},
         {"unserved_ms", entry.demand.unserved_for.count()},
         {"copies", entry.copies},
         {"store_allowed", entry.store_allowed},
         {"instance", entry.most_free_server
                          ? plan_input.ServerAt(*entry.most_free_server)->Entry().instance.Get()
                          : std::string()},
         {"free_mb", static_cast<std::int64_t>(entry.free_mb)},
         {"needed_mb", static_cast<std::int64_t>(model.memory_mb)}});
  }
}

std::set<OrderManager::AdapterDemand>
OrderManager::WaitingAdapters(const Gateway::PoolId& pool) const
{
  std::set<AdapterDemand> waiting;
  for (const auto& [vm, daemon] : m_daemons)
    for (const DemandLine& line : daemon.last.demand)
      if (line.waiting > 0 && line.artifact.IsAdapter() && line.pool == pool)
        waiting.insert({line.artifact, line.constraint});
  return waiting;
}

std::vector<const OrderManager::ServerRef*> OrderManager::Holders(const Gateway::PoolId& pool,
                                                                  const AdapterDemand& demand) const
{
  std::vector<const ServerRef*> holders;
  for (const ServerRef& ref : m_server_refs)
    if (ref.plan_input != nullptr && ref.server->HoldsModel(demand.artifact.model) &&
        ref.server->Entry().pool == pool && MayTake(*ref.server, demand.constraint))
      holders.push_back(&ref);
  return holders;
}

bool OrderManager::MayTake(const Server& server,
                           const Gateway::PlacementConstraint& constraint) const
{
  const auto region = m_settings.regions.find(server.Entry().data_centre);
  return constraint.Allows(server.Entry().version, region == m_settings.regions.end()
                                                       ? std::nullopt
                                                       : std::optional(region->second));
}
} // namespace Orders

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// OrderDesk: input of the replica planner and execution of its plans.

#include "Orders/OrderDesk.h"

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

/// Minimum interval between log lines for a model that successive plans pass over.
constexpr Common::Milliseconds PASSED_OVER_LOG_PAUSE{1000};

/// The reason for the order, for the log.
std::string ReasonOf(const PlanBook& plan, const Decisions::PlannedOrder& order, int waiting)
{
  if (order.for_model)
    return "room for " + plan.NameOf(*order.for_model).Get();
  return std::to_string(waiting) + " waiting";
}
} // namespace

int OrderDesk::StoreLoadsAllowed(const Gateway::Pool& pool, TimePoint now) const
{
  const auto window = std::chrono::duration<double>(m_settings.load_window_s);
  const auto begun = std::ranges::count_if(m_store_loads, [&](TimePoint at) {
    return now - at < window;
  });
  int running = 0;
  for (const auto& [instance, book] : m_books)
    if (book.open && book.open->source == Decisions::WeightSource::WeightStore)
      ++running;
  const int by_rate = static_cast<int>(pool.engine->loads_per_second * m_settings.load_window_s) -
                      static_cast<int>(begun);
  return std::min(by_rate, STORE_LOADS_AT_ONCE - running);
}

double OrderDesk::LateLoadsMb(const Gateway::Pool& pool, const ServerBook& book,
                              TimePoint now) const
{
  double memory_mb = 0;
  for (const LateLoad& load : book.late_loads)
  {
    const auto model = pool.engine->models.find(load.model);
    const bool possible = now < load.until && load.expected_sequence >= book.sequence;
    if (possible && model != pool.engine->models.end())
      memory_mb += model->second.memory_mb;
  }
  return memory_mb;
}

bool OrderDesk::IsBackedOffFrom(const Server& server) const
{
  const auto found = m_backing_off.find(HashOf(server.Entry().instance));
  return found != m_backing_off.end() &&
         static_cast<std::size_t>(found->second) * 2 >= m_daemons.size();
}

bool OrderDesk::MayPlanAround(const PlanBook& plan, TimePoint now) const
{
  const auto limited = std::ranges::count_if(plan.Servers(), [&](const auto& server) {
    return server->HasLastingLimit(now) || IsBackedOffFrom(*server);
  });
  return limited * 2 <= static_cast<std::ptrdiff_t>(plan.Servers().size());
}

ServerState OrderDesk::StateOf(const Gateway::Pool& pool, const Slot& slot, bool plan_around_limits,
                               TimePoint now) const
{
  const Server& server = *slot.server;
  const ServerBook& book = *slot.book;
  ServerState state;
  const bool has_limit = plan_around_limits && server.HasLastingLimit(now);
  if (has_limit)
    state.requests_per_second = RateLimits::PerSecond(server.Limit()->rate);
  const bool backs_off = plan_around_limits && IsBackedOffFrom(server);
  if (backs_off)
    state.requests_per_second = 0;
  state.draining = server.IsDraining();
  state.usable = !has_limit && !backs_off && !server.GetBackoff().IsRetryAfterActive(now) &&
                 !state.draining && !server.IsReplaced() && !server.Health().IsEjected(now) &&
                 now >= book.unusable_until && book.state_known;
  state.order_open = book.open.has_value();
  state.reserved_mb = LateLoadsMb(pool, book, now);
  if (book.open && book.open->next.load)
    state.loading = *book.open->next.load;
  else if (book.open && book.open->call.operation == OrderCall::Operation::Load)
    state.loading = book.open->call.artifact.model;
  return state;
}

void OrderDesk::PlanPool(const Gateway::Pool& pool, PlanBook& plan, TimePoint now)
{
  const bool plan_around_limits = MayPlanAround(plan, now);
  for (const Slot& slot : m_slots)
    if (slot.plan == &plan)
      plan.SetState(slot.index, StateOf(pool, slot, plan_around_limits, now));
  const Decisions::ReplicaPlanInput& input = plan.Input(now, StoreLoadsAllowed(pool, now));
  const Decisions::ReplicaPlan decided = Decisions::PlanReplicas(input);
  LogPassedOver(plan, input, decided.skipped);
  for (const Decisions::PlannedOrder& order : decided.orders)
  {
    const bool is_load = order.kind == Decisions::PlannedOrder::Kind::Load;
    NextOrders next;
    if (order.for_model)
      next.load = plan.NameOf(*order.for_model);
    std::ranges::transform(order.also_unload, std::back_inserter(next.unloads),
                           [&](Decisions::ModelIndex model) {
                             return plan.NameOf(model);
                           });
    const int waiting = input.models[Decisions::At(order.model)].waiting;
    Give(plan.ServerAt(order.server),
         is_load ? OrderCall::Operation::Load : OrderCall::Operation::Unload,
         plan.NameOf(order.model), std::move(next), order.source, ReasonOf(plan, order, waiting));
  }
}

void OrderDesk::LogPassedOver(const PlanBook& plan, const Decisions::ReplicaPlanInput& input,
                              const std::vector<Decisions::SkippedModel>& passed_over)
{
  std::erase_if(m_passed_over_logged, [&](const auto& entry) {
    return input.now - entry.second >= PASSED_OVER_LOG_PAUSE;
  });
  for (const Decisions::SkippedModel& entry : passed_over)
  {
    const ModelId& name = plan.NameOf(entry.model);
    if (!m_passed_over_logged.try_emplace(name, input.now).second)
      continue;
    ++m_counters["passed_over_" + std::string(ToString(entry.obstacle))];
    const Decisions::PlannedModel& model = input.models[Decisions::At(entry.model)];
    Common::LogEvent(
        Common::LogLevel::Info, "model-passed-over",
        {{"model", name},
         {"obstacle", ToString(entry.obstacle)},
         {"waiting", model.waiting},
         {"oldest_wait_ms", model.oldest_wait.count()},
         {"unserved_ms", model.unserved_for.count()},
         {"copies", entry.copies},
         {"store_allowed", entry.store_allowed},
         {"instance",
          entry.nearest ? plan.ServerAt(*entry.nearest)->Entry().instance.Get() : std::string()},
         {"free_mb", static_cast<std::int64_t>(entry.free_mb)},
         {"needed_mb", static_cast<std::int64_t>(model.memory_mb)}});
  }
}

std::set<Artifact> OrderDesk::WaitingAdapters(const Gateway::PoolId& pool) const
{
  std::set<Artifact> waiting;
  for (const auto& [vm, daemon] : m_daemons)
    for (const DemandLine& line : daemon.last.demand)
      if (line.waiting > 0 && line.artifact.IsAdapter() && line.pool == pool)
        waiting.insert(line.artifact);
  return waiting;
}

std::vector<const OrderDesk::Slot*> OrderDesk::Holders(const Gateway::PoolId& pool,
                                                       const ModelId& model) const
{
  std::vector<const Slot*> holders;
  for (const Slot& slot : m_slots)
    if (slot.plan != nullptr && slot.server->HoldsModel(model) && slot.server->Entry().pool == pool)
      holders.push_back(&slot);
  return holders;
}
} // namespace Orders

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Orders/OrderDesk.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Common/Log.h"
#include "Common/Loop.h"

namespace Orders
{
namespace
{
using Common::Milliseconds;
using Common::TimePoint;
using Gateway::Artifact;
using Gateway::InstanceId;
using Gateway::ModelId;
using Gateway::Server;
using Gateway::ServerPtr;

/// News from daemons waits so long for more before a plan is made.
constexpr Milliseconds PLAN_DELAY{6};
/// A daemon that is silent for so long is not counted any more.
constexpr Milliseconds DAEMON_SILENT_AFTER{1500};
/// Time constant of the arrival rates: short against the minutes over which demand moves on.
constexpr double RATE_SECONDS = 8;
/// An accepted order should show in the server's entry after its usual time and this; then the
/// server is asked.
constexpr Milliseconds ENTRY_SLACK{600};
/// An unanswered order: so often the server is asked what became of it.
constexpr Milliseconds CHECK_PAUSE{350};
/// An order that shows no effect for so long after its usual time is given up.
constexpr Milliseconds GIVE_UP_AFTER{6000};
/// A server that could not be reached or misdirected an order gets none for a while.
constexpr Milliseconds UNREACHABLE_PAUSE{1000};
/// Accepted adapters are usable after some ms; requests that come too early are rejected.
constexpr Milliseconds ADAPTER_LOAD_TIME{90};
/// An adapter that was wanted this lately is not given up for another.
constexpr Milliseconds ADAPTER_MIN_IDLE{1500};
/// Adapters that may be on their way to one server at once (of the platform's engines: four).
constexpr int ADAPTERS_COMING = 2;
/// Loads from the weight store at once: beyond it each takes longer in proportion.
constexpr int STORE_LOADS_AT_ONCE = 4;

const char* ToString(OrderAnswer answer)
{
  switch (answer)
  {
  case OrderAnswer::Accepted:
    return "accepted";
  case OrderAnswer::AlreadySo:
    return "already_so";
  case OrderAnswer::Busy:
    return "busy";
  case OrderAnswer::Fenced:
    return "fenced";
  case OrderAnswer::OtherServer:
    return "other_server";
  case OrderAnswer::Malformed:
    return "malformed";
  }
  return "unknown";
}

const char* ToString(Decisions::WeightSource source)
{
  switch (source)
  {
  case Decisions::WeightSource::HostMemory:
    return "host_memory";
  case Decisions::WeightSource::Disk:
    return "disk";
  case Decisions::WeightSource::WeightStore:
    break;
  }
  return "weight_store";
}

bool HoldsModel(const Server& server, const ModelId& model)
{
  return std::ranges::find(server.Entry().models, model, &Gateway::LoadedModel::model) !=
         server.Entry().models.end();
}

std::vector<std::string> Names(const std::vector<ModelId>& models)
{
  std::vector<std::string> names;
  std::ranges::transform(models, std::back_inserter(names), &ModelId::Get);
  return names;
}

Milliseconds LoadTime(const Gateway::EngineSpec& engine, const ModelId& model,
                      Decisions::WeightSource source)
{
  const auto found = engine.models.find(model);
  if (found == engine.models.end())
    return Milliseconds(0);
  switch (source)
  {
  case Decisions::WeightSource::HostMemory:
    return found->second.load_from_host_memory;
  case Decisions::WeightSource::Disk:
    return found->second.load_from_disk;
  case Decisions::WeightSource::WeightStore:
    break;
  }
  return found->second.load_from_store;
}
} // namespace

OrderDesk::OrderDesk(Gateway::ServerDirectory& servers, OrderChannel channel,
                     OrderDeskSettings settings)
    : m_servers(servers), m_channel(std::move(channel)), m_settings(settings)
{
}

void OrderDesk::Forget()
{
  m_books.clear();
  m_store_loads.clear();
}

void OrderDesk::TakeReport(const DaemonReport& report, TimePoint now)
{
  DaemonBook& daemon = m_daemons[report.vm];
  if (daemon.last.run == report.run && report.sequence <= daemon.last.sequence)
    return;
  daemon.last = report;
  daemon.heard_at = now;
  for (const DemandLine& line : report.demand)
  {
    DemandBook& demand = m_demand[line.artifact];
    demand.pool = line.pool;
    const double elapsed = std::chrono::duration<double>(now - demand.updated).count();
    demand.arrivals_per_second *= std::exp(-elapsed / RATE_SECONDS);
    demand.arrivals_per_second += line.arrivals / RATE_SECONDS;
    demand.updated = now;
    if (line.arrivals > 0 || line.waiting > 0)
      demand.last_wanted = now;
  }
}

std::map<InstanceId, std::int32_t> OrderDesk::InFlightByServer() const
{
  std::map<InstanceId, std::int32_t> sums;
  for (const auto& [vm, daemon] : m_daemons)
    for (const LoadLine& line : daemon.last.loads)
      sums[line.instance] += line.in_flight;
  return sums;
}

void OrderDesk::SumLoads()
{
  m_in_flight = InFlightByServer();
  m_in_flight_by_model.clear();
  for (const auto& [vm, daemon] : m_daemons)
    for (const LoadLine& line : daemon.last.loads)
      for (const auto& [model, count] : line.by_model)
        m_in_flight_by_model[{line.instance, model}] += count;
}

int OrderDesk::InFlight(const InstanceId& instance) const
{
  const auto found = m_in_flight.find(instance);
  return found == m_in_flight.end() ? 0 : found->second;
}

int OrderDesk::InFlight(const InstanceId& instance, const ModelId& model) const
{
  const auto found = m_in_flight_by_model.find({instance, model});
  return found == m_in_flight_by_model.end() ? 0 : found->second;
}

std::map<Artifact, OrderDesk::Waiting> OrderDesk::WaitingNow(const Gateway::PoolId& pool) const
{
  std::map<Artifact, Waiting> waiting;
  for (const auto& [vm, daemon] : m_daemons)
    for (const DemandLine& line : daemon.last.demand)
    {
      if (line.pool != pool || line.waiting == 0)
        continue;
      Waiting& entry = waiting[line.artifact];
      entry.count += line.waiting;
      entry.priority = std::min(entry.priority, line.priority);
      entry.oldest = std::max(entry.oldest, Milliseconds(line.oldest_wait_ms));
    }
  return waiting;
}

void OrderDesk::RefreshBooks(TimePoint now)
{
  std::erase_if(m_daemons, [&](const auto& entry) {
    return now - entry.second.heard_at > DAEMON_SILENT_AFTER;
  });
  std::erase_if(m_books, [&](const auto& entry) {
    return m_servers.Find(entry.first) == nullptr;
  });
  for (const auto& [instance, server] : m_servers.All())
    RefreshBook(*server, m_books[instance], now);
}

void OrderDesk::RefreshBook(const Server& server, ServerBook& book, TimePoint now)
{
  for (const Gateway::LoadedModel& loaded : server.Entry().models)
    book.loaded_since.try_emplace(loaded.model, now);
  std::erase_if(book.reported_models, [&](const ModelId& model) {
    return HoldsModel(server, model);
  });
  std::erase_if(book.loaded_since, [&](const auto& entry) {
    return !HoldsModel(server, entry.first);
  });
  std::erase_if(book.adapters, [&](const auto& entry) {
    return !HoldsModel(server, entry.first.model);
  });
  const auto base_is_gone = [&](const Artifact& artifact) {
    return !HoldsModel(server, artifact.model);
  };
  std::erase_if(book.dropped_adapters, base_is_gone);
  std::erase_if(book.leaving_adapters, base_is_gone);
}

std::vector<Artifact> OrderDesk::AdaptersOn(const Server& server, const ServerBook& book) const
{
  std::set<Artifact> adapters;
  for (const Gateway::LoadedModel& loaded : server.Entry().models)
    for (const Gateway::AdapterId& adapter : loaded.adapters)
      adapters.insert({loaded.model, adapter});
  for (const Artifact& dropped : book.dropped_adapters)
    adapters.erase(dropped);
  for (const auto& [artifact, adapter] : book.adapters)
    adapters.insert(artifact);
  return {adapters.begin(), adapters.end()};
}

void OrderDesk::PlanSoon()
{
  if (m_plan_timer.Running())
    return;
  m_plan_timer.Start(PLAN_DELAY, [this] {
    Plan(Common::Now());
  });
}

void OrderDesk::Plan(TimePoint now)
{
  if (!m_configuration || !m_fence_if_allowed())
    return;
  RefreshBooks(now);
  SumLoads();
  for (const auto& [instance, server] : m_servers.All())
  {
    CheckOpen(server, m_books[instance], now);
    LearnState(server, m_books[instance], now);
  }
  for (const auto& [id, pool] : m_configuration->pools)
  {
    if (!pool.engine)
      continue;
    PlanPool(pool, now);
    PlanAdapters(pool, now);
  }
}

void OrderDesk::LearnState(const ServerPtr& server, ServerBook& book, TimePoint now)
{
  const auto pool = m_configuration->pools.find(server->Entry().pool);
  const bool has_engine = pool != m_configuration->pools.end() && pool->second.engine;
  if (!has_engine || book.state_known || book.report_asked || book.open || now < book.next_report)
    return;
  book.report_asked = true;
  const InstanceId instance = server->Entry().instance;
  m_channel.read_report(instance, server->Entry().endpoint,
                        [this, instance](const Common::Result<ServerReport>& report) {
                          TakeState(instance, report);
                        });
}

void OrderDesk::TakeState(const InstanceId& instance, const Common::Result<ServerReport>& report)
{
  const auto found = m_books.find(instance);
  if (found == m_books.end())
    return;
  ServerBook& book = found->second;
  const auto now = Common::Now();
  book.report_asked = false;
  book.next_report = now + CHECK_PAUSE;
  if (!report || report->busy)
    return;
  book.state_known = true;
  book.sequence = std::max(book.sequence, report->order_sequence);
  book.reported_models.clear();
  for (const Gateway::LoadedModel& loaded : report->models)
  {
    book.reported_models.push_back(loaded.model);
    for (const Gateway::AdapterId& adapter : loaded.adapters)
      book.adapters.try_emplace({loaded.model, adapter}, AdapterBook{now});
  }
  for (const Artifact& artifact : report->coming)
    book.adapters.try_emplace(artifact, AdapterBook{now + ADAPTER_LOAD_TIME});
}

void OrderDesk::CheckOpen(const ServerPtr& server, ServerBook& book, TimePoint now)
{
  if (!book.open)
    return;
  OpenOrder& open = *book.open;
  const bool holds = HoldsModel(*server, open.call.artifact.model);
  const bool wanted = open.call.operation == OrderCall::Operation::Load;
  if (holds == wanted && open.accepted)
  {
    CloseOrder(server->Entry().instance, book, "done");
    return;
  }
  if (open.in_exchange || now < open.next_check)
    return;
  const auto pool = m_configuration->pools.find(server->Entry().pool);
  const auto usual = pool != m_configuration->pools.end() && pool->second.engine
                         ? LoadTime(*pool->second.engine, open.call.artifact.model, open.source)
                         : Milliseconds(0);
  if (now - open.first_sent > usual * 2 + GIVE_UP_AFTER)
  {
    CloseOrder(server->Entry().instance, book, "given_up");
    return;
  }
  AskReport(server, book);
}

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

Decisions::PlannedServer OrderDesk::PlannedServerOf(const Server& server, const Gateway::Pool& pool,
                                                    TimePoint now) const
{
  const Gateway::EngineSpec& engine = *pool.engine;
  const InstanceId& instance = server.Entry().instance;
  const ServerBook& book = m_books.at(instance);
  Decisions::PlannedServer planned;
  planned.instance = instance.Get();
  planned.data_centre = server.Entry().data_centre.Get();
  planned.memory_mb = engine.memory_mb;
  planned.usable = !server.Entry().draining && !server.Health().IsEjected(now) &&
                   now >= book.unusable_until && book.state_known;
  planned.order_open = book.open.has_value();
  if (book.open && book.open->then_load)
    planned.loading = book.open->then_load->Get();
  else if (book.open && book.open->call.operation == OrderCall::Operation::Load)
    planned.loading = book.open->call.artifact.model.Get();
  planned.in_flight = InFlight(instance);
  planned.batch = engine.batch;
  for (const auto& [model, since] : book.loaded_since)
    planned.replicas.push_back({model.Get(), InFlight(instance, model), since});
  // What only the server's report names takes memory all the same; its entry follows.
  for (const ModelId& model : book.reported_models)
    if (!book.loaded_since.contains(model))
      planned.replicas.push_back({model.Get(), InFlight(instance, model), now});
  // Every slot counts as taken, so that an adapter that comes never exceeds the memory.
  const auto largest = std::ranges::max_element(engine.models, {}, [](const auto& entry) {
    return entry.second.adapter_mb;
  });
  if (largest != engine.models.end())
    planned.adapters_mb = engine.adapter_slots * largest->second.adapter_mb;
  planned.in_host_memory = Names(server.Entry().in_host_memory);
  planned.on_disk = Names(server.Entry().on_disk);
  return planned;
}

Decisions::ReplicaPlanInput OrderDesk::PlanInput(const Gateway::Pool& pool, TimePoint now) const
{
  Decisions::ReplicaPlanInput input;
  input.now = now;
  input.store_loads_allowed = StoreLoadsAllowed(pool, now);
  for (const ServerPtr& server : m_servers.InPool(pool.id))
    input.servers.push_back(PlannedServerOf(*server, pool, now));
  for (const auto& [id, spec] : pool.engine->models)
  {
    Decisions::PlannedModel& model = input.models[id.Get()];
    model.model = id.Get();
    model.memory_mb = spec.memory_mb;
    model.from_host_memory = spec.load_from_host_memory;
    model.from_disk = spec.load_from_disk;
    model.from_store = spec.load_from_store;
  }
  for (const auto& [artifact, demand] : m_demand)
  {
    const auto found = input.models.find(artifact.model.Get());
    if (found == input.models.end() || demand.pool != pool.id)
      continue;
    const double elapsed = std::chrono::duration<double>(now - demand.updated).count();
    found->second.arrivals_per_second +=
        demand.arrivals_per_second * std::exp(-elapsed / RATE_SECONDS);
    found->second.last_wanted = std::max(found->second.last_wanted, demand.last_wanted);
  }
  for (const auto& [artifact, waiting] : WaitingNow(pool.id))
  {
    const auto found = input.models.find(artifact.model.Get());
    if (found == input.models.end())
      continue;
    found->second.waiting += waiting.count;
    found->second.priority = std::min(found->second.priority, waiting.priority);
    found->second.oldest_wait = std::max(found->second.oldest_wait, waiting.oldest);
  }
  for (const Decisions::PlannedServer& server : input.servers)
    for (const Decisions::PlannedReplica& replica : server.replicas)
      if (const auto found = input.models.find(replica.model); found != input.models.end())
        found->second.in_flight += replica.in_flight;
  return input;
}

void OrderDesk::PlanPool(const Gateway::Pool& pool, TimePoint now)
{
  for (const Decisions::PlannedOrder& order : Decisions::PlanReplicas(PlanInput(pool, now)))
  {
    const ServerPtr server = m_servers.Find(InstanceId(order.instance));
    if (!server)
      continue;
    const bool is_load = order.kind == Decisions::PlannedOrder::Kind::Load;
    std::optional<ModelId> then_load;
    if (!order.for_model.empty())
      then_load = ModelId(order.for_model);
    Give(server, is_load ? OrderCall::Operation::Load : OrderCall::Operation::Unload,
         ModelId(order.model), then_load, order.source, order.reason);
  }
}

void OrderDesk::Give(const ServerPtr& server, OrderCall::Operation operation, const ModelId& model,
                     std::optional<ModelId> then_load, Decisions::WeightSource source,
                     const std::string& reason)
{
  const auto now = Common::Now();
  ServerBook& book = m_books[server->Entry().instance];
  OpenOrder open;
  open.call.instance = server->Entry().instance;
  open.call.endpoint = server->Entry().endpoint;
  open.call.operation = operation;
  open.call.artifact.model = model;
  open.first_sent = now;
  open.then_load = std::move(then_load);
  open.source = source;
  open.id = m_next_order++;
  const bool is_load = operation == OrderCall::Operation::Load;
  if (is_load)
    ++m_counters[std::string("load_from_") + ToString(source)];
  if (is_load && source == Decisions::WeightSource::WeightStore)
  {
    m_store_loads.push_back(now);
    while (m_store_loads.size() > 1000)
      m_store_loads.pop_front();
  }
  book.open = std::move(open);
  Common::LogEvent(Common::LogLevel::Info, "order",
                   {{"order", book.open->id},
                    {"instance", server->Entry().instance},
                    {"operation", is_load ? "load" : "unload"},
                    {"model", model},
                    {"source", ToString(source)},
                    {"sequence", book.sequence},
                    {"reason", reason}});
  if (!is_load && m_on_placement)
    m_on_placement();
  SendOpen(server, book);
}

void OrderDesk::SendOpen(const ServerPtr& server, ServerBook& book)
{
  OpenOrder& open = *book.open;
  const auto fence = m_fence_if_allowed();
  if (!fence || book.adapter_in_exchange)
  {
    open.next_check = Common::Now();
    return;
  }
  open.in_exchange = true;
  open.call.fence = *fence;
  open.call.expected_sequence = book.sequence;
  const InstanceId instance = server->Entry().instance;
  const std::uint64_t id = open.id;
  m_last_order_at = Common::Now();
  m_channel.send(open.call, [this, instance, id](Common::Result<OrderAnswer> answer) {
    TakeAnswer(instance, id, std::move(answer));
  });
}

void OrderDesk::TakeAnswer(const InstanceId& instance, std::uint64_t id,
                           Common::Result<OrderAnswer> answer)
{
  const auto found = m_books.find(instance);
  if (found == m_books.end() || !found->second.open || found->second.open->id != id)
    return;
  ServerBook& book = found->second;
  OpenOrder& open = *book.open;
  const auto now = Common::Now();
  open.in_exchange = false;
  Common::LogEvent(
      answer ? Common::LogLevel::Info : Common::LogLevel::Warning, "order-answer",
      {{"order", id},
       {"instance", instance},
       {"answer", answer ? ToString(*answer) : Common::ToString(answer.Reason().kind)}});
  if (!answer)
  {
    open.next_check = now + CHECK_PAUSE;
    if (answer.Reason().kind != Common::FailureKind::NotSent)
      return;
    book.unusable_until = now + UNREACHABLE_PAUSE;
    CloseOrder(instance, book, "not_sent");
    return;
  }
  switch (*answer)
  {
  case OrderAnswer::Accepted:
    open.accepted = true;
    book.sequence = open.call.expected_sequence + 1;
    open.next_check = now + ENTRY_SLACK;
    if (open.call.operation == OrderCall::Operation::Load)
      open.next_check += Milliseconds(1000);
    break;
  case OrderAnswer::AlreadySo:
    open.accepted = true;
    open.next_check = now + ENTRY_SLACK;
    break;
  case OrderAnswer::Busy:
    // The sequence is not what we think, or an order that went unanswered is being done.
    CloseOrder(instance, book, ToString(*answer));
    break;
  case OrderAnswer::OtherServer:
  case OrderAnswer::Fenced:
  case OrderAnswer::Malformed:
    book.unusable_until = now + UNREACHABLE_PAUSE;
    CloseOrder(instance, book, ToString(*answer));
    break;
  }
}

void OrderDesk::AskReport(const ServerPtr& server, ServerBook& book)
{
  book.open->in_exchange = true;
  const InstanceId instance = server->Entry().instance;
  const std::uint64_t id = book.open->id;
  m_channel.read_report(instance, server->Entry().endpoint,
                        [this, instance, id](Common::Result<ServerReport> report) {
                          TakeServerReport(instance, id, std::move(report));
                        });
}

void OrderDesk::TakeServerReport(const InstanceId& instance, std::uint64_t id,
                                 Common::Result<ServerReport> report)
{
  const auto found = m_books.find(instance);
  const ServerPtr server = m_servers.Find(instance);
  if (found == m_books.end() || !server || !found->second.open || found->second.open->id != id)
    return;
  ServerBook& book = found->second;
  OpenOrder& open = *book.open;
  const auto now = Common::Now();
  open.in_exchange = false;
  open.next_check = now + CHECK_PAUSE;
  if (!report)
    return;
  const bool holds = std::ranges::find(report->models, open.call.artifact.model,
                                       &Gateway::LoadedModel::model) != report->models.end();
  const bool wanted = open.call.operation == OrderCall::Operation::Load;
  const bool moved = report->order_sequence > open.call.expected_sequence;
  book.sequence = std::max(book.sequence, report->order_sequence);
  if (holds == wanted && (moved || open.accepted))
  {
    // The entry follows; until then the directory would contradict what is known here.
    open.accepted = true;
    return;
  }
  if (report->busy || open.accepted)
    return;
  // Nothing shows that the order was taken. Sent again, at most one of the copies takes effect.
  SendOpen(server, book);
}

void OrderDesk::CloseOrder(const InstanceId& instance, ServerBook& book, const char* outcome)
{
  const OpenOrder closed = std::move(*book.open);
  book.open.reset();
  ++m_counters[outcome];
  const auto took = std::chrono::duration_cast<Milliseconds>(Common::Now() - closed.first_sent);
  Common::LogEvent(
      Common::LogLevel::Info, "order-closed",
      {{"order", closed.id}, {"instance", instance}, {"outcome", outcome}, {"ms", took.count()}});
  if (m_on_placement)
    m_on_placement();
  const ServerPtr server = m_servers.Find(instance);
  const bool done = std::string_view(outcome) == "done";
  if (!done)
    book.state_known = false;
  if (done && closed.then_load && server && !server->Entry().draining)
    Give(server, OrderCall::Operation::Load, *closed.then_load, std::nullopt, closed.source,
         "after unload");
}

void OrderDesk::PlanAdapters(const Gateway::Pool& pool, TimePoint now)
{
  for (const auto& [artifact, waiting] : WaitingNow(pool.id))
  {
    if (!artifact.IsAdapter())
      continue;
    const bool held = std::ranges::any_of(m_servers.InPool(pool.id), [&](const ServerPtr& server) {
      const ServerBook& book = m_books[server->Entry().instance];
      const auto adapters = AdaptersOn(*server, book);
      return !server->Entry().draining && !server->Health().IsEjected(now) &&
             std::ranges::find(adapters, artifact) != adapters.end();
    });
    if (!held)
      LoadAdapter(pool, artifact, now);
  }
}

void OrderDesk::LoadAdapter(const Gateway::Pool& pool, const Artifact& artifact, TimePoint now)
{
  ServerPtr best;
  std::pair<bool, int> best_key;
  for (const ServerPtr& server : m_servers.InPool(pool.id))
  {
    const ServerBook& book = m_books[server->Entry().instance];
    const bool leaving = book.open && book.open->call.operation == OrderCall::Operation::Unload &&
                         book.open->call.artifact.model == artifact.model;
    if (server->Entry().draining || server->Health().IsEjected(now) || leaving ||
        now < book.unusable_until || !book.state_known || !HoldsModel(*server, artifact.model))
      continue;
    const bool full =
        static_cast<int>(AdaptersOn(*server, book).size()) >= pool.engine->adapter_slots;
    if (full && !AdapterVictim(*server, book, now))
      continue;
    const std::pair key(full, InFlight(server->Entry().instance));
    if (!best || key < best_key)
    {
      best = server;
      best_key = key;
    }
  }
  if (!best)
    return;
  ServerBook& book = m_books[best->Entry().instance];
  const bool in_exchange = book.adapter_in_exchange || (book.open && book.open->in_exchange);
  const auto coming = std::ranges::count_if(book.adapters, [&](const auto& entry) {
    return entry.second.usable_from > now;
  });
  if (in_exchange || coming >= ADAPTERS_COMING)
    return;
  if (best_key.first)
    GiveAdapter(best, OrderCall::Operation::Unload, *AdapterVictim(*best, book, now));
  else
    GiveAdapter(best, OrderCall::Operation::Load, artifact);
}

std::optional<Artifact> OrderDesk::AdapterVictim(const Server& server, const ServerBook& book,
                                                 TimePoint now) const
{
  std::optional<Artifact> best;
  TimePoint best_wanted;
  for (const Artifact& artifact : AdaptersOn(server, book))
  {
    const auto demand = m_demand.find(artifact);
    const TimePoint wanted = demand == m_demand.end() ? TimePoint() : demand->second.last_wanted;
    if (now - wanted < ADAPTER_MIN_IDLE || (best && wanted >= best_wanted) ||
        book.leaving_adapters.contains(artifact))
      continue;
    best = artifact;
    best_wanted = wanted;
  }
  return best;
}

void OrderDesk::GiveAdapter(const ServerPtr& server, OrderCall::Operation operation,
                            const Artifact& artifact)
{
  const auto fence = m_fence_if_allowed();
  if (!fence)
    return;
  ServerBook& book = m_books[server->Entry().instance];
  OrderCall call;
  call.instance = server->Entry().instance;
  call.endpoint = server->Entry().endpoint;
  call.operation = operation;
  call.artifact = artifact;
  call.expected_sequence = book.sequence;
  call.fence = *fence;
  book.adapter_in_exchange = true;
  if (operation == OrderCall::Operation::Unload)
  {
    // Daemons stop sending for it before it goes. It takes its slot until the server has confirmed.
    book.leaving_adapters.insert(artifact);
    if (m_on_placement)
      m_on_placement();
  }
  m_last_order_at = Common::Now();
  m_channel.send(call, [this, instance = call.instance, call](Common::Result<OrderAnswer> answer) {
    TakeAdapterAnswer(instance, call, std::move(answer));
  });
}

void OrderDesk::TakeAdapterAnswer(const InstanceId& instance, OrderCall call,
                                  Common::Result<OrderAnswer> answer)
{
  const auto found = m_books.find(instance);
  if (found == m_books.end())
    return;
  ServerBook& book = found->second;
  const auto now = Common::Now();
  book.adapter_in_exchange = false;
  const bool is_load = call.operation == OrderCall::Operation::Load;
  Common::LogEvent(
      answer ? Common::LogLevel::Info : Common::LogLevel::Warning, "adapter-order",
      {{"instance", instance},
       {"operation", is_load ? "load" : "unload"},
       {"artifact", call.artifact.ToString()},
       {"sequence", call.expected_sequence},
       {"answer", answer ? ToString(*answer) : Common::ToString(answer.Reason().kind)}});
  const bool taken =
      answer && (*answer == OrderAnswer::Accepted || *answer == OrderAnswer::AlreadySo);
  if (!taken)
  {
    book.leaving_adapters.erase(call.artifact);
    book.state_known = false;
    return;
  }
  if (*answer == OrderAnswer::Accepted || !is_load)
    book.sequence = std::max(book.sequence, call.expected_sequence + 1);
  if (!is_load)
  {
    // An adapter in use goes when its last request has ended; then the server's entry shows it.
    if (*answer == OrderAnswer::AlreadySo)
    {
      book.leaving_adapters.erase(call.artifact);
      book.dropped_adapters.insert(call.artifact);
      book.adapters.erase(call.artifact);
    }
    return;
  }
  book.dropped_adapters.erase(call.artifact);
  book.adapters[call.artifact] = {now + ADAPTER_LOAD_TIME};
  AnnounceAdapters();
}

void OrderDesk::AnnounceAdapters()
{
  if (m_adapter_timer.Running())
    return;
  m_adapter_timer.Start(ADAPTER_LOAD_TIME, [this] {
    if (m_on_placement)
      m_on_placement();
    const auto now = Common::Now();
    const bool more = std::ranges::any_of(m_books, [&](const auto& entry) {
      return std::ranges::any_of(entry.second.adapters, [&](const auto& adapter) {
        return adapter.second.usable_from > now;
      });
    });
    if (more)
      AnnounceAdapters();
  });
}

std::vector<PlacementLine> OrderDesk::Placements() const
{
  const auto now = Common::Now();
  std::vector<PlacementLine> lines;
  for (const auto& [instance, server] : m_servers.All())
  {
    const auto book = m_books.find(instance);
    if (book == m_books.end())
      continue;
    PlacementLine line;
    line.instance = instance;
    for (const Artifact& artifact : AdaptersOn(*server, book->second))
    {
      const auto coming = book->second.adapters.find(artifact);
      const bool arrived =
          coming == book->second.adapters.end() || coming->second.usable_from <= now;
      if (arrived && !book->second.leaving_adapters.contains(artifact))
        line.adapters.push_back(artifact);
    }
    const auto& open = book->second.open;
    if (open && open->call.operation == OrderCall::Operation::Unload)
      line.leaving.push_back(open->call.artifact.model);
    if (!line.adapters.empty() || !line.leaving.empty())
      lines.push_back(std::move(line));
  }
  return lines;
}
} // namespace Orders

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "UnitTests/Decisions/Replays/Fleet.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace UnitTests
{
using Common::Milliseconds;
using Decisions::ModelIndex;
using Decisions::ServerIndex;

namespace
{
constexpr Milliseconds STEP{10};
constexpr double RATE_SECONDS = 8;
constexpr double MODEL_MB = 70;
const Common::TimePoint EPOCH = Common::TimePoint() + std::chrono::hours(1);
} // namespace

Fleet::Fleet(const FleetSettings& settings, std::uint64_t seed)
    : m_settings(settings),
      m_random(seed),
      m_servers(settings.servers),
      m_rates(settings.models),
      m_last_wanted(settings.models, Milliseconds(-60000)),
      m_unserved(settings.models)
{
  LoadInitialModels();
  m_input.batch = settings.batch;
  m_input.models.resize(settings.models);
  for (std::size_t i = 0; i < settings.models; ++i)
  {
    Decisions::PlannedModel& model = m_input.models[i];
    model.memory_mb = MemoryOf(i);
    model.from_host_memory = settings.from_disk;
    model.from_disk = settings.from_disk;
    model.from_store = settings.from_store;
  }
  m_input.servers.resize(settings.servers);
  FillDisks();
}

double Fleet::MemoryOf(std::size_t model) const
{
  return m_settings.models_mb.empty() ? MODEL_MB : m_settings.models_mb[model];
}

double Fleet::ServerMemory() const
{
  return m_settings.server_mb > 0 ? m_settings.server_mb
                                  : MODEL_MB * static_cast<double>(m_settings.models_per_server);
}

/// Loads each model on one server, in round-robin order, if it has room.
void Fleet::LoadInitialModels()
{
  std::vector<double> free(m_servers.size(), ServerMemory());
  for (std::size_t i = 0; i < m_settings.models; ++i)
  {
    const std::size_t server = i % m_servers.size();
    if (free[server] < MemoryOf(i))
      continue;
    free[server] -= MemoryOf(i);
    m_servers[server].loaded.emplace_back(i, Milliseconds(-60000));
  }
}

void Fleet::FillDisks()
{
  for (std::size_t i = 0; i < m_servers.size(); ++i)
  {
    std::vector<ModelIndex> on_disk;
    if (!m_settings.disks.empty())
      for (const std::size_t model : m_settings.disks[i])
        on_disk.push_back(ModelIndex(static_cast<std::uint32_t>(model)));
    else
      for (std::size_t copy = 0; copy < m_settings.on_disk; ++copy)
        on_disk.push_back(ModelIndex(static_cast<std::uint32_t>(
            static_cast<std::uint64_t>(m_random()) % m_settings.models)));
    m_input.copies.Set(ServerIndex(static_cast<std::uint32_t>(i)), {}, on_disk);
  }
}

std::vector<StreamResult> Fleet::Simulate(const std::vector<Stream>& streams, Milliseconds end)
{
  std::vector<StreamResult> results(streams.size());
  for (; m_now < end; m_now += STEP)
  {
    AddArrivals(streams, results);
    FinishRunsAndOrders();
    StartRequests(streams, results);
    ExpireRequests(results);
    if (m_now.count() % m_settings.plan_every.count() == 0)
      Plan(streams);
  }
  for (const Request& request : m_waiting)
    ++results[request.stream].unserved;
  return results;
}

void Fleet::AddArrivals(const std::vector<Stream>& streams, std::vector<StreamResult>& results)
{
  const double decay = std::exp(-std::chrono::duration<double>(STEP).count() / RATE_SECONDS);
  for (double& rate : m_rates)
    rate *= decay;
  for (std::size_t i = 0; i < streams.size(); ++i)
  {
    const Stream& stream = streams[i];
    if (m_now < stream.from || m_now >= stream.until)
      continue;
    const double chance = stream.per_second * std::chrono::duration<double>(STEP).count();
    const double draw = std::ldexp(static_cast<double>(m_random() >> 11), -53);
    const int count = static_cast<int>(chance) + (draw < chance - std::floor(chance) ? 1 : 0);
    for (int n = 0; n < count; ++n)
    {
      const std::size_t model = stream.first_model + m_random() % stream.models;
      m_waiting.push_back({i, model, m_now});
      m_rates[model] += 1 / RATE_SECONDS;
      m_last_wanted[model] = m_now;
      ++results[i].asked;
    }
  }
}

bool Fleet::IsRunning(const Server& server, std::size_t model) const
{
  return std::ranges::find(server.runs, model, &Run::model) != server.runs.end();
}

void Fleet::FinishRunsAndOrders()
{
  for (Server& server : m_servers)
  {
    std::erase_if(server.runs, [&](const Run& run) {
      return run.ends <= m_now;
    });
    if (!server.order)
      continue;
    Order& order = *server.order;
    if (!order.unloads.empty())
    {
      // An unload waits for the running requests of its model.
      const std::size_t leaving = order.unloads.front();
      if (IsRunning(server, leaving) || order.done_at > m_now)
        continue;
      std::erase_if(server.loaded, [&](const auto& held) {
        return held.first == leaving;
      });
      order.unloads.erase(order.unloads.begin());
      order.done_at = m_now + m_settings.unload;
      if (order.unloads.empty())
        order.done_at += order.load_time;
    }
    if (order.done_at > m_now)
      continue;
    server.loaded.emplace_back(order.loads, m_now);
    server.order.reset();
  }
}

Fleet::Server* Fleet::ServerFor(std::size_t model)
{
  Server* best = nullptr;
  for (Server& server : m_servers)
  {
    const bool loaded = std::ranges::any_of(server.loaded, [&](const auto& held) {
      return held.first == model;
    });
    const bool leaving = server.order && std::ranges::find(server.order->unloads, model) !=
                                             server.order->unloads.end();
    if (!loaded || leaving || server.runs.size() >= static_cast<std::size_t>(m_settings.batch))
      continue;
    if (best == nullptr || server.runs.size() < best->runs.size())
      best = &server;
  }
  return best;
}

void Fleet::StartRequests(const std::vector<Stream>& streams, std::vector<StreamResult>& results)
{
  std::erase_if(m_waiting, [&](const Request& request) {
    Server* server = ServerFor(request.model);
    if (server == nullptr)
      return false;
    server->runs.push_back({request.model, m_now + m_settings.run_time});
    StreamResult& result = results[request.stream];
    const bool in_target = m_now - request.arrived <= streams[request.stream].target;
    ++(in_target ? result.in_target : result.late);
    return true;
  });
}

void Fleet::ExpireRequests(std::vector<StreamResult>& results)
{
  std::erase_if(m_waiting, [&](const Request& request) {
    if (m_now - request.arrived < m_settings.request_timeout)
      return false;
    ++results[request.stream].unserved;
    return true;
  });
}

void Fleet::UpdateUnservedDemand()
{
  std::vector<bool> held(m_settings.models);
  for (const Server& server : m_servers)
    for (const auto& [model, since] : server.loaded)
      held[model] = true;
  for (std::size_t i = 0; i < m_settings.models; ++i)
  {
    Decisions::PlannedModel& model = m_input.models[i];
    model.unserved_for = m_unserved[i].Update(held[i], model.last_wanted, m_input.now);
  }
}

void Fleet::Plan(const std::vector<Stream>& streams)
{
  m_input.now = EPOCH + m_now;
  int store_loads = 0;
  for (std::size_t i = 0; i < m_settings.models; ++i)
  {
    Decisions::PlannedModel& model = m_input.models[i];
    model.waiting = 0;
    model.priority = 9;
    model.oldest_wait = Milliseconds(0);
    model.in_flight = 0;
    model.arrivals_per_second = m_rates[i];
    model.last_wanted = EPOCH + m_last_wanted[i];
  }
  for (const Request& request : m_waiting)
  {
    Decisions::PlannedModel& model = m_input.models[request.model];
    ++model.waiting;
    model.priority = std::min(model.priority, streams[request.stream].priority);
    model.oldest_wait = std::max(model.oldest_wait, m_now - request.arrived);
    model.last_wanted = m_input.now;
  }
  for (std::size_t i = 0; i < m_servers.size(); ++i)
  {
    const Server& server = m_servers[i];
    Decisions::PlannedServer& planned = m_input.servers[i];
    planned.memory_mb = ServerMemory();
    planned.order_open = server.order.has_value();
    planned.loading.reset();
    if (server.order)
      planned.loading = ModelIndex(static_cast<std::uint32_t>(server.order->loads));
    store_loads += server.order && server.order->from_store ? 1 : 0;
    planned.in_flight = static_cast<int>(server.runs.size());
    planned.replicas.clear();
    for (const auto& [model, since] : server.loaded)
    {
      const auto runs = std::ranges::count(server.runs, model, &Run::model);
      planned.replicas.push_back(
          {ModelIndex(static_cast<std::uint32_t>(model)), static_cast<int>(runs), EPOCH + since});
      m_input.models[model].in_flight += static_cast<int>(runs);
    }
  }
  UpdateUnservedDemand();
  m_input.store_loads_allowed = std::max(m_settings.store_loads_at_once - store_loads, 0);
  for (const Decisions::PlannedOrder& given : Decisions::PlanReplicas(m_input).orders)
  {
    Order order;
    order.from_store = given.source == Decisions::WeightSource::WeightStore;
    order.load_time = order.from_store ? m_settings.from_store : m_settings.from_disk;
    order.loads = At(given.for_model.value_or(given.model));
    order.done_at = m_now;
    if (!given.for_model)
      order.done_at += order.load_time;
    else
      order.unloads.push_back(At(given.model));
    std::ranges::transform(given.also_unload, std::back_inserter(order.unloads),
                           [](ModelIndex model) {
                             return At(model);
                           });
    m_servers[At(given.server)].order = order;
  }
}
} // namespace UnitTests

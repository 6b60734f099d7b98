// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "UnitTests/Decisions/Replays/SlotServers.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <tuple>

#include "Common/Random.h"

namespace UnitTests
{
namespace
{
using Decisions::ShareCandidate;

/// Time between two announcements of the totals.
constexpr double ANNOUNCEMENT_S = 0.5;

Common::TimePoint At(double seconds)
{
  return Common::TimePoint(std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(seconds + 1000)));
}

struct Arrival
{
  double time = 0;
  std::size_t vm = 0;
};

struct Request
{
  Arrival arrival;
  double sent = 0;
  bool waited_beside = false;
  std::set<std::size_t> refused_by;
};

struct SimulatedServer
{
  Common::VmId id;
  double speed = 1;
  bool alive = true;
  std::set<std::size_t> running;
  std::deque<std::size_t> waiting;
  std::int64_t open_at_announcement = 0;
};

struct Event
{
  double time = 0;
  enum class Kind
  {
    Announcement,
    Replacement,
    Completion,
    Arrival
  } kind = Kind::Arrival;
  std::size_t server = 0;
  std::size_t request = 0;

  auto operator<=>(const Event&) const = default;
};

struct SimulatedVm
{
  std::unique_ptr<ServerChooser> chooser;
  std::map<std::size_t, std::int64_t> open; ///< By server.
  std::map<std::size_t, std::int64_t> open_at_announcement;
  std::set<std::size_t> used; ///< Servers with a response.
  double learns_replacement = 0;
};

class Replay
{
public:
  Replay(const SlotServersSettings& settings, const MakeChooser& make, std::uint64_t seed)
      : m_settings(settings), m_random(seed)
  {
    const std::size_t servers = settings.servers + settings.replaced;
    double capacity = 0;
    for (std::size_t i = 0; i < servers; ++i)
    {
      SimulatedServer& server = m_servers.emplace_back();
      std::string number = std::to_string(i);
      server.id = Common::VmId("s-" + std::string(5 - number.size(), '0') + number);
      // A replacement has the speed of the server that it replaces.
      const std::size_t position = i % settings.servers;
      if (!settings.speeds.empty())
        server.speed = settings.speeds[position % settings.speeds.size()];
      server.alive = i < settings.servers;
      if (server.alive)
        capacity += settings.slots * server.speed / settings.service_s;
    }
    for (std::size_t i = 0; i < servers; ++i)
    {
      ShareCandidate candidate;
      candidate.server = m_servers[i].id;
      candidate.places = settings.slots;
      candidate.limit = LimitOfServer();
      if (i < settings.servers)
      {
        m_before.push_back(i);
        m_candidates_before.push_back(candidate);
      }
      if (i >= settings.replaced)
      {
        m_after.push_back(i);
        m_candidates_after.push_back(candidate);
      }
    }
    std::exponential_distribution<double> gap(capacity * settings.load /
                                              static_cast<double>(settings.burst));
    std::uniform_int_distribution<std::size_t> any_vm(0, settings.vms - 1);
    const double end = settings.warm_up_s + settings.duration_s;
    for (double time = gap(m_random); time < end; time += gap(m_random))
      for (std::size_t i = 0; i < settings.burst; ++i)
        m_arrivals.push_back({time, any_vm(m_random)});
    m_replacement = settings.warm_up_s + settings.duration_s / 2;
    std::uniform_real_distribution<double> delay(0, 0.5);
    for (std::size_t vm = 0; vm < settings.vms; ++vm)
    {
      SimulatedVm& added = m_vms.emplace_back();
      added.chooser = make(vm, settings.vms);
      added.learns_replacement = m_replacement + delay(m_random);
    }
  }

  SlotServersResult Run()
  {
    m_requests.resize(m_arrivals.size());
    m_free = static_cast<std::int64_t>(m_settings.servers) * m_settings.slots;
    for (std::size_t i = 0; i < m_arrivals.size(); ++i)
    {
      m_requests[i].arrival = m_arrivals[i];
      m_events.push({m_arrivals[i].time, Event::Kind::Arrival, 0, i});
    }
    if (m_settings.replaced > 0)
      m_events.push({m_replacement, Event::Kind::Replacement, 0, 0});
    for (double time = 0; time < m_settings.warm_up_s + m_settings.duration_s;
         time += ANNOUNCEMENT_S)
      m_events.push({time, Event::Kind::Announcement, 0, 0});
    while (!m_events.empty())
    {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.time;
      Handle(event);
    }
    m_result.shared_queue_s = SharedQueue(true);
    m_result.idle_queue_s = SharedQueue(false);
    return m_result;
  }

private:
  std::int64_t LimitOfServer() const
  {
    return m_settings.slots + static_cast<std::int64_t>(m_settings.queue);
  }

  bool IsMeasured(const Request& request) const
  {
    return request.arrival.time >= m_settings.warm_up_s;
  }

  void Handle(const Event& event)
  {
    switch (event.kind)
    {
    case Event::Kind::Announcement:
      for (SimulatedServer& server : m_servers)
        server.open_at_announcement =
            static_cast<std::int64_t>(server.running.size() + server.waiting.size());
      for (SimulatedVm& vm : m_vms)
        vm.open_at_announcement = vm.open;
      break;
    case Event::Kind::Replacement:
      Replace();
      break;
    case Event::Kind::Completion:
      Complete(event.server, event.request);
      break;
    case Event::Kind::Arrival:
      if (IsMeasured(m_requests[event.request]))
        ++m_result.requests;
      Send(event.request);
      break;
    }
  }

  void Send(std::size_t number)
  {
    Request& request = m_requests[number];
    SimulatedVm& vm = m_vms[request.arrival.vm];
    const bool knows = m_settings.replaced > 0 && m_now >= vm.learns_replacement;
    std::vector<ShareCandidate>& candidates = knows ? m_candidates_after : m_candidates_before;
    const std::vector<std::size_t>& servers = knows ? m_after : m_before;
    const std::size_t offset = servers.front();
    const auto inside = [&](std::size_t server) {
      return server >= offset && server < offset + servers.size();
    };
    for (const auto& [server, open] : vm.open)
      if (inside(server))
        candidates[server - offset].own_running = open;
    for (const std::size_t server : request.refused_by)
      if (inside(server))
        candidates[server - offset].limit = 0;
    m_totals.assign(servers.size(), 0);
    for (std::size_t i = 0; i < servers.size(); ++i)
      m_totals[i] = m_servers[servers[i]].open_at_announcement;
    for (const auto& [server, open] : vm.open_at_announcement)
      if (inside(server))
        m_totals[server - offset] -= open;
    for (const std::size_t server : vm.used)
      if (inside(server))
        candidates[server - offset].speed = vm.chooser->SpeedOf(m_servers[server].id, At(m_now));
    const auto chosen = vm.chooser->Choose(candidates, m_totals, At(m_now));
    for (const auto& [server, open] : vm.open)
      if (inside(server))
        candidates[server - offset].own_running = 0;
    for (const std::size_t server : vm.used)
      if (inside(server))
        candidates[server - offset].speed = 1;
    for (const std::size_t server : request.refused_by)
      if (inside(server))
        candidates[server - offset].limit = LimitOfServer();
    if (!chosen)
    {
      if (IsMeasured(request))
        ++m_result.unserved;
      return;
    }
    const std::size_t target = servers[*chosen];
    SimulatedServer& server = m_servers[target];
    const bool is_full = server.running.size() == static_cast<std::size_t>(m_settings.slots) &&
                         server.waiting.size() == m_settings.queue;
    if (!server.alive || is_full)
    {
      if (server.alive && IsMeasured(request))
        ++m_result.rejected;
      request.refused_by.insert(target);
      Send(number);
      return;
    }
    request.sent = m_now;
    ++vm.open[target];
    if (server.running.size() < static_cast<std::size_t>(m_settings.slots))
    {
      --m_free;
      Start(target, number);
      return;
    }
    server.waiting.push_back(number);
    request.waited_beside = request.waited_beside || m_free > 0;
  }

  void Start(std::size_t target, std::size_t number)
  {
    SimulatedServer& server = m_servers[target];
    server.running.insert(number);
    m_events.push(
        {m_now + m_settings.service_s / server.speed, Event::Kind::Completion, target, number});
  }

  void Complete(std::size_t target, std::size_t number)
  {
    SimulatedServer& server = m_servers[target];
    if (!server.alive || server.running.erase(number) == 0)
      return;
    const Request& request = m_requests[number];
    SimulatedVm& vm = m_vms[request.arrival.vm];
    Close(vm, target);
    vm.used.insert(target);
    const auto took = std::chrono::duration<double, std::milli>(1000 * (m_now - request.sent));
    vm.chooser->NoteResponse(server.id, std::chrono::round<Common::Milliseconds>(took), At(m_now));
    if (IsMeasured(request))
    {
      m_result.response_s += m_now - request.arrival.time;
      m_result.waited_beside += request.waited_beside ? 1 : 0;
    }
    if (server.waiting.empty())
    {
      if (++m_free == 1)
        MarkAllWaiting();
      return;
    }
    const std::size_t next = server.waiting.front();
    server.waiting.pop_front();
    Start(target, next);
  }

  static void Close(SimulatedVm& vm, std::size_t target)
  {
    if (--vm.open[target] == 0)
      vm.open.erase(target);
  }

  void MarkAllWaiting()
  {
    for (const SimulatedServer& server : m_servers)
      for (const std::size_t number : server.waiting)
        m_requests[number].waited_beside = true;
  }

  void Replace()
  {
    std::vector<std::size_t> lost;
    for (std::size_t i = 0; i < m_settings.replaced; ++i)
    {
      SimulatedServer& server = m_servers[i];
      m_free += static_cast<std::int64_t>(server.running.size()); // Those of the replacement.
      std::ranges::copy(server.running, std::back_inserter(lost));
      std::ranges::copy(server.waiting, std::back_inserter(lost));
      server.running.clear();
      server.waiting.clear();
      server.alive = false;
      m_servers[m_settings.servers + i].alive = true;
      for (SimulatedVm& vm : m_vms)
        vm.open.erase(i);
    }
    for (const std::size_t number : lost)
      Send(number);
  }

  /// The sum of the response times if all requests waited in one queue, from which each starts at
  /// the fastest free slot, or else at the one that has been free for longest. Requests on replaced
  /// servers start again.
  double SharedQueue(bool fastest_first) const
  {
    struct Running
    {
      double end = 0;
      std::size_t server = 0;
      std::size_t request = 0;
      auto operator<=>(const Running&) const = default;
    };
    std::priority_queue<Running, std::vector<Running>, std::greater<>> running;
    std::deque<std::size_t> waiting;
    /// The next to be used first, with the server.
    std::multiset<std::pair<double, std::size_t>> free_slots;
    const auto release = [&](std::size_t server, double time) {
      free_slots.emplace(fastest_first ? -m_servers[server].speed : time, server);
    };
    for (int slot = 0; slot < m_settings.slots; ++slot)
      for (std::size_t i = 0; i < m_settings.servers; ++i)
        release(i, 0);
    double now = 0;
    double sum = 0;
    const auto start = [&] {
      while (!waiting.empty() && !free_slots.empty())
      {
        const std::size_t server = free_slots.begin()->second;
        free_slots.erase(free_slots.begin());
        running.push(
            {now + m_settings.service_s / m_servers[server].speed, server, waiting.front()});
        waiting.pop_front();
      }
    };
    bool replaced = m_settings.replaced == 0;
    std::size_t next = 0;
    while (next < m_arrivals.size() || !running.empty())
    {
      const bool arrives = next < m_arrivals.size() &&
                           (running.empty() || m_arrivals[next].time < running.top().end);
      const double time = arrives ? m_arrivals[next].time : running.top().end;
      if (!replaced && time >= m_replacement)
      {
        replaced = true;
        now = m_replacement;
        std::vector<Running> kept;
        for (; !running.empty(); running.pop())
        {
          if (running.top().server >= m_settings.replaced)
            kept.push_back(running.top());
          else
            waiting.push_front(running.top().request);
        }
        for (const Running& one : kept)
          running.push(one);
        std::erase_if(free_slots, [&](const auto& slot) {
          return slot.second < m_settings.replaced;
        });
        for (std::size_t i = 0; i < m_settings.replaced; ++i)
          for (int slot = 0; slot < m_settings.slots; ++slot)
            release(i, now);
        start();
        continue;
      }
      now = time;
      if (arrives)
        waiting.push_back(next++);
      else
      {
        const Running ended = running.top();
        running.pop();
        if (m_arrivals[ended.request].time >= m_settings.warm_up_s)
          sum += now - m_arrivals[ended.request].time;
        release(ended.server, now);
      }
      start();
    }
    return sum;
  }

  SlotServersSettings m_settings;
  Common::Random m_random;
  std::vector<Arrival> m_arrivals;
  double m_replacement = 0;
  std::vector<SimulatedServer> m_servers;
  std::vector<SimulatedVm> m_vms;
  /// The servers in the order of the candidates, before and after the replacement. Both are
  /// consecutive.
  std::vector<std::size_t> m_before, m_after;
  std::vector<ShareCandidate> m_candidates_before, m_candidates_after;
  std::vector<std::int64_t> m_totals;
  std::vector<Request> m_requests;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::int64_t m_free = 0;
  double m_now = 0;
  SlotServersResult m_result;
};
} // namespace

SlotServersResult& SlotServersResult::operator+=(const SlotServersResult& other)
{
  requests += other.requests;
  rejected += other.rejected;
  unserved += other.unserved;
  waited_beside += other.waited_beside;
  response_s += other.response_s;
  shared_queue_s += other.shared_queue_s;
  idle_queue_s += other.idle_queue_s;
  return *this;
}

SlotServersResult ReplaySlotServers(const SlotServersSettings& settings, const MakeChooser& make,
                                    std::uint64_t seed)
{
  return Replay(settings, make, seed).Run();
}
} // namespace UnitTests

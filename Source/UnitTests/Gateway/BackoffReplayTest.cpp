// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Simulates, in virtual time, daemons that send to servers which reject requests with a Retry-After
// when their queue is full. Compares three scopes of the backoff: only the VM that received the
// Retry-After, all VMs, or only that VM with a lower preference for the server on all others.

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/Backoff.h"

namespace
{
using Common::Milliseconds;
using Common::TimePoint;
using Gateway::Backoff;

constexpr TimePoint START{std::chrono::hours(1)};
constexpr std::size_t SERVERS = 4;
constexpr int SLOTS = 6;
constexpr int QUEUE = 12; ///< Maximum requests queued at a server.
constexpr Milliseconds SERVICE_TIME{100};
constexpr double CAPACITY = SERVERS * SLOTS * 10.0; ///< Requests per second.
constexpr Milliseconds REQUEST_TIMEOUT{1000};
constexpr Milliseconds RETRY_AFTER{1500};
constexpr Milliseconds SHARING_DELAY{300};
constexpr int SECONDS = 30;
constexpr int MAX_SERVERS = 2; ///< Servers tried per request.
/// Maximum requests that one daemon may send to a server during a backoff, not counting those
/// already in flight when it began.
constexpr int ALLOWED_IN_BACKOFF = 2;

enum class Scope
{
  ReceivingVm,     ///< Applies to the VM that received the Retry-After.
  AllVms,          ///< Applies to all VMs.
  LowerPreference, ///< Applies to the VM that received it; the others prefer other servers.
};

enum class Load
{
  OneSlowServer, ///< 0.6 of the total capacity; one server is slower by a factor of 8.
  Overload,      ///< 1.3 times the total capacity.
  OneUnfairVm,   ///< 0.6 of the total capacity; one server rejects all requests of one VM.
};

struct Outcome
{
  int served = 0;
  int refused = 0;
  int rejections = 0;
  int in_backoff = 0; ///< Maximum requests of one daemon to one server during one backoff.
};

struct Server
{
  std::array<TimePoint, SLOTS> free_at{};
  int in_system = 0;
};

struct Request
{
  TimePoint arrived;
  std::size_t daemon = 0;
  std::vector<std::size_t> tried;
};

class Simulation
{
public:
  Simulation(Scope scope, Load load, std::size_t daemons, unsigned seed)
      : m_scope(scope), m_load(load), m_random(seed), m_daemons(daemons)
  {
  }

  Outcome Run()
  {
    const double rate = CAPACITY * (m_load == Load::Overload ? 1.3 : 0.6);
    std::exponential_distribution<double> gap(rate);
    double next_s = gap(m_random);
    for (int tick = 0; tick < SECONDS * 1000; ++tick)
    {
      m_now = START + Milliseconds(tick);
      EndRequests();
      std::vector<Request> waiting = std::exchange(m_waiting, {});
      for (Request& request : waiting)
        Dispatch(request);
      for (; next_s * 1000 <= tick; next_s += gap(m_random))
      {
        Request request{m_now, m_random() % m_daemons.size(), {}};
        Dispatch(request);
      }
    }
    return m_outcome;
  }

private:
  struct Link
  {
    Backoff backoff;
    int in_flight = 0;
    std::optional<TimePoint> notified_at;
    int sent_since = 0;
  };
  struct Daemon
  {
    std::array<Link, SERVERS> links;
  };
  struct Running
  {
    std::size_t daemon;
    std::size_t server;
    TimePoint sent_at;
  };

  bool IsAvoided(const Daemon& daemon, std::size_t server) const
  {
    return !daemon.links[server].backoff.MaySend(m_now) ||
           (m_scope == Scope::AllVms && IsSharedBackoff(server));
  }
  bool IsSharedBackoff(std::size_t server) const
  {
    return m_shared_until[server] > m_now && m_shared_from[server] <= m_now;
  }

  void Dispatch(Request& request)
  {
    Daemon& daemon = m_daemons[request.daemon];
    std::optional<std::size_t> best;
    const auto rank = [&](std::size_t server) {
      return std::pair(m_scope == Scope::LowerPreference && IsSharedBackoff(server),
                       daemon.links[server].in_flight);
    };
    const std::size_t first = m_random() % SERVERS;
    for (std::size_t i = 0; i < SERVERS; ++i)
    {
      const std::size_t server = (first + i) % SERVERS;
      const bool is_tried = std::ranges::find(request.tried, server) != request.tried.end();
      if (is_tried || IsAvoided(daemon, server))
        continue;
      if (!best || rank(server) < rank(*best))
        best = server;
    }
    if (best)
      Send(request, *best);
    else
      WaitOrRefuse(request);
  }

  void WaitOrRefuse(const Request& request)
  {
    const Daemon& daemon = m_daemons[request.daemon];
    const auto left = request.arrived + REQUEST_TIMEOUT - m_now;
    const bool may_succeed = std::ranges::any_of(daemon.links, [&](const Link& link) {
      return link.backoff.Left(m_now) <= left;
    });
    if (left > Milliseconds(0) && may_succeed)
      m_waiting.push_back(request);
    else
      ++m_outcome.refused;
  }

  void Send(Request& request, std::size_t server)
  {
    Daemon& daemon = m_daemons[request.daemon];
    Link& link = daemon.links[server];
    if (link.notified_at && m_now > *link.notified_at && m_now < *link.notified_at + RETRY_AFTER)
      m_outcome.in_backoff = std::max(m_outcome.in_backoff, ++link.sent_since);
    const bool is_unfair = m_load == Load::OneUnfairVm && server == 0 && request.daemon == 0;
    Server& chosen = m_servers[server];
    if (chosen.in_system >= SLOTS + QUEUE || is_unfair)
    {
      ++m_outcome.rejections;
      link.backoff.NoteRetryAfter(RETRY_AFTER, m_now);
      link.notified_at = m_now;
      link.sent_since = 0;
      m_shared_from[server] = m_now + SHARING_DELAY;
      m_shared_until[server] = m_now + RETRY_AFTER;
      request.tried.push_back(server);
      if (request.tried.size() < MAX_SERVERS)
        Dispatch(request);
      else
        ++m_outcome.refused;
      return;
    }
    const bool is_slow = m_load == Load::OneSlowServer && server == 0;
    TimePoint& slot = *std::ranges::min_element(chosen.free_at);
    slot = std::max(slot, m_now) + SERVICE_TIME * (is_slow ? 8 : 1);
    const auto end = slot;
    ++chosen.in_system;
    link.backoff.NoteStart(m_now);
    ++link.in_flight;
    m_running.emplace(end, Running{request.daemon, server, m_now});
  }

  void EndRequests()
  {
    while (!m_running.empty() && m_running.begin()->first <= m_now)
    {
      const auto [end, running] = *m_running.begin();
      m_running.erase(m_running.begin());
      --m_servers[running.server].in_system;
      Link& link = m_daemons[running.daemon].links[running.server];
      link.backoff.NoteAccepted(running.sent_at, SLOTS);
      link.backoff.NoteEnd(running.sent_at);
      --link.in_flight;
      ++m_outcome.served;
    }
  }

  Scope m_scope;
  Load m_load;
  std::mt19937 m_random;
  TimePoint m_now;
  std::vector<Daemon> m_daemons;
  std::array<Server, SERVERS> m_servers;
  std::array<TimePoint, SERVERS> m_shared_from{};
  std::array<TimePoint, SERVERS> m_shared_until{};
  std::multimap<TimePoint, Running> m_running;
  std::vector<Request> m_waiting;
  Outcome m_outcome;
};

Outcome RunSeeds(Scope scope, Load load, std::size_t daemons)
{
  Outcome sum;
  for (unsigned seed = 1; seed <= 3; ++seed)
  {
    const Outcome one = Simulation(scope, load, daemons, seed).Run();
    sum.served += one.served;
    sum.refused += one.refused;
    sum.rejections += one.rejections;
    sum.in_backoff = std::max(sum.in_backoff, one.in_backoff);
  }
  if (std::getenv("DRUMPOND_PRINT_REPLAYS") != nullptr)
    std::printf(
        "scope %d load %d daemons %zu: served %d refused %d rejections %d max in backoff %d\n",
        static_cast<int>(scope), static_cast<int>(load), daemons, sum.served, sum.refused,
        sum.rejections, sum.in_backoff);
  return sum;
}

class BackoffReplayTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BackoffReplayTest);
  CPPUNIT_TEST(BackoffOfTheReceivingVmServesTheMost);
  CPPUNIT_TEST_SUITE_END();

  void BackoffOfTheReceivingVmServesTheMost()
  {
    for (const std::size_t daemons : {6, 77})
      for (const Load load : {Load::OneSlowServer, Load::Overload, Load::OneUnfairVm})
      {
        const Outcome receiving_vm = RunSeeds(Scope::ReceivingVm, load, daemons);
        const Outcome all_vms = RunSeeds(Scope::AllVms, load, daemons);
        const Outcome lower_preference = RunSeeds(Scope::LowerPreference, load, daemons);
        CPPUNIT_ASSERT(receiving_vm.in_backoff <= ALLOWED_IN_BACKOFF);
        CPPUNIT_ASSERT(receiving_vm.served * 100 >= all_vms.served * 99);
        CPPUNIT_ASSERT(receiving_vm.served * 100 >= lower_preference.served * 99);
      }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackoffReplayTest);
} // namespace

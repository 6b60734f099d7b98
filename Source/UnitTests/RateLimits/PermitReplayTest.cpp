// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Simulates, in virtual time, daemons that send to one rate-limited server with several times as
// many requests as its limit. Messages are delayed, lost and duplicated; the holder is cut off and
// replaced; daemons are suspended and restarted. Compares three ways to divide the limit among the
// daemons by the requests in the worst window and by the requests served.

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Common/Random.h"
#include "RateLimits/LocalPermits.h"
#include "RateLimits/PermitAllocator.h"

namespace
{
using namespace RateLimits;
using Common::Milliseconds;
using Common::TimePoint;
using Common::VmId;

constexpr ServerKey SERVER{7};
constexpr Milliseconds STEP{10};
constexpr Milliseconds WINDOW{4000};
constexpr Milliseconds REQUEST_TIMEOUT{1400};
constexpr Milliseconds DEMAND_INTERVAL{150};
constexpr Milliseconds HEARTBEAT{250};
constexpr Milliseconds HOLDER_LOST_FOR{4500};
constexpr std::uint64_t LOST_PERCENT = 2;
constexpr std::uint64_t DUPLICATED_PERCENT = 2;
constexpr std::uint64_t MAX_DELAY_MS = 8;

struct Load
{
  std::size_t daemons = 6;
  double rate = 1;
  double demand = 4; ///< Requests per second.
  Milliseconds length{60000};
  bool faults = false;
};

/// The requests that callers made and those that arrived at the server.
struct Outcome
{
  std::int64_t asked = 0;
  std::vector<TimePoint> arrivals;

  std::size_t WorstWindow() const
  {
    std::size_t worst = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first)
    {
      const auto last = std::ranges::upper_bound(arrivals, *first + WINDOW);
      worst = std::max(worst, static_cast<std::size_t>(last - first));
    }
    return worst;
  }
  double PerSecond(const Load& load) const
  {
    return static_cast<double>(arrivals.size()) /
           std::chrono::duration<double>(load.length).count();
  }
};

std::size_t Allowed(double rate)
{
  return static_cast<std::size_t>(1.5 * 4 * rate + 5);
}

/// Simulated time, messages and faults; the same for all ways to divide the limit.
class Simulation
{
public:
  Simulation(const Load& load, std::uint64_t seed)
      : load(load), random(seed), m_suspended(load.daemons)
  {
  }

  void Send(std::size_t to, std::function<void()> message)
  {
    if (Draw(100) < LOST_PERCENT)
      return;
    Post(to, message);
    if (Draw(100) < DUPLICATED_PERCENT)
      Post(to, message);
  }
  std::uint64_t Draw(std::uint64_t below) { return random() % below; }
  bool IsRunning(std::size_t daemon) const { return now >= m_suspended[daemon]; }
  void Suspend(std::size_t daemon, Milliseconds span) { m_suspended[daemon] = now + span; }

  /// Delivers due messages. Messages to a suspended daemon wait until it resumes.
  void Deliver()
  {
    while (!m_messages.empty() && m_messages.begin()->first <= now)
    {
      const auto [to, message] = std::move(m_messages.begin()->second);
      m_messages.erase(m_messages.begin());
      if (IsRunning(to))
        message();
      else
        m_messages.emplace(m_suspended[to], std::pair(to, message));
    }
  }

  Load load;
  Common::Random random;
  TimePoint begin = TimePoint(std::chrono::hours(1));
  TimePoint now = begin;
  Outcome outcome;

private:
  void Post(std::size_t to, std::function<void()> message)
  {
    m_messages.emplace(now + Milliseconds(1 + Draw(MAX_DELAY_MS)),
                       std::pair(to, std::move(message)));
  }

  std::multimap<TimePoint, std::pair<std::size_t, std::function<void()>>> m_messages;
  std::vector<TimePoint> m_suspended;
};

/// How the limit is divided among the daemons.
template <typename T>
concept Division = requires(T way, std::size_t daemon, std::uint32_t waiting)
{
  way.Tick();
  {
    way.MaySend(daemon, waiting)
    } -> std::same_as<bool>;
  way.LoseHolder();
  way.Restart(daemon);
};

/// Permits granted by one holder: the implementation in use.
class LeasedPermits
{
public:
  explicit LeasedPermits(Simulation& simulation)
      : m_simulation(simulation), m_daemons(simulation.load.daemons)
  {
    for (Daemon& daemon : m_daemons)
      daemon.permits.SetDaemons(static_cast<int>(m_daemons.size()));
    BeginTenure();
  }

  void Tick()
  {
    if (m_holder_back_at && m_simulation.now >= *m_holder_back_at)
    {
      m_holder_back_at.reset();
      m_holder = (m_holder + 1) % m_daemons.size();
      BeginTenure();
    }
    if (m_holder_back_at || !m_simulation.IsRunning(m_holder))
      return;
    if (m_simulation.now >= m_next_heartbeat)
    {
      m_next_heartbeat = m_simulation.now + HEARTBEAT;
      for (std::size_t i = 0; i < m_daemons.size(); ++i)
        m_simulation.Send(i, [this, i] {
          m_daemons[i].permits.NoteHolderContact(m_simulation.now);
        });
    }
    for (const Grant& grant : m_allocator.GrantPermits(m_simulation.now))
      SendGrant(grant);
  }

  bool MaySend(std::size_t index, std::uint32_t waiting)
  {
    Daemon& daemon = m_daemons[index];
    const bool changed = waiting != daemon.reported;
    if ((changed || m_simulation.now >= daemon.next_ask) && (waiting > 0 || daemon.reported > 0))
      Ask(index, waiting);
    return waiting > 0 && daemon.permits.Take(SERVER, Rate(), m_simulation.now);
  }

  void LoseHolder() { m_holder_back_at = m_simulation.now + HOLDER_LOST_FOR; }
  void Restart(std::size_t index)
  {
    m_daemons[index] = {};
    m_daemons[index].permits.SetDaemons(static_cast<int>(m_daemons.size()));
    m_daemons[index].run = ++m_runs;
  }

private:
  struct Daemon
  {
    LocalPermits permits;
    int run = 0;
    std::uint32_t reported = 0;
    TimePoint next_ask;
    std::uint64_t sequence = 0;
    std::map<std::uint64_t, TimePoint> asked_at;
    std::pair<int, std::uint64_t> last_reply; ///< Tenure and reply number.
  };
  struct Peer
  {
    int run = 0;
    std::uint64_t sequence = 0;
    TimePoint heard_at;
  };

  RequestRate Rate() const
  {
    return RequestRate(static_cast<std::int64_t>(m_simulation.load.rate * THOUSANDTHS));
  }

  void BeginTenure()
  {
    ++m_tenure;
    m_number = 0;
    m_peers.clear();
    m_allocator.Begin();
    const PermitAllocator::KnownLimit limit{SERVER, Rate(), Common::DataCentreId("a")};
    m_allocator.SetLimits(std::span(&limit, 1), m_simulation.now);
  }

  void Ask(std::size_t index, std::uint32_t waiting)
  {
    Daemon& daemon = m_daemons[index];
    daemon.reported = waiting;
    daemon.next_ask = m_simulation.now + DEMAND_INTERVAL;
    daemon.asked_at[++daemon.sequence] = m_simulation.now;
    PermitDemand demand{SERVER, waiting, 5, REQUEST_TIMEOUT.count()};
    demand.unused = daemon.permits.TakeUnused(SERVER, m_simulation.now);
    m_simulation.Send(m_holder, [this, index, demand, run = daemon.run, sequence = daemon.sequence,
                                 holder = m_holder] {
      Peer& peer = m_peers[index];
      if (m_holder_back_at || holder != m_holder || (peer.run == run && sequence <= peer.sequence))
        return;
      peer = {run, sequence, m_simulation.now};
      m_allocator.UpdateDemand({VmId(std::to_string(index)), Common::DataCentreId("a")},
                               std::span(&demand, 1), m_simulation.now);
    });
  }

  void SendGrant(const Grant& grant)
  {
    const std::size_t index = std::stoul(grant.vm.Get());
    const Peer peer = m_peers[index];
    const auto held = m_simulation.now - peer.heard_at;
    const auto standbys = m_allocator.StandbysOf(grant.vm);
    const std::pair number(m_tenure, ++m_number);
    m_simulation.Send(index, [this, index, peer, held, standbys, number, count = grant.count] {
      Daemon& daemon = m_daemons[index];
      if (daemon.run != peer.run || number <= daemon.last_reply)
        return;
      daemon.last_reply = number;
      daemon.permits.SetStandbys(standbys);
      const auto until = daemon.asked_at[peer.sequence] + held + PERMIT_VALID;
      daemon.permits.Add(SERVER, count, until);
    });
  }

  Simulation& m_simulation;
  std::vector<Daemon> m_daemons;
  PermitAllocator m_allocator;
  std::map<std::size_t, Peer> m_peers;
  std::size_t m_holder = 0;
  int m_tenure = 0;
  int m_runs = 0;
  std::uint64_t m_number = 0;
  TimePoint m_next_heartbeat;
  std::optional<TimePoint> m_holder_back_at;
};

/// Each daemon has a token bucket with an equal share of the rate and a burst of one request.
class EqualShares
{
public:
  explicit EqualShares(Simulation& simulation)
      : m_simulation(simulation), m_buckets(simulation.load.daemons)
  {
  }

  void Tick() {}
  bool MaySend(std::size_t index, std::uint32_t waiting)
  {
    Bucket& bucket = m_buckets[index];
    const double part = m_simulation.load.rate / static_cast<double>(m_buckets.size());
    const std::chrono::duration<double> since = m_simulation.now - bucket.filled_at;
    bucket.level = std::min(bucket.level + part * since.count(), 1.0);
    bucket.filled_at = m_simulation.now;
    if (waiting == 0 || bucket.level < 1)
      return false;
    bucket.level -= 1;
    return true;
  }
  void LoseHolder() {}
  void Restart(std::size_t index) { m_buckets[index] = {}; }

private:
  struct Bucket
  {
    double level = 1;
    TimePoint filled_at;
  };
  Simulation& m_simulation;
  std::vector<Bucket> m_buckets;
};

/// One daemon sends for all at the full rate: the first live one in the view of each daemon. If a
/// data centre is cut off, each side has such a sender.
class SingleSender
{
public:
  explicit SingleSender(Simulation& simulation) : m_simulation(simulation) {}

  void Tick() {}
  bool MaySend(std::size_t index, std::uint32_t waiting)
  {
    const bool is_cut = m_simulation.now < m_cut_until;
    Bucket& bucket = m_sides[is_cut ? index % 2 : 0];
    const std::chrono::duration<double> since = m_simulation.now - bucket.filled_at;
    bucket.level = std::min(bucket.level + m_simulation.load.rate * since.count(), 1.25);
    bucket.filled_at = m_simulation.now;
    if (waiting == 0 || bucket.level < 1)
      return false;
    bucket.level -= 1;
    return true;
  }
  void LoseHolder() { m_cut_until = m_simulation.now + HOLDER_LOST_FOR; }
  void Restart(std::size_t) {}

private:
  struct Bucket
  {
    double level = 0;
    TimePoint filled_at;
  };
  Simulation& m_simulation;
  Bucket m_sides[2];
  TimePoint m_cut_until;
};

template <Division Way>
Outcome Simulate(const Load& load, std::uint64_t seed)
{
  Simulation simulation(load, seed);
  Way way(simulation);
  std::vector<std::deque<TimePoint>> waiting(load.daemons);
  std::set<std::size_t> active; ///< Daemons with waiting requests, now or one step before.
  double due = 0;
  auto next_fault = simulation.begin + Milliseconds(5000);
  for (const auto end = simulation.begin + load.length; simulation.now < end;
       simulation.now += STEP)
  {
    simulation.Deliver();
    way.Tick();
    for (due += load.demand * std::chrono::duration<double>(STEP).count(); due >= 1; due -= 1)
    {
      ++simulation.outcome.asked;
      const std::size_t daemon = simulation.Draw(load.daemons);
      waiting[daemon].push_back(simulation.now);
      active.insert(daemon);
    }
    if (load.faults && simulation.now >= next_fault)
    {
      next_fault = simulation.now + Milliseconds(2000 + simulation.Draw(6000));
      const std::size_t victim = simulation.Draw(load.daemons);
      switch (simulation.Draw(3))
      {
      case 0:
        way.LoseHolder();
        break;
      case 1:
        simulation.Suspend(victim, Milliseconds(200 + simulation.Draw(6000)));
        break;
      default:
        way.Restart(victim);
      }
    }
    for (auto next = active.begin(); next != active.end();)
    {
      const std::size_t daemon = *next++;
      if (!simulation.IsRunning(daemon))
        continue;
      auto& queue = waiting[daemon];
      if (queue.empty())
        active.erase(daemon);
      while (!queue.empty() && simulation.now - queue.front() > REQUEST_TIMEOUT)
        queue.pop_front();
      if (!way.MaySend(daemon, static_cast<std::uint32_t>(queue.size())))
        continue;
      queue.pop_front();
      simulation.outcome.arrivals.push_back(simulation.now);
    }
  }
  return simulation.outcome;
}

class PermitReplayTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PermitReplayTest);
  CPPUNIT_TEST(ServerReceivesItsLimitUnderLoad);
  CPPUNIT_TEST(WindowsStayWithinBoundUnderFaults);
  CPPUNIT_TEST(EqualSharesOfManyDaemonsExceedBound);
  CPPUNIT_TEST(SendersOnBothSidesOfPartitionExceedBound);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int SEEDS = 3;

  template <Division Way>
  static Outcome Worst(const Load& load)
  {
    Outcome worst;
    for (int seed = 1; seed <= SEEDS; ++seed)
    {
      const Outcome outcome = Simulate<Way>(load, static_cast<std::uint64_t>(seed));
      if (outcome.WorstWindow() >= worst.WorstWindow())
        worst = outcome;
    }
    return worst;
  }

  void ServerReceivesItsLimitUnderLoad()
  {
    for (const std::size_t daemons : {6, 77, 330})
      for (const double rate : {0.5, 5.0})
      {
        const Load load{daemons, rate, 8 * rate, Milliseconds(40000)};
        const Outcome outcome = Simulate<LeasedPermits>(load, 1);
        const std::string what = std::to_string(daemons) + " daemons, " + std::to_string(rate) +
                                 ": " + std::to_string(outcome.PerSecond(load));
        CPPUNIT_ASSERT_MESSAGE(what, outcome.PerSecond(load) >= 0.85 * rate);
        CPPUNIT_ASSERT_MESSAGE(what, outcome.PerSecond(load) <= 1.03 * rate);
      }
  }

  void WindowsStayWithinBoundUnderFaults()
  {
    for (const std::size_t daemons : {6, 77})
      for (const double rate : {0.0, 0.5, 1.1, 5.0, 11.0})
      {
        const Outcome outcome =
            Worst<LeasedPermits>({daemons, rate, 10 + 8 * rate, Milliseconds(60000), true});
        CPPUNIT_ASSERT_MESSAGE(std::to_string(daemons) + " daemons, " + std::to_string(rate) +
                                   ": " + std::to_string(outcome.WorstWindow()),
                               outcome.WorstWindow() <= Allowed(rate));
      }
  }

  void EqualSharesOfManyDaemonsExceedBound()
  {
    const Load load{330, 0.5, 20};
    CPPUNIT_ASSERT(Worst<EqualShares>(load).WorstWindow() > Allowed(load.rate));
    CPPUNIT_ASSERT(Worst<LeasedPermits>(load).WorstWindow() <= Allowed(load.rate));
  }

  void SendersOnBothSidesOfPartitionExceedBound()
  {
    const Load load{77, 5, 40, Milliseconds(60000), true};
    CPPUNIT_ASSERT(Worst<SingleSender>(load).WorstWindow() > Allowed(load.rate));
    CPPUNIT_ASSERT(Worst<LeasedPermits>(load).WorstWindow() <= Allowed(load.rate));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PermitReplayTest);
} // namespace

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Replays overload at brittle servers with many daemons: how many requests the servers have to
// reject, and how much of their capacity is used.

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <numeric>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "RateLimits/LocalPlaces.h"
#include "RateLimits/PlaceAllocator.h"

namespace
{
using namespace RateLimits;
using Common::Milliseconds;
using Common::TimePoint;
using Common::VmId;

constexpr Milliseconds TICK{5};
constexpr Milliseconds SERVICE_TIME{120};
constexpr Milliseconds PATIENCE{1800};
constexpr Milliseconds MESSAGE_DELAY{1};
constexpr std::uint32_t SLOTS = 4;
constexpr std::size_t QUEUE = 2;
constexpr std::size_t REJECTIONS_PER_SECOND = 4;

struct Faults
{
  double lost_messages = 0;
  /// The holder is lost every so often, and for so long.
  Milliseconds holder_lost_every{0};
  Milliseconds holder_lost_for{0};
  Milliseconds daemon_killed_every{0};
  Milliseconds daemon_suspended_every{0};
  bool never_any_holder = false;
};

struct Outcome
{
  std::size_t worst_second = 0; ///< The most rejections of one server within a second.
  double used = 0;              ///< Share of the capacity.
  double reports_per_second = 0;
};

/// A brittle server with slots and a short queue.
struct Server
{
  ServerKey key;
  std::deque<TimePoint> ends; ///< Of the running requests.
  std::vector<TimePoint> rejected;
};

struct Running
{
  std::size_t server = 0;
  TimePoint ends_at;
};

struct Daemon
{
  VmId vm;
  LocalPlaces places;
  std::deque<TimePoint> waiting; ///< Arrival times.
  std::vector<Running> running;
  TimePoint suspended_until;
  TimePoint reported_at;
  bool changed = false; ///< Since the last report.
  std::pair<std::int64_t, std::uint64_t> applied;

  int RunningAt(std::size_t server) const
  {
    return static_cast<int>(std::ranges::count(running, server, &Running::server));
  }
};

struct Reply
{
  std::size_t daemon = 0;
  TimePoint arrives_at;
  TimePoint valid_until;
  std::int64_t tenure = 0;
  std::uint64_t number = 0;
  std::vector<Grant> places;
};

class Replay
{
public:
  Replay(std::size_t daemons, std::size_t servers, double load, Faults faults, std::uint64_t seed)
      : m_random(seed), m_faults(faults), m_load(load), m_servers(servers), m_daemons(daemons)
  {
    std::vector<PlaceAllocator::KnownServer> known;
    for (std::size_t i = 0; i < servers; ++i)
    {
      m_servers[i].key = ServerKey(static_cast<std::int64_t>(1000003 * (i + 1)));
      known.push_back({m_servers[i].key, SLOTS});
    }
    m_known = known;
    for (std::size_t i = 0; i < daemons; ++i)
    {
      m_daemons[i].vm = VmId("vm-" + std::to_string(i));
      m_daemons[i].places.SetDaemons(static_cast<int>(daemons));
    }
    std::vector<LocalPlaces::DaemonKey> members(daemons);
    std::iota(members.begin(), members.end(), 1);
    for (std::size_t i = 0; i < daemons; ++i)
      m_daemons[i].places.SetMembers(members[i], members);
    BeginTenure();
  }

  Outcome Run(Milliseconds span)
  {
    const TimePoint begin = m_now;
    for (; m_now < begin + span; m_now += TICK)
      Step();
    Outcome outcome;
    for (const Server& server : m_servers)
      for (const TimePoint& from : server.rejected)
        outcome.worst_second = std::max<std::size_t>(
            outcome.worst_second, std::ranges::count_if(server.rejected, [&](TimePoint at) {
              return at >= from && at < from + std::chrono::seconds(1);
            }));
    const double seconds = std::chrono::duration<double>(span).count();
    outcome.used = static_cast<double>(m_started) / (Capacity() * seconds);
    outcome.reports_per_second = static_cast<double>(m_reports) / seconds;
    return outcome;
  }

private:
  double Capacity() const
  {
    return static_cast<double>(m_servers.size() * SLOTS) /
           std::chrono::duration<double>(SERVICE_TIME).count();
  }
  double Draw() { return std::uniform_real_distribution<>()(m_random); }
  bool Happens(Milliseconds every)
  {
    return every.count() > 0 && Draw() < std::chrono::duration<double>(TICK) / every;
  }

  void BeginTenure()
  {
    ++m_tenure;
    m_number = 0;
    m_allocator.Begin(m_now);
    m_allocator.SetServers(m_known);
    m_last_report.clear();
  }

  void Step()
  {
    InjectFaults();
    for (Server& server : m_servers)
      std::erase_if(server.ends, [this](TimePoint end) {
        return end <= m_now;
      });
    Arrive();
    DeliverReplies();
    for (std::size_t i = 0; i < m_daemons.size(); ++i)
      if (m_now >= m_daemons[i].suspended_until)
        Act(i);
  }

  void InjectFaults()
  {
    if (Happens(m_faults.holder_lost_every))
      m_holder_back_at = m_now + m_faults.holder_lost_for;
    if (m_holder_back_at && m_now >= *m_holder_back_at)
    {
      m_holder_back_at.reset();
      BeginTenure();
    }
    if (Happens(m_faults.daemon_killed_every))
    {
      Daemon& daemon = m_daemons[m_random() % m_daemons.size()];
      // Its connections end, and with them what it runs.
      for (const Running& request : daemon.running)
      {
        auto& ends = m_servers[request.server].ends;
        if (const auto found = std::ranges::find(ends, request.ends_at); found != ends.end())
          ends.erase(found);
      }
      daemon.running.clear();
      daemon.waiting.clear();
      daemon.places.Clear();
      daemon.suspended_until = m_now + Milliseconds(600);
    }
    if (Happens(m_faults.daemon_suspended_every))
      m_daemons[m_random() % m_daemons.size()].suspended_until = m_now + Milliseconds(3000);
  }

  void Arrive()
  {
    m_due += m_load * Capacity() * std::chrono::duration<double>(TICK).count();
    for (; m_due >= 1; --m_due)
      m_daemons[m_random() % m_daemons.size()].waiting.push_back(m_now);
  }

  bool HasHolder() const { return !m_faults.never_any_holder && !m_holder_back_at; }

  void Act(std::size_t index)
  {
    Daemon& daemon = m_daemons[index];
    const auto ended = std::erase_if(daemon.running, [this](const Running& request) {
      return request.ends_at <= m_now;
    });
    daemon.changed = daemon.changed || ended > 0;
    while (!daemon.waiting.empty() && m_now - daemon.waiting.front() > PATIENCE)
      daemon.waiting.pop_front();
    while (!daemon.waiting.empty() && Send(daemon))
      daemon.waiting.pop_front();
    const bool has_demand = !daemon.waiting.empty();
    const auto interval = std::max(
        Milliseconds(20),
        Milliseconds(static_cast<std::int64_t>(0.3 * static_cast<double>(m_daemons.size()))));
    const bool is_urgent = has_demand || daemon.places.IsWithoutHolder();
    const auto resend = is_urgent ? Milliseconds(150) : Milliseconds(400);
    const auto since = m_now - daemon.reported_at;
    const bool has_news = daemon.changed || (has_demand && daemon.running.empty());
    if (since >= std::min(interval, Milliseconds(150)) && (has_news || since >= resend))
      Report(index);
  }

  bool Send(Daemon& daemon)
  {
    const std::size_t first = m_random() % m_servers.size();
    for (std::size_t i = 0; i < m_servers.size(); ++i)
    {
      const std::size_t index = (first + i) % m_servers.size();
      Server& server = m_servers[index];
      const int running = daemon.RunningAt(index);
      if (daemon.places.MaxRequests(server.key, SLOTS, running, m_now) <= running)
        continue;
      if (server.ends.size() >= SLOTS + QUEUE)
      {
        server.rejected.push_back(m_now);
        return false;
      }
      std::ranges::sort(server.ends);
      const auto begins =
          server.ends.size() < SLOTS ? m_now : server.ends[server.ends.size() - SLOTS];
      server.ends.push_back(begins + SERVICE_TIME);
      daemon.running.push_back({index, begins + SERVICE_TIME});
      ++m_started;
      return true;
    }
    return false;
  }

  void Report(std::size_t index)
  {
    Daemon& daemon = m_daemons[index];
    PlaceReport report;
    report.applied_tenure = daemon.applied.first;
    report.applied_number = daemon.applied.second;
    PlaceDemand demand;
    demand.count = static_cast<std::uint32_t>(daemon.waiting.size());
    for (std::size_t i = 0; i < m_servers.size(); ++i)
    {
      demand.servers.push_back(m_servers[i].key);
      if (const auto held = daemon.places.TakeHeld(m_servers[i].key, daemon.RunningAt(i), m_now))
        report.held.push_back({m_servers[i].key, held});
    }
    if (demand.count > 0)
    {
      demand.expires_in_ms =
          std::chrono::floor<Milliseconds>(daemon.waiting.front() + PATIENCE - m_now).count();
      report.demands.push_back(demand);
      daemon.places.NoteDemand(m_now);
    }
    report.needs_reply = daemon.places.IsWithoutHolder();
    daemon.changed = false;
    daemon.reported_at = m_now;
    ++m_reports;
    if (!HasHolder() || Draw() < m_faults.lost_messages)
      return;
    m_allocator.UpdateReport(daemon.vm, m_tenure, report, m_now);
    m_last_report[daemon.vm] = {index, m_now};
    std::map<VmId, Reply> replies;
    const auto reply_to = [&](const VmId& vm) -> Reply& {
      const auto [found, is_new] = replies.try_emplace(vm);
      if (is_new)
      {
        const auto& [number, reported_at] = m_last_report.at(vm);
        found->second = {number, m_now + MESSAGE_DELAY, m_now + PLACE_TERM, m_tenure, ++m_number,
                         {}};
      }
      return found->second;
    };
    for (const Grant& grant : m_allocator.GrantPlaces(m_now))
      reply_to(grant.vm).places.push_back(grant);
    if (demand.count > 0 || report.needs_reply)
      reply_to(daemon.vm);
    for (const auto& [vm, reply] : replies)
    {
      m_allocator.NoteSent(vm, reply.number);
      if (Draw() >= m_faults.lost_messages)
        m_replies.push_back(reply);
    }
  }

  void DeliverReplies()
  {
    const auto replies = std::exchange(m_replies, {});
    for (const Reply& reply : replies)
    {
      Daemon& daemon = m_daemons[reply.daemon];
      if (m_now < std::max(reply.arrives_at, daemon.suspended_until))
      {
        m_replies.push_back(reply);
        continue;
      }
      const std::pair number(reply.tenure, reply.number);
      if (number <= daemon.applied)
        continue;
      daemon.applied = number;
      for (const Grant& grant : reply.places)
        daemon.places.Add(grant.server, grant.count, reply.valid_until, m_now);
      daemon.places.NoteReply();
      daemon.changed = daemon.changed || !reply.places.empty();
    }
  }

  std::mt19937_64 m_random;
  Faults m_faults;
  double m_load;
  std::vector<Server> m_servers;
  std::vector<Daemon> m_daemons;
  std::vector<PlaceAllocator::KnownServer> m_known;
  TimePoint m_now{std::chrono::hours(1)};
  PlaceAllocator m_allocator;
  std::int64_t m_tenure = 0;
  std::uint64_t m_number = 0;
  std::map<VmId, std::pair<std::size_t, TimePoint>> m_last_report;
  std::optional<TimePoint> m_holder_back_at;
  std::vector<Reply> m_replies;
  double m_due = 0;
  std::int64_t m_started = 0;
  std::int64_t m_reports = 0;
};

class PlaceReplayTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PlaceReplayTest);
  CPPUNIT_TEST(ServersRejectMoreThanTheyBear);
  CPPUNIT_TEST(ServersRejectMoreThanTheyBearDuringFaults);
  CPPUNIT_TEST(ServersRejectMoreThanTheyBearWithoutAnyHolder);
  CPPUNIT_TEST(CapacityIsUnusedDuringOverload);
  CPPUNIT_TEST_SUITE_END();

public:
  static Outcome Play(const char* name, std::size_t daemons, std::size_t servers, double load,
                      const Faults& faults, std::uint64_t seed)
  {
    const Outcome outcome = Replay(daemons, servers, load, faults, seed).Run(Milliseconds(12000));
    if (std::getenv("DRUMPOND_PRINT_REPLAYS") != nullptr)
      std::cout << name << ": " << daemons << " daemons, " << servers << " servers, load " << load
                << ": worst second " << outcome.worst_second << ", used " << outcome.used << ", "
                << outcome.reports_per_second << " reports a second\n";
    return outcome;
  }

  void ServersRejectMoreThanTheyBear()
  {
    for (const std::size_t daemons : {1, 6, 20, 69, 330})
      for (const double load : {0.6, 1.5, 4.0})
        CPPUNIT_ASSERT(Play("sound", daemons, 6 + daemons / 10, load, {}, 1).worst_second <=
                       REJECTIONS_PER_SECOND);
  }

  void ServersRejectMoreThanTheyBearDuringFaults()
  {
    Faults faults;
    faults.lost_messages = 0.02;
    faults.holder_lost_every = Milliseconds(6000);
    faults.holder_lost_for = Milliseconds(4500);
    faults.daemon_killed_every = Milliseconds(2000);
    faults.daemon_suspended_every = Milliseconds(2000);
    for (const std::size_t daemons : {6, 20, 69})
      for (const std::uint64_t seed : {1, 2, 3, 4})
        CPPUNIT_ASSERT(Play("faults", daemons, 6 + daemons / 10, 1.5, faults, seed).worst_second <=
                       REJECTIONS_PER_SECOND);
  }

  void ServersRejectMoreThanTheyBearWithoutAnyHolder()
  {
    Faults faults;
    faults.never_any_holder = true;
    for (const std::size_t daemons : {6, 20, 69, 330})
      CPPUNIT_ASSERT(Play("no holder", daemons, 6 + daemons / 10, 1.5, faults, 1).worst_second <=
                     REJECTIONS_PER_SECOND);
  }

  void CapacityIsUnusedDuringOverload()
  {
    constexpr double LEAST_USED = 0.85;
    for (const std::size_t daemons : {1, 6, 20, 69})
      CPPUNIT_ASSERT(Play("overload", daemons, 6 + daemons / 10, 1.5, {}, 1).used >= LEAST_USED);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlaceReplayTest);
} // namespace

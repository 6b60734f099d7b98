// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Simulates crashing servers in virtual time, observed by six daemons that exchange their
// observations with a delay of 0.3 s. Some requests crash every server that starts to run them;
// others are harmless, and many of these are sent repeatedly with identical content. Servers also
// crash for other reasons. Measures how many harmless requests are refused, and how many servers
// are lost for each number of crashes before a block.

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Common/Random.h"
#include "Crashes/CrashLedger.h"
#include "Crashes/RecentSuccesses.h"

namespace
{
using namespace Crashes;
using Common::Milliseconds;
using Common::TimePoint;

constexpr std::size_t DAEMONS = 6;
constexpr std::size_t SERVERS = 12;
constexpr Milliseconds DURATION{std::chrono::minutes(5)};
constexpr Milliseconds STEP{5};
constexpr Milliseconds QUIET_PERIOD{30000};

/// Delay until the other daemons receive an observation.
constexpr Milliseconds MESSAGE_DELAY{300};
/// Interval at which the lease holder compares the crashes of blocked requests.
constexpr Milliseconds COMPARISON_INTERVAL{100};
constexpr Milliseconds SERVER_DOWN{4000};
constexpr std::uint64_t HARMLESS_GAP_MS = 15; ///< About 65 per second.
constexpr std::uint64_t CRASHING_REQUEST_GAP_MS = 500;
constexpr Milliseconds HARMLESS_RUN_TIME{800};
constexpr Milliseconds CRASHING_RUN_TIME{60};
/// Number of distinct harmless requests that are sent repeatedly. They make up half of all harmless
/// requests.
constexpr std::uint64_t REPEATED_REQUESTS = 40;
constexpr int MAX_SENDS = 2; ///< Sends per request.

struct Load
{
  std::uint64_t crashing_requests = 3;
  /// Time before the first crashing request.
  Milliseconds quiet_period = QUIET_PERIOD;
  /// Mean time between crashes of one server for other reasons; 0: never.
  Milliseconds crash_interval{0};
  /// Mean time between crashes of a rack, a third of the servers; 0: never.
  Milliseconds rack_crash_interval{0};
};

struct Outcome
{
  std::int64_t harmless = 0;
  std::int64_t harmless_refused = 0;
  std::int64_t servers_crashed = 0; ///< Servers lost to crashing requests.
  std::int64_t max_by_one = 0;
  std::int64_t late_sends = 0; ///< Maximum per request, more than 3 s after its third crash.
};

class Simulation
{
public:
  Simulation(std::uint64_t seed, const Load& load, int crashes_to_block)
      : m_random(seed), m_load(load), m_ledgers(DAEMONS, CrashLedger(crashes_to_block))
  {
    m_servers.resize(SERVERS);
    for (Server& server : m_servers)
      server.instance = ++m_instances;
  }

  Outcome Run()
  {
    const TimePoint end = m_now + DURATION;
    for (; m_now < end; m_now += STEP)
    {
      Deliver();
      LiftBlocks();
      CrashSome();
      FinishRuns();
      const auto arrive = [&](std::uint64_t gap_ms, auto&& attempt) {
        if (Draw(gap_ms) < static_cast<std::uint64_t>(STEP.count()))
          attempt();
      };
      arrive(HARMLESS_GAP_MS, [&] {
        ++m_outcome.harmless;
        const std::uint64_t which =
            Draw(2) == 0 ? 100 + Draw(REPEATED_REQUESTS) : 1000000 + ++m_unique;
        if (!Send({which, which, which}, false, 1, Draw(DAEMONS)))
          ++m_outcome.harmless_refused;
      });
      for (std::uint64_t crasher = 1;
           m_now > end - DURATION + m_load.quiet_period && crasher <= m_load.crashing_requests;
           ++crasher)
        arrive(CRASHING_REQUEST_GAP_MS, [&] {
          Send({crasher, crasher, crasher}, true, 1, Draw(DAEMONS));
        });
    }
    for (const auto& [crasher, late] : m_late)
      m_outcome.late_sends = std::max(m_outcome.late_sends, late);
    for (const auto& [crasher, crash_times] : m_crashed_by)
      m_outcome.max_by_one =
          std::max(m_outcome.max_by_one, static_cast<std::int64_t>(crash_times.size()));
    return m_outcome;
  }

private:
  struct OpenRun
  {
    Fingerprint request;
    bool is_crasher = false;
    int sends = 1;
    std::size_t daemon = 0;
    TimePoint sent_at;
    TimePoint ends_at;
  };
  struct Server
  {
    int instance = 0;
    TimePoint back_at;
    std::vector<OpenRun> runs;
  };
  struct Message
  {
    TimePoint at;
    CaseLine line;
  };

  std::uint64_t Draw(std::uint64_t bound) { return m_random() % bound; }

  /// Returns false if the request is blocked for crashing servers.
  bool Send(const Fingerprint& request, bool is_crasher, int sends, std::size_t daemon)
  {
    if (m_ledgers[daemon].BlockStatusOf(request, m_now).blocked)
      return false;
    std::vector<Server*> up;
    for (Server& server : m_servers)
      if (server.back_at <= m_now)
        up.push_back(&server);
    if (up.empty())
      return true;
    if (is_crasher)
      NoteCrasherSend(request);
    const auto queue = Milliseconds(Draw(300));
    const Milliseconds run = queue + (is_crasher ? CRASHING_RUN_TIME : HARMLESS_RUN_TIME);
    up[Draw(up.size())]->runs.push_back({request, is_crasher, sends, daemon, m_now, m_now + run});
    return true;
  }

  void NoteCrasherSend(const Fingerprint& request)
  {
    const auto& crash_times = m_crashed_by[request];
    constexpr std::size_t BLOCKED_AFTER = 3;
    constexpr Milliseconds BLOCK_DELAY{3000};
    if (crash_times.size() >= BLOCKED_AFTER && m_now - crash_times[BLOCKED_AFTER - 1] > BLOCK_DELAY)
      ++m_late[request];
  }

  void FinishRuns()
  {
    for (Server& server : m_servers)
    {
      std::vector<OpenRun> done;
      std::erase_if(server.runs, [&](const OpenRun& run) {
        const bool is_done = run.ends_at <= m_now;
        if (is_done)
          done.push_back(run);
        return is_done;
      });
      for (const OpenRun& run : done)
        if (!run.is_crasher)
        {
          const std::uint64_t before = m_ledgers[run.daemon].OwnRevision();
          m_ledgers[run.daemon].NoteRequestSuccess(run.request, m_now);
          m_successes[run.daemon].Note(run.request.low, m_now);
          ShareChanges(run.daemon, before);
        }
      const auto crasher = std::ranges::find_if(done, &OpenRun::is_crasher);
      if (crasher == done.end())
        continue;
      m_crashed_by[crasher->request].push_back(m_now);
      ++m_outcome.servers_crashed;
      for (const OpenRun& run : done)
        if (run.is_crasher)
          server.runs.push_back(run);
      Crash(server);
    }
  }

  void CrashSome()
  {
    const auto occurs = [&](Milliseconds every) {
      return every.count() > 0 && Draw(static_cast<std::uint64_t>(every / STEP)) == 0;
    };
    for (Server& server : m_servers)
      if (server.back_at <= m_now && occurs(m_load.crash_interval))
        Crash(server);
    if (occurs(m_load.rack_crash_interval))
      for (std::size_t i = 0; i < SERVERS / 3; ++i)
        Crash(m_servers[i]);
  }

  void Crash(Server& server)
  {
    const auto runs = std::exchange(server.runs, {});
    const ServerInstance instance("s-" + std::to_string(server.instance));
    server.instance = ++m_instances;
    server.back_at = m_now + SERVER_DOWN;
    std::map<std::size_t, std::uint64_t> revisions;
    for (const OpenRun& run : runs)
    {

      CrashLedger& ledger = m_ledgers[run.daemon];
      revisions.emplace(run.daemon, ledger.OwnRevision());
      ledger.RecordCrash(run.request, instance, Common::VmId(std::to_string(run.daemon)),
                         run.sent_at, m_now,
                         m_successes[run.daemon].LastOf(run.request.low, m_now));
    }
    for (const auto& [daemon, revision] : revisions)
      ShareChanges(daemon, revision);
    for (const OpenRun& run : runs)
      if (run.sends < MAX_SENDS && !Send(run.request, run.is_crasher, run.sends + 1, run.daemon) &&
          !run.is_crasher)
        ++m_outcome.harmless_refused;
  }

  /// Sends a daemon's observations to all others, as the lease holder would forward them.
  void ShareChanges(std::size_t daemon, std::uint64_t since)
  {
    constexpr std::size_t ALL_BYTES = 1 << 20;
    for (CaseLine& line : m_ledgers[daemon].OwnChangesSince(since, ALL_BYTES, m_now).lines)
      m_messages.push({m_now + MESSAGE_DELAY, std::move(line)});
  }

  void Deliver()
  {
    for (; !m_messages.empty() && m_messages.front().at <= m_now; m_messages.pop())
      for (std::size_t daemon = 0; daemon < DAEMONS; ++daemon)
        Receive(daemon, Delayed(m_messages.front().line));
  }

  /// The first daemon is the lease holder.
  void LiftBlocks()
  {
    CrashLedger& holder = m_ledgers.front();
    const std::uint64_t before = holder.Revision();
    if (m_now.time_since_epoch() % COMPARISON_INTERVAL != Milliseconds(0) ||
        holder.LiftBlocksOfBystanders(m_now).empty())
      return;
    constexpr std::size_t ALL_BYTES = 1 << 20;
    for (CaseLine& line : holder.SharedChangesSince(before, ALL_BYTES, m_now).lines)
      m_messages.push({m_now + MESSAGE_DELAY, std::move(line)});
  }

  void Receive(std::size_t daemon, const CaseLine& line)
  {
    CrashLedger& ledger = m_ledgers[daemon];
    const std::uint64_t before = ledger.OwnRevision();
    ledger.Merge(line, m_now);
    if (const auto last_success = m_successes[daemon].LastOf(line.request.quick, m_now))
      ledger.NoteEarlierSuccess(line.request, *last_success, m_now);
    if (ledger.OwnRevision() != before)
      ShareChanges(daemon, before);
  }

  static CaseLine Delayed(CaseLine line)
  {
    for (CrashLine& crash : line.server_crashes)
    {
      crash.age_ms += MESSAGE_DELAY.count();
      crash.sent_age_ms += MESSAGE_DELAY.count();
    }
    if (line.last_success_age_ms >= 0)
      line.last_success_age_ms += MESSAGE_DELAY.count();
    return line;
  }

  Common::Random m_random;
  Load m_load;
  std::vector<CrashLedger> m_ledgers;
  std::vector<RecentSuccesses> m_successes{DAEMONS};
  std::vector<Server> m_servers;
  std::queue<Message> m_messages;
  std::map<Fingerprint, std::vector<TimePoint>> m_crashed_by;
  std::map<Fingerprint, std::int64_t> m_late;
  Outcome m_outcome;
  int m_instances = 0;
  std::uint64_t m_unique = 0;
  TimePoint m_now{std::chrono::hours(1)};
};

Outcome Sum(const Load& load, int crashes_to_block)
{
  constexpr std::uint64_t SEEDS = 8;
  Outcome sum;
  for (std::uint64_t seed = 1; seed <= SEEDS; ++seed)
  {
    const Outcome one = Simulation(seed, load, crashes_to_block).Run();
    sum.harmless += one.harmless;
    sum.harmless_refused += one.harmless_refused;
    sum.servers_crashed += one.servers_crashed;
    sum.max_by_one = std::max(sum.max_by_one, one.max_by_one);
    sum.late_sends = std::max(sum.late_sends, one.late_sends);
  }
  return sum;
}

class CrashReplayTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CrashReplayTest);
  CPPUNIT_TEST(CrashingRequestsOnly);
  CPPUNIT_TEST(CrashingRequestsAmongCrashingServers);
  CPPUNIT_TEST(CrashingRequestsAmongCrashingRacks);
  CPPUNIT_TEST(CrashingRequestsBeforeAnythingHasCompleted);
  CPPUNIT_TEST_SUITE_END();

  /// The platform allows three late sends. Fewer than one in a thousand harmless requests may be
  /// refused, including repeated identical ones.
  static void Check(const char* name, const Load& load)
  {
    for (const int crashes_to_block : {2, CrashLedger::CRASHES_TO_BLOCK})
    {
      const Outcome outcome = Sum(load, crashes_to_block);
      CPPUNIT_NS::stdCOut() << name << ": blocked after " << crashes_to_block
                            << ": harmless refused " << outcome.harmless_refused << " of "
                            << outcome.harmless << ", servers crashed " << outcome.servers_crashed
                            << ", most by one " << outcome.max_by_one << ", late sends "
                            << outcome.late_sends << "\n";
      if (crashes_to_block < CrashLedger::CRASHES_TO_BLOCK)
        continue;
      CPPUNIT_ASSERT(outcome.late_sends <= 3);
      CPPUNIT_ASSERT(outcome.harmless_refused * 1000 < outcome.harmless);
    }
  }

  void CrashingRequestsOnly() { Check("crashing requests alone", {}); }
  void CrashingRequestsAmongCrashingServers()
  {
    Check("each server crashes every 30 s",
          {3, QUIET_PERIOD, Milliseconds(30000), Milliseconds(0)});
  }
  void CrashingRequestsAmongCrashingRacks()
  {
    Check("a rack crashes every 20 s", {3, QUIET_PERIOD, Milliseconds(0), Milliseconds(20000)});
  }
  /// Identical harmless requests were blocked when three servers that ran them among others crashed
  /// before one of them had completed.
  void CrashingRequestsBeforeAnythingHasCompleted()
  {
    Check("nothing has completed before", {3, Milliseconds(0)});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashReplayTest);
} // namespace

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
constexpr Milliseconds DAY{std::chrono::minutes(5)};
constexpr Milliseconds STEP{5};
constexpr Milliseconds CALM{30000};

/// Delay until the other daemons receive an observation.
constexpr Milliseconds WORD_TAKES{300};
constexpr Milliseconds SERVER_DOWN{4000};
constexpr std::uint64_t HONEST_GAP_MS = 15; ///< About 65 per second.
constexpr std::uint64_t CRASHER_GAP_MS = 500;
constexpr Milliseconds HONEST_RUN{800};
constexpr Milliseconds CRASHER_RUN{60};
/// Number of distinct harmless requests that are sent repeatedly. They make up half of all harmless
/// requests.
constexpr std::uint64_t REPEATED = 40;
constexpr int MAX_SENDS = 2; ///< Sends per request.

struct Load
{
  std::uint64_t crashers = 3;
  /// Time before the first crashing request.
  Milliseconds calm = CALM;
  /// Mean time between crashes of one server for other reasons; 0: never.
  Milliseconds own_end_every{0};
  /// Mean time between crashes of a rack, a third of the servers; 0: never.
  Milliseconds rack_end_every{0};
};

struct Outcome
{
  std::int64_t honest = 0;
  std::int64_t honest_refused = 0;
  std::int64_t crashers_ended = 0; ///< Servers lost to crashing requests.
  std::int64_t most_by_one = 0;
  std::int64_t late_sends = 0; ///< Maximum per request, more than 3 s after its third crash.
};

class Replay
{
public:
  Replay(std::uint64_t seed, const Load& load, int crashes_to_block)
      : m_random(seed), m_load(load), m_ledgers(DAEMONS, CrashLedger(crashes_to_block))
  {
    m_servers.resize(SERVERS);
    for (Server& server : m_servers)
      server.life = ++m_lives;
  }

  Outcome Run()
  {
    const TimePoint end = m_now + DAY;
    for (; m_now < end; m_now += STEP)
    {
      Deliver();
      EndSome();
      FinishRuns();
      const auto arrive = [&](std::uint64_t gap_ms, auto&& attempt) {
        if (Draw(gap_ms) < static_cast<std::uint64_t>(STEP.count()))
          attempt();
      };
      arrive(HONEST_GAP_MS, [&] {
        ++m_outcome.honest;
        const std::uint64_t which = Draw(2) == 0 ? 100 + Draw(REPEATED) : 1000000 + ++m_unique;
        if (!Send({which, which, which}, false, 1, Draw(DAEMONS)))
          ++m_outcome.honest_refused;
      });
      for (std::uint64_t crasher = 1; m_now > end - DAY + m_load.calm && crasher <= m_load.crashers;
           ++crasher)
        arrive(CRASHER_GAP_MS, [&] {
          Send({crasher, crasher, crasher}, true, 1, Draw(DAEMONS));
        });
    }
    for (const auto& [crasher, late] : m_late)
      m_outcome.late_sends = std::max(m_outcome.late_sends, late);
    for (const auto& [crasher, ended] : m_ended_by)
      m_outcome.most_by_one =
          std::max(m_outcome.most_by_one, static_cast<std::int64_t>(ended.size()));
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
    int life = 0;
    TimePoint back_at;
    std::vector<OpenRun> runs;
  };
  struct Word
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
    const Milliseconds run = queue + (is_crasher ? CRASHER_RUN : HONEST_RUN);
    up[Draw(up.size())]->runs.push_back({request, is_crasher, sends, daemon, m_now, m_now + run});
    return true;
  }

  void NoteCrasherSend(const Fingerprint& request)
  {
    const auto& ended = m_ended_by[request];
    constexpr std::size_t KNOWN_AFTER = 3;
    constexpr Milliseconds CONTACT{3000};
    if (ended.size() >= KNOWN_AFTER && m_now - ended[KNOWN_AFTER - 1] > CONTACT)
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
          Tell(run.daemon, before);
        }
      const auto crasher = std::ranges::find_if(done, &OpenRun::is_crasher);
      if (crasher == done.end())
        continue;
      m_ended_by[crasher->request].push_back(m_now);
      ++m_outcome.crashers_ended;
      for (const OpenRun& run : done)
        if (run.is_crasher)
          server.runs.push_back(run);
      End(server);
    }
  }

  void EndSome()
  {
    const auto falls = [&](Milliseconds every) {
      return every.count() > 0 && Draw(static_cast<std::uint64_t>(every / STEP)) == 0;
    };
    for (Server& server : m_servers)
      if (server.back_at <= m_now && falls(m_load.own_end_every))
        End(server);
    if (falls(m_load.rack_end_every))
      for (std::size_t i = 0; i < SERVERS / 3; ++i)
        End(m_servers[i]);
  }

  void End(Server& server)
  {
    const auto runs = std::exchange(server.runs, {});
    const ServerInstance life("s-" + std::to_string(server.life));
    server.life = ++m_lives;
    server.back_at = m_now + SERVER_DOWN;
    std::map<std::size_t, std::uint64_t> revisions;
    for (const OpenRun& run : runs)
    {

      CrashLedger& ledger = m_ledgers[run.daemon];
      revisions.emplace(run.daemon, ledger.OwnRevision());
      ledger.RecordCrash(run.request, life, Common::VmId(std::to_string(run.daemon)), run.sent_at,
                         m_now, m_successes[run.daemon].LastOf(run.request.low, m_now));
    }
    for (const auto& [daemon, revision] : revisions)
      Tell(daemon, revision);
    for (const OpenRun& run : runs)
      if (run.sends < MAX_SENDS && !Send(run.request, run.is_crasher, run.sends + 1, run.daemon) &&
          !run.is_crasher)
        ++m_outcome.honest_refused;
  }

  /// Sends a daemon's observations to all others, as the lease holder would forward them.
  void Tell(std::size_t daemon, std::uint64_t since)
  {
    constexpr std::size_t ALL_BYTES = 1 << 20;
    for (CaseLine& line : m_ledgers[daemon].OwnChangesSince(since, ALL_BYTES, m_now).lines)
      m_words.push({m_now + WORD_TAKES, std::move(line)});
  }

  void Deliver()
  {
    for (; !m_words.empty() && m_words.front().at <= m_now; m_words.pop())
      for (std::size_t daemon = 0; daemon < DAEMONS; ++daemon)
        TakeWord(daemon, Aged(m_words.front().line));
  }

  void TakeWord(std::size_t daemon, const CaseLine& line)
  {
    CrashLedger& ledger = m_ledgers[daemon];
    const std::uint64_t before = ledger.OwnRevision();
    ledger.Merge(line, m_now);
    if (const auto last_success = m_successes[daemon].LastOf(line.request.quick, m_now))
      ledger.NoteEarlierSuccess(line.request, *last_success, m_now);
    if (ledger.OwnRevision() != before)
      Tell(daemon, before);
  }

  static CaseLine Aged(CaseLine line)
  {
    for (CrashLine& ending : line.server_crashes)
    {
      ending.age_ms += WORD_TAKES.count();
      ending.sent_age_ms += WORD_TAKES.count();
    }
    if (line.last_success_age_ms >= 0)
      line.last_success_age_ms += WORD_TAKES.count();
    return line;
  }

  Common::Random m_random;
  Load m_load;
  std::vector<CrashLedger> m_ledgers;
  std::vector<RecentSuccesses> m_successes{DAEMONS};
  std::vector<Server> m_servers;
  std::queue<Word> m_words;
  std::map<Fingerprint, std::vector<TimePoint>> m_ended_by;
  std::map<Fingerprint, std::int64_t> m_late;
  Outcome m_outcome;
  int m_lives = 0;
  std::uint64_t m_unique = 0;
  TimePoint m_now{std::chrono::hours(1)};
};

Outcome Sum(const Load& load, int crashes_to_block)
{
  constexpr std::uint64_t SEEDS = 8;
  Outcome sum;
  for (std::uint64_t seed = 1; seed <= SEEDS; ++seed)
  {
    const Outcome one = Replay(seed, load, crashes_to_block).Run();
    sum.honest += one.honest;
    sum.honest_refused += one.honest_refused;
    sum.crashers_ended += one.crashers_ended;
    sum.most_by_one = std::max(sum.most_by_one, one.most_by_one);
    sum.late_sends = std::max(sum.late_sends, one.late_sends);
  }
  return sum;
}

class CrashReplayTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CrashReplayTest);
  CPPUNIT_TEST(CrashersAlone);
  CPPUNIT_TEST(CrashersOnADayOfCrashingServers);
  CPPUNIT_TEST(CrashersWhileRacksEnd);
  CPPUNIT_TEST_SUITE_END();

  /// The platform allows three late sends. Fewer than one in a thousand harmless requests may be
  /// refused, including repeated identical ones.
  static void Check(const char* name, const Load& load)
  {
    for (const int server_crashes : {2, CrashLedger::CRASHES_TO_BLOCK})
    {
      const Outcome outcome = Sum(load, server_crashes);
      CPPUNIT_NS::stdCOut() << name << ": blocked after " << server_crashes << ": harmless refused "
                            << outcome.honest_refused << " of " << outcome.honest
                            << ", servers crashed " << outcome.crashers_ended << ", most by one "
                            << outcome.most_by_one << ", late sends " << outcome.late_sends << "\n";
      if (server_crashes < CrashLedger::CRASHES_TO_BLOCK)
        continue;
      CPPUNIT_ASSERT(outcome.late_sends <= 3);
      CPPUNIT_ASSERT(outcome.honest_refused * 1000 < outcome.honest);
    }
  }

  void CrashersAlone() { Check("crashing requests alone", {}); }
  void CrashersOnADayOfCrashingServers()
  {
    Check("each server crashes every 30 s", {3, CALM, Milliseconds(30000), Milliseconds(0)});
  }
  void CrashersWhileRacksEnd()
  {
    Check("a rack crashes every 20 s", {3, CALM, Milliseconds(0), Milliseconds(20000)});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashReplayTest);
} // namespace

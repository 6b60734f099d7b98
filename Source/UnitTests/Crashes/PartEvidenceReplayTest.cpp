// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Simulates prompts in virtual time, some of which have a part that crashes each server that begins
// to write on it. Six daemons exchange what they observe with a delay. No two requests are alike;
// sound ones share all parts but the crashing one. Measures the sends of crashing parts after the
// fifth crash, and the sound requests that are refused.

#include "Crashes/PartEvidence.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Common/Random.h"

namespace
{
using namespace Crashes;
using Common::Milliseconds;
using Common::TimePoint;

constexpr std::size_t DAEMONS = 6;
constexpr std::size_t SERVERS = 9;
constexpr std::uint64_t SEEDS = 12;
constexpr Milliseconds DURATION{90000};
constexpr Milliseconds STEP{5};
constexpr Milliseconds SERVER_DOWN{4000};
/// Time until a daemon knows that a server has crashed.
constexpr Milliseconds DETECTION{110};
constexpr Milliseconds MAX_MESSAGE_DELAY{300};
constexpr Milliseconds CONTACT_BOUND{3000};
constexpr std::uint64_t SOUND_GAP_MS = 12;
constexpr std::uint64_t CRASHING_GAP_MS = 150;
constexpr Milliseconds CRASH_RUN_TIME{40};
constexpr Milliseconds WRITING_TIME{300};
constexpr Milliseconds SOUND_RUN_TIME{1000};
constexpr std::uint64_t MAX_QUEUE_MS = 400;
constexpr std::uint64_t FIRST_PARTS = 3;
constexpr std::uint64_t THEMES = 500;
constexpr std::size_t ALLOWED_CRASHES = 5;
constexpr int ALLOWED_LATE_SENDS = 3;
constexpr const char* SOFTWARE = "v1";

struct Load
{
  Milliseconds quiet_period{30000}; ///< Before the first crashing request.
  std::size_t crashing_parts = 1;
  bool crashing_part_is_first = false;
  bool has_companion = false;          ///< Crashing requests have a part that few sound ones have.
  Milliseconds rack_crash_interval{0}; ///< A third of the servers, for other reasons; 0: never.
};

struct Result
{
  std::int64_t sound = 0;
  std::int64_t refused = 0;
  int crashes = 0;
  int late_sends = 0;
};

class Simulation
{
public:
  Simulation(std::uint64_t seed, const Load& load) : m_random(seed), m_load(load)
  {
    for (std::size_t i = 0; i < DAEMONS; ++i)
      m_daemons.push_back(std::make_unique<Daemon>());
    m_daemons.front()->evidence.SetMayProbe(true);
    for (std::size_t i = 0; i < SERVERS; ++i)
      m_servers.push_back({static_cast<int>(i), {}, {}});
  }

  Result Run()
  {
    const TimePoint begin = m_now;
    for (; m_now < begin + DURATION; m_now += STEP)
    {
      while (!m_events.empty() && m_events.top().at <= m_now)
      {
        const Event event = m_events.top();
        m_events.pop();
        event.action();
      }
      if (Occurs(SOUND_GAP_MS))
        SendSound();
      if (m_now - begin >= m_load.quiet_period && Occurs(CRASHING_GAP_MS))
        SendCrashing();
      if (m_load.rack_crash_interval.count() > 0 &&
          Occurs(static_cast<std::uint64_t>(m_load.rack_crash_interval.count())))
        for (std::size_t i = 0; i < SERVERS / 3; ++i)
          Crash(i, {});
    }
    for (const auto& [part, times] : m_crash_times)
      m_result.crashes = std::max(m_result.crashes, static_cast<int>(times.size()));
    for (const auto& [part, late] : m_late_sends)
      m_result.late_sends = std::max(m_result.late_sends, late);
    return m_result;
  }

private:
  struct Daemon
  {
    CrashLedger ledger;
    PartEvidence evidence{ledger};
  };
  struct OpenRun
  {
    std::size_t daemon = 0;
    SharedParts parts;
    TimePoint sent_at;
    bool has_written = false;
  };
  struct Server
  {
    int instance = 0;
    TimePoint back_at;
    std::map<std::uint64_t, OpenRun> runs;
  };
  struct Event
  {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const
    {
      return std::pair(other.at, other.order) < std::pair(at, order);
    }
  };

  std::uint64_t Draw(std::uint64_t bound) { return m_random() % bound; }
  bool Occurs(std::uint64_t gap_ms)
  {
    return Draw(gap_ms) < static_cast<std::uint64_t>(STEP.count());
  }
  void At(TimePoint at, std::function<void()> action)
  {
    m_events.push({at, ++m_order, std::move(action)});
  }

  std::string Theme()
  {
    const auto highest = Draw(THEMES) + 1;
    return "theme" + std::to_string(Draw(highest));
  }

  void SendSound()
  {
    ++m_result.sound;
    SharedParts parts{"", {"first" + std::to_string(Draw(FIRST_PARTS)), Theme()}};
    if (m_load.has_companion && Draw(20) == 0)
      parts.ids.push_back("companion");
    if (!Send(parts, ""))
      ++m_result.refused;
  }

  void SendCrashing()
  {
    const std::string bad = "bad" + std::to_string(Draw(m_load.crashing_parts));
    SharedParts parts{"", {"first" + std::to_string(Draw(FIRST_PARTS)), bad, Theme()}};
    if (m_load.crashing_part_is_first)
      std::swap(parts.ids[0], parts.ids[1]);
    if (m_load.has_companion)
      parts.ids.push_back("companion");
    Send(parts, bad);
  }

  /// Returns false if the request is blocked.
  bool Send(const SharedParts& parts, const std::string& bad)
  {
    const std::size_t daemon = Draw(DAEMONS);
    PartEvidence& evidence = m_daemons[daemon]->evidence;
    if (evidence.StatusOf(parts, SOFTWARE, m_now).blocked)
      return false;
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < SERVERS; ++i)
      if (m_servers[i].back_at <= m_now)
        up.push_back(i);
    if (up.empty())
      return true;
    evidence.NoteSent(parts, SOFTWARE, m_now);
    const std::size_t server = up[Draw(up.size())];
    const std::uint64_t run = ++m_runs;
    m_servers[server].runs[run] = {daemon, parts, m_now, false};
    const TimePoint starts_at = m_now + Milliseconds(Draw(MAX_QUEUE_MS));
    if (!bad.empty())
    {
      NoteCrashingSend(bad);
      At(starts_at + CRASH_RUN_TIME, [this, server, run, bad] {
        if (m_servers[server].runs.contains(run))
          Crash(server, bad);
      });
      return true;
    }
    At(starts_at + WRITING_TIME, [this, server, run] {
      const auto found = m_servers[server].runs.find(run);
      if (found == m_servers[server].runs.end())
        return;
      found->second.has_written = true;
      Daemon& writer = *m_daemons[found->second.daemon];
      const std::uint64_t before = writer.ledger.OwnRevision();
      writer.evidence.NoteWritten(found->second.parts, SOFTWARE, m_now);
      Share(found->second.daemon, before);
    });
    At(starts_at + SOUND_RUN_TIME, [this, server, run] {
      m_servers[server].runs.erase(run);
    });
    return true;
  }

  void NoteCrashingSend(const std::string& bad)
  {
    const auto& times = m_crash_times[bad];
    if (times.size() >= ALLOWED_CRASHES && m_now > times[ALLOWED_CRASHES - 1] + CONTACT_BOUND)
      ++m_late_sends[bad];
  }

  void Crash(std::size_t index, const std::string& bad)
  {
    Server& server = m_servers[index];
    if (server.back_at > m_now)
      return;
    if (!bad.empty())
      m_crash_times[bad].push_back(m_now);
    const auto runs = std::exchange(server.runs, {});
    const ServerInstance instance("s-" + std::to_string(server.instance));
    server.instance += static_cast<int>(SERVERS);
    server.back_at = m_now + SERVER_DOWN;
    At(m_now + DETECTION, [this, runs, instance, ended_at = m_now] {
      for (const auto& [number, run] : runs)
        Record(run, instance, ended_at);
    });
  }

  void Record(const OpenRun& run, const ServerInstance& instance, TimePoint ended_at)
  {
    if (run.has_written)
      return;
    Daemon& daemon = *m_daemons[run.daemon];
    const std::uint64_t before = daemon.ledger.OwnRevision();
    for (const Fingerprint& part : daemon.evidence.Suspects(run.parts, SOFTWARE, m_now))
      daemon.ledger.RecordCrash(part, instance, Common::VmId(std::to_string(run.daemon)),
                                run.sent_at, ended_at);
    Share(run.daemon, before);
  }

  /// Sends a daemon's observations to the others, through the lease holder.
  void Share(std::size_t daemon, std::uint64_t since)
  {
    constexpr std::size_t ALL_BYTES = 1 << 20;
    CrashLedger& ledger = m_daemons[daemon]->ledger;
    if (ledger.OwnRevision() == since)
      return;
    for (CaseLine& line : ledger.OwnChangesSince(since, ALL_BYTES, m_now).lines)
      for (std::size_t other = 0; other < DAEMONS; ++other)
      {
        const Milliseconds delay(Draw(MAX_MESSAGE_DELAY.count()));
        At(m_now + delay, [this, other, line = Delayed(line, delay)] {
          Receive(other, line);
        });
      }
  }

  void Receive(std::size_t index, const CaseLine& line)
  {
    Daemon& daemon = *m_daemons[index];
    const std::uint64_t before = daemon.ledger.OwnRevision();
    daemon.ledger.Merge(line, m_now);
    if (const auto written = daemon.evidence.LastWritten(line.request.quick, m_now))
      daemon.ledger.NoteEarlierSuccess(line.request, *written, m_now);
    Share(index, before);
  }

  static CaseLine Delayed(CaseLine line, Milliseconds delay)
  {
    for (CrashLine& crash : line.server_crashes)
    {
      crash.age_ms += delay.count();
      crash.sent_age_ms += delay.count();
    }
    if (line.last_success_age_ms >= 0)
      line.last_success_age_ms += delay.count();
    return line;
  }

  Common::Random m_random;
  Load m_load;
  std::vector<std::unique_ptr<Daemon>> m_daemons;
  std::vector<Server> m_servers;
  std::priority_queue<Event> m_events;
  std::map<std::string, std::vector<TimePoint>> m_crash_times;
  std::map<std::string, int> m_late_sends;
  Result m_result;
  std::uint64_t m_order = 0;
  std::uint64_t m_runs = 0;
  TimePoint m_now{std::chrono::hours(1)};
};

class PartEvidenceReplayTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PartEvidenceReplayTest);
  CPPUNIT_TEST(CrashingPartIsSentOnAndOn);
  CPPUNIT_TEST(SharedPartsAreBlockedBeforeAnyAnswer);
  CPPUNIT_TEST(SeveralCrashingParts);
  CPPUNIT_TEST(CrashingPartAtTheBeginning);
  CPPUNIT_TEST(CompanionOfACrashingPartStaysBlocked);
  CPPUNIT_TEST(CrashingPartAmongCrashingRacks);
  CPPUNIT_TEST(PartsAreBlockedByCrashingRacks);
  CPPUNIT_TEST_SUITE_END();

  /// The bounds are the platform's: three sends after the fifth crash in each run. One sound
  /// request in a thousand may be refused over all runs.
  static void Check(const char* name, const Load& load)
  {
    Result sum;
    for (std::uint64_t seed = 1; seed <= SEEDS; ++seed)
    {
      const Result one = Simulation(seed, load).Run();
      sum.sound += one.sound;
      sum.refused += one.refused;
      sum.crashes = std::max(sum.crashes, one.crashes);
      sum.late_sends = std::max(sum.late_sends, one.late_sends);
    }
    CPPUNIT_NS::stdCOut() << name << ": sound refused " << sum.refused << " of " << sum.sound
                          << ", most crashes by one part " << sum.crashes << ", late sends "
                          << sum.late_sends << "\n";
    CPPUNIT_ASSERT(sum.late_sends <= ALLOWED_LATE_SENDS);
    CPPUNIT_ASSERT(sum.refused * 1000 < sum.sound);
  }

  void CrashingPartIsSentOnAndOn() { Check("one crashing part", {}); }
  void SharedPartsAreBlockedBeforeAnyAnswer()
  {
    Load load;
    load.quiet_period = Milliseconds(0);
    Check("from the first moment", load);
  }
  void SeveralCrashingParts()
  {
    Load load;
    load.crashing_parts = 2;
    Check("two crashing parts", load);
  }
  void CrashingPartAtTheBeginning()
  {
    Load load;
    load.crashing_part_is_first = true;
    Check("crashing part at the beginning", load);
  }
  void CompanionOfACrashingPartStaysBlocked()
  {
    Load load;
    load.has_companion = true;
    load.quiet_period = Milliseconds(0);
    Check("with a companion", load);
  }
  void CrashingPartAmongCrashingRacks()
  {
    Load load;
    load.rack_crash_interval = Milliseconds(20000);
    Check("beside crashing racks", load);
  }
  void PartsAreBlockedByCrashingRacks()
  {
    Load load;
    load.quiet_period = DURATION;
    load.rack_crash_interval = Milliseconds(5000);
    Check("crashing racks alone", load);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PartEvidenceReplayTest);
} // namespace

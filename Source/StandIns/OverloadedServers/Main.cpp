// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Runs real daemons in front of servers with slots and queues, and injects the faults of one case.
// Checks that brittle servers do not crash under the requests that they reject while callers use
// their capacity, that callers of VMs that are cut off from servers are served like the others,
// that responses that do not end do not exhaust the memory of a daemon, and that many daemons use
// the slots of servers evenly.

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <numeric>

#include <cxxopts.hpp>
#include <glib.h>

#include "Common/Json.h"
#include "Common/Log.h"
#include "Common/Loop.h"
#include "Common/Reactor.h"
#include "StandIns/OverloadedServers/EndlessServer.h"
#include "StandIns/OverloadedServers/OpenLoopCallers.h"
#include "StandIns/OverloadedServers/QueueingServer.h"
#include "StandIns/OverloadedServers/SharedQueue.h"
#include "StandIns/ResumedStreams/DaemonPool.h"
#include "StandIns/Soak/StandInStore.h"

namespace
{
using namespace OverloadedServers;
using Common::Json;
using Common::Milliseconds;
using ResumedStreams::DaemonPool;
using StandIns::CutKind;

constexpr std::size_t DATA_CENTRES = 3;
constexpr int SERVERS = 6;
constexpr int EVEN_LOAD_SERVERS = 12;
constexpr int STORE_PORT = 8300;
constexpr int REJECTIONS_PER_SECOND = 4;
constexpr Milliseconds STARTUP_TIME{4000};
constexpr Milliseconds TIME_BEFORE_FAULTS{1500};
constexpr Milliseconds FAULTS_DURATION{17000};
/// How long even load is measured, and for the last requests to end: with the start, under 15 s.
constexpr Milliseconds EVEN_LOAD_DURATION{7000};
constexpr Milliseconds TIME_AFTER_EVEN_LOAD{1000};
/// From the start of a fault until what callers see of it counts.
constexpr Milliseconds NOTICE{3000};
/// For the last requests to end.
constexpr Milliseconds TIME_AFTER_FAULTS{4500};
/// Memory of the smallest VM on which daemons run.
constexpr std::size_t SMALLEST_VM_MB = 160;
/// A refusal that comes later than this came from a wait that ran out.
constexpr Milliseconds LATE_REFUSAL{1500};

void RequireStarted(bool done, const char* what)
{
  if (done)
    return;
  std::cerr << "overloaded-servers: cannot start the " << what << "\n";
  std::exit(2);
}

/// What became of some requests.
struct Tally
{
  int sent = 0;
  int served = 0;
  int refused_late = 0;

  int NotServed() const { return sent - served; }
  double Share() const { return sent == 0 ? 1 : static_cast<double>(served) / sent; }
};

template <typename Predicate>
Tally Count(const std::vector<Attempt>& attempts, Predicate counts)
{
  Tally tally;
  for (const Attempt& attempt : attempts)
  {
    if (!counts(attempt))
      continue;
    ++tally.sent;
    tally.served += attempt.IsServed() ? 1 : 0;
    tally.refused_late += !attempt.IsServed() && attempt.took > LATE_REFUSAL ? 1 : 0;
  }
  return tally;
}

class OverloadedServersRun
{
public:
  OverloadedServersRun(const std::string& binary, std::uint64_t seed, std::string net,
                       std::string logs, std::optional<std::size_t> daemons,
                       std::optional<double> load, bool bears_rejections)
      : m_random(seed),
        m_binary(binary),
        m_net(std::move(net)),
        m_logs(std::move(logs)),
        m_daemon_count(daemons),
        m_load(load),
        m_bears_rejections(bears_rejections)
  {
  }

  /// Runs the case; returns the exit status.
  int Run(const std::string& name)
  {
    const auto found = Cases().find(name);
    RequireStarted(found != Cases().end(), "case: its name is unknown");
    m_case = found->second;
    m_case.load = m_load.value_or(m_case.load);
    Start();
    g_main_loop_run(m_loop);
    m_callers->Stop();
    for (std::size_t vm = 0; vm < m_daemons->Size(); ++vm)
      m_peak_memory.push_back(m_daemons->PeakMemory(vm));
    m_daemons->KillAll();
    return Report(name);
  }

private:
  enum class Trouble
  {
    Brittle, ///< All servers are brittle.
    Cut,     ///< Some VMs are cut off from the servers.
    Endless, ///< Further servers answer with bytes that do not end.
    None,    ///< The load of the servers is measured.
  };
  struct Case
  {
    Trouble trouble = Trouble::Brittle;
    std::size_t daemons = 6;
    /// Offered load, as a share of the capacity of all servers.
    double load = 0.6;
    double load_later = 0; ///< From the middle of the faults on; 0: the same.
    std::size_t clump = 1;
    /// The least share of the requests that must be served, or of the capacity if that is less than
    /// what is offered; 0: not checked.
    double least_served = 0;
    void (OverloadedServersRun::*inject)() = &OverloadedServersRun::InjectNothing;
    CutKind cut = CutKind::Hang;
    std::size_t spared = 0; ///< VMs that are not cut off.
    int copies = 1;         ///< Endless servers of each kind.
    int slow_servers = 0;   ///< Servers that take twice as long as the others.
    /// The highest mean response time, relative to that of one queue in front of all slots.
    double highest_ratio = 0;
  };

  static const std::map<std::string, Case>& Cases()
  {
    using Run = OverloadedServersRun;
    constexpr double CLUMPS_SERVED = 0.9;
    constexpr double CAPACITY_USED = 0.85;
    constexpr double SOUND_SERVED = 0.9;
    // 1.15 leaves 18 ms of a request of 120 ms for waiting and the network.
    constexpr double RATIO = 1.15;
    constexpr double RATIO_IN_CLUMPS = 1.25;
    constexpr double EVEN_LOAD = 0.7;
    static const std::map<std::string, Case> CASES{
        {"even-load-6", {.trouble = Trouble::None, .load = EVEN_LOAD, .highest_ratio = RATIO}},
        {"even-load-20",
         {.trouble = Trouble::None, .daemons = 20, .load = EVEN_LOAD, .highest_ratio = RATIO}},
        {"even-load-40",
         {.trouble = Trouble::None, .daemons = 40, .load = EVEN_LOAD, .highest_ratio = RATIO}},
        {"even-load-uneven-20",
         {.trouble = Trouble::None,
          .daemons = 20,
          .load = EVEN_LOAD,
          .slow_servers = EVEN_LOAD_SERVERS / 4,
          .highest_ratio = RATIO}},
        {"even-load-clumps",
         {.trouble = Trouble::None,
          .daemons = 20,
          .load = EVEN_LOAD,
          .clump = 12,
          .highest_ratio = RATIO_IN_CLUMPS}},
        {"brittle-even", {.least_served = CLUMPS_SERVED}},
        {"brittle-clumps-one-vm", {.daemons = 1, .clump = 12, .least_served = CLUMPS_SERVED}},
        {"brittle-clumps", {.clump = 12, .least_served = CLUMPS_SERVED}},
        {"brittle-overload", {.load = 1.5, .least_served = CAPACITY_USED}},
        {"brittle-step", {.load = 0.5, .load_later = 2}},
        {"brittle-kills", {.load = 1.5, .inject = &Run::KillTwo}},
        {"brittle-holder-frozen", {.load = 1.5, .inject = &Run::FreezeHolder}},
        {"brittle-store-away", {.load = 1.5, .inject = &Run::SilenceStore}},
        {"brittle-restarts", {.load = 1.5, .inject = &Run::RestartInTurn}},
        {"brittle-suspended", {.load = 1.5, .inject = &Run::SuspendInTurn}},
        {"brittle-overlapping", {.load = 1.5, .inject = &Run::OverlapFaults}},
        {"brittle-many-vms", {.daemons = 20, .load = 1.5, .least_served = CAPACITY_USED}},
        {"brittle-many-vms-clumps", {.daemons = 20, .clump = 12, .least_served = CLUMPS_SERVED}},
        {"endless-bytes",
         {.trouble = Trouble::Endless, .daemons = 3, .load = 0.5, .least_served = SOUND_SERVED}},
        {"endless-bytes-many",
         {.trouble = Trouble::Endless, .daemons = 3, .load = 0.5, .copies = 6}},
        {"cut-half", {.trouble = Trouble::Cut, .load = 0.5, .spared = 3}},
        {"cut-half-reset",
         {.trouble = Trouble::Cut, .load = 0.5, .cut = CutKind::Reset, .spared = 3}},
        {"cut-half-old-ones-live",
         {.trouble = Trouble::Cut, .load = 0.5, .cut = CutKind::OldOnesLive, .spared = 3}},
        {"cut-all-but-one", {.trouble = Trouble::Cut, .daemons = 12, .load = 0.5, .spared = 1}},
        {"cut-all-but-one-reset",
         {.trouble = Trouble::Cut, .daemons = 12, .load = 0.5, .cut = CutKind::Reset, .spared = 1}},
        {"cut-all-but-two", {.trouble = Trouble::Cut, .daemons = 12, .load = 0.5, .spared = 2}},
        {"cut-restarts",
         {.trouble = Trouble::Cut, .load = 0.5, .inject = &Run::RestartInTurn, .spared = 3}},
        {"cut-holder-frozen",
         {.trouble = Trouble::Cut, .load = 0.5, .inject = &Run::FreezeHolder, .spared = 3}},
        {"cut-store-away",
         {.trouble = Trouble::Cut, .load = 0.5, .inject = &Run::SilenceStore, .spared = 3}},
        {"cut-overlapping",
         {.trouble = Trouble::Cut, .load = 0.5, .inject = &Run::OverlapFaults, .spared = 3}},
    };
    return CASES;
  }

  static void After(Milliseconds delay, std::function<void()> callback)
  {
    Common::Reactor::Get().After(delay, std::move(callback));
  }
  /// Calls the function at this interval while faults last.
  void Repeat(Milliseconds interval, const std::function<void()>& callback)
  {
    for (Milliseconds at{0}; at < FAULTS_DURATION; at += interval)
      After(at, callback);
  }

  Http::Endpoint EndpointAt(int octet, int port)
  {
    return *Http::Endpoint::Parse(m_net + "." + std::to_string(octet) + ":" + std::to_string(port));
  }

  void Start()
  {
    const Http::Endpoint store = EndpointAt(1, STORE_PORT);
    RequireStarted(static_cast<bool>(m_store.Listen(store)), "store");
    StartServers();
    PutConfiguration();
    m_daemons = std::make_unique<DaemonPool>(m_binary, m_net, m_logs,
                                             m_daemon_count.value_or(m_case.daemons), DATA_CENTRES);
    m_daemons->ConnectFromOwnAddresses();
    m_daemons->Start(store);
    m_callers = std::make_unique<OpenLoopCallers>(
        Common::Random(m_random()), Surroundings(), m_case.clump,
        m_case.trouble == Trouble::None ? OpenLoopCallers::Arrivals::Poisson
                                        : OpenLoopCallers::Arrivals::Even);
    After(STARTUP_TIME, [this] {
      m_callers->Start();
    });
    After(STARTUP_TIME + TIME_BEFORE_FAULTS, [this] {
      BeginFaults();
    });
    const bool measures_load = m_case.trouble == Trouble::None;
    const Milliseconds end =
        STARTUP_TIME + TIME_BEFORE_FAULTS + (measures_load ? EVEN_LOAD_DURATION : FAULTS_DURATION);
    After(end, [this] {
      EndFaults();
    });
    After(end + (measures_load ? TIME_AFTER_EVEN_LOAD : TIME_AFTER_FAULTS), [this] {
      g_main_loop_quit(m_loop);
    });
  }

  void StartServers()
  {
    const int count = m_case.trouble == Trouble::None ? EVEN_LOAD_SERVERS : SERVERS;
    for (int i = 0; i < count; ++i)
    {
      Capacity capacity = m_capacity;
      if (i < m_case.slow_servers)
        capacity.work *= 2;
      m_servers.push_back(std::make_unique<QueueingServer>(
          "s" + std::to_string(i), EndpointAt(2, STORE_PORT + i), m_store, capacity, m_counts));
      RequireStarted(static_cast<bool>(m_servers.back()->Start()), "server");
      m_servers.back()->OnLoadChange([this] {
        NoteFreeSlots();
      });
    }
  }

  void NoteFreeSlots()
  {
    if (std::ranges::any_of(m_servers, [](const auto& server) {
          return server->HasFreeSlot();
        }))
      for (const auto& server : m_servers)
        server->NoteFreeSlotElsewhere();
  }

  OpenLoopCallers::Surroundings Surroundings()
  {
    return {[this] {
              return m_daemons->InTouch();
            },
            [this](std::size_t vm) {
              return m_daemons->CallerEndpoint(vm);
            },
            [this] {
              return CurrentLoad() * TotalCapacity();
            },
            m_case.trouble == Trouble::Endless ? std::vector<std::string>{"/plain/x", "/stream/x"}
                                               : std::vector<std::string>{"/plain/x"}};
  }

  double TotalCapacity() const
  {
    return std::accumulate(m_servers.begin(), m_servers.end(), 0.0,
                           [](double sum, const auto& server) {
                             return sum + server->GetCapacity().PerSecond();
                           });
  }

  double CurrentLoad() const
  {
    const bool is_later =
        m_began_at && Common::Now() - *m_began_at >= NOTICE + (FAULTS_DURATION - NOTICE) / 2;
    return is_later && m_case.load_later > 0 ? m_case.load_later : m_case.load;
  }

  void PutConfiguration()
  {
    const auto route = [](const char* name, const char* kind) {
      return Json{{"name", name},
                  {"host", "h"},
                  {"pathPrefix", "/" + std::string(name) + "/"},
                  {"kind", kind},
                  {"timeoutMs", 4000},
                  {"targetLatencyMs", 1000},
                  {"gapAimMs", 300},
                  {"priority", 1},
                  {"service", "pool"},
                  {"maxAttempts", 3},
                  {"resumable", std::string_view(kind) == "streaming"}};
    };
    m_store.Put(
        "op", "config",
        {{"version", 1},
         {"routes", Json::array({route("plain", "idempotent"), route("stream", "streaming")})},
         {"services", Json::array({{{"name", "pool"}, {"maxConns", 200}}})},
         {"limits", {{"idleTimeoutMs", 10000}}}});
  }

  void BeginFaults()
  {
    m_began_at = Common::Now();
    if (m_case.trouble == Trouble::Brittle)
      for (const auto& server : m_servers)
        server->BeginBrittle(REJECTIONS_PER_SECOND, !m_bears_rejections);
    else if (m_case.trouble == Trouble::Cut)
      CutVms();
    else if (m_case.trouble == Trouble::Endless)
      StartEndlessServers();
    else
      BeginLoadMeasurement();
    (this->*m_case.inject)();
  }

  void EndFaults()
  {
    m_ended_at = Common::Now();
    for (const auto& server : m_servers)
    {
      server->EndBrittle();
      server->EndCut();
    }
    if (m_case.trouble == Trouble::None)
      EndLoadMeasurement();
  }

  void BeginLoadMeasurement()
  {
    for (const auto& server : m_servers)
      server->ResetRequests();
    ReadMessagesSent(-1);
  }

  void EndLoadMeasurement()
  {
    m_callers->Stop();
    for (const auto& server : m_servers)
    {
      m_requests.received += server->Requests().received;
      m_requests.rejected += server->Requests().rejected;
      m_requests.waited_beside_free_slot += server->Requests().waited_beside_free_slot;
    }
    ReadMessagesSent(1);
  }

  /// Adds the number of messages that the daemons have sent, times `factor`, to `m_messages_sent`.
  void ReadMessagesSent(int factor)
  {
    constexpr Http::CallTimeouts TIMEOUTS{Milliseconds(800), Milliseconds(800)};
    for (std::size_t vm = 0; vm < m_daemons->Size(); ++vm)
    {
      m_metrics.push_back(std::make_unique<Http::Channel>(m_daemons->MetricsEndpoint(vm)));
      m_metrics.back()->Call(
          {"GET", "/metrics", {}, ""}, TIMEOUTS,
          [this, factor](const Common::Result<Http::CompleteResponse>& response) {
            const auto sent = response ? MessagesSent(response->body) : std::nullopt;
            m_messages_sent += factor * sent.value_or(0);
            m_messages_unknown = m_messages_unknown || !sent;
          });
    }
  }

  static std::optional<double> MessagesSent(const std::string& metrics)
  {
    const std::string name = "drumpond_state{name=\"messages_sent\"} ";
    const std::size_t at = metrics.find(name);
    if (at == std::string::npos)
      return std::nullopt;
    return std::strtod(metrics.c_str() + at + name.size(), nullptr);
  }

  void StartEndlessServers()
  {
    for (int i = 0; i < ENDLESS_KINDS * m_case.copies; ++i)
    {
      m_endless.push_back(
          std::make_unique<EndlessServer>("e" + std::to_string(i), EndpointAt(3, STORE_PORT + i),
                                          m_store, static_cast<EndlessBytes>(i % ENDLESS_KINDS)));
      RequireStarted(static_cast<bool>(m_endless.back()->Start()), "endless server");
    }
  }

  void CutVms()
  {
    StandIns::NetworkCut cut;
    cut.kind = m_case.cut;
    for (std::size_t vm = m_case.spared; vm < m_daemons->Size(); ++vm)
    {
      m_cut_vms.insert(vm);
      cut.addresses.insert(m_daemons->CallerEndpoint(vm).address);
    }
    for (const auto& server : m_servers)
      server->SetCut(cut);
  }

  void InjectNothing() {}

  void KillTwo()
  {
    for (const std::size_t vm : {1U, 3U})
      After(NOTICE + Milliseconds(2000), [this, vm] {
        m_daemons->End(vm, SIGKILL, Milliseconds(2000));
      });
  }

  void EndInTurn(Milliseconds interval, int signal, Milliseconds down_time)
  {
    Repeat(interval, [this, signal, down_time, turn = std::make_shared<std::size_t>(0)] {
      m_daemons->End((*turn)++ % m_daemons->Size(), signal, down_time);
    });
  }
  void RestartInTurn() { EndInTurn(Milliseconds(1800), SIGTERM, Milliseconds(300)); }

  void SuspendInTurn()
  {
    Repeat(Milliseconds(2300), [this, turn = std::make_shared<std::size_t>(0)] {
      m_daemons->Freeze((*turn)++ % m_daemons->Size(), Milliseconds(2000));
    });
  }

  std::optional<std::size_t> Holder() const
  {
    const auto row = Common::ParseJson(m_store.Find("drumpond", "order-lease"));
    return row ? m_daemons->Find(Common::GetOr<std::string>(*row, "holder", "")) : std::nullopt;
  }

  void FreezeHolder()
  {
    After(NOTICE + Milliseconds(2000), [this] {
      if (const auto holder = Holder())
        m_daemons->Freeze(*holder, Milliseconds(5000));
    });
  }

  void SilenceStore()
  {
    After(NOTICE + Milliseconds(1000), [this] {
      m_store.SetFault(Soak::StoreFault::Unresponsive);
      After(Milliseconds(6000), [this] {
        m_store.SetFault(Soak::StoreFault::None);
      });
    });
  }

  void OverlapFaults()
  {
    EndInTurn(Milliseconds(3700), SIGTERM, Milliseconds(300));
    EndInTurn(Milliseconds(5300), SIGKILL, Milliseconds(900));
    FreezeHolder();
    SilenceStore();
  }

  /// True for a request that was sent while the fault was in full effect.
  bool Counts(const Attempt& attempt) const
  {
    return attempt.sent_at >= *m_began_at + NOTICE && attempt.sent_at < *m_ended_at;
  }

  std::vector<std::string> CheckBrittle() const
  {
    std::vector<std::string> violations;
    const Tally tally = Count(m_callers->Ended(), [this](const Attempt& attempt) {
      return Counts(attempt);
    });
    const double seconds = std::chrono::duration<double>(FAULTS_DURATION - NOTICE).count();
    const double possible = TotalCapacity() * seconds;
    std::cout << "falls " << m_counts.falls << ", rejections " << m_counts.rejections << ", served "
              << tally.served << " of " << tally.sent << ", "
              << static_cast<int>(100 * tally.served / possible)
              << " in 100 of the capacity, not served after a long wait " << tally.refused_late
              << "\n";
    constexpr int SERVERS_PER_FALL = 10;
    if (m_counts.falls > 2 + SERVERS / SERVERS_PER_FALL)
      violations.push_back(std::to_string(m_counts.falls) + " falls of brittle servers");
    const double owed = std::min<double>(tally.sent, possible) * m_case.least_served;
    if (tally.served < owed)
      violations.push_back("served " + std::to_string(tally.served) + " where " +
                           std::to_string(static_cast<int>(owed)) + " are owed");
    return violations;
  }

  std::vector<std::string> CheckCut() const
  {
    const Tally cut = Count(m_callers->Ended(), [this](const Attempt& attempt) {
      return Counts(attempt) && m_cut_vms.contains(attempt.vm);
    });
    const Tally others = Count(m_callers->Ended(), [this](const Attempt& attempt) {
      return Counts(attempt) && !m_cut_vms.contains(attempt.vm);
    });
    std::cout << "cut off: served " << cut.served << " of " << cut.sent << ", others "
              << others.served << " of " << others.sent << "\n";
    constexpr double LEAST_RATIO = 2.0 / 3;
    constexpr int FAILURES = 10;
    constexpr int REQUESTS_PER_FAILURE = 50;
    const bool many_fail = cut.NotServed() > FAILURES + cut.sent / REQUESTS_PER_FAILURE;
    if (many_fail && cut.Share() < others.Share() * LEAST_RATIO)
      return {"callers of cut VMs are served far worse than others"};
    return {};
  }

  std::vector<std::string> CheckEndless() const
  {
    const Tally tally = Count(m_callers->Ended(), [this](const Attempt& attempt) {
      return Counts(attempt);
    });
    const auto sent = std::accumulate(m_endless.begin(), m_endless.end(), std::uint64_t{0},
                                      [](std::uint64_t sum, const auto& server) {
                                        return sum + server->Sent();
                                      });
    constexpr std::size_t MB = 1000000;
    std::cout << "served " << tally.served << " of " << tally.sent << ", MB of endless bytes "
              << sent / MB << ", peak memory of the daemons in MB:";
    for (const std::size_t memory : m_peak_memory)
      std::cout << " " << memory / MB;
    std::cout << "\n";
    if (std::ranges::any_of(m_peak_memory, [](std::size_t memory) {
          return memory == 0 || memory > SMALLEST_VM_MB * MB;
        }))
      return {"a daemon ended, or used more memory than the smallest VM has"};
    if (tally.Share() < m_case.least_served)
      return {"callers are not served by the sound servers"};
    return {};
  }

  /// The mean response time relative to that of a single queue in front of all slots.
  double RatioToOneQueue() const
  {
    std::vector<Attempt> attempts = m_callers->Ended();
    std::ranges::sort(attempts, {}, &Attempt::sent_at);
    std::vector<Common::TimePoint> arrivals;
    std::ranges::transform(attempts, std::back_inserter(arrivals), &Attempt::sent_at);
    std::vector<Milliseconds> slots;
    for (const auto& server : m_servers)
      slots.insert(slots.end(), server->GetCapacity().slots, server->GetCapacity().work);
    const auto ideal = ResponseTimesInOneQueue(arrivals, slots);
    double sum = 0;
    double ideal_sum = 0;
    for (std::size_t i = 0; i < attempts.size(); ++i)
      if (attempts[i].sent_at >= *m_began_at)
      {
        sum += static_cast<double>(attempts[i].took.count());
        ideal_sum += static_cast<double>(ideal[i].count());
      }
    return ideal_sum == 0 ? 0 : sum / ideal_sum;
  }

  std::vector<std::string> CheckEvenLoad() const
  {
    constexpr double HIGHEST_SHARE_WAITED = 0.25;
    constexpr double HIGHEST_SHARE_REJECTED = 0.001;
    Tally tally = Count(m_callers->Ended(), [this](const Attempt& attempt) {
      return attempt.sent_at >= *m_began_at;
    });
    tally.sent += static_cast<int>(m_callers->Open());
    const double received = std::max(m_requests.received, 1);
    const double ratio = RatioToOneQueue();
    const double waited = m_requests.waited_beside_free_slot / received;
    const double rejected = m_requests.rejected / received;
    const double seconds = std::chrono::duration<double>(EVEN_LOAD_DURATION).count();
    std::cout << std::fixed << std::setprecision(3) << "ratio to one queue " << ratio
              << ", waited while another server had a free slot " << waited << ", rejected "
              << rejected << ", not served " << tally.NotServed() << " of " << tally.sent
              << ", messages a second " << std::setprecision(0)
              << (m_messages_unknown ? -1 : m_messages_sent / seconds) << "\n";
    std::vector<std::string> violations;
    if (tally.sent == 0)
      violations.emplace_back("no requests were sent");
    if (ratio > m_case.highest_ratio)
      violations.emplace_back("requests take longer than one queue allows");
    if (waited > HIGHEST_SHARE_WAITED)
      violations.emplace_back("requests wait at a server while another has a free slot");
    if (rejected > HIGHEST_SHARE_REJECTED)
      violations.emplace_back("servers reject requests");
    if (tally.NotServed() > 0)
      violations.emplace_back("requests are not served");
    return violations;
  }

  std::vector<std::string> Check() const
  {
    switch (m_case.trouble)
    {
    case Trouble::Brittle:
      return CheckBrittle();
    case Trouble::Cut:
      return CheckCut();
    case Trouble::Endless:
      return CheckEndless();
    case Trouble::None:
      return CheckEvenLoad();
    }
    return {"the case checks nothing"};
  }

  int Report(const std::string& name)
  {
    const auto violations = Check();
    if (violations.empty())
      std::cout << "pass overloaded-" << name << "\n";
    else
      std::cout << "FAIL overloaded-" << name << " : " << violations.front() << "\n";
    return violations.empty() ? 0 : 1;
  }

  Common::Random m_random;
  std::string m_binary;
  std::string m_net;
  std::string m_logs;
  std::optional<std::size_t> m_daemon_count;
  std::optional<double> m_load;
  bool m_bears_rejections;
  Case m_case;
  Capacity m_capacity;
  BrittleCounts m_counts;
  Soak::StandInStore m_store;
  std::vector<std::unique_ptr<QueueingServer>> m_servers;
  std::unique_ptr<DaemonPool> m_daemons;
  std::unique_ptr<OpenLoopCallers> m_callers;
  std::vector<std::unique_ptr<EndlessServer>> m_endless;
  std::vector<std::size_t> m_peak_memory; ///< Of each daemon, in bytes.
  std::set<std::size_t> m_cut_vms;
  RequestCounts m_requests; ///< Of all servers, while even load was measured.
  std::vector<std::unique_ptr<Http::Channel>> m_metrics;
  double m_messages_sent = 0; ///< By all daemons, while even load was measured.
  bool m_messages_unknown = false;
  std::optional<Common::TimePoint> m_began_at;
  std::optional<Common::TimePoint> m_ended_at;
  GMainLoop* m_loop = g_main_loop_new(nullptr, FALSE);
};
} // namespace

int main(int argc, char** argv)
{
  cxxopts::Options options("overloaded-servers",
                           "Servers that are brittle, out of reach or broken");
  options.add_options()("case", "name of the case",
                        cxxopts::value<std::string>()->default_value("brittle-even"))(
      "seed", "seed of the callers", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "daemons", "number of daemons instead of the case's", cxxopts::value<std::size_t>())(
      "load", "offered load instead of the case's",
      cxxopts::value<double>())("bears-rejections", "brittle servers do not crash; the control")(
      "net", "first three octets of the loopback addresses",
      cxxopts::value<std::string>()->default_value("127.42.1"))(
      "logs", "directory for the logs of the daemons",
      cxxopts::value<std::string>()->default_value("build/overloaded-servers"))(
      "binary", "path of the daemon's program",
      cxxopts::value<std::string>()->default_value("build/bin/drumpondd"));
  const auto parsed = options.parse(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  Common::InitLog(argv[0]);
  Common::MuteLog();
  const auto logs = std::filesystem::absolute(parsed["logs"].as<std::string>());
  std::filesystem::create_directories(logs);
  std::optional<std::size_t> daemons;
  if (parsed.count("daemons") > 0)
    daemons = parsed["daemons"].as<std::size_t>();
  std::optional<double> load;
  if (parsed.count("load") > 0)
    load = parsed["load"].as<double>();
  OverloadedServersRun run(std::filesystem::absolute(parsed["binary"].as<std::string>()),
                           parsed["seed"].as<std::uint64_t>(), parsed["net"].as<std::string>(),
                           logs, daemons, load, parsed.count("bears-rejections") > 0);
  return run.Run(parsed["case"].as<std::string>());
}

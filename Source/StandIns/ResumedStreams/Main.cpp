// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Runs real daemons in front of servers of two software versions, with callers that take up broken
// streams at other VMs, and injects the faults of one case. Checks that no stream mixes versions,
// and that streams that are taken up go on as often as new ones begin.

#include <algorithm>
#include <csignal>
#include <filesystem>
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
#include "StandIns/ResumedStreams/DaemonNetwork.h"
#include "StandIns/ResumedStreams/DaemonPool.h"
#include "StandIns/ResumedStreams/StreamCallers.h"
#include "StandIns/Soak/InvariantChecker.h"
#include "StandIns/Soak/StandInServer.h"
#include "StandIns/Soak/StandInStore.h"

namespace
{
using namespace ResumedStreams;
using namespace Soak;
using Common::Json;
using Common::Milliseconds;

constexpr std::size_t DATA_CENTRES = 3;
constexpr int SERVERS_PER_VERSION = 4;
constexpr int CALLERS = 40;
constexpr int MODELS = 14;
constexpr int STORE_PORT = 8300;
constexpr Milliseconds EVENT_INTERVAL{40};
constexpr Milliseconds STARTUP_TIME{4000};
constexpr Milliseconds TIME_BEFORE_FAULTS{1500};
constexpr Milliseconds FAULTS_DURATION{14000};
/// For streams to be taken up after the last fault.
constexpr Milliseconds TIME_AFTER_FAULTS{1500};
/// A VM counts as young for so long after it became ready.
constexpr Milliseconds YOUNG_TIME{1500};
constexpr Milliseconds ROLLOUT_BEGIN{3000};
constexpr Milliseconds ROLLOUT_STEP{800};
constexpr Milliseconds ROLLOUT_DRAIN_BEGIN{8000};
constexpr Milliseconds DRAIN_TIME{2500};
/// How long one VM is out of step, how much later the next one is, and the times after which
/// servers of a new version join, and callers no longer look for the late VM.
constexpr Milliseconds LATE_TIME{3000};
constexpr Milliseconds LATE_INTERVAL{4700};
constexpr Milliseconds JOIN_DELAY{50};
constexpr Milliseconds LOOKED_FOR_TIME{3700};
/// Streams that are taken up go on as often as new ones begin, but for a few.
constexpr double LEAST_SHARE = 0.95;
/// The share under which the users' rule is broken.
constexpr double RULE_SHARE = 0.5;

void RequireStarted(bool done, const char* what)
{
  if (done)
    return;
  std::cerr << "resumed-streams: cannot start the " << what << "\n";
  std::exit(2);
}

class ResumedStreamsRun
{
public:
  ResumedStreamsRun(const std::string& binary, std::uint64_t seed, std::size_t daemons,
                    std::string net, std::string logs, bool models)
      : m_random(seed),
        m_net(std::move(net)),
        m_logs(std::move(logs)),
        m_daemons(binary, m_net, m_logs, daemons, DATA_CENTRES),
        m_models(models ? MODELS : 0)
  {
  }

  /// Runs the case; returns the exit status.
  int Run(const std::string& name)
  {
    const auto found = Cases().find(name);
    RequireStarted(found != Cases().end(), "case: its name is unknown");
    Start(found->second);
    g_main_loop_run(m_loop);
    m_callers->Stop();
    m_daemons.KillAll();
    return Report(name);
  }

private:
  struct Case
  {
    void (ResumedStreamsRun::*inject)();
    CallerHabits habits;
    bool rolls_out = false;
    bool prefers_young_vms = false;
    bool asks_for_models = false;
    double least_share = LEAST_SHARE;
    std::optional<NetworkCut> cut = {}; ///< For cases with a VM out of step; none: it stands still.
  };

  static const std::map<std::string, Case>& Cases()
  {
    using Run = ResumedStreamsRun;
    const CallerHabits usual;
    CallerHabits slow;
    slow.longest_pause = Milliseconds(2500);
    CallerHabits chains;
    chains.leaves = 4;
    chains.leave_percent = 75;
    chains.leaves_early = true;
    CallerHabits twice;
    twice.takes_up_twice = true;
    CallerHabits often = chains;
    often.leaves_early = false;
    often.longest_pause = Milliseconds(150); // So that entries are still young at take-ups.
    const auto late = [often](std::optional<NetworkCut> cut) {
      return Case{&Run::PutOutOfStepInTurn, often, false, false, false, RULE_SHARE, cut};
    };
    static const std::map<std::string, Case> CASES{
        {"quiet", {&Run::InjectNothing, usual}},
        {"origin-killed", {&Run::KillOrigins, usual}},
        {"origin-stopped", {&Run::StopOrigins, usual}},
        {"origin-frozen", {&Run::FreezeOrigins, usual}},
        {"holder-frozen", {&Run::FreezeHolder, usual}},
        {"holder-killed", {&Run::KillHolder, usual}},
        {"store-silent", {&Run::SilenceStore, usual}},
        {"rolling-restart", {&Run::RestartAll, usual}},
        {"rollout", {&Run::InjectNothing, slow, true}},
        {"rollout-and-kills", {&Run::KillOrigins, slow, true}},
        {"young-vm", {&Run::KillOrigins, usual, false, true}},
        {"chains", {&Run::KillOrigins, chains}},
        {"same-id-twice", {&Run::KillOrigins, twice}},
        {"models", {&Run::InjectNothing, usual, false, false, true}},
        {"models-and-kills", {&Run::KillOrigins, usual, false, false, true}},
        {"overlapping", {&Run::OverlapFaults, usual}},
        {"all-killed", {&Run::KillAllAtOnce, usual}},
        {"rollout-and-all-killed", {&Run::KillAllAfterRollout, usual, true}},
        {"late-others", late(NetworkCut{false, false, false})},
        {"late-store", late(NetworkCut{true, true, true})},
        {"late-all", late(NetworkCut{true, false, false})},
        {"late-deaf", late(NetworkCut{true, false, true})},
        {"late-mute", late(NetworkCut{true, true, false})},
        {"late-deaf-to-others", late(NetworkCut{false, false, true})},
        {"late-mute-to-others", late(NetworkCut{false, true, false})},
        {"late-frozen", late(std::nullopt)},
    };
    return CASES;
  }

  static void After(Milliseconds delay, std::function<void()> callback)
  {
    Common::Reactor::Get().After(delay, std::move(callback));
  }
  std::uint64_t Draw(std::uint64_t bound) { return m_random() % bound; }
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

  void Start(const Case& chosen)
  {
    const Http::Endpoint store = EndpointAt(1, STORE_PORT);
    if (chosen.asks_for_models)
      m_models = MODELS;
    RequireStarted(static_cast<bool>(m_store.Listen(store)), "store");
    const bool has_late_vms = chosen.inject == &ResumedStreamsRun::PutOutOfStepInTurn;
    StartServers(0);
    if (!chosen.rolls_out && !has_late_vms)
      StartServers(1);
    PutConfiguration();
    if (has_late_vms)
      TranslateAddresses(store);
    m_cut = chosen.cut;
    m_least_share = chosen.least_share;
    m_daemons.Start(store);
    m_prefers_young_vms = chosen.prefers_young_vms;
    CallerHabits habits = chosen.habits;
    habits.models = m_models;
    m_callers = std::make_unique<StreamCallers>(Common::Random(m_random()), Surroundings(), habits,
                                                m_checker);
    After(STARTUP_TIME, [this] {
      m_callers->Start(CALLERS);
    });
    const auto faults_begin = STARTUP_TIME + TIME_BEFORE_FAULTS;
    After(faults_begin, [this, chosen] {
      if (chosen.rolls_out)
        RollOut();
      (this->*chosen.inject)();
    });
    After(faults_begin + FAULTS_DURATION + TIME_AFTER_FAULTS, [this] {
      g_main_loop_quit(m_loop);
    });
  }

  void TranslateAddresses(const Http::Endpoint& store)
  {
    m_network = std::make_unique<DaemonNetwork>(store);
    m_daemons.Translate([this](const std::string& ip, const Http::Endpoint& messages) {
      const auto addresses = m_network->Add(ip, messages);
      RequireStarted(static_cast<bool>(addresses), "network");
      return *addresses;
    });
  }

  CallerSurroundings Surroundings()
  {
    return {[this](const std::string& version) {
              return DrawVm(version);
            },
            [this](std::size_t vm) {
              return m_daemons.CallerEndpoint(vm);
            },
            [this](std::size_t vm) {
              return m_daemons.Faults(vm);
            },
            [this](const std::string& version) {
              return static_cast<int>(std::ranges::count_if(m_servers, [&](const auto& server) {
                return server->IsReady() && (version.empty() || server->Version() == version);
              }));
            },
            [this](const std::string& id, std::size_t vm, const std::string& version) {
              if (vm == m_late_vm && IsOfNewestVersion(version))
                m_checker.NoteAtLateVm(id);
            }};
  }

  /// False for an empty version.
  bool IsOfNewestVersion(const std::string& version) const
  {
    return version == m_servers.back()->Version();
  }

  std::optional<std::size_t> DrawVm(const std::string& version)
  {
    if (m_late_vm && IsOfNewestVersion(version) && Draw(2) == 0)
      return m_late_vm;
    const bool taken_up = !version.empty();
    const auto in_touch = m_daemons.InTouch();
    std::vector<std::size_t> preferred;
    std::ranges::copy_if(in_touch, std::back_inserter(preferred), [&](std::size_t vm) {
      return m_prefers_young_vms && taken_up &&
             Common::Now() < m_daemons.ReadySince(vm) + YOUNG_TIME;
    });
    const auto& choices = preferred.empty() ? in_touch : preferred;
    if (choices.empty())
      return std::nullopt;
    return choices[Draw(choices.size())];
  }

  void StartServers(std::size_t version)
  {
    for (int i = 0; i < SERVERS_PER_VERSION; ++i)
      StartServer(version);
  }

  void StartServer(std::size_t version)
  {
    std::vector<std::string> models;
    models.reserve(static_cast<std::size_t>(m_models));
    for (int i = 0; i < m_models; ++i)
      models.push_back("m" + std::to_string(i));
    const std::size_t number = m_servers.size();
    auto server = std::make_unique<StandInServer>(
        "s" + std::to_string(number), EndpointAt(2, STORE_PORT + static_cast<int>(number)), m_store,
        m_invariants, std::move(models));
    server->RunSoftware("v" + std::to_string(version + 1),
                        DaemonPool::DataCentre(number % DATA_CENTRES));
    server->SetEventInterval(EVENT_INTERVAL);
    RequireStarted(static_cast<bool>(server->Listen()), "server");
    m_servers.push_back(std::move(server));
  }

  void PutConfiguration()
  {
    Json models = Json::array();
    for (int i = 0; i < m_models; ++i)
      models.push_back({{"name", "m" + std::to_string(i)},
                        {"weightsMb", 70},
                        {"loadS", 2},
                        {"diskS", 0.2},
                        {"warmS", 0.1}});
    const Json route = {{"name", "stream"},         {"host", "h"},
                        {"pathPrefix", "/stream/"}, {"kind", "streaming"},
                        {"timeoutMs", 4000},        {"targetLatencyMs", 300},
                        {"gapAimMs", 100},          {"priority", 1},
                        {"service", "pool"},        {"maxAttempts", 2},
                        {"sticky", m_models > 0},   {"resumable", true}};
    Json service = {{"name", "pool"}, {"maxConns", 200}};
    if (m_models > 0)
      service["engine"] = {{"slots", 16},
                           {"weightsMb", 150},
                           {"adapterSlots", 0},
                           {"loadsPerS", 3},
                           {"models", models}};
    m_store.Put("op", "config",
                {{"version", 1},
                 {"routes", Json::array({route})},
                 {"services", Json::array({service})},
                 {"limits", {{"idleTimeoutMs", 10000}}}});
  }

  void InjectNothing() {}

  /// Ends the VMs one after the other, in a random order.
  void EndInTurn(Milliseconds interval, int signal, Milliseconds down_time)
  {
    std::vector<std::size_t> order(m_daemons.Size());
    std::iota(order.begin(), order.end(), 0);
    std::ranges::shuffle(order, m_random);
    Repeat(interval, [this, order, signal, down_time, turn = std::make_shared<std::size_t>(0)] {
      m_daemons.End(order[(*turn)++ % order.size()], signal, down_time);
    });
  }
  void KillOrigins() { EndInTurn(Milliseconds(1200), SIGKILL, Milliseconds(600)); }
  void StopOrigins() { EndInTurn(Milliseconds(1500), SIGTERM, Milliseconds(300)); }
  void RestartAll() { EndInTurn(Milliseconds(600), SIGTERM, Milliseconds(0)); }

  std::optional<std::size_t> Holder() const
  {
    const auto row = Common::ParseJson(m_store.Find("drumpond", "order-lease"));
    return row ? m_daemons.Find(Common::GetOr<std::string>(*row, "holder", "")) : std::nullopt;
  }

  void FreezeOrigins()
  {
    Repeat(Milliseconds(1900), [this] {
      auto vms = m_daemons.InTouch();
      std::erase_if(vms, [this](std::size_t vm) {
        return vm == Holder();
      });
      if (!vms.empty())
        m_daemons.Freeze(vms[Draw(vms.size())], Milliseconds(4000));
    });
  }

  void FreezeHolder()
  {
    Repeat(Milliseconds(7500), [this] {
      if (const auto holder = Holder())
        m_daemons.Freeze(*holder, Milliseconds(6000));
    });
  }

  void KillHolder()
  {
    Repeat(Milliseconds(3000), [this] {
      if (const auto holder = Holder())
        m_daemons.End(*holder, SIGKILL, Milliseconds(1000));
    });
  }

  void SilenceStore()
  {
    Repeat(Milliseconds(9000), [this] {
      m_store.SetFault(StoreFault::Unresponsive);
      After(Milliseconds(8000), [this] {
        m_store.SetFault(StoreFault::None);
      });
    });
  }

  void OverlapFaults()
  {
    EndInTurn(Milliseconds(2900), SIGKILL, Milliseconds(600));
    EndInTurn(Milliseconds(3700), SIGTERM, Milliseconds(300));
    FreezeHolder();
    SilenceStore();
  }

  /// Servers of the second version appear one after the other; later those of the first go.
  void RollOut()
  {
    for (int i = 0; i < SERVERS_PER_VERSION; ++i)
    {
      After(ROLLOUT_BEGIN + i * ROLLOUT_STEP, [this] {
        StartServer(1);
      });
      After(ROLLOUT_DRAIN_BEGIN + i * ROLLOUT_STEP, [this, i] {
        m_servers[static_cast<std::size_t>(i)]->Drain();
      });
      After(ROLLOUT_DRAIN_BEGIN + i * ROLLOUT_STEP + DRAIN_TIME, [this, i] {
        m_servers[static_cast<std::size_t>(i)]->Retire();
      });
    }
  }

  void KillAll()
  {
    for (std::size_t vm = 0; vm < m_daemons.Size(); ++vm)
      m_daemons.End(vm, SIGKILL, Milliseconds(300));
  }

  void KillAllAtOnce()
  {
    Repeat(Milliseconds(4500), [this] {
      KillAll();
    });
  }

  /// The last server of the first version has gone shortly before.
  void KillAllAfterRollout()
  {
    const auto rolled_out =
        ROLLOUT_DRAIN_BEGIN + (SERVERS_PER_VERSION - 1) * ROLLOUT_STEP + DRAIN_TIME;
    After(rolled_out + Milliseconds(500), [this] {
      KillAll();
    });
  }

  /// One VM after the other is out of step while servers of a version of their own join; streams of
  /// that version are often taken up there.
  void PutOutOfStepInTurn()
  {
    std::vector<std::size_t> order(m_daemons.Size());
    std::iota(order.begin(), order.end(), 0);
    std::ranges::shuffle(order, m_random);
    for (std::size_t turn = 0; turn < order.size(); ++turn)
    {
      const auto at = turn * LATE_INTERVAL;
      if (at + LOOKED_FOR_TIME > FAULTS_DURATION)
        return;
      After(at, [this, vm = order[turn]] {
        PutOutOfStep(vm);
      });
      After(at + JOIN_DELAY, [this, turn, vm = order[turn]] {
        StartServers(turn + 1);
        m_late_vm = vm;
      });
      After(at + LOOKED_FOR_TIME, [this] {
        m_late_vm.reset();
      });
    }
  }

  void PutOutOfStep(std::size_t vm)
  {
    std::cout << "vm-" << vm << (Holder() == vm ? " (holder)" : "") << " is late; ";
    if (!m_cut)
    {
      m_daemons.Freeze(vm, LATE_TIME);
      return;
    }
    m_network->Cut(vm, *m_cut);
    After(LATE_TIME, [this] {
      m_network->EndCut();
    });
  }

  int Report(const std::string& name)
  {
    std::cout << m_checker.Describe(m_logs) << "\n";
    auto violations = m_checker.Violations(m_least_share);
    std::ranges::copy(m_invariants.Violations(), std::back_inserter(violations));
    if (!m_checker.HasEnough())
      violations.emplace_back("too few streams to show anything");
    if (!m_checker.Violations(RULE_SHARE).empty())
      std::cout << "the users' rule is broken\n";
    if (violations.empty())
      std::cout << "pass resumed-" << name << "\n";
    else
      std::cout << "FAIL resumed-" << name << " : " << violations.front() << "\n";
    return violations.empty() ? 0 : 1;
  }

  Common::Random m_random;
  std::string m_net;
  std::string m_logs;
  DaemonPool m_daemons;
  int m_models;
  InvariantChecker m_invariants;
  ResumptionChecker m_checker;
  StandInStore m_store;
  std::unique_ptr<DaemonNetwork> m_network; ///< In cases with VMs out of step.
  std::optional<NetworkCut> m_cut;          ///< Of a VM out of step; none: it stands still.
  std::optional<std::size_t> m_late_vm;     ///< Once servers of a new version have joined.
  double m_least_share = LEAST_SHARE;
  std::vector<std::unique_ptr<StandInServer>> m_servers;
  std::unique_ptr<StreamCallers> m_callers;
  bool m_prefers_young_vms = false;
  GMainLoop* m_loop = g_main_loop_new(nullptr, FALSE);
};
} // namespace

int main(int argc, char** argv)
{
  cxxopts::Options options("resumed-streams", "Streams that callers take up while VMs fail");
  options.add_options()("case", "name of the case",
                        cxxopts::value<std::string>()->default_value("quiet"))(
      "seed", "seed of callers and faults", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "daemons", "number of daemons", cxxopts::value<std::size_t>()->default_value("6"))(
      "models", "streams ask for models")("net", "first three octets of the loopback addresses",
                                          cxxopts::value<std::string>()->default_value("127.41.1"))(
      "logs", "directory for the logs of the daemons",
      cxxopts::value<std::string>()->default_value("build/resumed-streams"))(
      "binary", "path of the daemon's program",
      cxxopts::value<std::string>()->default_value("build/bin/drumpondd"));
  const auto parsed = options.parse(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  Common::InitLog(argv[0]);
  Common::MuteLog();
  const auto logs = std::filesystem::absolute(parsed["logs"].as<std::string>());
  std::filesystem::create_directories(logs);
  ResumedStreamsRun run(std::filesystem::absolute(parsed["binary"].as<std::string>()),
                        parsed["seed"].as<std::uint64_t>(), parsed["daemons"].as<std::size_t>(),
                        parsed["net"].as<std::string>(), logs, parsed.count("models") > 0);
  return run.Run(parsed["case"].as<std::string>());
}

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// A randomized soak of the real daemons on the platform's face: separate processes on one machine,
// stand-ins for the store, the backend servers and the callers in this one, and faults from outside
// the daemons. What callers and backend servers see is checked while it runs. One seed gives one
// series of faults.

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <vector>

#include <arpa/inet.h>
#include <cxxopts.hpp>
#include <glib.h>

#include "Common/Json.h"
#include "Common/Log.h"
#include "Common/Loop.h"
#include "Common/Random.h"
#include "Http/Channel.h"
#include "ScenarioRunner/Processes.h"
#include "ScenarioRunner/Relay.h"
#include "StandIns/Soak/Ledger.h"
#include "StandIns/Soak/StandInServer.h"
#include "StandIns/Soak/StandInStore.h"

namespace
{
using namespace Soak;
using Common::Json;
using Common::Milliseconds;

constexpr int SERVERS = 4;
/// More than there are places; the first are asked for the most.
constexpr int MODELS = 10;
/// Places for models on all servers; after the faults no more models are asked for.
constexpr int PLACES_IN_ALL = 8;
constexpr int FIRST_PORT = 8300;
constexpr Milliseconds START_TIME{3000};
constexpr Milliseconds CALM_BEFORE_CHECK{9000};
constexpr Milliseconds CHECK_TIME{2500};
constexpr Milliseconds REQUEST_GAP{12};
/// Different requests that end the servers that run them, and the time between two of them.
constexpr int CRASHERS = 3;
constexpr Milliseconds CRASHER_GAP{170};
constexpr Milliseconds CALM_BEFORE_CRASHERS{2000};
/// Requests a second that servers name, some of them near or at nothing.
constexpr std::array LIMITS{0.0, 0.5, 1.0, 1.1, 3.0};
/// How often a killed process is looked for.
constexpr Milliseconds END_POLL{20};
/// A link of 10 Mbit/s, as the weaker VMs have it.
constexpr std::int64_t WEAK_LINK_BYTES_PER_MS = 1250;
/// Of the first configuration, and how many each change adds. Over a weak link the first takes 0.8
/// s and each change 0.15 s more.
constexpr int FIRST_ROUTES = 3500;
constexpr int MORE_ROUTES = 700;
constexpr int STATUS_OK = 200;
constexpr double MS_PER_S = 1000;
constexpr Http::Patience CALLER_PATIENCE{Milliseconds(6000), Milliseconds(6000)};
/// After the faults, so many of 100 requests are served.
constexpr std::int64_t SERVED_AFTER_FAULTS = 95;

struct DaemonSlot
{
  std::string name;
  std::string ip;
  int pid = 0;
  bool expected_to_run = true;
  bool paused_in_stop = false;
  std::unique_ptr<ScenarioRunner::Relay> store_path;
  std::unique_ptr<Http::Channel> callers;
};

class SoakRun
{
public:
  SoakRun(std::string binary, std::uint64_t seed, int daemons, std::string net, std::string logs)
      : m_random(seed),
        m_binary(std::move(binary)),
        m_net(std::move(net)),
        m_logs(std::move(logs)),
        m_processes(m_logs)
  {
    std::filesystem::create_directories(m_logs);
    m_daemons.resize(static_cast<std::size_t>(daemons));
  }

  void RestartServersUnderTheirId() { m_restarts_under_id = true; }
  void SendCrashingRequests() { m_crashers = CRASHERS; }
  /// Crashing requests come when others have run to a good end.
  void DelayCrashingRequests() { m_crashers_after = CALM_BEFORE_CRASHERS; }
  void LimitServers() { m_limits_servers = true; }
  void LetServersLeaveAndBackOff() { m_servers_leave = true; }

  int Run(Milliseconds faults_for)
  {
    Start();
    After(START_TIME, [this] {
      SendRequests();
    });
    After(START_TIME + m_crashers_after, [this] {
      SendCrasher();
    });
    After(START_TIME, [this, faults_for] {
      m_faults_until = Common::Now() + faults_for;
      NextFault();
      if (m_limits_servers)
        LimitAServer();
      if (m_servers_leave)
        LetAServerLeaveOrBackOff();
    });
    const auto calm = START_TIME + faults_for;
    After(calm, [this] {
      CalmDown();
    });
    After(calm + CALM_BEFORE_CHECK, [this] {
      m_ledger.ResetCounts();
      AskForNewestRoute();
    });
    After(calm + CALM_BEFORE_CHECK + CHECK_TIME, [this] {
      Judge();
    });
    g_main_loop_run(m_loop);
    m_processes.KillAll();
    std::cout << m_ledger.DescribeCrashers();
    if (m_limits_servers)
      std::cout << m_ledger.LimitedArrivals() << " requests at servers whose limit was known\n";
    if (m_servers_leave)
      std::cout << m_ledger.ToldOfLeaving() << " times a daemon was told that a server leaves, "
                << m_ledger.ToldToBackOff() << " times that it wants no requests\n";
    std::cout << m_ledger.Orders() << " orders, " << m_fault_count << " faults, "
              << m_ledger.Broken().size() << " broken\n";
    return m_ledger.Broken().empty() ? 0 : 1;
  }

private:
  void After(Milliseconds delay, std::function<void()> callback)
  {
    Common::Reactor::Get().After(delay, std::move(callback));
  }
  std::uint64_t Draw(std::uint64_t bound) { return m_random() % bound; }
  Milliseconds DrawMs(std::uint64_t least, std::uint64_t most)
  {
    return Milliseconds(least + Draw(most - least));
  }
  DaemonSlot& AnyDaemon() { return m_daemons[Draw(m_daemons.size())]; }
  StandInServer& AnyServer() { return *m_servers[Draw(m_servers.size())]; }

  Http::Endpoint At(const std::string& ip, int port)
  {
    return *Http::Endpoint::Parse(ip + ":" + std::to_string(port));
  }

  void Start()
  {
    const std::string store_ip = m_net + ".1";
    Must(static_cast<bool>(m_store.Listen(At(store_ip, FIRST_PORT))), "store");
    std::vector<std::string> models;
    models.reserve(MODELS);
    for (int i = 0; i < MODELS; ++i)
      models.push_back("m" + std::to_string(i));
    for (int i = 0; i < SERVERS; ++i)
    {
      m_servers.push_back(std::make_unique<StandInServer>(
          "s" + std::to_string(i), At(m_net + ".2", FIRST_PORT + i), m_store, m_ledger, models));
      Must(static_cast<bool>(m_servers.back()->Listen()), "server");
    }
    PutConfiguration();
    for (std::size_t i = 0; i < m_daemons.size(); ++i)
      StartDaemon(i, store_ip);
  }

  void StartDaemon(std::size_t index, const std::string& store_ip)
  {
    DaemonSlot& daemon = m_daemons[index];
    daemon.name = "vm-" + std::to_string(index);
    daemon.ip = m_net + "." + std::to_string(10 + index);
    const std::string path_ip = m_net + "." + std::to_string(100 + index);
    daemon.store_path = std::make_unique<ScenarioRunner::Relay>(
        path_ip + ":" + std::to_string(FIRST_PORT), store_ip + ":" + std::to_string(FIRST_PORT));
    Must(static_cast<bool>(daemon.store_path->Open()), "relay");
    if (index % 2 == 1)
      daemon.store_path->SetRate(WEAK_LINK_BYTES_PER_MS);
    daemon.callers = std::make_unique<Http::Channel>(At(daemon.ip, FIRST_PORT + 1));
    const Json settings = {{"nodeName", daemon.name},
                           {"zone", "z1"},
                           {"portRange", {FIRST_PORT + 4, FIRST_PORT + 9}},
                           {"listen",
                            {{"front", daemon.ip + ":" + std::to_string(FIRST_PORT + 1)},
                             {"ready", daemon.ip + ":" + std::to_string(FIRST_PORT + 2)}}},
                           {"bounds", {{"graceS", 3}, {"leaseMs", 3000}, {"budgetSlack", 100}}},
                           {"platform", {{"address", path_ip + ":" + std::to_string(FIRST_PORT)}}}};
    std::ofstream(m_logs + "/" + daemon.name + ".json") << settings.dump();
    Launch(daemon);
  }

  void Launch(DaemonSlot& daemon)
  {
    setenv("DRUMPOND_BOOT", (m_logs + "/" + daemon.name + ".json").c_str(), 1);
    setenv("DRUMPOND_METRICS_PORT", std::to_string(FIRST_PORT + 3).c_str(), 1);
    daemon.pid = m_processes.Start(daemon.name, {m_binary});
    daemon.expected_to_run = true;
  }

  static void Must(bool done, const char* what)
  {
    if (done)
      return;
    std::cerr << "soak: cannot start the " << what << "\n";
    std::exit(2);
  }

  /// Names that do not follow from each other, so that changes stay long when they are compressed.
  static std::string PrefixOf(int number)
  {
    constexpr std::uint64_t SPREADER = 0x9E3779B97F4A7C15; // 2^64 over the golden ratio.
    std::string prefix(1, '/');
    prefix.append(std::to_string(static_cast<std::uint64_t>(number) * SPREADER));
    prefix.push_back('/');
    return prefix;
  }

  void PutConfiguration()
  {
    const auto route = [&](const std::string& prefix, const char* kind, int attempts, bool model,
                           bool resumable) {
      return Json{{"name", prefix},       {"host", "h"},
                  {"pathPrefix", prefix}, {"kind", kind},
                  {"timeoutMs", 4000},    {"targetLatencyMs", 300},
                  {"gapAimMs", 100},      {"priority", 1},
                  {"service", "pool"},    {"maxAttempts", attempts},
                  {"sticky", model},      {"resumable", resumable}};
    };
    Json models = Json::array();
    for (int i = 0; i < MODELS; ++i)
      models.push_back({{"name", "m" + std::to_string(i)},
                        {"weightsMb", 70},
                        {"loadS", 2},
                        {"diskS", 0.2},
                        {"warmS", 0.1}});
    Json routes = {route("/plain/", "idempotent", 2, false, false),
                   route("/once/", "non_idempotent", 1, false, false),
                   route("/stream/", "streaming", 2, true, true),
                   route("/one/", "streaming", 1, true, false)};
    const int more = FIRST_ROUTES + MORE_ROUTES * static_cast<int>(m_configuration);
    for (int i = 0; i < more; ++i)
      routes.push_back(route(PrefixOf(i), "idempotent", 2, false, false));
    m_newest_path = PrefixOf(more - 1) + "x";
    m_store.Put("op", "config",
                {{"version", ++m_configuration},
                 {"routes", routes},
                 {"services",
                  {{{"name", "pool"},
                    {"maxConns", 200},
                    {"engine",
                     {{"slots", 16},
                      {"weightsMb", 150},
                      {"adapterSlots", 0},
                      {"loadsPerS", 3},
                      {"models", models}}}}}},
                 {"limits", {{"idleTimeoutMs", 10000}}}});
  }

  void SendRequests()
  {
    if (m_stopped)
      return;
    SendOne();
    After(REQUEST_GAP, [this] {
      SendRequests();
    });
  }

  void SendOne()
  {
    DaemonSlot& daemon = AnyDaemon();
    if (!daemon.expected_to_run)
      return;
    const auto type = static_cast<RequestType>(Draw(4));
    static const char* const PATHS[] = {"/plain/x", "/once/x", "/stream/x", "/one/x"};
    const std::string id = "r" + std::to_string(++m_request_count);
    Http::WholeRequest request{"POST",
                               PATHS[static_cast<int>(type)],
                               {{"Host", "h"}, {"Attempt-Id", id}, {"Time-Left-Ms", "4000"}},
                               "body"};
    if (type == RequestType::Stream || type == RequestType::OnceStream)
      request.headers.push_back(
          {"Model", "m" + std::to_string(std::min(Draw(m_models), Draw(m_models)))});
    m_ledger.NoteSent(id, type, daemon.name);
    daemon.callers->Call(request, CALLER_PATIENCE,
                         [this, id](Common::Result<Http::WholeAnswer> answer) {
                           if (answer)
                             m_ledger.NoteAnswer(id, answer->status, answer->body);
                           else
                             m_ledger.NoteAnswer(id, 0, "");
                         });
  }

  /// The same requests again and again, at any daemon, each time under a fresh id. They are no part
  /// of what has to be served.
  void SendCrasher()
  {
    if (m_stopped || m_crashers == 0)
      return;
    DaemonSlot& daemon = AnyDaemon();
    const auto number = Draw(static_cast<std::uint64_t>(m_crashers));
    const std::string id = "c" + std::to_string(++m_request_count);
    const bool is_plain = number == 0;
    Http::WholeRequest request{
        "POST",
        is_plain ? "/plain/x" : "/stream/x",
        {{"Host", "h"}, {"Attempt-Id", id}, {"Time-Left-Ms", "4000"}},
        std::string(StandInServer::CRASHER_PREFIX).append(std::to_string(number))};
    if (!is_plain)
      request.headers.push_back({"Model", "m" + std::to_string(number - 1)});
    m_ledger.NoteSent(id, is_plain ? RequestType::Plain : RequestType::Stream, daemon.name);
    if (daemon.expected_to_run)
      daemon.callers->Call(request, CALLER_PATIENCE, [](const auto&) {});
    After(CRASHER_GAP, [this] {
      SendCrasher();
    });
  }

  void NextFault()
  {
    CheckProcesses();
    if (Common::Now() >= m_faults_until)
      return;
    ++m_fault_count;
    Strike();
    // Between faults all daemons get in touch again, so that what must hold then is seen.
    const auto pause = m_crashers == 0 ? DrawMs(150, 1200) : DrawMs(150, 6000);
    After(pause, [this] {
      NextFault();
    });
  }

  void Strike()
  {
    switch (Draw(11))
    {
    case 0:
      StopAndRestart(AnyDaemon(), SIGKILL);
      break;
    case 1:
      StopAndRestart(AnyDaemon(), SIGTERM);
      break;
    case 2:
      Pause(AnyDaemon());
      break;
    case 3:
      m_processes.Signal(AnyDaemon().pid, SIGHUP);
      PutConfiguration();
      break;
    case 4:
      SetStoreFor(static_cast<StoreMood>(1 + Draw(3)), DrawMs(300, 5000));
      break;
    case 5:
      m_store.DropHistory();
      break;
    case 6:
      CutFromStore(AnyDaemon());
      break;
    case 7:
      RestartServer(AnyServer());
      break;
    case 8:
      DrainAndReplace(AnyServer());
      break;
    default:
      SetServerFor(AnyServer(), static_cast<ServerMood>(1 + Draw(4)), DrawMs(300, 5000));
    }
  }

  /// Now this, now that server takes only so many requests a second; it is asked for more.
  void LimitAServer()
  {
    if (m_stopped || Common::Now() >= m_faults_until)
      return;
    StandInServer& server = AnyServer();
    server.SetLimit(LIMITS[Draw(LIMITS.size())]);
    After(DrawMs(5000, 12000), [&server] {
      server.SetLimit(std::nullopt);
    });
    After(DrawMs(1500, 4000), [this] {
      LimitAServer();
    });
  }

  /// Now one server leaves, whose entry still calls it ready, now one rejects everything for a
  /// while and names a time.
  void LetAServerLeaveOrBackOff()
  {
    if (m_stopped || Common::Now() >= m_faults_until)
      return;
    StandInServer& server = AnyServer();
    if (Draw(2) == 0)
    {
      server.AnnounceEnd();
      After(DrawMs(2500, 6000), [&server] {
        server.Restart();
      });
    }
    else
    {
      server.SetRetryAfter(static_cast<double>(DrawMs(1500, 3000).count()) / MS_PER_S);
      SetServerFor(server, ServerMood::Sheds, DrawMs(500, 5000));
    }
    After(DrawMs(1500, 4000), [this] {
      LetAServerLeaveOrBackOff();
    });
  }

  /// One line a signal, so that a failed run shows what met what.
  void Trace(const char* what, const DaemonSlot& daemon) const
  {
    const auto at = std::chrono::duration_cast<Milliseconds>(Common::Now() - m_started_at);
    std::cout << at.count() << " ms " << what << " " << daemon.name << " pid " << daemon.pid
              << "\n";
  }

  void StopAndRestart(DaemonSlot& daemon, int signal)
  {
    if (!daemon.expected_to_run)
      return;
    Trace(signal == SIGTERM ? "stop" : "kill", daemon);
    m_ledger.NoteDisturbance(Common::Now() + Milliseconds(3600) + START_TIME);
    m_ledger.NoteDaemonDisturbance(daemon.name, Common::Now() + Milliseconds(3600) + START_TIME);
    m_ledger.NoteDaemonStop(daemon.name, Common::Now() + Milliseconds(3600));
    m_processes.Signal(daemon.pid, SIGCONT);
    m_processes.Signal(daemon.pid, signal);
    daemon.expected_to_run = false;
    daemon.paused_in_stop = false;
    const auto away = signal == SIGTERM ? Milliseconds(3600) : DrawMs(100, 1500);
    After(away, [this, &daemon] {
      EndAndLaunch(daemon);
    });
  }

  /// As the platform does: who has not stopped in its grace time is killed. A process that stood
  /// still meanwhile could not stop; any other breaks its promise.
  void EndAndLaunch(DaemonSlot& daemon)
  {
    if (m_processes.ExitStatus(daemon.pid))
    {
      Launch(daemon);
      return;
    }
    if (!daemon.paused_in_stop)
      m_ledger.Break("did not stop in its grace time: " + daemon.name);
    m_processes.Signal(daemon.pid, SIGKILL);
    After(END_POLL, [this, &daemon] {
      EndAndLaunch(daemon);
    });
  }

  void Pause(DaemonSlot& daemon)
  {
    Trace("pause", daemon);
    daemon.paused_in_stop = !daemon.expected_to_run;
    m_processes.Signal(daemon.pid, SIGSTOP);
    const auto span = DrawMs(100, 6000);
    m_ledger.NoteDisturbance(Common::Now() + span);
    m_ledger.NoteDaemonDisturbance(daemon.name, Common::Now() + span);
    m_ledger.NoteDaemonStop(daemon.name, Common::Now() + span);
    After(span, [this, pid = daemon.pid] {
      m_processes.Signal(pid, SIGCONT);
    });
  }

  void RestartServer(StandInServer& server)
  {
    if (m_restarts_under_id && Draw(2) == 0)
      server.RestartUnderItsId(DrawMs(0, 1000));
    else
      server.Restart();
  }

  void SetStoreFor(StoreMood mood, Milliseconds span)
  {
    m_store.SetMood(mood);
    m_ledger.NoteDisturbance(Common::Now() + span);
    After(span, [this] {
      m_store.SetMood(StoreMood::Well);
    });
  }

  void CutFromStore(DaemonSlot& daemon)
  {
    daemon.store_path->SetCut(true);
    const auto span = DrawMs(300, 6000);
    m_ledger.NoteDisturbance(Common::Now() + span);
    m_ledger.NoteDaemonDisturbance(daemon.name, Common::Now() + span);
    After(span, [&daemon] {
      daemon.store_path->SetCut(false);
    });
  }

  void DrainAndReplace(StandInServer& server)
  {
    server.Drain();
    After(DrawMs(1000, 3000), [&server] {
      server.Restart();
    });
  }

  void SetServerFor(StandInServer& server, ServerMood mood, Milliseconds span)
  {
    server.SetMood(mood);
    After(span, [&server] {
      server.SetMood(ServerMood::Well);
    });
  }

  void CheckProcesses()
  {
    for (const DaemonSlot& daemon : m_daemons)
      if (daemon.expected_to_run && m_processes.ExitStatus(daemon.pid))
        m_ledger.Break("ended by itself: " + daemon.name);
  }

  /// The last change was made long ago: each daemon routes by it, over however weak a link.
  void AskForNewestRoute()
  {
    for (DaemonSlot& daemon : m_daemons)
    {
      const std::string id = std::string("newest-").append(daemon.name);
      const Http::WholeRequest request{
          "POST",
          m_newest_path,
          {{"Host", "h"}, {"Attempt-Id", id}, {"Time-Left-Ms", "2000"}},
          "body"};
      m_ledger.NoteSent(id, RequestType::Plain, daemon.name);
      daemon.callers->Call(request, CALLER_PATIENCE,
                           [this, id](Common::Result<Http::WholeAnswer> answer) {
                             const int status = answer ? answer->status : 0;
                             m_ledger.NoteAnswer(id, status, answer ? answer->body : "");
                             if (status != STATUS_OK)
                               m_ledger.Break("does not know the newest route: " + id);
                           });
    }
  }

  void CalmDown()
  {
    PutConfiguration();
    m_models = PLACES_IN_ALL;
    m_store.SetMood(StoreMood::Well);
    for (const auto& server : m_servers)
    {
      server->SetMood(ServerMood::Well);
      server->SetLimit(std::nullopt);
      server->SetRetryAfter(std::nullopt);
    }
    for (DaemonSlot& daemon : m_daemons)
    {
      daemon.store_path->SetCut(false);
      m_processes.Signal(daemon.pid, SIGCONT);
    }
  }

  void Judge()
  {
    m_stopped = true;
    CheckProcesses();
    const auto all = m_ledger.Answered() + m_ledger.Refused() + m_ledger.Failed();
    std::cout << "after the faults: " << m_ledger.Answered() << " of " << all << " served, "
              << m_ledger.Refused() << " refused, " << m_ledger.Failed() << " failed\n";
    if (m_ledger.Answered() * 100 < all * SERVED_AFTER_FAULTS || all == 0)
      m_ledger.Break("too little is served after the faults");
    g_main_loop_quit(m_loop);
  }

  Common::Random m_random;
  std::string m_binary;
  std::string m_net;
  std::string m_logs;
  ScenarioRunner::Processes m_processes;
  Ledger m_ledger;
  StandInStore m_store;
  std::vector<std::unique_ptr<StandInServer>> m_servers;
  std::vector<DaemonSlot> m_daemons;
  GMainLoop* m_loop = g_main_loop_new(nullptr, FALSE);
  Common::TimePoint m_started_at = Common::Now();
  Common::TimePoint m_faults_until;
  std::int64_t m_configuration = 0;
  std::string m_newest_path; ///< Of the last route of the newest configuration.
  std::int64_t m_request_count = 0;
  int m_fault_count = 0;
  bool m_stopped = false;
  bool m_restarts_under_id = false;
  bool m_limits_servers = false;
  bool m_servers_leave = false;
  int m_crashers = 0; ///< Requests that end servers.
  Milliseconds m_crashers_after{0};
  std::uint64_t m_models = MODELS; ///< That are asked for.
};
} // namespace

int main(int argc, char** argv)
{
  cxxopts::Options options("soak", "A randomized soak of the daemons with faults from outside");
  options.add_options()("seed", "of the series of faults",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seconds", "for which faults come", cxxopts::value<int>()->default_value("15"))(
      "daemons", "at once", cxxopts::value<int>()->default_value("4"))(
      "net", "first three numbers of the loopback addresses",
      cxxopts::value<std::string>()->default_value("127.40.1"))(
      "logs", "folder for the daemons' logs",
      cxxopts::value<std::string>()->default_value("build/soak"))(
      "binary", "of the daemon",
      cxxopts::value<std::string>()->default_value("build/bin/drumpondd"))(
      "restarts-under-id", "half of the restarted servers keep their id")(
      "crashing-requests", "requests that end the servers that run them come again and again")(
      "late-crashing-requests", "they come when others have run to a good end")(
      "limited-servers", "servers name how many requests a second they take")(
      "leaving-servers", "servers say that they leave, or want no requests for a while");
  const auto parsed = options.parse(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  Common::InitLog(argv[0]);
  Common::MuteLog();
  SoakRun run(std::filesystem::absolute(parsed["binary"].as<std::string>()),
              parsed["seed"].as<std::uint64_t>(), parsed["daemons"].as<int>(),
              parsed["net"].as<std::string>(),
              std::filesystem::absolute(parsed["logs"].as<std::string>()));
  if (parsed.count("restarts-under-id") > 0)
    run.RestartServersUnderTheirId();
  if (parsed.count("crashing-requests") > 0)
    run.SendCrashingRequests();
  if (parsed.count("late-crashing-requests") > 0)
    run.DelayCrashingRequests();
  if (parsed.count("limited-servers") > 0)
    run.LimitServers();
  if (parsed.count("leaving-servers") > 0)
    run.LetServersLeaveAndBackOff();
  return run.Run(Milliseconds(parsed["seconds"].as<int>() * 1000));
}

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// A randomized soak test of the daemons behind the platform's interface. The daemons run as
// separate processes on one machine; this process contains stand-ins for the store, the backend
// servers and the callers, injects faults from outside the daemons, and checks while it runs what
// callers and backend servers observe. The seed determines the series of faults.

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <set>
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
#include "StandIns/Soak/InvariantChecker.h"
#include "StandIns/Soak/StandInServer.h"
#include "StandIns/Soak/StandInStore.h"
#include "StandIns/Soak/StreamReaders.h"
#include "StandIns/Soak/VersionedStreams.h"

namespace
{
using namespace Soak;
using Common::Json;
using Common::Milliseconds;

constexpr int SERVERS = 4;
/// More than fit on all servers together; requests prefer those with low numbers.
constexpr int MODELS = 10;
/// Models that fit on all servers together; after the faults, requests use only as many.
constexpr int TOTAL_MODEL_CAPACITY = 8;
constexpr int FIRST_PORT = 8300;
constexpr Milliseconds STARTUP_TIME{3000};
constexpr Milliseconds RECOVERY_TIME{9000};
constexpr Milliseconds CHECK_DURATION{2500};
constexpr Milliseconds REQUEST_INTERVAL{12};
/// Number of different crashing requests, and the interval at which one of them is sent.
constexpr int CRASHING_REQUESTS = 3;
constexpr Milliseconds CRASHING_REQUEST_INTERVAL{170};
constexpr std::uint64_t PROMPT_THEMES = 20;
/// Rate limits that servers announce, in requests per second; some are zero or close to it.
constexpr std::array RATE_LIMITS{0.0, 0.5, 1.0, 1.1, 3.0};
constexpr std::array CUT_KINDS{StandIns::CutKind::Hang, StandIns::CutKind::Reset,
                               StandIns::CutKind::OldOnesLive};
/// Interval at which a stopped daemon is polled for its exit.
constexpr Milliseconds EXIT_POLL_INTERVAL{20};
/// 10 Mbit/s, the link of the weaker VMs.
constexpr std::int64_t WEAK_LINK_BYTES_PER_MS = 1250;
/// Routes in the first configuration, and how many each change adds. Over a weak link the first
/// configuration takes 0.8 s, and each change adds 0.15 s.
constexpr int INITIAL_ROUTES = 3500;
constexpr int ROUTES_PER_CHANGE = 700;
/// Software versions of servers: those of the second appear while faults last, in this share of
/// the time, one after the other; later those of the first go.
constexpr const char* FIRST_VERSION = "v1";
constexpr const char* SECOND_VERSION = "v2";
constexpr int ROLLOUT_STEPS = 16;
constexpr int ROLLOUT_BEGIN_STEP = 3;
constexpr int ROLLOUT_DRAIN_STEP = 9;
constexpr Milliseconds ROLLOUT_DRAIN_TIME{1500};
constexpr Milliseconds RETIRE_RETRY_INTERVAL{200};
/// Entries in a restored copy that no server renews expire after this time.
constexpr Milliseconds ENTRY_EXPIRY{2500};
/// For streams to be taken up after the last fault.
constexpr Milliseconds STREAMS_AFTER_FAULTS{2000};
/// Signals of a series, and the pauses between them.
constexpr std::array SERIES_SIGNALS{SIGHUP, SIGUSR1, SIGUSR2};
constexpr std::uint64_t MAX_SERIES_LENGTH = 6;
constexpr std::uint64_t MAX_SERIES_PAUSE_MS = 120;
/// Faults that coincide with another one.
constexpr std::uint64_t MAX_COINCIDING_FAULTS = 3;
constexpr std::uint64_t MAX_COINCIDENCE_MS = 60;
/// Pause from the start of a process to signals.
constexpr std::uint64_t PROCESS_START_MS = 25;
/// With so much time on a processor, a process has begun to run its own code.
constexpr std::chrono::nanoseconds PROCESS_START_CPU_TIME = Milliseconds(10);
/// Resumable streams of no model. Most models are loaded once, so that no other server can take
/// their streams.
constexpr const char* ANY_SERVER_PREFIX = "/stream/any/";
constexpr int STATUS_OK = 200;
/// Of a caller at one request.
constexpr int MAX_ATTEMPTS = 3;
constexpr double MS_PER_S = 1000;
constexpr Http::CallTimeouts CALLER_TIMEOUTS{Milliseconds(6000), Milliseconds(6000)};
/// Minimum percentage of requests that are served after the faults.
constexpr std::int64_t MIN_SERVED_PERCENT = 95;

struct DaemonProcess
{
  std::string name;
  std::string ip;
  int pid = 0;
  bool expected_to_run = true;
  bool suspended_while_stopping = false; ///< Was suspended after the signal to stop.
  std::unique_ptr<ScenarioRunner::Relay> store_relay;
  std::unique_ptr<Http::Channel> caller_channel;
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

  void RestartServersWithSameId() { m_restarts_with_same_id = true; }
  void SendCrashingRequests() { m_crashing_request_count = CRASHING_REQUESTS; }
  /// Prompts have parts, of which one crashes the servers that begin on it. No two of these
  /// requests are alike.
  void SendCrashingParts() { m_prompts_have_parts = true; }
  void RateLimitServers() { m_rate_limits_servers = true; }
  void DrainAndBackOffServers() { m_drains_and_backs_off_servers = true; }
  /// Callers go on sending requests to a daemon that stops, until its process has ended.
  void KeepCallersUntilExit() { m_callers_stay = true; }
  /// Some responses of servers have neither a length nor chunks.
  void SendUnframedResponses()
  {
    m_server_faults = static_cast<std::uint64_t>(ServerFault::UnframedResponses);
    m_checker.RequireEvents(StandInServer::EVENTS_PER_STREAM);
  }
  /// Servers have two software versions, and callers take up streams at other VMs.
  void UseSoftwareVersions()
  {
    m_uses_versions = true;
    m_checker.RequireOneVersion();
  }
  /// Servers send responses twice, and reject, fail and break off requests. Callers send rejected
  /// ones again under their id. All daemons are killed at the same moment, repeatedly.
  void SendSurplusResponses() { m_sends_surplus_responses = true; }
  void SendMalformedResponses() { m_sends_malformed_responses = true; }
  /// One VM after the other is cut off from all servers for a while.
  void CutVmsFromServers() { m_cuts_vms = true; }
  /// The store comes back from an older copy, repeatedly. Callers use VMs that are cut off from the
  /// store, too.
  void RestoreStore() { m_restores_store = true; }
  /// Several faults coincide, and signals come in series, also to daemons that start or stop.
  void OverlapFaults() { m_faults_overlap = true; }

  int Run(Milliseconds faults_duration)
  {
    Start();
    After(STARTUP_TIME, [this] {
      SendRequests();
      SendCrashingRequest();
      SendCrashingPart();
    });
    After(STARTUP_TIME, [this, faults_duration] {
      m_faults_until = Common::Now() + faults_duration;
      if (m_streams)
        RollOut(faults_duration);
      InjectNextFault();
      if (m_rate_limits_servers)
        RateLimitRandomServer();
      if (m_drains_and_backs_off_servers)
        DrainOrBackOffRandomServer();
      if (m_cuts_vms)
        CutRandomVm();
      if (m_restores_store)
        RestoreOlderCopy();
      if (m_sends_surplus_responses)
        After(DrawMs(2000, 6000), [this] {
          KillAllDaemons();
        });
    });
    const auto faults_end = STARTUP_TIME + faults_duration;
    After(faults_end, [this] {
      EndFaults();
    });
    if (m_streams)
      After(faults_end + STREAMS_AFTER_FAULTS, [this] {
        m_streams->Stop(m_logs);
      });
    After(faults_end + RECOVERY_TIME, [this] {
      m_checker.ResetCounts();
      CheckNewestRoute();
    });
    After(faults_end + RECOVERY_TIME + CHECK_DURATION, [this] {
      CheckResults();
    });
    g_main_loop_run(m_loop);
    m_processes.KillAll();
    std::cout << m_checker.DescribeCrashingRequests();
    if (m_rate_limits_servers)
      std::cout << m_checker.RateLimitedArrivals()
                << " requests arrived at servers whose rate limit was known\n";
    if (m_drains_and_backs_off_servers)
      std::cout << m_checker.DrainAnnouncements() << " announcements that a server is draining, "
                << m_checker.BackoffAnnouncements() << " that it wants a backoff\n";
    if (m_sends_surplus_responses)
      for (const auto& server : m_servers)
        std::cout << server->SurplusCopies() << " second copies of responses by one server\n";
    std::cout << m_checker.Orders() << " orders, " << m_fault_count << " faults, "
              << m_checker.Violations().size() << " violations\n";
    return m_checker.Violations().empty() ? 0 : 1;
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
  DaemonProcess& RandomDaemon() { return m_daemons[Draw(m_daemons.size())]; }
  StandInServer& RandomServer() { return *m_servers[Draw(m_servers.size())]; }

  Http::Endpoint EndpointAt(const std::string& ip, int port)
  {
    return *Http::Endpoint::Parse(ip + ":" + std::to_string(port));
  }

  void Start()
  {
    const std::string store_ip = m_net + ".1";
    RequireStarted(static_cast<bool>(m_store.Listen(EndpointAt(store_ip, FIRST_PORT))), "store");
    for (int i = 0; i < SERVERS; ++i)
      StartServer(i, FIRST_VERSION);
    PutConfiguration();
    if (m_uses_versions)
      UseVersionedStreams();
    if (m_restores_store)
      m_store.KeepCopies();
    for (std::size_t i = 0; i < m_daemons.size(); ++i)
      StartDaemon(i, store_ip);
  }

  void StartServer(int number, const char* version)
  {
    std::vector<std::string> models;
    models.reserve(MODELS);
    for (int i = 0; i < MODELS; ++i)
      models.push_back("m" + std::to_string(i));
    auto server = std::make_unique<StandInServer>("s" + std::to_string(number),
                                                  EndpointAt(m_net + ".2", FIRST_PORT + number),
                                                  m_store, m_checker, std::move(models));
    if (m_uses_versions)
      server->RunSoftware(version, "z1");
    server->SetSurplusResponses(m_sends_surplus_responses);
    server->SetMalformedResponses(m_sends_malformed_responses);
    RequireStarted(static_cast<bool>(server->Listen()), "server");
    m_servers.push_back(std::move(server));
  }

  void UseVersionedStreams()
  {
    std::vector<VersionedStreams::Vm> vms;
    for (std::size_t i = 0; i < m_daemons.size(); ++i)
    {
      const std::string ip = m_net + "." + std::to_string(10 + i);
      vms.push_back({.name = "vm-" + std::to_string(i),
                     .endpoint = EndpointAt(ip, FIRST_PORT + 1),
                     .readiness = std::make_unique<Http::Channel>(EndpointAt(ip, FIRST_PORT + 2)),
                     .suspended_until = {},
                     .cut_until = {}});
    }
    m_streams = std::make_unique<VersionedStreams>(Common::Random(m_random()), std::move(vms),
                                                   m_servers, m_checker);
    m_streams->UseCutVms(m_restores_store);
    After(STARTUP_TIME, [this] {
      m_streams->Start();
    });
  }

  /// Servers of the second version appear; later those of the first go.
  void RollOut(Milliseconds duration)
  {
    const auto step = duration / ROLLOUT_STEPS;
    for (int i = 0; i < SERVERS; ++i)
    {
      After((ROLLOUT_BEGIN_STEP + i) * step, [this, i] {
        StartServer(SERVERS + i, SECOND_VERSION);
      });
      After((ROLLOUT_DRAIN_STEP + i) * step, [this] {
        StandInServer* leaving = m_servers[m_leaving_servers++].get();
        if (!leaving->IsDown())
          leaving->Drain();
        After(ROLLOUT_DRAIN_TIME, [this, leaving] {
          Retire(*leaving);
        });
      });
    }
  }

  /// Retires the server once it is up.
  void Retire(StandInServer& server)
  {
    if (server.IsDown())
    {
      After(RETIRE_RETRY_INTERVAL, [this, &server] {
        Retire(server);
      });
      return;
    }
    server.Retire();
    const auto found = std::ranges::find(m_servers, &server, &std::unique_ptr<StandInServer>::get);
    m_retired_servers.push_back(std::move(*found));
    m_servers.erase(found);
    --m_leaving_servers;
  }

  std::size_t IndexOf(const DaemonProcess& daemon) const
  {
    return static_cast<std::size_t>(&daemon - m_daemons.data());
  }

  void StartDaemon(std::size_t index, const std::string& store_ip)
  {
    DaemonProcess& daemon = m_daemons[index];
    daemon.name = "vm-" + std::to_string(index);
    daemon.ip = m_net + "." + std::to_string(10 + index);
    const std::string path_ip = m_net + "." + std::to_string(100 + index);
    daemon.store_relay = std::make_unique<ScenarioRunner::Relay>(
        path_ip + ":" + std::to_string(FIRST_PORT), store_ip + ":" + std::to_string(FIRST_PORT));
    RequireStarted(static_cast<bool>(daemon.store_relay->Open()), "relay");
    if (index % 2 == 1)
      daemon.store_relay->SetRate(WEAK_LINK_BYTES_PER_MS);
    daemon.caller_channel = std::make_unique<Http::Channel>(EndpointAt(daemon.ip, FIRST_PORT + 1));
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

  void Launch(DaemonProcess& daemon)
  {
    setenv("DRUMPOND_BOOT", (m_logs + "/" + daemon.name + ".json").c_str(), 1);
    setenv("DRUMPOND_METRICS_PORT", std::to_string(FIRST_PORT + 3).c_str(), 1);
    if (m_cuts_vms)
      setenv("DRUMPOND_SOURCE_ADDRESS", daemon.ip.c_str(), 1);
    daemon.pid = m_processes.Start(daemon.name, {m_binary});
    daemon.expected_to_run = true;
    if (m_streams)
      m_streams->RecordLaunch(IndexOf(daemon));
  }

  static void RequireStarted(bool done, const char* what)
  {
    if (done)
      return;
    std::cerr << "soak: cannot start the " << what << "\n";
    std::exit(2);
  }

  /// Returns a prefix that looks random, so that changes of the configuration stay large when
  /// compressed.
  static std::string RoutePrefix(int number)
  {
    constexpr std::uint64_t MULTIPLIER = 0x9E3779B97F4A7C15; // 2^64 divided by the golden ratio.
    std::string prefix(1, '/');
    prefix.append(std::to_string(static_cast<std::uint64_t>(number) * MULTIPLIER));
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
    if (m_sends_surplus_responses)
      routes.push_back(route(ANY_SERVER_PREFIX, "streaming", 2, false, true));
    const int route_count =
        INITIAL_ROUTES + ROUTES_PER_CHANGE * static_cast<int>(m_configuration_version);
    for (int i = 0; i < route_count; ++i)
      routes.push_back(route(RoutePrefix(i), "idempotent", 2, false, false));
    m_newest_path = RoutePrefix(route_count - 1) + "x";
    m_configuration = {{"version", ++m_configuration_version},
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
                       {"limits", {{"idleTimeoutMs", 10000}}}};
    m_store.Put("op", "config", m_configuration);
  }

  void SendRequests()
  {
    if (m_stopped)
      return;
    SendRequest();
    After(REQUEST_INTERVAL, [this] {
      SendRequests();
    });
  }

  static bool IsStream(RequestType type)
  {
    return type == RequestType::ResumableStream || type == RequestType::NonRepeatableStream;
  }

  bool IsCalled(const DaemonProcess& daemon)
  {
    return daemon.expected_to_run || (m_callers_stay && !m_processes.ExitStatus(daemon.pid));
  }

  void SendRequest()
  {
    DaemonProcess& daemon = RandomDaemon();
    if (!IsCalled(daemon))
      return;
    const auto type = static_cast<RequestType>(Draw(4));
    static const char* const PATHS[] = {"/plain/x", "/once/x", "/stream/x", "/one/x"};
    const std::string id = "r" + std::to_string(++m_request_count);
    Http::CompleteRequest request{"POST",
                                  PATHS[static_cast<int>(type)],
                                  {{"Host", "h"}, {"Attempt-Id", id}, {"Time-Left-Ms", "4000"}},
                                  m_prompts_have_parts || m_sends_surplus_responses ? "body " + id
                                                                                    : "body"};
    if (m_sends_surplus_responses && type == RequestType::ResumableStream && Draw(2) == 0)
      request.target = std::string(ANY_SERVER_PREFIX) + "x";
    else if (IsStream(type))
      request.headers.push_back(
          {"Model",
           "m" + std::to_string(std::min(Draw(m_requested_models), Draw(m_requested_models)))});
    if (m_prompts_have_parts && IsStream(type))
      request.headers.push_back({"Prompt-Prefix", "a1:20," + RandomTheme() + "," + id + ":5"});
    Call(daemon, request, {id, type});
  }

  /// An attempt of a caller at a request.
  struct Attempt
  {
    std::string id;
    RequestType type;
    int number = 1;
  };

  void Call(DaemonProcess& daemon, const Http::CompleteRequest& request, const Attempt& attempt)
  {
    const std::string name = StandInServer::AttemptName(attempt.id, attempt.number);
    m_checker.RecordSent(name, attempt.type, daemon.name);
    const auto retry = [=, this, &daemon](int status) {
      if (InvariantChecker::IsRefusal(status))
        RetryByChance(daemon, request, attempt);
    };
    // With software versions, the streams that callers take up are read event by event.
    if (m_sends_surplus_responses && !m_uses_versions && Common::Now() < m_faults_until &&
        IsStream(attempt.type) && Draw(2) == 0)
    {
      m_stream_readers.Read(EndpointAt(daemon.ip, FIRST_PORT + 1), request, name, retry);
      return;
    }
    daemon.caller_channel->Call(
        request, CALLER_TIMEOUTS,
        [=, this, &daemon](const Common::Result<Http::CompleteResponse>& response) {
          if (response)
            m_checker.RecordResponse(name, response->status, response->body);
          else if (response.Reason().kind == Common::FailureKind::Protocol)
            m_checker.RecordMalformedResponse(name);
          else
            m_checker.RecordResponse(name, 0, "");
          if (response && response->status == STATUS_OK &&
              response->Find("Server-Stamp") == nullptr)
            m_checker.ReportViolation("success without the stamp of a server: " + name);
          retry(response ? response->status : 0);
        });
  }

  /// Sends a rejected request again under its id, to the same daemon or another one.
  void RetryByChance(DaemonProcess& daemon, Http::CompleteRequest request, Attempt attempt)
  {
    if (!m_sends_surplus_responses || Common::Now() >= m_faults_until ||
        attempt.number >= MAX_ATTEMPTS || Draw(2) == 0)
      return;
    std::erase_if(request.headers, [](const Http::HeaderField& field) {
      return field.name == StandInServer::ATTEMPT_HEADER;
    });
    request.headers.push_back({StandInServer::ATTEMPT_HEADER, std::to_string(++attempt.number)});
    DaemonProcess& next = Draw(2) == 0 ? daemon : RandomDaemon();
    if (IsCalled(next))
      Call(next, request, attempt);
  }

  /// Sends the same few crashing requests repeatedly, to random daemons and each time under a new
  /// id. They do not count for the share of requests that must be served.
  void SendCrashingRequest()
  {
    if (m_stopped || m_crashing_request_count == 0)
      return;
    DaemonProcess& daemon = RandomDaemon();
    const auto number = Draw(static_cast<std::uint64_t>(m_crashing_request_count));
    const std::string id = "c" + std::to_string(++m_request_count);
    const bool is_plain = number == 0;
    Http::CompleteRequest request{
        "POST",
        is_plain ? "/plain/x" : "/stream/x",
        {{"Host", "h"}, {"Attempt-Id", id}, {"Time-Left-Ms", "4000"}},
        std::string(StandInServer::CRASHING_BODY_PREFIX).append(std::to_string(number))};
    if (!is_plain)
      request.headers.push_back({"Model", "m" + std::to_string(number - 1)});
    m_checker.RecordSent(id, is_plain ? RequestType::Repeatable : RequestType::ResumableStream,
                         daemon.name);
    if (IsCalled(daemon))
      daemon.caller_channel->Call(request, CALLER_TIMEOUTS, [](const auto&) {});
    After(CRASHING_REQUEST_INTERVAL, [this] {
      SendCrashingRequest();
    });
  }

  std::string RandomTheme() { return "b" + std::to_string(Draw(PROMPT_THEMES)) + ":30"; }

  /// They do not count for the share of requests that must be served.
  void SendCrashingPart()
  {
    if (m_stopped || !m_prompts_have_parts)
      return;
    DaemonProcess& daemon = RandomDaemon();
    const std::string id = "p" + std::to_string(++m_request_count);
    const std::string model = "m" + std::to_string(Draw(m_requested_models));
    const std::string part = std::string(StandInServer::CRASHING_PART) + ":7,";
    const Http::CompleteRequest request{
        "POST",
        "/one/x",
        {{"Host", "h"},
         {"Attempt-Id", id},
         {"Time-Left-Ms", "4000"},
         {"Model", model},
         {"Prompt-Prefix", "a1:20," + part + RandomTheme() + "," + id + ":5"}},
        "body " + id};
    m_checker.RecordSent(id, RequestType::NonRepeatableStream, daemon.name);
    if (IsCalled(daemon))
      daemon.caller_channel->Call(request, CALLER_TIMEOUTS, [](const auto&) {});
    After(CRASHING_REQUEST_INTERVAL, [this] {
      SendCrashingPart();
    });
  }

  void InjectNextFault()
  {
    CheckDaemonsAreRunning();
    if (Common::Now() >= m_faults_until)
      return;
    ++m_fault_count;
    InjectFault();
    if (m_faults_overlap)
      InjectCoincidingFaults();
    // Longer pauses let all daemons reconnect between faults, which the check of crashing requests
    // requires.
    const auto pause = m_crashing_request_count == 0 ? DrawMs(150, 1200) : DrawMs(150, 6000);
    After(pause, [this] {
      InjectNextFault();
    });
  }

  void InjectCoincidingFaults()
  {
    for (auto left = Draw(MAX_COINCIDING_FAULTS + 1); left > 0; --left)
      After(DrawMs(0, MAX_COINCIDENCE_MS), [this] {
        ++m_fault_count;
        InjectFault();
      });
    SendSignalSeries(RandomDaemon(), Draw(MAX_SERIES_LENGTH));
  }

  /// Sends the signal once the process runs its own code; before, any signal ends it, whatever its
  /// program does.
  void SignalOnceBegun(int pid, int signal)
  {
    if (m_processes.ExitStatus(pid))
      return;
    if (ScenarioRunner::Processes::TimeOnCpu(pid) >= PROCESS_START_CPU_TIME)
      m_processes.Signal(pid, signal);
    else
      After(Milliseconds(1), [this, pid, signal] {
        SignalOnceBegun(pid, signal);
      });
  }

  /// Sends the process `length` signals that must not end it.
  void SendSignalSeries(const DaemonProcess& daemon, std::uint64_t length)
  {
    Milliseconds delay{0};
    for (; length > 0; --length)
    {
      delay += DrawMs(0, MAX_SERIES_PAUSE_MS);
      After(delay, [this, pid = daemon.pid, signal = SERIES_SIGNALS[Draw(SERIES_SIGNALS.size())]] {
        SignalOnceBegun(pid, signal);
      });
    }
  }

  void InjectFault()
  {
    switch (Draw(11))
    {
    case 0:
      StopAndRestart(RandomDaemon(), SIGKILL);
      break;
    case 1:
      StopAndRestart(RandomDaemon(), SIGTERM);
      break;
    case 2:
      Suspend(RandomDaemon());
      break;
    case 3:
      SignalOnceBegun(RandomDaemon().pid, SIGHUP);
      PutConfiguration();
      break;
    case 4:
      InjectStoreFault(static_cast<StoreFault>(1 + Draw(3)), DrawMs(300, 5000));
      break;
    case 5:
      m_store.DropHistory();
      break;
    case 6:
      CutFromStore(RandomDaemon());
      break;
    case 7:
      RestartServer(RandomServer());
      break;
    case 8:
      DrainAndReplace(RandomServer());
      break;
    default:
      InjectServerFault(RandomServer(), static_cast<ServerFault>(1 + Draw(m_server_faults)),
                        DrawMs(300, 5000));
    }
  }

  /// Lets a random server announce a rate limit for a while, below the rate of requests.
  void RateLimitRandomServer()
  {
    if (m_stopped || Common::Now() >= m_faults_until)
      return;
    StandInServer& server = RandomServer();
    server.SetRateLimit(RATE_LIMITS[Draw(RATE_LIMITS.size())]);
    After(DrawMs(5000, 12000), [&server] {
      server.SetRateLimit(std::nullopt);
    });
    After(DrawMs(1500, 4000), [this] {
      RateLimitRandomServer();
    });
  }

  /// Cuts a random VM off from all servers for a while.
  void CutRandomVm()
  {
    if (m_stopped || Common::Now() >= m_faults_until)
      return;
    StandIns::NetworkCut cut;
    cut.addresses = {
        Http::Endpoint::Parse(RandomDaemon().ip + ":" + std::to_string(FIRST_PORT))->address};
    cut.kind = CUT_KINDS[Draw(CUT_KINDS.size())];
    for (const auto& server : m_servers)
      server->SetCut(cut);
    After(DrawMs(1000, 5000), [this] {
      for (const auto& server : m_servers)
        server->EndCut();
      After(DrawMs(500, 2500), [this] {
        CutRandomVm();
      });
    });
  }

  /// Lets a random server either announce that it is draining, while its entry still says ready, or
  /// reject all requests for a while with a Retry-After header.
  void DrainOrBackOffRandomServer()
  {
    if (m_stopped || Common::Now() >= m_faults_until)
      return;
    StandInServer& server = RandomServer();
    if (Draw(2) == 0)
    {
      server.AnnounceDrain();
      After(DrawMs(2500, 6000), [&server] {
        server.Restart();
      });
    }
    else
    {
      server.SetRetryAfter(static_cast<double>(DrawMs(1500, 3000).count()) / MS_PER_S);
      InjectServerFault(server, ServerFault::RejectRequests, DrawMs(500, 5000));
    }
    After(DrawMs(1500, 4000), [this] {
      DrainOrBackOffRandomServer();
    });
  }

  /// Prints one line per signal, so that the output of a failed run shows which signals coincided.
  void TraceSignal(const char* what, const DaemonProcess& daemon) const
  {
    const auto at = std::chrono::duration_cast<Milliseconds>(Common::Now() - m_started_at);
    std::cout << at.count() << " ms " << what << " " << daemon.name << " pid " << daemon.pid
              << "\n";
  }

  void StopAndRestart(DaemonProcess& daemon, int signal)
  {
    if (!daemon.expected_to_run)
      return;
    TraceSignal(signal == SIGTERM ? "stop" : "kill", daemon);
    m_checker.RecordFault(Common::Now() + Milliseconds(3600) + STARTUP_TIME);
    m_checker.RecordDaemonFault(daemon.name, Common::Now() + Milliseconds(3600) + STARTUP_TIME);
    m_checker.RecordDaemonStop(daemon.name, Common::Now() + Milliseconds(3600));
    if (m_streams)
      m_streams->RecordEnd(IndexOf(daemon));
    m_processes.Signal(daemon.pid, SIGCONT);
    m_processes.Signal(daemon.pid, signal);
    daemon.expected_to_run = false;
    daemon.suspended_while_stopping = false;
    if (m_faults_overlap)
      RepeatStopSignals(daemon, signal);
    const auto down_time = signal == SIGTERM ? Milliseconds(3600) : DrawMs(100, 1500);
    After(down_time, [this, &daemon] {
      LaunchAfterExit(daemon);
    });
  }

  void KillAllDaemons()
  {
    if (Common::Now() >= m_faults_until)
      return;
    for (DaemonProcess& daemon : m_daemons)
      StopAndRestart(daemon, SIGKILL);
    After(DrawMs(4000, 9000), [this] {
      KillAllDaemons();
    });
  }

  /// An operator who repeats the signal to stop, among others, does not shorten the stop.
  void RepeatStopSignals(const DaemonProcess& daemon, int signal)
  {
    SendSignalSeries(daemon, Draw(MAX_SERIES_LENGTH));
    if (signal == SIGTERM)
      for (const int repeated : {SIGTERM, SIGINT})
        After(DrawMs(0, 2000), [this, pid = daemon.pid, repeated] {
          m_processes.Signal(pid, repeated);
        });
  }

  /// Starts the daemon again once its process has exited. Kills it if it has not exited within its
  /// grace time, as the platform does. That is a violation unless the process was suspended
  /// meanwhile and so could not stop.
  void LaunchAfterExit(DaemonProcess& daemon)
  {
    if (m_processes.ExitStatus(daemon.pid))
    {
      Launch(daemon);
      if (m_faults_overlap)
        After(Milliseconds(PROCESS_START_MS), [this, &daemon] {
          SendSignalSeries(daemon, Draw(MAX_SERIES_LENGTH));
        });
      return;
    }
    if (!daemon.suspended_while_stopping)
      m_checker.ReportViolation("did not stop within its grace time: " + daemon.name);
    m_processes.Signal(daemon.pid, SIGKILL);
    After(EXIT_POLL_INTERVAL, [this, &daemon] {
      LaunchAfterExit(daemon);
    });
  }

  void Suspend(DaemonProcess& daemon)
  {
    TraceSignal("suspend", daemon);
    daemon.suspended_while_stopping = !daemon.expected_to_run;
    m_processes.Signal(daemon.pid, SIGSTOP);
    const auto span = DrawMs(100, 6000);
    m_checker.RecordFault(Common::Now() + span);
    m_checker.RecordDaemonFault(daemon.name, Common::Now() + span);
    m_checker.RecordDaemonStop(daemon.name, Common::Now() + span);
    if (m_streams)
      m_streams->RecordSuspension(IndexOf(daemon), span);
    After(span, [this, pid = daemon.pid] {
      m_processes.Signal(pid, SIGCONT);
    });
  }

  void RestartServer(StandInServer& server)
  {
    if (m_restarts_with_same_id && Draw(2) == 0)
      server.RestartWithSameId(DrawMs(0, 1000));
    else
      server.Restart();
  }

  void InjectStoreFault(StoreFault fault, Milliseconds span)
  {
    m_store.SetFault(fault);
    m_checker.RecordFault(Common::Now() + span);
    After(span, [this] {
      m_store.SetFault(StoreFault::None);
    });
  }

  /// The store is away for a while and comes back from an older copy, in a row or after some time.
  /// Servers and the operator write theirs again; entries that no server renews expire.
  void RestoreOlderCopy()
  {
    if (m_stopped || Common::Now() >= m_faults_until)
      return;
    const auto away = DrawMs(100, 1500);
    InjectStoreFault(StoreFault::Unavailable, away);
    After(away, [this, age = DrawMs(1000, 8000)] {
      if (Common::Now() >= m_faults_until)
        return;
      m_store.Restore(age);
      for (const auto& server : m_servers)
        After(DrawMs(0, 1200), [target = server.get()] {
          target->RenewEntry();
        });
      After(DrawMs(0, 500), [this] {
        m_store.Put("op", "config", m_configuration);
      });
      After(ENTRY_EXPIRY, [this] {
        std::set<std::string> instances;
        std::ranges::transform(m_servers, std::inserter(instances, instances.end()),
                               [](const auto& server) {
                                 return server->Instance();
                               });
        m_store.RetainKeys("servers", instances);
      });
    });
    After(away + DrawMs(500, 6000), [this] {
      RestoreOlderCopy();
    });
  }

  void CutFromStore(DaemonProcess& daemon)
  {
    daemon.store_relay->SetCut(true);
    const auto span = DrawMs(300, 6000);
    m_checker.RecordFault(Common::Now() + span);
    m_checker.RecordDaemonFault(daemon.name, Common::Now() + span);
    if (m_streams)
      m_streams->RecordCut(IndexOf(daemon), span);
    After(span, [&daemon] {
      daemon.store_relay->SetCut(false);
    });
  }

  void DrainAndReplace(StandInServer& server)
  {
    server.Drain();
    After(DrawMs(1000, 3000), [&server] {
      server.Restart();
    });
  }

  void InjectServerFault(StandInServer& server, ServerFault fault, Milliseconds span)
  {
    server.SetFault(fault);
    After(span, [&server] {
      server.SetFault(ServerFault::None);
    });
  }

  void CheckDaemonsAreRunning()
  {
    for (const DaemonProcess& daemon : m_daemons)
      if (const auto status = m_processes.ExitStatus(daemon.pid); daemon.expected_to_run && status)
        m_checker.ReportViolation("ended by itself: " + daemon.name + ", status " +
                                  std::to_string(*status));
  }

  /// Sends a request for the newest route to each daemon. The configuration was last changed long
  /// enough ago for all daemons to have it, even over a weak link.
  void CheckNewestRoute()
  {
    for (DaemonProcess& daemon : m_daemons)
    {
      const std::string id = std::string("newest-").append(daemon.name);
      const Http::CompleteRequest request{
          "POST",
          m_newest_path,
          {{"Host", "h"}, {"Attempt-Id", id}, {"Time-Left-Ms", "2000"}},
          "body"};
      m_checker.RecordSent(id, RequestType::Repeatable, daemon.name);
      daemon.caller_channel->Call(
          request, CALLER_TIMEOUTS, [this, id](Common::Result<Http::CompleteResponse> response) {
            const int status = response ? response->status : 0;
            m_checker.RecordResponse(id, status, response ? response->body : "");
            if (status != STATUS_OK)
              m_checker.ReportViolation("daemon does not serve the newest route: " + id);
          });
    }
  }

  void EndFaults()
  {
    PutConfiguration();
    m_requested_models = TOTAL_MODEL_CAPACITY;
    m_store.SetFault(StoreFault::None);
    for (const auto& server : m_servers)
    {
      server->SetFault(ServerFault::None);
      server->SetRateLimit(std::nullopt);
      server->SetRetryAfter(std::nullopt);
      server->SetSurplusResponses(false);
      server->SetMalformedResponses(false);
    }
    for (DaemonProcess& daemon : m_daemons)
    {
      daemon.store_relay->SetCut(false);
      m_processes.Signal(daemon.pid, SIGCONT);
    }
  }

  void CheckResults()
  {
    m_stopped = true;
    CheckDaemonsAreRunning();
    const auto total = m_checker.Served() + m_checker.Refused() + m_checker.Failed();
    std::cout << "after the faults: " << m_checker.Served() << " of " << total << " served, "
              << m_checker.Refused() << " refused, " << m_checker.Failed() << " failed\n";
    if (m_checker.Served() * 100 < total * MIN_SERVED_PERCENT || total == 0)
      m_checker.ReportViolation("too little is served after the faults");
    g_main_loop_quit(m_loop);
  }

  Common::Random m_random;
  std::string m_binary;
  std::string m_net;
  std::string m_logs;
  ScenarioRunner::Processes m_processes;
  InvariantChecker m_checker;
  StreamReaders m_stream_readers{m_checker};
  StandInStore m_store;
  Servers m_servers;
  Servers m_retired_servers;         ///< Faults that end later may still refer to them.
  std::size_t m_leaving_servers = 0; ///< The first ones of `m_servers`, which are being retired.
  std::vector<DaemonProcess> m_daemons;
  std::unique_ptr<VersionedStreams> m_streams; ///< None without software versions.
  GMainLoop* m_loop = g_main_loop_new(nullptr, FALSE);
  Common::TimePoint m_started_at = Common::Now();
  Common::TimePoint m_faults_until;
  std::int64_t m_configuration_version = 0;
  Json m_configuration;      ///< As the operator last wrote it.
  std::string m_newest_path; ///< On the last route of the newest configuration.
  std::int64_t m_request_count = 0;
  int m_fault_count = 0;
  bool m_stopped = false;
  bool m_restarts_with_same_id = false;
  bool m_rate_limits_servers = false;
  bool m_drains_and_backs_off_servers = false;
  bool m_callers_stay = false;
  bool m_faults_overlap = false;
  bool m_uses_versions = false;
  /// The server faults that are drawn: the first of `ServerFault`, up to this one.
  std::uint64_t m_server_faults = static_cast<std::uint64_t>(ServerFault::DelayOrders);
  bool m_prompts_have_parts = false;
  bool m_cuts_vms = false;
  bool m_sends_surplus_responses = false;
  bool m_sends_malformed_responses = false;
  bool m_restores_store = false;
  int m_crashing_request_count = 0;          ///< Number of different crashing requests.
  std::uint64_t m_requested_models = MODELS; ///< That requests use.
};
} // namespace

int main(int argc, char** argv)
{
  cxxopts::Options options("soak", "A randomized soak test of the daemons with fault injection");
  options.add_options()("seed", "seed of the series of faults",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seconds", "duration of the faults", cxxopts::value<int>()->default_value("15"))(
      "daemons", "number of daemons", cxxopts::value<int>()->default_value("4"))(
      "net", "first three octets of the loopback addresses",
      cxxopts::value<std::string>()->default_value("127.40.1"))(
      "logs", "directory for the logs of the daemons",
      cxxopts::value<std::string>()->default_value("build/soak"))(
      "binary", "path of the daemon's program",
      cxxopts::value<std::string>()->default_value("build/bin/drumpondd"))(
      "restarts-under-id", "about half of the restarted servers keep their id")(
      "crashing-requests", "send requests repeatedly that crash the servers that run them")(
      "crashing-parts", "send prompts with a part that crashes the servers that begin on it")(
      "limited-servers", "servers announce rate limits")(
      "leaving-servers", "servers announce that they are draining, or ask daemons to back off")(
      "staying-callers", "callers send requests to a stopping daemon until its process has ended")(
      "overlapping-faults", "faults coincide, and signals come in series")(
      "unframed-responses", "some responses of servers have neither a length nor chunks")(
      "software-versions", "servers have two versions, and callers take up streams at other VMs")(
      "cut-vms", "VMs are cut off from all servers in turn")(
      "surplus-responses", "servers send responses twice, and reject, fail and break off requests")(
      "malformed-responses", "a share of the servers' responses is not well-formed")(
      "restored-store", "the store comes back from an older copy, repeatedly");
  const auto parsed = options.parse(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  Common::InitLog(argv[0]);
  Common::MuteLog();
  SoakRun run(std::filesystem::absolute(parsed["binary"].as<std::string>()),
              parsed["seed"].as<std::uint64_t>(), parsed["daemons"].as<int>(),
              parsed["net"].as<std::string>(),
              std::filesystem::absolute(parsed["logs"].as<std::string>()));
  if (parsed.count("restarts-under-id") > 0)
    run.RestartServersWithSameId();
  if (parsed.count("crashing-parts") > 0)
    run.SendCrashingParts();
  if (parsed.count("crashing-requests") > 0)
    run.SendCrashingRequests();
  if (parsed.count("limited-servers") > 0)
    run.RateLimitServers();
  if (parsed.count("leaving-servers") > 0)
    run.DrainAndBackOffServers();
  if (parsed.count("staying-callers") > 0)
    run.KeepCallersUntilExit();
  if (parsed.count("overlapping-faults") > 0)
    run.OverlapFaults();
  if (parsed.count("unframed-responses") > 0)
    run.SendUnframedResponses();
  if (parsed.count("software-versions") > 0)
    run.UseSoftwareVersions();
  if (parsed.count("cut-vms") > 0)
    run.CutVmsFromServers();
  if (parsed.count("surplus-responses") > 0)
    run.SendSurplusResponses();
  if (parsed.count("malformed-responses") > 0)
    run.SendMalformedResponses();
  if (parsed.count("restored-store") > 0)
    run.RestoreStore();
  return run.Run(Milliseconds(parsed["seconds"].as<int>() * 1000));
}

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Daemon/Application.h"

#include <csignal>

#include <glib-unix.h>

#include "Callers/ChatApi.h"
#include "Callers/ChatRelay.h"
#include "Callers/Jobs.h"
#include "Callers/PlainServices.h"
#include "Common/DeferredSignals.h"
#include "Common/Log.h"
#include "Common/Random.h"
#include "Operators/OperatorsApi.h"
#include "Serving/LoadCoordinator.h"
#include "Serving/LoadPermitAllocator.h"
#include "Serving/ServerManager.h"

namespace Daemon
{
namespace
{
using Common::Done;
using Common::FailureKind;
using Common::LogEvent;
using Common::LogLevel;
using Common::Milliseconds;
using Common::Now;
using Common::Result;
using Common::Task;

constexpr Milliseconds PLATFORM_TIMEOUT{1000};
constexpr Milliseconds VM_LIST_INTERVAL{500};
/// Read interval of the platform's VM list per peer: the interval grows with the number of daemons,
/// so that together they make about 200 reads a second at most.
constexpr Milliseconds VM_LIST_INTERVAL_PER_PEER{5};
constexpr Milliseconds REBALANCE_INTERVAL{100};
constexpr Milliseconds STOP_POLL{20};
constexpr Milliseconds STATUS_PULL_TIMEOUT{1000};
constexpr double DEFAULT_EXCHANGE_RATE = 20;

Daemons::Heartbeat MakeOwnHeartbeat(const Settings& settings)
{
  Daemons::Heartbeat self;
  self.vm = settings.vm;
  self.data_centre = settings.data_centre;
  self.incarnation = Common::Incarnation(Common::NewId("d-"));
  self.started_ms = Common::UnixTime().count();
  return self;
}

Daemons::LinkSettings LinkSettingsOf(const Settings& settings)
{
  Daemons::LinkSettings link;
  link.address = settings.peers.address;
  link.port = settings.peers.port;
  link.key = settings.peer_key;
  link.heartbeat_interval = settings.heartbeat_interval;
  return link;
}

Serving::Policies PoliciesOf(const Settings& settings)
{
  Serving::Policies policies;
  if (settings.placement == "first-fit")
    policies.placement = Decisions::FirstFitPlacement();
  if (settings.retention == "keep-alive")
    policies.retention = Decisions::FixedKeepAlive(Milliseconds(settings.keep_alive_ms));
  if (settings.routing == "round-robin")
    policies.routing = Decisions::RoundRobinRouting();
  if (settings.load_order == "fifo")
    policies.load_order = Decisions::FifoOrder();
  policies.fair_queue = settings.queue == "fair";
  return policies;
}

Serving::Timing TimingOf(const Settings& settings)
{
  Serving::Timing timing;
  timing.report_interval = settings.report_interval;
  timing.order_settle = settings.order_settle;
  timing.freeze_limit = settings.freeze_limit;
  timing.list_lag = settings.list_lag;
  return timing;
}

Http::Server::Limits LimitsOf(const Settings& settings)
{
  Http::Server::Limits limits;
  limits.max_body_bytes = static_cast<std::size_t>(settings.max_body_kb) * 1024;
  return limits;
}
} // namespace

struct Application::Impl
{
  explicit Impl(Settings all)
      : settings(std::move(all)),
        platform(settings.platform, settings.vm, PLATFORM_TIMEOUT),
        backend_client(settings.vm),
        membership(MakeOwnHeartbeat(settings), {settings.dead_after, settings.list_lag}),
        store(platform, settings.vm.Get()),
        link(LinkSettingsOf(settings), membership),
        table(store, link, membership, settings.table_poll_interval),
        policies(PoliciesOf(settings)),
        environment{store,        backend_client, membership,        link, table, server_statuses,
                    decision_log, policies,       TimingOf(settings)},
        server_manager(environment),
        load_permits(environment),
        load_coordinator(environment),
        router(environment),
        gateway{environment, router, metrics, {}, Decisions::RetryBudget()},
        relay(gateway),
        chat(gateway, relay),
        jobs(gateway, relay, settings.job_scan_interval),
        services(gateway),
        callers_server(LimitsOf(settings)),
        operators_server(LimitsOf(settings))
  {
  }

  Settings settings;
  GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
  Platform::HttpPlatform platform;
  BackendServers::HttpBackendClient backend_client;
  Daemons::Membership membership;
  Platform::Store store;
  Daemons::Link link;
  Serving::TableFollower table;
  Serving::ServerStatusRegistry server_statuses;
  Serving::DecisionLog decision_log;
  Serving::Policies policies;
  Common::Metrics metrics;
  Serving::Environment environment;
  Serving::ServerManager server_manager;
  Serving::LoadPermitAllocator load_permits;
  Serving::LoadCoordinator load_coordinator;
  Serving::Router router;
  Callers::ApiContext gateway;
  Callers::ChatRelay relay;
  Callers::ChatApi chat;
  Callers::Jobs jobs;
  Callers::PlainServices services;
  std::unique_ptr<Operators::OperatorsApi> operators;
  Http::Server callers_server;
  Http::Server operators_server;
  std::map<Common::VmId, std::int64_t> known_state_version;
  std::map<Common::VmId, Common::Incarnation> known_incarnation;
  std::set<Common::VmId> pulling;

  bool IsReady() const { return table.HasTable() && !gateway.stopping; }

  Result<Done> Start()
  {
    auto tokens = Operators::OperatorTokens::Load(settings.operator_tokens_file);
    if (!tokens)
      return tokens.Reason();
    for (const auto& [vm, address] : settings.seeds)
      membership.AddSeed(vm, address);
    RegisterLinkHandlers();
    auto linked = link.Start();
    if (!linked)
      return linked;
    RegisterOperators(*tokens);
    RegisterCallers();
    auto listening = callers_server.Listen(settings.listen.address, settings.listen.port);
    if (!listening)
      return listening;
    listening = operators_server.Listen(settings.operators.address, settings.operators.port);
    if (!listening)
      return listening;
    table.Start([this] {
      OnTableChange();
    });
    jobs.Start();
    Common::Spawn(PollVmList());
    Common::Spawn(RebalancePeriodically());
    RegisterSignalHandlers();
    LogEvent(LogLevel::Info, "daemon.started",
             {{"vm", settings.vm},
              {"data_centre", settings.data_centre},
              {"incarnation", membership.Self().incarnation}});
    return Done{};
  }

  void RegisterLinkHandlers()
  {
    link.OnCall([this](Daemons::Call call) {
      return HandleCall(std::move(call));
    });
    link.OnHeartbeat([this](const Daemons::Heartbeat& heartbeat) {
      OnHeartbeat(heartbeat);
    });
    server_statuses.OnChange([this](const std::set<Common::ArtifactId>& artifacts) {
      router.OnReplicasChanged(artifacts);
      AnnounceStatuses();
    });
  }

  void OnTableChange()
  {
    if (settings.retention == "cost")
    {
      const auto rate = table.Current().SettingNumber(
          "cold_start_exchange_rate", static_cast<std::int64_t>(DEFAULT_EXCHANGE_RATE));
      policies.retention = Decisions::CostRetention(static_cast<double>(rate));
    }
    server_manager.Rebalance();
  }

  void AnnounceStatuses()
  {
    const std::int64_t version = server_manager.Statuses().state_version;
    if (std::exchange(membership.Self().state_version, version) != version)
      link.ScheduleHeartbeats();
  }

  void OnHeartbeat(const Daemons::Heartbeat& heartbeat)
  {
    table.OnPeerRevision(heartbeat.vm, heartbeat.table_revision);
    const bool has_changes = known_state_version[heartbeat.vm] != heartbeat.state_version ||
                             known_incarnation[heartbeat.vm] != heartbeat.incarnation;
    if (has_changes && pulling.insert(heartbeat.vm).second)
      Common::Spawn(PullStatuses(heartbeat.vm, heartbeat.incarnation));
  }

  Task<void> PullStatuses(Common::VmId vm, Common::Incarnation incarnation)
  {
    const Daemons::Call call{Daemons::StatusPull{}};
    const auto answer = co_await link.SendCall(vm, call, STATUS_PULL_TIMEOUT);
    pulling.erase(vm);
    const auto* reply = answer ? std::get_if<Daemons::StatusReply>(&*answer) : nullptr;
    if (!reply)
      co_return;
    known_state_version[vm] = reply->state_version;
    known_incarnation[vm] = incarnation;
    for (const Daemons::ServerStatus& status : reply->servers)
      server_statuses.Update(status, Now());
  }

  Task<Daemons::Reply> HandleCall(Daemons::Call call)
  {
    if (auto* load = std::get_if<Daemons::LoadRequest>(&call))
      co_return co_await load_coordinator.EnsureLoaded(std::move(*load));
    if (auto* place = std::get_if<Daemons::PlaceOrder>(&call))
      co_return co_await server_manager.Place(std::move(*place));
    if (auto* permit = std::get_if<Daemons::PermitRequest>(&call))
      co_return co_await load_permits.Request(std::move(*permit));
    if (const auto* pull = std::get_if<Daemons::TablePull>(&call))
      co_return table.BuildReply(*pull);
    if (const auto* returned = std::get_if<Daemons::PermitReturn>(&call))
    {
      load_permits.Return(returned->claim);
      co_return Daemons::PermitReply{};
    }
    co_return server_manager.Statuses();
  }

  Task<void> PollVmList()
  {
    while (true)
    {
      const auto entries = co_await store.ListVms();
      if (entries)
      {
        membership.SetListed(*entries, Now());
        server_statuses.SetListed(*entries, Now());
      }
      const auto peers = static_cast<std::int64_t>(membership.Peers().size());
      co_await Common::Sleep{std::max(VM_LIST_INTERVAL, VM_LIST_INTERVAL_PER_PEER * peers)};
    }
  }

  Task<void> RebalancePeriodically()
  {
    while (true)
    {
      server_manager.Rebalance();
      AnnounceStatuses();
      co_await Common::Sleep{REBALANCE_INTERVAL};
    }
  }

  void RegisterCallers()
  {
    callers_server.Handle("/v1/chat/completions", [this](Http::ExchangePtr exchange) {
      return chat.Complete(exchange);
    });
    callers_server.Handle("/v1/models", [this](Http::ExchangePtr exchange) {
      return chat.ListModels(exchange);
    });
    callers_server.Handle("/v1/jobs", [this](Http::ExchangePtr exchange) {
      return jobs.Serve(exchange);
    });
    callers_server.Handle("/services", [this](Http::ExchangePtr exchange) {
      return services.Serve(exchange);
    });
    callers_server.Handle("/", [](Http::ExchangePtr exchange) -> Task<void> {
      const Callers::CallFailure failure{{FailureKind::NotFound, "no such path"}};
      Callers::Refuse(*exchange, failure, {});
      co_return;
    });
  }

  void RegisterOperators(const Operators::OperatorTokens& tokens)
  {
    const Operators::DaemonComponents inspected{gateway,
                                                server_manager,
                                                load_permits,
                                                [this] {
                                                  return jobs.Running();
                                                },
                                                [this] {
                                                  return callers_server.OpenExchanges();
                                                },
                                                [this] {
                                                  return IsReady();
                                                }};
    operators = std::make_unique<Operators::OperatorsApi>(inspected, tokens);
    operators->Register(operators_server);
  }

  void RegisterSignalHandlers()
  {
    const auto stop = [](gpointer data) -> gboolean {
      auto* self = static_cast<Impl*>(data);
      if (!std::exchange(self->gateway.stopping, true))
        Common::Spawn(self->Stop());
      return G_SOURCE_CONTINUE;
    };
    g_unix_signal_add(SIGTERM, stop, this);
    g_unix_signal_add(SIGINT, stop, this);
    g_unix_signal_add(
        SIGUSR1,
        [](gpointer data) -> gboolean {
          const auto* self = static_cast<Impl*>(data);
          LogEvent(LogLevel::Info, "daemon.dump",
                   {{"state", Common::DumpJson(self->operators->Dump())}});
          return G_SOURCE_CONTINUE;
        },
        this);
    // The settings are flags and environment variables: there is nothing to reload.
    for (const int number : {SIGHUP, SIGUSR2})
      std::signal(number, SIG_IGN);
    Common::DeliverDeferredSignals();
  }

  /// Graceful shutdown: announces to the load balancer and the peers that this daemon leaves, so
  /// that its roles move to other daemons, waits for open requests and jobs up to the stop limit,
  /// and ends the main loop.
  Task<void> Stop()
  {
    LogEvent(LogLevel::Info, "daemon.stopping", {{"open", callers_server.OpenExchanges()}});
    const auto began = Now();
    membership.Self().leaving = true;
    link.ScheduleHeartbeats();
    co_await Common::Sleep{settings.stop_notice};
    callers_server.StopListening();
    while ((callers_server.OpenExchanges() > 0 || jobs.Running() > 0) &&
           Now() - began < settings.stop_limit)
      co_await Common::Sleep{STOP_POLL};
    LogEvent(LogLevel::Info, "daemon.stopped",
             {{"open", callers_server.OpenExchanges()}, {"jobs", jobs.Running()}});
    g_main_loop_quit(loop);
  }
};

Application::Application(Settings settings) : m_impl(std::make_unique<Impl>(std::move(settings))) {}

Application::~Application() = default;

Result<Done> Application::Start()
{
  return m_impl->Start();
}

int Application::Run()
{
  g_main_loop_run(m_impl->loop);
  return 0;
}
} // namespace Daemon

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/EntryPoint.h"

#include <csignal>

#include <glib-unix.h>
#include <glib.h>

#include "Common/DeferredSignals.h"
#include "Common/Json.h"
#include "Common/Log.h"
#include "Common/Loop.h"

namespace Gateway
{
namespace
{
using Common::Milliseconds;

/// The load balancer probes every second and removes a daemon after two failed probes. New
/// connections that arrive until then are still served, and may use the rest of the grace period.
constexpr Milliseconds BALANCER_DELAY{2500};
/// How often a stopping process checks whether its last request has ended.
constexpr Milliseconds STOP_POLL{50};
/// Open requests are ended this long before the grace period is over, so that the error responses
/// still reach their callers.
constexpr Milliseconds STOP_MARGIN{150};
/// Requests that have crashed at least this many servers are included in the dump.
constexpr std::size_t MIN_DUMPED_CRASHES = 2;

GMainLoop* MainLoop()
{
  static GMainLoop* s_loop = g_main_loop_new(nullptr, FALSE);
  return s_loop;
}

void OnSignal(int number, std::function<void()> callback)
{
  const auto run = [](gpointer data) -> gboolean {
    (*static_cast<std::function<void()>*>(data))();
    return G_SOURCE_CONTINUE;
  };
  // The source and the callback are kept until the process exits.
  g_unix_signal_add(number, run, new std::function<void()>(std::move(callback)));
}

/// The server's rate limit; null if it has none.
Common::Json DumpLimit(const Server& server, Common::TimePoint now)
{
  const auto& limit = server.Limit();
  if (!limit)
    return nullptr;
  const auto age = std::chrono::floor<Common::Milliseconds>(now - limit->since);
  return {{"per_second", RateLimits::PerSecond(limit->rate)},
          {"age_ms", age.count()},
          {"learned_from", limit->learned_from}};
}
/// Time since the first response or report that announced that the server drains; null if there was
/// none.
Common::Json DumpDrainAge(const Server& server, Common::TimePoint now)
{
  const auto since = server.Drain().Since();
  if (!since)
    return nullptr;
  return std::chrono::floor<Common::Milliseconds>(now - *since).count();
}

Milliseconds ColdLeft(const Server& server, Common::TimePoint now)
{
  return std::chrono::floor<Milliseconds>(
      server.Cold().IsCold(now) ? server.Cold().Until() - now : Common::TimePoint::duration());
}

InstanceId InstanceOf(const Tunnels::TunnelTarget& target)
{
  return InstanceId(target.server, ServerStart(target.server_start));
}
} // namespace

void ProbeResponder::AcceptConnection(int fd)
{
  const auto connection = Http::ServerConnection::Adopt(fd, *this);
  m_connections.emplace(connection.get(), connection);
  connection->OnFinished([this](Http::ServerConnection* finished) {
    m_connections.erase(finished);
  });
}

void ProbeResponder::OnRequest(const std::shared_ptr<Http::ServerConnection>& connection,
                               Http::ReceivedRequest request)
{
  if (request.head.target == "/metrics")
  {
    connection->Respond(200, Http::ReasonPhrase(200),
                        {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics());
    return;
  }
  if (request.head.target == "/dump")
  {
    connection->Respond(200, Http::ReasonPhrase(200), {{"Content-Type", "application/json"}},
                        m_dump());
    return;
  }
  const int status = m_is_ready() ? 200 : 503;
  connection->Respond(status, Http::ReasonPhrase(status), {}, "");
}

EntryPoint::EntryPoint(EntryPointSettings settings)
    : m_settings(std::move(settings)),
      m_dispatcher(m_settings.dispatcher),
      m_probes(
          [this] {
            return IsReady();
          },
          [this] {
            return RenderMetrics();
          },
          [this] {
            return RenderDump();
          }),
      m_tunnels([this](const Tunnels::TunnelTarget& target) {
        return ResolveTunnel(target);
      })
{
  m_tunnels.OnConnectFailure([this](const Tunnels::TunnelTarget& target) {
    if (const ServerPtr server = m_dispatcher.Servers().Find(InstanceOf(target)))
      m_dispatcher.Paths().NoteTunnelFailure(server);
  });
}

std::optional<Http::Endpoint> EntryPoint::ResolveTunnel(const Tunnels::TunnelTarget& target) const
{
  const ServerPtr server = m_dispatcher.Servers().Find(InstanceOf(target));
  if (!server || m_dispatcher.Paths().NeedsHelper(*server))
    return std::nullopt;
  return server->Entry().endpoint;
}

std::string EntryPoint::RenderMetrics()
{
  m_dispatcher.RefreshGauges();
  m_dispatcher.GetMetrics().SetGauge("tunnels_open", static_cast<double>(m_tunnels.OpenTunnels()));
  m_dispatcher.GetMetrics().SetGauge("tunnels_requested",
                                     static_cast<double>(m_tunnels.Requested()));
  m_dispatcher.GetMetrics().SetGauge("tunnels_rejected", static_cast<double>(m_tunnels.Rejected()));
  if (m_on_metrics)
    m_on_metrics(m_dispatcher.GetMetrics());
  return m_dispatcher.GetMetrics().Render();
}

std::string EntryPoint::RenderDump() const
{
  const auto now = Common::Now();
  Common::Json servers = Common::Json::array();
  for (const auto& [instance, server] : m_dispatcher.Servers().All())
  {
    Common::Json models = Common::Json::array();
    for (const LoadedModel& loaded : server->Entry().models)
      models.push_back(loaded.model.Get());
    servers.push_back({{"instance", instance.Get()},
                       {"pool", server->Entry().pool.Get()},
                       {"address", server->Entry().endpoint.ToString()},
                       {"data_centre", server->Entry().data_centre.Get()},
                       {"draining", ToString(server->Drain().Source())},
                       {"draining_ms", DumpDrainAge(*server, now)},
                       {"evacuated", server->IsEvacuated()},
                       {"cold_left_ms", ColdLeft(*server, now).count()},
                       {"available", server->IsAvailable(now)},
                       {"backoff_left_ms", server->GetBackoff().Left(now).count()},
                       {"ejected", server->Health().IsEjected(now)},
                       {"failure_share", server->Health().FailureShare()},
                       {"limit", DumpLimit(*server, now)},
                       {"in_flight", server->InFlight()},
                       {"in_flight_elsewhere", server->RemoteInFlight()},
                       {"models", std::move(models)}});
  }
  Common::Json crashes = Common::Json::array();
  for (const Crashes::CaseLine& line :
       m_dispatcher.CrashCases().MostSevere(MIN_DUMPED_CRASHES, now))
    crashes.push_back({{"fingerprint", line.request.ToString()},
                       {"ended", Crashes::Describe(line.server_crashes)},
                       {"blocked_for_ms", line.blocked_for_ms},
                       {"blocks", line.blocks},
                       {"survived_ms_ago", line.last_success_age_ms}});
  Common::Json evacuated = Common::Json::array();
  for (const Common::DataCentreId& data_centre : m_dispatcher.Servers().Evacuated())
    evacuated.push_back(data_centre.Get());
  const auto& configuration = m_dispatcher.CurrentConfiguration();
  const auto warnings = configuration ? configuration->Warnings() : std::vector<std::string>();
  return Common::DumpJson({{"ready", IsReady()},
                           {"crashes", std::move(crashes)},
                           {"stopping", m_stopping},
                           {"open_requests", m_dispatcher.OpenRequests()},
                           {"configuration_version", configuration ? configuration->version : -1},
                           {"configuration_refused", m_dispatcher.ConfigurationError()},
                           {"configuration_warnings", warnings},
                           {"evacuated", std::move(evacuated)},
                           {"servers", std::move(servers)}});
}

void EntryPoint::Configure(EntryPointSettings settings)
{
  m_settings = std::move(settings);
  m_dispatcher.Configure(m_settings.dispatcher);
}

bool EntryPoint::IsReady() const
{
  return !m_stopping && m_dispatcher.CurrentConfiguration() && !m_dispatcher.Servers().Empty() &&
         !m_dispatcher.IsCutOff();
}

Common::Result<Common::Done> EntryPoint::Start()
{
  auto callers = m_callers.Listen(m_settings.callers, [this](int fd, const Http::Endpoint&) {
    m_dispatcher.AcceptConnection(fd);
  });
  if (!callers)
    return callers;
  const auto probe = [this](int fd, const Http::Endpoint&) {
    m_probes.AcceptConnection(fd);
  };
  if (auto metrics = m_metrics.Listen(m_settings.metrics, probe); !metrics)
    return metrics;
  if (auto readiness = m_readiness.Listen(m_settings.readiness, probe); !readiness)
    return readiness;
  // Without this port the VM serves its own callers; other VMs use other helpers.
  if (m_settings.tunnels)
    if (const auto tunnels = m_tunnels.Listen(*m_settings.tunnels); !tunnels)
      Common::LogEvent(Common::LogLevel::Error, "tunnels-unavailable",
                       {{"reason", tunnels.Reason().detail}});
  return Common::Done{};
}

void EntryPoint::HandleSignals()
{
  for (const int number : {SIGTERM, SIGINT})
    OnSignal(number, [this] {
      BeginStop();
    });
  OnSignal(SIGHUP, [this] {
    if (m_on_reload)
      m_on_reload();
  });
  // The state is available at the metrics address.
  for (const int number : {SIGUSR1, SIGUSR2})
    std::signal(number, SIG_IGN);
  Common::DeliverDeferredSignals();
}

int EntryPoint::Run()
{
  HandleSignals();
  Common::LogEvent(Common::LogLevel::Info, "started",
                   {{"callers", m_settings.callers.ToString()},
                    {"data_centre", m_settings.dispatcher.data_centre}});
  g_main_loop_run(MainLoop());
  Common::LogEvent(Common::LogLevel::Info, "stopped", {{"open", m_dispatcher.OpenRequests()}});
  return 0;
}

void EntryPoint::BeginStop()
{
  if (m_stopping)
    return;
  m_stopping = true;
  m_stop_began = Common::Now();
  Common::LogEvent(Common::LogLevel::Info, "stopping", {{"open", m_dispatcher.OpenRequests()}});
  m_dispatcher.BeginStop(m_stop_began + m_settings.stop_grace - STOP_MARGIN);
  m_tunnels.BeginStop();
  if (m_on_stop)
    m_on_stop();
  ContinueStop();
}

void EntryPoint::ContinueStop()
{
  const auto waited = Common::Now() - m_stop_began;
  const bool balancer_notified = waited >= std::min(BALANCER_DELAY, m_settings.stop_grace / 2);
  if (balancer_notified)
    m_dispatcher.CloseIdleConnections();
  const bool grace_over = waited >= m_settings.stop_grace - STOP_MARGIN;
  if (grace_over)
    m_dispatcher.CancelAll();
  // Callers may still be reading responses that are complete here.
  const bool all_sent =
      m_dispatcher.OpenRequests() == 0 && !m_dispatcher.HasUnsentOutput() && !m_tunnels.IsInUse();
  if (grace_over || (balancer_notified && all_sent))
  {
    m_stopped = true;
    g_main_loop_quit(MainLoop());
    return;
  }
  m_stop_timer.Start(STOP_POLL, [this] {
    ContinueStop();
  });
}
} // namespace Gateway

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <map>
#include <memory>

#include "Gateway/Dispatcher.h"
#include "Http/TcpStream.h"
#include "Tunnels/TunnelServer.h"

namespace Gateway
{
struct EntryPointSettings
{
  Http::Endpoint callers;
  Http::Endpoint readiness;
  Http::Endpoint metrics;
  /// Where other daemons open tunnels to servers; unset: none are served.
  std::optional<Http::Endpoint> tunnels;
  Common::Milliseconds stop_grace{8000};
  DispatcherSettings dispatcher;
};

/// HTTP handler for the metrics (/metrics), a dump of the state for operators (/dump) and, on any
/// other path, the platform's readiness probe.
class ProbeResponder : public Http::RequestHandler
{
public:
  using ReadyCheck = std::function<bool()>;
  using Render = std::function<std::string()>;

  ProbeResponder(ReadyCheck is_ready, Render metrics, Render dump)
      : m_is_ready(std::move(is_ready)), m_metrics(std::move(metrics)), m_dump(std::move(dump))
  {
  }

  void AcceptConnection(int fd);
  void OnRequest(const std::shared_ptr<Http::ServerConnection>& connection,
                 Http::ReceivedRequest request) override;
  const Http::ServerLimits& Limits() const override { return m_limits; }
  bool IsStopping() const override { return false; }

private:
  ReadyCheck m_is_ready;
  Render m_metrics;
  Render m_dump;
  Http::ServerLimits m_limits;
  std::map<Http::ServerConnection*, std::shared_ptr<Http::ServerConnection>> m_connections;
};

/// Runs the dispatcher as a process: listeners, readiness, signals and graceful shutdown.
class EntryPoint
{
public:
  explicit EntryPoint(EntryPointSettings settings);

  Common::Result<Common::Done> Start();
  /// Runs the main loop until the graceful shutdown is complete; returns the exit status.
  int Run();
  /// Begins the graceful shutdown, as on SIGTERM.
  void BeginStop();
  /// True once the graceful shutdown is complete.
  bool HasStopped() const { return m_stopped; }
  void Configure(EntryPointSettings settings);
  /// Called on SIGHUP, which asks for the settings to be reloaded.
  void OnReload(std::function<void()> callback) { m_on_reload = std::move(callback); }
  /// Called when the graceful shutdown begins.
  void OnStop(std::function<void()> callback) { m_on_stop = std::move(callback); }
  /// Called before the metrics are exported, to update gauges.
  void OnMetrics(std::function<void(Common::Metrics&)> callback)
  {
    m_on_metrics = std::move(callback);
  }
  Dispatcher& GetDispatcher() { return m_dispatcher; }

private:
  bool IsReady() const;
  /// The address of a server to which this VM connects directly.
  std::optional<Http::Endpoint> ResolveTunnel(const Tunnels::TunnelTarget& target) const;
  std::string RenderMetrics();
  std::string RenderDump() const;
  /// Installs the handlers of all signals that are deferred while the daemon starts.
  void HandleSignals();
  void ContinueStop();

  EntryPointSettings m_settings;
  Dispatcher m_dispatcher;
  ProbeResponder m_probes;
  Tunnels::TunnelServer m_tunnels;
  Http::TcpListener m_callers;
  Http::TcpListener m_readiness;
  Http::TcpListener m_metrics;
  std::function<void()> m_on_reload;
  std::function<void()> m_on_stop;
  std::function<void(Common::Metrics&)> m_on_metrics;
  bool m_stopping = false;
  bool m_stopped = false;
  Common::TimePoint m_stop_began;
  Common::OwnedTimer m_stop_timer;
};
} // namespace Gateway

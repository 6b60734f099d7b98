// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Common/Reactor.h"
#include "Gateway/ConnectionProbe.h"
#include "Gateway/ServerDirectory.h"

namespace Gateway
{
/// Decides whether this VM connects to a backend server directly or through another daemon (the
/// helper). A server that this VM cannot connect to may be down, or this VM may be partitioned from
/// it; only a connection from elsewhere tells the two apart. After a direct connection failed, the
/// server is probed through a helper. If that succeeds, the server is used through helpers until a
/// direct probe succeeds again; otherwise it is treated as failed. Where several servers can only
/// be reached through helpers and none directly, the VM is isolated, and all servers are used
/// through helpers. A VM that reaches no server, whether or not others do, is no helper: what it
/// fails to connect to is no evidence that a server is down.
class ServerPaths
{
public:
  using ProbeHandler = std::function<void(ConnectionProbe::Outcome)>;

  explicit ServerPaths(const ServerDirectory& servers);

  /// Called when a server has become usable through helpers or directly.
  void OnUsable(std::function<void(const ServerPtr&)> callback)
  {
    m_on_usable = std::move(callback);
  }
  /// Called when IsIsolated(), IsCutOff() or ReachesNoServer() changes.
  void OnIsolationChange(std::function<void()> callback)
  {
    m_on_isolation_change = std::move(callback);
  }
  /// Sets the other daemons that may open tunnels, the preferred ones first.
  void SetHelpers(std::vector<Http::Endpoint> helpers);
  const std::vector<Http::Endpoint>& Helpers() const { return m_helpers; }

  /// True if the server is used through a helper.
  bool NeedsHelper(const Server& server) const;
  /// A helper for the next connection to the server; unset if it is direct or there is no helper.
  std::optional<Http::Endpoint> HelperFor(const Server& server, Common::TimePoint now);
  /// True if there is a path to the server that is not known to fail.
  bool HasPath(const Server& server, Common::TimePoint now) const;

  /// Records that a direct connection to the server failed before any byte was sent, and probes the
  /// server through a helper. Returns false if there is no helper; otherwise `on_outcome` is called
  /// with the outcome of the probe.
  bool NoteDirectFailure(const ServerPtr& server, ProbeHandler on_outcome = nullptr);
  /// Records that a server responded on a direct connection, which was a new one or a kept one.
  void NoteDirectResponse(Common::TimePoint now, bool is_new_connection);
  /// Records that this VM, as a helper, could not connect to the server.
  void NoteTunnelFailure(const ServerPtr& server);
  /// Records that a helper opened no tunnel for a reason of its own.
  void NoteHelperFailure(const Http::Endpoint& helper, Common::TimePoint now);
  /// Probes the direct path to a server that has sent nothing for a while, or that ended a
  /// connection before it responded, if it is not being probed and has not been probed lately. The
  /// server is not treated as failed for that.
  void CheckDirectPath(const ServerPtr& server, Common::TimePoint now);

  /// True if this VM reaches servers through helpers only.
  bool IsIsolated() const { return m_isolated; }
  /// True if direct connections to several servers failed and none works. The servers may be down,
  /// or this VM may be partitioned from them.
  bool ReachesNoServer() const { return m_isolated || m_reaches_none; }
  /// True if this VM reaches no server, neither directly nor through helpers.
  bool IsCutOff(Common::TimePoint now) const;

private:
  static constexpr int HELPERS_PER_PROBE = 3;

  /// What is known of the path to one server. Absent while there is no sign of trouble.
  struct Path
  {
    bool needs_helper = false;
    /// When a direct connection last failed; unset after a success.
    std::optional<Common::TimePoint> failed_here_at;
    /// The same, but unset when a connection through a helper failed, too.
    std::optional<Common::TimePoint> failed_at;
    Common::TimePoint checked_at; ///< When the last direct probe of the silent server began.
    std::unique_ptr<ConnectionProbe> direct_probe;
    std::unique_ptr<ConnectionProbe> helper_probe;
    std::vector<ProbeHandler> helper_probe_handlers;
  };

  bool IsUsable(const Http::Endpoint& helper, Common::TimePoint now) const;
  bool HasUsableHelper(Common::TimePoint now) const;
  std::optional<Http::Endpoint> PickHelper(Common::TimePoint now) const;
  /// Starts a probe through a helper; returns false if there is no helper. `attempts`: how many
  /// helpers are tried before a connection that ends at once counts as the server's doing.
  bool ProbeThroughHelper(const ServerPtr& server, int attempts = HELPERS_PER_PROBE);
  void OnHelperProbe(const ServerPtr& server, ConnectionProbe::Outcome outcome);
  void ApplyHelperProbe(const ServerPtr& server, Path& path, ConnectionProbe::Outcome outcome);
  void ProbeDirectly(const ServerPtr& server);
  void OnDirectProbe(const ServerPtr& server, ConnectionProbe::Outcome outcome);
  static void ForgetDirectPath(Server& server);
  /// Uses the server, or all servers if this VM was isolated, directly again.
  void UseDirectPath(const ServerPtr& server);
  void SetIsolated(bool isolated);
  void SetReachesNone(bool reaches_none);
  /// True if connections to several servers failed at that time, lately, and none works.
  bool AllFail(std::optional<Common::TimePoint> Path::*failed_at, Common::TimePoint now) const;
  /// Probes some of the other servers after the path to one was lost.
  void SurveyOtherServers(Common::TimePoint now);
  void UpdateIsolation(Common::TimePoint now);
  /// Probes the direct path of one server that needs a helper, or of any server while none is
  /// reached, at regular intervals.
  void ProbeDirectPaths();
  void DropRemovedServers();

  const ServerDirectory& m_servers;
  std::function<void(const ServerPtr&)> m_on_usable;
  std::function<void()> m_on_isolation_change;
  std::vector<Http::Endpoint> m_helpers;
  std::map<Http::Endpoint, Common::TimePoint> m_failed_helpers; ///< When each last failed.
  std::map<InstanceId, Path> m_paths;
  /// When a new direct connection last succeeded, and when any direct connection last brought data.
  std::optional<Common::TimePoint> m_connected_at;
  std::optional<Common::TimePoint> m_response_at;
  Common::TimePoint m_surveyed_at;
  bool m_isolated = false;
  bool m_reaches_none = false;
  bool m_was_cut_off = false; ///< When it was last evaluated.
  Common::OwnedTimer m_probe_timer;
};
} // namespace Gateway

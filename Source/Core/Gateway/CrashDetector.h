// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "Common/Reactor.h"
#include "Crashes/Fingerprint.h"
#include "Gateway/ConnectionProbe.h"
#include "Gateway/ServerDirectory.h"

namespace Gateway
{
/// Determines, after a connection to a backend server breaks, whether the server has crashed, that
/// is, whether its process has exited without a planned shutdown. A reset connection, a truncated
/// response, a network partition and a planned shutdown look the same at first. A refused
/// connection shows that the process has exited: the host is reachable and nothing listens on the
/// port. If a connection is accepted, the process is running. If the attempt times out, the state
/// stays unknown and is not treated as a crash.
class CrashDetector
{
public:
  /// A request in progress on a server when a connection to it broke.
  struct Suspect
  {
    Crashes::Fingerprint request;
    Common::TimePoint sent_at;
    /// When a server last completed the request successfully; unset if none is known to have.
    std::optional<Common::TimePoint> last_success;
    /// Time since the first bytes of the response; unset if there were none.
    std::optional<Common::Milliseconds> ran_for;
    /// Parts of its prompt that may be the cause.
    std::vector<Crashes::Fingerprint> parts;
  };
  enum class CheckResult
  {
    Crashed,
    Running,
    Unknown, ///< The server could not be reached.
  };
  using ResultHandler = std::function<void(CheckResult)>;
  /// Arguments: the server, when its first connection broke, and the requests that may have caused
  /// the crash.
  using CrashHandler =
      std::function<void(const InstanceId&, Common::TimePoint, const std::vector<Suspect>&)>;

  /// Probes a server that refused a connection from elsewhere; returns false if it cannot.
  using Confirmation = std::function<bool(
      const ServerPtr&, std::function<void(ConnectionProbe::Outcome)> on_outcome)>;

  explicit CrashDetector(const ServerDirectory& servers) : m_servers(servers) {}

  /// A refused connection then counts as a crash only if the server refuses one from elsewhere too:
  /// a partition between this VM and the server may reset connections as well.
  void SetConfirmation(Confirmation confirm) { m_confirm = std::move(confirm); }
  /// Called for each server that has crashed.
  void OnCrashed(CrashHandler handler) { m_on_crashed = std::move(handler); }
  /// Called when the check of a suspected server completes.
  void OnCheckDone(std::function<void()> callback) { m_on_check_done = std::move(callback); }

  /// Records that a connection ended during an exchange, and checks the server. Returns false if
  /// there is no check, since the server shuts down as planned; otherwise `on_result` is called
  /// later.
  bool NoteConnectionEnded(const ServerPtr& server, const Suspect& suspect,
                           ResultHandler on_result = nullptr);
  /// Records that a new connection to the server was refused.
  void NoteConnectionRefused(const ServerPtr& server);
  /// Records that the server refused a connection of another VM.
  void NoteRefusedElsewhere(const ServerPtr& server);
  /// True while it is undetermined whether a server crashed while it processed the request.
  bool IsCheckPending(const Crashes::Fingerprint& request) const;
  /// The same for requests with any of these parts in their prompts.
  bool IsCheckPendingForAny(std::span<const Crashes::Fingerprint> parts) const;
  bool HasPendingChecks() const { return !m_pending_checks.empty(); }

private:
  struct PendingCheck
  {
    ServerPtr server;
    Common::TimePoint since;
    std::vector<Suspect> suspects;
    std::vector<ResultHandler> result_handlers;
    Common::OwnedTimer timer;
    std::unique_ptr<ConnectionProbe> probe;
  };

  void StartProbe(const InstanceId& instance);
  /// Finishes the check of a server that refused a connection.
  void Confirm(const ServerPtr& server, const char* how);
  void Finish(const InstanceId& instance, CheckResult result, const char* how);

  const ServerDirectory& m_servers;
  Confirmation m_confirm;
  CrashHandler m_on_crashed;
  std::function<void()> m_on_check_done;
  std::map<InstanceId, PendingCheck> m_pending_checks;
};
} // namespace Gateway

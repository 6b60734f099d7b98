// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "Common/Reactor.h"
#include "Crashes/Fingerprint.h"
#include "Gateway/ServerDirectory.h"
#include "Http/TcpStream.h"

namespace Gateway
{
/// Finds out whether a backend server's process has ended when a connection to it breaks. A reset
/// connection, a broken answer, a cut and a planned end look alike at first. What settles it is a
/// connection that is refused: the address is reached, and nobody listens. Where the server takes
/// one it lives; where nothing comes back it stays open, and counts as no end.
class EndDetector
{
public:
  /// A request that a server had when a connection to it broke.
  struct Suspect
  {
    Crashes::Fingerprint request;
    Common::TimePoint sent_at;
    /// When a server last ran it to a good end; nothing where none is known to have.
    std::optional<Common::TimePoint> survived_at;
    /// Since the server's first word on it; nothing where there was none.
    std::optional<Common::Milliseconds> ran_for;
  };
  /// Which server, when its first connection broke, and the requests that it may have ended for.
  using EndedHandler =
      std::function<void(const InstanceId&, Common::TimePoint, const std::vector<Suspect>&)>;

  explicit EndDetector(const ServerDirectory& servers) : m_servers(servers) {}

  /// Told of each server that has ended, with the requests that it may have ended for.
  void OnEnded(EndedHandler handler) { m_on_ended = std::move(handler); }
  /// Called when a server in doubt is in doubt no longer.
  void OnSettled(std::function<void()> callback) { m_on_settled = std::move(callback); }

  /// A connection broke in the middle of an exchange.
  void NoteBroken(const ServerPtr& server, const Suspect& suspect);
  /// A new connection to the server was refused.
  void NoteRefused(const ServerPtr& server);
  /// True while it is not settled whether a server has ended under the request.
  bool IsInDoubt(const Crashes::Fingerprint& request) const;

private:
  /// Asks by a connection whether anybody listens.
  class Probe;
  struct Doubt
  {
    ServerPtr server;
    Common::TimePoint since;
    std::vector<Suspect> suspects;
    Common::OwnedTimer timer;
    std::shared_ptr<Probe> probe;
  };

  void Ask(const InstanceId& instance);
  void Settle(const InstanceId& instance, bool ended, const char* how);

  const ServerDirectory& m_servers;
  EndedHandler m_on_ended;
  std::function<void()> m_on_settled;
  std::map<InstanceId, Doubt> m_doubts;
};
} // namespace Gateway

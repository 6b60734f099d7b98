// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Common/Reactor.h"
#include "Http/TcpStream.h"

namespace Gateway
{
/// Connects to a server, directly or through a helper, to learn whether connections to it work, and
/// closes the connection again. Sends no request. A connection that is made and ends at once does
/// not work: something between here and the server accepted it, or the server has no room.
class ConnectionProbe : private Http::StreamEvents
{
public:
  enum class Outcome
  {
    Accepted, ///< The connection was made and stayed open for the hold time.
    Refused,
    Broken,       ///< The connection was made and ended at once.
    Inconclusive, ///< There was no reply in time.
    HelperFailed, ///< The helper was not reached, or did not try.
  };
  /// Called from the main loop, never from the constructor. May destroy the probe.
  using OutcomeHandler = std::function<void(Outcome)>;

  /// How long a connection must stay open to show that the path to the server works.
  static constexpr Common::Milliseconds PATH_HOLD_TIME{100};
  /// Enough to show that the server's process runs.
  static constexpr Common::Milliseconds NO_HOLD_TIME{0};

  /// `hold_time`: how long the connection must stay open to count as accepted.
  ConnectionProbe(const Http::Endpoint& server, Common::Milliseconds hold_time,
                  OutcomeHandler on_outcome);
  /// Probes through `helper`, which gets `open_message` first.
  ConnectionProbe(const Http::Endpoint& helper, const std::string& open_message,
                  OutcomeHandler on_outcome);
  ~ConnectionProbe() override = default;

private:
  void Report(Outcome outcome);
  void OnConnected() override;
  void OnBytes(std::string_view bytes) override;
  void OnEnd(Http::StreamEnd end) override;
  /// Waits whether the connection stays open.
  void Hold();
  /// Defers the callback, since it destroys the probe while its stream is still in a callback.
  void FinishLater(Outcome outcome);

  bool m_through_helper;
  Common::Milliseconds m_hold_time;
  OutcomeHandler m_on_outcome;
  bool m_open = false; ///< The connection to the server was made.
  bool m_finished = false;
  Common::OwnedTimer m_timer;
  std::shared_ptr<Http::TcpStream> m_stream;
};
} // namespace Gateway

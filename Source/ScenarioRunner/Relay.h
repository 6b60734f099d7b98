// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include <gio/gio.h>

#include "Common/Failure.h"
#include "Common/Task.h"
#include "Http/GioAwait.h"

namespace ScenarioRunner
{
/// Forwards TCP connections and UDP datagrams from one loopback address to another. While it is
/// cut, it simulates a network partition: datagrams are dropped; TCP data is held back until the
/// cut ends. Connections are accepted, but not forwarded until then. Datagrams pass in one
/// direction only.
class Relay
{
public:
  Relay(std::string listen, std::string target);

  Common::Result<Common::Done> Open();
  /// Forwards TCP connections only.
  Common::Result<Common::Done> OpenTcp();
  void SetCut(bool cut);
  /// Limits the throughput of each connection, per direction. 0: no limit.
  void SetRate(std::int64_t bytes_per_ms) { m_bytes_per_ms = bytes_per_ms; }

private:
  struct ConnectionPair
  {
    Http::GRef<GSocketConnection> inbound;
    Http::GRef<GSocketConnection> outbound;
  };

  Common::Task<void> HandleConnection(Http::GRef<GSocketConnection> inbound);
  Common::Task<void> ForwardData(std::shared_ptr<ConnectionPair> pair, bool to_target);
  void ForwardDatagrams();

  std::string m_listen;
  std::string m_target;
  Http::GRef<GSocketService> m_service;
  Http::GRef<GSocket> m_udp;
  bool m_cut = false;
  std::int64_t m_bytes_per_ms = 0;
};
} // namespace ScenarioRunner

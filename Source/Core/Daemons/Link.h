// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Common/Failure.h"
#include "Common/Loop.h"
#include "Common/Task.h"
#include "Daemons/Membership.h"
#include "Daemons/Messages.h"

namespace Daemons
{
struct LinkSettings
{
  std::string address; ///< IP address of this daemon.
  int port = 0;        ///< For UDP and TCP.
  std::string key;     ///< Authentication key shared by all daemons.
  Common::Milliseconds heartbeat_interval{250};
  /// Limits on the heartbeat bytes sent per second to the daemons of the same data centre and to
  /// those of other data centres. With many peers the heartbeat interval grows to stay within them.
  std::int64_t local_bytes_per_second = 4500;
  std::int64_t remote_bytes_per_second = 1500;
};

/// Traffic counters of the link, shown in the dump and the metrics.
struct LinkCounters
{
  std::int64_t heartbeats_sent = 0;
  std::int64_t heartbeats_received = 0;
  std::int64_t bytes_sent = 0;
  std::int64_t bytes_received = 0;
  std::int64_t rejected = 0; ///< Wrong key, version or size, malformed, or replayed.
  std::int64_t calls_sent = 0;
  std::int64_t calls_received = 0;
};

/// Communication with the other daemons: heartbeats over UDP, calls over TCP.
class Link
{
public:
  using CallHandler = std::function<Common::Task<Reply>(Call)>;
  using HeartbeatHandler = std::function<void(const Heartbeat&)>;

  Link(LinkSettings settings, Membership& membership);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  void OnCall(CallHandler handler);
  void OnHeartbeat(HeartbeatHandler handler);
  Common::Result<Common::Done> Start();

  /// Calls another daemon, or this one without using the network. Fails with NotSent if there was
  /// no connection, and with Timeout or OutcomeUnknown if the peer may have received the call.
  Common::Task<Common::Result<Reply>> SendCall(Common::VmId vm, Call call,
                                               Common::Milliseconds timeout);

  /// Sends heartbeats without waiting for the next interval, after a change of the local state.
  void ScheduleHeartbeats();

  const LinkCounters& Counters() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};
} // namespace Daemons

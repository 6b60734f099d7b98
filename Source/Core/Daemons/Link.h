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
  std::string address; ///< Of this daemon: IP.
  int port = 0;        ///< UDP and TCP.
  std::string key;     ///< Shared by all daemons.
  Common::Milliseconds heartbeat_interval{250};
  /// For control this daemon sends at most so many bytes of heartbeats a second to the daemons of
  /// its data centre, and to those of the others: with many peers the intervals grow instead.
  std::int64_t local_bytes_per_second = 4500;
  std::int64_t remote_bytes_per_second = 1500;
};

/// Counters of what went over the link; read by the dump and the metrics.
struct LinkCounters
{
  std::int64_t heartbeats_sent = 0;
  std::int64_t heartbeats_received = 0;
  std::int64_t bytes_sent = 0;
  std::int64_t bytes_received = 0;
  std::int64_t rejected = 0; ///< Wrong key, version, size, form, or a replay.
  std::int64_t calls_sent = 0;
  std::int64_t calls_received = 0;
};

/// Speaks with the other daemons: heartbeats by UDP, calls by TCP.
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

  /// Calls another daemon, or this one without the network. Failures: NotSent where no connection
  /// was had; Timeout and OutcomeUnknown where it may have been received.
  Common::Task<Common::Result<Reply>> Ask(Common::VmId vm, Call call, Common::Milliseconds timeout);

  /// Sends heartbeats now instead of at the next interval: there is news.
  void Announce();

  const LinkCounters& Counters() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};
} // namespace Daemons

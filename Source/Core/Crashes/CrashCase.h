// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Common/Units.h"
#include "Crashes/Fingerprint.h"

/// Messages between daemons about requests that crash servers. Times are sent as ages, because
/// daemons share no clock.
namespace Crashes
{
/// Identifies one instance of a backend server's process.
using ServerInstance = Common::StrongId<struct ServerInstanceTag>;

/// A server process that crashed while it processed the request.
struct CrashLine
{
  ServerInstance server;
  std::int64_t age_ms = 0;
  std::int64_t sent_age_ms = 0;      ///< Since the request was sent to the server.
  std::vector<Common::VmId> seen_by; ///< Some of the VMs that observed the crash.
  bool responding = false; ///< The server had begun to respond, wherever the request came from.
  bool explained = false;  ///< Other requests caused the crash.

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(server, age_ms, sent_age_ms, seen_by, responding, explained);
  }
};

/// The state of one suspected request.
struct CaseLine
{
  Fingerprint request;
  std::vector<CrashLine> server_crashes;
  std::int64_t last_success_age_ms = -1; ///< Since its last successful completion; -1 if none.
  std::int64_t blocked_for_ms = 0;       ///< Remaining time of the block; 0 if it is not blocked.
  std::int32_t blocks = 0;               ///< How often it has been blocked.

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(request, server_crashes, last_success_age_ms, blocked_for_ms, blocks);
  }
};

/// Formats the list for logs: "SERVER AGE ms ago, seen by VM VM; ...".
std::string Describe(const std::vector<CrashLine>& server_crashes);
} // namespace Crashes

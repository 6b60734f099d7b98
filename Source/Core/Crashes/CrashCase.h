// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Common/Units.h"
#include "Crashes/Fingerprint.h"

/// What daemons tell each other of requests that end servers. Times are ages, since daemons have no
/// clock in common.
namespace Crashes
{
/// One life of one backend server's process.
using ServerLife = Common::StrongId<struct ServerLifeTag>;

/// A server's life that ended while it had the request.
struct EndingLine
{
  ServerLife server;
  std::int64_t age_ms = 0;
  std::int64_t sent_age_ms = 0;      ///< Since the request had been sent there.
  std::vector<Common::VmId> seen_by; ///< Some of the VMs whose requests were there.

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(server, age_ms, sent_age_ms, seen_by);
  }
};

/// All that is known of one request.
struct CaseLine
{
  Fingerprint request;
  std::vector<EndingLine> endings;
  std::int64_t survived_age_ms = -1; ///< Since a server last ran it to a good end; -1: none did.
  std::int64_t blocked_for_ms = 0;   ///< So long no server gets it; 0: it is not blocked.
  std::int32_t blocks = 0;           ///< How often it has been blocked.

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(request, endings, survived_age_ms, blocked_for_ms, blocks);
  }
};

/// "SERVER AGE s ago, seen by VM VM; ...", for logs.
std::string Describe(const std::vector<EndingLine>& endings);
} // namespace Crashes

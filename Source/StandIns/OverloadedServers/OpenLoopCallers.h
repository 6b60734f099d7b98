// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Common/Random.h"
#include "Common/Reactor.h"
#include "Http/Channel.h"

namespace OverloadedServers
{
/// One request of a caller, which is not retried.
struct Attempt
{
  std::size_t vm = 0;
  Common::TimePoint sent_at;
  Common::Milliseconds took{0};
  int status = 0; ///< 0: no response.

  bool IsServed() const { return status == 200; }
};

/// Callers that send requests at a rate that does not depend on the responses, over connections
/// that they keep.
class OpenLoopCallers
{
public:
  struct Surroundings
  {
    /// The VMs to which callers send.
    std::function<std::vector<std::size_t>()> vms;
    std::function<Http::Endpoint(std::size_t vm)> endpoint;
    /// Requests a second that all callers send now.
    std::function<double()> rate;
    /// Paths of the requests, in turn.
    std::vector<std::string> paths;
  };

  /// Requests come in clumps of `clump`, each at one VM.
  OpenLoopCallers(Common::Random random, Surroundings surroundings, std::size_t clump);

  void Start();
  /// Sends nothing more.
  void Stop() { m_timer.Stop(); }
  /// The requests that have ended.
  const std::vector<Attempt>& Ended() const { return m_ended; }

private:
  void Tick();
  void Send(std::size_t vm);
  Http::Channel& ChannelTo(std::size_t vm);

  Common::Random m_random;
  Surroundings m_surroundings;
  std::size_t m_clump;
  std::map<std::size_t, std::unique_ptr<Http::Channel>> m_channels;
  std::vector<Attempt> m_ended;
  double m_due = 0; ///< Requests that should have been sent and were not yet.
  Common::TimePoint m_ticked_at;
  std::uint64_t m_last_id = 0;
  Common::OwnedTimer m_timer;
};
} // namespace OverloadedServers

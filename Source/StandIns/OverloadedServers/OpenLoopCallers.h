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
  enum class Arrivals
  {
    Even,
    Poisson,
  };
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
  OpenLoopCallers(Common::Random random, Surroundings surroundings, std::size_t clump,
                  Arrivals arrivals = Arrivals::Even);

  void Start();
  /// Sends nothing more.
  void Stop() { m_timer.Stop(); }
  /// The requests that have ended.
  const std::vector<Attempt>& Ended() const { return m_ended; }
  /// The number of requests that have not ended.
  std::size_t Open() const { return m_last_id - m_ended.size(); }

private:
  void Tick();
  /// The number of clumps' worth of time until the next one.
  double NextGap();
  void Send(std::size_t vm);
  Http::Channel& ChannelTo(std::size_t vm);

  Common::Random m_random;
  Surroundings m_surroundings;
  std::size_t m_clump;
  Arrivals m_arrivals;
  std::map<std::size_t, std::unique_ptr<Http::Channel>> m_channels;
  std::vector<Attempt> m_ended;
  double m_due = 0; ///< Requests that should have been sent and were not yet.
  double m_gap = 1; ///< Until the next clump, in mean gaps.
  Common::TimePoint m_ticked_at;
  std::uint64_t m_last_id = 0;
  Common::OwnedTimer m_timer;
};
} // namespace OverloadedServers

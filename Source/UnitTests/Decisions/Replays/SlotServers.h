// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Decisions/PlaceShares.h"

namespace UnitTests
{
/// The choice of a server at one VM, as the replay calls it.
class ServerChooser
{
public:
  virtual ~ServerChooser() = default;
  /// `totals`: the open requests of all other VMs at each candidate, at the last announcement.
  virtual std::optional<std::size_t>
  Choose(const std::vector<Decisions::ShareCandidate>& candidates,
         const std::vector<std::int64_t>& totals, Common::TimePoint now) = 0;
  virtual void NoteResponse(const Common::VmId&, Common::Milliseconds, Common::TimePoint) {}
  /// By default, all servers are average.
  virtual double SpeedOf(const Common::VmId&, Common::TimePoint) const { return 1; }
};
using MakeChooser = std::function<std::unique_ptr<ServerChooser>(std::size_t vm, std::size_t vms)>;

struct SlotServersSettings
{
  std::size_t vms = 6;
  std::size_t servers = 12;
  int slots = 3;
  std::size_t queue = 12;
  double service_s = 0.12;
  double load = 0.7;
  /// Repeated over the servers; empty: all have a speed of 1.
  std::vector<double> speeds;
  /// Requests that arrive at the same moment, each at a random VM.
  std::size_t burst = 1;
  /// Servers that end at half of the time, each replaced at once by one with a new id. A VM learns
  /// it within half a second.
  std::size_t replaced = 0;
  double warm_up_s = 2;
  double duration_s = 20;
};

struct SlotServersResult
{
  std::size_t requests = 0;
  std::size_t rejected = 0;      ///< By a server whose queue is full; sent to another one then.
  std::size_t unserved = 0;      ///< No server took it.
  std::size_t waited_beside = 0; ///< Waited at a server while another had a free slot.
  double response_s = 0;         ///< Sum.
  /// Sum with one shared queue for the same slots and arrivals, which uses the fastest free slot.
  double shared_queue_s = 0;
  /// The same if the queue uses the slot that has been free for longest.
  double idle_queue_s = 0;

  double Ratio() const { return response_s / shared_queue_s; }
  double RatioToIdleQueue() const { return response_s / idle_queue_s; }
  double WaitedShare() const
  {
    return static_cast<double>(waited_beside) / static_cast<double>(requests);
  }
  SlotServersResult& operator+=(const SlotServersResult& other);
};

/// Replays seeded Poisson arrivals in virtual time at VMs that choose among servers with slots and
/// a queue each.
SlotServersResult ReplaySlotServers(const SlotServersSettings& settings, const MakeChooser& make,
                                    std::uint64_t seed);
} // namespace UnitTests

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Common/Loop.h"
#include "Common/Random.h"
#include "Http/Channel.h"
#include "StandIns/ResumedStreams/ResumptionChecker.h"
#include "StandIns/ResumedStreams/StreamCallers.h"
#include "StandIns/Soak/InvariantChecker.h"
#include "StandIns/Soak/StandInServer.h"

namespace Soak
{
using Servers = std::vector<std::unique_ptr<StandInServer>>;

/// Streams of servers of two software versions, which callers take up at random VMs in touch.
class VersionedStreams
{
public:
  /// A VM as its callers see it.
  struct Vm
  {
    std::string name;
    Http::Endpoint endpoint;
    std::unique_ptr<Http::Channel> readiness;
    bool ready = false;
    Common::TimePoint suspended_until;
    Common::TimePoint cut_until; ///< It is cut from the store before.
    std::uint64_t faults = 0;
    std::uint64_t ends = 0; ///< How often its process was ended.
  };

  VersionedStreams(Common::Random random, std::vector<Vm> vms, const Servers& servers,
                   InvariantChecker& invariants);

  void Start();
  /// Reports the rules that are broken. Nothing is counted afterwards.
  void Stop(const std::string& log_directory);

  /// The process of the VM ends now.
  /// Callers also use VMs that are cut off from the store.
  void UseCutVms(bool use) { m_uses_cut_vms = use; }
  void RecordEnd(std::size_t vm);
  /// The process of the VM has been started; the VM is in touch once it reports that it is ready.
  void RecordLaunch(std::size_t vm);
  void RecordSuspension(std::size_t vm, Common::Milliseconds span);
  void RecordCut(std::size_t vm, Common::Milliseconds span);

private:
  std::optional<std::size_t> DrawVm();
  void AwaitReady(std::size_t vm, std::uint64_t ends);
  ResumedStreams::CallerSurroundings Surroundings();

  Common::Random m_random;
  std::vector<Vm> m_vms;
  bool m_uses_cut_vms = false;
  const Servers& m_servers;
  InvariantChecker& m_invariants;
  ResumedStreams::ResumptionChecker m_checker;
  ResumedStreams::StreamCallers m_callers;
};
} // namespace Soak

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Common/Units.h"
#include "Http/Channel.h"
#include "ScenarioRunner/Processes.h"

namespace ResumedStreams
{
/// Where a daemon reaches the store, and listens for the messages of other daemons.
struct DaemonAddresses
{
  Http::Endpoint store;
  Http::Endpoint messages_listen;
};

/// Real daemons, each on a loopback address of its own, that can be killed, stopped and frozen.
class DaemonPool
{
public:
  DaemonPool(std::string binary, std::string net, std::string logs, std::size_t daemons,
             std::size_t data_centres);

  /// Name of the data centre with this index.
  static std::string DataCentre(std::size_t index) { return "z" + std::to_string(index + 1); }
  /// From now on each daemon connects from its own address, so that servers can tell them apart.
  void ConnectFromOwnAddresses() { m_connects_from_own_address = true; }
  /// Called for each daemon as it is set up, with its IP address and where others reach it.
  using Translation =
      std::function<DaemonAddresses(const std::string& ip, const Http::Endpoint& messages)>;
  /// From now on the daemons are behind an address translation.
  void Translate(Translation translation) { m_translation = std::move(translation); }
  void Start(const Http::Endpoint& store);
  std::size_t Size() const { return m_daemons.size(); }
  std::optional<std::size_t> Find(const std::string& name) const;
  Http::Endpoint CallerEndpoint(std::size_t index) const;
  Http::Endpoint MetricsEndpoint(std::size_t index) const;
  /// The daemon is ready, and neither killed, stopped nor frozen.
  bool IsInTouch(std::size_t index) const;
  std::vector<std::size_t> InTouch() const;
  /// The most memory that the daemon's process has had resident since it was started, in bytes; 0
  /// if it does not run.
  std::size_t PeakMemory(std::size_t index) const;
  /// The number of faults that the daemon has had.
  std::uint64_t Faults(std::size_t index) const { return m_daemons[index].faults; }
  /// When the daemon became ready for the last time.
  Common::TimePoint ReadySince(std::size_t index) const { return m_daemons[index].ready_since; }
  /// Sends SIGKILL or SIGTERM and starts the daemon again once it has ended and the time has
  /// passed. Has no effect on a daemon that does not run or is frozen.
  void End(std::size_t index, int signal, Common::Milliseconds down_time);
  /// Sends SIGSTOP, and SIGCONT after the time.
  void Freeze(std::size_t index, Common::Milliseconds span);
  void KillAll() { m_processes.KillAll(); }

private:
  struct Daemon
  {
    std::string name;
    std::string ip;
    std::string messages_listen; ///< Empty without an address translation.
    int pid = 0;
    bool ready = false;
    bool frozen = false;
    std::uint64_t faults = 0;
    Common::TimePoint ready_since;
    std::unique_ptr<Http::Channel> readiness;
  };

  void Launch(Daemon& daemon);
  void LaunchAfterExit(Daemon& daemon);
  /// Polls the daemon until it is ready.
  void AwaitReady(Daemon& daemon);

  std::string m_binary;
  std::string m_logs;
  std::size_t m_data_centres;
  bool m_connects_from_own_address = false;
  Translation m_translation;
  ScenarioRunner::Processes m_processes;
  std::vector<Daemon> m_daemons;
};
} // namespace ResumedStreams

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "StandIns/ResumedStreams/DaemonPool.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "Common/Json.h"
#include "Common/Loop.h"
#include "Common/Reactor.h"

namespace ResumedStreams
{
namespace
{
using Common::Json;
using Common::Milliseconds;

constexpr int CALLER_PORT = 8301;
constexpr int READINESS_PORT = 8302;
constexpr int METRICS_PORT = 8303;
constexpr int FIRST_PEER_PORT = 8304;
constexpr int LAST_PEER_PORT = 8309;
/// Last octet of the address of the first daemon.
constexpr std::size_t FIRST_ADDRESS = 10;
constexpr Milliseconds POLL_INTERVAL{20};
constexpr Http::CallTimeouts PROBE_TIMEOUTS{Milliseconds(500), Milliseconds(500)};
constexpr int STATUS_OK = 200;

std::string At(const std::string& ip, int port)
{
  return ip + ":" + std::to_string(port);
}
} // namespace

DaemonPool::DaemonPool(std::string binary, std::string net, std::string logs, std::size_t daemons,
                       std::size_t data_centres)
    : m_binary(std::move(binary)),
      m_logs(std::move(logs)),
      m_data_centres(data_centres),
      m_processes(m_logs),
      m_daemons(daemons)
{
  for (std::size_t i = 0; i < daemons; ++i)
  {
    m_daemons[i].name = "vm-" + std::to_string(i);
    m_daemons[i].ip = net + "." + std::to_string(FIRST_ADDRESS + i);
  }
}

void DaemonPool::Start(const Http::Endpoint& store)
{
  for (std::size_t i = 0; i < m_daemons.size(); ++i)
  {
    Daemon& daemon = m_daemons[i];
    daemon.readiness =
        std::make_unique<Http::Channel>(*Http::Endpoint::Parse(At(daemon.ip, READINESS_PORT)));
    Http::Endpoint own_store = store;
    if (m_translation)
    {
      const DaemonAddresses addresses =
          m_translation(daemon.ip, *Http::Endpoint::Parse(At(daemon.ip, FIRST_PEER_PORT)));
      own_store = addresses.store;
      daemon.messages_listen = addresses.messages_listen.ToString();
    }
    const Json settings = {
        {"nodeName", daemon.name},
        {"zone", DataCentre(i % m_data_centres)},
        {"portRange", {FIRST_PEER_PORT, LAST_PEER_PORT}},
        {"listen",
         {{"front", At(daemon.ip, CALLER_PORT)}, {"ready", At(daemon.ip, READINESS_PORT)}}},
        {"bounds", {{"graceS", 3}, {"leaseMs", 3000}, {"budgetSlack", 100}}},
        {"platform", {{"address", own_store.ToString()}}}};
    std::ofstream(m_logs + "/" + daemon.name + ".json") << settings.dump();
    std::filesystem::remove(m_logs + "/" + daemon.name + ".log");
    Launch(daemon);
  }
}

std::optional<std::size_t> DaemonPool::Find(const std::string& name) const
{
  const auto found = std::ranges::find(m_daemons, name, &Daemon::name);
  if (found == m_daemons.end())
    return std::nullopt;
  return static_cast<std::size_t>(found - m_daemons.begin());
}

Http::Endpoint DaemonPool::CallerEndpoint(std::size_t index) const
{
  return *Http::Endpoint::Parse(At(m_daemons[index].ip, CALLER_PORT));
}

Http::Endpoint DaemonPool::MetricsEndpoint(std::size_t index) const
{
  return *Http::Endpoint::Parse(At(m_daemons[index].ip, METRICS_PORT));
}

bool DaemonPool::IsInTouch(std::size_t index) const
{
  return m_daemons[index].ready && !m_daemons[index].frozen;
}

std::size_t DaemonPool::PeakMemory(std::size_t index) const
{
  constexpr std::size_t BYTES_PER_KB = 1024;
  std::ifstream status("/proc/" + std::to_string(m_daemons[index].pid) + "/status");
  for (std::string field; status >> field;)
  {
    std::size_t kilobytes = 0;
    if (field == "VmHWM:" && status >> kilobytes)
      return kilobytes * BYTES_PER_KB;
  }
  return 0;
}

std::vector<std::size_t> DaemonPool::InTouch() const
{
  std::vector<std::size_t> found;
  found.reserve(m_daemons.size());
  for (std::size_t i = 0; i < m_daemons.size(); ++i)
    if (IsInTouch(i))
      found.push_back(i);
  return found;
}

void DaemonPool::End(std::size_t index, int signal, Milliseconds down_time)
{
  Daemon& daemon = m_daemons[index];
  if (!IsInTouch(index))
    return;
  ++daemon.faults;
  daemon.ready = false;
  m_processes.Signal(daemon.pid, signal);
  Common::Reactor::Get().After(down_time, [this, &daemon] {
    LaunchAfterExit(daemon);
  });
}

void DaemonPool::LaunchAfterExit(Daemon& daemon)
{
  if (m_processes.ExitStatus(daemon.pid))
  {
    Launch(daemon);
    return;
  }
  Common::Reactor::Get().After(POLL_INTERVAL, [this, &daemon] {
    LaunchAfterExit(daemon);
  });
}

void DaemonPool::Launch(Daemon& daemon)
{
  setenv("DRUMPOND_BOOT", (m_logs + "/" + daemon.name + ".json").c_str(), 1);
  setenv("DRUMPOND_METRICS_PORT", std::to_string(METRICS_PORT).c_str(), 1);
  if (m_connects_from_own_address)
    setenv("DRUMPOND_SOURCE_ADDRESS", daemon.ip.c_str(), 1);
  if (!daemon.messages_listen.empty())
    setenv("DRUMPOND_MESSAGES_LISTEN", daemon.messages_listen.c_str(), 1);
  daemon.pid = m_processes.Start(daemon.name, {m_binary});
  AwaitReady(daemon);
}

void DaemonPool::AwaitReady(Daemon& daemon)
{
  daemon.readiness->Call({"GET", "/ready", {}, ""}, PROBE_TIMEOUTS,
                         [this, &daemon](Common::Result<Http::CompleteResponse> response) {
                           if (response && response->status == STATUS_OK)
                           {
                             daemon.ready = true;
                             daemon.ready_since = Common::Now();
                             return;
                           }
                           Common::Reactor::Get().After(POLL_INTERVAL, [this, &daemon] {
                             AwaitReady(daemon);
                           });
                         });
}

void DaemonPool::Freeze(std::size_t index, Milliseconds span)
{
  Daemon& daemon = m_daemons[index];
  if (!IsInTouch(index))
    return;
  ++daemon.faults;
  daemon.frozen = true;
  m_processes.Signal(daemon.pid, SIGSTOP);
  Common::Reactor::Get().After(span, [this, &daemon] {
    daemon.frozen = false;
    m_processes.Signal(daemon.pid, SIGCONT);
  });
}
} // namespace ResumedStreams

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Starts daemons with the command of the deploy file, one loopback address each, and records what
// was seen.

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include "Store.h"

namespace Review
{
/// The lines of record.txt, in the order of the events.
class Record
{
public:
  explicit Record(const std::string& path) : m_file(path) {}
  void Line(const std::string& text)
  {
    const std::lock_guard lock(m_mutex);
    m_file << NowMs() << " ms  " << text << '\n' << std::flush;
  }

private:
  std::mutex m_mutex;
  std::ofstream m_file;
};

/// Addresses 127.A.B.N that nothing else uses, drawn for this run.
class LoopbackNet
{
public:
  LoopbackNet()
  {
    const auto pid = static_cast<unsigned>(getpid());
    m_prefix =
        "127." + std::to_string(100 + pid % 100) + "." + std::to_string(pid / 100 % 250) + ".";
  }
  std::string Ip(int number) const { return m_prefix + std::to_string(number); }

private:
  std::string m_prefix;
};

/// Settings as the platform fills them into deploy/settings.json.
struct DaemonSettings
{
  std::string name;
  std::string ip;
  std::string zone;
  Address store;
  Json bounds;
  Json zones;

  static constexpr int FRONT = 8783;
  static constexpr int READY = 8780;
  Address Front() const { return {ip, FRONT}; }
  Address Ready() const { return {ip, READY}; }

  Json ToJson() const
  {
    return {{"nodeName", name},
            {"role", "entry"},
            {"machineClass", "front"},
            {"serves", {"front"}},
            {"ip", ip},
            {"zone", zone},
            {"region", "r"},
            {"portRange", {7400, 7415}},
            {"bootstrap", true},
            {"discovery", "platform"},
            {"entry", "virtual_ip"},
            {"heartbeatMs", 1200},
            {"zones", zones},
            {"listen", {{"front", Front().Text()}, {"ready", Ready().Text()}}},
            {"limits",
             {{"cpuShare", 0.25},
              {"cores", 1},
              {"memoryMb", 260},
              {"maxFds", 4100},
              {"linkMbps", 1000.0},
              {"diskMb", 0}}},
            {"bounds", bounds},
            {"platform",
             {{"address", store.Text()},
              {"form", "table"},
              {"writesPerS", 400},
              {"readsPerS", 2000},
              {"txMs", 8.0},
              {"partWritesPerS", 150},
              {"rowBytes", 65536},
              {"across", false},
              {"historyS", 20}}}};
  }
};

/// The bounds of a small deployment.
inline Json SmallBounds()
{
  return {{"seedLagS", 3},       {"reuseAfterS", 2},       {"contactMs", 3000},
          {"ackMs", 4000},       {"catchUpS", 4},          {"drainMs", 2000},
          {"graceS", 8},         {"lostMs", 200},          {"configMs", 2000},
          {"outerMs", 5000},     {"rollbackSlackMs", 250}, {"retryBudgetRatio", 0.2},
          {"budgetWindowS", 10}, {"budgetSlack", 52},      {"recoverS", 12},
          {"passMs", 120},       {"requireFence", false},  {"leaseMs", 3000},
          {"thawMs", 300},       {"ceilingWindowS", 5},    {"ceilingOver", 1.1}};
}

/// One daemon process.
class Daemon
{
public:
  Daemon(DaemonSettings settings, std::string folder)
      : m_settings(std::move(settings)), m_folder(std::move(folder))
  {
  }
  ~Daemon() { Kill(); }
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  const DaemonSettings& Settings() const { return m_settings; }
  pid_t Pid() const { return m_pid; }

  void Start()
  {
    const std::string file = m_folder + "/" + m_settings.name + ".json";
    std::ofstream(file) << m_settings.ToJson().dump();
    const std::string log = m_folder + "/" + m_settings.name + ".log";
    const std::string boot = "DRUMPOND_BOOT=" + file;
    // As in the deploy file: `run`, and the variables of `env`.
    const std::string program = std::filesystem::absolute("target/bin/drumpondd").string();
    m_pid = fork();
    if (m_pid != 0)
      return;
    // If the case is ended from outside, the daemon ends too.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    const char* const arguments[] = {program.c_str(), nullptr};
    const char* const variables[] = {boot.c_str(), "GSETTINGS_BACKEND=memory", "LANG=C", nullptr};
    execve(program.c_str(), const_cast<char* const*>(arguments),
           const_cast<char* const*>(variables));
    _exit(127);
  }
  void Signal(int number) const
  {
    if (m_pid > 0)
      kill(m_pid, number);
  }
  /// True once the process has ended; `status` gets its wait status.
  bool HasEnded(int* status)
  {
    if (m_pid <= 0)
      return true;
    if (waitpid(m_pid, status, WNOHANG) != m_pid)
      return false;
    m_pid = -1;
    return true;
  }
  void Kill()
  {
    if (m_pid <= 0)
      return;
    kill(m_pid, SIGCONT);
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = -1;
  }

private:
  DaemonSettings m_settings;
  std::string m_folder;
  pid_t m_pid = -1;
};

/// Sends a request on a connection of its own and returns the answer; nullopt without a whole one.
inline std::optional<Message> Ask(const Address& to, const std::string& request,
                                  std::int64_t timeout_ms = 3000)
{
  const int fd = Connect(to);
  if (fd < 0)
    return std::nullopt;
  Message answer;
  Reader reader(fd);
  const bool is_whole =
      SendAll(fd, request) && reader.Read(answer, true, timeout_ms) == ReadEnd::Message;
  close(fd);
  return is_whole ? std::optional(answer) : std::nullopt;
}

inline bool IsReady(const DaemonSettings& settings)
{
  const auto answer = Ask(settings.Ready(), "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", 500);
  return answer && answer->Status() == 200;
}

/// Waits until a condition holds; false after the time.
inline bool WaitFor(std::int64_t timeout_ms, const std::function<bool()>& condition)
{
  const std::int64_t until = NowMs() + timeout_ms;
  while (!condition())
  {
    if (NowMs() > until)
      return false;
    SleepMs(50);
  }
  return true;
}

/// A folder that is removed at the end.
class TemporaryFolder
{
public:
  TemporaryFolder()
  {
    std::string text = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    m_path = mkdtemp(text.data());
  }
  ~TemporaryFolder()
  {
    if (std::getenv("KEEP") == nullptr)
      std::filesystem::remove_all(m_path);
    else
      std::cerr << "kept: " << m_path << "\n";
  }
  const std::string& Path() const { return m_path; }

private:
  std::string m_path;
};

/// False with TROUBLE=0, for a run without the disruption.
inline bool HasTrouble()
{
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

/// Exit codes of a case.
constexpr int RULE_HELD = 0;
constexpr int RULE_BROKEN = 1;
constexpr int COULD_NOT_RUN = 2;
} // namespace Review

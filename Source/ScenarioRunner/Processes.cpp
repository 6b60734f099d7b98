// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "ScenarioRunner/Processes.h"

#include <algorithm>
#include <csignal>
#include <ctime>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace ScenarioRunner
{
Processes::~Processes()
{
  KillAll();
}

int Processes::Start(const std::string& name, const std::vector<std::string>& command)
{
  std::vector<char*> arguments;
  std::ranges::transform(command, std::back_inserter(arguments), [](const std::string& text) {
    return const_cast<char*>(text.c_str());
  });
  arguments.push_back(nullptr);
  const std::string log = m_log_directory + "/" + name + ".log";
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid == 0)
  {
    // The kernel kills this process when the scenario runner dies, so that no process is left over.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
      _exit(1);
    const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    execv(arguments.front(), arguments.data());
    _exit(127);
  }
  if (pid > 0)
    m_processes[pid] = std::nullopt;
  return std::max(pid, 0);
}

void Processes::Signal(int pid, int signal)
{
  // Signals only processes that were started here and not reaped yet: the kernel cannot have reused
  // their ids.
  const auto found = m_processes.find(pid);
  if (found != m_processes.end() && !ExitStatus(pid))
    kill(pid, signal);
}

std::chrono::nanoseconds Processes::TimeOnCpu(int pid)
{
  clockid_t clock{};
  timespec spent{};
  if (clock_getcpuclockid(pid, &clock) != 0 || clock_gettime(clock, &spent) != 0)
    return std::chrono::nanoseconds(0);
  return std::chrono::seconds(spent.tv_sec) + std::chrono::nanoseconds(spent.tv_nsec);
}

std::optional<int> Processes::ExitStatus(int pid)
{
  const auto found = m_processes.find(pid);
  if (found == m_processes.end())
    return std::nullopt;
  if (found->second)
    return found->second;
  int status = 0;
  if (waitpid(pid, &status, WNOHANG) == pid)
    found->second = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  return found->second;
}

void Processes::KillAll()
{
  for (const auto& [pid, status] : m_processes)
    if (!status)
    {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
  m_processes.clear();
}
} // namespace ScenarioRunner

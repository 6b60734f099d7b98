// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ScenarioRunner
{
/// The processes that a scenario started. The destructor kills those that still run.
class Processes
{
public:
  explicit Processes(std::string log_directory) : m_log_directory(std::move(log_directory)) {}
  ~Processes();
  Processes(const Processes&) = delete;
  Processes& operator=(const Processes&) = delete;

  /// Starts a program and appends its output to NAME.log. Returns the process id, or 0 if the
  /// process could not be created.
  int Start(const std::string& name, const std::vector<std::string>& command);
  void Signal(int pid, int signal);
  /// Returns how long the process has run on a processor; 0 for processes that have ended.
  static std::chrono::nanoseconds TimeOnCpu(int pid);
  /// Returns the exit status, or 128 + the signal that killed the process. Returns nullopt while
  /// the process runs, and for processes not started here.
  std::optional<int> ExitStatus(int pid);
  void KillAll();

private:
  std::string m_log_directory;
  std::map<int, std::optional<int>> m_processes;
};
} // namespace ScenarioRunner

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ScenarioRunner
{
/// The processes that a scenario started; all are ended with it.
class Processes
{
public:
  explicit Processes(std::string log_directory) : m_log_directory(std::move(log_directory)) {}
  ~Processes();
  Processes(const Processes&) = delete;
  Processes& operator=(const Processes&) = delete;

  /// Starts a program with its output in NAME.log; gives its process id, or 0.
  int Start(const std::string& name, const std::vector<std::string>& command);
  void Signal(int pid, int signal);
  /// The exit status (128 + signal for a killed one) once the process has ended.
  std::optional<int> Ended(int pid);
  void EndAll();

private:
  std::string m_log_directory;
  std::map<int, std::optional<int>> m_processes;
};
} // namespace ScenarioRunner

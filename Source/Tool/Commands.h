// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <string>
#include <vector>

#include "Tool/OperatorClient.h"
#include "Tool/Output.h"

namespace Tool
{
/// Options of the command line, and the arguments that follow the command's name.
struct Invocation
{
  std::vector<std::string> arguments;
  std::string address;
  std::string token;
  std::string who;
  std::string change_id;
  std::int64_t count = 20;
  bool json = false;
  bool wait = true;

  OperatorClient Client() const { return {address, token}; }
};

/// One command of the tool.
struct Command
{
  std::string words; ///< The command's name as typed, such as "table apply".
  std::string arguments;
  std::string help;
  std::string example;
  /// Exact number of arguments; a minimum if `arguments` ends in "...".
  std::size_t argument_count;
  ExitStatus (*run)(const Invocation&);
};

/// Returns all commands, in the order in which the help lists them.
const std::vector<Command>& Commands();

/// Prints a failure to standard error and returns the matching exit status.
ExitStatus ReportFailure(const Common::Failure& failure);

ExitStatus TableCheck(const Invocation& invocation);
ExitStatus TablePlan(const Invocation& invocation);
ExitStatus TableApply(const Invocation& invocation);
ExitStatus TableShow(const Invocation& invocation);
ExitStatus TableExport(const Invocation& invocation);
ExitStatus TableHistory(const Invocation& invocation);
ExitStatus TableStatus(const Invocation& invocation);

ExitStatus ShowModels(const Invocation& invocation);
ExitStatus ShowServers(const Invocation& invocation);
ExitStatus ShowDaemons(const Invocation& invocation);
ExitStatus ShowDump(const Invocation& invocation);
ExitStatus Explain(const Invocation& invocation);
ExitStatus ExplainLog(const Invocation& invocation);
ExitStatus AccountRequests(const Invocation& invocation);
ExitStatus CheckSettings(const Invocation& invocation);
} // namespace Tool

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <string>
#include <vector>

#include "Tool/OperatorClient.h"
#include "Tool/Output.h"

namespace Tool
{
/// The command line after the command's words.
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
  std::string words; ///< As typed: "table apply".
  std::string arguments;
  std::string help;
  std::string example;
  std::size_t argument_count; ///< Or more, where the arguments end in "...".
  ExitStatus (*run)(const Invocation&);
};

/// All commands, in the order of the help.
const std::vector<Command>& Commands();

/// Reports a failure on standard error and gives the exit status for it.
ExitStatus Report(const Common::Failure& failure);

ExitStatus TableCheck(const Invocation& invocation);
ExitStatus TablePlan(const Invocation& invocation);
ExitStatus TableApply(const Invocation& invocation);
ExitStatus TableShow(const Invocation& invocation);
ExitStatus TableExport(const Invocation& invocation);
ExitStatus TableHistory(const Invocation& invocation);
ExitStatus TableStatus(const Invocation& invocation);

ExitStatus ShowModels(const Invocation& invocation);
ExitStatus ShowRunners(const Invocation& invocation);
ExitStatus ShowDaemons(const Invocation& invocation);
ExitStatus ShowDump(const Invocation& invocation);
ExitStatus Explain(const Invocation& invocation);
ExitStatus ExplainLog(const Invocation& invocation);
ExitStatus CheckSettings(const Invocation& invocation);
} // namespace Tool

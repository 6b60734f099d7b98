// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Tool/Commands.h"

#include <iostream>

namespace Tool
{
using Common::FailureKind;

const std::vector<Command>& Commands()
{
  static const std::vector<Command> s_commands{
      {"table check", "FILE", "check a table file without a daemon",
       "drumpond table check examples/qasba.csv", 1, TableCheck},
      {"table plan", "FILE", "show what a table file would change",
       "drumpond table plan examples/qasba.csv", 1, TablePlan},
      {"table apply", "FILE", "replace the table by a table file, and wait until it is in force",
       "drumpond table apply examples/qasba.csv --who amel", 1, TableApply},
      {"table show", "", "show the table in force", "drumpond table show", 0, TableShow},
      {"table export", "", "print the table in force as a table file",
       "drumpond table export > table.csv", 0, TableExport},
      {"table history", "", "show who changed the table and when",
       "drumpond table history --count 5", 0, TableHistory},
      {"table status", "", "show which table revision each daemon uses", "drumpond table status", 0,
       TableStatus},
      {"models", "", "show the models and where they are loaded", "drumpond models", 0, ShowModels},
      {"runners", "", "show the backend servers", "drumpond runners", 0, ShowServers},
      {"daemons", "", "show the daemons", "drumpond daemons", 0, ShowDaemons},
      {"dump", "", "print the whole state of one daemon as JSON", "drumpond dump", 0, ShowDump},
      {"explain", "KEY",
       "show the decisions of one daemon about a request, a model or a backend server",
       "drumpond explain recipe-01", 1, Explain},
      {"explain-log", "ID LOG...",
       "show the log lines of a request from the logs of all daemons, with related events of its "
       "model and its backend servers",
       "drumpond explain-log 0a23108cfa8f9fa6 examples/logs/*.log", 2, ExplainLog},
      {"account", "LOG...",
       "count the requests in the logs of all daemons by route, how they ended and second, and the "
       "calls of the store",
       "drumpond account examples/logs/*.log", 1, AccountRequests},
      {"check-settings", "FILE", "check a settings file of the platform without a daemon",
       "drumpond check-settings examples/platform-settings.json", 1, CheckSettings},
  };
  return s_commands;
}

ExitStatus ReportFailure(const Common::Failure& failure)
{
  std::cerr << "drumpond: " << Common::ToString(failure.kind) << ": " << failure.detail << "\n";
  switch (failure.kind)
  {
  case FailureKind::Conflict:
    return ExitStatus::Conflict;
  case FailureKind::InvalidInput:
    return ExitStatus::Usage;
  case FailureKind::NotSent:
  case FailureKind::Unavailable:
  case FailureKind::Timeout:
  case FailureKind::OutcomeUnknown:
    return ExitStatus::Unreachable;
  default:
    return ExitStatus::Failed;
  }
}
} // namespace Tool

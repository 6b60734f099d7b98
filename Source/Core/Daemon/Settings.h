// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Common/Units.h"

namespace Daemon
{
/// IP address and port.
struct Endpoint
{
  std::string address;
  int port = 0;
};

/// The validated settings of a daemon.
struct Settings
{
  Common::VmId vm;
  Common::DataCentreId data_centre;
  Endpoint listen;    ///< Address for callers.
  Endpoint operators; ///< Address for operators, probes and metrics.
  Endpoint peers;     ///< Address for the other daemons, UDP and TCP.
  std::string platform;
  std::vector<std::pair<Common::VmId, std::string>> seeds;
  std::string peer_key;
  std::string operator_tokens_file;
  Common::Milliseconds heartbeat_interval{250};
  Common::Milliseconds dead_after{1500};
  Common::Milliseconds list_lag{30000};
  Common::Milliseconds table_poll_interval{1000};
  Common::Milliseconds report_interval{300};
  Common::Milliseconds order_settle{20000};
  Common::Milliseconds freeze_limit{1000};
  Common::Milliseconds job_scan_interval{2000};
  Common::Milliseconds stop_notice{500};
  Common::Milliseconds stop_limit{30000};
  std::int64_t max_body_kb = 4096;
  std::string placement = "cache-aware";
  std::string retention = "cost";
  std::int64_t keep_alive_ms = 60000;
  std::string routing = "affinity";
  std::string queue = "fair";
  std::string load_order = "urgency";
};

/// Result of parsing the flags and environment variables.
struct ParsedSettings
{
  Settings settings;
  std::vector<std::string> errors; ///< All errors found, as messages for the operator.
  std::vector<std::pair<std::string, std::string>>
      effective; ///< Flags and values in force; contains no secrets.
  bool help = false;
  bool version = false;
  bool print = false;
  std::string help_text;
};

/// Parses the flags. A flag that is not given is read from the environment variable
/// DRUMPOND_<NAME>. Secrets come from the environment or from a file, never from the value of a
/// flag.
ParsedSettings ReadSettings(int argc, char** argv);
} // namespace Daemon

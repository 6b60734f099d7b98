// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Daemon/Settings.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include <cxxopts.hpp>
#include <gio/gio.h>

#include "Common/Mechanisms.h"

namespace Daemon
{
namespace
{
using Common::Milliseconds;

struct Definition
{
  const char* name;
  const char* default_value; ///< nullptr if the setting is required.
  const char* help;
};

constexpr std::array<Definition, 27> DEFINITIONS{{
    {"vm", nullptr, "name of this entry VM in the platform's list"},
    {"data-centre", nullptr, "data centre of this VM"},
    {"listen", nullptr, "IP:port for callers"},
    {"operators", nullptr, "IP:port for operators, probes and metrics"},
    {"peers-listen", nullptr, "IP:port for the other daemons (UDP and TCP)"},
    {"platform", nullptr, "URL of the platform's services"},
    {"seeds", "", "initially known daemons: VM=IP:port,..."},
    {"peer-key-file", "", "file with the key shared by all daemons (or DRUMPOND_PEER_KEY)"},
    {"operator-tokens-file", "", "file with lines ROLE:TOKEN; ROLE is viewer or editor"},
    {"heartbeat-ms", "250", "interval of heartbeats"},
    {"dead-after-ms", "1500", "time without heartbeats after which a daemon loses its roles"},
    {"list-lag-ms", "30000", "maximum delay of the platform's VM list"},
    {"table-poll-ms", "1000", "interval of polling for a new table revision"},
    {"report-ms", "300", "interval of polling the backend servers' reports"},
    {"order-settle-ms", "20000", "quarantine time of an order of unknown outcome"},
    {"freeze-limit-ms", "1000", "pause after which a claim is validated again"},
    {"job-scan-ms", "2000", "interval of scanning for jobs that no daemon runs"},
    {"stop-notice-ms", "500", "time for the load balancer to detect that this daemon is stopping"},
    {"stop-limit-ms", "30000", "maximum time for requests to finish during a shutdown"},
    {"max-body-kb", "4096", "maximum request body size in KiB"},
    {"placement", "cache-aware", "placement policy: cache-aware or first-fit"},
    {"retention", "cost", "retention policy: cost or keep-alive"},
    {"keep-alive-ms", "60000", "for keep-alive: time until an idle model is unloaded"},
    {"routing", "affinity", "routing policy: affinity or round-robin"},
    {"queue", "fair", "queue policy: fair or fifo"},
    {"load-order", "urgency", "order of loads: urgency or fifo"},
    {"without", "", "mechanisms to disable, to measure their effect: NAME,..."},
}};

std::string EnvironmentName(const std::string& name)
{
  std::string variable = "DRUMPOND_";
  for (const char c : name)
    variable += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  return variable;
}

/// Reads and validates individual settings and collects the errors.
class Reader
{
public:
  Reader(const cxxopts::ParseResult& parsed, ParsedSettings& out) : m_parsed(parsed), m_out(out) {}

  std::string Text(const std::string& name)
  {
    const auto* definition = std::ranges::find(DEFINITIONS, name, [](const Definition& item) {
      return item.name;
    });
    std::string value = definition->default_value ? definition->default_value : "";
    const char* environment = std::getenv(EnvironmentName(name).c_str());
    if (m_parsed.count(name) != 0)
      value = m_parsed[name].as<std::string>();
    else if (environment)
      value = environment;
    else if (!definition->default_value)
      AddError(name, "is missing");
    m_out.effective.emplace_back(name, value);
    return value;
  }

  std::int64_t Number(const std::string& name, std::int64_t lowest, std::int64_t highest)
  {
    const std::string text = Text(name);
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size() || number < lowest ||
        number > highest)
      AddError(name, "expected a whole number from " + std::to_string(lowest) + " to " +
                         std::to_string(highest) + ", not \"" + text + "\"");
    return number;
  }

  Milliseconds Duration(const std::string& name) { return Milliseconds(Number(name, 1, 3600000)); }

  Endpoint Address(const std::string& name)
  {
    const std::string text = Text(name);
    Endpoint endpoint;
    if (!text.empty() && !ParseEndpoint(text, &endpoint))
      AddError(name, "expected IP:port, not \"" + text + "\"");
    return endpoint;
  }

  std::string Choice(const std::string& name, const std::string& first, const std::string& second)
  {
    std::string text = Text(name);
    if (text != first && text != second)
      AddError(name, "expected " + first + " or " + second + ", not \"" + text + "\"");
    return text;
  }

  std::vector<std::pair<Common::VmId, std::string>> Seeds(const std::string& name)
  {
    std::vector<std::pair<Common::VmId, std::string>> seeds;
    std::istringstream list(Text(name));
    std::string item;
    while (std::getline(list, item, ','))
    {
      const auto equals = item.find('=');
      Endpoint endpoint;
      if (equals == std::string::npos || !ParseEndpoint(item.substr(equals + 1), &endpoint))
        AddError(name, "expected VM=IP:port, not \"" + item + "\"");
      else
        seeds.emplace_back(Common::VmId(item.substr(0, equals)), item.substr(equals + 1));
    }
    return seeds;
  }

  void DisableListedMechanisms(const std::string& name)
  {
    const auto disabled = Common::DisableMechanisms(Text(name));
    if (!disabled)
      AddError(name, disabled.Reason().detail);
  }

  /// Reads the key from the file if one is set, otherwise from DRUMPOND_PEER_KEY.
  std::string PeerKey()
  {
    const std::string path = Text("peer-key-file");
    const char* environment = std::getenv("DRUMPOND_PEER_KEY");
    std::string key = environment ? environment : "";
    if (!path.empty())
    {
      std::ifstream file(path);
      if (!std::getline(file, key))
        AddError("peer-key-file", "cannot read \"" + path + "\"");
    }
    if (key.size() < MIN_KEY_LENGTH)
      AddError("peer-key-file", "expected a key of at least 16 characters, from the file or "
                                "DRUMPOND_PEER_KEY");
    return key;
  }

private:
  static constexpr std::size_t MIN_KEY_LENGTH = 16;

  static bool ParseEndpoint(const std::string& text, Endpoint* endpoint)
  {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
      return false;
    endpoint->address = text.substr(0, colon);
    const std::string port = text.substr(colon + 1);
    const auto [end, error] =
        std::from_chars(port.data(), port.data() + port.size(), endpoint->port);
    return error == std::errc() && end == port.data() + port.size() && endpoint->port > 0 &&
           endpoint->port < 65536 && g_hostname_is_ip_address(endpoint->address.c_str());
  }

  void AddError(const std::string& name, const std::string& message)
  {
    m_out.errors.push_back("--" + name + " (" + EnvironmentName(name) + "): " + message);
  }

  const cxxopts::ParseResult& m_parsed;
  ParsedSettings& m_out;
};

cxxopts::Options BuildOptions()
{
  cxxopts::Options options("drumpondd", "drumpond's daemon: serves rarely used models.\n"
                                        "Each flag may also be set as DRUMPOND_<NAME>.");
  for (const Definition& definition : DEFINITIONS)
  {
    std::string help = definition.help;
    if (definition.default_value && *definition.default_value)
      help += std::string(" [") + definition.default_value + "]";
    options.add_options()(definition.name, help, cxxopts::value<std::string>());
  }
  options.add_options()("print-settings", "print the effective settings and exit")(
      "help", "print this text and exit")("version", "print the version and exit");
  return options;
}

void ReadAll(Reader& reader, Settings& settings)
{
  settings.vm = Common::VmId(reader.Text("vm"));
  settings.data_centre = Common::DataCentreId(reader.Text("data-centre"));
  settings.listen = reader.Address("listen");
  settings.operators = reader.Address("operators");
  settings.peers = reader.Address("peers-listen");
  settings.platform = reader.Text("platform");
  settings.seeds = reader.Seeds("seeds");
  settings.peer_key = reader.PeerKey();
  settings.operator_tokens_file = reader.Text("operator-tokens-file");
  settings.heartbeat_interval = reader.Duration("heartbeat-ms");
  settings.dead_after = reader.Duration("dead-after-ms");
  settings.list_lag = reader.Duration("list-lag-ms");
  settings.table_poll_interval = reader.Duration("table-poll-ms");
  settings.report_interval = reader.Duration("report-ms");
  settings.order_settle = reader.Duration("order-settle-ms");
  settings.freeze_limit = reader.Duration("freeze-limit-ms");
  settings.job_scan_interval = reader.Duration("job-scan-ms");
  settings.stop_notice = reader.Duration("stop-notice-ms");
  settings.stop_limit = reader.Duration("stop-limit-ms");
  settings.max_body_kb = reader.Number("max-body-kb", 1, 1048576);
  settings.placement = reader.Choice("placement", "cache-aware", "first-fit");
  settings.retention = reader.Choice("retention", "cost", "keep-alive");
  settings.keep_alive_ms = reader.Number("keep-alive-ms", 1, 86400000);
  settings.routing = reader.Choice("routing", "affinity", "round-robin");
  settings.queue = reader.Choice("queue", "fair", "fifo");
  settings.load_order = reader.Choice("load-order", "urgency", "fifo");
  reader.DisableListedMechanisms("without");
}
} // namespace

ParsedSettings ReadSettings(int argc, char** argv)
{
  ParsedSettings out;
  cxxopts::Options options = BuildOptions();
  out.help_text = options.help();
  try
  {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    out.help = parsed.count("help") != 0;
    out.version = parsed.count("version") != 0;
    out.print = parsed.count("print-settings") != 0;
    if (!parsed.unmatched().empty())
      out.errors.push_back("unexpected argument \"" + parsed.unmatched().front() + "\"");
    Reader reader(parsed, out);
    ReadAll(reader, out.settings);
  }
  catch (const cxxopts::exceptions::exception& error)
  {
    out.errors.emplace_back(error.what());
  }
  return out;
}
} // namespace Daemon

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// drumpond: command-line tool for operators.

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <optional>

#include <cxxopts.hpp>

#include "Tool/Commands.h"

namespace
{
using Tool::Command;
using Tool::ExitStatus;

constexpr const char* VERSION = "drumpond 0.1.0";
constexpr const char* DEFAULT_ADDRESS = "127.0.0.1:7091";

std::string FromEnvironment(const char* name, const std::string& fallback)
{
  const char* value = std::getenv(name);
  return value ? value : fallback;
}

cxxopts::Options BuildOptions()
{
  cxxopts::Options options("drumpond", "Command-line tool for operators of drumpond.");
  options.add_options()("address",
                        "IP:port of a daemon's operator interface "
                        "(DRUMPOND_ADDRESS) [127.0.0.1:7091]",
                        cxxopts::value<std::string>())(
      "output", "table or json",
      cxxopts::value<std::string>()->default_value("table"))("json", "the same as --output json")(
      "who", "author of the edit in the table history (DRUMPOND_WHO)",
      cxxopts::value<std::string>())("change-id",
                                     "id of the edit; a retry with the same id is safe",
                                     cxxopts::value<std::string>()->default_value(""))(
      "count", "number of history entries, or of the worst seconds, to show",
      cxxopts::value<std::int64_t>()->default_value("20"))(
      "no-wait", "return without waiting until the edit is in force")("help", "print this text")(
      "version", "print the version")("words", "command and its arguments",
                                      cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"words"});
  options.positional_help("COMMAND [ARGUMENTS]");
  return options;
}

void PrintHelp(const cxxopts::Options& options)
{
  std::cout << options.help() << "\nCommands:\n";
  for (const Command& command : Tool::Commands())
  {
    std::string usage = command.words;
    if (!command.arguments.empty())
      usage += " " + command.arguments;
    std::cout << "  " << usage << "\n      " << command.help
              << "\n      example: " << command.example << "\n";
  }
  std::cout
      << "\nThe operator's token is read from DRUMPOND_TOKEN.\n"
         "Exit status: 0 success, 1 failure, 2 invalid command line or input file, 3 conflict "
         "with another edit, 4 no response from the daemon or the platform.\n";
}

/// Returns the command that the leading words name and removes these words, or nullptr if they name
/// no command.
const Command* ExtractCommand(std::vector<std::string>& words)
{
  const auto matches = [&words](const Command& command) {
    const auto space = command.words.find(' ');
    if (space == std::string::npos)
      return !words.empty() && words[0] == command.words;
    return words.size() >= 2 && words[0] + " " + words[1] == command.words;
  };
  const auto& commands = Tool::Commands();
  const auto found = std::ranges::find_if(commands, matches);
  if (found == commands.end())
    return nullptr;
  const auto count = std::ranges::count(found->words, ' ') + 1;
  words.erase(words.begin(), words.begin() + count);
  return &*found;
}

ExitStatus UsageError(const std::string& message)
{
  std::cerr << "drumpond: " << message << "; see: drumpond --help\n";
  return ExitStatus::Usage;
}

ExitStatus RunTool(int argc, char** argv)
{
  cxxopts::Options options = BuildOptions();
  const cxxopts::ParseResult parsed = options.parse(argc, argv);
  if (parsed.count("help") != 0)
  {
    PrintHelp(options);
    return ExitStatus::Ok;
  }
  if (parsed.count("version") != 0)
  {
    std::cout << VERSION << "\n";
    return ExitStatus::Ok;
  }
  std::vector<std::string> words;
  if (parsed.count("words") != 0)
    words = parsed["words"].as<std::vector<std::string>>();
  const Command* command = ExtractCommand(words);
  if (!command)
    return UsageError("expected a command");
  const bool is_variadic = command->arguments.ends_with("...");
  if (words.size() < command->argument_count ||
      (words.size() > command->argument_count && !is_variadic))
    return UsageError("expected: drumpond " + command->words + " " + command->arguments);
  Tool::Invocation invocation;
  invocation.arguments = words;
  invocation.address = FromEnvironment("DRUMPOND_ADDRESS", DEFAULT_ADDRESS);
  if (parsed.count("address") != 0)
    invocation.address = parsed["address"].as<std::string>();
  invocation.token = FromEnvironment("DRUMPOND_TOKEN", "");
  invocation.who = FromEnvironment("DRUMPOND_WHO", FromEnvironment("USER", "unknown"));
  if (parsed.count("who") != 0)
    invocation.who = parsed["who"].as<std::string>();
  invocation.change_id = parsed["change-id"].as<std::string>();
  invocation.count = parsed["count"].as<std::int64_t>();
  invocation.wait = parsed.count("no-wait") == 0;
  const std::string output = parsed["output"].as<std::string>();
  if (output != "table" && output != "json")
    return UsageError("expected --output table or json");
  invocation.json = output == "json" || parsed.count("json") != 0;
  return command->run(invocation);
}
} // namespace

int main(int argc, char** argv)
{
  try
  {
    return static_cast<int>(RunTool(argc, argv));
  }
  catch (const cxxopts::exceptions::exception& error)
  {
    return static_cast<int>(UsageError(error.what()));
  }
}

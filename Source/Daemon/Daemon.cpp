// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// The daemon that runs on every entry VM: the library that the program drumpondd loads.

#include <csignal>
#include <cstdlib>
#include <iostream>

#include "Common/Log.h"
#include "Daemon/Application.h"
#include "Daemon/Settings.h"
#include "platform/PlatformDaemon.h"

namespace
{
constexpr const char* VERSION = "drumpondd 0.1.0";
constexpr int EXIT_BAD_SETTINGS = 2;

void PrintSettings(const Daemon::ParsedSettings& parsed)
{
  for (const auto& [name, value] : parsed.effective)
    std::cout << name << "=" << value << "\n";
}
} // namespace

/// Runs the daemon until it is stopped; the arguments and the result are those of main. Called with
/// signals deferred.
extern "C" __attribute__((visibility("default"))) int RunDaemon(int argc, char** argv)
{
  if (const auto settings_path = PlatformAdapter::SettingsPath())
  {
    std::signal(SIGPIPE, SIG_IGN);
    Common::InitLog(argv[0]);
    const int status = PlatformAdapter::Run(*settings_path);
    Common::FlushLog();
    std::_Exit(status);
  }
  const Daemon::ParsedSettings parsed = Daemon::ReadSettings(argc, argv);
  if (parsed.help || parsed.version)
  {
    std::cout << (parsed.help ? parsed.help_text : std::string(VERSION) + "\n");
    return 0;
  }
  if (!parsed.errors.empty())
  {
    for (const std::string& error : parsed.errors)
      std::cerr << "drumpondd: " << error << "\n";
    return EXIT_BAD_SETTINGS;
  }
  if (parsed.print)
  {
    PrintSettings(parsed);
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  Common::InitLog(argv[0]);
  Daemon::Application application(parsed.settings);
  const auto started = application.Start();
  if (!started)
  {
    std::cerr << "drumpondd: cannot start: " << started.Reason().detail << "\n";
    return 1;
  }
  const int status = application.Run();
  // Exits without running destructors: suspended coroutines still refer to the objects, and the
  // process ends anyway.
  Common::FlushLog();
  std::_Exit(status);
}

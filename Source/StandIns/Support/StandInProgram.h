// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdlib>
#include <iostream>
#include <string>

#include <cxxopts.hpp>
#include <glib.h>

#include "Common/Log.h"
#include "Http/Server.h"

namespace StandIns
{
/// Adds the command line options that all stand-ins share.
inline void AddListenOptions(cxxopts::Options& options)
{
  options.add_options()("address", "IP address to listen on",
                        cxxopts::value<std::string>()->default_value("127.0.0.1"))(
      "port", "port to listen on", cxxopts::value<int>())("help", "print this text");
}

/// Parses the command line. Prints the help text or the error and exits if the program is not to
/// run.
inline cxxopts::ParseResult ParseOrExit(cxxopts::Options& options, int argc, char** argv)
{
  try
  {
    cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0)
    {
      std::cout << options.help();
      std::exit(0);
    }
    if (parsed.count("port") == 0)
      throw std::runtime_error("--port is missing");
    return parsed;
  }
  catch (const std::exception& error)
  {
    std::cerr << error.what() << "\n";
    std::exit(2);
  }
}

/// Listens on the given address and port and runs the main loop until the process is killed.
inline int ListenAndRun(Http::Server& server, const cxxopts::ParseResult& parsed)
{
  const auto listening =
      server.Listen(parsed["address"].as<std::string>(), parsed["port"].as<int>());
  if (!listening)
  {
    std::cerr << "cannot listen: " << listening.Reason().detail << "\n";
    return 1;
  }
  GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
  g_main_loop_run(loop);
  return 0;
}
} // namespace StandIns

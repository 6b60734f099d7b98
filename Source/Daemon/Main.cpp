// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// The start of drumpondd. This program needs only the C library and so begins to run within about a
// millisecond. It defers signals and then loads the daemon, with all of its libraries, from the
// directory of the program.

#include <array>
#include <climits>
#include <cstdio>
#include <string>

#include <dlfcn.h>
#include <unistd.h>

#include "Common/DeferredSignals.h"

namespace
{
/// Searched for in the directory of the program, which is its run path.
constexpr const char* DAEMON_LIBRARY = "libdrumpondd.so";
constexpr const char* DAEMON_MAIN = "RunDaemon";
constexpr int EXIT_NOT_LOADED = 127;

/// The library's path relative to the working directory; empty if the program is not below it. A
/// process that was moved to another root directory may reach the library only by this path.
std::string RelativeLibraryPath()
{
  std::array<char, PATH_MAX> buffer{};
  if (getcwd(buffer.data(), buffer.size()) == nullptr)
    return {};
  const std::string directory = std::string(buffer.data()) + "/";
  const auto length = readlink("/proc/self/exe", buffer.data(), buffer.size());
  if (length <= 0)
    return {};
  const std::string program(buffer.data(), static_cast<std::size_t>(length));
  if (!program.starts_with(directory))
    return {};
  const auto name_begin = program.rfind('/') + 1;
  return "./" + program.substr(directory.size(), name_begin - directory.size()) + DAEMON_LIBRARY;
}

void* LoadDaemon()
{
  void* const library = dlopen(DAEMON_LIBRARY, RTLD_NOW | RTLD_LOCAL);
  if (library != nullptr)
    return library;
  const std::string path = RelativeLibraryPath();
  return path.empty() ? nullptr : dlopen(path.c_str(), RTLD_NOW | RTLD_LOCAL);
}
} // namespace

int main(int argc, char** argv)
{
  Common::DeferSignals();
  void* const library = LoadDaemon();
  void* const symbol = library == nullptr ? nullptr : dlsym(library, DAEMON_MAIN);
  if (symbol == nullptr)
  {
    std::fprintf(stderr, "drumpondd: cannot load the daemon: %s\n", dlerror());
    return EXIT_NOT_LOADED;
  }
  return reinterpret_cast<int (*)(int, char**)>(symbol)(argc, argv);
}

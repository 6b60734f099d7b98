// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// The start of drumpondd. This program needs only the C library and so begins to run within about a
// millisecond. It defers signals and then loads the daemon, with all of its libraries, from the
// directory of the program.

#include <cstdio>

#include <dlfcn.h>

#include "Common/DeferredSignals.h"

namespace
{
constexpr const char* DAEMON_LIBRARY = "libdrumpondd.so";
constexpr const char* DAEMON_MAIN = "RunDaemon";
constexpr int EXIT_NOT_LOADED = 127;
} // namespace

int main(int argc, char** argv)
{
  Common::DeferSignals();
  void* const library = dlopen(DAEMON_LIBRARY, RTLD_NOW | RTLD_LOCAL);
  void* const symbol = library == nullptr ? nullptr : dlsym(library, DAEMON_MAIN);
  if (symbol == nullptr)
  {
    std::fprintf(stderr, "drumpondd: cannot load the daemon: %s\n", dlerror());
    return EXIT_NOT_LOADED;
  }
  return reinterpret_cast<int (*)(int, char**)>(symbol)(argc, argv);
}

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "UnitTests/Support/SuspendedVm.h"

#include <ctime>

#include <sys/syscall.h>
#include <unistd.h>

namespace
{
Common::Milliseconds s_suspended{0};
} // namespace

void UnitTests::SuspendVm(Common::Milliseconds span)
{
  s_suspended += span;
}

/// Overrides the C library's function and adds the simulated suspension.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept
{
  constexpr long NS_PER_MS = 1000000;
  constexpr long NS_PER_S = 1000 * NS_PER_MS;
  const long status = syscall(SYS_clock_gettime, clock, time);
  if (status != 0 || clock == CLOCK_MONOTONIC)
    return static_cast<int>(status);
  const auto ms = s_suspended.count();
  time->tv_sec += ms / 1000;
  time->tv_nsec += ms % 1000 * NS_PER_MS;
  if (time->tv_nsec >= NS_PER_S)
  {
    time->tv_nsec -= NS_PER_S;
    ++time->tv_sec;
  }
  return 0;
}

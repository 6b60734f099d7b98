// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Common/Loop.h"

#include <chrono>
#include <ctime>
#include <utility>

#include <glib.h>

#include "Common/Reactor.h"

namespace Common
{
BootClock::time_point BootClock::now() noexcept
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

TimePoint Now()
{
  return BootClock::now();
}

Milliseconds UnixTime()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::floor<Milliseconds>(now);
}

void CallSoon(std::function<void()> callback)
{
  auto* owned = new std::function<void()>(std::move(callback));
  const auto run = [](gpointer data) -> gboolean {
    (*static_cast<std::function<void()>*>(data))();
    return G_SOURCE_REMOVE;
  };
  const auto release = [](gpointer data) {
    delete static_cast<std::function<void()>*>(data);
  };
  g_idle_add_full(G_PRIORITY_DEFAULT, run, owned, release);
}

CallId CallAfter(Milliseconds delay, std::function<void()> callback)
{
  return Reactor::Get().After(delay, std::move(callback));
}

void CancelCall(CallId id)
{
  Reactor::Get().Cancel(id);
}
} // namespace Common

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <algorithm>
#include <array>
#include <csignal>

#include <pthread.h>

/// A signal that arrives before the daemon has installed its handler would end the process, which
/// is the default action of most signals. Loading the daemon's libraries takes many milliseconds,
/// so the signals that a daemon handles are blocked before that and delivered when it is ready.
namespace Common
{
/// The signals that operators and supervisors send to a daemon. Each interface of the daemon
/// installs a handler for all of them or ignores them.
constexpr std::array DEFERRED_SIGNALS{SIGHUP, SIGINT, SIGTERM, SIGUSR1, SIGUSR2};

inline sigset_t DeferredSignalSet()
{
  sigset_t signals;
  sigemptyset(&signals);
  std::ranges::for_each(DEFERRED_SIGNALS, [&](int number) {
    sigaddset(&signals, number);
  });
  return signals;
}

/// Blocks the signals in this thread and in all threads that it starts.
inline void DeferSignals()
{
  const sigset_t signals = DeferredSignalSet();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

/// Delivers the signals that have arrived since they were deferred, and all later ones at once.
/// Also undoes a block that the process inherited from its parent.
inline void DeliverDeferredSignals()
{
  const sigset_t signals = DeferredSignalSet();
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}
} // namespace Common

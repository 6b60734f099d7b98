// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>

#include "Common/Units.h"

namespace Common
{
/// Receives the readiness events of a file descriptor.
class DescriptorHandler
{
public:
  virtual ~DescriptorHandler() = default;
  /// `events` is a bit mask of epoll(7) events.
  virtual void OnDescriptorEvents(std::uint32_t events) = 0;
};

/// A single GLib source for all sockets and short timers of the data plane. GLib checks each of its
/// sources in every iteration, which dominates the cost with hundreds of sockets. The reactor keeps
/// the sockets in one epoll set and the timers in one ordered map, so that the cost of an iteration
/// depends on the pending events only.
class Reactor
{
public:
  using TimerId = std::uint64_t;

  static Reactor& Get();

  Reactor();
  Reactor(const Reactor&) = delete;
  Reactor& operator=(const Reactor&) = delete;

  /// Watches `fd` until `Unwatch`. Each call returns a new id, so that an event that was already
  /// fetched from epoll cannot reach the handler of a descriptor that has been closed since.
  std::uint64_t Watch(int fd, std::uint32_t events, DescriptorHandler* handler);
  void Rearm(std::uint64_t watch, int fd, std::uint32_t events);
  void Unwatch(std::uint64_t watch, int fd);

  TimerId After(Milliseconds delay, std::function<void()> callback);
  void Cancel(TimerId& timer);

  /// Called by the GLib source.
  bool Prepare(int* timeout_ms) const;
  void Dispatch();

  /// Returns the largest delay of a timer past its due time since the last call.
  Milliseconds TakeMaxTimerDelay();

private:
  struct Timer
  {
    TimerId id;
    std::function<void()> callback;
  };

  /// Runs the timers that were due at `now`.
  void RunTimers(TimePoint now);
  void RunDescriptors();

  int m_epoll = -1;
  std::uint64_t m_next_watch = 1;
  TimerId m_next_timer = 1;
  std::unordered_map<std::uint64_t, DescriptorHandler*> m_watches;
  std::multimap<TimePoint, Timer> m_timers;
  std::unordered_map<TimerId, std::multimap<TimePoint, Timer>::iterator> m_timer_index;
  Milliseconds m_max_timer_delay{0};
};

/// A timer that is cancelled on destruction.
class OwnedTimer
{
public:
  OwnedTimer() = default;
  ~OwnedTimer() { Stop(); }
  OwnedTimer(const OwnedTimer&) = delete;
  OwnedTimer& operator=(const OwnedTimer&) = delete;

  void Start(Milliseconds delay, std::function<void()> callback);
  void Stop() { Reactor::Get().Cancel(m_id); }
  bool Running() const { return m_id != 0; }

private:
  Reactor::TimerId m_id = 0;
};
} // namespace Common

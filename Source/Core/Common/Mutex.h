// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <coroutine>
#include <deque>

#include "Common/Loop.h"

namespace Common
{
/// Mutual exclusion between coroutines for sections that await. Waiting coroutines acquire it in
/// order of arrival.
class Mutex
{
public:
  /// Unlocks the mutex on destruction.
  class Guard
  {
  public:
    explicit Guard(Mutex* mutex) : m_mutex(mutex) {}
    Guard(Guard&& other) noexcept : m_mutex(std::exchange(other.m_mutex, nullptr)) {}
    Guard(const Guard&) = delete;
    Guard& operator=(const Guard&) = delete;
    Guard& operator=(Guard&&) = delete;
    ~Guard()
    {
      if (m_mutex)
        m_mutex->Unlock();
    }

  private:
    Mutex* m_mutex;
  };

  /// Awaitable that returns a Guard.
  auto Lock()
  {
    struct Awaiter
    {
      Mutex* mutex;
      bool await_ready() const noexcept { return !std::exchange(mutex->m_locked, true); }
      void await_suspend(std::coroutine_handle<> handle) { mutex->m_waiters.push_back(handle); }
      Guard await_resume() const noexcept { return Guard(mutex); }
    };
    return Awaiter{this};
  }

private:
  void Unlock()
  {
    if (m_waiters.empty())
    {
      m_locked = false;
      return;
    }
    const auto next = m_waiters.front();
    m_waiters.pop_front();
    CallSoon([next] {
      next.resume();
    });
  }

  bool m_locked = false;
  std::deque<std::coroutine_handle<>> m_waiters;
};
} // namespace Common

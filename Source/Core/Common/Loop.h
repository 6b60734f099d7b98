// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <algorithm>
#include <coroutine>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "Common/Task.h"
#include "Common/Units.h"

namespace Common
{
/// Current monotonic time, including the time during which the VM was suspended.
TimePoint Now();
/// Current time since the Unix epoch, which steps when the VM's clock is set.
Milliseconds UnixTime();

/// Schedules `callback` to run once on the main loop. May be called from any thread.
void CallSoon(std::function<void()> callback);

using CallId = std::uint64_t;
/// Runs `callback` once on the main loop after `delay`. The returned id is for CancelCall().
CallId CallAfter(Milliseconds delay, std::function<void()> callback);
void CancelCall(CallId id);

/// Awaitable that suspends the calling coroutine for `delay`.
struct Sleep
{
  Milliseconds delay;

  bool await_ready() const noexcept { return false; }
  void await_suspend(std::coroutine_handle<> awaiter) const
  {
    CallAfter(delay, [awaiter] {
      awaiter.resume();
    });
  }
  void await_resume() const noexcept {}
};

/// A value that is set once and that any number of coroutines can await. Waiting coroutines resume
/// from the main loop, never inside `Set`.
template <typename T>
class Completion
{
public:
  Completion() : m_state(std::make_shared<State>()) {}

  bool IsSet() const { return m_state->value.has_value(); }

  /// Sets the value. Ignored if it is already set.
  void Set(T value) const
  {
    if (IsSet())
      return;
    m_state->value.emplace(std::move(value));
    for (auto& waiter : std::exchange(m_state->waiters, {}))
      WakeFromLoop(waiter);
  }

  /// Waits until the value is set. Returns nothing if `deadline` passes before.
  Task<std::optional<T>> WaitUntil(TimePoint deadline) const
  {
    const auto state = m_state;
    if (!state->value)
    {
      auto waiter = std::make_shared<Waiter>();
      state->waiters.push_back(waiter);
      const auto left = std::chrono::ceil<Milliseconds>(deadline - Now());
      waiter->timer = CallAfter(std::max(left, Milliseconds(0)), [waiter] {
        waiter->timer = 0;
        Wake(*waiter);
      });
      co_await Suspend{waiter.get()};
      std::erase(state->waiters, waiter);
    }
    co_return state->value;
  }

private:
  struct Waiter
  {
    std::coroutine_handle<> handle;
    CallId timer = 0;
  };
  struct State
  {
    std::optional<T> value;
    std::vector<std::shared_ptr<Waiter>> waiters;
  };
  struct Suspend
  {
    Waiter* waiter;
    bool await_ready() const noexcept { return false; }
    void await_suspend(std::coroutine_handle<> handle) { waiter->handle = handle; }
    void await_resume() const noexcept {}
  };

  static void Wake(Waiter& waiter)
  {
    if (waiter.timer != 0)
      CancelCall(std::exchange(waiter.timer, 0));
    if (waiter.handle)
      std::exchange(waiter.handle, nullptr).resume();
  }
  static void WakeFromLoop(std::shared_ptr<Waiter> waiter)
  {
    CallSoon([waiter] {
      Wake(*waiter);
    });
  }

  std::shared_ptr<State> m_state;
};
} // namespace Common

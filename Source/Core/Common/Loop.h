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
/// The time of the main loop: it never goes back, and counts suspensions of the VM.
TimePoint Now();

/// Runs `callback` once from the main loop, soon; may be called from any thread.
void CallSoon(std::function<void()> callback);

using CallId = std::uint64_t;
/// Runs `callback` once from the main loop after `delay`. The returned id cancels it.
CallId CallAfter(Milliseconds delay, std::function<void()> callback);
void CancelCall(CallId id);

/// Awaitable pause of the calling coroutine.
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

/// A value that one part of the program sets once and any number of coroutines await.
/// Waiters resume from the main loop, never inside `Set`.
template <typename T>
class Completion
{
public:
  Completion() : m_state(std::make_shared<State>()) {}

  bool IsSet() const { return m_state->value.has_value(); }

  /// The first value wins; later ones are ignored.
  void Set(T value) const
  {
    if (IsSet())
      return;
    m_state->value.emplace(std::move(value));
    for (auto& waiter : std::exchange(m_state->waiters, {}))
      WakeFromLoop(waiter);
  }

  /// Waits until the value is set or `deadline` has passed; then gives nothing.
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

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

namespace Common
{
/// A lazily started coroutine on the main loop. It starts when awaited and resumes its awaiter when
/// it ends. An escaping exception terminates the process: failures are returned as `Result`.
template <typename T>
class Task;

namespace Detail
{
struct FinalAwaiter
{
  bool await_ready() noexcept { return false; }

  template <typename Promise>
  std::coroutine_handle<> await_suspend(std::coroutine_handle<Promise> handle) noexcept
  {
    return handle.promise().continuation;
  }

  void await_resume() noexcept {}
};

struct PromiseBase
{
  std::coroutine_handle<> continuation = std::noop_coroutine();

  std::suspend_always initial_suspend() noexcept { return {}; }
  FinalAwaiter final_suspend() noexcept { return {}; }
  void unhandled_exception() { std::terminate(); }
};

template <typename T>
struct Promise : PromiseBase
{
  std::optional<T> value;

  Task<T> get_return_object();
  void return_value(T result) { value.emplace(std::move(result)); }
  T Take() { return std::move(*value); }
};

template <>
struct Promise<void> : PromiseBase
{
  Task<void> get_return_object();
  void return_void() {}
  void Take() {}
};
} // namespace Detail

template <typename T>
class [[nodiscard]] Task
{
public:
  using promise_type = Detail::Promise<T>;

  explicit Task(std::coroutine_handle<promise_type> handle) : m_handle(handle) {}
  Task(Task&& other) noexcept : m_handle(std::exchange(other.m_handle, nullptr)) {}
  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;
  Task& operator=(Task&&) = delete;
  ~Task()
  {
    if (m_handle)
      m_handle.destroy();
  }

  bool await_ready() const noexcept { return false; }
  std::coroutine_handle<> await_suspend(std::coroutine_handle<> awaiter) noexcept
  {
    m_handle.promise().continuation = awaiter;
    return m_handle;
  }
  T await_resume() { return m_handle.promise().Take(); }

private:
  std::coroutine_handle<promise_type> m_handle;
};

namespace Detail
{
template <typename T>
Task<T> Promise<T>::get_return_object()
{
  return Task<T>(std::coroutine_handle<Promise<T>>::from_promise(*this));
}

inline Task<void> Promise<void>::get_return_object()
{
  return Task<void>(std::coroutine_handle<Promise<void>>::from_promise(*this));
}

struct Detached
{
  struct promise_type
  {
    Detached get_return_object() { return {}; }
    std::suspend_never initial_suspend() noexcept { return {}; }
    std::suspend_never final_suspend() noexcept { return {}; }
    void return_void() {}
    void unhandled_exception() { std::terminate(); }
  };
};

template <typename T>
Detached RunDetached(Task<T> task)
{
  co_await task;
}
} // namespace Detail

/// Starts `task` immediately and runs it to completion on the main loop, discarding its result.
template <typename T>
void Spawn(Task<T> task)
{
  Detail::RunDetached(std::move(task));
}
} // namespace Common

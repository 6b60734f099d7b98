// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <coroutine>
#include <utility>

#include <gio/gio.h>

namespace Http
{
/// Smart pointer that owns one reference to a GObject.
template <typename T>
class GRef
{
public:
  GRef() = default;
  explicit GRef(T* owned) : m_object(owned) {}
  GRef(GRef&& other) noexcept : m_object(std::exchange(other.m_object, nullptr)) {}
  GRef(const GRef& other) : m_object(other.m_object)
  {
    if (m_object)
      g_object_ref(m_object);
  }
  GRef& operator=(GRef other) noexcept
  {
    std::swap(m_object, other.m_object);
    return *this;
  }
  ~GRef()
  {
    if (m_object)
      g_object_unref(m_object);
  }

  static GRef Share(T* borrowed) { return GRef(static_cast<T*>(g_object_ref(borrowed))); }

  T* Get() const { return m_object; }
  explicit operator bool() const { return m_object != nullptr; }

private:
  T* m_object = nullptr;
};

/// Awaitable for one asynchronous GIO call: pass `Ready` as its callback and a pointer to this
/// object as its user data.
class GioAwait
{
public:
  static void Ready(GObject*, GAsyncResult* result, gpointer data)
  {
    auto* self = static_cast<GioAwait*>(data);
    self->m_result = GRef<GAsyncResult>::Share(result);
    if (self->m_handle)
      std::exchange(self->m_handle, nullptr).resume();
  }

  GAsyncResult* Get() const { return m_result.Get(); }

  bool await_ready() const noexcept { return static_cast<bool>(m_result); }
  void await_suspend(std::coroutine_handle<> handle) { m_handle = handle; }
  void await_resume() const noexcept {}

private:
  std::coroutine_handle<> m_handle;
  GRef<GAsyncResult> m_result;
};
} // namespace Http

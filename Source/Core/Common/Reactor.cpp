// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Common/Reactor.h"

#include <algorithm>
#include <array>
#include <utility>

#include <glib.h>
#include <sys/epoll.h>

#include "Common/Loop.h"

namespace Common
{
namespace
{
constexpr int EVENTS_PER_ITERATION = 128;
/// Upper limit of a wait. The kernel's timeouts do not count the time during which the VM is
/// suspended, so a timer that became due meanwhile may fire late by up to this time.
constexpr Milliseconds MAX_EPOLL_WAIT{100};

struct ReactorSource
{
  GSource base;
  Reactor* reactor;
  gpointer tag;
};

Reactor& ReactorOf(GSource* source)
{
  return *reinterpret_cast<ReactorSource*>(source)->reactor;
}

gboolean PrepareSource(GSource* source, gint* timeout_ms)
{
  return ReactorOf(source).Prepare(timeout_ms) ? TRUE : FALSE;
}

gboolean CheckSource(GSource* source)
{
  int timeout_ms = -1;
  if (ReactorOf(source).Prepare(&timeout_ms))
    return TRUE;
  return g_source_query_unix_fd(source, reinterpret_cast<ReactorSource*>(source)->tag) != 0;
}

gboolean DispatchSource(GSource* source, GSourceFunc, gpointer)
{
  ReactorOf(source).Dispatch();
  return G_SOURCE_CONTINUE;
}

GSourceFuncs s_functions = {PrepareSource, CheckSource, DispatchSource, nullptr, nullptr, nullptr};
} // namespace

Reactor& Reactor::Get()
{
  static Reactor s_reactor;
  return s_reactor;
}

Reactor::Reactor()
{
  m_epoll = epoll_create1(EPOLL_CLOEXEC);
  GSource* source = g_source_new(&s_functions, sizeof(ReactorSource));
  auto* ours = reinterpret_cast<ReactorSource*>(source);
  ours->reactor = this;
  ours->tag = g_source_add_unix_fd(source, m_epoll, G_IO_IN);
  g_source_attach(source, nullptr);
}

std::uint64_t Reactor::Watch(int fd, std::uint32_t events, DescriptorHandler* handler)
{
  const std::uint64_t watch = m_next_watch++;
  m_watches.emplace(watch, handler);
  epoll_event event{};
  event.events = events;
  event.data.u64 = watch;
  epoll_ctl(m_epoll, EPOLL_CTL_ADD, fd, &event);
  return watch;
}

void Reactor::Rearm(std::uint64_t watch, int fd, std::uint32_t events)
{
  epoll_event event{};
  event.events = events;
  event.data.u64 = watch;
  epoll_ctl(m_epoll, EPOLL_CTL_MOD, fd, &event);
}

void Reactor::Unwatch(std::uint64_t watch, int fd)
{
  if (m_watches.erase(watch) != 0)
    epoll_ctl(m_epoll, EPOLL_CTL_DEL, fd, nullptr);
}

Reactor::TimerId Reactor::After(Milliseconds delay, std::function<void()> callback)
{
  const TimerId id = m_next_timer++;
  const auto position = m_timers.emplace(Now() + delay, Timer{id, std::move(callback)});
  m_timer_index.emplace(id, position);
  return id;
}

void Reactor::Cancel(TimerId& timer)
{
  const auto found = m_timer_index.find(std::exchange(timer, 0));
  if (found == m_timer_index.end())
    return;
  m_timers.erase(found->second);
  m_timer_index.erase(found);
}

bool Reactor::Prepare(int* timeout_ms) const
{
  *timeout_ms = -1;
  if (m_timers.empty())
    return false;
  const auto left = std::chrono::ceil<Milliseconds>(m_timers.begin()->first - Now());
  *timeout_ms = static_cast<int>(std::clamp(left, Milliseconds(0), MAX_EPOLL_WAIT).count());
  return left.count() <= 0;
}

void Reactor::Dispatch()
{
  // A timer that becomes due while the descriptors are handled runs in the next iteration, after
  // the descriptors: the data that the timer is a timeout for may have arrived.
  const TimePoint begin = Now();
  RunDescriptors();
  RunTimers(begin);
}

void Reactor::RunTimers(TimePoint now)
{
  while (!m_timers.empty() && m_timers.begin()->first <= now)
  {
    const auto first = m_timers.begin();
    m_max_timer_delay =
        std::max(m_max_timer_delay, std::chrono::duration_cast<Milliseconds>(now - first->first));
    const auto callback = std::move(first->second.callback);
    m_timer_index.erase(first->second.id);
    m_timers.erase(first);
    callback();
  }
}

void Reactor::RunDescriptors()
{
  std::array<epoll_event, EVENTS_PER_ITERATION> events{};
  const int count = epoll_wait(m_epoll, events.data(), EVENTS_PER_ITERATION, 0);
  for (int i = 0; i < count; ++i)
  {
    const auto found = m_watches.find(events[i].data.u64);
    if (found != m_watches.end())
      found->second->OnDescriptorEvents(events[i].events);
  }
}

Milliseconds Reactor::TakeMaxTimerDelay()
{
  return std::exchange(m_max_timer_delay, Milliseconds(0));
}

void OwnedTimer::Start(Milliseconds delay, std::function<void()> callback)
{
  Stop();
  m_id = Reactor::Get().After(delay, [this, callback = std::move(callback)] {
    m_id = 0;
    callback();
  });
}
} // namespace Common

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Common/Loop.h"

#include <glib.h>

namespace Common
{
TimePoint Now()
{
  return std::chrono::steady_clock::now();
}

unsigned CallAfter(Milliseconds delay, std::function<void()> callback)
{
  auto* owned = new std::function<void()>(std::move(callback));
  const auto run = [](gpointer data) -> gboolean {
    (*static_cast<std::function<void()>*>(data))();
    return G_SOURCE_REMOVE;
  };
  const auto release = [](gpointer data) {
    delete static_cast<std::function<void()>*>(data);
  };
  if (delay.count() <= 0)
    return g_idle_add_full(G_PRIORITY_DEFAULT, run, owned, release);
  return g_timeout_add_full(G_PRIORITY_DEFAULT, static_cast<guint>(delay.count()), run, owned,
                            release);
}

void CancelCall(unsigned id)
{
  g_source_remove(id);
}
} // namespace Common

// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Http/HttpDate.h"

#include <memory>

#include <libsoup/soup.h>

namespace Http
{
std::optional<std::chrono::system_clock::time_point> ParseHttpDate(const std::string& text)
{
  const std::unique_ptr<GDateTime, decltype(&g_date_time_unref)> date(
      soup_date_time_new_from_http_string(text.c_str()), &g_date_time_unref);
  if (!date)
    return std::nullopt;
  return std::chrono::system_clock::time_point(
      std::chrono::seconds(g_date_time_to_unix(date.get())));
}
} // namespace Http

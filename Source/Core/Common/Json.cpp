// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Common/Json.h"

namespace Common
{
std::optional<Json> ParseJson(std::string_view text)
{
  Json value = Json::parse(text, nullptr, false);
  if (value.is_discarded())
    return std::nullopt;
  return value;
}

std::string DumpJson(const Json& value)
{
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

const Json& GetArray(const Json& object, const char* key)
{
  static const Json s_empty = Json::array();
  if (!object.is_object())
    return s_empty;
  const auto found = object.find(key);
  return found != object.end() && found->is_array() ? *found : s_empty;
}
} // namespace Common
